"""The connections to all listed caches, and the attempts and health checks that go over them."""

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
        reactor: What connects, and calls later.
        timers: The front's time and timers.
        limits: What the site allows; may be replaced at any time.
        on_health_answer: Called with the cache and the answer for each that belongs to no attempt; returns
            whether it is one to a health check.
        on_connected: Called with each cache to which a connection has come up.
        endpoints: The connections of each cache, by its number.
        waiting_endpoints: The caches for which attempts wait for a connection.
        limiter: The bound on connections to all caches.
        is_read_paused: Whether no connection is read, since what is read has nowhere to go.
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

    # Changes of the endpoint list, and purges.

    def update_endpoint(self, cache: int, host: str, port: int, started_at: float, is_usable: bool) -> None:
        """Apply the endpoint list's present entry for a cache.

        Args:
            cache: Its number.
            host: Its address.
            port: Its port.
            started_at: Since when it runs (seconds of the front's clock; minus infinity where unknown).
            is_usable: Whether attempts may go there; else those that wait are cancelled.
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
        """Send nothing more to a cache that has left the list; what is in flight there may end."""
        self.cancel_concerning({cache})
        if cache in self.endpoints:
            self.endpoints.pop(cache).close(is_moved=False)

    def cancel_concerning(self, caches: set[int]) -> None:
        """Cancel attempts that wait and go to one of these caches, or let another fill from it."""
        self._cancel_waiting(lambda attempt: attempt.cache in caches or attempt.source in caches)

    def cancel_purged(self, key: str | None, group: int) -> None:
        """Cancel attempts that wait for a purged object: by its key, or without one by its group."""
        self._cancel_waiting(lambda attempt: attempt.key == key if key else attempt.group == group)

    def _cancel_waiting(self, is_superseded: Callable[[Attempt], bool]) -> None:
        for endpoint in list(self.waiting_endpoints):
            endpoint.cancel_waiting(is_superseded)

    def add_waiting_endpoint(self, endpoint: EndpointConnections) -> None:
        """Note a cache for which attempts wait for a connection."""
        self.waiting_endpoints[endpoint] = None

    def remove_waiting_endpoint(self, endpoint: EndpointConnections) -> None:
        """Forget a cache for which no attempt waits any more."""
        self.waiting_endpoints.pop(endpoint, None)
        self.limiter.withdraw(endpoint)

    # Attempts and health checks.

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its cache, or have it wait for a connection."""
        endpoint = self.endpoints.get(attempt.cache)
        if endpoint:
            endpoint.send(attempt)
        else:  # its cache left the list in this very iteration
            attempt.finish(AttemptLoss.SUPERSEDED)

    def cancel(self, attempt: Attempt) -> bool:
        """Give an attempt up; its end is not reported. Whether any byte of it had gone out."""
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
        """Send a health check over a connection that is up; false where there is none.

        Args:
            cache: The cache's number.
            tag: The name that the answer will carry.
            wants_load: Whether to ask for a load report as well.
        """
        endpoint = self.endpoints.get(cache)
        command = (commands.top if wants_load else commands.ping)(tag)
        return endpoint is not None and endpoint.send_health_check(tag, command)

    # All connections.

    def all_connections(self) -> Iterable[CacheConnection]:
        """Each connection that is up, those to caches that have left the list too."""
        return self.limiter.open

    def connection_count(self) -> int:
        """How many connections there are, those that are being made too."""
        return self.limiter.count()

    def pause_reading(self, is_paused: bool) -> None:
        """Stop or resume reading all: what is read must have somewhere to go."""
        if is_paused is not self.is_read_paused:
            self.is_read_paused = is_paused
            for connection in list(self.all_connections()):
                connection.pause_reading(is_paused)
