"""Answers of caches, read from a ring when they are complete."""

from dataclasses import dataclass

from weldbend.buffers.ring import Ring

LONGEST_LINE = 2048  # bytes
LONGEST_BODY = 240_000  # bytes
MAX_LENGTH_DIGITS = 6  # of LONGEST_BODY
LINE_END = b"\r\n"
EXCERPT_LENGTH = 80  # bytes or characters of what is wrong that an error quotes
STATUSES = frozenset(("DONE", "KEEP", "LACK", "WAIT", "BROKE", "PAST", "FIT", "UNFIT"))


class InvalidAnswerError(Exception):
    """Bytes that are no answer.

    Attributes:
        section: What is wrong: the line, its fields, or the end of the body.
        excerpt: Its beginning.
    """

    def __init__(self, section: str, raw: str | bytes) -> None:
        self.section = section
        self.excerpt = raw[:EXCERPT_LENGTH]
        super().__init__(f"{section} {self.excerpt!r}")


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer of a cache.

    Attributes:
        name: The name of the attempt or health check that it answers.
        status: How that went: one of STATUSES.
        fields: Further texts.
        body: The object; empty where there is none.
    """

    name: str
    status: str
    fields: dict[str, str]
    body: bytes


def read_fields(text: str) -> dict[str, str]:
    """Read `name=value` pairs with commas between, or a lone `-` for none; raises `InvalidAnswerError`."""
    pairs = () if text == "-" else [pair.partition("=") for pair in text.split(",")]
    if any(not equals or not name for name, equals, _ in pairs):
        raise InvalidAnswerError("fields", text)
    return {name: value for name, _, value in pairs}


class AnswerParser:
    """Reads answers from a ring; a line is searched once, however its bytes arrive.

    Attributes:
        ring: The bytes that came.
        scanned_bytes: Bytes at the ring's start that hold no complete line end.
        line: Name, status and fields of the answer whose body is due next; None where its line is due.
        length: Bytes of that body.
    """

    __slots__ = ("length", "line", "ring", "scanned_bytes")

    def __init__(self, ring: Ring) -> None:
        self.ring = ring
        self.scanned_bytes = 0
        self.length = 0
        self.line: tuple[str, str, str] | None = None

    def next(self) -> Answer | None:
        """The next complete answer, if there is one.

        Raises:
            InvalidAnswerError: What came can be no answer; nothing that follows can be trusted.
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
        """Read the line that begins an answer; false where it is not complete."""
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
