"""A client's connection: calls in, answers out, each direction through one bounded ring.

A download is open from its last byte until its one answer is handed to the connection, or until
nobody waits for it. A client that ends its side has gone: nothing more is done for it. The connection
never closes by itself while a download is open, unless its client does what no client of ours does: then
all that is open is abandoned, and it is cast out at once. A close by this front is said first, and what
still comes is thrown away for a moment: closed over unread bytes, the connection would be reset, and
an answer that the system still holds would be lost with it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.buffers.ring import Ring
from weldbend.idle_connections.connection_table import ConnectionRecord
from weldbend.idle_connections.policy import ConnectionState
from weldbend.invariants import anomalies, check_invariant
from weldbend.thrift import messages
from weldbend.thrift.binary import InvalidMessageError
from weldbend.thrift.framing import InvalidFrameError, next_frame, small_frame

CHUNK = 1 << 16  # the most that one read of a socket brings
LONGEST_FRAME = 48_000 + (1 << 14)  # the longest body, and what comes with it
OUT = 1 << 18  # holds the longest answer whole
MOST_OPEN = 32  # the protocol's bound on open downloads of one connection
MOST_FLAWS = 4  # calls turned back that a client may make
MOST_WITHDRAWN = 64  # calls withdrawn with their own bytes, one after another, that a client may make
SHORT = 64  # bytes that hold any withdrawal, and no download
DRAIN, DRAINED = 0.25, 1 << 20  # seconds and bytes for which a client may go on after this front's close


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
        if check_invariant(not self.answered, "a download has one answer"):
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
    def heed(self, client: "Client", unread: bool) -> None: ...
    def later(self, delay: float, call: Callable[[], None]) -> None: ...
    def now(self) -> float: ...
    def fault(self, at: str) -> None: ...
    def welcome(self, host: str) -> bool: ...
    def cast_out(self, host: str) -> None: ...


@implementer(IPushProducer)
@dataclass(eq=False)
class Client(Connection):
    taker: Taker
    came: Ring = field(default_factory=lambda: Ring(LONGEST_FRAME + 4 + 2 * CHUNK))
    going: Ring = field(default_factory=lambda: Ring(OUT))
    behind: deque[bytes] = field(default_factory=deque)  # whole answers that the ring has no room for
    open: dict[int, Call] = field(default_factory=dict)
    transport: Any = None
    paused = ended = lost = resting = reading = closing = False
    calls = flaws = withdrawn = 0
    seen_ahead = thrown = 0  # bytes looked at before their turn; bytes that came after this front's close
    early: set[int] = field(default_factory=set)  # calls withdrawn before they were taken
    heard = begun = 0.0  # when it last was not idle, and since when a call is on its way
    waited = 0.0  # seconds for which what is read now lay there while others were woken
    fresh: set[Call] = field(default_factory=set)  # calls of the read that is under way

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.heard = self.taker.now()
        self.taker.opened(self)

    def resume(self, transport: Any, memory: ConnectionRecord) -> None:
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
        if self.closing:
            self.thrown += len(data)
            if self.thrown > DRAINED:
                self.transport.abortConnection()
            return
        self.heard = self.taker.now()
        if not self.came:
            self.begun = self.heard
        check_invariant(self.came.write(data) == len(data), "a client's ring has room for a chunk")
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
                self.seen_ahead = max(self.seen_ahead - len(data) - 4, 0)
                self.called(messages.read_call(data))
            if not self.ended:
                self.look_ahead()
        except (InvalidFrameError, InvalidMessageError):
            self.cast_out("clients that break the protocol")
        finally:
            self.reading = False
            if not self.fresh.isdisjoint(self.open.values()):  # some that it still waits for
                self.withdrawn = 0
            self.fresh.clear()
        if self.ended:
            self.came.skip(len(self.came))
        self.rest(self.came.free() < CHUNK)

    def look_ahead(self) -> None:
        """Heed withdrawals among calls that wait to be taken, since their client reads no answers.

        Guards caches against pulls for a download that its client has withdrawn meanwhile. Harm: none known;
        what lies unread beyond the ring is heeded only when it is read.
        """
        while found := small_frame(self.came, self.seen_ahead, SHORT):
            after, data = found
            if data is not None:
                call = messages.read_call(data)
                if isinstance(call, messages.GiveUp) and not self.withdraw(call.seqid):
                    self.early.add(call.seqid)
            self.seen_ahead = after

    def rest(self, resting: bool) -> None:
        """Read no more, or on. The end of a client is heard of all the same."""
        if resting is not self.resting and not self.lost:
            self.resting = resting
            (self.transport.pauseProducing if resting else self.transport.resumeProducing)()
            self.taker.heed(self, resting)

    def gone(self) -> None:
        """Its client has ended its side while nothing was read: what lies unread is of no use."""
        if not self.lost:
            self.transport.abortConnection()

    def called(self, call: messages.Process | messages.GiveUp | messages.Probe | messages.Wrong) -> None:
        self.calls += 1
        match call:
            case messages.Process(seqid) if seqid in self.open:  # a second answer must never be sent
                self.cast_out("clients with two calls under one number")
            case messages.Process() if len(self.open) >= MOST_OPEN:
                self.cast_out("clients with more open than they may have")
            case messages.Process(seqid) if seqid in self.early:
                self.early.discard(seqid)
            case messages.Process(seqid, fields, body):
                taken = self.open[seqid] = Call(self, seqid, fields, body, self.waited)
                self.fresh.add(taken)
                self.taker.take(taken)
            case messages.GiveUp(seqid):
                self.early.discard(seqid)
                self.withdraw(seqid)
            case messages.Probe(seqid):
                self.send(messages.answer("probe", seqid, b"", {}, self.taker.serving()))
            case messages.Wrong() if call.seqid in self.open:
                self.cast_out("clients with two calls under one number")
            case messages.Wrong():
                self.send(messages.application_exception(call))
                self.flawed()

    def withdraw(self, seqid: int) -> bool:
        """Nobody waits for this call any more; false where none is open under the number."""
        left = self.open.pop(seqid, None)
        if left:
            left.answered = True
            self.taker.leave(left)
            self.withdrew(left in self.fresh)
        return left is not None

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
            anomalies[why] += 1
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

    def seen(self, now: float) -> ConnectionState:
        """What a look at it finds, at the moment `now` (seconds)."""
        busy = bool(self.open or self.behind or self.going or self.lost or self.transport.disconnecting)
        if busy:
            self.heard = now
        return ConnectionState(busy, bool(self.came), self.calls, self.heard, self.begun)

    def silent(self) -> None:
        self.ended = True
        self.close()

    def parks(self) -> bool:
        """Whether all that there is to know of it is its memory."""
        return self.idle() and not (self.ended or self.lost or self.paused or self.resting or self.reading)

    def memory(self) -> ConnectionRecord:
        return ConnectionRecord(self.calls, self.flaws, self.withdrawn, self.heard)

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
        if self.came and not (self.ended or self.lost):
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
        """Say that nothing more comes, and hear out what its client still sends until it closes as well.

        Guards answers just written against a reset. Harm: a descriptor is held for DRAIN seconds at most
        after the last answer has left, by a client that does not close.
        """
        if not (self.closing or self.lost):
            self.ended = self.closing = True
            self.came.skip(len(self.came))
            self.rest(False)
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
            self.taker.later(DRAIN, self.let_go)

    def let_go(self) -> None:
        if not self.lost:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        self.lost = True
        self.taker.heed(self, False)
        self.taker.held(-len(self.going) - sum(map(len, self.behind)))
        self.behind.clear()
        calls, self.open = list(self.open.values()), {}
        for call in calls:
            call.answered = True
            self.taker.leave(call)
        self.taker.closed(self)
