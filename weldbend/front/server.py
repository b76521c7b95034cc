"""Start and stop of one front: what runs, in which order it comes up, and how it ends.

It listens only when it can answer. After SIGTERM it goes on accepting, and ends when all that was
taken has its answer, not before clients have had time to notice.
"""

import gc
import resource
import signal
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from zope.interface import implementer

from weldbend import early_signals, invariants
from weldbend.clients.connection import Call, Client
from weldbend.clients.listener import Listener
from weldbend.event_bus.events import SequencedEvent
from weldbend.event_bus.reader import BusReader
from weldbend.front.clock import Clock
from weldbend.front.configuration import ConfigurationError, Site
from weldbend.front.dispatcher import Dispatcher
from weldbend.front.timers import Timers

LINGER = 0.7  # the least time from SIGTERM to the end: clients still come
LAST, LONGEST = 0.4, 3.0  # what is open is abandoned so long after the longest expiry from SIGTERM, of which
# so much counts: SIGKILL may come 0.3 s later
FIRST, SETTLE = 0.3, 0.02  # a start waits so long for the bus at most, and so long for what its answer holds
REPORT = 10.0  # seconds between two lines of counters
LOOK, AT_ONCE = 0.1, 0.002  # seconds between two looks at what clients leave undone, and where more is due
RESTART = (
    "name",
    "host",
    "port",
    "roles",
    "sockets",
    "clients",
    "terms",
    "fleet",
)  # only a restart changes it
COUNTERS = (
    "counts {counts}; cpu {cpu_ms} ms, {cpu_ms_a_download} a download; memory {memory_mb} MB at most; "
    "clients {clients} ({most_clients} at most), {parked} of them parked ({most_parked} at most), "
    "woken {woken} times, {wake_late_ms} ms late at most; caches {caches} ({most_caches} at most); "
    "answers waiting {answers_waiting_kb} kB at most; timers late {timers_late_ms} ms, "
    "turns {turns_ms} ms at most; bus lost {bus_lost} times; anomalies {anomalies}; violations {violations}"
)


def shared(front: "Front") -> Any:
    """A front's fleet, where its installation names one: loaded only then."""
    from weldbend.fleet.front_adapter import FleetAdapter

    site = front.site
    return FleetAdapter(front.loop, site.name, site.fleet, front.reactor, front.timers, site.offset)


class Front:
    def __init__(
        self,
        reactor: Any,
        site: Site,
        again: Callable[[], Site] | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.reactor, self.site = reactor, site
        self.again = again  # reads the configuration anew
        self.clock = clock or Clock()
        self.timers = Timers(reactor, self.clock)
        self.loop = Dispatcher(reactor, site, self.clock, self.timers)
        self.listener = Listener(self, site.clients, site.terms)
        self.shared = shared(self) if site.fleet else None
        self.bus = BusReader(reactor, self.timers, site.bus, site.offset, self.tell, self.caught_up)
        if self.shared:
            self.shared.hearings = lambda: self.bus.receive_count
        self.ready = self.opened_port = False
        self.told: float | None = None  # when SIGTERM came
        self.waiting = self.most_waiting = self.most_clients = self.most_caches = 0

    def run(self) -> None:
        """Start, and hear of SIGTERM; a front that cannot start says why and ends."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.reactor.callFromThread(self.terminate))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        try:
            self.start()
            if early_signals.hangups:  # the configuration may have been read before it was written anew
                self.reload()
        except CannotListenError as wrong:  # of the fleet's port
            logger.error("cannot listen on {}:{}: {}", wrong.interface, wrong.port, wrong.socketError)
            self.reactor.stop()

    def start(self) -> None:
        for numbered in self.site.known:
            self.loop.tell(numbered)
        self.loop.turn()
        self.bus.start()
        if self.shared:
            self.shared.start(self.site.known)
        gc.freeze()  # what is loaded by now stays: a full collection of it would stop every download
        gc.enable()
        self.timers.after(FIRST, self.guarded_open)

    def caught_up(self) -> None:
        """The bus answers: what it has told since the configuration was written is right behind."""
        if not self.opened_port:
            self.timers.after(SETTLE, self.guarded_open)

    def guarded_open(self) -> None:
        try:
            self.open()
        except CannotListenError as wrong:
            logger.error("cannot listen on {}:{}: {}", self.site.host, self.site.port, wrong.socketError)
            self.reactor.stop()

    def open(self) -> None:
        """Take downloads from now on.

        Guards against purges and drains told while this process was loading: they count as known by then, and
        a download taken before the bus is read would be answered with an older copy. Harm: where the bus is
        away, a start takes `FIRST` longer, and such a purge is still not known.
        """
        if self.opened_port or self.told is not None:
            return
        self.opened_port = True
        self.listener.listen(self.reactor, self.site.host, self.site.port)
        self.ready = True
        self.timers.after(REPORT, self.report)
        self.timers.after(LOOK, self.look)
        logger.info("front {} serves on {}:{}", self.site.name, self.site.host, self.site.port)

    def tell(self, numbered: SequencedEvent) -> None:
        """An event of the bus: to the decisions first, then to the other fronts, where there is a fleet."""
        self.loop.tell(numbered)
        if self.shared:
            self.shared.told(numbered)

    def terminate(self) -> None:
        """SIGTERM: say so to probes, take what still comes, and end when all of it is answered."""
        if self.told is None:
            self.told = self.clock.now()
            logger.info("told to stop; {} downloads open", len(self.loop.requests))
            self.timers.after(LINGER, self.end_if_done)
            self.timers.after(self.last(), self.loop.give_up_all)

    def last(self) -> float:
        """Seconds from SIGTERM to the moment in which what is still open is abandoned."""
        return min(max(kind.deadline_after for kind in self.site.settings.classes.values()), LONGEST) + LAST

    def reload(self) -> None:
        """SIGHUP: read the whole configuration anew, and go to the bus that it names.

        What is taken from then on goes by the new settings, what is open by those under which it was taken.
        Guards against a file that is half written, broken or gone: it is logged, and the old one stays. What
        this process is (RESTART) waits for a restart, and in a fleet all but the bus does.
        """
        if self.again is None:
            return
        try:
            site = self.again()
        except (ConfigurationError, OSError, UnicodeDecodeError) as wrong:
            logger.error("new configuration not taken, the old one stays: {}", wrong)
            return
        if self.shared and site.fleet:
            self.shared.reload(site.fleet)
        names = [field.name for field in fields(Site) if field.name not in ("bus", "known", "offset", "seed")]
        other = [name for name in names if getattr(site, name) != getattr(self.site, name)]
        waiting = [name for name in other if name in RESTART or (self.shared and name != "fleet")]
        logger.info(
            "new configuration, bus {}; only a restart will change: {}", site.bus, waiting or "nothing"
        )
        self.bus.move(site.bus)
        if not self.shared:
            bounds = replace(site.bounds, descriptors=self.site.bounds.descriptors)
            stays = {name: getattr(self.site, name) for name in (*RESTART, "known", "offset", "seed")}
            self.site = replace(site, bounds=bounds, **stays)
            self.loop.settle(self.site)

    def end_if_done(self) -> None:
        """Looked at again and again, since what is done can come undone until the last moment.

        From here on nobody new is accepted: usual clients went elsewhere. Guards against closing a connection
        on which a request is on its way, and against clients that go on connecting and say nothing.
        Harm: none known; a client that still connects is refused, as it will be a moment later.
        """
        assert self.told is not None
        now = self.clock.now()
        stopped = self.listener.stop()
        late = now > self.told + self.last() + 0.1
        if late or not (self.loop.requests or self.listener.count()):
            self.report()
            logger.info("ends, {} downloads open", len(self.loop.requests))
            self.bus.stop()
            if self.shared:
                self.shared.stop()
            self.reactor.stop()
            return
        if stopped and not self.loop.requests and self.listener.quiet():
            self.listener.close_some()
        self.timers.after(AT_ONCE if self.listener.parked() else 0.02, self.end_if_done)

    def report(self) -> None:
        """One line of counters: what was done, what did not hold, what it took."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        counts, caches, lot = self.loop.counts, sum(1 for _ in self.loop.pool.all()), self.listener.lot
        self.most_caches = max(self.most_caches, caches)
        cpu = (used.ru_utime + used.ru_stime) * 1e3
        fields = {
            "counts": dict(counts),
            "cpu_ms": round(cpu),
            "cpu_ms_a_download": round(cpu / max(counts["downloads"], 1), 2),
            "memory_mb": round(used.ru_maxrss / 1024),
            "clients": self.listener.count(),
            "most_clients": self.most_clients,
            "parked": self.listener.parked(),
            "most_parked": lot.peak_size if lot else 0,
            "woken": lot.wake_count if lot else 0,
            "wake_late_ms": round(lot.max_wake_delay * 1e3, 1) if lot else 0.0,
            "caches": caches,
            "most_caches": self.most_caches,
            "answers_waiting_kb": self.most_waiting // 1000,
            "timers_late_ms": round(self.timers.latest * 1e3, 1),
            "turns_ms": round(self.loop.longest * 1e3, 1),
            "bus_lost": self.bus.loss_count,
            "anomalies": dict(+invariants.anomalies),
            "violations": dict(invariants.violations),
        }
        logger.bind(**fields).info(COUNTERS.format(**fields))
        self.loop.shown = 0
        if self.told is None:
            self.timers.after(REPORT, self.report)

    # What client connections ask of the front.

    def take(self, call: Call) -> None:
        self.loop.take(call)

    def leave(self, call: Call) -> None:
        self.loop.leave(call)

    def look(self) -> None:
        """Bounded work at a time: what is left goes on in a moment, after what is busy."""
        self.timers.after(AT_ONCE if self.listener.look() else LOOK, self.look)

    def fault(self, at: str) -> None:
        self.loop.show(at)

    def heed(self, client: Client, unread: bool) -> None:
        self.listener.heed(client, unread)

    def later(self, delay: float, call: Callable[[], None]) -> None:
        self.timers.after(delay, call)

    def welcome(self, host: str) -> bool:
        """Whether a client may connect: the fleet may have cast it out."""
        return not (self.shared and self.shared.bars(host))

    def cast_out(self, host: str) -> None:
        if self.shared:
            self.shared.casts(host)

    def now(self) -> float:
        return self.clock.now()

    def serving(self) -> bool:
        return self.ready and self.told is None

    def opened(self, client: Client) -> None:
        self.listener.opened(client)
        self.most_clients = max(self.most_clients, self.listener.count())

    def closed(self, client: Client) -> None:
        self.listener.closed(client)

    def held(self, change: int) -> None:
        """Answers wait for slow readers: beyond the bound, caches are read no further."""
        self.waiting += change
        self.most_waiting = max(self.most_waiting, self.waiting)
        resting = self.loop.pool.resting
        if self.waiting > self.site.held and not resting:
            self.loop.pool.rest(True)
        elif self.waiting < self.site.held // 2 and resting:
            self.loop.pool.rest(False)


@implementer(ILogObserver)
class TwistedLogObserver:
    """Faults that Twisted caught go to the same log, and are counted."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def __call__(self, event: LogEvent) -> None:
        if event["log_level"] in (LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            self.front.loop.show(formatEvent(event), failure.getTraceback() if failure else " ")


def serve(site: Site, again: Callable[[], Site]) -> bool:
    """Run one front in this process until it is told to end; false if it could not start."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    least = site.sockets if most == resource.RLIM_INFINITY else min(site.sockets, most)
    resource.setrlimit(resource.RLIMIT_NOFILE, (least, most))
    from twisted.internet import reactor  # installs the reactor: only a process that serves wants one

    front = Front(reactor, site, again)
    globalLogBeginner.beginLoggingTo(
        [TwistedLogObserver(front)], redirectStandardIO=False, discardBuffer=True
    )
    running: Any = reactor
    running.callWhenRunning(front.run)
    running.run()
    return front.ready or front.told is not None
