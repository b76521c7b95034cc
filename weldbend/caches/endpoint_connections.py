"""All connections to one cache, those under way too, and the attempts that wait for one.

An attempt goes out at once on a connection with a free stream, or waits for one, at most for the time in
which a connection must come up. While it waits it may become superseded: it is cancelled when the endpoint
list or a purge concerns its cache, its source or its object, and the router decides anew.
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
MAX_RESETS = 5  # connects in a row that may be accepted and reset
UNMATCHED = "unmatched cache answers"  # name of the anomaly counter, as it appears in the log


class EndpointOwner(Protocol):
    """The pool that the connections of one cache belong to."""

    @property
    def reactor(self) -> Reactor:
        """What connects, and calls later."""

    @property
    def timers(self) -> Timers:
        """The front's time and timers."""

    @property
    def limits(self) -> CacheLimits:
        """What the site allows at present."""

    @property
    def is_read_paused(self) -> bool:
        """Whether no connection is read at present."""

    @property
    def on_connected(self) -> Callable[[int], None]:
        """Called with each cache to which a connection has come up."""

    @property
    def on_health_answer(self) -> Callable[[int, Answer], bool]:
        """Called with each answer that belongs to no attempt; returns whether it is one to a health check."""

    @property
    def limiter(self) -> ConnectionLimiter:
        """The bound on connections to all caches."""

    def add_waiting_endpoint(self, endpoint: "EndpointConnections") -> None:
        """Attempts wait for a connection to a cache."""

    def remove_waiting_endpoint(self, endpoint: "EndpointConnections") -> None:
        """No attempt waits for a connection to a cache any more."""


class ConnectAttempt(ClientFactory):
    """One connection that is being made."""

    noisy = False

    def __init__(self, endpoint: "EndpointConnections") -> None:
        self.endpoint = endpoint

    def buildProtocol(self, addr: IAddress | None) -> CacheConnection:
        """The object for the connection that has come up."""
        return self.endpoint.connect_succeeded(self)

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        """Report that none came up; Twisted calls it."""
        self.endpoint.connect_failed(self, connect_error_number(reason.value))


def connect_error_number(error: object) -> int | None:
    """The error number of a connect that failed; None where there was none, as for a timeout.

    Twisted takes EAGAIN for a connect under way; the socket, which is not, then shows its end at once.
    """
    cause = error.args[0] if isinstance(error, Exception) and error.args else None
    if isinstance(cause, Failure) and isinstance(cause.value, ConnectionDone):
        return errno.EAGAIN
    return error_number(error)


class EndpointConnections:
    """All that goes to one cache.

    Attributes:
        connections: Those that are up, the oldest first.
        connecting: Those that are being made.
        waiting: Attempts that wait for a connection, in their order.
        is_closed: Whether the cache has left the list, or this address.
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
        self.consecutive_resets = 0  # connects in a row that were accepted and reset
        self.backoff = ConnectBackoff(f"{host}:{port}")
        self.is_send_scheduled = False
        self.admitted_at = -math.inf  # when it last had its turn to connect, after a wait for room

    @property
    def max_streams(self) -> int:
        """How many attempts may be in flight on one connection."""
        return self.pool.limits.max_streams

    @property
    def max_answer_time(self) -> float:
        """Seconds for which anyone waits for an answer."""
        return self.pool.limits.max_answer_time

    # Sending.

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, or have it wait for a connection."""
        if not self._send_now(attempt):
            attempt.queued_at = self.pool.timers.now()
            self.waiting.append(attempt)
            self.pool.add_waiting_endpoint(self)
            self.pool.timers.after(self.pool.limits.connect_timeout, lambda: self._wait_expired(attempt))
            self._connect()

    def _send_now(self, attempt: Attempt) -> bool:
        """Send an attempt on the connection with the fewest in flight; false where none can carry it."""
        usable = [c for c in self.connections if c.can_send(attempt.name) and not self._drain_if_stale(c)]
        if not usable or self.is_closed:
            return False
        connection = min(usable, key=lambda c: len(c.in_flight))
        self.pool.limiter.mark_in_use(connection)
        connection.send(attempt)
        return True

    def send_health_check(self, tag: str, command: bytes) -> bool:
        """Send a health check on a connection that is up; false where there is none."""
        usable = [c for c in self.connections if c.can_send(tag)]
        if usable:
            self.pool.limiter.reserve(usable[0])
            usable[0].write(command)
        return bool(usable)

    def cancel(self, attempt: Attempt, attempt_connection: AttemptConnection) -> None:
        """Cancel an attempt that is in flight on a connection; its answer may still come there."""
        for connection in self.connections:
            if connection is attempt_connection:
                self.pool.limiter.reserve(connection)
        attempt_connection.cancel(attempt)

    def _drain_if_stale(self, connection: CacheConnection) -> bool:
        """Drain one that its cache is about to close for idleness: a command could cross the close."""
        limits = self.pool.limits
        stale_at = connection.used_at + limits.idle_timeout - limits.connect_timeout
        is_stale = not connection.in_flight and self.pool.timers.now() > stale_at
        if is_stale:
            connection.drain()
        return is_stale

    def send_waiting(self) -> None:
        """Send the waiting attempts soon, but read first what else has come in this moment.

        Guards caches against attempts for clients whose end is read right after their connection came up.
        Harm: none known: it is a matter of the poll of sockets that is under way.
        """
        if self.waiting and not self.is_send_scheduled:
            self.is_send_scheduled = True
            self.pool.reactor.callLater(0, self._send_waiting_now)
        if not self.waiting:
            self._mark_connections_idle()

    def _send_waiting_now(self) -> None:
        """Send the waiting attempts, in their order.

        Guards against retries of a request that must not be executed twice, allowed for a time that may be
        over, and against a burst on a cache that warms up of all that was decided while connecting took long.
        Harm: one more decision for each.
        """
        self.is_send_scheduled = False
        now = self.pool.timers.now()
        while self.waiting:
            attempt = self.waiting[0]
            if attempt.is_short_lived and now > attempt.queued_at + self.pool.limits.max_iteration_time:
                self.waiting.popleft()
                attempt.finish(AttemptLoss.SUPERSEDED)
            elif self._send_now(attempt):
                self.waiting.popleft()
            else:
                break
        self._waiting_changed()
        self._mark_connections_idle()

    def _mark_connections_idle(self) -> None:
        """What nothing is under way on may make way for connections to other caches."""
        for connection in self.connections:
            self.pool.limiter.mark_idle(connection)

    def _wait_expired(self, attempt: Attempt) -> None:
        """End an attempt that has waited for as long as a connection may take to come up.

        Guards a cache from being taken for unreachable where there was no room to connect to it: that says
        nothing of the cache, and is decided anew. Harm: one more decision.
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
        """Have an attempt wait no longer; its end is not reported."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            self._waiting_changed()

    def _waiting_changed(self) -> None:
        if not self.waiting:
            self.pool.remove_waiting_endpoint(self)

    def cancel_waiting(self, is_superseded: Callable[[Attempt], bool]) -> None:
        """Cancel waiting attempts that are superseded."""
        cancelled = [attempt for attempt in self.waiting if is_superseded(attempt)]
        self.waiting = deque(attempt for attempt in self.waiting if attempt not in cancelled)
        self._waiting_changed()
        for attempt in cancelled:
            attempt.finish(AttemptLoss.SUPERSEDED)

    def handle_unmatched(self, answer: Answer) -> None:
        """Pass on an answer that belongs to no attempt: it should be one to a health check."""
        if not self.pool.on_health_answer(self.cache, answer):
            anomalies[UNMATCHED] += 1

    # Connecting.

    def _connect(self, minimum: int = 0) -> None:
        """Have as many connections under way as the waiting attempts need, or a `minimum` of them.

        At the bound on connections to all caches, they are made in turn.
        """
        limiter = self.pool.limiter
        while self._needs_connection(minimum):
            if not (limiter.is_below_limit() if minimum else limiter.admit(self)):
                break
            self._begin_connect()

    def _needs_connection(self, minimum: int = 0) -> bool:
        """Whether those that are being made carry less than what waits, or than the `minimum`."""
        expected_streams = len(self.connecting) * self.max_streams
        may_connect = not (self.is_closed or self.backoff.is_retry_scheduled)
        return may_connect and expected_streams < max(len(self.waiting), minimum)

    def _begin_connect(self) -> None:
        attempt = ConnectAttempt(self)
        self.pool.limiter.connect_begun()
        timeout = self.pool.limits.connect_timeout
        try:
            self.connecting[attempt] = self.pool.reactor.connectTCP(self.host, self.port, attempt, timeout)
        except OSError:  # nothing has left this machine
            self.pool.limiter.connect_ended()
            self._connect_later()

    def _connect_later(self) -> None:
        """Have the attempts go on waiting, and connect again after a backoff.

        Guards against taking a cache for one that is down, or may have restarted, for a fault of this
        machine. Harm: an attempt waits for as long as a connect may take, where another cache might have had
        a connection.
        """
        for attempt in self.waiting:
            attempt.is_locally_blocked = True
        delay = self.backoff.record_fault(self.pool.timers.now())
        if delay is not None:
            self.pool.timers.after(delay, self._connect_again)

    def _connect_again(self) -> None:
        """Connect for those that wait, and for a while without any: it tells what broke a connection."""
        self.backoff.is_retry_scheduled = False
        is_recent = self.pool.timers.now() < self.backoff.first_fault_at + self.pool.limits.connect_timeout
        self._connect(minimum=1 if is_recent and not self.connections else 0)

    def connect_when_admitted(self) -> None:
        """Begin one connection, if one is still wanted; where that is not enough, wait for the next turn."""
        self.admitted_at = self.pool.timers.now()
        if self._needs_connection():
            self._begin_connect()
            self._connect()

    def _connect_ended(self, attempt: ConnectAttempt) -> None:
        if self.connecting.pop(attempt, None) is not None:
            self.pool.limiter.connect_ended()

    def connect_succeeded(self, attempt: ConnectAttempt) -> CacheConnection:
        """The object for a connection that has come up."""
        self._connect_ended(attempt)
        return CacheConnection(self, self.pool.timers)

    def connect_failed(self, attempt: ConnectAttempt, error: int | None) -> None:
        """End all waiting attempts: where one connect is refused or times out, others would be too.

        A fault of this machine ends none: it is tried again while they wait.
        One that was accepted and reset shows that its cache is up, so it is tried again, a bounded number of
        times. Guards against treating that cache as one that is down. Harm: some connects more to one that
        always does so.
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
        for waiting_attempt in waiting:
            waiting_attempt.finish(AttemptLoss.UNREACHABLE)

    def connection_opened(self, connection: CacheConnection) -> None:
        """Use a connection that has come up, unless its cache has left meanwhile."""
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
        """Replace one that broke with attempts in flight at once: whether it can be tells what happened.

        One that came up and could not be watched (epoll_ctl) was never opened: that is this machine's fault.
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
        """Abort connections from before the cache's start.

        They lead nowhere, though a machine that vanished never closed them.

        Args:
            started_at: When the cache started (seconds of the front's clock).
        """
        for connection in [c for c in self.connections if c.opened_at < started_at]:
            connection.abort()

    def close(self, is_moved: bool) -> None:
        """Send nothing more here: the cache has left the list, or this address.

        Args:
            is_moved: Whether it is now at another address, so that what is in flight here ends at once.
        """
        self.is_closed = True
        for connector in list(self.connecting.values()):
            connector.disconnect()
        self.cancel_waiting(lambda _: True)
        for connection in list(self.connections):
            (connection.abort if is_moved else connection.drain)()
