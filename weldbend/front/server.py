"""Startup, reload and shutdown of one front.

A front opens its port only when it can answer requests. After SIGTERM, its clients' health checks fail, but
it still accepts requests. It exits when all accepted requests have been answered and all client connections
have ended, but not before clients have had time to notice the shutdown. If requests or connections remain
after a time limit, it exits nevertheless.
"""

import gc
import math
import resource
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from weldbend import early_signals
from weldbend.event_bus.events import SequencedEvent
from weldbend.event_bus.reader import BusReader
from weldbend.event_bus.remote_timestamps import receipts_of_known_events
from weldbend.front import reload
from weldbend.front.client_gateway import ClientGateway
from weldbend.front.clock import Clock
from weldbend.front.configuration import ConfigurationError, Site
from weldbend.front.context import FrontContext, Reactor
from weldbend.front.counters import FrontCounters
from weldbend.front.counters_log import CountersLog
from weldbend.front.dispatcher import Dispatcher
from weldbend.front.resident_memory import resident_memory
from weldbend.front.timers import Timers
from weldbend.front.twisted_log import TwistedLogObserver
from weldbend.routing.memory_budget import MemoryBudget, max_request_memory

if TYPE_CHECKING:
    from weldbend.fleet.front_adapter import FleetAdapter

# All in seconds.
MIN_SHUTDOWN_TIME = 0.7  # minimum time from SIGTERM to the exit; clients still send requests at first
MAX_DEADLINE = 3.0  # longest request deadline that a shutdown waits for, since SIGKILL follows soon after
ABORT_DELAY = 0.4  # from that longest deadline until open requests are aborted and new ones rejected
FORCED_EXIT_DELAY = 0.2  # from the abort until the front exits in any case
SHUTDOWN_POLL = 0.02  # between two checks whether all requests have been answered
SHUTDOWN_POLL_IDLE = 0.002  # between such checks while the idle pool is not empty; it is closed in batches
MAX_BUS_WAIT = 0.3  # maximum wait for the bus at startup
BUS_CATCH_UP = 0.02  # wait for the events that follow the bus's first response at startup
COUNTERS_INTERVAL = 10.0  # between two counters lines


class Front:
    """A front, from its startup to its shutdown.

    Attributes:
        read_new_site: function that reads both files again for a reload, the configuration (JSON) and the
            installation file (settings of this installation, optional); None without reloads.
        fleet_adapter: adapter to the fleet; None if the installation file configures no fleet.
        is_open: whether the listening port is open.
        stop_requested: time of SIGTERM; None before it.
        abort_at: time at which open requests are aborted; infinity before SIGTERM.
        is_aborting: whether open requests were aborted and new ones are rejected, since SIGKILL is imminent.
    """

    def __init__(
        self,
        reactor: Reactor,
        site: Site,
        read_new_site: Callable[[], Site] | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.reactor = reactor
        self.read_new_site = read_new_site
        self.clock = clock or Clock()
        self.timers = Timers(reactor, self.clock)
        memory = MemoryBudget(max_request_memory(site.memory_limit))
        self.context = FrontContext(reactor, site, self.clock, self.timers, FrontCounters(), memory)
        self.dispatcher = Dispatcher(self.context)
        self.gateway = ClientGateway(self.context, self.dispatcher, self.is_serving)
        self.listener = self.gateway.listener
        self.fleet_adapter = self._make_fleet_adapter()
        self.bus = BusReader(
            self.context.reactor,
            self.timers,
            site.bus_address,
            site.bus_offset,
            self._handle_bus_event,
            self._bus_connected,
        )
        if self.fleet_adapter:
            self.fleet_adapter.hold.bus_message_count = lambda: self.bus.receive_count
        self.counters_log = CountersLog(self.context, self.dispatcher, self.gateway, self.bus)
        self.is_open = False
        self._has_tried_to_open = False
        self.stop_requested: float | None = None
        self.abort_at = math.inf
        self.is_aborting = False

    @property
    def site(self) -> Site:
        """The current configuration."""
        return self.context.site

    def is_serving(self) -> bool:
        """Return whether the front is open and not shutting down."""
        return self.is_open and self.stop_requested is None

    def _make_fleet_adapter(self) -> "FleetAdapter | None":
        """Return the adapter to the fleet; its modules are loaded only if a fleet is configured."""
        site = self.site
        if not site.fleet:
            return None
        from weldbend.fleet.front_adapter import FleetAdapter
        from weldbend.fleet.runtime import Runtime

        runtime = Runtime(self.context.reactor, self.timers, self.context.clock.random_bytes)
        return FleetAdapter(self.dispatcher, site.name, site.fleet, runtime, site.bus_offset)

    # Startup.

    def run(self) -> None:
        """Install the signal handlers and start; if that fails, log the error and exit."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.reactor.callFromThread(self.terminate))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        try:
            self.start()
            self._measure_memory()
            if early_signals.hangups:  # the configuration may have been rewritten since it was read
                self.reload()
        except CannotListenError as error:  # raised for the fleet's port
            self._stop_after_listen_error(error.interface, error.port, error)

    def start(self) -> None:
        """Apply the bus events that the configuration contains, and connect to the bus and the fleet.

        The port opens after the bus has responded, or after `MAX_BUS_WAIT` at the latest.

        Raises:
            CannotListenError: the fleet's port is in use.
        """
        self.context.timestamps.set_unix_offset(self.clock.unix_offset())
        known = self.site.known_events
        for sequenced, receipt in zip(known, receipts_of_known_events(known, self.clock.now()), strict=True):
            self.dispatcher.endpoints.handle(sequenced, receipt)
        self.dispatcher.run_iteration()
        self.bus.start()
        if self.fleet_adapter:
            self.fleet_adapter.start(self.site.known_events)
        gc.freeze()  # a full collection of the objects loaded so far would delay all requests
        gc.enable()
        self.timers.after(MAX_BUS_WAIT, self._open_or_stop)

    def _measure_memory(self) -> None:
        """Adapt the memory for requests to what the process takes, which depends on the kind of machine."""
        self.context.process_memory = resident_memory()
        self.context.update_memory_limit()

    def _bus_connected(self) -> None:
        """Open the port after `BUS_CATCH_UP`.

        The bus sends the events published since the configuration was written right after its response, so
        they are received in that time.
        """
        if not self._has_tried_to_open:
            self.timers.after(BUS_CATCH_UP, self._open_or_stop)

    def _open_or_stop(self) -> None:
        try:
            self.open()
        except CannotListenError as error:
            self._stop_after_listen_error(self.site.host, self.site.port, error)

    def _stop_after_listen_error(self, host: str, port: int, error: CannotListenError) -> None:
        logger.error("cannot listen on {}:{}: {}", host, port, error.socketError)
        self.reactor.stop()

    def open(self) -> None:
        """Open the port and accept requests.

        The port opens only after the wait for the bus. This guards against purges and drains issued while the
        process was loading: a front with an open port has to respect them, and a request accepted before the
        bus is read could be answered with a purged copy. The side effect is that, without a connection to the
        bus, startup takes `MAX_BUS_WAIT` longer and the port then opens although such a purge is unknown.

        Raises:
            CannotListenError: the port is in use.
        """
        if self._has_tried_to_open or self.stop_requested is not None:
            return
        self._has_tried_to_open = True
        self.listener.listen(self.context.reactor, self.site.host, self.site.port)
        self.is_open = True
        self.timers.after(COUNTERS_INTERVAL, self._log_counters)
        self.gateway.start_maintenance()
        logger.info("front {} serves on {}:{}", self.site.name, self.site.host, self.site.port)

    # Operation.

    def _handle_bus_event(self, sequenced: SequencedEvent) -> None:
        """Apply an event of the bus, then replicate it to the other fronts of the fleet."""
        self.dispatcher.endpoints.handle(sequenced, self.bus.receipt())
        if self.fleet_adapter:
            self.fleet_adapter.publish_bus_event(sequenced)

    def _log_counters(self) -> None:
        self.counters_log.write()
        if self.stop_requested is None:
            self.timers.after(COUNTERS_INTERVAL, self._log_counters)

    def reload(self) -> None:
        """Handle SIGHUP: read the whole configuration again and apply what a running front can change.

        If the bus address in it has changed, the front reconnects to the bus. New requests use the new
        settings; open requests keep the request class with which they were accepted. If a file is incomplete,
        malformed or missing, the error is logged and the current configuration stays. The settings in
        `reload.RESTART_ONLY_FIELDS` change only at a restart. In a fleet, the new fleet settings are passed
        to its adapter, the bus address changes, and everything else changes only at a restart.
        """
        if self.read_new_site is None:
            return
        try:
            site = self.read_new_site()
        except (ConfigurationError, OSError, UnicodeDecodeError) as error:
            logger.error("new configuration rejected, the current one stays in use: {}", error)
            return
        has_fleet = self.fleet_adapter is not None
        if self.fleet_adapter and site.fleet:
            self.fleet_adapter.reload(site.fleet)
        pending = reload.pending_restart(self.site, site, has_fleet)
        logger.info(
            "new configuration loaded, bus {}; a restart is needed to change: {}",
            site.bus_address,
            pending or "nothing",
        )
        self.bus.move(site.bus_address)
        if not has_fleet:
            self.dispatcher.apply_site(reload.merge_sites(self.site, site))

    # Shutdown.

    def terminate(self) -> None:
        """Handle SIGTERM: fail health checks, still accept requests, and exit when all are answered.

        Requests that are still open after the seconds of `_seconds_until_abort` are aborted. That time is set
        here for the whole shutdown: a reload may shorten the deadlines of new requests, but those that are
        open keep theirs.
        """
        if self.stop_requested is None:
            self.stop_requested = self.clock.now()
            logger.info("shutdown requested; {} requests open", len(self.dispatcher.requests))
            seconds = self._seconds_until_abort()
            self.abort_at = self.stop_requested + seconds
            self.timers.after(min(MIN_SHUTDOWN_TIME, seconds), self._end_if_done)
            self.timers.after(seconds, self._abort_all)

    def _seconds_until_abort(self) -> float:
        """Return the seconds from SIGTERM to the abort of open requests."""
        classes = self.site.settings.classes.values()
        longest = max(request_class.deadline_after for request_class in classes)
        return min(longest, MAX_DEADLINE) + ABORT_DELAY

    def _abort_all(self) -> None:
        """Abort open requests and reject new ones; the next calls of `_end_if_done` close the connections.

        This guards against clients that send requests until SIGKILL: a front that waited until no request is
        open would be killed while some are open. The side effect is that requests of the last moments are
        rejected although there was time to serve some of them.
        """
        self.is_aborting = True
        self.dispatcher.admission.is_rejecting = True
        self.dispatcher.attempts.abort_all()

    def _end_if_done(self) -> None:
        """Exit if no request or connection is left or it is too late to wait, otherwise check again later.

        It checks again because new requests may still arrive. Each call accepts the connections in the
        kernel's queue, and closes the port if there are none (`Listener.stop`); while accepting is paused,
        because the connection limit is reached or accept(2) fails, the port stays open. It is closed before
        the exit because most clients have moved to another front by then. This guards against closing a
        connection while a request is in transit, and against clients that go on connecting without sending
        anything. Closing the port before the exit has no known drawback: a client that still connects is
        refused when the port is closed instead of after the exit, which follows soon.
        """
        requests = self.dispatcher.requests
        has_stopped_accepting = self.listener.stop()
        is_late = self.clock.now() > self.abort_at + FORCED_EXIT_DELAY
        if is_late or (has_stopped_accepting and not (requests or self.listener.connection_count())):
            self._end()
            return
        if self.is_aborting or (has_stopped_accepting and not requests and self.listener.is_quiet()):
            self.listener.close_batch()
        self.timers.after(
            SHUTDOWN_POLL_IDLE if self.listener.idle_count() else SHUTDOWN_POLL, self._end_if_done
        )

    def _end(self) -> None:
        self._log_counters()
        logger.info("front exits with {} open requests", len(self.dispatcher.requests))
        self.bus.stop()
        if self.fleet_adapter:
            self.fleet_adapter.stop()
        self.reactor.stop()


def serve(site: Site, read_new_site: Callable[[], Site]) -> bool:
    """Run one front in this process until its shutdown; return False if it could not start."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    is_unlimited = hard_limit == resource.RLIM_INFINITY
    soft_limit = site.max_descriptors if is_unlimited else min(site.max_descriptors, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))
    # Imported here because these modules install a reactor, which only a serving process needs.
    from twisted.internet.main import installReactor

    from weldbend.front.retrying_reactor import RetryingEPollReactor

    installReactor(RetryingEPollReactor())  # type: ignore[no-untyped-call]  # no hints
    from twisted.internet import reactor

    front = Front(reactor, site, read_new_site)
    # Any, since zope declares the interface and not a base class.
    observer: Any = TwistedLogObserver(front.context.counters)
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    running: Any = reactor
    running.callWhenRunning(front.run)
    running.run()
    return front.is_open or front.stop_requested is not None
