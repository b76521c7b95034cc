"""A client's connection: calls in, answers out, each direction through one bounded ring.

A download is open from its last byte until its one answer is handed to the connection, or until
nobody waits for it. The connection never closes by itself while one is open, unless its client does
what no client of ours does: then all that is open is abandoned, and it is cast out at once.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.buffers.ring import Ring
from weldbend.checks import must, odd
from weldbend.parking.rules import Seen
from weldbend.parking.table import Memory
from weldbend.thrift import messages
from weldbend.thrift.binary import BadMessage
from weldbend.thrift.framing import BadFrame, next_frame

CHUNK = 1 << 16  # the most that one read of a socket brings
LONGEST_FRAME = 48_000 + (1 << 14)  # the longest body, and what comes with it
OUT = 1 << 18  # holds the longest answer whole
MOST_OPEN = 32  # the protocol's bound on open downloads of one connection
MOST_FLAWS = 4  # calls turned back that a client may make
MOST_WITHDRAWN = 64  # calls withdrawn with their own bytes, one after another, that a client may make


@dataclass(eq=False, slots=True)
class Call:
    """One download as its client asked for it."""

    client: "Client"
    seqid: int
    fields: dict[str, str]
    body: bytes
    waited: float = 0.0  # seconds for which it lay here before it could be read
    answered: bool = False
    serial: str = ""  # what the taker calls it

    def fulfill(self, body: bytes, same: bool) -> None:
        self.end(messages.answer("process", self.seqid, body, {"ok304": "1"} if same else {}, True))

    def throttle(self, wait: float) -> None:
        self.end(messages.overloaded(self.seqid, {"after": str(int(wait * 1000))} if wait > 0 else {}))

    def abandon(self) -> None:
        self.end(messages.internal(self.seqid))

    def turn_back(self, why: str) -> None:
        wrong = messages.Wrong("process", self.seqid, messages.PROTOCOL_ERROR, why)
        self.end(messages.application_exception(wrong))
        self.client.flawed()

    def end(self, answer: bytes) -> None:
        if must(not self.answered, "a download has one answer"):
            self.answered = True
            self.client.finish(self, answer)


class Taker(Protocol):
    """Who takes the downloads that clients bring."""

    def take(self, call: Call) -> None: ...
    def leave(self, call: Call) -> None: ...
    def serving(self) -> bool: ...
    def opened(self, client: "Client") -> None: ...
    def closed(self, client: "Client") -> None: ...
    def held(self, change: int) -> None: ...
    def now(self) -> float: ...
    def fault(self, at: str) -> None: ...
    def welcome(self, host: str) -> bool: ...
    def cast_out(self, host: str) -> None: ...


@implementer(IPushProducer, IHalfCloseableProtocol)
@dataclass(eq=False)
class Client(Connection):
    taker: Taker
    came: Ring = field(default_factory=lambda: Ring(LONGEST_FRAME + 4 + 2 * CHUNK))
    going: Ring = field(default_factory=lambda: Ring(OUT))
    behind: deque[bytes] = field(default_factory=deque)  # whole answers that the ring has no room for
    open: dict[int, Call] = field(default_factory=dict)
    transport: Any = None
    paused = ended = lost = resting = reading = shut = False
    calls = flaws = withdrawn = 0
    heard = begun = 0.0  # when it last was not idle, and since when a call is on its way
    waited = 0.0  # seconds for which what is read now lay there while others were woken
    fresh: set[Call] = field(default_factory=set)  # calls of the read that is under way

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.heard = self.taker.now()
        self.taker.opened(self)

    def resume(self, transport: Any, memory: Memory) -> None:
        """Go on as the connection that was parked."""
        self.transport, self.connected = transport, 1
        self.calls, self.flaws, self.withdrawn, self.heard = memory
        transport.registerProducer(self, True)

    def take_late(self, data: bytes, waited: float) -> None:
        """What a parked connection woke with, `waited` seconds after that was noticed."""
        self.waited = waited
        try:
            self.dataReceived(data)
        except Exception:  # the reactor would end the connection just so
            self.taker.fault("a woken connection")
            self.transport.abortConnection()
        finally:
            self.waited = 0.0

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.taker.now()
        if not self.came:
            self.begun = self.heard
        must(self.came.write(data) == len(data), "a client's ring has room for a chunk")
        self.read()

    def read(self) -> None:
        """Take what has come whole, but nothing of one that reads no answers."""
        if self.reading:  # a call turned back at once makes room for the next: not one inside the other
            return
        self.reading = True
        try:
            while not self.ended and not self.behind:
                data = next_frame(self.came, LONGEST_FRAME)
                if data is None:
                    break
                self.begun = self.heard
                self.called(messages.read_call(data))
        except (BadFrame, BadMessage):
            self.cast_out("clients that break the protocol")
        finally:
            self.reading = False
            if not self.fresh.isdisjoint(self.open.values()):  # some that it still waits for
                self.withdrawn = 0
            self.fresh.clear()
        if self.shut and not self.behind:
            self.ended = True  # all that came whole is taken
        if self.ended:
            self.came.skip(len(self.came))
        self.rest(self.ended or self.came.free() < CHUNK)

    def readConnectionLost(self) -> None:
        """Guards against losing downloads of a client that has said all it will say, and still listens.

        Harm: a client that has gone altogether is noticed at the first answer only.
        """
        self.shut = True
        self.go_on()

    def writeConnectionLost(self) -> None:
        pass  # a connection that cannot be written to is lost as a whole

    def rest(self, resting: bool) -> None:
        if resting is not self.resting and not self.lost:
            self.resting = resting
            (self.transport.pauseProducing if resting else self.transport.resumeProducing)()

    def called(self, call: messages.Process | messages.GiveUp | messages.Probe | messages.Wrong) -> None:
        self.calls += 1
        match call:
            case messages.Process(seqid) if seqid in self.open:  # a second answer must never be sent
                self.cast_out("clients with two calls under one number")
            case messages.Process() if len(self.open) >= MOST_OPEN:
                self.cast_out("clients with more open than they may have")
            case messages.Process(seqid, fields, body):
                taken = self.open[seqid] = Call(self, seqid, fields, body, self.waited)
                self.fresh.add(taken)
                self.taker.take(taken)
            case messages.GiveUp(seqid):
                if left := self.open.pop(seqid, None):
                    left.answered = True
                    self.taker.leave(left)
                    self.withdrew(left in self.fresh)
            case messages.Probe(seqid):
                self.send(messages.answer("probe", seqid, b"", {}, self.taker.serving()))
            case messages.Wrong() if call.seqid in self.open:
                self.cast_out("clients with two calls under one number")
            case messages.Wrong():
                self.send(messages.application_exception(call))
                self.flawed()

    def withdrew(self, at_once: bool) -> None:
        """Guards against clients that withdraw calls by the hundred as they bring them.

        One that soon stops waiting is none of them: when this front is late, its calls are read with their
        withdrawals. Harm: none known; what is open then is little.
        """
        self.withdrawn = self.withdrawn + 1 if at_once else 0
        if self.withdrawn >= MOST_WITHDRAWN:
            self.cast_out("clients that withdraw what they bring")

    def flawed(self) -> None:
        """Guards against clients that bring the same unusable call again as soon as it is turned back.

        Harm: one with a bad call now and then connects anew.
        """
        self.flaws += 1
        if self.flaws >= MOST_FLAWS:
            self.cast_out("clients turned back too often")

    def cast_out(self, why: str) -> None:
        """End it with all that is open on it: what such a client asked for must not be fulfilled."""
        if not (self.ended or self.lost):
            odd[why] += 1
            self.ended = True
            self.taker.cast_out(self.host())
            for call in list(self.open.values()):
                self.taker.leave(call)
                if not call.answered:
                    call.abandon()
            self.close_if_done()

    def host(self) -> str:
        """The address that it comes from."""
        return str(getattr(self.transport.getPeer(), "host", ""))

    def seen(self, now: float) -> Seen:
        """What a look at it finds, at the moment `now` (seconds)."""
        busy = bool(self.open or self.behind or self.going or self.lost or self.transport.disconnecting)
        if busy:
            self.heard = now
        return Seen(busy, bool(self.came), self.calls, self.heard, self.begun)

    def silent(self) -> None:
        self.ended = True
        self.close()

    def parks(self) -> bool:
        """Whether all that there is to know of it is its memory."""
        return self.idle() and not (
            self.ended or self.shut or self.lost or self.paused or self.resting or self.reading
        )

    def memory(self) -> Memory:
        return Memory(self.calls, self.flaws, self.withdrawn, self.heard)

    def parted(self) -> None:
        """Its descriptor has left it: whatever is said to it from here on goes nowhere."""
        self.lost, self.transport = True, None

    def finish(self, call: Call, answer: bytes) -> None:
        self.heard = self.taker.now()
        if self.open.pop(call.seqid, None) is not call or self.lost:
            return
        self.send(answer)
        self.go_on()

    def send(self, answer: bytes) -> None:
        if self.lost:
            return
        if not (self.paused or self.behind or self.going):  # nothing waits: no need to wait behind it
            self.transport.write(answer)
            return
        self.behind.append(answer)
        self.taker.held(len(answer))
        self.pump()

    def pump(self) -> None:
        """Move whole answers into the ring, and the ring's bytes on while the socket takes them."""
        while True:
            while self.behind and len(self.behind[0]) <= self.going.free():
                self.going.write(self.behind.popleft())
            if self.paused or not self.going:
                break
            data = self.going.read(min(len(self.going), CHUNK))
            self.taker.held(-len(data))
            self.transport.write(data)

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        self.pump()
        self.go_on()

    def go_on(self) -> None:
        """Something has ended: take what waited for that, and close if it was the last."""
        if (self.came or self.shut) and not (self.ended or self.lost):
            self.read()
        self.close_if_done()

    def stopProducing(self) -> None:
        self.paused = True

    def idle(self) -> bool:
        return not (self.open or self.came or self.going or self.behind)

    def finish_and_close(self) -> None:
        """Hear no more of a client; what is open still gets its answer."""
        self.ended = True
        self.close_if_done()

    def close_if_done(self) -> None:
        if self.ended and not (self.open or self.going or self.behind or self.lost):
            self.close()

    def close(self) -> None:
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        self.lost = True
        self.taker.held(-len(self.going) - sum(map(len, self.behind)))
        self.behind.clear()
        calls, self.open = list(self.open.values()), {}
        for call in calls:
            call.answered = True
            self.taker.leave(call)
        self.taker.closed(self)
