"""A client's connection: reads calls, hands requests to the front, and closes in an orderly way.

Nothing more is done for a client that has ended its side. The connection never closes by itself while
a request is open, unless its client breaks the rules of the protocol: then all that is open fails, and the
client is banned at once. A close by this front ends the sending direction first, and what still arrives is
discarded for a moment: closing over unread bytes would reset the connection, and an answer that the system
still holds would be lost with it.
"""

from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.buffers.ring import Ring
from weldbend.clients import misbehaviour
from weldbend.clients.answer_writer import AnswerWriter
from weldbend.clients.arrival_times import ArrivalTimes
from weldbend.clients.interfaces import (
    AccessControl,
    BufferAccount,
    ClientTransport,
    RequestHandler,
    Scheduler,
)
from weldbend.clients.misbehaviour import ViolationCounts
from weldbend.clients.request import ClientRequest
from weldbend.idle_connections.connection_table import ConnectionRecord
from weldbend.idle_connections.policy import ConnectionState
from weldbend.invariants import anomalies, check_invariant
from weldbend.thrift import messages
from weldbend.thrift.errors import ThriftError
from weldbend.thrift.framing import LENGTH_SIZE, next_frame, peek_small_frame

READ_SIZE = 1 << 16  # bytes: the most that one read of a socket brings
MAX_FRAME_SIZE = 48_000 + (1 << 14)  # bytes: the longest body, and the fields that come with it
INCOMING_CAPACITY = MAX_FRAME_SIZE + LENGTH_SIZE + 2 * READ_SIZE  # bytes
MAX_CANCELLATION_SIZE = 64  # bytes that hold any giveUp call, and no process call
DISCARD_TIME = 0.25  # seconds for which a client may go on sending after this front's close
MAX_DISCARDED = 1 << 20  # bytes that a client may still send after this front's close


class ConnectionRegistry(Protocol):
    """Keeps track of live client connections."""

    def client_connected(self, client: "ClientConnection") -> None:
        """Register a connection that was accepted."""

    def client_disconnected(self, client: "ClientConnection") -> None:
        """Forget a connection that has ended."""

    def watch_hangup(self, client: "ClientConnection", is_unread: bool) -> None:
        """Watch for the end of a client that is not read at present, or stop watching."""


class ClientOwner(RequestHandler, ConnectionRegistry, BufferAccount, AccessControl, Scheduler, Protocol):
    """All that a client connection asks of its front."""

    def log_fault(self, where: str) -> None:
        """Count the exception that is being handled, and log it with its traceback."""


@implementer(IPushProducer)
class ClientConnection(TwistedProtocol):
    """One live connection of a client.

    Attributes:
        incoming: Bytes read and not yet parsed.
        arrivals: When they came.
        unread_since: Since when bytes may lie unread in the socket; None where the last read emptied it.
        writer: The sending direction.
        open_requests: Requests that wait for an answer, by sequence id.
        violations: What the client did wrong so far.
        call_count: Calls of any kind read so far.
        active_at: When it last was not idle (seconds of the front's clock, as all moments here).
        call_started_at: Since when an incomplete call has been arriving.
        is_draining: Whether no further calls are read; it closes once the open ones are answered.
        is_finishing: Whether this front ends it, and handles the calls that it has read all the same.
        is_closing: Whether this front has closed its side and discards what still arrives.
        is_lost: Whether it has ended, or has become an idle connection without an object.
        is_read_paused: Whether the socket is not read at present.
    """

    # Twisted declares an ITransport, which lacks most of what a TCP transport offers (see ClientTransport).
    transport: Any = None
    is_draining = False
    is_finishing = False
    is_lost = False
    is_read_paused = False
    is_reading = False
    is_closing = False
    call_count = 0
    scanned_bytes = 0  # bytes of `incoming` already searched for cancellations
    discarded_bytes = 0
    active_at = 0.0
    call_started_at = 0.0
    call_received_at = 0.0  # when the last byte of the call in hand came, at the earliest
    unread_since: float | None = None
    read_delay = 0.0  # seconds for which what is read now lay there while other connections were resumed

    def __init__(self, owner: ClientOwner) -> None:
        self.owner = owner
        self.incoming = Ring(INCOMING_CAPACITY)
        self.arrivals = ArrivalTimes()
        self.writer = AnswerWriter(owner)
        self.open_requests: dict[int, ClientRequest] = {}
        self.violations = ViolationCounts()
        self.cancelled_early: set[int] = set()  # sequence ids cancelled before their calls were handled
        self.new_requests: set[ClientRequest] = set()  # requests of the read that is under way

    # Becoming live.

    def connectionMade(self) -> None:
        """Register with the owner; Twisted calls it when the connection was accepted."""
        self.transport.setTcpNoDelay(True)
        self._attach(self.transport)
        self.active_at = self.owner.now()
        self.owner.client_connected(self)

    def resume(self, transport: ClientTransport, record: ConnectionRecord) -> None:
        """Go on as the idle connection of which `record` was kept."""
        self.transport = transport
        self.connected = 1
        (
            self.call_count,
            self.violations.invalid_calls,
            self.violations.cancellations,
            self.active_at,
        ) = record
        self._attach(transport)

    def _attach(self, transport: ClientTransport) -> None:
        self.writer.transport = transport
        transport.registerProducer(self, True)

    def receive_delayed(self, data: bytes, delay: float) -> None:
        """Read what an idle connection woke with, `delay` seconds after that was noticed."""
        self.read_delay = delay
        try:
            self.dataReceived(data)
        except Exception:  # noqa: BLE001  # ends this connection only, as the reactor would; it is logged
            self.owner.log_fault("a resumed connection")
            self.transport.abortConnection()
        finally:
            self.read_delay = 0.0

    # Reading calls.

    def dataReceived(self, data: bytes) -> None:
        """Read what one read of the socket brought; Twisted calls it."""
        if self.is_closing:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED:
                self.transport.abortConnection()
            return
        self.active_at = self.owner.now()
        if not self.incoming:
            self.call_started_at = self.active_at
        check_invariant(self.incoming.write(data) == len(data), "a client's ring has capacity for a read")
        self.arrivals.add(len(data), self._earliest_arrival(len(data)))
        self.read_calls()

    def _earliest_arrival(self, count: int) -> float:
        """When the bytes of this read came, at the earliest; a read of READ_SIZE may have left some unread.

        Guards caches and clients against deadlines that count from when a request was read. Harm: one that
        came late in such a time has a little less of its own.
        """
        arrived_at = self.owner.earliest_arrival(self.active_at) - self.read_delay
        if self.unread_since is not None:
            arrived_at = min(arrived_at, self.unread_since)
        self.unread_since = arrived_at if count >= READ_SIZE else None
        return arrived_at

    def read_calls(self) -> None:
        """Handle the calls that are complete, but none of a client that does not read its answers.

        At the end of this connection those are handled as well: a request that was read is answered.
        """
        if self.is_reading:  # a call answered at once lets the next one in: in this loop, not inside it
            return
        self.is_reading = True
        try:
            while not self.is_draining and (self.is_finishing or not self.writer.queue):
                data = next_frame(self.incoming, MAX_FRAME_SIZE)
                if data is None:
                    self.arrivals.forget_incomplete()
                    break
                self.call_started_at = self.active_at
                self.call_received_at = self.arrivals.take(len(data) + LENGTH_SIZE)
                self.scanned_bytes = max(self.scanned_bytes - len(data) - LENGTH_SIZE, 0)
                self._handle_call(messages.read_call(data))
            if not self.is_draining:
                self._scan_for_cancellations()
        except ThriftError:
            self.ban(misbehaviour.PROTOCOL_VIOLATION)
        finally:
            self.is_reading = False
            if not self.new_requests.isdisjoint(self.open_requests.values()):  # some were not cancelled
                self.violations.cancellations = 0
            self.new_requests.clear()
        if self.is_draining:
            self.incoming.skip(len(self.incoming))
        self._pause_reading(self.incoming.free() < READ_SIZE)

    def _scan_for_cancellations(self) -> None:
        """Handle cancellations among calls that wait to be read, since their client reads no answers.

        Guards caches against attempts for a request that its client has cancelled meanwhile. Harm: none
        known; what lies unread beyond the ring is found only when it is read.
        """
        while found := peek_small_frame(self.incoming, self.scanned_bytes, MAX_CANCELLATION_SIZE):
            end, data = found
            if data is not None:
                call = messages.read_call(data)
                if isinstance(call, messages.GiveUp) and not self._cancel(call.seqid):
                    self.cancelled_early.add(call.seqid)
            self.scanned_bytes = end

    def _handle_call(self, call: messages.Call) -> None:
        self.call_count += 1
        match call:
            case messages.Process(seqid) if seqid in self.open_requests:  # must never get a second answer
                self.ban(misbehaviour.REUSED_SEQUENCE_ID)
            case messages.Process() if len(self.open_requests) >= misbehaviour.MAX_OPEN_REQUESTS:
                self.ban(misbehaviour.TOO_MANY_OPEN)
            case messages.Process(seqid) if seqid in self.cancelled_early:
                self.cancelled_early.discard(seqid)
            case messages.Process(seqid, fields, body):
                request = ClientRequest(self, seqid, fields, body, self.read_delay, self.call_received_at)
                self.open_requests[seqid] = request
                self.new_requests.add(request)
                self.owner.handle_request(request)
            case messages.GiveUp(seqid):
                self.cancelled_early.discard(seqid)
                self._cancel(seqid)
            case messages.Probe(seqid):
                self.send_answer(messages.answer("probe", seqid, b"", {}, self.owner.is_serving()))
            case messages.InvalidCall() if call.seqid in self.open_requests:
                self.ban(misbehaviour.REUSED_SEQUENCE_ID)
            case messages.InvalidCall():
                self.send_answer(messages.application_exception(call))
                self.count_invalid_call()

    def _cancel(self, seqid: int) -> bool:
        """Cancel the request with this sequence id; false where none is open."""
        request = self.open_requests.pop(seqid, None)
        if request is None:
            return False
        request.is_answered = True
        self.owner.cancel_request(request)
        if self.violations.count_cancellation(request in self.new_requests):
            self.ban(misbehaviour.TOO_MANY_CANCELLATIONS)
        return True

    def _pause_reading(self, is_paused: bool) -> None:
        """Stop or resume reading the socket. The end of a client is noticed all the same."""
        if is_paused is not self.is_read_paused and not self.is_lost:
            self.is_read_paused = is_paused
            if is_paused and self.unread_since is None:
                self.unread_since = self.owner.now()
            try:
                (self.transport.pauseProducing if is_paused else self.transport.resumeProducing)()
            except OSError:  # it cannot be watched any more
                self.transport.abortConnection()
            self.owner.watch_hangup(self, is_paused)

    def handle_hangup(self) -> None:
        """Abort: the client has ended its side while nothing was read, and what lies unread is of no use."""
        if not self.is_lost:
            self.transport.abortConnection()

    # Misbehaviour.

    def count_invalid_call(self) -> None:
        """Count a call that was answered as invalid, and ban a client with too many."""
        if self.violations.count_invalid_call():
            self.ban(misbehaviour.TOO_MANY_INVALID_CALLS)

    def ban(self, reason: str) -> None:
        """End it with all that is open on it: what such a client asked for must not be served.

        Args:
            reason: The anomaly counter that it is counted under.
        """
        if self.is_draining or self.is_lost:
            return
        anomalies[reason] += 1
        self.is_draining = True
        self.owner.report_ban(self.host())
        for request in list(self.open_requests.values()):
            self.owner.cancel_request(request)
            if not request.is_answered:
                request.answer_failed()
        self._close_if_done()

    def host(self) -> str:
        """The address that it comes from; empty where the transport knows none."""
        return str(getattr(self.transport.getPeer(), "host", ""))

    # Writing answers.

    def finish_request(self, request: ClientRequest, answer: bytes) -> None:
        """Send the answer to a request, unless it was cancelled meanwhile."""
        self.active_at = self.owner.now()
        if self.open_requests.pop(request.seqid, None) is not request or self.is_lost:
            return
        self.send_answer(answer)
        self._continue()

    def send_answer(self, answer: bytes) -> None:
        """Send one complete answer, after those that wait."""
        if not self.is_lost:
            self.writer.write(answer)

    def pauseProducing(self) -> None:
        """Hold answers back; the transport calls it when its buffer is full."""
        self.writer.is_paused = True

    def resumeProducing(self) -> None:
        """Go on with the answers that wait; the transport calls it when its buffer has drained."""
        self.writer.is_paused = False
        self.writer.write_pending()
        self._continue()

    def stopProducing(self) -> None:
        """Write nothing more; the transport calls it when it has ended."""
        self.writer.is_paused = True

    def _continue(self) -> None:
        """Read what waited for an answer to leave, and close if that was the last."""
        if self.incoming and not (self.is_draining or self.is_lost):
            self.read_calls()
        self._close_if_done()

    # Idleness.

    def is_idle(self) -> bool:
        """Whether no request is open, no byte of a call is here and no byte of an answer waits."""
        return not (self.open_requests or self.incoming or self.writer.has_pending())

    def can_become_idle(self) -> bool:
        """Whether its state is no more than its `record`, so that no object is needed for it."""
        return self.is_idle() and not (
            self.is_draining
            or self.is_lost
            or self.writer.is_paused
            or self.is_read_paused
            or self.is_reading
        )

    def record(self) -> ConnectionRecord:
        """What has to be kept of it while it is idle."""
        return ConnectionRecord(
            self.call_count,
            self.violations.invalid_calls,
            self.violations.cancellations,
            self.active_at,
        )

    def release(self) -> None:
        """Let go of the transport: its descriptor lives on as an idle connection, this object does not."""
        self.is_lost = True
        self.transport = self.writer.transport = None

    def observe(self, now: float) -> ConnectionState:
        """What a check at the moment `now` (seconds) has to know of it."""
        is_busy = bool(
            self.open_requests or self.writer.has_pending() or self.is_lost or self.transport.disconnecting
        )
        if is_busy:
            self.active_at = now
        return ConnectionState(
            is_busy, bool(self.incoming), self.call_count, self.active_at, self.call_started_at
        )

    # Closing.

    def finish_and_close(self) -> None:
        """Handle what has been read, read no further calls, and close once the open ones are answered."""
        self.is_finishing = True
        self.read_calls()
        self.is_draining = True
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.is_draining and not (self.open_requests or self.writer.has_pending() or self.is_lost):
            self.close()

    def close(self) -> None:
        """Close the sending direction, and discard what the client still sends until it closes as well.

        Guards answers just written against a reset. Harm: a descriptor is held for DISCARD_TIME at most after
        the last answer has left, by a client that does not close.
        """
        if not (self.is_closing or self.is_lost):
            self.is_draining = self.is_closing = True
            self.incoming.skip(len(self.incoming))
            self._pause_reading(False)
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
            self.owner.call_later(DISCARD_TIME, self._disconnect)

    def _disconnect(self) -> None:
        if not self.is_lost:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel all that is open; Twisted calls it when the connection has ended, for whatever reason."""
        self.is_lost = True
        self.owner.watch_hangup(self, False)
        self.writer.discard()
        requests = list(self.open_requests.values())
        self.open_requests = {}
        for request in requests:
            request.is_answered = True
            self.owner.cancel_request(request)
        self.owner.client_disconnected(self)
