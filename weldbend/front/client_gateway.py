"""The front as client connections see it: handling of requests, time, backpressure, and bans."""

from collections.abc import Callable

from weldbend.clients.connection import ClientConnection
from weldbend.clients.listener import Listener
from weldbend.clients.request import ClientRequest, RequestSource
from weldbend.front.context import FrontContext
from weldbend.front.dispatcher import Dispatcher
from weldbend.front.process_pause import HEARTBEAT_INTERVAL, ProcessPauseDetector
from weldbend.routing.memory_budget import MemoryReservation, connection_memory
from weldbend.thrift.messages import Process

MAINTENANCE_INTERVAL = HEARTBEAT_INTERVAL  # seconds between two maintenance rounds of client connections
CATCH_UP_POLLS = 4  # after so many polls, all bytes that arrived during a process pause count as read
CONTINUATION_DELAY = 0.002  # seconds until a maintenance round that used up its budget continues


class ClientGateway:
    """Adapter between client connections and the dispatcher.

    Attributes:
        unsent_bytes: number of answer bytes buffered for slow readers.
        max_unsent_bytes: highest `unsent_bytes` so far.
        max_connections: highest number of client connections so far.
    """

    def __init__(self, context: FrontContext, dispatcher: Dispatcher, is_serving: Callable[[], bool]) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.is_serving = is_serving
        self.listener = Listener(self, context.site.max_clients, context.site.client_settings)
        context.memory.connection_memory = lambda: connection_memory(
            len(self.listener.clients), context.site.max_descriptors
        )
        self.pause_detector = ProcessPauseDetector(context.clock.now())
        self.unsent_bytes = 0
        self.max_unsent_bytes = 0
        self.max_connections = 0

    def start_maintenance(self) -> None:
        """Start the periodic checks of idle and silent connections."""
        self.pause_detector.last_heartbeat = self.now()
        self.context.timers.after(MAINTENANCE_INTERVAL, self._run_maintenance)

    def _run_maintenance(self) -> None:
        """Check a bounded number of connections; the rest follow after `CONTINUATION_DELAY`."""
        if self.pause_detector.record_heartbeat(self.now()):
            self._catch_up(CATCH_UP_POLLS)
        is_unfinished = self.listener.check_connections()
        self.context.timers.after(
            CONTINUATION_DELAY if is_unfinished else MAINTENANCE_INTERVAL, self._run_maintenance
        )

    def _catch_up(self, polls: int) -> None:
        """Let the reactor poll its sockets `polls` times, then record that it has caught up after a pause."""
        if polls:
            self.context.reactor.callLater(0, self._catch_up, polls - 1)
        else:
            self.pause_detector.mark_caught_up()

    def earliest_arrival(self, moment: float) -> float:
        """Return the earliest time at which bytes that are read now, at `moment`, can have arrived."""
        return self.pause_detector.earliest_arrival(moment)

    def handle_request(self, request: ClientRequest, call: Process) -> None:
        """Handle a completely received request."""
        self.dispatcher.admission.handle(request, call)

    def reject_discarded(self, request: ClientRequest) -> None:
        """Reject a request whose fields and body were discarded because memory was too short."""
        self.dispatcher.admission.reject_discarded(request)

    def reserve_call(self, holder: RequestSource, length: int) -> MemoryReservation | None:
        """Reserve memory for a call of `length` bytes that is being received; None if there is not enough."""
        return self.context.memory.reserve_call(holder, length)

    def cancel_request(self, request: ClientRequest) -> None:
        """Cancel a request whose client no longer waits for the answer."""
        self.dispatcher.admission.cancel(request)

    def log_fault(self, where: str) -> None:
        """Record the exception being handled."""
        self.context.counters.record_error(where)

    def watch_hangup(self, client: ClientConnection, is_unread: bool) -> None:
        """Watch for a client's hang-up while its socket is not read; stop if `is_unread` is false."""
        self.listener.watch_hangup(client, is_unread)

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after `delay` seconds."""
        self.context.timers.after(delay, call)

    def is_admitted(self, host: str) -> bool:
        """Return whether a client may connect; False if the fleet has banned its address."""
        fleet = self.context.fleet
        return not (fleet and fleet.is_banned(host))

    def report_ban(self, host: str) -> None:
        """Report to the fleet that a client at this address was banned for misbehaviour."""
        if self.context.fleet:
            self.context.fleet.report_ban(host)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.context.clock.now()

    def client_connected(self, client: ClientConnection) -> None:
        """Register a client that has connected."""
        self.listener.client_connected(client)
        self.max_connections = max(self.max_connections, self.listener.connection_count())

    def client_disconnected(self, client: ClientConnection) -> None:
        """Unregister a client that has disconnected."""
        self.listener.client_disconnected(client)

    def buffered_changed(self, change: int) -> None:
        """Update the bytes buffered for slow readers, and pause or resume reading from caches.

        Reading pauses above the limit, and resumes below half of it.
        """
        self.unsent_bytes += change
        self.max_unsent_bytes = max(self.max_unsent_bytes, self.unsent_bytes)
        pool = self.dispatcher.pool
        bound = self.context.site.max_unsent_bytes
        if self.unsent_bytes > bound and not pool.is_read_paused:
            pool.pause_reading(True)
        elif self.unsent_bytes < bound // 2 and pool.is_read_paused:
            pool.pause_reading(False)
