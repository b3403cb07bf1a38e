"""CBOR frames between VMs: an envelope around one typed message.

A frame is an array: protocol version, name of the message, its id, the id that it
replies to, the sender's hybrid logical time (two numbers) and the array of the
message's fields. Tuples and nested ``NamedTuple``s are arrays too; their types come
from the type hints and never from the frame::

    data = encode(Frame(7, 0, clock.tick(), FetchChunk(digest)), limit).unwrap()
    frame = decode(data, limit).unwrap()

Fields beyond those known are ignored and missing ones at the end take their
defaults, so that VMs of two releases understand each other.
"""

import functools
import types
import typing
from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2
from result import Err, Ok, Result

from ..clocks import HybridTime
from ..errors import ErrorKind, Failure
from ..messages import MESSAGES, PROTOCOL_VERSION

ENVELOPE_FIELDS = 7
MAX_INTEGER = 2**63 - 1

Reader = Callable[[Any], Any]


class Frame(NamedTuple):
    """One message with its envelope.

    ``message_id`` is 0 for a message that expects no reply, and ``reply_to`` is 0
    for one that is no reply.
    """

    message_id: int
    reply_to: int
    at: HybridTime
    message: Any


class BadValue(ValueError):
    """A value in a frame is not of the type that the message declares."""


def encode(frame: Frame, limit: int) -> Result[bytes, Failure]:
    """Encode a frame of at most ``limit`` bytes.

    Fails with ``TOO_LARGE`` over the limit and with ``BAD_MESSAGE`` when the message
    holds a value that has no encoding, such as a string that is not Unicode.
    """
    name = NAMES[type(frame.message)]
    envelope = (PROTOCOL_VERSION, name, frame.message_id, frame.reply_to, *frame.at)
    try:
        data = cbor2.dumps((*envelope, tuple(frame.message)))
    except (cbor2.CBOREncodeError, UnicodeEncodeError, OverflowError) as error:
        return Err(Failure(ErrorKind.BAD_MESSAGE, f"{name}: {error}"))
    if len(data) > limit:
        detail = f"{name} has {len(data)} bytes, allowed are {limit}"
        return Err(Failure(ErrorKind.TOO_LARGE, detail))
    return Ok(data)


def decode(data: bytes, limit: int) -> Result[Frame, Failure]:
    """Decode a frame; whatever the bytes, the outcome is a frame or a failure."""
    if len(data) > limit:
        return _bad(f"{len(data)} bytes, allowed are {limit}")
    try:
        return Ok(_read_frame(cbor2.loads(data)))
    except BadValue as error:
        return _bad(str(error))
    except Exception as error:
        # The bytes are untrusted: tags make the library build dates, decimals or
        # regular expressions whose constructors raise errors of many classes. None may
        # reach the connection's task; all mean a malformed frame.
        return _bad(f"not CBOR: {type(error).__name__}")


def _bad(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.BAD_MESSAGE, detail))


def _read_frame(envelope: Any) -> Frame:
    if not isinstance(envelope, list | tuple) or len(envelope) < ENVELOPE_FIELDS:
        raise BadValue("no envelope")
    version, name, message_id, reply_to, wall_ms, logical, fields = envelope[
        :ENVELOPE_FIELDS
    ]
    if type(version) is not int or not 1 <= version <= PROTOCOL_VERSION:
        raise BadValue(f"protocol version {version!r:.40}")
    cls = MESSAGES.get(name) if isinstance(name, str) else None
    if cls is None:
        raise BadValue(f"no message is named {name!r:.40}")
    at = HybridTime(_read_count(wall_ms), _read_count(logical))
    message = _named_tuple_reader(cls)(fields)
    return Frame(_read_count(message_id), _read_count(reply_to), at, message)


def _read_count(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise BadValue("an envelope's number is none")
    return value


def _read_integer(value: Any) -> int:
    if type(value) is not int or not -MAX_INTEGER <= value <= MAX_INTEGER:
        raise BadValue("no integer of 64 bits")
    return value


def _read_float(value: Any) -> float:
    if type(value) is int:
        return float(_read_integer(value))
    if type(value) is not float:
        raise BadValue("no number")
    return value


def _exactly(cls: type) -> Reader:
    def read(value: Any) -> Any:
        if type(value) is not cls:
            raise BadValue(f"no {cls.__name__}")
        return value

    return read


_PLAIN_READERS: dict[Any, Reader] = {
    int: _read_integer,
    float: _read_float,
    str: _exactly(str),
    bytes: _exactly(bytes),
    bool: _exactly(bool),
    type(None): _exactly(type(None)),
}


def _reader_of(hint: Any) -> Reader:
    if hint in _PLAIN_READERS:
        return _PLAIN_READERS[hint]
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _optional_reader(hint)
    if origin is tuple:
        return _tuple_reader(hint)
    if isinstance(hint, type) and hasattr(hint, "_fields"):
        return _named_tuple_reader(hint)
    raise TypeError(f"messages hold no {hint!r}")


def _optional_reader(hint: Any) -> Reader:
    kinds = [kind for kind in typing.get_args(hint) if kind is not type(None)]
    if len(kinds) != 1:
        raise TypeError(f"messages hold no {hint!r}")
    inner = _reader_of(kinds[0])

    def read(value: Any) -> Any:
        return None if value is None else inner(value)

    return read


def _tuple_reader(hint: Any) -> Reader:
    kinds = typing.get_args(hint)
    if len(kinds) != 2 or kinds[1] is not Ellipsis:
        raise TypeError(f"messages hold no {hint!r}")
    inner = _reader_of(kinds[0])
    if kinds[0] in (int, float, str, bytes, bool):
        return _plain_tuple_reader(kinds[0], inner)

    def read(value: Any) -> tuple:
        if not isinstance(value, list | tuple):
            raise BadValue("no array")
        return tuple([inner(item) for item in value])

    return read


def _plain_tuple_reader(plain: type, inner: Reader) -> Reader:
    def read(value: Any) -> tuple:
        if not isinstance(value, list | tuple):
            raise BadValue("no array")
        if plain is int or set(map(type, value)) - {plain}:
            return tuple([inner(item) for item in value])
        return tuple(value)

    return read


@functools.cache
def _named_tuple_reader(cls: type) -> Reader:
    """Return the reader of a type of message, made when its first message arrives.

    Making all of them takes a tenth of the processor time that a start takes to load
    the modules of this project; a VM receives a third of the types.
    """
    hints = typing.get_type_hints(cls)
    readers = [_reader_of(hints[field]) for field in cls._fields]
    required = len(cls._fields) - len(cls._field_defaults)
    plain = _plain_fields(cls, hints)

    def read(value: Any) -> Any:
        if plain is not None and plain.fit(value):
            return cls._make(value)
        if not isinstance(value, list | tuple) or len(value) < required:
            raise BadValue(f"{cls.__name__}: fields are missing")
        known = zip(readers, value, strict=False)
        return cls(*[reader(item) for reader, item in known])

    return read


class _PlainFields(NamedTuple):
    """The types of a message's fields if all are plain, and which are integers.

    Most messages between VMs are lists of short records of such fields. Checking all
    types of a record at once takes a third of the time of checking field by field.
    """

    types: list[type]
    integers: tuple[int, ...]

    def fit(self, value: Any) -> bool:
        """Whether an array holds exactly these fields; if not, each is checked."""
        if type(value) not in (list, tuple) or list(map(type, value)) != self.types:
            return False
        for index in self.integers:
            if not -MAX_INTEGER <= value[index] <= MAX_INTEGER:
                return False
        return True


def _plain_fields(cls: type, hints: dict[str, Any]) -> _PlainFields | None:
    types = [hints[field] for field in cls._fields]
    if not all(each in (int, float, str, bytes, bool) for each in types):
        return None
    integers = [index for index, each in enumerate(types) if each is int]
    return _PlainFields(types, tuple(integers))


NAMES: dict[type, str] = {cls: name for name, cls in MESSAGES.items()}
