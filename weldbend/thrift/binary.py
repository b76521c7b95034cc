"""The strict binary protocol: values and messages, read from one whole frame and written to one.

Every length is held against what is left of the frame before anything is taken; skipping what is
not known goes only so deep.
"""

import struct
from collections.abc import Iterator, Mapping
from typing import NamedTuple

VERSION = 0x80010000
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64 = 0, 2, 3, 4, 6, 8, 10
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
WIDTHS = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
LEAST = {STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}  # the fewest bytes that a value takes
DEEPEST = 16

_I16, _I32, _U32 = struct.Struct(">h"), struct.Struct(">i"), struct.Struct(">I")


class InvalidMessageError(Exception):
    """Bytes that the strict binary protocol does not allow."""


class Head(NamedTuple):
    kind: int
    name: str
    seqid: int


class Reader:
    """Reads values one after another from a frame."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, count: int) -> bytes:
        if count < 0 or count > len(self.data) - self.at:
            raise InvalidMessageError(f"{count} bytes wanted, {len(self.data) - self.at} left")
        self.at += count
        return self.data[self.at - count : self.at]

    def byte(self) -> int:
        return self.take(1)[0]

    def i32(self) -> int:
        value: int = _I32.unpack(self.take(4))[0]
        return value

    def binary(self) -> bytes:
        return self.take(self.i32())

    def string(self) -> str:
        try:
            return self.binary().decode()
        except UnicodeDecodeError:
            raise InvalidMessageError("text that is not UTF-8") from None

    def head(self) -> Head:
        version = _U32.unpack(self.take(4))[0]
        if version & 0xFFFFFF00 != VERSION:
            raise InvalidMessageError(f"version {version:#x}")
        return Head(version & 0xFF, self.string(), self.i32())

    def count(self, *kinds: int) -> int:
        """A number of elements that what is left can hold."""
        count = self.i32()
        least = sum(WIDTHS.get(kind) or LEAST.get(kind, 1) for kind in kinds)
        if count < 0 or count * least > len(self.data) - self.at:
            raise InvalidMessageError(f"{count} elements")
        return count

    def fields(self) -> Iterator[tuple[int, int]]:
        """Kind and number of each field of a struct; the caller takes or skips the value."""
        while (kind := self.byte()) != STOP:
            yield kind, _I16.unpack(self.take(2))[0]

    def text_map(self) -> dict[str, str]:
        kinds = self.byte(), self.byte()
        count = self.count(*kinds)
        if count and kinds != (STRING, STRING):
            raise InvalidMessageError(f"a map of kinds {kinds}")
        data, at, end = (
            self.data,
            self.at,
            len(self.data),
        )  # the hottest loop of a call: no call for each text
        texts = []
        try:
            for _ in range(2 * count):
                start = at + 4
                at = start + _I32.unpack_from(data, at)[0]
                if not start <= at <= end:
                    raise InvalidMessageError(f"{at - start} bytes wanted, {end - start} left")
                texts.append(data[start:at].decode())
        except (UnicodeDecodeError, struct.error):
            raise InvalidMessageError("text that is not UTF-8, or not all there") from None
        self.at = at
        return dict(zip(texts[::2], texts[1::2], strict=True))

    def skip(self, kind: int, depth: int = 0) -> None:
        if depth > DEEPEST:
            raise InvalidMessageError("nested too deep")
        if kind in WIDTHS:
            self.take(WIDTHS[kind])
        elif kind == STRING:
            self.binary()
        elif kind == STRUCT:
            for inner, _ in self.fields():
                self.skip(inner, depth + 1)
        elif kind == MAP:
            key, value = self.byte(), self.byte()
            for _ in range(self.count(key, value)):
                self.skip(key, depth + 1)
                self.skip(value, depth + 1)
        elif kind in (SET, LIST):
            inner = self.byte()
            for _ in range(self.count(inner)):
                self.skip(inner, depth + 1)
        else:
            raise InvalidMessageError(f"kind {kind}")


def head(kind: int, name: str, seqid: int) -> bytes:
    return _U32.pack(VERSION | kind) + binary(name.encode()) + _I32.pack(seqid)


def binary(data: bytes) -> bytes:
    return _I32.pack(len(data)) + data


def field(kind: int, number: int, value: bytes) -> bytes:
    return bytes((kind,)) + _I16.pack(number) + value


def i32(value: int) -> bytes:
    return _I32.pack(value)


def text_map(pairs: Mapping[str, str]) -> bytes:
    texts = b"".join(binary(text.encode()) for pair in pairs.items() for text in pair)
    return bytes((STRING, STRING)) + _I32.pack(len(pairs)) + texts
