"""A parser of server-sent events (WHATWG HTML, section 9.2): bytes in any split in, messages out."""

from collections.abc import Iterator
from typing import NamedTuple

from weldbend.buffers.ring import Ring
from weldbend.event_bus.errors import InvalidStreamError

MAX_BYTES = 1 << 20  # of one line, and of one message's data


class Message(NamedTuple):
    """One message: the last id on the stream, and its data lines joined."""

    id: str
    data: str


class Parser:
    """Parses one stream; lines and messages are limited to `max_bytes`."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.ring = Ring(2 * max_bytes)
        self.max_bytes = max_bytes
        self.scanned = 0  # bytes of the ring known to contain no end of a line
        self.last_id = ""
        self.data_lines: list[str] = []
        self.data_bytes = 0

    def feed(self, chunk: bytes) -> Iterator[Message]:
        """Yield each message that a chunk completes.

        Raises:
            InvalidStreamError: A line or a message is too long.
        """
        rest = memoryview(chunk)
        while rest:
            rest = rest[self.ring.write(rest) :]
            while (line := self.next_line()) is not None:
                message = self.process_line(line)
                if message:
                    yield message

    def next_line(self) -> bytes | None:
        """Remove and return the next line without its end, or None if it is incomplete."""
        end = self.ring.find(b"\n", self.scanned, len(self.ring))
        if max(end, len(self.ring) if end < 0 else 0) > self.max_bytes:
            raise InvalidStreamError("line", self.max_bytes)
        if end < 0:
            self.scanned = len(self.ring)
            return None
        self.scanned = 0
        line = self.ring.read(end)
        self.ring.skip(1)
        return line.removesuffix(b"\r")

    def process_line(self, line: bytes) -> Message | None:
        """Process a line, and return the message that it completes, if any."""
        if not line:
            message = Message(self.last_id, "\n".join(self.data_lines)) if self.data_lines else None
            self.data_lines = []
            self.data_bytes = 0
            return message
        name, _, value = line.decode("utf-8", "replace").partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            self.last_id = value
        elif name == "data":
            self.data_bytes += len(line)
            if self.data_bytes > self.max_bytes:
                raise InvalidStreamError("event", self.max_bytes)
            self.data_lines.append(value)
        return None
