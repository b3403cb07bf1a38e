"""Serve answers from base models with very many small LoRA adapters."""

__version__ = "0.1.0"
