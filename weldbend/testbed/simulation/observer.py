"""What crosses the sockets of a virtual run, as messages with their times: the auditor's only witness.

Bytes are tapped where they are handed to the network, and read with the laboratory's own parsers; nothing is
asked of a front, and no code of the decisions is used.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import Answer, AnswerParser, InvalidAnswerError
from weldbend.testbed.emulator import cache_commands
from weldbend.testbed.load import client_calls
from weldbend.thrift.errors import InvalidFrameError, InvalidMessageError
from weldbend.thrift.framing import next_frame
from weldbend.thrift.messages import GiveUp, InvalidCall, Probe, Process, read_call

LONGEST = 1 << 20


@dataclass(frozen=True, slots=True)
class Seen:
    """One message; `link` numbers the connection, `front` names the front at one of its ends."""

    at: float
    link: int
    front: str
    other: str  # the cache's address, or the client's machine
    what: Any  # Process, GiveUp, Probe or InvalidCall of a client; Heard, Command, Answer; or a word
    # `gone`: the connection has ended; `garbage`: bytes that cannot be read


Witness = Callable[[Seen], None]


def frames(ring: Ring, read: Callable[[bytes], Any]) -> Iterator[Any]:
    while data := next_frame(ring, LONGEST):
        yield read(data)


def all_answers(parser: AnswerParser) -> Iterator[Answer]:
    while one := parser.next():
        yield one


class Ear:
    """Listens to one direction of one connection."""

    def __init__(self, kind: str, told: Callable[[Any], None]) -> None:
        self.ring, self.told, self.dead = Ring(LONGEST), told, False
        answers, asked = AnswerParser(self.ring), cache_commands.Parser(self.ring)

        self.read: Callable[[], Iterator[Any]] = {
            "calls": lambda: frames(self.ring, read_call),
            "heard": lambda: frames(self.ring, client_calls.read_answer),
            "commands": asked.all,
            "answers": lambda: all_answers(answers),
        }[kind]

    def __call__(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest and not self.dead:
            rest = rest[self.ring.write(rest) :]
            found = self.read()
            while (one := self.next(found)) is not None:
                self.told(one)

    def next(self, found: Iterator[Any]) -> Any:
        """The next message; `garbage` once where there can be none any more."""
        try:
            return next(found, None)
        except (
            InvalidMessageError,
            InvalidFrameError,
            InvalidAnswerError,
            cache_commands.InvalidCommandError,
            ValueError,
            KeyError,
        ):
            self.dead = True
            return "garbage"


__all__ = ["Ear", "GiveUp", "InvalidCall", "Probe", "Process", "Seen", "Witness"]
