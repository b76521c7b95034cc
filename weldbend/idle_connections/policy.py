"""Decisions about client connections: which are kept, made idle or closed, and how many at a time.

Nothing here does I/O or reads a clock. The defaults are the platform's limits on silent clients, incomplete
requests and file descriptors; an installation file may set others (`weldbend.installation`).
"""

from dataclasses import dataclass
from enum import Enum, auto

RECENT_BYTE_SECONDS = 0.05  # seconds since the last byte, within which a request may be on its way
QUIESCENT_SECONDS = 0.1  # seconds since the last byte, after which no request can be on its way
OVERLOAD_CONNECTIONS = 256  # active connections above which idle ones are moved to the pool early
REGULAR_CLIENT_REQUESTS = 8  # requests after which a client is expected to send more
SHORT_IDLE_SECONDS = 2.0  # seconds of idleness below which a connection is woken before others
LONG_IDLE_INTERVAL = 4  # one wake in so many is of a connection that was idle for long, if any waits
EVICTION_DIVISOR = 16  # at the connection limit, one connection in so many is evicted at once
USAGE_CLASSES = 3  # classes of idle connections by requests so far: none, one, more


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Settings of an installation for client connections.

    Times are in seconds, all others are counts. The defaults are the platform's.
    """

    request_timeout: float = 2.0  # for the first request, and for the rest of each request that has begun
    idle_timeout: float = 4.5  # without an open request; clients close such a connection after 4 s
    pool_after: float = 0.5  # idle time after which a connection moves to the idle pool; 0: never
    wake_batch: int = 32  # connections woken in one event-loop iteration at most
    close_batch: int = 256  # connections closed or moved to the pool in one event-loop iteration at most
    accept_batch: int = 64  # connections accepted in one event-loop iteration, approximately
    max_connections: int = 0  # client connections at once; 0: derived from the limit on descriptors


class ConnectionAction(Enum):
    """What is done about a connection after a check."""

    KEEP = auto()
    MOVE_TO_POOL = auto()
    CLOSE_IDLE = auto()  # it was idle for too long
    CLOSE_SILENT = auto()  # it never sent a request
    CLOSE_INCOMPLETE = auto()  # it stopped in the middle of a request


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """State of an active connection at the time of a check; times are in seconds of the front's clock."""

    is_busy: bool  # a request is open, or bytes wait to be sent
    has_partial_request: bool
    request_count: int
    last_active: float  # when it was last not idle
    request_started: float  # when the first byte of the request that is arriving came


def decide(
    settings: ConnectionSettings, state: ConnectionState, now: float, active_connections: int = 0
) -> ConnectionAction:
    """Decide what is done about a connection.

    Protects descriptors against clients that send nothing, stop in the middle of a request, or never close.
    Cost: a client that needs longer than `request_timeout` for one request is disconnected.

    Args:
        settings: Limits to apply.
        state: The connection as it is now.
        now: Seconds of the front's clock.
        active_connections: How many connections are active, this one included.

    Returns:
        The action to carry out.
    """
    if state.is_busy:
        return ConnectionAction.KEEP
    if state.has_partial_request:
        overdue = now > state.request_started + settings.request_timeout
        return ConnectionAction.CLOSE_INCOMPLETE if overdue else ConnectionAction.KEEP
    if now > state.last_active + idle_timeout(settings, usage_class(state.request_count)):
        return ConnectionAction.CLOSE_IDLE if state.request_count else ConnectionAction.CLOSE_SILENT
    delay = pool_delay(settings, state.request_count, active_connections)
    if settings.pool_after and now > state.last_active + delay:
        return ConnectionAction.MOVE_TO_POOL
    return ConnectionAction.KEEP


def pool_delay(settings: ConnectionSettings, request_count: int, active_connections: int) -> float:
    """Return the seconds without a byte after which an idle connection moves to the idle pool.

    Protects memory against bursts: thousands of connections opened in one second would all be active at
    once, and the allocator does not give back what they took. Regular clients are exempt. Cost: a client
    that sends its next request soon afterwards costs a wake, about a twentieth of a request's CPU time.
    """
    if active_connections <= OVERLOAD_CONNECTIONS or request_count >= REGULAR_CLIENT_REQUESTS:
        return settings.pool_after
    return min(settings.pool_after, QUIESCENT_SECONDS)


def is_short_idle(idle_seconds: float) -> bool:
    """Return whether a connection with this idle time is woken before others.

    Protects clients in the middle of their work against many that return after a long pause. Cost: those
    wait a little longer; every `LONG_IDLE_INTERVAL`-th wake is still one of theirs.
    """
    return idle_seconds < SHORT_IDLE_SECONDS


def usage_class(request_count: int) -> int:
    """Return the usage class, from 0 to `USAGE_CLASSES - 1`; lower classes are evicted first."""
    return min(request_count, USAGE_CLASSES - 1)


def idle_timeout(settings: ConnectionSettings, usage: int) -> float:
    """Return the seconds for which an idle connection of a usage class is kept open."""
    return settings.idle_timeout if usage else min(settings.request_timeout, settings.idle_timeout)


def eviction_order(request_count: int, last_active: float, now: float) -> tuple[bool, int, float]:
    """Return the sort key by which idle connections are evicted, the first one first.

    Connections that sent a byte just now come last, since a request may be on its way. Otherwise the order
    is by usage class, and within a class the longest idle comes first.
    """
    return last_active > now - RECENT_BYTE_SECONDS, usage_class(request_count), last_active


def eviction_count(connections: int, max_connections: int) -> int:
    """Return how many idle connections are evicted.

    Protects the port against clients that open connections in hundreds and leave them open. Cost: an
    ordinary idle client has to reconnect when the site has fewer descriptors than clients.
    """
    if connections < max_connections:
        return 0
    return max(max_connections // EVICTION_DIVISOR, 1)


def is_accept_paused(connections: int, max_connections: int) -> bool:
    """Return whether no connection is accepted; new ones wait in the kernel's backlog."""
    return connections >= max_connections


def is_quiescent(idle: bool, last_active: float, now: float) -> bool:
    """Return whether no request can be on its way on a connection.

    True only if no part of a request is here and none was received or answered lately. This covers a
    connection that has just been accepted: its first request may still be unread.
    """
    return idle and now > last_active + QUIESCENT_SECONDS


class WakeBatchSizer:
    """Adapts the number of idle connections woken in one event-loop iteration to the iterations' length.

    Protects the deadlines of open requests, and the timers, when many idle connections become readable at
    the same time. The size grows by one and is halved (additive increase, multiplicative decrease) by how
    long iterations last while connections wait to be woken. Cost: the last of them wakes late; the router
    is notified of that delay and rejects requests whose deadline has become too close.
    """

    SHORT_ITERATION = 0.003  # seconds below which the size grows
    LONG_ITERATION = 0.008  # seconds above which the size is halved
    START_SIZE = 4

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self.size = min(self.START_SIZE, max_size)
        # When the previous batch began, if connections still waited behind it.
        self.previous_start: float | None = None

    def next_size(self, now: float, waiting: int) -> int:
        """Return how many of the `waiting` connections are woken now (`now` in seconds)."""
        if self.previous_start is not None:
            elapsed = now - self.previous_start
            if elapsed > self.LONG_ITERATION:
                self.size = max(self.size // 2, 1)
            elif elapsed < self.SHORT_ITERATION:
                self.size = min(self.size + 1, self.max_size)
        count = min(self.size, waiting)
        self.previous_start = now if waiting > count else None
        return count
