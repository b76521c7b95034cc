"""Start and stop of one front: what runs, in which order it comes up, and how it ends.

It listens only when it can answer. After SIGTERM it goes on accepting, and ends when all accepted requests
have their answers, not before clients have had time to notice.
"""

import gc
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
from weldbend.front.timers import Timers
from weldbend.front.twisted_log import TwistedLogObserver

if TYPE_CHECKING:
    from weldbend.fleet.front_adapter import FleetAdapter

# All in seconds.
MIN_SHUTDOWN_TIME = 0.7  # from SIGTERM to the end at least: clients still come
MAX_DEADLINE = 3.0  # the part of the longest deadline that a shutdown waits for: SIGKILL comes soon after
ABORT_DELAY = 0.4  # after that deadline what is still open is aborted, and what still comes is rejected
FORCED_EXIT_DELAY = 0.2  # after that the front ends in any case
SHUTDOWN_POLL = 0.02  # between two checks whether all is answered
SHUTDOWN_POLL_IDLE = 0.002  # the same while idle connections are closed, a batch each time
MAX_BUS_WAIT = 0.3  # that a start waits for the bus
BUS_CATCH_UP = 0.02  # that a start waits for the events behind the bus's first answer
COUNTERS_INTERVAL = 10.0  # between two lines of counters


class Front:
    """One front.

    Attributes:
        read_new_site: reads the configuration anew for a reload; None where there is nothing to read.
        fleet_adapter: None where the installation names no fleet.
        is_open: whether the port is open.
        stop_requested: when SIGTERM came; None before.
        is_aborting: whether SIGKILL is near, and nothing new is begun.
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
        self.context = FrontContext(reactor, site, self.clock, self.timers, FrontCounters())
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
        self.is_aborting = False

    @property
    def site(self) -> Site:
        """The configuration in force."""
        return self.context.site

    def is_serving(self) -> bool:
        """Return whether new requests are welcome."""
        return self.is_open and self.stop_requested is None

    def _make_fleet_adapter(self) -> "FleetAdapter | None":
        """Return the adapter to the fleet, which is loaded only where the installation names one."""
        site = self.site
        if not site.fleet:
            return None
        from weldbend.fleet.front_adapter import FleetAdapter
        from weldbend.fleet.runtime import Runtime

        runtime = Runtime(self.context.reactor, self.timers, self.context.clock.random_bytes)
        return FleetAdapter(self.dispatcher, site.name, site.fleet, runtime, site.bus_offset)

    # Start.

    def run(self) -> None:
        """Install the signal handlers and start; a front that cannot start logs why and ends."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.reactor.callFromThread(self.terminate))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        try:
            self.start()
            if early_signals.hangups:  # the configuration may have been read before it was written anew
                self.reload()
        except CannotListenError as error:  # of the fleet's port
            self._stop_after_listen_error(error.interface, error.port, error)

    def start(self) -> None:
        """Apply the known events and connect to bus and fleet; the port opens shortly after.

        Raises:
            CannotListenError: where the fleet's port is taken.
        """
        self.context.timestamps.set_unix_offset(self.clock.unix_offset())
        known = self.site.known_events
        for sequenced, receipt in zip(known, receipts_of_known_events(known, self.clock.now()), strict=True):
            self.dispatcher.endpoints.handle(sequenced, receipt)
        self.dispatcher.run_iteration()
        self.bus.start()
        if self.fleet_adapter:
            self.fleet_adapter.start(self.site.known_events)
        gc.freeze()  # what is loaded by now stays: a full collection of it would stop every request
        gc.enable()
        self.timers.after(MAX_BUS_WAIT, self._open_or_stop)

    def _bus_connected(self) -> None:
        """Open the port soon: events since the configuration was written come right behind the answer."""
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
        """Accept requests from now on.

        Guards against purges and drains issued while this process was loading: they count as known by then,
        and a request accepted before the bus is read would be answered with an older copy. Harm: where the
        bus is away, a start takes `MAX_BUS_WAIT` longer, and such a purge is still not known.

        Raises:
            CannotListenError: where the port is taken.
        """
        if self._has_tried_to_open or self.stop_requested is not None:
            return
        self._has_tried_to_open = True
        self.listener.listen(self.context.reactor, self.site.host, self.site.port)
        self.is_open = True
        self.timers.after(COUNTERS_INTERVAL, self._log_counters)
        self.gateway.start_maintenance()
        logger.info("front {} serves on {}:{}", self.site.name, self.site.host, self.site.port)

    # While it runs.

    def _handle_bus_event(self, sequenced: SequencedEvent) -> None:
        """Apply an event of the bus, then replicate it to the other fronts of a fleet."""
        self.dispatcher.endpoints.handle(sequenced, self.bus.receipt())
        if self.fleet_adapter:
            self.fleet_adapter.publish_bus_event(sequenced)

    def _log_counters(self) -> None:
        self.counters_log.write()
        if self.stop_requested is None:
            self.timers.after(COUNTERS_INTERVAL, self._log_counters)

    def reload(self) -> None:
        """SIGHUP: read the whole configuration anew, and move to the bus that it names.

        Requests accepted from then on go by the new settings, open ones by those under which they were
        accepted. Guards against a file that is half written, malformed or gone: that is logged, and the old
        configuration stays. What `reload` names waits for a restart, and in a fleet all but the bus does.
        """
        if self.read_new_site is None:
            return
        try:
            site = self.read_new_site()
        except (ConfigurationError, OSError, UnicodeDecodeError) as error:
            logger.error("new configuration rejected, the old one stays: {}", error)
            return
        has_fleet = self.fleet_adapter is not None
        if self.fleet_adapter and site.fleet:
            self.fleet_adapter.reload(site.fleet)
        pending = reload.pending_restart(self.site, site, has_fleet)
        logger.info(
            "new configuration, bus {}; only a restart will change: {}",
            site.bus_address,
            pending or "nothing",
        )
        self.bus.move(site.bus_address)
        if not has_fleet:
            self.dispatcher.apply_site(reload.merge_sites(self.site, site))

    # Stop.

    def terminate(self) -> None:
        """SIGTERM: answer health checks so, accept what still comes, and end when all is answered."""
        if self.stop_requested is None:
            self.stop_requested = self.clock.now()
            logger.info("shutdown requested; {} requests open", len(self.dispatcher.requests))
            self.timers.after(min(MIN_SHUTDOWN_TIME, self._seconds_until_abort()), self._end_if_done)
            self.timers.after(self._seconds_until_abort(), self._abort_all)

    def _seconds_until_abort(self) -> float:
        """Return the seconds from SIGTERM to the moment in which what is still open is aborted."""
        classes = self.site.settings.classes.values()
        longest = max(request_class.deadline_after for request_class in classes)
        return min(longest, MAX_DEADLINE) + ABORT_DELAY

    def _abort_all(self) -> None:
        """Answer what is open, and at once what still comes; the next checks close every connection.

        Guards against clients that send until SIGKILL: a front that waits for a quiet moment among them ends
        with requests open. Harm: these requests are rejected although there was time for some of them.
        """
        self.is_aborting = True
        self.dispatcher.admission.is_rejecting = True
        self.dispatcher.attempts.abort_all()

    def _end_if_done(self) -> None:
        """End when all is answered; checked again and again, since new requests come until the last moment.

        From here on no new connection is accepted: usual clients went elsewhere. Guards against closing a
        connection on which a request is on its way, and against clients that go on connecting and send
        nothing. Harm: none known; a client that still connects is refused, as it will be a moment later.
        """
        assert self.stop_requested is not None
        now = self.clock.now()
        requests = self.dispatcher.requests
        has_stopped_accepting = self.listener.stop()
        is_late = now > self.stop_requested + self._seconds_until_abort() + FORCED_EXIT_DELAY
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
        logger.info("ends, {} requests open", len(self.dispatcher.requests))
        self.bus.stop()
        if self.fleet_adapter:
            self.fleet_adapter.stop()
        self.reactor.stop()


def serve(site: Site, read_new_site: Callable[[], Site]) -> bool:
    """Run one front in this process until it is told to end; return False if it could not start."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    is_unlimited = hard_limit == resource.RLIM_INFINITY
    soft_limit = site.max_descriptors if is_unlimited else min(site.max_descriptors, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))
    # Here, since loading them installs a reactor: only a process that serves wants one.
    from twisted.internet.main import installReactor

    from weldbend.front.patient_reactor import RetryingEPollReactor

    installReactor(RetryingEPollReactor())  # type: ignore[no-untyped-call]  # Twisted's
    from twisted.internet import reactor

    front = Front(reactor, site, read_new_site)
    observer: Any = TwistedLogObserver(
        front.context.counters
    )  # zope declares the interface, not a base class
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    running: Any = reactor
    running.callWhenRunning(front.run)
    running.run()
    return front.is_open or front.stop_requested is not None
