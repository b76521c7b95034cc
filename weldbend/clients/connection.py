"""A client's connection, which reads calls, passes requests to the front, and closes in an orderly way.

When a client has closed its side of the connection, its requests are cancelled. The front does not close a
connection while a request is open, unless the client violates the protocol: then all open requests fail, and
the client is banned at once.

When this front closes a connection, it ends the sending direction first and discards for a short time what
still arrives. Closing a socket with unread bytes would reset the connection and lose any answer that the
system has not yet delivered.
"""

from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.clients import misbehaviour
from weldbend.clients.answer_writer import AnswerWriter
from weldbend.clients.incoming_calls import READ_SIZE, IncomingCalls, ReceivedCall, Reservation
from weldbend.clients.interfaces import (
    AccessControl,
    BufferAccount,
    ClientTransport,
    MemoryAccount,
    RequestHandler,
    Scheduler,
)
from weldbend.clients.misbehaviour import ViolationCounts
from weldbend.clients.request import ClientRequest
from weldbend.idle_connections.connection_table import ConnectionRecord
from weldbend.idle_connections.policy import ConnectionState
from weldbend.invariants import anomalies
from weldbend.thrift import messages
from weldbend.thrift.errors import ThriftError

DISCARD_TIME = 0.25  # seconds for which a client may go on sending after this front's close
MAX_DISCARDED = 1 << 20  # bytes that a client may still send after this front's close


class ConnectionRegistry(Protocol):
    """The registry of live client connections."""

    def client_connected(self, client: "ClientConnection") -> None:
        """Register a connection that was accepted."""

    def client_disconnected(self, client: "ClientConnection") -> None:
        """Remove a connection that has ended."""

    def watch_hangup(self, client: "ClientConnection", is_unread: bool) -> None:
        """Start or stop watching for the disconnect of a client while its socket is not read."""


class ClientOwner(
    RequestHandler, ConnectionRegistry, BufferAccount, MemoryAccount, AccessControl, Scheduler, Protocol
):
    """The interface of the front that a client connection uses."""

    def log_fault(self, where: str) -> None:
        """Count the exception that is being handled, and log it with its traceback."""


@implementer(IPushProducer)
class ClientConnection(TwistedProtocol):
    """One live connection of a client. All times are seconds of the front's clock.

    Attributes:
        incoming: Bytes read, and the calls in them that were not handled.
        unread_since: Time since which bytes may be unread in the socket; None if the last read emptied it.
        writer: Sending direction of the connection.
        open_requests: Requests that wait for an answer, by sequence id.
        violations: Counts of the client's violations.
        call_count: Number of calls of any kind read so far.
        reserved_memory: Bytes that its requests hold, as counted by the front.
        active_at: Last time at which the connection was accepted, bytes arrived, an answer was sent, or a
            check found a request open or an answer pending.
        call_started_at: Time since which an incomplete call has been arriving.
        is_draining: Whether no further calls are read, and the connection closes once all are answered.
        is_finishing: Whether this front ends the connection, but still handles the calls already read.
        is_closing: Whether this front has closed its side and discards what still arrives.
        is_lost: Whether the connection has ended, or has moved to the idle pool and is no longer handled by
            this object.
        is_read_paused: Whether the socket is not read at present.
    """

    # Twisted declares an ITransport, which lacks most members of a TCP transport (see ClientTransport).
    transport: Any = None
    is_draining = False
    is_finishing = False
    is_lost = False
    is_read_paused = False
    is_reading = False
    is_closing = False
    call_count = 0
    reserved_memory = 0
    discarded_bytes = 0
    active_at = 0.0
    call_started_at = 0.0
    unread_since: float | None = None
    read_delay = 0.0  # seconds for which the bytes being read waited while other idle connections were woken

    def __init__(self, owner: ClientOwner) -> None:
        self.owner = owner
        self.incoming = IncomingCalls()
        self.writer = AnswerWriter(owner)
        self.open_requests: dict[int, ClientRequest] = {}
        self.violations = ViolationCounts()
        self.cancelled_early: set[int] = set()  # sequence ids cancelled before their calls were handled
        self.new_requests: set[ClientRequest] = set()  # requests of the read that is being handled

    # Becoming live.

    def connectionMade(self) -> None:
        """Register with the owner; Twisted calls this when the connection was accepted."""
        self.transport.setTcpNoDelay(True)
        self._attach(self.transport)
        self.active_at = self.owner.now()
        self.owner.client_connected(self)

    def resume(self, transport: ClientTransport, record: ConnectionRecord) -> None:
        """Make this object handle a woken connection; `record` has its counts and times from before."""
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
        """Handle the bytes that woke an idle connection, which was found readable `delay` seconds ago."""
        self.read_delay = delay
        try:
            self.dataReceived(data)
        except Exception:  # noqa: BLE001  # logged; ends only this connection, as the reactor would do
            self.owner.log_fault("a resumed connection")
            self.transport.abortConnection()
        finally:
            self.read_delay = 0.0

    # Reading calls.

    def dataReceived(self, data: bytes) -> None:
        """Buffer received bytes and handle complete calls; Twisted calls this after each read."""
        if self.is_closing:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED:
                self.transport.abortConnection()
            return
        self.active_at = self.owner.now()
        if self.incoming.is_empty():
            self.call_started_at = self.active_at
        self.incoming.write(data, self._earliest_arrival(len(data)))
        self.read_calls()

    def _earliest_arrival(self, count: int) -> float:
        """Return the earliest possible arrival time of the bytes of this read.

        A read of READ_SIZE bytes may leave further bytes in the socket that arrived at the same time, so the
        bytes of the next read get that time as well. Without this, a deadline could count from a delayed read
        and end after the client stopped waiting. Side effect: a request that in fact arrived later has
        slightly less time than its full deadline.

        Args:
            count: Number of bytes read.
        """
        arrived_at = self.owner.earliest_arrival(self.active_at) - self.read_delay
        if self.unread_since is not None:
            arrived_at = min(arrived_at, self.unread_since)
        self.unread_since = arrived_at if count >= READ_SIZE else None
        return arrived_at

    def read_calls(self) -> None:
        """Handle all complete calls, unless the client does not read its answers.

        While this front ends the connection (`is_finishing`), they are handled even if the client reads no
        answers, so that each request that was read is answered.
        """
        if self.is_reading:  # a call answered at once leads here again; the loop below reads the next call
            return
        self.is_reading = True
        try:
            while not self.is_draining and (self.is_finishing or not self.writer.queue):
                call = self.incoming.next(self._reserve)
                if call is None:
                    break
                self.call_started_at = self.active_at
                self._handle_call(call)
            if not self.is_draining:
                self._scan_for_cancellations()
        except ThriftError:
            self.ban(misbehaviour.PROTOCOL_VIOLATION)
        finally:
            self.is_reading = False
            # A request of this read that is still open was not cancelled in the same read, so the count of
            # consecutive immediate cancellations starts again.
            if not self.new_requests.isdisjoint(self.open_requests.values()):
                self.violations.cancellations = 0
            self.new_requests.clear()
        if self.is_draining:
            self.incoming.clear()
        self._pause_reading(not self.incoming.has_capacity())

    def _reserve(self, length: int) -> Reservation | None:
        return self.owner.reserve_call(self, length)

    def _scan_for_cancellations(self) -> None:
        """Handle cancellations among buffered calls that are held back because the client reads no answers.

        This guards caches against attempts for requests that the client has already cancelled. A
        cancellation that did not fit into the ring is found only once it is read from the socket. Handling
        cancellations before the calls that precede them has no known drawback.
        """
        for cancellation in self.incoming.cancellations():
            if not self._cancel(cancellation.seqid):
                self.cancelled_early.add(cancellation.seqid)

    def _handle_call(self, call: ReceivedCall) -> None:
        self.call_count += 1
        match call:
            case messages.Process() | messages.DiscardedCall():
                self._handle_request(call)
            case messages.GiveUp(seqid):
                self.cancelled_early.discard(seqid)
                self._cancel(seqid)
            case messages.Probe(seqid):
                self.send_answer(messages.success_reply("probe", seqid, b"", {}, self.owner.is_serving()))
            case messages.InvalidCall() if call.seqid in self.open_requests:
                self.ban(misbehaviour.REUSED_SEQUENCE_ID)
            case messages.InvalidCall():
                self.send_answer(messages.application_exception(call))
                self.count_invalid_call()

    def _handle_request(self, call: messages.Process | messages.DiscardedCall) -> None:
        if call.seqid in self.open_requests:  # only one answer per sequence id
            self.ban(misbehaviour.REUSED_SEQUENCE_ID)
        elif len(self.open_requests) >= misbehaviour.MAX_OPEN_REQUESTS:
            self.ban(misbehaviour.TOO_MANY_OPEN)
        elif call.seqid in self.cancelled_early:
            self.cancelled_early.discard(call.seqid)
        else:
            request = ClientRequest(self, call.seqid, self.read_delay, self.incoming.received_at)
            self.open_requests[call.seqid] = request
            self.new_requests.add(request)
            if isinstance(call, messages.Process):
                self.owner.handle_request(request, call)
            else:
                self.owner.reject_discarded(request)

    def _cancel(self, seqid: int) -> bool:
        """Cancel the open request with this sequence id; return False if there is none."""
        request = self.open_requests.pop(seqid, None)
        if request is None:
            return False
        request.is_answered = True
        self.owner.cancel_request(request)
        if self.violations.count_cancellation(request in self.new_requests):
            self.ban(misbehaviour.TOO_MANY_CANCELLATIONS)
        return True

    def _pause_reading(self, is_paused: bool) -> None:
        """Stop or resume reading the socket; a disconnect of the client is still noticed."""
        if is_paused is not self.is_read_paused and not self.is_lost:
            self.is_read_paused = is_paused
            if is_paused and self.unread_since is None:
                self.unread_since = self.owner.now()
            try:
                (self.transport.pauseProducing if is_paused else self.transport.resumeProducing)()
            except OSError:  # the descriptor cannot be registered for reading
                self.transport.abortConnection()
            self.owner.watch_hangup(self, is_paused)

    def handle_hangup(self) -> None:
        """Abort after a disconnect of a client whose socket is not read; its unread bytes are useless."""
        if not self.is_lost:
            self.transport.abortConnection()

    # Misbehaviour.

    def count_invalid_call(self) -> None:
        """Count a call that was answered as invalid, and ban a client with too many."""
        if self.violations.count_invalid_call():
            self.ban(misbehaviour.TOO_MANY_INVALID_CALLS)

    def ban(self, reason: str) -> None:
        """Ban the client and close the connection; all open requests fail, as they must not be served.

        Args:
            reason: Name of the anomaly counter for this ban.
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
        """Return the client's address; empty if the transport has none."""
        return str(getattr(self.transport.getPeer(), "host", ""))

    # Writing answers.

    def finish_request(self, request: ClientRequest, answer: bytes) -> None:
        """Send the answer to a request, unless the request was cancelled."""
        self.active_at = self.owner.now()
        if self.open_requests.pop(request.seqid, None) is not request or self.is_lost:
            return
        self.send_answer(answer)
        self._continue()

    def send_answer(self, answer: bytes) -> None:
        """Send one complete answer after all pending ones."""
        if not self.is_lost:
            self.writer.write(answer)

    def pauseProducing(self) -> None:
        """Hold back answers; the transport calls this when its buffer is full."""
        self.writer.pause()

    def resumeProducing(self) -> None:
        """Resume sending answers; the transport calls this when its buffer has drained."""
        self.writer.resume()
        self._continue()

    def stopProducing(self) -> None:
        """Stop sending; the transport calls this when it has ended."""
        self.writer.pause()

    def _continue(self) -> None:
        """Handle calls that were held back until an answer was sent; close if draining and done."""
        if not (self.incoming.is_empty() or self.is_draining or self.is_lost):
            self.read_calls()
        self._close_if_done()

    # Idleness.

    def is_idle(self) -> bool:
        """Return whether no request is open, no byte of a call is buffered and no answer is pending."""
        return self.incoming.is_empty() and not (self.open_requests or self.writer.has_pending())

    def can_become_idle(self) -> bool:
        """Return whether `record` has all state of the connection, so that it can move to the idle pool."""
        return self.is_idle() and not (
            self.is_draining
            or self.is_lost
            or self.writer.is_paused
            or self.is_read_paused
            or self.is_reading
        )

    def record(self) -> ConnectionRecord:
        """Return the counts and times that are kept while the connection is idle."""
        return ConnectionRecord(
            self.call_count,
            self.violations.invalid_calls,
            self.violations.cancellations,
            self.active_at,
        )

    def release(self) -> None:
        """Detach from the transport, whose descriptor is kept as an idle connection without this object."""
        self.is_lost = True
        self.transport = self.writer.transport = None

    def observe(self, now: float) -> ConnectionState:
        """Return the state for a check at time `now` (seconds); set `active_at` if the connection is busy."""
        is_busy = bool(
            self.open_requests or self.writer.has_pending() or self.is_lost or self.transport.disconnecting
        )
        if is_busy:
            self.active_at = now
        has_partial_call = not self.incoming.is_empty()
        return ConnectionState(
            is_busy, has_partial_call, self.call_count, self.active_at, self.call_started_at
        )

    # Closing.

    def finish_and_close(self) -> None:
        """Handle the calls that were read, read no further ones, and close once all are answered."""
        self.is_finishing = True
        self.read_calls()
        self.is_draining = True
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.is_draining and not (self.open_requests or self.writer.has_pending() or self.is_lost):
            self.close()

    def close(self) -> None:
        """Close the sending direction, and discard what the client sends until it closes its side.

        This guards recently written answers against loss by a reset. Side effect: a client that does not
        close its side occupies a descriptor for DISCARD_TIME after the close, and longer if answers that were
        written before have not all been sent to it by then.
        """
        if not (self.is_closing or self.is_lost):
            self.is_draining = self.is_closing = True
            self.incoming.clear()
            self._pause_reading(False)
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
            self.owner.call_later(DISCARD_TIME, self._disconnect)

    def _disconnect(self) -> None:
        if not self.is_lost:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel all open requests; Twisted calls this when the connection has ended for any reason."""
        self.is_lost = True
        self.owner.watch_hangup(self, False)
        self.writer.discard()
        self.incoming.clear()
        requests = list(self.open_requests.values())
        self.open_requests = {}
        for request in requests:
            request.is_answered = True
            self.owner.cancel_request(request)
        self.owner.client_disconnected(self)
