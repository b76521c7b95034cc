"""One connection to a cache, a parent or the origin, and the pulls that are out on it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol import answers, commands
from weldbend.cache_protocol.answers import Answer, InvalidAnswerError, Parser
from weldbend.invariants import anomalies, check_invariant

CHUNK = 1 << 16  # the most that one read of a socket brings
IN = answers.LONGEST_BODY + answers.LONGEST_LINE + 2 * CHUNK
KEPT = 1 << 17  # memory that a connection's ring keeps: answers come one after another
MOST_UNDONE = 1024  # names of pulls given up that a connection remembers
STALL = 0.2  # seconds in which the next byte of an answer that has begun must come
LAST = ("DONE", "KEEP")  # answers after which a download has no further pull
AGAIN = 0.02  # seconds after which that is looked at once more
LEAVE = 1.0  # seconds in which what was written to a connection that is closed has to leave it
OUT = 1 << 17  # holds the longest command whole, and what comes behind it


class Lost(Enum):
    """How a pull ended without an answer: what that proves is the decisions' business."""

    UNREACHABLE = auto()  # no connection came up in time
    RESET = auto()  # the connection ended after the first byte had gone out
    MALFORMED = auto()  # the connection brought what is no answer, and was ended
    WITHDRAWN = auto()  # taken back before any byte went out


@dataclass(eq=False, slots=True)
class Attempt:
    """One command to a cache, whose end is reported once: by an answer or by how it was lost."""

    name: str
    cache: int
    source: int | None
    key: str
    group: int
    command: Callable[[], bytes]  # written out when the first byte goes
    ended: Callable[["Attempt", Answer | Lost], None]
    fleeting: bool = False  # what allows it may be over soon: it waits no longer than a turn
    connection: "CacheConnection | None" = None
    queued: float = 0.0
    sent: float = 0.0
    over: bool = False

    def end(self, how: Answer | Lost) -> None:
        if not self.over:
            self.over = True
            self.ended(self, how)

    def waits(self) -> bool:
        """Whether no byte of it has gone out, and one may still."""
        return not self.over and self.connection is None


class Timer(Protocol):
    def cancel(self) -> None: ...


class Timers(Protocol):
    def now(self) -> float: ...
    def after(self, delay: float, call: Callable[[], object]) -> Timer: ...


class Owner(Protocol):
    """Who keeps the connections of one cache."""

    streams: int
    longest: float  # seconds for which anyone waits for an answer

    def came(self, connection: "CacheConnection") -> None: ...
    def room(self) -> None: ...
    def went(self, connection: "CacheConnection") -> None: ...
    def unknown(self, answer: Answer) -> None: ...


@implementer(IPushProducer)
@dataclass(eq=False)
class CacheConnection(Connection):
    owner: Owner
    timers: Timers
    incoming: Ring = field(default_factory=lambda: Ring(IN, KEPT))
    going: Ring = field(default_factory=lambda: Ring(OUT))
    out: dict[str, Attempt] = field(default_factory=dict)
    undone: dict[str, None] = field(default_factory=dict)  # names whose answer may still be on its way
    transport: Any = None
    paused = resting = retired = lost = watched = dropped = False
    how = Lost.RESET  # what is told of the pulls that are out when it ends
    made = used = heard = 0.0
    answer_begun = answer_ended = 0.0  # when the answer on its way began to come, and when the last was whole

    def connectionMade(self) -> None:
        self.parser = Parser(self.incoming)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.made = self.used = self.heard = self.timers.now()
        self.owner.came(self)

    def takes(self, name: str) -> bool:
        """Whether a pull's first byte would go out at once, and its answer could be told from others."""
        free = not (self.paused or self.going or self.retired or self.lost)
        return (
            free and len(self.out) < self.owner.streams and name not in self.out and name not in self.undone
        )

    def send(self, attempt: Attempt) -> None:
        command = attempt.command()
        attempt.connection, attempt.sent = self, self.timers.now()
        self.out[attempt.name] = attempt
        self.write(command)

    def undo(self, attempt: Attempt) -> None:
        """Give a pull up; a connection on which nothing was heard since it went out takes no more, nor does
        one that has been busy since with an answer which does not end."""
        if self.out.pop(attempt.name, None) is not attempt or self.lost:
            return
        self.forgo(attempt.name)
        self.write(commands.undo(attempt.name))
        self.flush()
        stuck = self.incoming and not self.resting and self.answer_ended <= attempt.sent
        self.retired = self.retired or self.heard <= attempt.sent or bool(stuck)
        self.settle()

    def forgo(self, name: str) -> None:
        """Take no further pull under a name whose answer may still be on its way, or come a second time.

        Guards against second copies: a doubled answer would be taken for that of the next pull of the same
        download, and another would go out while that one is. Harm: such pulls need a second connection.
        """
        self.undone[name] = None
        if len(self.undone) > MOST_UNDONE:
            del self.undone[next(iter(self.undone))]

    def write(self, command: bytes) -> None:
        self.used = self.timers.now()
        check_invariant(self.going.write(command) == len(command), "a cache's ring has room for a command")
        self.pump()

    def flush(self) -> None:
        """Have what was written leave now, not when the reactor comes to it.

        Guards against second copies: the pull that takes another's place goes over another connection, the
        reactor writes to both in any order, and the process may be held up between them. Harm: none known.
        """
        if not (self.lost or self.dropped or self.transport.disconnecting):
            self.transport.doWrite()

    def pump(self) -> None:
        while self.going and not self.paused:
            self.transport.write(self.going.read(min(len(self.going), CHUNK)))

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        self.pump()
        self.owner.room()

    def stopProducing(self) -> None:
        self.paused = True

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.timers.now()
        if not self.incoming:
            self.answer_begun = self.heard
        check_invariant(self.incoming.write(data) == len(data), "a cache's ring has room for a chunk")
        if not self.resting:
            self.read()

    def read(self) -> None:
        try:
            while not self.resting and (answer := self.parser.next()):
                self.answered(answer)
        except InvalidAnswerError:  # nothing that follows can be trusted
            self.spoilt("garbage from a cache")
        if self.incoming and not (self.watched or self.lost or self.dropped or self.resting):
            self.watch()

    def watch(self) -> None:
        """Guards all that is out here against an answer that stops in the middle: what follows never comes.

        Answers are written whole, so one that has begun is as good as here; it ends before anyone's expiry.
        Harm: one whose bytes do come on after a longer standstill is asked for again.
        """
        self.watched = True
        self.timers.after(STALL, self.look)

    def look(self, sure: bool = False) -> None:
        """Looked at twice: when this front itself was held up, what came meanwhile is still to be read."""
        self.watched = False
        if self.lost or self.dropped or self.resting or not self.incoming:
            return
        if self.timers.now() > self.answer_begun + self.owner.longest:
            self.spoilt("answers that never end")
        elif self.timers.now() < self.heard + STALL:
            self.watch()
        elif sure:
            self.spoilt("answers that stop in the middle")
        else:
            self.watched = True
            self.timers.after(AGAIN, lambda: self.look(sure=True))

    def spoilt(self, what: str) -> None:
        anomalies[what] += 1
        self.drop(Lost.MALFORMED)

    def rest(self, resting: bool) -> None:
        """Stop or go on reading, for as long as what was read has nowhere to go."""
        if resting is self.resting or self.lost:
            return
        self.resting = resting
        (self.transport.pauseProducing if resting else self.transport.resumeProducing)()
        if not resting:
            self.answer_begun = self.timers.now()
            self.read()

    def answered(self, answer: Answer) -> None:
        self.answer_begun = self.answer_ended = self.timers.now()
        attempt = self.out.pop(answer.name, None)
        if attempt:
            if answer.word not in LAST:
                self.forgo(answer.name)
            attempt.end(answer)
        elif answer.name in self.undone:
            del self.undone[answer.name]
        else:
            self.owner.unknown(answer)
        self.used = self.timers.now()
        self.settle()

    def settle(self) -> None:
        if self.retired and not self.out:
            self.close()
        else:
            self.owner.room()

    def retire(self) -> None:
        """Take no more pulls, and close once those out have ended."""
        self.retired = True
        if not self.out:
            self.close()

    def close(self) -> None:
        """Close once what was written has left, or soon: a cache that hangs might never take it."""
        if not (self.lost or self.dropped):
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            self.timers.after(LEAVE, self.let_go)

    def let_go(self) -> None:
        if not self.lost:
            self.transport.abortConnection()

    def drop(self, how: Lost = Lost.RESET) -> None:
        """End it at once; what is out on it has ended when the socket is closed, not before.

        Guards against second copies: a pull told to have ended may go out again before this one is closed.
        """
        if not (self.lost or self.dropped):
            self.how, self.dropped, self.retired = how, True, True
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        self.end(self.how)

    def read_out(self) -> None:
        """Take the answers that came whole before the end, and lay unread as nothing had room for them.

        Guards pulls that ran from passing for lost, and downloads from being abandoned over an answer that
        is here. Harm: answers beyond what slow readers may hold, one ring of them.
        """
        self.resting = False
        try:
            while answer := self.parser.next():
                self.answered(answer)
        except InvalidAnswerError:
            anomalies["garbage from a cache"] += 1

    def end(self, how: Lost) -> None:
        if self.lost:
            return
        self.lost = True
        if not self.dropped:
            self.read_out()
        self.owner.went(self)
        attempts, self.out = list(self.out.values()), {}
        for attempt in attempts:
            attempt.end(how)
