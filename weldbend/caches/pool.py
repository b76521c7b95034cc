"""The pool of connections to all listed caches, which sends attempts and health checks."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from weldbend.cache_protocol import commands
from weldbend.cache_protocol.answers import Answer
from weldbend.caches.attempt import Attempt, AttemptLoss
from weldbend.caches.connection import CacheConnection
from weldbend.caches.connection_limiter import ConnectionLimiter
from weldbend.caches.endpoint_connections import EndpointConnections
from weldbend.caches.interfaces import Reactor, Timers
from weldbend.caches.limits import CacheLimits


@dataclass(eq=False)
class CachePool:
    """The connections to each listed cache.

    Attributes:
        reactor: Reactor that makes connections and schedules calls.
        timers: Clock and timers of the front.
        limits: Limits of the site and the machine; may be replaced at any time.
        on_health_answer: Function called with the cache's number and each answer that belongs to no attempt;
            returns whether it answers a health check.
        on_connected: Function called with the cache's number when a connection to it is established.
        endpoints: Connections to each cache, by the cache's number.
        waiting_endpoints: Caches for which attempts wait for a connection.
        limiter: Limit on the number of connections to all caches.
        is_read_paused: Whether reading is paused on all connections, as too many answers are buffered.
    """

    reactor: Reactor
    timers: Timers
    limits: CacheLimits
    on_health_answer: Callable[[int, Answer], bool]
    on_connected: Callable[[int], None]
    endpoints: dict[int, EndpointConnections] = field(default_factory=dict, init=False)
    waiting_endpoints: dict[EndpointConnections, None] = field(default_factory=dict, init=False)
    limiter: ConnectionLimiter = field(init=False)
    is_read_paused: bool = field(default=False, init=False)

    def __post_init__(self) -> None:
        self.limiter = ConnectionLimiter(self)

    # Changes of the endpoint list, and purges of objects.

    def update_endpoint(self, cache: int, host: str, port: int, started_at: float, is_usable: bool) -> None:
        """Apply the current entry of the endpoint list for a cache.

        Args:
            cache: Number of the cache.
            host: Address of the cache.
            port: Port of the cache.
            started_at: Earliest possible start time of the cache (seconds of the front's clock; minus
                infinity if unknown). Older connections are aborted.
            is_usable: Whether attempts may be sent to the cache; if not, those that wait are cancelled.
        """
        endpoint = self.endpoints.get(cache)
        if endpoint and (endpoint.host, endpoint.port) != (host, port):
            self.endpoints.pop(cache).close(is_moved=True)
            endpoint = None
        if endpoint:
            endpoint.abort_older(started_at)
        else:
            self.endpoints[cache] = EndpointConnections(self, cache, host, port)
        if not is_usable:
            self.cancel_concerning({cache})

    def remove_endpoint(self, cache: int) -> None:
        """Send nothing more to a cache that has left the list; attempts in flight there may finish."""
        self.cancel_concerning({cache})
        if cache in self.endpoints:
            self.endpoints.pop(cache).close(is_moved=False)

    def cancel_concerning(self, caches: set[int]) -> None:
        """Cancel waiting attempts that are addressed to one of these caches, or may be filled from it."""
        self._cancel_waiting(lambda attempt: attempt.cache in caches or attempt.source in caches)

    def cancel_purged(self, key: str | None, group: int) -> None:
        """Cancel waiting attempts for purged objects.

        Args:
            key: Key of the purged object; empty or None if a group was purged.
            group: Number of the purged group; used only without a key.
        """
        self._cancel_waiting(lambda attempt: attempt.key == key if key else attempt.group == group)

    def _cancel_waiting(self, is_superseded: Callable[[Attempt], bool]) -> None:
        for endpoint in list(self.waiting_endpoints):
            endpoint.cancel_waiting(is_superseded)

    def add_waiting_endpoint(self, endpoint: EndpointConnections) -> None:
        """Add a cache for which attempts wait for a connection."""
        self.waiting_endpoints[endpoint] = None

    def remove_waiting_endpoint(self, endpoint: EndpointConnections) -> None:
        """Remove a cache for which no attempt waits any more."""
        self.waiting_endpoints.pop(endpoint, None)
        self.limiter.withdraw(endpoint)

    def stranded_attempts(self) -> dict[int, int]:
        """Return the number of attempts that wait in vain, by cache; see `has_stranded_attempts`."""
        waiting = self.waiting_endpoints
        return {e.cache: len(e.waiting) for e in waiting if e.has_stranded_attempts()}

    # Attempts and health checks.

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its cache, or queue it until a connection is available."""
        endpoint = self.endpoints.get(attempt.cache)
        if endpoint:
            endpoint.send(attempt)
        else:  # the cache left the list during this iteration of the event loop
            attempt.finish(AttemptLoss.SUPERSEDED)

    def cancel(self, attempt: Attempt) -> bool:
        """Cancel an attempt without reporting an outcome.

        Returns:
            Whether it counts as sent: some byte of it had been sent, or it was already over.
        """
        if attempt.is_over:
            return True
        attempt.is_over = True
        endpoint = self.endpoints.get(attempt.cache)
        if attempt.connection and endpoint:
            endpoint.cancel(attempt, attempt.connection)
        elif attempt.connection:
            attempt.connection.cancel(attempt)
        elif endpoint:
            endpoint.withdraw(attempt)
        return attempt.connection is not None

    def send_health_check(self, cache: int, tag: str, wants_load: bool) -> bool:
        """Send a health check over an established connection.

        Args:
            cache: Number of the cache.
            tag: Name that the answer will carry.
            wants_load: Whether to ask for a load report as well.

        Returns:
            Whether it was sent; False if no connection to the cache is available.
        """
        endpoint = self.endpoints.get(cache)
        command = (commands.top if wants_load else commands.ping)(tag)
        return endpoint is not None and endpoint.send_health_check(tag, command)

    # All connections.

    def all_connections(self) -> Iterable[CacheConnection]:
        """Return all established connections, including those to caches that have left the list."""
        return self.limiter.open

    def connection_count(self) -> int:
        """Return the number of connections, including pending connects."""
        return self.limiter.count()

    def pause_reading(self, is_paused: bool) -> None:
        """Stop or resume reading on all connections; it is paused while too many answers are buffered."""
        if is_paused is not self.is_read_paused:
            self.is_read_paused = is_paused
            for connection in list(self.all_connections()):
                connection.pause_reading(is_paused)
