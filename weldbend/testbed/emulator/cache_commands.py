"""The caches' side of the line protocol: parses commands from a ring and encodes answers. No I/O."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import LONGEST_LINE, read_fields
from weldbend.cache_protocol.commands import format_fields
from weldbend.testbed.errors import TestbedError

LONGEST_BODY = 48_000  # bytes of the body of a command
LINE_END = b"\r\n"
DO_TOKENS = 4  # number of tokens in the line of a do command: do, id, fields and length
OTHER_TOKENS = 2  # number of tokens of the other commands: undo, ping or top, and a name


class CommandProblem(Enum):
    """Reasons for which received bytes are not a valid command."""

    LONG_LINE = "a line too long"
    MALFORMED_LINE = "line"
    BODY_END = "a body that does not end where it should"


class InvalidCommandError(TestbedError):
    """Received bytes that are not a valid command.

    Attributes:
        problem: Reason for the rejection.
        line: Malformed line; empty for other problems.
    """

    def __init__(self, problem: CommandProblem, line: str = "") -> None:
        self.problem = problem
        self.line = line
        super().__init__(f"{problem.value} {line[:80]!r}" if line else problem.value)


@dataclass(frozen=True, slots=True)
class Command:
    """One command of a front.

    Attributes:
        word: Command word: do, undo, ping or top.
        name: Id of the request, or tag of the health check.
        fields: Fields of a do command by name; empty for other commands.
        body: Body of a do command.
    """

    word: str
    name: str
    fields: dict[str, str]
    body: bytes = b""


class Parser:
    """Incremental parser for commands; the bytes of a command may arrive in any number of pieces.

    Attributes:
        ring: Bytes received and not yet parsed.
        pending_line: Tokens of a parsed command line whose body is incomplete; None if a line is parsed next.
    """

    def __init__(self, ring: Ring) -> None:
        self.ring = ring
        self.pending_line: list[str] | None = None

    def all(self) -> Iterator[Command]:
        """Yield all complete commands.

        Raises:
            InvalidCommandError: The bytes are not a valid command.
        """
        while command := self.next():
            yield command

    def next(self) -> Command | None:
        """Return the next command, or None if it is incomplete.

        Raises:
            InvalidCommandError: The bytes are not a valid command.
        """
        if self.pending_line is None:
            self.pending_line = self._read_line()
        if self.pending_line is None:
            return None
        tokens = self.pending_line
        if tokens[0] in ("undo", "ping", "top") and len(tokens) == OTHER_TOKENS:
            self.pending_line = None
            return Command(tokens[0], tokens[1], {})
        if (
            tokens[0] != "do"
            or len(tokens) != DO_TOKENS
            or not tokens[3].isdigit()
            or int(tokens[3]) > LONGEST_BODY
        ):
            raise InvalidCommandError(CommandProblem.MALFORMED_LINE, " ".join(tokens))
        length = int(tokens[3])
        if len(self.ring) < length + len(LINE_END):
            return None
        body = self.ring.read(length)
        if self.ring.read(len(LINE_END)) != LINE_END:
            raise InvalidCommandError(CommandProblem.BODY_END)
        self.pending_line = None
        return Command("do", tokens[1], read_fields(tokens[2]), body)

    def _read_line(self) -> list[str] | None:
        """Return the tokens of the next line, or None if it is incomplete."""
        end = self.ring.find(LINE_END, 0, LONGEST_LINE)
        if end < 0:
            if len(self.ring) >= LONGEST_LINE:
                raise InvalidCommandError(CommandProblem.LONG_LINE)
            return None
        tokens = self.ring.read(end).decode("ascii", "replace").split(" ")
        self.ring.skip(len(LINE_END))
        return tokens


def encode_answer(name: str, word: str, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer.

    Args:
        name: Id of the request, or tag of the health check, that is answered.
        word: Status of the answer, such as DONE.
        fields: Fields of the answer by name.
        body: Body of the answer.
    """
    line = f"{name} {word} {format_fields(fields)} {len(body)}\r\n".encode()
    return b"".join((line, body, LINE_END))
