"""Incremental parser for the answers of caches."""

from dataclasses import dataclass

from weldbend.buffers.ring import Ring

LONGEST_LINE = 2048  # bytes
LONGEST_BODY = 240_000  # bytes
MAX_LENGTH_DIGITS = 6  # digits of LONGEST_BODY
LINE_END = b"\r\n"
EXCERPT_LENGTH = 80  # bytes or characters of the invalid input that an error quotes
STATUSES = frozenset(("DONE", "KEEP", "LACK", "WAIT", "BROKE", "PAST", "FIT", "UNFIT"))


class InvalidAnswerError(Exception):
    """An answer that violates the protocol.

    Attributes:
        section: Invalid part of the answer: "line", "fields", or "end" (the line end after its body).
        excerpt: Beginning of that part.
    """

    def __init__(self, section: str, raw: str | bytes) -> None:
        self.section = section
        self.excerpt = raw[:EXCERPT_LENGTH]
        super().__init__(f"invalid {section} of a cache's answer: {self.excerpt!r}")


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer of a cache.

    Attributes:
        name: Name of the attempt or health check that it answers.
        status: Outcome, one of STATUSES.
        fields: Additional fields by name.
        body: The object; empty if the answer has none.
    """

    name: str
    status: str
    fields: dict[str, str]
    body: bytes


def read_fields(text: str) -> dict[str, str]:
    """Parse comma-separated `name=value` pairs; a single `-` means that there are none.

    Raises:
        InvalidAnswerError: A pair has no name or no `=`.
    """
    pairs = () if text == "-" else [pair.partition("=") for pair in text.split(",")]
    if any(not equals or not name for name, equals, _ in pairs):
        raise InvalidAnswerError("fields", text)
    return {name: value for name, _, value in pairs}


class AnswerParser:
    """Reads answers from a ring; a line that arrives in parts is not searched again from its start.

    Attributes:
        ring: Bytes received and not yet parsed.
        scanned_bytes: Number of bytes at the ring's start that are known to contain no complete line end.
        line: Name, status and fields of the answer whose body is parsed next; None if a line is parsed next.
        length: Length of that body in bytes.
    """

    __slots__ = ("length", "line", "ring", "scanned_bytes")

    def __init__(self, ring: Ring) -> None:
        self.ring = ring
        self.scanned_bytes = 0
        self.length = 0
        self.line: tuple[str, str, str] | None = None

    def next(self) -> Answer | None:
        """Remove and return the next answer, or return None if no complete answer has arrived.

        Raises:
            InvalidAnswerError: The bytes violate the protocol; no byte that follows can be trusted.
        """
        if self.line is None and not self._read_line():
            return None
        if self.line is None or len(self.ring) < self.length + len(LINE_END):
            return None
        body = self.ring.read(self.length)
        end = self.ring.read(len(LINE_END))
        if end != LINE_END:
            raise InvalidAnswerError("end", end)
        name, status, fields = self.line
        self.line = None
        return Answer(name, status, read_fields(fields), body)

    def _read_line(self) -> bool:
        """Parse the line that begins an answer; return False if it is not complete yet."""
        end = self.ring.find(LINE_END, max(self.scanned_bytes - 1, 0), LONGEST_LINE)
        if end < 0:
            if len(self.ring) >= LONGEST_LINE:
                raise InvalidAnswerError("line", self.ring.peek(EXCERPT_LENGTH))
            self.scanned_bytes = len(self.ring)
            return False
        raw = self.ring.read(end)
        self.ring.skip(len(LINE_END))
        self.scanned_bytes = 0
        try:
            name, status, fields, length = raw.decode("ascii").split(" ")
        except ValueError:
            raise InvalidAnswerError("line", raw) from None
        is_length = length.isdigit() and len(length) <= MAX_LENGTH_DIGITS and int(length) <= LONGEST_BODY
        if status not in STATUSES or not is_length:
            raise InvalidAnswerError("line", raw)
        self.line = name, status, fields
        self.length = int(length)
        return True
