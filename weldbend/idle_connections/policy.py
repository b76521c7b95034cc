"""Decisions about client connections: which are kept, made idle or closed, and how many at a time.

An active connection (elsewhere called live) is handled by a protocol object, unlike one in the idle pool
(`idle_pool`). The functions do no I/O and read no clock. The default of `idle_timeout` exceeds the 4 s after
which clients close an idle connection. By default, `max_connections` is derived from the limit on file
descriptors. An installation file may set other values (`weldbend.installation`).
"""

from dataclasses import dataclass
from enum import Enum, auto

RECENT_BYTE_SECONDS = 0.05  # time since the last byte during which another request may be in transit
QUIESCENT_SECONDS = 0.1  # time since the last byte after which no request is in transit any more
OVERLOAD_CONNECTIONS = 256  # number of active connections above which idle ones move to the pool early
REGULAR_CLIENT_REQUESTS = 8  # number of requests after which a client is expected to send more
SHORT_IDLE_SECONDS = 2.0  # idle time below which a connection is woken before those with a longer one
LONG_IDLE_INTERVAL = 4  # one wake in this many is of a connection with a long idle time, if one waits
EVICTION_DIVISOR = 16  # at the connection limit, one connection in this many is evicted at a time
USAGE_CLASSES = 3  # classes of idle connections by number of requests so far: none, one, more


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Settings of an installation for client connections.

    Times are in seconds, all other values are counts.
    """

    request_timeout: float = 2.0  # until the first request arrives, and until the end of each partial one
    idle_timeout: float = 4.5  # without an open request; clients close an idle connection after 4 s
    pool_after: float = 0.5  # idle time after which a connection moves to the idle pool; 0: never
    wake_batch: int = 32  # largest number of connections woken in one event-loop iteration
    # Largest number closed or moved to the pool in one round of checks; also the largest number evicted at
    # once, and the largest number of pooled connections closed at once during the shutdown.
    close_batch: int = 256
    accept_batch: int = 64  # approximate number of connections accepted in one event-loop iteration
    max_connections: int = 0  # limit on open client connections; 0: derived from the limit on descriptors


class ConnectionAction(Enum):
    """Action to take on a connection after a check."""

    KEEP = auto()
    MOVE_TO_POOL = auto()
    CLOSE_IDLE = auto()  # the connection was idle for too long
    CLOSE_SILENT = auto()  # the client never sent a request
    CLOSE_INCOMPLETE = auto()  # the client stopped in the middle of a request


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """State of an active connection at the time of a check; times are in seconds of the front's clock."""

    is_busy: bool  # a request is open, or bytes remain to be sent
    has_partial_request: bool
    request_count: int
    last_active: float  # time when the connection was last not idle
    request_started: float  # time when the first byte of the partial request arrived


def decide(
    settings: ConnectionSettings, state: ConnectionState, now: float, active_connections: int = 0
) -> ConnectionAction:
    """Choose the action to take on a connection.

    Guards descriptors against clients that send nothing, stop in the middle of a request, or never close the
    connection. Side effect: a client that needs longer than `request_timeout` to send one request is
    disconnected.

    Args:
        settings: Limits to apply.
        state: Current state of the connection.
        now: Current time of the front's clock (seconds).
        active_connections: Number of active connections, including this one.

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

    Guards memory against bursts: thousands of connections opened in one second would all be active at the
    same time, and the allocator does not return their memory to the system. Regular clients are exempt. Side
    effect: if a client sends its next request soon afterwards, its connection has to be woken, which takes
    about a twentieth of the CPU time of a request.
    """
    if active_connections <= OVERLOAD_CONNECTIONS or request_count >= REGULAR_CLIENT_REQUESTS:
        return settings.pool_after
    return min(settings.pool_after, QUIESCENT_SECONDS)


def is_short_idle(idle_seconds: float) -> bool:
    """Return whether a connection with this idle time is woken before those with a long idle time.

    Guards clients that send requests regularly against delays by many clients that return after a long pause.
    Side effect: the latter wait slightly longer, but every `LONG_IDLE_INTERVAL`-th wake is one of theirs.
    """
    return idle_seconds < SHORT_IDLE_SECONDS


def usage_class(request_count: int) -> int:
    """Return the usage class, from 0 to `USAGE_CLASSES - 1`; lower classes are evicted first."""
    return min(request_count, USAGE_CLASSES - 1)


def idle_timeout(settings: ConnectionSettings, usage: int) -> float:
    """Return how long an idle connection of a usage class is kept open (seconds)."""
    return settings.idle_timeout if usage else min(settings.request_timeout, settings.idle_timeout)


def eviction_order(request_count: int, last_active: float, now: float) -> tuple[bool, int, float]:
    """Return the sort key of an idle connection for eviction, which starts with the smallest key.

    Connections that were active within `RECENT_BYTE_SECONDS` come last, since another request may be in
    transit. The others are ordered by usage class, and within a class the longest idle comes first.
    """
    return last_active > now - RECENT_BYTE_SECONDS, usage_class(request_count), last_active


def eviction_count(connections: int, max_connections: int) -> int:
    """Return the number of idle connections to evict.

    Guards the port against clients that open hundreds of connections and leave them open. Side effect: an
    ordinary idle client has to reconnect if the site has fewer descriptors than clients.
    """
    if connections < max_connections:
        return 0
    return max(max_connections // EVICTION_DIVISOR, 1)


def is_accept_paused(connections: int, max_connections: int) -> bool:
    """Return whether accepting is paused; new connections wait in the kernel's backlog."""
    return connections >= max_connections


def is_quiescent(idle: bool, last_active: float, now: float) -> bool:
    """Return whether no request is in transit on a connection.

    True only if the connection is idle, so that no request is open or partly received, and no request was
    received or answered within `QUIESCENT_SECONDS`. A connection that has just been accepted is not quiescent
    either: `last_active` is then the time of its acceptance, and its first request may still be unread.
    """
    return idle and now > last_active + QUIESCENT_SECONDS


class WakeBatchSizer:
    """Adapts the number of idle connections woken in one event-loop iteration to the iterations' length.

    Guards timers and the deadlines of open requests against long iterations when many idle connections become
    readable at the same time. While connections wait to be woken, the size grows by one after a short
    iteration and is halved after a long one (additive increase, multiplicative decrease). Side effect: the
    last of the waiting connections wake late; the router is notified of that delay and rejects requests with
    a probability that grows with it.

    Attributes:
        max_size: Upper bound of the size.
        size: Number of connections woken in the next iteration.
        previous_start: Time when the previous batch began (seconds); None if it left no connection waiting,
            so that the time until the next batch is not that of one iteration.
    """

    SHORT_ITERATION = 0.003  # duration in seconds below which the size grows
    LONG_ITERATION = 0.008  # duration in seconds above which the size is halved
    START_SIZE = 4

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self.size = min(self.START_SIZE, max_size)
        self.previous_start: float | None = None

    def next_size(self, now: float, waiting: int) -> int:
        """Return how many of the `waiting` connections to wake at the time `now` (seconds)."""
        if self.previous_start is not None:
            elapsed = now - self.previous_start
            if elapsed > self.LONG_ITERATION:
                self.size = max(self.size // 2, 1)
            elif elapsed < self.SHORT_ITERATION:
                self.size = min(self.size + 1, self.max_size)
        count = min(self.size, waiting)
        self.previous_start = now if waiting > count else None
        return count
