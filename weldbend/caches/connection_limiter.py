"""The bound on connections to all caches: how many there are, which make way, and who waits for room.

At the bound, the connection that has been idle for the longest time is closed for a cache that has none to
carry its attempts. Where none is idle, caches wait in turn until one is. Each step takes constant time,
however many caches are listed.
"""

from typing import Protocol

from weldbend.caches.connection import CacheConnection
from weldbend.caches.interfaces import Reactor, Timers
from weldbend.caches.limits import CacheLimits


class LimitedEndpoint(Protocol):
    """The connections to one cache, as far as the bound concerns them."""

    def connect_when_admitted(self) -> None:
        """Begin one connection, if one is still wanted: there is room now."""


class LimiterOwner(Protocol):
    """The pool whose connections are counted."""

    @property
    def reactor(self) -> Reactor:
        """What calls later."""

    @property
    def timers(self) -> Timers:
        """The front's time and timers."""

    @property
    def limits(self) -> CacheLimits:
        """What the site allows at present."""


def is_idle(connection: CacheConnection) -> bool:
    """Whether nothing is under way on a connection that is up, in either direction."""
    is_ending = connection.is_draining or connection.is_aborted or connection.is_lost
    has_bytes = connection.outgoing or connection.incoming or connection.is_write_paused
    return not (is_ending or has_bytes or connection.in_flight)


class ConnectionLimiter:
    """Counts connections and decides which of them make way.

    Attributes:
        open: Connections that are up or being closed, the oldest first.
        connecting: How many are being made.
        idle: Those that may make way, idle for the longest time first.
        queue: Caches that wait for room, the longest first.
    """

    def __init__(self, pool: LimiterOwner) -> None:
        self.pool = pool
        self.open: dict[CacheConnection, None] = {}
        self.connecting = 0
        self.idle: dict[CacheConnection, None] = {}
        self.queue: dict[LimitedEndpoint, None] = {}
        self._evicting: set[CacheConnection] = set()  # closed for others, and not gone yet
        self._reserved_until: dict[CacheConnection, float] = {}  # until when a late answer may still come
        self._is_scheduled = False

    # What there is.

    def count(self) -> int:
        """How many connections hold a descriptor: those that are up, being closed, or being made."""
        return len(self.open) + self.connecting

    def is_below_limit(self) -> bool:
        """Whether one more may be made."""
        return self.count() < self.pool.limits.max_connections

    def connect_begun(self) -> None:
        """Count a connection that is being made."""
        self.connecting += 1

    def connect_ended(self) -> None:
        """A connection is no longer being made: it has come up or failed."""
        self.connecting -= 1
        self._schedule_processing()

    def opened(self, connection: CacheConnection) -> None:
        """Count a connection that has come up."""
        self.open[connection] = None

    def closed(self, connection: CacheConnection) -> None:
        """Forget a connection that has ended."""
        self.open.pop(connection, None)
        self.idle.pop(connection, None)
        self._reserved_until.pop(connection, None)
        self._evicting.discard(connection)
        self._schedule_processing()

    # Which may make way.

    def mark_in_use(self, connection: CacheConnection) -> None:
        """Something is sent on a connection: it does not make way."""
        self.idle.pop(connection, None)

    def reserve(self, connection: CacheConnection) -> None:
        """Keep a connection for a connect timeout: an answer to nothing in flight may come on it.

        Guards cancellations and health checks that are on their way from a close that crosses their answer,
        which resets the connection. Harm: a connect waits a little where nothing else is idle.
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
        """A connection makes way from now on, if nothing is under way on it."""
        if connection not in self.idle and connection not in self._reserved_until and is_idle(connection):
            self.idle[connection] = None
            self._schedule_processing()

    # Who waits.

    def admit(self, endpoint: LimitedEndpoint) -> bool:
        """Whether a cache may connect now; else it has its turn as soon as there is room."""
        if self.is_below_limit() and not self.queue:
            return True
        self.queue.setdefault(endpoint)
        self._schedule_processing()
        return False

    def withdraw(self, endpoint: LimitedEndpoint) -> None:
        """A cache no longer waits for room."""
        self.queue.pop(endpoint, None)

    def _schedule_processing(self) -> None:
        """Serve those who wait soon, after what is under way in this moment."""
        if self.queue and not self._is_scheduled:
            self._is_scheduled = True
            self.pool.reactor.callLater(0, self._process_queue)

    def _process_queue(self) -> None:
        """Give room to those who wait, in turn, and have idle connections make way for the others."""
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
