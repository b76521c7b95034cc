"""The caches' side of the line protocol: complete commands read from a ring, answers written. No I/O."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import LONGEST_LINE, read_fields
from weldbend.cache_protocol.commands import format_fields
from weldbend.testbed.errors import TestbedError

LONGEST_BODY = 48_000  # bytes of a command's body
LINE_END = b"\r\n"
DO_TOKENS = 4  # do, id, fields and length
OTHER_TOKENS = 2  # undo, ping or top, and a name


class CommandProblem(Enum):
    """Why bytes are no command."""

    LONG_LINE = "a line too long"
    MALFORMED_LINE = "line"
    BODY_END = "a body that does not end where it should"


class InvalidCommandError(TestbedError):
    """Bytes that are no command; `line` is the malformed line."""

    def __init__(self, problem: CommandProblem, line: str = "") -> None:
        self.problem = problem
        self.line = line
        super().__init__(f"{problem.value} {line[:80]!r}" if line else problem.value)


@dataclass(frozen=True, slots=True)
class Command:
    """`word` is do, undo, ping or top; `name` the id of a request or the tag of a health check."""

    word: str
    name: str
    fields: dict[str, str]
    body: bytes = b""


class Parser:
    """Reads commands from a ring, however their bytes arrive."""

    def __init__(self, ring: Ring) -> None:
        self.ring = ring
        self.pending_line: list[str] | None = None  # the words of a line whose body is not complete

    def all(self) -> Iterator[Command]:
        """All commands that are complete; raises InvalidCommandError."""
        while command := self.next():
            yield command

    def next(self) -> Command | None:
        """The next command, None where it is not complete; raises InvalidCommandError."""
        if self.pending_line is None:
            self.pending_line = self._read_line()
        if self.pending_line is None:
            return None
        head = self.pending_line
        if head[0] in ("undo", "ping", "top") and len(head) == OTHER_TOKENS:
            self.pending_line = None
            return Command(head[0], head[1], {})
        if head[0] != "do" or len(head) != DO_TOKENS or not head[3].isdigit() or int(head[3]) > LONGEST_BODY:
            raise InvalidCommandError(CommandProblem.MALFORMED_LINE, " ".join(head))
        length = int(head[3])
        if len(self.ring) < length + len(LINE_END):
            return None
        body = self.ring.read(length)
        if self.ring.read(len(LINE_END)) != LINE_END:
            raise InvalidCommandError(CommandProblem.BODY_END)
        self.pending_line = None
        return Command("do", head[1], read_fields(head[2]), body)

    def _read_line(self) -> list[str] | None:
        """The words of a line, None where it is not complete."""
        end = self.ring.find(LINE_END, 0, LONGEST_LINE)
        if end < 0:
            if len(self.ring) >= LONGEST_LINE:
                raise InvalidCommandError(CommandProblem.LONG_LINE)
            return None
        tokens = self.ring.read(end).decode("ascii", "replace").split(" ")
        self.ring.skip(len(LINE_END))
        return tokens


def encode_answer(name: str, word: str, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    """The bytes of an answer; `name` is the id of the request that it answers."""
    line = f"{name} {word} {format_fields(fields)} {len(body)}\r\n".encode()
    return b"".join((line, body, LINE_END))
