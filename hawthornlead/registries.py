"""Registries: things of one kind by name, entered by a decorator.

Modules whose behaviour varies by a name (strategies by a setting, messages by their
name on the wire) each make one, and enter what they define in it::

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
    """A look-up of a name that nothing was entered under; its text is for people."""

    def __str__(self) -> str:
        return str(self.args[0])


class Registry(dict[str, _Entry]):
    """A dict from names to entries of one ``kind``, in the order of their entering."""

    def __init__(self, kind: str):
        super().__init__()
        self._kind = kind

    def __missing__(self, name: str) -> _Entry:
        known = ", ".join(sorted(self)) or "none"
        raise UnknownName(f"no {self._kind} is named {name!r}; known: {known}")

    def register(self, name: str) -> Callable[[_Entry], _Entry]:
        """Return a decorator that enters what it decorates under ``name``.

        The decorator raises ``ValueError`` when the name is taken: otherwise the
        module that is imported last would decide what the name stands for.
        """

        def enter(entry: _Entry) -> _Entry:
            if name in self:
                raise ValueError(f"two entries of {self._kind} are named {name!r}")
            self[name] = entry
            return entry

        return enter
