"""Placement according to the paper: prefilter, value and cache rate of copies, and the choice by hash."""

from weldbend.routing.actor import Actor
from weldbend.routing.cache_group import CacheGroup, Choices
from weldbend.routing.cache_rates import CacheRates
from weldbend.routing.cache_state import Cache
from weldbend.routing.context import Context
from weldbend.routing.messages import Blocked, PlacementMessage
from weldbend.routing.records import Attempt
from weldbend.routing.requests import Request
from weldbend.routing.settings import Role

ALPHA = 1  # weight of V_k in the paper
BETA = 1  # weight of V_hop
GAMMA = 1  # weight of V_hitk
HOP_VALUE = {Role.EDGE: 2, Role.PARENT: 1}  # V_hop
HIGHEST_LEVEL = 5  # highest prefilter level in the paper
EDGE_LEVEL = 2  # prefilter level from which an edge may store a copy
COPY_RANK = 2  # rank of a copy at an edge
TABLE_SIZE = 8192  # number of objects that the prefilter remembers
RATE_WINDOW = 10.0  # seconds over which cache rates are measured
MAX_CHOICES = 32  # number of caches of a group, in the order of the hash, considered for one request
# Seconds: after a miss at a parent whose limit decreased this recently, the hub's parents are not preferred.
OVERLOADED_PARENT_WINDOW = 10.0


class Placement(Actor[PlacementMessage]):
    """The part of a router that selects the cache to answer, the source of a fill and the copies to store."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.rates = CacheRates(HOP_VALUE, RATE_WINDOW)

    def handle(self, message: PlacementMessage) -> None:
        """Plan the next attempt of a request, or update the ready caches after any other message."""
        if not isinstance(message, Request):
            self.context.update_ready()
        elif attempt := self.plan(message):
            self.context.post(self.context.admission, attempt)
        else:
            self.context.post(message, Blocked(None))

    def plan(self, request: Request) -> Attempt | None:
        """Return the next attempt, or None if no cache can be used.

        A class that is for the origin goes there directly. Other requests go to an edge, or to a parent if no
        edge can be used.
        """
        if request.request_class.origin_only and self.context.settings.allows_bypass:
            origin = self.pick(request, self.context.ready[Role.ORIGIN], 0.0)
            return Attempt(request, origin) if origin else None
        edges = self.context.ready[Role.EDGE]
        missed_cache = request.missed_cache
        if missed_cache is not None and missed_cache in edges and missed_cache not in request.ruled_out:
            return self.plan_fill(request, missed_cache)
        edge = self.pick(request, edges, edges.success_rate())
        if edge is None:
            return self.plan_at_parent(request)
        # no lookup at an edge during its warm-up: it stores little, and each attempt uses up budget
        if request.request_class.origin_only or not edge.is_warm():
            return self.plan_fill(request, edge)
        return Attempt(request, edge, rank=COPY_RANK if request.popularity.level >= EDGE_LEVEL else 0)

    def plan_at_parent(self, request: Request) -> Attempt | None:
        """Return an attempt at a parent if no edge can be used.

        The parent is asked for its stored copy before the origin is involved.
        """
        origins = self.context.ready[Role.ORIGIN]
        parent = None
        if self.context.settings.allows_bypass and origins:
            parent = self.pick(request, self.context.ready[Role.PARENT], 0.0)
        if parent is None:
            return None
        must_fetch = request.missed_parent or not parent.is_warm() or request.request_class.origin_only
        return Attempt(request, parent, origins.first() if must_fetch else None)

    def plan_fill(self, request: Request, edge: Cache) -> Attempt | None:
        """Return an attempt that fills an edge, or None if there is no source.

        A parent is first asked for a copy that it has stored already. Such an object has been requested
        before, maybe at another front, so the edge may store it as well. Guards the stored copies of a parent
        against faults of the origin: only objects that the parent lacks count against the origin's limit.
        Side effect: these objects need one more round trip.
        """
        source = self.pick_source(request)
        if source is None:
            return None
        attempt = Attempt(request, edge, source)
        origins = self.context.ready[Role.ORIGIN]
        is_parent = source.role is Role.PARENT and not request.request_class.origin_only
        if is_parent and origins and edge.is_warm():
            attempt.origin = origins.first() if request.missed_parent else None
            attempt.only_if_cached = not request.missed_parent and source.is_warm()
        self.decide_copies(attempt)
        return attempt

    def decide_copies(self, attempt: Attempt) -> None:
        """Decide which tiers store a copy: that of the highest value and that of the lowest cache rate."""
        request = attempt.request
        if attempt.only_if_cached:  # the parent has a copy, so only the edge may store one
            attempt.rank = min(COPY_RANK, request.popularity.level)
            return
        is_cacheable = not request.request_class.origin_only
        tiers = {cache.role for cache in attempt.caches() if cache.role in HOP_VALUE and is_cacheable}
        chosen = self.choose_tiers(request, tiers)
        self.rates.record(tiers, chosen, self.context.now)
        attempt.rank = COPY_RANK if Role.EDGE in chosen else 0
        attempt.leave_no_copy = Role.PARENT in tiers and Role.PARENT not in chosen

    def choose_tiers(self, request: Request, tiers: set[Role]) -> set[Role]:
        """Return the tiers of the highest value and of the lowest cache rate that the prefilter admits."""
        popularity = request.popularity
        levels = {Role.EDGE: EDGE_LEVEL, Role.PARENT: 0}
        admitted = [tier for tier in HOP_VALUE if tier in tiers and popularity.level >= levels[tier]]
        value = {}
        rate = {}
        for tier in admitted:
            value[tier] = ALPHA * popularity.free_fraction + BETA * HOP_VALUE[tier] + GAMMA * popularity.level
            rate[tier] = self.rates.rate(tier, self.context.now)
        return {max(value, key=value.__getitem__), min(rate, key=rate.__getitem__)} if admitted else set()

    def pick_source(self, request: Request) -> Cache | None:
        """Return the source of a fill; None if there is none.

        The first trusted parent of the hub by hash is preferred, then any trusted parent by hash. The origin
        is used if no parent performs as well.
        """
        parents = self.context.ready[Role.PARENT]
        origins = self.context.ready[Role.ORIGIN]
        missed_parent = request.missed_parent
        preferred = self.context.hub_parents
        if (
            missed_parent
            and self.context.now - missed_parent.concurrency.decreased_at < OVERLOADED_PARENT_WINDOW
        ):
            preferred = parents
        if picked := self.pick_trusted(request, preferred or parents, 1.0):
            return picked
        candidates = [*self.choices(request, parents), *self.choices(request, origins)]
        success = 1 - min((cache.failure_rate() for cache in candidates), default=0.0)
        picked = self.pick_trusted(request, parents, success)
        if picked or any(cache in parents for cache in request.ruled_out):
            return picked or self.pick_trusted(request, origins, success)
        not_failed = (cache for cache in candidates if cache not in request.failed_caches)
        return max(not_failed, key=Cache.draw_success, default=None)

    def pick(self, request: Request, caches: CacheGroup, peer_success: float) -> Cache | None:
        """Return the first trusted cache by hash, else the best draw of those not ruled out."""
        if picked := self.pick_trusted(request, caches, peer_success):
            return picked
        ranked = [cache for cache in self.choices(request, caches) if cache not in request.ruled_out]
        not_failed = [cache for cache in ranked if cache not in request.failed_caches]
        return max(not_failed or ranked, key=Cache.draw_success, default=None)

    def pick_trusted(self, request: Request, caches: CacheGroup, peer_success: float) -> Cache | None:
        """Return the first cache by hash that is trusted, not ruled out, and has not failed the request."""
        excluded = request.ruled_out | request.failed_caches
        remaining = (cache for cache in self.choices(request, caches) if cache not in excluded)
        return next((cache for cache in remaining if cache.is_trusted(peer_success)), None)

    def choices(self, request: Request, caches: CacheGroup) -> Choices:
        """Return the first `MAX_CHOICES` caches of a group by hash; a request tries no others.

        Guards against work per request that grows with the number of caches if none is trusted or all are
        over their limits. Side effect: if none of the first `MAX_CHOICES` caches is usable, the request is
        rejected or sent to a failing cache, although a later one would have been usable.
        """
        return request.choices_in(caches, MAX_CHOICES)
