"""Thrift's strict binary protocol: decoding of complete frames, and encoding of values and message headers.

Every length is checked against the remaining bytes of the frame before the value is read. Unknown fields are
skipped, down to a bounded depth of nesting. The number of values is bounded as well: a frame may consist of
one-byte values, so the time to decode it would otherwise be a multiple of that for a regular frame of its
length. The format is that of the Apache Thrift binary protocol specification.
"""

import struct
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from weldbend.thrift.errors import (
    ElementCountError,
    InvalidTextError,
    MapTypesError,
    NestingError,
    TooManyValuesError,
    TruncatedError,
    UnknownTypeError,
    UnsupportedVersionError,
)

VERSION = 0x80010000  # of the strict protocol; the lowest byte holds the message type
VERSION_MASK = 0xFFFFFF00
# Message types.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Value types.
STOP = 0
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
WIDTHS = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}  # encoded size of a value (bytes)
MIN_WIDTHS = {STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}  # smallest encoded size of a value (bytes)
MAX_DEPTH = 16  # levels of nesting in a skipped value
MAX_VALUES = 128  # values in a frame; the arguments of a request have about 25

_I16 = struct.Struct(">h")
_I32 = struct.Struct(">i")
_U32 = struct.Struct(">I")


class MessageHeader(NamedTuple):
    """The header of a message.

    Attributes:
        kind: Message type: CALL, REPLY, EXCEPTION or ONEWAY.
        name: Name of the method.
        seqid: Sequence id, by which a reply is matched to its call.
    """

    kind: int
    name: str
    seqid: int


class Reader:
    """Decoder that reads values one after another from a frame.

    All methods raise `InvalidMessageError` if the next bytes of the frame are not such a value.

    Attributes:
        data: Content of the frame, without its length prefix.
        position: Number of bytes read so far.
        value_count: Number of values read or skipped so far; elements of a fixed width count as one together.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0
        self.value_count = 0

    def read_bytes(self, count: int) -> bytes:
        """Read the next `count` bytes."""
        if count < 0 or count > len(self.data) - self.position:
            raise TruncatedError(count, len(self.data) - self.position)
        self.position += count
        return self.data[self.position - count : self.position]

    def byte(self) -> int:
        """Read an unsigned byte."""
        return self.read_bytes(1)[0]

    def i32(self) -> int:
        """Read a signed 32-bit integer."""
        value: int = _I32.unpack(self.read_bytes(4))[0]
        return value

    def binary(self) -> bytes:
        """Read bytes that are preceded by their length."""
        return self.read_bytes(self.i32())

    def string(self) -> str:
        """Read a string, which is encoded as UTF-8."""
        try:
            return self.binary().decode()
        except UnicodeDecodeError:
            raise InvalidTextError from None

    def _count_values(self, count: int) -> None:
        """Count values that are about to be read one by one."""
        self.value_count += count
        if self.value_count > MAX_VALUES:
            raise TooManyValuesError(MAX_VALUES)

    def message_header(self) -> MessageHeader:
        """Read the header of a message."""
        version = _U32.unpack(self.read_bytes(4))[0]
        if version & VERSION_MASK != VERSION:
            raise UnsupportedVersionError(version)
        return MessageHeader(version & 0xFF, self.string(), self.i32())

    def count(self, *kinds: int) -> int:
        """Read the number of elements of a container, and check that so many fit into the rest of the frame.

        Args:
            *kinds: Value types that make up each element: key and value of a map, or one type.
        """
        count = self.i32()
        width = sum(WIDTHS.get(kind) or MIN_WIDTHS.get(kind, 1) for kind in kinds)
        if count < 0 or count * width > len(self.data) - self.position:
            raise ElementCountError(count)
        return count

    def fields(self) -> Iterator[tuple[int, int]]:
        """Yield type and id of each field of a struct.

        The caller has to read or skip the value of a field before it continues with the next.
        """
        while (kind := self.byte()) != STOP:
            self._count_values(1)
            yield kind, _I16.unpack(self.read_bytes(2))[0]

    def text_map(self) -> dict[str, str]:
        """Read a map from strings to strings."""
        kinds = self.byte(), self.byte()
        count = self.count(*kinds)
        if count and kinds != (STRING, STRING):
            raise MapTypesError(kinds)
        self._count_values(2 * count)
        # This loop takes most of the time to decode a call, so it uses local variables and no methods.
        data = self.data
        position = self.position
        end = len(data)
        texts = []
        try:
            for _ in range(2 * count):
                start = position + 4
                position = start + _I32.unpack_from(data, position)[0]
                if not start <= position <= end:
                    raise TruncatedError(position - start, end - start)
                texts.append(data[start:position].decode())
        except (UnicodeDecodeError, struct.error):
            raise InvalidTextError(is_in_map=True) from None
        self.position = position
        return dict(zip(texts[::2], texts[1::2], strict=True))

    def skip(self, kind: int, depth: int = 0) -> None:
        """Skip one value of the type `kind`, which is nested `depth` levels deep."""
        if depth > MAX_DEPTH:
            raise NestingError
        if kind in WIDTHS:
            self.read_bytes(WIDTHS[kind])
        elif kind == STRING:
            self.binary()
        elif kind == STRUCT:
            for inner, _ in self.fields():
                self.skip(inner, depth + 1)
        elif kind == MAP:
            self._skip_elements((self.byte(), self.byte()), depth)
        elif kind in (SET, LIST):
            self._skip_elements((self.byte(),), depth)
        else:
            raise UnknownTypeError(kind)

    def _skip_elements(self, kinds: tuple[int, ...], depth: int) -> None:
        """Skip the elements of a container, each of which consists of values of these types."""
        count = self.count(*kinds)
        if all(kind in WIDTHS for kind in kinds):
            self.read_bytes(count * sum(WIDTHS[kind] for kind in kinds))
            return
        self._count_values(count * len(kinds))
        for _ in range(count):
            for kind in kinds:
                self.skip(kind, depth + 1)


def message_header(kind: int, name: str, seqid: int) -> bytes:
    """Encode the header of a message; see `MessageHeader`."""
    return _U32.pack(VERSION | kind) + binary(name.encode()) + _I32.pack(seqid)


def binary(data: bytes) -> bytes:
    """Encode bytes, preceded by their length; strings have the same encoding."""
    return _I32.pack(len(data)) + data


def field(kind: int, number: int, value: bytes) -> bytes:
    """Encode a field of a struct from its type, its id (`number`) and its encoded value."""
    return bytes((kind,)) + _I16.pack(number) + value


def i32(value: int) -> bytes:
    """Encode a signed 32-bit integer."""
    return _I32.pack(value)


def text_map(pairs: Mapping[str, str]) -> bytes:
    """Encode a map from strings to strings, in its iteration order."""
    texts = b"".join(binary(text.encode()) for pair in pairs.items() for text in pair)
    return bytes((STRING, STRING)) + _I32.pack(len(pairs)) + texts
