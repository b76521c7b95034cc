"""All connections to one cache, including pending connects, and the attempts that wait for a connection.

An attempt is sent at once on a connection with a free stream. Otherwise it waits for one, no longer than the
connect timeout. A waiting attempt is cancelled as superseded when a change of the endpoint list or a purge
concerns its cache, its source or its object; the router then decides again.
"""

import errno
import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from weldbend.cache_protocol.answers import Answer
from weldbend.caches.attempt import Attempt, AttemptConnection, AttemptLoss
from weldbend.caches.connect_backoff import ConnectBackoff
from weldbend.caches.connection import CacheConnection
from weldbend.caches.connection_limiter import ConnectionLimiter
from weldbend.caches.interfaces import Connector, Reactor, Timers
from weldbend.caches.limits import CacheLimits
from weldbend.invariants import anomalies
from weldbend.socket_errors import FaultSide, connect_fault_side, error_number

RESET_ERRORS = (errno.ECONNRESET, errno.ECONNABORTED, errno.EPIPE)
MAX_RESETS = 5  # consecutive connects accepted and then reset, after which the cache counts as unreachable
UNMATCHED = "unmatched cache answers"  # name of the anomaly counter, as it appears in the log


class EndpointOwner(Protocol):
    """The part of the pool of all connections that the connections of one cache use."""

    @property
    def reactor(self) -> Reactor:
        """Reactor that makes connections and schedules calls."""

    @property
    def timers(self) -> Timers:
        """Clock and timers of the front."""

    @property
    def limits(self) -> CacheLimits:
        """Limits in force at present."""

    @property
    def is_read_paused(self) -> bool:
        """Whether reading is paused on all connections."""

    @property
    def on_connected(self) -> Callable[[int], None]:
        """Function called with the cache's number when a connection to it is established."""

    @property
    def on_health_answer(self) -> Callable[[int, Answer], bool]:
        """Callback for answers that match no attempt; returns whether the answer is one to a health check."""

    @property
    def limiter(self) -> ConnectionLimiter:
        """Limit on the number of connections to all caches."""

    def add_waiting_endpoint(self, endpoint: "EndpointConnections") -> None:
        """Add a cache for which attempts wait for a connection."""

    def remove_waiting_endpoint(self, endpoint: "EndpointConnections") -> None:
        """Remove a cache for which no attempt waits any more."""


class ConnectAttempt(ClientFactory):
    """A pending connect to a cache."""

    noisy = False

    def __init__(self, endpoint: "EndpointConnections") -> None:
        self.endpoint = endpoint

    def buildProtocol(self, addr: IAddress | None) -> CacheConnection:
        """Return the protocol object for the established connection; Twisted calls this."""
        return self.endpoint.connect_succeeded(self)

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        """Report that the connect failed; Twisted calls this."""
        self.endpoint.connect_failed(self, connect_error_number(reason.value))


def connect_error_number(error: object) -> int | None:
    """Return the error number of a failed connect; None if there was none, as for a timeout.

    Twisted treats EAGAIN from connect(2) as a pending connect. As the socket is in fact not connecting,
    Twisted at once reports the end of the connection (`ConnectionDone`), which is translated back to EAGAIN.
    """
    cause = error.args[0] if isinstance(error, Exception) and error.args else None
    if isinstance(cause, Failure) and isinstance(cause.value, ConnectionDone):
        return errno.EAGAIN
    return error_number(error)


class EndpointConnections:
    """All connections and waiting attempts of one cache.

    Attributes:
        connections: Established connections, the oldest first.
        connecting: Pending connects.
        waiting: Attempts that wait for a connection, the oldest first.
        is_closed: Whether the cache has left the endpoint list or moved to another address.
    """

    def __init__(self, pool: EndpointOwner, cache: int, host: str, port: int) -> None:
        self.pool = pool
        self.cache = cache
        self.host = host
        self.port = port
        self.connections: list[CacheConnection] = []
        self.connecting: dict[ConnectAttempt, Connector] = {}
        self.waiting: deque[Attempt] = deque()
        self.is_closed = False
        self.consecutive_resets = 0  # consecutive connects that were accepted and then reset
        self.backoff = ConnectBackoff(f"{host}:{port}")
        self.is_send_scheduled = False
        self.admitted_at = -math.inf  # when the limiter last admitted this cache from the limiter's queue

    @property
    def max_streams(self) -> int:
        """Maximum number of attempts in flight on one connection."""
        return self.pool.limits.max_streams

    @property
    def max_answer_time(self) -> float:
        """Longest time in seconds for which a request waits for its answer."""
        return self.pool.limits.max_answer_time

    # Sending.

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, or queue it until a connection is available."""
        if not self._send_now(attempt):
            attempt.queued_at = self.pool.timers.now()
            self.waiting.append(attempt)
            self.pool.add_waiting_endpoint(self)
            attempt.wait_timer = self.pool.timers.after(
                self.pool.limits.connect_timeout, lambda: self._wait_expired(attempt)
            )
            self._connect()

    def _send_now(self, attempt: Attempt) -> bool:
        """Send an attempt on the least loaded usable connection; return False if there is none."""
        usable = [c for c in self.connections if c.can_send(attempt.name) and not self._drain_if_stale(c)]
        if not usable or self.is_closed:
            return False
        connection = min(usable, key=lambda c: len(c.in_flight))
        self.pool.limiter.mark_in_use(connection)
        connection.send(attempt)
        return True

    def send_health_check(self, tag: str, command: bytes) -> bool:
        """Send a health check on an established connection; return False if none is usable."""
        usable = [c for c in self.connections if c.can_send(tag)]
        if usable:
            self.pool.limiter.reserve(usable[0])
            usable[0].write(command)
        return bool(usable)

    def cancel(self, attempt: Attempt, attempt_connection: AttemptConnection) -> None:
        """Cancel an attempt that is in flight on a connection, where its answer may still arrive."""
        for connection in self.connections:
            if connection is attempt_connection:
                self.pool.limiter.reserve(connection)
        attempt_connection.cancel(attempt)

    def _drain_if_stale(self, connection: CacheConnection) -> bool:
        """Drain a connection that its cache is about to close as idle, and return whether it was drained.

        A command sent on it could arrive after the cache has closed the connection.
        """
        limits = self.pool.limits
        stale_at = connection.used_at + limits.idle_timeout - limits.connect_timeout
        is_stale = not connection.in_flight and self.pool.timers.now() > stale_at
        if is_stale:
            connection.drain()
        return is_stale

    def send_waiting(self) -> None:
        """Send the waiting attempts in the next iteration, after all sockets of the current poll were read.

        This guards caches against attempts for clients whose disconnect is read in the same poll in which the
        connection to the cache is established. The delay has no known drawback, since it ends with the
        current poll.
        """
        if self.waiting and not self.is_send_scheduled:
            self.is_send_scheduled = True
            self.pool.reactor.callLater(0, self._send_waiting_now)
        if not self.waiting:
            self._mark_connections_idle()

    def _send_waiting_now(self) -> None:
        """Send the waiting attempts in order, and cancel short-lived ones that have waited too long.

        A short-lived attempt may be the retry of a request that must not be executed twice, which the router
        allows for a limited time only, or an attempt at a cache in slow start, which would otherwise receive
        all attempts that waited for a slow connect in one burst. Side effect: the router decides once more
        for each cancelled attempt.
        """
        self.is_send_scheduled = False
        now = self.pool.timers.now()
        while self.waiting:
            attempt = self.waiting[0]
            if attempt.is_short_lived and now > attempt.queued_at + self.pool.limits.max_iteration_time:
                self.waiting.popleft().end_wait()
                attempt.finish(AttemptLoss.SUPERSEDED)
            elif self._send_now(attempt):
                self.waiting.popleft().end_wait()
            else:
                break
        self._connect()
        self._waiting_changed()
        self._mark_connections_idle()

    def has_stranded_attempts(self) -> bool:
        """Return whether attempts wait here without anything under way that will send or end them early.

        This must be false whenever the event loop is idle. While attempts wait, they are either about to be
        sent or enough connects are pending for all of them; a connect that may not be started yet is replaced
        by the running backoff or by a place in the limiter's queue, and the limiter must not be idle while it
        could admit that place.
        """
        if not self.waiting or self.is_closed or self.is_send_scheduled or self.backoff.is_retry_scheduled:
            return False
        if self in self.pool.limiter.queue:
            return self.pool.limiter.is_stalled()
        return len(self.connecting) * self.max_streams < len(self.waiting)

    def _mark_connections_idle(self) -> None:
        """Make idle connections available for eviction in favour of other caches."""
        for connection in self.connections:
            self.pool.limiter.mark_idle(connection)

    def _wait_expired(self, attempt: Attempt) -> None:
        """End an attempt that has waited for the whole connect timeout.

        If the limit on connections delayed the connect, the attempt ends as superseded and the router decides
        again. This guards against treating the cache as unreachable without evidence. Side effect: the router
        decides once more.
        """
        if attempt in self.waiting:
            had_no_capacity = self in self.pool.limiter.queue or self.admitted_at > attempt.queued_at
            self.waiting.remove(attempt)
            if had_no_capacity:
                attempt.finish(AttemptLoss.SUPERSEDED)
            elif attempt.is_locally_blocked:
                attempt.finish(AttemptLoss.LOCAL_FAULT)
            else:
                attempt.finish(AttemptLoss.UNREACHABLE)
        self._waiting_changed()

    def withdraw(self, attempt: Attempt) -> None:
        """Remove an attempt from the queue without reporting an outcome."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            attempt.end_wait()
            self._waiting_changed()

    def _waiting_changed(self) -> None:
        if not self.waiting:
            self.pool.remove_waiting_endpoint(self)

    def cancel_waiting(self, is_superseded: Callable[[Attempt], bool]) -> None:
        """Cancel the waiting attempts for which `is_superseded` returns true."""
        cancelled = [attempt for attempt in self.waiting if is_superseded(attempt)]
        self.waiting = deque(attempt for attempt in self.waiting if attempt not in cancelled)
        self._waiting_changed()
        for attempt in cancelled:
            attempt.end_wait()
            attempt.finish(AttemptLoss.SUPERSEDED)

    def handle_unmatched(self, answer: Answer) -> None:
        """Pass on an answer that matches no attempt, and count it if it answers no health check either."""
        if not self.pool.on_health_answer(self.cache, answer):
            anomalies[UNMATCHED] += 1

    # Connecting.

    def _connect(self, minimum: int = 0) -> None:
        """Start as many connects as the waiting attempts need, or enough for `minimum` attempts.

        At the limit on connections to all caches, this cache waits in the limiter's queue. If a `minimum` is
        given, it does not: the connects are started now as far as the limit allows, or not at all.
        """
        limiter = self.pool.limiter
        while self._needs_connection(minimum):
            if not (limiter.is_below_limit() if minimum else limiter.admit(self)):
                break
            self._begin_connect()

    def _needs_connection(self, minimum: int = 0) -> bool:
        """Return whether pending connects provide too few streams for the waiting attempts or `minimum`.

        False if no connect may be started now, since the cache has left the list or a backoff is running.
        """
        expected_streams = len(self.connecting) * self.max_streams
        may_connect = not (self.is_closed or self.backoff.is_retry_scheduled)
        return may_connect and expected_streams < max(len(self.waiting), minimum)

    def _begin_connect(self) -> None:
        attempt = ConnectAttempt(self)
        self.pool.limiter.connect_begun()
        timeout = self.pool.limits.connect_timeout
        try:
            self.connecting[attempt] = self.pool.reactor.connectTCP(self.host, self.port, attempt, timeout)
        except OSError:  # nothing was sent to the cache
            self.pool.limiter.connect_ended()
            self._connect_later()

    def _connect_later(self) -> None:
        """Schedule a connect after a backoff, while the attempts go on waiting.

        Without this, a fault of this machine would make the cache count as down or possibly restarted. Side
        effect: an attempt may wait for the whole connect timeout even if another cache has a connection.
        """
        for attempt in self.waiting:
            attempt.is_locally_blocked = True
        delay = self.backoff.record_fault(self.pool.timers.now())
        if delay is not None:
            self.pool.timers.after(delay, self._connect_again)

    def _connect_again(self) -> None:
        """Connect for waiting attempts after a backoff.

        If the first fault is recent and no connection is established, connect even without waiting attempts:
        the outcome shows whether the cache or this machine broke an earlier connection.
        """
        self.backoff.is_retry_scheduled = False
        is_recent = self.pool.timers.now() < self.backoff.first_fault_at + self.pool.limits.connect_timeout
        self._connect()
        if is_recent and not self.connections:
            self._connect(minimum=1)

    def connect_when_admitted(self) -> None:
        """Start one connect if it is still needed; if more are needed, queue again."""
        self.admitted_at = self.pool.timers.now()
        if self._needs_connection():
            self._begin_connect()
            self._connect()

    def _connect_ended(self, attempt: ConnectAttempt) -> None:
        if self.connecting.pop(attempt, None) is not None:
            self.pool.limiter.connect_ended()

    def connect_succeeded(self, attempt: ConnectAttempt) -> CacheConnection:
        """Return the protocol object for an established connection."""
        self._connect_ended(attempt)
        return CacheConnection(self, self.pool.timers)

    def connect_failed(self, attempt: ConnectAttempt, error: int | None) -> None:
        """End all waiting attempts, since further connects would be refused or time out as well.

        After a local fault, the attempts go on waiting and the connect is retried. A connect that fails with
        a reset was accepted first, which shows that the cache is running; it is retried as well, until
        MAX_RESETS connects in a row were reset. This guards against treating a running cache as down. Side
        effect: additional connects to a cache that resets each one.
        """
        self._connect_ended(attempt)
        if connect_fault_side(error) is FaultSide.THIS_MACHINE:
            self._connect_later()
            return
        self.backoff.clear()
        self.consecutive_resets = self.consecutive_resets + 1 if error in RESET_ERRORS else MAX_RESETS
        if self.consecutive_resets < MAX_RESETS:
            self._connect()
            return
        self.consecutive_resets = 0
        waiting = self.waiting
        self.waiting = deque()
        self._waiting_changed()
        for waiting_attempt in waiting:
            waiting_attempt.end_wait()
            waiting_attempt.finish(AttemptLoss.UNREACHABLE)

    def connection_opened(self, connection: CacheConnection) -> None:
        """Use an established connection, or close it if the cache has left the list or moved meanwhile."""
        self.pool.limiter.opened(connection)
        if self.is_closed:
            connection.close()
            return
        self.consecutive_resets = 0
        self.backoff.clear()
        self.connections.append(connection)
        self.pool.on_connected(self.cache)
        connection.pause_reading(self.pool.is_read_paused)
        self.send_waiting()

    def connection_lost(self, connection: CacheConnection) -> None:
        """Remove an ended connection, and reconnect at once if it was the last and had attempts in flight.

        The outcome of the reconnect shows whether the cache itself failed. A connection without a transport
        was established but could not be registered with epoll_ctl, which is a local fault.
        """
        self.pool.limiter.closed(connection)
        if connection.transport is None:
            self._connect_later()
            return
        if connection in self.connections:
            self.connections.remove(connection)
        self._connect(minimum=1 if connection.in_flight and not self.connections else 0)

    # Ending.

    def abort_older(self, started_at: float) -> None:
        """Abort connections that were established before the cache last started.

        They lead to a process that no longer exists; a machine that crashed never closed them.

        Args:
            started_at: Earliest possible time at which the cache started (seconds of the front's clock).
        """
        for connection in [c for c in self.connections if c.opened_at < started_at]:
            connection.abort()

    def close(self, is_moved: bool) -> None:
        """Send nothing more, since the cache has left the endpoint list or moved to another address.

        Args:
            is_moved: Whether it has moved, so that the connections are aborted instead of drained.
        """
        self.is_closed = True
        for connector in list(self.connecting.values()):
            connector.disconnect()
        self.cancel_waiting(lambda _: True)
        for connection in list(self.connections):
            (connection.abort if is_moved else connection.drain)()
