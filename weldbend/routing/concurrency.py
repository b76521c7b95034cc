"""Concurrency limits found by AIMD: what this front may have in flight at a cache, and at all parents."""

import math

from weldbend.routing.cache_group import RoleGroup
from weldbend.routing.context import Context
from weldbend.routing.messages import Outcome
from weldbend.routing.records import CacheRecord
from weldbend.routing.settings import Role
from weldbend.routing.windows import PooledSum

DECREASE_FACTOR = 0.6  # what a decrease leaves of a limit
DECREASE_INTERVAL = 0.1  # seconds between two decreases
MIN_FLEET_LIMIT = 1.0  # bound of a limit on what is in flight, for all fronts together
INITIAL_SPREAD = 2.0  # first limit: this front's quota of the cache's link, and so many roots of it
INITIAL_LIMIT = 12.0  # first limit where the sizes of links are not told
SPILLOVER_FRACTION = 0.5  # of a limit, open to what the hash meant for another cache
DENSEST_HEADROOM = 1.3  # how far the class with most priority weight for its work may pass a limit
PASS_THROUGH_WEIGHT = 0.5  # what a fill that passes an edge counts there, a lookup counting one
OVERLOAD_WINDOW = 3.0  # seconds of answers that tell an overload
OVERLOAD_LATE_FRACTION = 0.15  # of late answers among them, above which they do


class ConcurrencyLimit:
    """The limit on what this front has in flight at one cache.

    Guards against overload. Harm: one that is late for another cause gets less than it could bear.
    """

    def __init__(self, cache: CacheRecord) -> None:
        self.cache = cache
        is_link_size_known = cache.context.settings.weighted and cache.role is not Role.ORIGIN
        self.limit = (
            initial_limit(cache.weight / cache.sharing_fronts) if is_link_size_known else INITIAL_LIMIT
        )
        self.timely = PooledSum(OVERLOAD_WINDOW)
        self.late = PooledSum(OVERLOAD_WINDOW)
        self.decreased_at = -math.inf

    def has_capacity(self, is_densest: bool, is_primary: bool) -> bool:
        """Whether one more may go; below one it is a chance, so that many fronts do not add up to a link."""
        limit = self.limit * (DENSEST_HEADROOM if is_densest else 1.0)
        limit *= 1.0 if is_primary else SPILLOVER_FRACTION
        free = limit - len(self.cache.in_flight) - PASS_THROUGH_WEIGHT * self.cache.passing_through
        chance = free + (1 - free) / self.cache.sharing_fronts
        return free >= 1 or (free > 0 and self.cache.context.random.random() < chance)

    def count(self, outcome: Outcome) -> None:
        """Count an answer that came in time, or one that was late or none."""
        (self.timely if outcome is Outcome.SUCCESS else self.late).add(self.cache.context.now)
        if outcome is not Outcome.SUCCESS and self.cache.group is not None:
            self.cache.group.record_late(self)

    def adapt(self, outcome: Outcome) -> None:
        """Additive increase, by one for all fronts of the zone, where it is used; multiplicative decrease."""
        now = self.cache.context.now
        context = self.cache.context
        if outcome is Outcome.SUCCESS:
            is_used = 2 * len(self.cache.in_flight) + 1 >= self.limit
            self.limit += is_used / max(self.limit, 1) / context.settings.zone_fronts
        elif now >= self.decreased_at + DECREASE_INTERVAL:
            self.decrease_if_overloaded(now)

    def decrease_if_overloaded(self, now: float) -> None:
        """Decrease the limit where more than a few answers came late."""
        if is_overloaded(self.late.total(now), self.timely.total(now)):
            self.decreased_at = now
            self.limit = max(MIN_FLEET_LIMIT / self.cache.sharing_fronts, self.limit * DECREASE_FACTOR)


class ParentConcurrencyLimit:
    """The limit on what is in flight from here at all parents together, found by AIMD as for each of them.

    Guards against many fronts that each see little: limits of one attempt and more at each parent add up to
    many times what parents bear. The worst parent is left out, as its fault may be its own. Harm: where two
    of many are overloaded, what goes to the others is decreased as well.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.decreased_at = -math.inf
        self.fraction = 1.0

    def limit(self) -> float:
        """Attempts that may be in flight."""
        weight = self.context.ready[Role.PARENT].ranking.weight()
        return self.fraction * initial_limit(weight * self.context.parent_fraction)

    def record(self, outcome: Outcome) -> None:
        """Increase after a success, decrease after an answer that was late or none."""
        now = self.context.now
        parents = self.context.ready[Role.PARENT]
        if outcome is Outcome.SUCCESS:
            limit = self.limit()
            if 2 * self.context.parents_in_flight + 1 >= limit:
                step = 1 / max(limit, 1) ** 2 / self.context.settings.zone_fronts
                self.fraction = min(1.0, self.fraction + step)
        elif now >= self.decreased_at + DECREASE_INTERVAL and len(parents) > 1:
            self.decrease_if_overloaded(parents, now)

    def decrease_if_overloaded(self, parents: RoleGroup, now: float) -> None:
        """Decrease the limit where all parents but the worst one are late together."""
        late = parents.late.total(now)
        timely = parents.timely.total(now)
        if worst := parents.most_late():
            late -= worst.late.total(now)
            timely -= worst.timely.total(now)
        if is_overloaded(late, timely):
            self.decreased_at = now
            self.fraction *= DECREASE_FACTOR

    def has_capacity(self, is_densest: bool) -> bool:
        """Whether one more may go, below one by chance; always where the sizes of links are not told."""
        limit = max(self.limit(), MIN_FLEET_LIMIT * self.context.parent_fraction)
        free = limit * (DENSEST_HEADROOM if is_densest else 1.0) - self.context.parents_in_flight
        is_free = not self.context.settings.weighted or free >= 1
        return is_free or (free > 0 and self.context.random.random() < free)


def initial_limit(fair_quota: float) -> float:
    """A fair quota of a link, and room for the scatter of arrivals."""
    return fair_quota + INITIAL_SPREAD * math.sqrt(fair_quota)


def is_overloaded(late: float, timely: float) -> bool:
    """Whether more than one answer, and too large a part of them, came late: overload, not large objects."""
    return late > 1 + OVERLOAD_LATE_FRACTION * (late + timely)
