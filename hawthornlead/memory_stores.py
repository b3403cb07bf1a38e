"""The public name of the store in memory, for programs that embed hawthornlead."""

from .stores.memory_stores import MemoryObjects, MemoryStore

__all__ = ["MemoryObjects", "MemoryStore"]
