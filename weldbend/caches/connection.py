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

READ_SIZE = 1 << 16  # bytes: the most that one read of a socket brings, and one write hands on
INCOMING_CAPACITY = answers.LONGEST_BODY + answers.LONGEST_LINE + 2 * READ_SIZE  # bytes
INCOMING_RETAINED = 1 << 17  # bytes that an empty ring keeps: answers come one after another
OUTGOING_CAPACITY = 1 << 17  # bytes; holds the longest command, and what comes behind it
MAX_CANCELLED_NAMES = 1024  # names of cancelled attempts that a connection remembers
CLOSE_TIMEOUT = 1.0  # seconds in which what was written to a connection that is closed has to leave it
FINAL_STATUSES = ("DONE", "KEEP")  # answers after which a request has no further attempt
MALFORMED = "malformed answers from caches"  # name of the anomaly counter, as it appears in the log


class ConnectionOwner(Protocol):
    """Keeps the connections to one cache."""

    @property
    def max_streams(self) -> int:
        """How many attempts may be in flight on one connection."""

    @property
    def max_answer_time(self) -> float:
        """Seconds for which anyone waits for an answer."""

    def connection_opened(self, connection: "CacheConnection") -> None:
        """Use a connection that has come up."""

    def connection_lost(self, connection: "CacheConnection") -> None:
        """Forget a connection that has ended."""

    def send_waiting(self) -> None:
        """Send what waits: a connection may have capacity now."""

    def handle_unmatched(self, answer: Answer) -> None:
        """Handle an answer that belongs to no attempt of its connection."""


@implementer(IPushProducer)
class CacheConnection(TwistedProtocol):
    """One connection to a cache. Moments are seconds of the front's clock.

    Attributes:
        in_flight: Attempts that wait for an answer, by name.
        cancelled_names: Names whose answer may still come; kept in the order in which they were added.
        outgoing: Bytes that the transport does not accept at present.
        incoming: Bytes read and not yet parsed.
        is_draining: Whether it accepts no further attempts; it closes once those in flight have ended.
        is_aborted: Whether this front has ended it; the transport has yet to report that.
        is_lost: Whether it has ended.
        loss: What is reported of the attempts in flight when it ends.
        opened_at: When it came up.
        used_at: When a command went out or an answer was handled last.
        received_at: When bytes last came.
        answer_started_at: When the answer that is under way began to come.
        answer_completed_at: When the last answer was complete.
    """

    # Twisted declares an ITransport, which lacks most of what a TCP transport offers.
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
        """Register with the owner; Twisted calls it when the connection has come up."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.opened_at = self.used_at = self.received_at = self.timers.now()
        self.owner.connection_opened(self)

    # Sending.

    def can_send(self, name: str) -> bool:
        """Whether an attempt's first byte would go out at once, and its answer could be matched to it."""
        is_available = not (self.is_write_paused or self.outgoing or self.is_draining or self.is_lost)
        return (
            is_available
            and len(self.in_flight) < self.owner.max_streams
            and name not in self.in_flight
            and name not in self.cancelled_names
        )

    def send(self, attempt: Attempt) -> None:
        """Write out an attempt's command; from now on it is in flight here."""
        command = attempt.command()
        attempt.connection = self
        attempt.sent_at = self.timers.now()
        self.in_flight[attempt.name] = attempt
        self.write(command)

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt that is in flight here, and send the cache its cancellation.

        A connection on which nothing was received since it went out carries no more, nor does one that has
        been busy since with an answer which does not end.
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
        """Accept no further attempt under a name whose answer may still come, or come a second time.

        Guards against unintended duplicate attempts: a doubled answer would be matched to the next
        attempt of the same request, and another would go out while that one is in flight. Harm: such attempts
        need a second connection.
        """
        self.cancelled_names[name] = None
        if len(self.cancelled_names) > MAX_CANCELLED_NAMES:
            del self.cancelled_names[next(iter(self.cancelled_names))]

    def write(self, command: bytes) -> None:
        """Send a command, after what waits."""
        self.used_at = self.timers.now()
        has_capacity = self.outgoing.write(command) == len(command)
        check_invariant(has_capacity, "a cache's ring has capacity for a command")
        self._write_pending()

    def _flush(self) -> None:
        """Have what was written leave now, not when the reactor comes to it.

        Guards against unintended duplicate attempts: the attempt that replaces another goes over another
        connection, the reactor writes to both in any order, and the process may be held up between them.
        Harm: none known.
        """
        if not (self.is_lost or self.is_aborted or self.transport.disconnecting):
            self.transport.doWrite()

    def _write_pending(self) -> None:
        while self.outgoing and not self.is_write_paused:
            try:
                self.transport.write(self.outgoing.read(min(len(self.outgoing), READ_SIZE)))
            except OSError:  # it cannot be watched for writing
                self.abort()

    def pauseProducing(self) -> None:
        """Hold commands back; the transport calls it when its buffer is full."""
        self.is_write_paused = True

    def resumeProducing(self) -> None:
        """Go on with what waits; the transport calls it when its buffer has drained."""
        self.is_write_paused = False
        self._write_pending()
        self.owner.send_waiting()

    def stopProducing(self) -> None:
        """Write nothing more; the transport calls it when it has ended."""
        self.is_write_paused = True

    # Receiving.

    def dataReceived(self, data: bytes) -> None:
        """Read what one read of the socket brought; Twisted calls it."""
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
        except InvalidAnswerError:  # nothing that follows can be trusted
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
        """Stop or resume reading, for as long as what was read has nowhere to go."""
        if is_paused is self.is_read_paused or self.is_lost:
            return
        self.is_read_paused = is_paused
        try:
            (self.transport.pauseProducing if is_paused else self.transport.resumeProducing)()
        except OSError:  # it cannot be watched for reading; the others go on
            self.abort()
        if not is_paused:
            self.answer_started_at = self.timers.now()
            self._read_answers()

    def is_answer_incomplete(self) -> bool:
        """Whether a part of an answer is here, and the rest can still come."""
        return bool(self.incoming) and not (self.is_lost or self.is_aborted or self.is_read_paused)

    def max_answer_time(self) -> float:
        """Seconds for which anyone waits for an answer."""
        return self.owner.max_answer_time

    # Ending.

    def _capacity_freed(self) -> None:
        """Close if that was the last attempt, or let the next one go."""
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
        """Close once what was written has left, or soon: a cache that hangs might never read it."""
        if not (self.is_lost or self.is_aborted):
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            self.timers.after(CLOSE_TIMEOUT, self._disconnect)

    def _disconnect(self) -> None:
        if not self.is_lost:
            self.transport.abortConnection()

    def abort(self, loss: AttemptLoss = AttemptLoss.RESET) -> None:
        """End it at once; what is in flight on it has ended when the socket is closed, not before.

        Guards against unintended duplicate attempts: an attempt reported as ended may go out again before
        this one is closed.

        Args:
            loss: What is reported of the attempts in flight.
        """
        if not (self.is_lost or self.is_aborted):
            self.loss = loss
            self.is_aborted = self.is_draining = True
            self.transport.abortConnection()

    def abort_malformed(self, reason: str) -> None:
        """End it for what the cache sent; `reason` names the anomaly counter."""
        anomalies[reason] += 1
        self.abort(AttemptLoss.MALFORMED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Finish what is in flight; Twisted calls it when the connection has ended, for whatever reason."""
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
        """Handle answers that were complete before the end, and lay unread as nothing had capacity for them.

        Guards attempts that were executed from passing for lost, and requests from failing over an answer
        that is here. Harm: answers beyond what slow readers may hold, one ring of them.
        """
        self.is_read_paused = False
        try:
            while answer := self.parser.next():
                self._handle_answer(answer)
        except InvalidAnswerError:
            anomalies[MALFORMED] += 1
