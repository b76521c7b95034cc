"""Thrift's strict binary protocol: values and message heads, read from one complete frame and written to one.

Every length is checked against what is left of the frame before anything is read; values that are not known
are skipped, down to a bounded depth. The format is that of the Apache Thrift binary protocol specification.
"""

import struct
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from weldbend.thrift.errors import (
    ElementCountError,
    InvalidTextError,
    MapTypesError,
    NestingError,
    TruncatedError,
    UnknownTypeError,
    UnsupportedVersionError,
)

VERSION = 0x80010000  # of the strict protocol, in the upper three bytes; the lowest is the message type
VERSION_MASK = 0xFFFFFF00
# Message types.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Types of values.
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
WIDTHS = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}  # bytes that a value occupies
MIN_WIDTHS = {STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}  # the fewest bytes that a value occupies
MAX_DEPTH = 16  # levels of nested values

_I16 = struct.Struct(">h")
_I32 = struct.Struct(">i")
_U32 = struct.Struct(">I")


class MessageHeader(NamedTuple):
    """The head of a message.

    Attributes:
        kind: Its message type: CALL, REPLY, EXCEPTION or ONEWAY.
        name: The method that it is about.
        seqid: The sequence id by which a reply is matched to its call.
    """

    kind: int
    name: str
    seqid: int


class Reader:
    """Reads values one after another from a frame.

    All methods raise `InvalidMessageError` where the frame does not hold such a value.

    Attributes:
        data: The frame, without its length.
        position: How many bytes were read.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def read_bytes(self, count: int) -> bytes:
        """The next `count` bytes."""
        if count < 0 or count > len(self.data) - self.position:
            raise TruncatedError(count, len(self.data) - self.position)
        self.position += count
        return self.data[self.position - count : self.position]

    def byte(self) -> int:
        """One byte, unsigned."""
        return self.read_bytes(1)[0]

    def i32(self) -> int:
        """A signed integer of 32 bits."""
        value: int = _I32.unpack(self.read_bytes(4))[0]
        return value

    def binary(self) -> bytes:
        """Bytes with their length before them."""
        return self.read_bytes(self.i32())

    def string(self) -> str:
        """A text."""
        try:
            return self.binary().decode()
        except UnicodeDecodeError:
            raise InvalidTextError from None

    def message_header(self) -> MessageHeader:
        """The head of a message."""
        version = _U32.unpack(self.read_bytes(4))[0]
        if version & VERSION_MASK != VERSION:
            raise UnsupportedVersionError(version)
        return MessageHeader(version & 0xFF, self.string(), self.i32())

    def count(self, *kinds: int) -> int:
        """A number of elements, each made of values of these types, that what is left can hold."""
        count = self.i32()
        width = sum(WIDTHS.get(kind) or MIN_WIDTHS.get(kind, 1) for kind in kinds)
        if count < 0 or count * width > len(self.data) - self.position:
            raise ElementCountError(count)
        return count

    def fields(self) -> Iterator[tuple[int, int]]:
        """Type and id of each field of a struct; the caller reads or skips the value before the next."""
        while (kind := self.byte()) != STOP:
            yield kind, _I16.unpack(self.read_bytes(2))[0]

    def text_map(self) -> dict[str, str]:
        """A map of texts to texts."""
        kinds = self.byte(), self.byte()
        count = self.count(*kinds)
        if count and kinds != (STRING, STRING):
            raise MapTypesError(kinds)
        # The hottest loop of a call: no method is called for each text, and names are local.
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
        """Skip one value of this type, at this depth of nesting."""
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
            key = self.byte()
            value = self.byte()
            for _ in range(self.count(key, value)):
                self.skip(key, depth + 1)
                self.skip(value, depth + 1)
        elif kind in (SET, LIST):
            inner = self.byte()
            for _ in range(self.count(inner)):
                self.skip(inner, depth + 1)
        else:
            raise UnknownTypeError(kind)


def message_header(kind: int, name: str, seqid: int) -> bytes:
    """The head of a message, written out; see `MessageHeader`."""
    return _U32.pack(VERSION | kind) + binary(name.encode()) + _I32.pack(seqid)


def binary(data: bytes) -> bytes:
    """Bytes with their length before them; a text is written so as well."""
    return _I32.pack(len(data)) + data


def field(kind: int, number: int, value: bytes) -> bytes:
    """A field of a struct: its type, its id, and its value as it was written out."""
    return bytes((kind,)) + _I16.pack(number) + value


def i32(value: int) -> bytes:
    """A signed integer of 32 bits, written out."""
    return _I32.pack(value)


def text_map(pairs: Mapping[str, str]) -> bytes:
    """A map of texts to texts, written out in its order."""
    texts = b"".join(binary(text.encode()) for pair in pairs.items() for text in pair)
    return bytes((STRING, STRING)) + _I32.pack(len(pairs)) + texts
