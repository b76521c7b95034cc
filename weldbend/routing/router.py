"""Which cache answers a download, where a miss is filled from, and where a copy stays.

How to call: `router = Router(seed, facts)`, then `router.handle(now, events)` for each batch of events;
it returns the actions in order. `now` never goes back. A restarted front is a new Router.
The types of events, actions and facts are in `weldbend/routing/interface.py`; docs/design.md gives the
reasons.
"""

import math
from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import Any, NamedTuple

from weldbend.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from weldbend.routing.actor import Actor
from weldbend.routing.events import (
    AttemptEnded,
    AttemptResult,
    CacheEvent,
    ConnectionOpened,
    EjectionUpdate,
    Endpoint,
    EndpointsListed,
    EndpointState,
    Event,
    ExecutedElsewhere,
    FillHint,
    ListScope,
    LoopLagMeasured,
    ObjectsPurged,
    ParentQuota,
    PeerHealthReport,
    PeerKnowledge,
    RequestCancelled,
    RequestReceived,
    ResponseStarted,
    SettingsChanged,
    SlowStartQuota,
    TimerFired,
)
from weldbend.routing.measures import RandomSource, WindowedSum
from weldbend.routing.settings import DeduplicationScope, Idempotency, RequestClass, Role, SiteSettings

ALPHA, BETA, GAMMA = 1, 1, 1  # the paper's weights of V_k, V_hop and V_hitk
V_HOP = {Role.EDGE: 2, Role.PARENT: 1}
KMAX = 5  # the paper's highest prefilter level
DEPTH, RANK = 2, 2  # prefilter level from which the edge may keep a copy, and the rank of such a copy
TABLE = 8192  # objects that the prefilter remembers
MEMORY = 10.0  # seconds of the ring buckets
SLOW = 0.5  # what a late answer counts against a cache, a failed one counting one
BAR = 0.8  # a doubtful cache must draw this share of its peers' success
SHARE, REST = 0.6, 0.1  # what a cut leaves of a limit, and seconds between two cuts
LEAST = 1.0  # bound of a limit on what is in flight, for all fronts together
SPREAD = 2.0  # first limit: this front's share of the cache's link, and so many roots of it
START = 12.0  # first limit where links are not told
SPILL = 0.5  # part of a limit open to what the hash meant for another cache
CROWD, CROWD_SPAN = 0.15, 3.0  # share of late answers, and seconds, that tell a crowd from large objects
HEADROOM = 1.3  # how far the content type with most benefit for its work may pass a limit
DUE = 3.0  # answers that would have come from a cache meanwhile, from which on its silence says something
PATIENCE = 2.5  # expected times that a pull may take before it is doubted
FURTHER = 0.15  # further pulls for each download, in MEMORY
THROUGH = 0.5  # what a fill that passes an edge counts there, a look counting one
BACK = 0.5  # seconds after which a throttled client may come back
CARE = 0.75  # part of a cold cache's budget that is used
OPEN = 0.5  # part of the budget's window for which a front's turn at a cold cache stays open
PRIOR = 4  # downloads that a content type's target time counts for in its mean work
BORNE = 0.5  # flows that a cache is held to bear before any was seen to bear more
NO_EVIDENCE = {AttemptResult.CANCELLED, AttemptResult.SUPERSEDED, AttemptResult.MALFORMED}
NOT_RUN = {AttemptResult.REJECTED, AttemptResult.UNREACHABLE, AttemptResult.SUPERSEDED, AttemptResult.MISS}
SPOKEN = {
    AttemptResult.SERVED,
    AttemptResult.MISS,
    AttemptResult.REJECTED,
    AttemptResult.ERROR,
}  # ends by an answer
BROKEN_OFF = {
    AttemptResult.MISS,
    AttemptResult.MALFORMED,
    AttemptResult.RESET,
}  # ends after which a further pull adds to no crowd
PRESSED, CALM = 0.03, 0.5  # seconds by which turns may be late, and in which that is forgotten
WAITED = 0.35  # part of a target time for which a download may have lain unread at the door
GRACE, SOON = 0.2, 0.5  # seconds in which a break is no restart yet, and none if a connection comes up
MOST_ERRORS = 3  # caches that may answer one download with an error before it is given up


@dataclass(eq=False)
class Attempt:
    request: "Request"
    cache: "Cache"
    source: "Cache | None" = None  # none: a look, which fills nothing
    rank: int = 0
    leave: bool = False
    held: bool = False  # the source gives only what it holds
    origin: "Cache | None" = None  # what is known to be fetched there counts there
    number: int = 0
    sent: float = 0.0
    result: AttemptResult | None = None
    ended: AttemptEnded | None = None
    doubted = silent = False

    def at(self) -> "Cache":
        return self.origin or self.source or self.cache  # whose limit counts it, and whom its end speaks for

    def against(self) -> "Cache":  # a fetch through a parent that is slow itself says nothing of the origin
        slow = self.origin and self.source and self.source.share_bad() > max(CROWD, self.origin.share_bad())
        return self.source if slow else self.at()

    def caches(self) -> "list[Cache]":
        touched = [self.cache] if self.source in (None, self.cache) else [self.source, self.cache]
        return touched if self.origin is None or self.origin in touched else [self.origin, *touched]


class Stuck(NamedTuple):
    culprit: "Cache | None"  # in the way of a pull, if another would do


class Doubt(NamedTuple):
    attempt: "Attempt"  # that takes too long
    silent: bool = False  # nothing has come over its connection since


Mark = Enum("Mark", "GOOD LATE BAD CUT")  # what a cache is told of its own answers


class Cache(Actor):
    def __init__(self, router: "Router", entry: Endpoint) -> None:
        super().__init__(router)
        self.id, self.role, self.zone, self.cell = entry.id, entry.role, entry.zone, entry.cell
        self.state, self.weight, self.started = entry.state, entry.weight, entry.started
        self.out: dict[Attempt, None] = {}
        self.heard, self.open = (0.0, 0.0), 1.0  # peers' evidence, good and bad; the fleet's verdict
        self.reset()

    def reset(self) -> None:
        self.router.tier.out -= len(self.out) if self.role is Role.PARENT else 0
        self.good, self.bad, self.spoke = WindowedSum(MEMORY), WindowedSum(MEMORY), WindowedSum(MEMORY)
        self.out = {}
        self.through, self.timely, self.late = 0, WindowedSum(CROWD_SPAN), WindowedSum(CROWD_SPAN)
        self.share = SlowStartQuota(self.id)
        self.settle()
        self.cut = self.broke = self.before = self.marked = -math.inf
        self.saved: float | None = None  # work that this front may put to it while cold, where below a pull
        self.counted = self.rate = 0.0  # when that was added up last, and by how much a second it grew then
        settings = self.router.settings
        told, share = settings.weighted and self.role is not Role.ORIGIN, self.weight / self.sharers
        self.limit = share + SPREAD * math.sqrt(share) if told else START

    def settle(self) -> None:
        settings = self.router.settings
        self.sharers = [settings.zone_fronts, settings.hub_fronts, settings.fronts][
            list(Role).index(self.role)
        ]
        self.wanted = WindowedSum(settings.edge_overload_window)

    def take(self, note: Any) -> None:
        now = self.router.now
        if (
            isinstance(note, Attempt)
            and note.cache is self
            and note.result in (AttemptResult.UNREACHABLE, AttemptResult.RESET)
        ):
            self.broke, self.before = now, now if note.result is AttemptResult.UNREACHABLE else self.before
        if isinstance(note, Attempt) and note.cache is self and note.result in SPOKEN:
            self.spoke.add(now)
        match note:
            case Endpoint():
                if note.started != self.started:
                    self.started = note.started
                    self.reset()
                self.state, self.weight = note.state, note.weight
            case PeerKnowledge():  # of peers: stricter at once, and never less strict
                if note.started is not None and note.started > (self.started or -math.inf):
                    self.started = note.started
                    self.reset()
                if note.state and note.state.value > self.state.value:
                    self.state = note.state
            case SettingsChanged():
                self.settle()
            case PeerHealthReport(_, good, bad):
                self.heard = good, bad
            case SlowStartQuota():
                self.share = note
            case EjectionUpdate():
                self.open = note.admitted_fraction
            case Attempt() if note.at() is not self:
                self.through = max(0, self.through + (1 if note.result is None else -1))
            case Attempt(result=None):
                self.out[note] = None
                self.router.tier.out += self.role is Role.PARENT
            case Attempt():
                if note in self.out:
                    del self.out[note]
                    self.router.tier.out -= self.role is Role.PARENT
            case ConnectionOpened():
                self.broke = self.before if now < self.broke + SOON else self.broke
            case Mark.GOOD:
                if self.role is Role.PARENT:
                    self.router.tier.told(note)
                self.good.add(now)
                self.timely.add(now)
                if 2 * len(self.out) + 1 >= self.limit:
                    self.limit += (
                        1 / max(self.limit, 1) / self.router.settings.zone_fronts
                    )  # one for all there
            case Mark.CUT if now > self.marked:  # one connection, whatever it held
                self.marked = now
                self.bad.add(now)
            case Mark.LATE | Mark.BAD:
                self.bad.add(now, 1.0 if note is Mark.BAD else SLOW)
                self.late.add(now)
                if self.role is Role.PARENT:
                    self.router.tier.told(note)
                if now >= self.cut + REST and crowded([self], now):
                    self.cut, self.limit = now, max(LEAST / self.sharers, self.limit * SHARE)

    def room(self, dense: bool, home: bool) -> bool:
        """Guards against jams, where all would come late: in flight from here is under a limit found by AIMD.

        Below one it is a chance, so that many fronts do not add up to more than a link.
        Harm: a cache that is late for another cause than its load gets less than it could bear."""
        limit = self.limit * (HEADROOM if dense else 1.0) * (1.0 if home else SPILL)
        free = limit - len(self.out) - THROUGH * self.through
        return free >= 1 or (free > 0 and self.router.chance.random() < free + (1 - free) / self.sharers)

    def part(self) -> float:
        """The least part of its link that it can be counted on for: it may have started lately.

        Guards against restarts that the list does not tell yet: one that broke its connections, and cannot be
        reached again at once, may have just started. Harm: one cut off gets little until it would be warm."""
        settings, parent = self.router.settings, self.role is Role.PARENT
        broke = self.before if self.router.now < self.broke + GRACE else self.broke
        started = broke if self.started is None else max(self.started, broke)
        if started == -math.inf or self.role is Role.ORIGIN:
            return 1.0
        floor = settings.parent_start_capacity if parent else settings.edge_start_capacity
        age = max(self.router.now - started, 0.0)
        return min(
            1.0, floor + (1 - floor) * age / (settings.parent_warmup if parent else settings.edge_warmup)
        )

    def turn(self, now: float, most: float, work: float, window: float) -> bool:
        """Whether it is this front's turn at a cold cache whose budget gives it less than a pull a window.

        Work is saved up from a random start, by what the cache bore meanwhile, and a turn not taken soon is
        lost. Guards against fronts that all have a turn left over when the cache has warmed a little, or
        when traffic comes at once. Harm: a front that asks seldom misses most of its turns."""
        rate = most / window
        if self.saved is None:
            self.saved = work * self.router.chance.random()
        else:
            self.saved += (self.rate + rate) / 2 * (now - self.counted)
        self.counted, self.rate, over = now, rate, self.saved % work
        due = self.saved >= work and over <= OPEN * most
        self.saved = over + work if due else over if self.saved > 0 else self.saved
        return due

    def share_bad(self) -> float:
        good, bad = self.good.total(self.router.now), self.bad.total(self.router.now)
        return (bad + 0.1) / (good + bad + 1)

    def trusted(self, peers: float) -> bool:
        """Guards against caches that fail, in whole or part, or grow slow, by a draw from the posterior.

        Prior and bar are the peers': what strikes all alike scatters nothing, nor does one failure where few
        are seen. Harm: after a short trouble a sound cache is passed by for up to MEMORY."""
        if self.open < 1 and self.router.chance.random() >= self.open:
            return False
        doubts = self.bad.total(self.router.now) + self.heard[1]
        return doubts == 0 or self.draw(peers) > BAR * peers

    def draw(self, peers: float = 0.5) -> float:
        now, prior, (good, bad) = self.router.now, 2 * min(max(peers, 0.1), 0.95), self.heard
        good, bad = good + self.good.total(now), bad + self.bad.total(now)
        return self.router.chance.betavariate(prior + good, 2 - prior + bad)


class Tier:
    """What is in flight from here at all parents together, found by AIMD as for each of them.

    Guards against many fronts that each see little: limits of a pull and more at each parent add up to many
    times what parents bear, and no front hears enough of one parent to cut its own. The share of a tier needs
    fewer roots. The worst parent is left out, as its trouble may be its own. Harm: where two of many are
    crowded, what goes to the others is cut as well."""

    def __init__(self, router: "Router") -> None:
        self.router, self.out, self.cut, self.part = router, 0, -math.inf, 1.0

    def limit(self) -> float:
        share = sum(c.weight for c in self.router.placement.ready[Role.PARENT]) * self.router.share
        return self.part * (share + SPREAD * math.sqrt(share))

    def told(self, mark: Mark) -> None:
        now, parents = self.router.now, self.router.placement.ready[Role.PARENT]
        if mark is Mark.GOOD:
            limit = self.limit()
            if 2 * self.out + 1 >= limit:
                self.part = min(1.0, self.part + 1 / max(limit, 1) ** 2 / self.router.settings.zone_fronts)
        elif now >= self.cut + REST and len(parents) > 1:
            others = sorted(parents, key=lambda c: c.late.total(now))[:-1]
            if crowded(others, now):
                self.cut, self.part = now, self.part * SHARE

    def room(self, dense: bool) -> bool:
        settings = self.router.settings
        free = max(self.limit(), LEAST * self.router.share) * (HEADROOM if dense else 1.0) - self.out
        return not settings.weighted or free >= 1 or (free > 0 and self.router.chance.random() < free)


def crowded(caches: list[Cache], now: float) -> bool:
    late = sum(c.late.total(now) for c in caches)
    return late > 1 + CROWD * (late + sum(c.timely.total(now) for c in caches))


class Prefilter(Actor):
    """LRU-K: how often this front was asked for an object, in a bounded table."""

    def __init__(self, router: "Router") -> None:
        super().__init__(router)
        self.levels: OrderedDict[str, int] = OrderedDict()

    def take(self, note: "Request") -> None:
        level = self.levels.pop(note.name, 0)
        self.levels[note.name] = level = min(max(level + (not note.asked.is_retry), 1), KMAX)
        if len(self.levels) > TABLE:
            self.levels.popitem(last=False)
        level = min(level + note.asked.requested_elsewhere, KMAX)
        self.router.post(note, (level, 1 - len(self.levels) / TABLE))


class Placement(Actor):
    """The paper's values and rates, and the hash, the same at every front, that picks caches."""

    def __init__(self, router: "Router") -> None:
        super().__init__(router)
        self.fills = {role: WindowedSum(MEMORY) for role in V_HOP}
        self.keeps = {role: WindowedSum(MEMORY) for role in V_HOP}
        self.ready: dict[Role, list[Cache]] = {role: [] for role in Role}

    def take(self, note: Any) -> None:
        if isinstance(note, Request):
            return self.place(note)
        for cache in [c for c in self.router.caches.values() if c.state is EndpointState.REMOVED]:
            del self.router.caches[cache.id]  # ids are ever new: nothing may be kept by one
            self.router.gate.sent.pop(cache, None)
        ready = [c for c in self.router.caches.values() if c.state is EndpointState.READY]
        near = [c for c in ready if c.role is not Role.EDGE or c.zone == self.router.settings.zone]
        self.ready = {role: [c for c in near if c.role is role] for role in Role}

    def place(self, request: "Request") -> None:
        """A look at the edge first, then a fill there: what missed is then known at every site."""
        now, settings, (edges, parents, origins) = self.router.now, self.router.settings, self.ready.values()
        bad = sum(c.bad.total(now) for c in edges)
        good = sum(c.good.total(now) for c in edges) if bad else 0.0
        well = (good + 1) / (good + bad + 1)
        edge = request.missed if request.missed in edges and request.missed not in request.ruled_out else None
        look = edge is None and not request.type.origin_only
        if request.type.origin_only and settings.allows_bypass:
            target = self.pick(request, origins, 0.0)
            plan = Attempt(request, target) if target else None
        # a cold edge is filled without a look: it holds little, and each pull counts against its budget
        elif (edge := edge or self.pick(request, edges, well)) and look and edge.part() == 1:
            plan = Attempt(request, edge, rank=RANK if request.level >= DEPTH else 0)
        elif edge is not None:
            source = self.source(request, parents, origins)
            plan = self.keep(self.staged(request, edge, source, origins)) if source else None
        else:
            target = self.pick(request, parents, 0.0) if settings.allows_bypass and origins else None
            lacks = target and (request.lacking or target.part() < 1 or request.type.origin_only)
            plan = Attempt(request, target, origins[0] if lacks else None) if target else None
        self.router.post(self.router.gate if plan else request, plan or Stuck(None))

    def staged(self, request: "Request", edge: Cache, source: Cache, origins: list[Cache]) -> Attempt:
        """A parent first gives what it holds: wanted before, if at another front, the edge may keep that.

        Guards its copies from the origin's trouble, whose limit what it lacks goes under. Harm: one trip."""
        attempt = Attempt(request, edge, source)
        if source.role is Role.PARENT and origins and edge.part() == 1 and not request.type.origin_only:
            attempt.origin = origins[0] if request.lacking else None
            attempt.held = not request.lacking and source.part() == 1
        return attempt

    def keep(self, attempt: Attempt) -> Attempt:
        """The two tests: best value and lowest cache rate keep the copy, the others leave none."""
        now, request = self.router.now, attempt.request
        tiers = {c.role for c in attempt.caches() if c.role in V_HOP and not request.type.origin_only}
        if attempt.held:  # the edge alone may keep what a parent holds already
            attempt.rank = min(RANK, request.level)
            return attempt
        admitted = [t for t in V_HOP if t in tiers and (t is Role.PARENT or request.level >= DEPTH)]
        value = {t: ALPHA * request.v_k + BETA * V_HOP[t] + GAMMA * request.level for t in admitted}
        rate = {t: self.keeps[t].total(now) / max(self.fills[t].total(now), 1.0) for t in admitted}
        chosen = {max(admitted, key=value.get), min(admitted, key=rate.get)} if admitted else set()
        for tier in tiers:
            self.fills[tier].add(now)
            self.keeps[tier].add(now, tier in chosen)
        attempt.rank = RANK if Role.EDGE in chosen else 0
        attempt.leave = Role.PARENT in tiers and Role.PARENT not in chosen
        return attempt

    def source(self, request: "Request", parents: list[Cache], origins: list[Cache]) -> Cache | None:
        """The hub's parent by hash, then any by hash; the origin where no parent does as well."""
        strained = request.lacking is not None and self.router.now - request.lacking.cut < MEMORY
        near = [c for c in parents if c.zone == self.router.settings.hub and not strained] or parents
        if picked := self.pick(request, near, 1.0, sure=True):
            return picked
        peers = 1 - min((c.share_bad() for c in parents + origins), default=0.0)
        if (picked := self.pick(request, parents, peers, sure=True)) or any(
            c in request.ruled_out for c in parents
        ):
            return picked or self.pick(request, origins, peers, sure=True)
        return max((c for c in parents + origins if c not in request.failed), key=Cache.draw, default=None)

    def pick(self, request: "Request", caches: list[Cache], peers: float, sure: bool = False) -> Cache | None:
        """The first by hash that is trusted; unless `sure`, else the best draw of those not ruled out."""
        ranked = [c for c in caches if c not in request.ruled_out]
        ranked.sort(key=lambda c: self.rank(request, c), reverse=True)
        fresh = [c for c in ranked if c not in request.failed]
        first = next((c for c in fresh if c.trusted(peers)), None)
        return first or (None if sure else max(fresh or ranked, key=Cache.draw, default=None))

    def rank(self, request: "Request", cache: Cache) -> float:
        if cache not in request.ranks:
            digest = blake2b(f"{request.name} {cache.id}".encode(), digest_size=7).digest()
            drawn = math.log((int.from_bytes(digest) + 1) / (2**56 + 1))
            request.ranks[cache] = drawn / (cache.weight if self.router.settings.weighted else 1.0)
        return request.ranks[cache]


class Gate(Actor):
    """Every pull and every final answer passes here, and each rule is kept here once."""

    def __init__(self, router: "Router") -> None:
        super().__init__(router)
        self.purges: dict[str | int, float] = {}
        window = router.settings.edge_overload_window
        self.sent: dict[Cache, WindowedSum] = defaultdict(
            lambda: WindowedSum(window)
        )  # work put to each cache
        self.requests, self.further = WindowedSum(MEMORY), WindowedSum(MEMORY)
        self.late, self.late_at = 0.0, 0.0  # how late this front's turns come, and when that was told
        self.given = {role: WindowedSum(MEMORY) for role in Role}  # work put to all warm caches of a role
        self.borne: dict[Role, float] = {}

    def take(self, note: Any) -> None:
        match note:
            case RequestReceived():
                self.ask(note)
            case LoopLagMeasured():
                self.late, self.late_at = 0.7 * self.pressed() + 0.3 * note.lag, self.router.now
            case Attempt():
                stuck = self.refusal(note)
                self.router.post(note.request, stuck) if stuck else self.send(note)
            case AttemptEnded():
                self.end(note)
            case Doubt(attempt) if attempt.result is None and self.router.settings.allows_cancel:
                self.router.actions.append(CancelAttempt(attempt.request.asked.id, attempt.number))
            case ObjectsPurged():
                self.purged(note)
            case SettingsChanged(settings):  # what was sent counts in the new window as if sent now
                before, now = self.sent, self.router.now
                self.sent = defaultdict(lambda: WindowedSum(settings.edge_overload_window))
                for cache, sent in before.items():
                    self.sent[cache].add(now, sent.total(now))
            case Request() if not note.closed:
                self.answer(note)

    def pressed(self) -> float:
        return self.late * max(1 - (self.router.now - self.late_at) / CALM, 0.0)

    def ask(self, asked: RequestReceived) -> None:
        """Guards against more downloads than this front has time for, where all would come late: a part is
        throttled at once, least benefit first; so is one that lay at the door itself for too long.
        Harm: a standstill of the machine costs some downloads."""
        router, kind = self.router, self.router.settings.classes[asked.class_name]
        self.requests.add(router.now)
        best = kind.priority_weight >= max(k.priority_weight for k in router.settings.classes.values())
        late = max(
            self.pressed() / PRESSED,
            asked.queued_for / (WAITED * kind.latency_objective),
            3.0 * asked.over_limit,
        )
        share = late - (2 if best else 1)
        if share > 0 and router.chance.random() < share:
            router.actions.append(RejectRequest(asked.id, router.settings.max_retry_after))
        else:
            router.post(router.requests.setdefault(asked.id, Request(router, asked, kind)), asked)

    def refusal(self, attempt: Attempt) -> Stuck | None:
        request, now, settings = attempt.request, self.router.now, self.router.settings
        hopeless = sum(p.result is AttemptResult.ERROR for p in request.attempts) >= MOST_ERRORS
        spent = request.further() and self.further.total(now) >= FURTHER * self.requests.total(now) + 2
        over = (
            request.closed or now >= request.asked.deadline or len(request.attempts) >= settings.max_attempts
        )
        if hopeless or spent or over or not self.harmless(attempt):
            return Stuck(None)
        if not self.dropped(attempt):
            return Stuck(attempt.cache)
        dense = self.router.densest(request.type)
        if (
            attempt.at().role is Role.PARENT
            and not request.type.origin_only
            and not self.router.tier.room(dense)
        ):
            return Stuck(None)
        for cache in attempt.caches():
            home = cache is request.missed or all(c.role is not cache.role for c in request.ruled_out)
            free = request.type.origin_only or cache.room(dense, home)
            if not free or cache.state is not EndpointState.READY or not self.bears(cache, request):
                return Stuck(cache)
        return None

    def harmless(self, attempt: Attempt) -> bool:
        """No effect twice, and never two pulls out where a site forbids it."""
        request, now, settings = attempt.request, self.router.now, self.router.settings
        if not settings.allows_hedging and any(p.result is None for p in request.attempts):
            return False
        maybe = request.maybe()
        if not maybe or request.type.idempotency is Idempotency.IDEMPOTENT:
            return True
        return (
            request.type.idempotency is Idempotency.DEDUPLICATED
            and now < maybe[0].sent + request.type.deduplication_window - 2 * settings.tick
        )

    def dropped(self, attempt: Attempt) -> bool:
        """Whether its cache drops a repeat of what may have run; where it does not, another may."""
        kind, group = (
            attempt.request.type,
            {DeduplicationScope.ZONE: "zone", DeduplicationScope.CELL: "cell"}.get(
                attempt.request.type.deduplication_scope
            ),
        )
        if kind.idempotency is not Idempotency.DEDUPLICATED or not group:
            return True
        return all(getattr(p.cache, group) == getattr(attempt.cache, group) for p in attempt.request.maybe())

    def bears(self, cache: Cache, request: "Request") -> bool:
        """A cache that started lately gets this front's share of what it can bear, and no more.

        A front that has itself just started may have sent some before: share grows over a window."""
        settings = self.router.settings
        if cache.part() >= 1:
            return True
        most = self.budget(cache) * self.capacity(cache)
        now, work = self.router.now, self.router.mean_work(request.type)
        cache.wanted.add(now, work)
        if most >= work or cache.share.is_leased:
            begun = min(1.0, (now - self.router.born) / settings.edge_overload_window)
            return self.sent[cache].total(now) + work <= most * begun
        return cache.turn(now, most, work, settings.edge_overload_window)

    def budget(self, cache: Cache) -> float:
        """Work for each flow of its link that a cold cache bears in a window of the rule."""
        settings = self.router.settings
        multiple = (
            settings.parent_overload_factor if cache.role is Role.PARENT else settings.edge_overload_factor
        )
        return multiple * cache.part() * settings.edge_overload_window * CARE

    def capacity(self, cache: Cache) -> float:
        """This front's share of a cache's link in flows: as listed, else what warm ones were given lately.

        Fronts that share by leases have what they hold now of the whole: what is lent ends."""
        settings, held = self.router.settings, cache.share
        if not settings.weighted:
            return max(self.borne.get(cache.role, 0.0), BORNE / cache.sharers)
        if held.is_leased:
            return cache.weight * (held.owned + held.leased * (self.router.now < held.lease_end))
        return cache.weight / (
            cache.sharers if cache.role is Role.EDGE else settings.fronts
        )  # all at a parent

    def send(self, attempt: Attempt) -> None:
        request, now, work = attempt.request, self.router.now, self.router.mean_work(attempt.request.type)
        attempt.number, attempt.sent = len(request.attempts), now
        self.further.add(now, request.further())
        for cache in attempt.caches():
            self.sent[cache].add(now, work)
            cache.saved = None if cache.saved is None else cache.saved - work
        join = self.router.settings.joins_fills and not any(p.source and not p.held for p in request.attempts)
        name, at, age = request.asked.id, attempt.cache.id, self.age(attempt)
        by = attempt.source.id if attempt.source else None if attempt.cache.role is Role.ORIGIN else at
        go = SendAttempt(name, at, by, attempt.rank, age, 0.0, join, attempt.held, attempt.leave, False)
        self.router.actions.append(go)
        request.attempts.append(attempt)
        for actor in (*attempt.caches(), request):
            self.router.post(actor, attempt)

    def age(self, attempt: Attempt) -> float:
        """Oldest copy that will do: never one older than a purge that this front knows of."""
        asked, fresh = attempt.request.asked, attempt.request.type.fresh_for
        past = [self.purges[name] for name in (asked.key, asked.group) if name in self.purges]
        since = max(self.router.now - max(past) - 0.001, 2e-6) if past else 0.0
        return min(since, fresh or since)

    def purged(self, note: ObjectsPurged) -> None:
        settings, now = self.router.settings, self.router.now
        name, kept = note.key or note.group, settings.purge_complete_after + 2 * settings.purge_grace
        self.purges = {n: at for n, at in self.purges.items() if now - at < kept}
        self.purges[name] = max(now - note.age, self.purges.get(name, -math.inf))

    def end(self, note: AttemptEnded) -> None:
        if (request := self.router.requests.get(note.id)) is None:
            return
        attempt = request.attempts[note.attempt]
        attempt.result, attempt.ended = note.result, note
        for actor in (*attempt.caches(), request):
            self.router.post(actor, attempt)
        served = note.result is AttemptResult.SERVED and not self.router.settings.weighted
        for cache in attempt.caches() if served else ():
            alike, now = self.router.placement.ready[cache.role], self.router.now
            if 2 * sum(c.part() >= 1 for c in alike) > len(alike) and cache.part() >= 1:
                self.given[cache.role].add(now, self.router.mean_work(request.type))
                self.borne[cache.role] = self.given[cache.role].total(now) / MEMORY / len(alike)

    def answer(self, request: "Request") -> None:
        maybe, kind = request.maybe(), request.type
        known = (
            maybe
            and self.router.now < maybe[0].sent + kind.deduplication_window
            and kind.deduplication_scope is DeduplicationScope.ALL
        )
        promise = (
            kind.idempotency is Idempotency.IDEMPOTENT
            or not maybe
            or (kind.idempotency is Idempotency.DEDUPLICATED and known)
        )
        last = RejectRequest(request.asked.id, min(self.router.settings.max_retry_after, BACK))
        self.router.actions.append(last if promise else FailRequest(request.asked.id))
        self.router.post(request, RequestCancelled(request.asked.id))


class Request(Actor):
    def __init__(self, router: "Router", asked: RequestReceived, kind: RequestClass) -> None:
        super().__init__(router)
        self.asked, self.type, self.ran = asked, kind, list(asked.possible_executions)
        self.name = f"{asked.key} {asked.part}"  # a copy is one of a part: prefilter and hash go by parts
        self.attempts: list[Attempt] = []
        self.failed, self.ruled_out, self.ranks = set(), set(), {}  # caches; and what the hash draws for each
        self.missed: Cache | None = None  # the edge that was looked at and lacks the object
        self.closed, self.level, self.v_k = False, 0, 0.0
        self.suspects: list[Cache] = []  # answered with an error, and may be at fault for it
        self.lacking: Cache | None = None  # the parent that was found to lack the object

    def further(self) -> bool:
        """Whether another pull would repeat one, rather than fill what a look found missing."""
        return any(p.result not in BROKEN_OFF and not p.silent for p in self.attempts)

    def maybe(self) -> list[Any]:
        """Pulls that may have run, the first one first: other fronts' of an earlier try, and this front's."""
        return sorted(self.ran, key=lambda r: r.sent) + [p for p in self.attempts if p.result not in NOT_RUN]

    def out(self) -> list[Attempt]:
        return [p for p in self.attempts if p.result is None]

    def take(self, note: Any) -> None:
        router = self.router
        match note:
            case Attempt() if note.result is not None:
                self.done(note)
            case RequestCancelled():
                self.close()
            case _ if self.closed:
                pass
            case RequestReceived():
                left = max(self.asked.deadline - router.now - 2 * router.settings.tick, 0.0)
                router.actions.append(SetTimer(left, f"end:{self.asked.id}", self.asked.id))
                router.post(router.prefilter, self)
            case (int(level), float(v_k)):
                self.level, self.v_k = level, v_k
                router.post(router.placement, self)
            case Attempt():
                self.wait(note)
            case Stuck(culprit) if culprit is not None and culprit not in self.ruled_out:
                self.ruled_out.add(culprit)
                router.post(router.placement, self)
            case Stuck() if not self.out():
                router.post(router.gate, self)
            case ResponseStarted():
                self.closed = True
            case ExecutedElsewhere():
                self.ran.append(note.execution)
            case Doubt(attempt, silent) if attempt.result is None:
                self.doubt(attempt, silent)
            case TimerFired():
                router.post(router.gate, self)

    def doubt(self, attempt: Attempt, silent: bool) -> None:
        """Guards against pulls that do not end: one more beside it, or in its place where two may not be out.

        Most slow pulls are large objects, so a sound cache whose connection lives gets a second wait. Silence
        speaks only where answers were due, else a front with little traffic calls off what is on its way.
        Should also cover standstills and cut lines. Harm: what a silent cache holds first is late."""
        due = attempt.cache.spoke.total(self.router.now) / MEMORY * (self.router.now - attempt.sent)
        silent = silent and (attempt.doubted or due >= DUE)
        again, attempt.doubted, attempt.silent = attempt.doubted, True, silent
        sound = not again and self.blame(attempt).trusted(1.0)
        two = self.router.settings.allows_hedging
        if not (again or silent) and (sound or not two):
            self.wait(attempt)
        elif self.type.idempotency is not Idempotency.NON_IDEMPOTENT:
            self.router.post(*((self.router.placement, self) if two else (self.router.gate, Doubt(attempt))))

    def wait(self, attempt: Attempt) -> None:
        delay = max(PATIENCE * self.router.expected(self, attempt.at().role), self.type.latency_objective)
        token = f"slow:{self.asked.id}:{attempt.number}"
        self.router.actions.append(SetTimer(delay, token, self.asked.id, attempt.number))

    def done(self, attempt: Attempt) -> None:
        router = self.router
        if attempt.result is AttemptResult.SERVED:
            work = self.asked.work or router.mean_work(self.type)
            late = attempt.ended.duration > self.type.latency_objective + self.type.objective_stretch * work
            router.learn(self, attempt, late)
            for cache in self.suspects:
                router.post(cache, Mark.BAD)
            if not (late and attempt.doubted):
                router.post(attempt.against() if late else attempt.at(), Mark.LATE if late else Mark.GOOD)
        elif attempt.result is AttemptResult.MISS:
            self.missed = attempt.cache
            self.lacking = attempt.source or (
                attempt.cache if attempt.cache.role is Role.PARENT else self.lacking
            )
        elif (
            attempt.result not in (AttemptResult.CANCELLED, AttemptResult.SUPERSEDED, AttemptResult.MALFORMED)
            and not attempt.doubted
        ):
            self.blame(attempt)
        if attempt.ended.request_closed:
            self.close()
        elif not self.closed and all(p.doubted for p in self.out()):
            router.post(router.placement, self)
        elif not self.out():
            router.requests.pop(self.asked.id, None)

    def blame(self, attempt: Attempt) -> Cache:
        """A look speaks for its edge, a fill for its source: the edge had answered the look before.

        A bare error speaks against a cache once another serves the same download. Guards against downloads
        that no cache can use. Harm: one that fails all it is asked is left out a little later."""
        broke = attempt.silent or attempt.result in (AttemptResult.UNREACHABLE, AttemptResult.RESET)
        at_edge = broke or (attempt.ended and attempt.ended.fill_hint is FillHint.NO_PLACE)
        guilty = attempt.cache if at_edge else attempt.against()
        if attempt.result is AttemptResult.ERROR and attempt.ended.fill_hint is FillHint.NONE:
            self.suspects.append(guilty)
        else:
            self.router.post(
                guilty, Mark.CUT if attempt.silent or attempt.result is AttemptResult.RESET else Mark.BAD
            )
        if attempt.result is not AttemptResult.RESET:
            self.failed |= {guilty, guilty if at_edge else attempt.source or guilty}
        self.missed = None if guilty is self.missed else self.missed
        return guilty

    def close(self) -> None:
        if not self.closed and self.router.settings.allows_cancel:
            for attempt in self.out():
                self.router.actions.append(CancelAttempt(self.asked.id, attempt.number))
        self.closed = True
        if not self.out():
            self.router.requests.pop(self.asked.id, None)


class Router:
    """The door: ids become objects here, and one loop empties every inbox."""

    def __init__(self, seed: int, settings: SiteSettings) -> None:
        self.settings, self.now, self.born = settings, 0.0, math.inf
        self.chance = RandomSource(seed)
        self.caches: dict[int, Cache] = {}
        self.requests: dict[str, Request] = {}
        self.prefilter, self.placement, self.gate = Prefilter(self), Placement(self), Gate(self)
        self.tier, self.share = Tier(self), 1 / settings.fronts  # this front's part of what goes to parents
        self.pace = {
            (name, role): (WindowedSum(MEMORY), WindowedSum(MEMORY))
            for name in settings.classes
            for role in Role
        }
        self.mean, self.kinds = dict.fromkeys(settings.classes, (0.0, 0)), tuple(settings.classes.values())
        self.busy: deque[Actor] = deque()
        self.actions: list[Action] = []
        self.watched = False

    def post(self, actor: Actor, note: Any) -> None:
        actor.inbox.append(note)
        self.busy.append(actor)

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        self.now, self.born, self.actions = now, min(now, self.born), []
        if self.settings.subscribes and not self.watched:
            self.watched = True
            self.actions.append(WatchEndpoints())
        for event in events:
            for actor, note in self.notes(event):
                self.post(actor, note)
            while self.busy:
                actor = self.busy.popleft()
                actor.take(actor.inbox.popleft())
        return self.actions

    def notes(self, event: Event) -> Iterator[tuple[Actor, Any]]:
        match event:
            case EndpointsListed():
                yield from self.listed(event)
            case RequestReceived() | AttemptEnded() | ObjectsPurged() | LoopLagMeasured():
                yield self.gate, event
            case RequestCancelled() | ResponseStarted() | ExecutedElsewhere():
                if event.id in self.requests:
                    yield self.requests[event.id], event
            case TimerFired("watch"):
                self.actions.append(WatchEndpoints())
            case TimerFired(token):
                why, name, *attempt = token.split(":")
                if request := self.requests.get(name):
                    yield (
                        request,
                        (
                            Doubt(request.attempts[int(attempt[0])], event.connection_silent)
                            if why == "slow"
                            else event
                        ),
                    )
            case ParentQuota(part):
                self.share = part
            case SettingsChanged(settings):
                self.settle(settings)
                yield from ((actor, event) for actor in (*self.caches.values(), self.gate, self.placement))
            case _ if isinstance(event, CacheEvent) and event.cache in self.caches:
                yield self.caches[event.cache], event
                if isinstance(event, PeerKnowledge):
                    yield self.placement, event

    def settle(self, settings: SiteSettings) -> None:
        """Go by other facts. What was learned of content types that are still asked for, or open, stays."""
        self.share = self.share if settings.fronts == self.settings.fronts else 1 / settings.fronts
        self.settings, self.kinds = settings, tuple(settings.classes.values())
        names = settings.classes.keys() | {request.type.name for request in self.requests.values()}
        self.pace = {
            (name, role): self.pace.get((name, role)) or (WindowedSum(MEMORY), WindowedSum(MEMORY))
            for name in names
            for role in Role
        }
        self.mean = {name: self.mean.get(name, (0.0, 0)) for name in names}

    def listed(self, event: EndpointsListed) -> Iterator[tuple[Actor, Any]]:
        if event.scope is ListScope.FAILED:
            if self.settings.subscribes:
                self.actions.append(SetTimer(self.settings.list_refresh / 20, "watch"))
            return
        named = {entry.id for entry in event.endpoints}
        for entry in event.endpoints:
            if entry.id not in self.caches:
                self.caches[entry.id] = Cache(self, entry)
            yield self.caches[entry.id], entry
        if event.scope is not ListScope.CHANGES:
            for cache in self.caches.values():
                if cache.id not in named:
                    cache.state = EndpointState.REMOVED
        yield self.placement, event

    def record(self, now: float) -> dict[int, tuple[float, float]]:
        """Good and bad ends of the pulls at each cache in MEMORY: what a front can tell its peers."""
        return {c.id: (c.good.total(now), c.bad.total(now)) for c in self.caches.values()}

    def cold(self, number: int, now: float) -> tuple[float, float, float, float]:
        """Of a cold cache: the work that all fronts may send it in a window, what this one sent and wanted to
        send, and the work of one pull; no bound where it is warm."""
        cache, gate = self.caches[number], self.gate
        whole = gate.budget(cache) * cache.weight if cache.part() < 1 else math.inf
        work = max(self.mean_work(kind) for kind in self.kinds if not kind.origin_only)
        return whole, gate.sent[cache].total(now), cache.wanted.total(now), work

    def learn(self, request: Request, attempt: Attempt, late: bool) -> None:
        times, scale = self.pace[request.type.name, attempt.at().role]
        times.add(self.now, attempt.ended.duration)
        scale.add(self.now, request.asked.work or 1.0)
        total, count = self.mean[request.type.name]
        if not late or request.asked.work:  # a jam must not pass for larger objects
            self.mean[request.type.name] = total + (request.asked.work or attempt.ended.duration), count + 1

    def mean_work(self, kind: RequestClass) -> float:
        """Mean sending time of a content type, as seen so far and at first as its target time."""
        total, count = self.mean[kind.name]
        return (total + PRIOR * kind.latency_objective) / (count + PRIOR)

    def densest(self, kind: RequestClass) -> bool:
        return kind.priority_weight / self.mean_work(kind) >= max(
            k.priority_weight / self.mean_work(k) for k in self.kinds
        )

    def expected(self, request: Request, role: Role) -> float:
        times, scale = (b.total(self.now) for b in self.pace[request.type.name, role])
        work = max(request.asked.work, 0.1) if request.asked.work else 1.0
        return max(work * (times + request.type.latency_objective) / (scale + work), 0.1)
