"""Answers of caches, taken whole from a ring."""

from dataclasses import dataclass

from weldbend.buffers.ring import Ring

LONGEST_LINE = 2048
LONGEST_BODY = 240_000
WORDS = frozenset(("DONE", "KEEP", "LACK", "WAIT", "BROKE", "PAST", "FIT", "UNFIT"))


class InvalidAnswerError(Exception):
    """Bytes that are no answer."""


@dataclass(frozen=True, slots=True)
class Answer:
    name: str
    word: str
    fields: dict[str, str]
    body: bytes


def read_fields(text: str) -> dict[str, str]:
    pairs = () if text == "-" else [pair.partition("=") for pair in text.split(",")]
    if any(not equals or not name for name, equals, _ in pairs):
        raise InvalidAnswerError(f"fields {text[:80]!r}")
    return {name: value for name, _, value in pairs}


class Parser:
    """Takes answers from a ring; a line is read once, however its bytes arrive."""

    __slots__ = ("length", "line", "ring", "seen")

    def __init__(self, ring: Ring) -> None:
        self.ring, self.seen, self.length = ring, 0, 0
        self.line: tuple[str, str, str] | None = None

    def next(self) -> Answer | None:
        """The next whole answer, if there is one; raises BadAnswer for what can be none."""
        if self.line is None and not self.read_line():
            return None
        if self.line is None or len(self.ring) < self.length + 2:
            return None
        body = self.ring.read(self.length)
        if self.ring.read(2) != b"\r\n":
            raise InvalidAnswerError("a body that does not end where it should")
        name, word, fields = self.line
        self.line = None
        return Answer(name, word, read_fields(fields), body)

    def read_line(self) -> bool:
        end = self.ring.find(b"\r\n", max(self.seen - 1, 0), LONGEST_LINE)
        if end < 0:
            if len(self.ring) >= LONGEST_LINE:
                raise InvalidAnswerError("a line too long")
            self.seen = len(self.ring)
            return False
        raw = self.ring.read(end)
        self.ring.skip(2)
        self.seen = 0
        try:
            name, word, fields, length = raw.decode("ascii").split(" ")
        except ValueError:
            raise InvalidAnswerError(f"line {raw[:80]!r}") from None
        if word not in WORDS or not length.isdigit() or len(length) > 6 or int(length) > LONGEST_BODY:
            raise InvalidAnswerError(f"line {raw[:80]!r}")
        self.line, self.length = (name, word, fields), int(length)
        return True
