"""What client connections ask of the front: admission, time, backpressure, and bans by the fleet."""

from collections.abc import Callable

from weldbend.clients.connection import Call, Client
from weldbend.clients.listener import Listener
from weldbend.front.context import FrontContext
from weldbend.front.dispatcher import Dispatcher

UPKEEP_INTERVAL = 0.1  # seconds between two rounds of upkeep of client connections
UPKEEP_CONTINUATION = 0.002  # seconds until a round goes on that was not finished


class ClientGateway:
    """Joins client connections with the dispatcher.

    Attributes:
        unsent_bytes: of answers that slow readers have not read yet.
        max_unsent_bytes: the most of them so far.
        max_connections: client connections, at most so far.
    """

    def __init__(self, context: FrontContext, dispatcher: Dispatcher, is_serving: Callable[[], bool]) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.is_serving = is_serving
        self.listener = Listener(self, context.site.max_clients, context.site.client_settings)
        self.unsent_bytes = 0
        self.max_unsent_bytes = 0
        self.max_connections = 0

    def start_upkeep(self) -> None:
        """Look after idle and silent connections from now on."""
        self.context.timers.after(UPKEEP_INTERVAL, self._upkeep)

    def _upkeep(self) -> None:
        """Do a bounded piece of upkeep: what is left goes on shortly, after what else is due."""
        is_unfinished = self.listener.look()
        self.context.timers.after(UPKEEP_CONTINUATION if is_unfinished else UPKEEP_INTERVAL, self._upkeep)

    def take(self, call: Call) -> None:
        """Handle a request that has come whole."""
        self.dispatcher.admission.handle(call)

    def leave(self, call: Call) -> None:
        """Cancel a request for which nobody waits any more."""
        self.dispatcher.admission.cancel(call)

    def fault(self, at: str) -> None:
        """Record the error being handled."""
        self.context.counters.record_error(at)

    def heed(self, client: Client, unread: bool) -> None:
        """Note whether a client does not read its answers."""
        self.listener.heed(client, unread)

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Call back after `delay` seconds."""
        self.context.timers.after(delay, call)

    def welcome(self, host: str) -> bool:
        """Return whether a client may connect: the fleet may have banned it."""
        fleet = self.context.fleet
        return not (fleet and fleet.is_banned(host))

    def cast_out(self, host: str) -> None:
        """Report to the fleet a client that broke the protocol."""
        if self.context.fleet:
            self.context.fleet.report_protocol_violation(host)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.context.clock.now()

    def serving(self) -> bool:
        """Return what health checks by clients are answered."""
        return self.is_serving()

    def opened(self, client: Client) -> None:
        """Count a client that has connected."""
        self.listener.opened(client)
        self.max_connections = max(self.max_connections, self.listener.count())

    def closed(self, client: Client) -> None:
        """Forget a client that has disconnected."""
        self.listener.closed(client)

    def held(self, change: int) -> None:
        """Count bytes that wait for slow readers: beyond the bound, caches are read no further."""
        self.unsent_bytes += change
        self.max_unsent_bytes = max(self.max_unsent_bytes, self.unsent_bytes)
        pool, bound = self.dispatcher.pool, self.context.site.max_unsent_bytes
        if self.unsent_bytes > bound and not pool.resting:
            pool.rest(True)
        elif self.unsent_bytes < bound // 2 and pool.resting:
            pool.rest(False)
