"""Parser of server-sent events (WHATWG HTML, section 9.2) that accepts the stream in chunks of any size."""

from collections.abc import Iterator
from typing import NamedTuple

from weldbend.buffers.ring import Ring
from weldbend.event_bus.errors import InvalidStreamError

MAX_BYTES = 1 << 20  # maximum length of a line, and of the data lines of a message together


class Message(NamedTuple):
    """One message: the id that was last received on the stream, and the data lines joined by newlines."""

    id: str
    data: str


class Parser:
    """Parser of one stream; lines and messages are limited to `max_bytes`."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.ring = Ring(2 * max_bytes)
        self.max_bytes = max_bytes
        self.scanned = 0  # leading bytes of the ring that contain no line ending
        self.last_id = ""
        self.data_lines: list[str] = []
        self.data_bytes = 0
        self.ended_in_cr = False  # whether the last chunk ended in CR, which may be the first half of CR LF

    def feed(self, chunk: bytes) -> Iterator[Message]:
        """Add a chunk of the stream and yield each message that it completes.

        Raises:
            InvalidStreamError: A line or a message is too long.
        """
        rest = memoryview(self.unify_line_endings(chunk))
        while rest:
            rest = rest[self.ring.write(rest) :]
            while (line := self.next_line()) is not None:
                message = self.process_line(line)
                if message:
                    yield message

    def unify_line_endings(self, chunk: bytes) -> bytes:
        """Return a chunk with LF in place of each line ending, which may be CR LF, LF or CR."""
        if self.ended_in_cr:
            chunk = chunk.removeprefix(b"\n")
        self.ended_in_cr = chunk.endswith(b"\r")
        return chunk.replace(b"\r\n", b"\n").replace(b"\r", b"\n")

    def next_line(self) -> bytes | None:
        """Remove and return the next line without its ending, or return None if it is incomplete."""
        end = self.ring.find(b"\n", self.scanned, len(self.ring))
        if max(end, len(self.ring) if end < 0 else 0) > self.max_bytes:
            raise InvalidStreamError("line", self.max_bytes)
        if end < 0:
            self.scanned = len(self.ring)
            return None
        self.scanned = 0
        line = self.ring.read(end)
        self.ring.skip(1)
        return line

    def process_line(self, line: bytes) -> Message | None:
        """Process a line and return the message that it completes, if any."""
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
