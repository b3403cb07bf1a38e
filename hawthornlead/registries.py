"""Registries: classes or functions of one kind by name, added by a decorator.

A module whose behaviour depends on a name (a strategy by a setting, a message by its
wire name) creates a registry and adds its definitions to it::

    ROUTERS: Registry[type["Router"]] = Registry("router")
    router = ROUTERS.register

    @router("hashing")
    class HashingRouter(Router): ...

    ROUTERS["hashing"](settings=settings, placement=placement)
"""

from collections.abc import Callable
from typing import TypeVar

_Entry = TypeVar("_Entry")


class UnknownName(KeyError):
    """Raised for a name without an entry; its text is readable for operators."""

    def __str__(self) -> str:
        return str(self.args[0])


class Registry(dict[str, _Entry]):
    """A dict from names to entries of one ``kind``, in the order of registration."""

    def __init__(self, kind: str):
        super().__init__()
        self._kind = kind

    def __missing__(self, name: str) -> _Entry:
        known = ", ".join(sorted(self)) or "none"
        raise UnknownName(f"no {self._kind} is named {name!r}; known: {known}")

    def register(self, name: str) -> Callable[[_Entry], _Entry]:
        """Return a decorator that registers what it decorates under ``name``.

        The decorator raises ``ValueError`` if the name is taken. Otherwise the order of
        imports would decide which entry the name stands for.
        """

        def enter(entry: _Entry) -> _Entry:
            if name in self:
                raise ValueError(f"two entries of {self._kind} are named {name!r}")
            self[name] = entry
            return entry

        return enter
