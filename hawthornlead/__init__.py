"""Serve answers from base models dressed in very many small LoRA adapters."""

__version__ = "0.1.0"
