"""The loop round the decisions: events in, one batch a turn of the reactor, and actions carried out.

Nothing is decided here. A download is closed when it is answered or left; the loop keeps it until
all its pulls have ended, since the decisions are told the end of each.
"""

import math
import traceback
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from loguru import logger

from weldbend.cache_protocol import commands
from weldbend.cache_protocol.answers import Answer
from weldbend.caches.connection import Attempt, Lost
from weldbend.caches.pool import Pool
from weldbend.clients.connection import Call
from weldbend.event_bus.endpoint_registry import EndpointRegistry
from weldbend.event_bus.events import EndpointListUpdate, EndpointRecord, Purge, SequencedEvent
from weldbend.front import request_codec
from weldbend.front.clock import Clock
from weldbend.front.configuration import Site
from weldbend.front.timers import Timer, Timers
from weldbend.invariants import anomalies, check_invariant
from weldbend.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from weldbend.routing.events import (
    AttemptResult,
    ConnectionOpened,
    EndpointsListed,
    EndpointState,
    Event,
    HealthCheckDone,
    ListScope,
    LoopLagMeasured,
    ObjectsPurged,
    PossibleExecution,
    RequestCancelled,
    RequestReceived,
    SettingsChanged,
    TimerFired,
)
from weldbend.routing.router import Router
from weldbend.routing.settings import Idempotency


@dataclass(eq=False, slots=True)
class Request:
    """One download that was taken, and its pulls."""

    name: str
    wish: request_codec.ParsedRequest
    call: Call
    until: float
    idempotency: Idempotency  # by the settings under which it was taken
    attempts: list[Attempt] = field(default_factory=list)
    handed: list[float] = field(default_factory=list)
    timers: list[Timer] = field(default_factory=list)
    closed: bool = False

    def out(self) -> bool:
        return any(not attempt.over for attempt in self.attempts)


class Peers(Protocol):
    """What a front's fleet is told of its downloads, and what it knows of them; the platform has none."""

    def asked(self, type: str, key: str, part: int, repeat: bool) -> int: ...
    def ran(self, type: str, once: str, repeat: bool) -> tuple[PossibleExecution, ...]: ...
    def sent(self, type: str, once: str, cache: int) -> None: ...
    def holds(self, now: float) -> bool: ...
    def over(self, type: str, client: str) -> bool: ...


PAUSE, LATE = 0.001, 0.005  # seconds between turns that are a pause, and of a turn that is told to be late
MOST_SHOWN = 10  # faults logged between two lines of counters


class Dispatcher:
    def __init__(self, reactor: Any, site: Site, clock: Clock, timers: Timers) -> None:
        self.reactor, self.site, self.clock, self.timers = reactor, site, clock, timers
        self.router = Router(site.seed, site.settings)
        self.names = EndpointRegistry(clock, site.roles, {}, {})
        self.pool = Pool(reactor, timers, site.bounds, self.probed, self.reached)
        self.requests: dict[str, Request] = {}
        self.open: dict[str, Request] = {}  # those not yet answered or left, by their clients' ids
        self.events: list[Event] = []
        self.done: list[Request] = []
        self.listed: set[int] = set()
        self.leaving: set[int] = set()  # no longer listed, but the decisions may still name them in this turn
        self.started: set[int] = set()  # caches of which the list tells a start: they may be cold
        self.turning = False
        self.handed: Event | None = None  # the event that the decisions are at
        self.serial = self.probes = self.shown = 0
        self.longest = 0.0  # seconds of the longest turn
        self.since = (
            self.rested
        ) = -math.inf  # when what this turn holds began to come, and the last turn's end
        self.asked: dict[str, tuple[int, float]] = {}
        self.peers: Peers | None = None
        self.counts: Counter[str] = Counter()

    # What clients bring.

    def take(self, call: Call) -> None:
        """A download whose last byte has come: hand it to the decisions, or turn it back."""
        try:
            self.admit(call)
        except Exception:
            self.show("a call")
            if not call.answered:
                call.abandon()

    def admit(self, call: Call) -> None:
        try:
            wish = request_codec.read_request(call.fields, call.body, self.site.settings.classes)
        except request_codec.InvalidRequestError as wrong:
            self.counts["turned back"] += 1
            call.turn_back(str(wrong))
            return
        if wish.name in self.open:
            self.counts["turned back"] += 1
            self.clash(call, self.open[wish.name].call)
            return
        if len(self.requests) >= self.site.most_open:
            call.throttle(self.site.settings.max_retry_after)
            return
        self.serial += 1
        call.serial = name = f"{self.serial:x}"
        until = self.clock.now() - call.waited + wish.wait
        idempotency = self.site.settings.classes[wish.type].idempotency
        request = self.requests[name] = self.open[wish.name] = Request(name, wish, call, until, idempotency)
        request.timers.append(self.timers.at(until, lambda: self.guard(request, self.expire)))
        self.counts["downloads"] += 1
        work, peers = wish.kb / self.site.flow, self.peers
        ran = peers.ran(wish.type, wish.once, wish.repeat) if peers and wish.once else ()
        elsewhere = peers.asked(wish.type, wish.key, wish.part, wish.repeat) if peers else 0
        over = bool(peers and peers.over(wish.type, call.client.host()))
        self.post(
            RequestReceived(
                name, wish.key, wish.part, wish.group, wish.type, work, wish.repeat, until, call.waited,
                ran, elsewhere, over,
            )
        )  # fmt: skip

    def clash(self, call: Call, open_call: Call) -> None:
        """Guards caches against two downloads under one name; who brought both loses both."""
        call.turn_back("the id of an open download")
        if open_call.client is call.client:
            call.client.cast_out("clients with two downloads under one id")

    def leave(self, call: Call) -> None:
        """Nobody waits for it any more."""
        request = self.requests.get(call.serial)
        if request and not request.closed:
            self.counts["left"] += 1
            self.post(RequestCancelled(request.name))
            self.close(request)

    def expire(self, request: Request) -> None:
        """Its time is up: what is still out has timed out, and the decisions owe their last word.

        Holds also for one closed before, where the site does not let the decisions call off what is out.
        """
        for attempt in request.attempts:
            if not attempt.over:
                self.pool.call_off(attempt)
                self.ended(request, attempt, AttemptResult.TIMED_OUT)
        if not request.closed:
            self.turn()
        if not request.closed:
            self.give_up(request)
            check_invariant(False, "a download is answered before its expiry")

    # What the bus tells.

    def tell(self, numbered: SequencedEvent) -> None:
        """An event of the bus: told to the decisions first, then what waits and is stale for it is withdrawn.

        The other way round they would hear of the withdrawal alone, and send the same pull again.
        """
        try:
            self.hear(numbered.event)
        except Exception:
            self.show(numbered)

    def hear(self, event: EndpointListUpdate | Purge) -> None:
        match event:
            case EndpointListUpdate(whole, targets):
                known = [target for target in targets if target.kind in self.site.roles]
                anomalies["list entries of unknown kind"] += len(targets) - len(known)
                self.relist(whole, known)
            case Purge(key, group, at):
                self.post(ObjectsPurged(key, group, self.clock.age(at)))
                self.pool.purged(key, group)

    def relist(self, whole: bool, targets: list[EndpointRecord]) -> None:
        entries = tuple(self.names.endpoint(target) for target in targets)
        named = {entry.id for entry in entries}
        here = {entry.id for entry in entries if entry.state is not EndpointState.REMOVED}
        gone = self.listed - named if whole else named - here
        self.post(EndpointsListed(ListScope.COMPLETE if whole else ListScope.CHANGES, entries))
        self.started -= named
        self.started |= {entry.id for entry in entries if entry.started is not None}
        for target, entry in zip(targets, entries, strict=True):
            if entry.state is EndpointState.REMOVED:
                self.pool.gone(entry.id)
            else:
                since = -math.inf if entry.started is None else entry.started
                usable = entry.state is EndpointState.READY
                self.pool.listed(entry.id, target.host, target.port, since, usable)
        for missing in gone - named:
            self.pool.gone(missing)
        self.listed = (set() if whole else self.listed - gone) | here
        self.started &= self.listed
        self.leaving |= named - here | gone

    def settle(self, site: Site) -> None:
        """Go by another site from now on: its settings, not its place."""
        settings, self.site = self.site.settings, site
        self.pool.bounds = site.bounds
        if site.settings != settings:
            self.post(SettingsChanged(site.settings))

    # What the decisions want.

    def post(self, event: Event, first: bool = False) -> None:
        """Hand it over in this turn; `first` before all that waits, so that it holds for that as well."""
        self.events.insert(0 if first else len(self.events), event)
        if not self.turning:
            self.turning, now = True, self.clock.now()
            if now > self.rested + PAUSE:  # there was time to spare since the last turn
                self.since = now
            self.reactor.callLater(0, self.heard)

    def heard(self) -> None:
        """One more look at the sockets, then the turn.

        Guards caches against pulls for clients that ended or withdrew while this front was held up: a request
        and what undoes it are read one after the other, each in a look of its own. Harm: a look a turn.
        """
        self.reactor.callLater(0, self.due)

    def due(self, held: bool = False) -> None:
        """A turn, unless decisions wait; what came meanwhile of caches and purges is then heard first."""
        if self.peers and self.peers.holds(self.clock.now()):
            self.reactor.callLater(PAUSE, self.due, True)
            return
        if held:
            self.events.sort(key=lambda event: isinstance(event, RequestReceived))
        self.turn()

    def turn(self) -> None:
        """Hand over all that has come, and carry out what is answered."""
        self.turning, since = False, self.clock.now()
        coming, self.events = deque(self.events), []
        if coming and since > self.since + LATE:
            coming.appendleft(LoopLagMeasured(since - self.since))
        self.since = since
        while coming:
            try:
                actions = self.router.handle(self.clock.now(), self.each(coming))
            except Exception:  # a fault in one download ends that one, not the front
                actions = self.router.actions
                self.fault(self.handed)
            for action in actions:
                try:
                    self.perform(action)
                except Exception:
                    self.fault(action)
        for number in self.leaving - self.listed:  # names are ever new
            self.names.forget(number)
        self.leaving.clear()
        done, self.done = self.done, []
        for request in done:
            if not request.out():
                self.requests.pop(request.name, None)
        self.rested = self.clock.now()
        self.longest = max(self.longest, self.rested - since)

    def each(self, coming: deque[Event]) -> Iterator[Event]:
        """Events in their order, but none of a download that was left before the decisions heard of it."""
        while coming:
            self.handed = event = coming.popleft()
            if (
                isinstance(event, RequestReceived)
                and (request := self.requests.get(event.id))
                and request.closed
            ):
                continue
            yield event

    def show(self, at: object, trace: str | None = None) -> None:
        """Count a fault, and log it with its trace; a flood of them must not fill the log."""
        self.counts["faults"] += 1
        self.shown += 1
        if self.shown <= MOST_SHOWN:
            logger.error("fault at {:.200}: {}", str(at), trace or traceback.format_exc())

    def fault(self, at: Event | Action | None) -> None:
        """Abandon the one download that a fault is about."""
        self.show(at)
        if request := self.requests.get(getattr(at, "id", "")):
            self.give_up(request)

    def guard(self, request: Request, call: Callable[..., None], *args: Any) -> None:
        """Guards a connection, which others share, against a fault in what one download does there."""
        try:
            call(request, *args)
        except Exception:
            self.show(request.name)
            self.give_up(request)

    def give_up(self, request: Request) -> None:
        if not request.closed:
            self.counts["abandoned"] += 1
            request.call.abandon()
            self.post(RequestCancelled(request.name))
            self.close(request)

    def give_up_all(self) -> None:
        """Guards against the kill that ends a stop: what is still open gets its answer before that.

        Should also cover downloads that wait longer than any stop lasts. Harm: a little later one may
        have been fulfilled.
        """
        for request in list(self.requests.values()):
            self.guard(request, self.give_up)

    def perform(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self.send(action)
            case CancelAttempt(name, number):
                if request := self.requests.get(name):
                    self.call_off(request, request.attempts[number])
            case RejectRequest(name, wait):
                if (request := self.requests.get(name)) and not request.closed:
                    self.counts["throttled"] += 1
                    request.call.throttle(wait)
                    self.close(request)
            case FailRequest(name):
                if (request := self.requests.get(name)) and not request.closed:
                    self.counts["abandoned"] += 1
                    request.call.abandon()
                    self.close(request)
            case SetTimer(delay, token, name, number):
                timer = self.timers.after(delay, lambda: self.wake(token, name, number))
                if request := self.requests.get(name):
                    request.timers.append(timer)
            case SendHealthCheck(cache):
                self.probe(cache)
            case WriteLog(text):
                logger.info("decisions: {}", text)
            case WatchEndpoints():
                pass  # the bus is read from the start
            case _:
                check_invariant(False, f"an action that sockets know: {type(action).__name__}")

    def send(self, action: SendAttempt) -> None:
        request = self.requests[action.id]
        source = self.names.uids[action.source] if action.source not in (None, action.cache) else None

        def command() -> bytes:
            left = request.until - self.clock.now()
            wait = min(action.timeout, left) if action.timeout else left
            if self.peers and request.wish.once:
                self.peers.sent(request.wish.type, request.wish.once, action.cache)
            return commands.do(
                request.wish.name, request_codec.order(request.wish, action, source, wait), request.wish.body
            )

        attempt = Attempt(
            name=request.wish.name,
            cache=action.cache,
            source=action.source,
            key=request.wish.key,
            group=request.wish.group,
            command=command,
            fleeting=self.fleeting(request, action),
            ended=lambda attempt, how: self.guard(request, self.ended, attempt, how),
        )
        request.attempts.append(attempt)
        request.handed.append(self.clock.now())
        if request.closed:  # its client left, or it was answered, in the very turn in which this was decided
            attempt.over = True
            self.ended(request, attempt, AttemptResult.SUPERSEDED)
            return
        self.counts["pulls"] += 1
        if action.timeout:
            request.timers.append(self.timers.after(action.timeout, lambda: self.impatient(request, attempt)))
        self.pool.send(attempt)

    def fleeting(self, request: Request, action: SendAttempt) -> bool:
        """Whether what allows a pull may be over soon: a window for repeats, or a cold cache's budget."""
        return bool(
            request.attempts and request.idempotency is not Idempotency.IDEMPOTENT
        ) or not self.started.isdisjoint((action.cache, action.source))

    def wake(self, token: str, name: str, number: int) -> None:
        """Tell the time that was asked for, and of the pull it is about whether its connection lives."""
        request = self.requests.get(name) if number >= 0 else None
        link = request.attempts[number].connection if request else None
        self.post(TimerFired(token, bool(request and link and link.heard <= request.attempts[number].sent)))

    def impatient(self, request: Request, attempt: Attempt) -> None:
        if not attempt.over:
            self.pool.call_off(attempt)
            self.ended(request, attempt, AttemptResult.TIMED_OUT)

    def call_off(self, request: Request, attempt: Attempt) -> None:
        if not attempt.over:
            went = self.pool.call_off(attempt)
            self.ended(request, attempt, AttemptResult.CANCELLED if went else AttemptResult.SUPERSEDED)

    def ended(self, request: Request, attempt: Attempt, how: Answer | Lost | AttemptResult) -> None:
        """One pull has ended; the first that brings the object answers the download."""
        if isinstance(how, Answer) and how.word in ("DONE", "KEEP") and not request.closed:
            self.counts["fulfilled"] += 1
            request.call.fulfill(how.body, how.word == "KEEP")
            self.close(request)
        number = request.attempts.index(attempt)
        if isinstance(how, Answer) and how.word not in request_codec.RESULTS:
            anomalies["pulls answered as probes"] += 1
            how = AttemptResult.ERROR
        self.post(
            request_codec.ended(
                request.name, number, how, self.clock.now() - request.handed[number], request.closed
            )
        )
        self.forget(request)

    def close(self, request: Request) -> None:
        """Nothing more is begun for it: what waits for a connection is taken back, whatever the site lets
        the decisions call off."""
        request.closed = True
        self.open.pop(request.wish.name, None)
        for attempt in request.attempts:
            if attempt.waits():
                self.call_off(request, attempt)
        self.forget(request)

    def forget(self, request: Request) -> None:
        """Let go of what is done, but not before the turn is over: the decisions may not have heard of it.

        Guards against pulls decided meanwhile, which would never be told to have ended.
        """
        if request.closed and not request.out():
            for timer in request.timers:
                timer.cancel()
            self.done.append(request)

    # Probes.

    def probe(self, cache: int) -> None:
        self.probes += 1
        tag = f"p{self.probes:x}"
        self.asked[tag] = cache, self.clock.now()
        if not self.pool.probe(cache, tag, self.site.reports):
            self.reactor.callLater(0, self.unprobed, tag, AttemptResult.UNREACHABLE)
            return
        self.timers.after(self.site.bounds.dial, lambda: self.unprobed(tag, AttemptResult.TIMED_OUT))

    def unprobed(self, tag: str, result: AttemptResult) -> None:
        if tag in self.asked:
            cache, since = self.asked.pop(tag)
            self.post(HealthCheckDone(cache, result, self.clock.now() - since, None))

    def reached(self, cache: int) -> None:
        self.post(ConnectionOpened(cache))

    def probed(self, cache: int, answer: Answer) -> bool:
        """An answer that belongs to no pull: whether it is one of a probe."""
        if answer.word not in request_codec.FITNESS or self.asked.get(answer.name, (None,))[0] != cache:
            return False
        _, since = self.asked.pop(answer.name)
        use = request_codec.load(answer.fields.get("use"))
        self.post(HealthCheckDone(cache, request_codec.FITNESS[answer.word], self.clock.now() - since, use))
        return True
