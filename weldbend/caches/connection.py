"""One connection to a cache, a parent or the origin, and the attempts that are in flight on it."""

from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol import answers, commands
from weldbend.cache_protocol.answers import Answer, AnswerParser, InvalidAnswerError
from weldbend.caches.attempt import Attempt, AttemptLoss
from weldbend.caches.interfaces import Timers
from weldbend.caches.stall_detector import StallDetector
from weldbend.invariants import anomalies, check_invariant

READ_SIZE = 1 << 16  # bytes; maximum of one read of the socket, and of one write to the transport
INCOMING_CAPACITY = answers.LONGEST_BODY + answers.LONGEST_LINE + 2 * READ_SIZE  # bytes
INCOMING_RETAINED = 1 << 17  # largest allocation in bytes that an empty ring keeps for the next answer
OUTGOING_CAPACITY = 1 << 17  # bytes; holds the longest command and the commands queued behind it
MAX_CANCELLED_NAMES = 1024  # names remembered of attempts that were cancelled, or answered but not finally
CLOSE_TIMEOUT = 1.0  # seconds within which a closed connection must send its remaining bytes
FINAL_STATUSES = ("DONE", "KEEP")  # answers after which a request has no further attempt
MALFORMED = "malformed answers from caches"  # name of the anomaly counter, as it appears in the log


class ConnectionOwner(Protocol):
    """The interface of the object that manages the connections to one cache."""

    @property
    def max_streams(self) -> int:
        """Maximum number of attempts in flight on one connection."""

    @property
    def max_answer_time(self) -> float:
        """Longest time in seconds for which a request waits for its answer."""

    def connection_opened(self, connection: "CacheConnection") -> None:
        """Add a connection that was established."""

    def connection_lost(self, connection: "CacheConnection") -> None:
        """Remove a connection that has ended."""

    def send_waiting(self) -> None:
        """Send waiting attempts, since a connection may have capacity now."""

    def handle_unmatched(self, answer: Answer) -> None:
        """Handle an answer that belongs to no attempt of its connection."""


@implementer(IPushProducer)
class CacheConnection(TwistedProtocol):
    """One connection to a cache. Moments are seconds of the front's clock.

    Attributes:
        in_flight: Attempts that wait for an answer, by name.
        cancelled_names: Names of attempts to which an answer may still arrive, oldest entry first.
        outgoing: Bytes held back while the transport accepts none.
        incoming: Bytes read and not yet parsed.
        is_draining: Whether it accepts no further attempts, and closes once those in flight have ended.
        is_aborted: Whether this front has aborted it and the transport has not yet reported its end.
        is_lost: Whether it has ended.
        loss: Reason reported for the attempts in flight when it ends.
        opened_at: Moment at which it was established.
        used_at: Moment at which a command was last sent or an answer last handled.
        received_at: Moment at which bytes were last received.
        answer_started_at: Moment at which the first byte of the current answer was received, or at which
            reading was last resumed if that is later.
        answer_completed_at: Moment at which the last answer was complete.
    """

    # Twisted declares an ITransport, which lacks most members of a TCP transport.
    transport: Any = None
    is_write_paused = False
    is_read_paused = False
    is_draining = False
    is_aborted = False
    is_lost = False
    loss = AttemptLoss.RESET
    opened_at = 0.0
    used_at = 0.0
    received_at = 0.0
    answer_started_at = 0.0
    answer_completed_at = 0.0

    def __init__(self, owner: ConnectionOwner, timers: Timers) -> None:
        self.owner = owner
        self.timers = timers
        self.incoming = Ring(INCOMING_CAPACITY, INCOMING_RETAINED)
        self.outgoing = Ring(OUTGOING_CAPACITY)
        self.parser = AnswerParser(self.incoming)
        self.stall_detector = StallDetector(self, timers)
        self.in_flight: dict[str, Attempt] = {}
        self.cancelled_names: dict[str, None] = {}

    def connectionMade(self) -> None:
        """Register with the owner; Twisted calls this when the connection is established."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.opened_at = self.used_at = self.received_at = self.timers.now()
        self.owner.connection_opened(self)

    # Sending.

    def can_send(self, name: str) -> bool:
        """Return whether a command with this name would be sent at once, and its answer could be matched."""
        is_available = not (self.is_write_paused or self.outgoing or self.is_draining or self.is_lost)
        return (
            is_available
            and len(self.in_flight) < self.owner.max_streams
            and name not in self.in_flight
            and name not in self.cancelled_names
        )

    def send(self, attempt: Attempt) -> None:
        """Send an attempt's command, and add the attempt to those in flight."""
        command = attempt.command()
        attempt.connection = self
        attempt.sent_at = self.timers.now()
        self.in_flight[attempt.name] = attempt
        self.write(command)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that is in flight here, and send the cancellation to the cache.

        The connection is drained if it seems broken or blocked: it has received nothing since the attempt was
        sent, or an answer is partly received and none has been completed since the attempt was sent. The
        second reason does not count while reading is paused.
        """
        if self.in_flight.pop(attempt.name, None) is not attempt or self.is_lost:
            return
        self._reserve_name(attempt.name)
        self.write(commands.undo(attempt.name))
        self._flush()
        is_silent = self.received_at <= attempt.sent_at
        is_blocked = self.incoming and not self.is_read_paused and self.answer_completed_at <= attempt.sent_at
        if is_silent or is_blocked:
            self.is_draining = True
        self._capacity_freed()

    def _reserve_name(self, name: str) -> None:
        """Reject further attempts with this name, since an answer to the earlier one may still arrive.

        All attempts of a request have the same name, and a cache may repeat an answer. A late or repeated
        answer to the earlier attempt would be taken for the answer to the next one, and the router would send
        yet another while that one is still in flight. Side effect: the next attempt of the request needs
        another connection.
        """
        self.cancelled_names[name] = None
        if len(self.cancelled_names) > MAX_CANCELLED_NAMES:
            del self.cancelled_names[next(iter(self.cancelled_names))]

    def write(self, command: bytes) -> None:
        """Send a command after all pending bytes."""
        self.used_at = self.timers.now()
        has_capacity = self.outgoing.write(command) == len(command)
        check_invariant(has_capacity, "a cache's ring has capacity for a command")
        self._write_pending()

    def _flush(self) -> None:
        """Write the transport's buffer to the socket now instead of in the reactor's next iteration.

        This guards against unintended duplicate attempts. The attempt that replaces a cancelled one is sent
        on another connection. The reactor writes to both connections in any order, and the process may be
        delayed between the two writes, so that the new attempt could be sent before the cancellation. The
        early write has no known drawback.
        """
        if not (self.is_lost or self.is_aborted or self.transport.disconnecting):
            self.transport.doWrite()

    def _write_pending(self) -> None:
        while self.outgoing and not self.is_write_paused:
            try:
                self.transport.write(self.outgoing.read(min(len(self.outgoing), READ_SIZE)))
            except OSError:  # the descriptor cannot be registered for writing
                self.abort()

    def pauseProducing(self) -> None:
        """Hold back commands; the transport calls this when its buffer is full."""
        self.is_write_paused = True

    def resumeProducing(self) -> None:
        """Resume sending; the transport calls this when its buffer has drained."""
        self.is_write_paused = False
        self._write_pending()
        self.owner.send_waiting()

    def stopProducing(self) -> None:
        """Stop sending; the transport calls this when it has ended."""
        self.is_write_paused = True

    # Receiving.

    def dataReceived(self, data: bytes) -> None:
        """Buffer and parse received bytes; Twisted calls this after each read of the socket."""
        self.received_at = self.timers.now()
        if not self.incoming:
            self.answer_started_at = self.received_at
        check_invariant(self.incoming.write(data) == len(data), "a cache's ring has capacity for a read")
        if not self.is_read_paused:
            self._read_answers()

    def _read_answers(self) -> None:
        try:
            while not self.is_read_paused and (answer := self.parser.next()):
                self._handle_answer(answer)
        except InvalidAnswerError:  # no byte that follows can be trusted
            self.abort_malformed(MALFORMED)
        if self.is_answer_incomplete():
            self.stall_detector.arm()

    def _handle_answer(self, answer: Answer) -> None:
        self.answer_started_at = self.answer_completed_at = self.timers.now()
        attempt = self.in_flight.pop(answer.name, None)
        if attempt:
            if answer.status not in FINAL_STATUSES:
                self._reserve_name(answer.name)
            attempt.finish(answer)
        elif answer.name in self.cancelled_names:
            del self.cancelled_names[answer.name]
        else:
            self.owner.handle_unmatched(answer)
        self.used_at = self.timers.now()
        self._capacity_freed()

    def pause_reading(self, is_paused: bool) -> None:
        """Stop or resume reading; it is paused while too many answers are buffered for clients."""
        if is_paused is self.is_read_paused or self.is_lost:
            return
        self.is_read_paused = is_paused
        try:
            (self.transport.pauseProducing if is_paused else self.transport.resumeProducing)()
        except OSError:  # this descriptor cannot be registered for reading; other connections go on
            self.abort()
        if not is_paused:
            self.answer_started_at = self.timers.now()
            self._read_answers()

    def is_answer_incomplete(self) -> bool:
        """Return whether an answer was received in part, and its rest can still arrive."""
        return bool(self.incoming) and not (self.is_lost or self.is_aborted or self.is_read_paused)

    def max_answer_time(self) -> float:
        """Return the longest time in seconds for which a request waits for its answer."""
        return self.owner.max_answer_time

    # Ending.

    def _capacity_freed(self) -> None:
        """Close a draining connection after its last attempt, or send the next waiting attempt."""
        if self.is_draining and not self.in_flight:
            self.close()
        else:
            self.owner.send_waiting()

    def drain(self) -> None:
        """Accept no further attempts, and close once those in flight have ended."""
        self.is_draining = True
        if not self.in_flight:
            self.close()

    def close(self) -> None:
        """Close once all written bytes are sent, or after a timeout, as a hung cache may never read them."""
        if not (self.is_lost or self.is_aborted):
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            self.timers.after(CLOSE_TIMEOUT, self._disconnect)

    def _disconnect(self) -> None:
        if not self.is_lost:
            self.transport.abortConnection()

    def abort(self, loss: AttemptLoss = AttemptLoss.RESET) -> None:
        """Abort the connection; the loss of attempts in flight is reported only once the socket is closed.

        This guards against unintended duplicate attempts: an attempt that is reported as lost may be sent
        again before this connection is closed.

        Args:
            loss: Reason to report for the attempts in flight.
        """
        if not (self.is_lost or self.is_aborted):
            self.loss = loss
            self.is_aborted = self.is_draining = True
            self.transport.abortConnection()

    def abort_malformed(self, reason: str) -> None:
        """Abort the connection for a fault of the cache's answers; `reason` names the anomaly counter."""
        anomalies[reason] += 1
        self.abort(AttemptLoss.MALFORMED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Finish the attempts in flight; Twisted calls this when the connection has ended for any reason."""
        if self.is_lost:
            return
        self.is_lost = True
        if not self.is_aborted:
            self._read_remaining()
        self.owner.connection_lost(self)
        attempts = list(self.in_flight.values())
        self.in_flight = {}
        for attempt in attempts:
            attempt.finish(self.loss)

    def _read_remaining(self) -> None:
        """Handle answers that had arrived before the end, but were not parsed because reading was paused.

        Without this, attempts that the cache has executed would be reported as lost, and requests could fail
        whose answers have already arrived. Side effect: the limit on answers buffered for slow clients may be
        exceeded by the content of one ring.
        """
        self.is_read_paused = False
        try:
            while answer := self.parser.next():
                self._handle_answer(answer)
        except InvalidAnswerError:
            anomalies[MALFORMED] += 1
