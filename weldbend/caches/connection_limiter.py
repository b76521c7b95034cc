"""The limit on the number of connections to all caches, with eviction of idle ones and a queue.

At the limit, a cache that needs a connection for its attempts waits in a first-in, first-out queue, and the
connection that has been idle for the longest time is closed to make room. If no connection is idle, the cache
waits until one is. No step depends on the number of listed caches; each takes constant time, except that the
queue is copied when it is processed.
"""

from typing import Protocol

from weldbend.caches.connection import CacheConnection
from weldbend.caches.interfaces import Reactor, Timers
from weldbend.caches.limits import CacheLimits


class LimitedEndpoint(Protocol):
    """The interface of a cache's connections that the limiter uses."""

    def connect_when_admitted(self) -> None:
        """Start one connect if it is still needed; the limit permits it now."""


class LimiterOwner(Protocol):
    """The pool whose connections are counted."""

    @property
    def reactor(self) -> Reactor:
        """Reactor that schedules calls."""

    @property
    def timers(self) -> Timers:
        """Clock and timers of the front."""

    @property
    def limits(self) -> CacheLimits:
        """Limits in force at present."""


def is_idle(connection: CacheConnection) -> bool:
    """Return whether an established connection has no attempt in flight and no buffered byte."""
    is_ending = connection.is_draining or connection.is_aborted or connection.is_lost
    has_bytes = connection.outgoing or connection.incoming or connection.is_write_paused
    return not (is_ending or has_bytes or connection.in_flight)


class ConnectionLimiter:
    """Counts connections, and decides which of them are evicted.

    Attributes:
        open: Connections that are established or being closed, the oldest first.
        connecting: Number of pending connects.
        idle: Connections that may be evicted, the longest idle first.
        queue: Caches that wait until they may connect, the longest waiting first.
    """

    def __init__(self, pool: LimiterOwner) -> None:
        self.pool = pool
        self.open: dict[CacheConnection, None] = {}
        self.connecting = 0
        self.idle: dict[CacheConnection, None] = {}
        self.queue: dict[LimitedEndpoint, None] = {}
        self._evicting: set[CacheConnection] = set()  # evicted, and not closed yet
        self._reserved_until: dict[CacheConnection, float] = {}  # time until which a late answer may arrive
        self._is_scheduled = False

    # Counting.

    def count(self) -> int:
        """Return the number of connections that hold a descriptor: established, closing or connecting."""
        return len(self.open) + self.connecting

    def is_below_limit(self) -> bool:
        """Return whether one more connection may be made."""
        return self.count() < self.pool.limits.max_connections

    def connect_begun(self) -> None:
        """Count a connect that was started."""
        self.connecting += 1

    def connect_ended(self) -> None:
        """Remove a connect that has succeeded or failed from the count."""
        self.connecting -= 1
        self._schedule_processing()

    def opened(self, connection: CacheConnection) -> None:
        """Add a connection that was established."""
        self.open[connection] = None

    def closed(self, connection: CacheConnection) -> None:
        """Remove a connection that has ended."""
        self.open.pop(connection, None)
        self.idle.pop(connection, None)
        self._reserved_until.pop(connection, None)
        self._evicting.discard(connection)
        self._schedule_processing()

    # Eviction.

    def mark_in_use(self, connection: CacheConnection) -> None:
        """Exclude a connection from eviction, since something is sent on it."""
        self.idle.pop(connection, None)

    def reserve(self, connection: CacheConnection) -> None:
        """Exclude a connection from eviction for one connect timeout after a cancellation or a health check.

        The connection looks idle while the cache's answer to the cancellation or health check is still to
        come, since that answer belongs to no attempt in flight. If the connection were closed just before the
        answer arrives, it would be reset, and the cancellation or the health check could be lost. Side
        effect: if no other connection is idle, a connect waits a little longer.
        """
        self.mark_in_use(connection)
        delay = self.pool.limits.connect_timeout
        self._reserved_until[connection] = self.pool.timers.now() + delay
        self.pool.timers.after(delay, lambda: self._end_reservation(connection))

    def _end_reservation(self, connection: CacheConnection) -> None:
        reserved_until = self._reserved_until.get(connection)
        if reserved_until is not None and self.pool.timers.now() >= reserved_until:
            del self._reserved_until[connection]
            self.mark_idle(connection)

    def mark_idle(self, connection: CacheConnection) -> None:
        """Make a connection available for eviction if it is idle and not reserved."""
        if connection not in self.idle and connection not in self._reserved_until and is_idle(connection):
            self.idle[connection] = None
            self._schedule_processing()

    # The queue.

    def admit(self, endpoint: LimitedEndpoint) -> bool:
        """Return whether a cache may connect now; if not, add it to the queue."""
        if self.is_below_limit() and not self.queue:
            return True
        self.queue.setdefault(endpoint)
        self._schedule_processing()
        return False

    def withdraw(self, endpoint: LimitedEndpoint) -> None:
        """Remove a cache from the queue."""
        self.queue.pop(endpoint, None)

    def is_stalled(self) -> bool:
        """Return whether a queued cache could be admitted, or a connection evicted, and neither is scheduled.

        This must be false whenever the event loop is idle.
        """
        can_evict = bool(self.idle) and len(self._evicting) < len(self.queue)
        return bool(self.queue) and not self._is_scheduled and (self.is_below_limit() or can_evict)

    def _schedule_processing(self) -> None:
        """Schedule processing of the queue after the current call has returned to the reactor."""
        if self.queue and not self._is_scheduled:
            self._is_scheduled = True
            self.pool.reactor.callLater(0, self._process_queue)

    def _process_queue(self) -> None:
        """Admit queued caches in order up to the limit; evict an idle connection for each of the others."""
        self._is_scheduled = False
        for endpoint in list(self.queue):
            if not self.is_below_limit():
                break
            self.withdraw(endpoint)
            endpoint.connect_when_admitted()
        missing = len(self.queue) - len(self._evicting)
        while missing > 0 and self.idle:
            connection = next(iter(self.idle))
            del self.idle[connection]
            if is_idle(connection):
                self._evicting.add(connection)
                connection.drain()
                missing -= 1
