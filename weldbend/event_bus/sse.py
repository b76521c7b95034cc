"""A parser of server-sent events: bytes in any split, events out."""

from collections.abc import Iterator
from typing import NamedTuple

from weldbend.buffers.ring import Ring

LONGEST = 1 << 20  # bytes of one line, and of one event's data


class InvalidStreamError(Exception):
    """A stream that cannot be read on."""


class Message(NamedTuple):
    id: str
    data: str


class Parser:
    def __init__(self, bound: int = LONGEST) -> None:
        self.ring = Ring(2 * bound)
        self.bound, self.seen = bound, 0
        self.id, self.length = "", 0
        self.data: list[str] = []

    def feed(self, chunk: bytes) -> Iterator[Message]:
        """Take a chunk; gives each message that it completes."""
        rest = memoryview(chunk)
        while rest:
            rest = rest[self.ring.write(rest) :]
            while (line := self.line()) is not None:
                message = self.take(line)
                if message:
                    yield message

    def line(self) -> bytes | None:
        end = self.ring.find(b"\n", self.seen, len(self.ring))
        if max(end, len(self.ring) if end < 0 else 0) > self.bound:
            raise InvalidStreamError("a line too long")
        if end < 0:
            self.seen = len(self.ring)
            return None
        self.seen = 0
        line = self.ring.read(end)
        self.ring.skip(1)
        return line.removesuffix(b"\r")

    def take(self, line: bytes) -> Message | None:
        if not line:
            message = Message(self.id, "\n".join(self.data)) if self.data else None
            self.data, self.length = [], 0
            return message
        name, _, value = line.decode("utf-8", "replace").partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            self.id = value
        elif name == "data":
            self.length += len(line)
            if self.length > self.bound:
                raise InvalidStreamError("an event too long")
            self.data.append(value)
        return None
