"""Placement according to the paper: prefilter, value and cache rate of copies, and the choice by hash."""

from weldbend.routing.actions import AnswerReason
from weldbend.routing.actor import Actor
from weldbend.routing.cache_group import CacheGroup, Choices
from weldbend.routing.cache_rates import CacheRates
from weldbend.routing.cache_state import Cache
from weldbend.routing.context import Context
from weldbend.routing.messages import Blocked, PlacementMessage
from weldbend.routing.records import Attempt
from weldbend.routing.requests import Request
from weldbend.routing.settings import Role

ALPHA = 1  # weight of V_k in the paper: here the unused fraction of the prefilter's table
BETA = 1  # weight of V_hop in the paper: see HOP_VALUE
GAMMA = 1  # weight of V_hitk in the paper: here the popularity level of the object
HOP_VALUE = {Role.EDGE: 2, Role.PARENT: 1}  # V_hop in the paper, by tier
HIGHEST_LEVEL = 5  # highest prefilter level in the paper
EDGE_LEVEL = 2  # prefilter level from which an edge may store a copy
COPY_RANK = 2  # maximum rank with which an edge stores a copy
TABLE_SIZE = 8192  # number of objects that the prefilter remembers
RATE_WINDOW = 10.0  # seconds over which cache rates are measured
MAX_CHOICES = 32  # number of caches of a group, in the order of the hash, considered for one request
# If the limit of the parent that missed has decreased within this many seconds, the hub's parents are not
# preferred as sources.
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
            self.context.post(message, Blocked(None, AnswerReason.NO_CACHE))

    def plan(self, request: Request) -> Attempt | None:
        """Return the next attempt, or None if no cache can be used.

        Requests of an origin-only class go to the origin directly if the site allows that. Other requests go
        to an edge, or to a parent if no edge can be used. After a lookup that missed, the cache looked up is
        filled.
        """
        if request.request_class.origin_only and self.context.settings.allows_bypass:
            # peer success 0.0: no origin is excluded for its failures at other requests
            origin = self.pick(request, self.context.ready[Role.ORIGIN], 0.0)
            return Attempt(request, origin) if origin else None
        edges = self.context.ready[Role.EDGE]
        missed_cache = request.missed_cache
        if missed_cache is not None and missed_cache in edges and missed_cache not in request.ruled_out:
            return self.plan_fill(request, missed_cache)
        edge = self.pick(request, edges, edges.success_rate())
        if edge is None:
            return self.plan_at_parent(request)
        # no lookup at an edge in its warm-up: it has few copies, and an attempt uses slow-start budget
        if request.request_class.origin_only or not edge.is_warm():
            return self.plan_fill(request, edge)
        return Attempt(request, edge, rank=COPY_RANK if request.popularity.level >= EDGE_LEVEL else 0)

    def plan_at_parent(self, request: Request) -> Attempt | None:
        """Return an attempt at a parent if no edge can be used.

        The parent is first asked for its stored copy only. The attempt also involves the origin if the parent
        is known not to have the object, is warming up, or the class is never cached.
        """
        origins = self.context.ready[Role.ORIGIN]
        parent = None
        if self.context.settings.allows_bypass and origins:
            # peer success 0.0: no parent is excluded for its failures at other requests
            parent = self.pick(request, self.context.ready[Role.PARENT], 0.0)
        if parent is None:
            return None
        must_fetch = request.missed_parent or not parent.is_warm() or request.request_class.origin_only
        return Attempt(request, parent, origins.first() if must_fetch else None)

    def plan_fill(self, request: Request, edge: Cache) -> Attempt | None:
        """Return an attempt that fills an edge, or None if there is no source.

        A parent is first asked only for a copy that it has already stored. If it has one, the object has been
        requested before, maybe at another front, so the edge may store it as well. If it has none, the next
        attempt involves the origin. Guards against faults of the origin that make the stored copies of a
        parent unusable: only objects that the parent lacks count against the origin's limit. Side effect:
        these objects need one more round trip.
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
        """Decide which tiers store a copy, as `choose_tiers` describes."""
        request = attempt.request
        if attempt.only_if_cached:  # the parent has a copy, so only the edge may store one
            # below the edge's level the copy has a lower rank
            attempt.rank = min(COPY_RANK, request.popularity.level)
            return
        is_cacheable = not request.request_class.origin_only
        tiers = {cache.role for cache in attempt.caches() if cache.role in HOP_VALUE and is_cacheable}
        chosen = self.choose_tiers(request, tiers)
        self.rates.record(tiers, chosen, self.context.now)
        attempt.rank = COPY_RANK if Role.EDGE in chosen else 0
        attempt.leave_no_copy = Role.PARENT in tiers and Role.PARENT not in chosen

    def choose_tiers(self, request: Request, tiers: set[Role]) -> set[Role]:
        """Return the tier of the highest value and that of the lowest cache rate, which may be the same.

        Only tiers whose popularity level the object has reached are considered; the result may be empty.
        """
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

        The first trusted parent of the hub by hash is preferred, or of all zones if the hub has no ready
        parent or the parent that missed was overloaded recently. The next choice is the first parent by hash
        that performs about as well as the best parent or origin. If there is none, the result depends on
        whether a parent has been ruled out for this request: if so, it is a trusted origin or None; if not,
        it is the parent or origin with the highest drawn success rate.
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
        # peer success 1.0: a parent with failures is compared with one that has none
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
        """Return the first trusted cache by hash, or else the one with the highest drawn success rate.

        Caches that were ruled out are never returned, and those that failed this request only if there is no
        other.
        """
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
