"""Observed messages on the sockets of a simulated run, with their times: the input of the auditor.

Bytes are tapped when they are passed to the network, and read with the testbed's own parsers. No front is
queried, and no code of the routing decisions is used.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from functools import partial

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import Answer, AnswerParser, InvalidAnswerError
from weldbend.testbed.emulator import cache_commands
from weldbend.testbed.emulator.cache_commands import Command, InvalidCommandError
from weldbend.testbed.load import client_calls
from weldbend.testbed.load.client_calls import ClientAnswer
from weldbend.thrift.errors import InvalidFrameError, InvalidMessageError
from weldbend.thrift.framing import next_frame
from weldbend.thrift.messages import GiveUp, InvalidCall, Probe, Process, read_call

MAX_MESSAGE_SIZE = 1 << 20  # bytes

PARSE_ERRORS = (
    InvalidMessageError,
    InvalidFrameError,
    InvalidAnswerError,
    InvalidCommandError,
    ValueError,
    KeyError,
)


class ConnectionEvent(Enum):
    """Events of a connection other than messages."""

    CLOSED = "closed"
    CLIENT_ENDED = "ended by the client"  # it sends nothing more, and waits for no answer
    FRONT_ENDED = "ended by the front"  # it sends nothing more
    UNREADABLE = "unreadable"  # invalid bytes; nothing after them is read


@dataclass(frozen=True, slots=True)
class RequestRead:
    """Event that the process of a front has read the last byte of a request."""

    seqid: int


ClientCall = Process | GiveUp | Probe | InvalidCall
Message = ClientCall | RequestRead | ClientAnswer | Command | Answer | ConnectionEvent


class Traffic(Enum):
    """Kinds of messages in one direction of a connection."""

    CLIENT_CALLS = "client calls"
    CLIENT_ANSWERS = "client answers"
    CACHE_COMMANDS = "cache commands"
    CACHE_ANSWERS = "cache answers"


@dataclass(frozen=True, slots=True)
class ObservedMessage:
    """Message with its time; `link` is the number of the connection, `front` the front at one end of it."""

    at: float
    link: int
    front: str
    peer: str  # the cache's uid, or the clients' machine
    message: Message


def _client_calls(ring: Ring) -> Iterator[Message]:
    while data := next_frame(ring, MAX_MESSAGE_SIZE):
        yield read_call(data)


def _client_answers(ring: Ring) -> Iterator[Message]:
    while data := next_frame(ring, MAX_MESSAGE_SIZE):
        yield client_calls.read_answer(data)


def _cache_answers(parser: AnswerParser) -> Iterator[Message]:
    while answer := parser.next():
        yield answer


def message_reader(traffic: Traffic, ring: Ring) -> Callable[[], Iterator[Message]]:
    """Return a function that yields the complete messages in a ring; it may raise one of PARSE_ERRORS."""
    match traffic:
        case Traffic.CLIENT_CALLS:
            return partial(_client_calls, ring)
        case Traffic.CLIENT_ANSWERS:
            return partial(_client_answers, ring)
        case Traffic.CACHE_COMMANDS:
            return cache_commands.Parser(ring).all
        case Traffic.CACHE_ANSWERS:
            return partial(_cache_answers, AnswerParser(ring))


class Tap:
    """Parses one direction of a connection, and passes each message to a callback."""

    def __init__(self, traffic: Traffic, on_message: Callable[[Message], None]) -> None:
        self.on_message = on_message
        self.is_unreadable = False
        self._ring = Ring(MAX_MESSAGE_SIZE)
        self._read = message_reader(traffic, self._ring)

    def __call__(self, data: bytes) -> None:
        """Parse bytes that were sent."""
        rest = memoryview(data)
        while rest and not self.is_unreadable:
            rest = rest[self._ring.write(rest) :]
            messages = self._read()
            while (message := self._next(messages)) is not None:
                self.on_message(message)

    def _next(self, messages: Iterator[Message]) -> Message | None:
        """Return the next message, or None if there is none yet; after invalid bytes, UNREADABLE once."""
        try:
            return next(messages, None)
        except PARSE_ERRORS:
            self.is_unreadable = True
            return ConnectionEvent.UNREADABLE
