"""Limits on the attempts of this front that are in flight at one cache, and at all parents together.

The limits are found by AIMD (additive increase, multiplicative decrease).
"""

import math

from weldbend.routing.cache_group import RoleGroup
from weldbend.routing.context import Context
from weldbend.routing.messages import Outcome
from weldbend.routing.records import CacheRecord
from weldbend.routing.settings import Role
from weldbend.routing.windows import PooledSum

DECREASE_FACTOR = 0.6  # factor by which a decrease multiplies a limit
DECREASE_INTERVAL = 0.1  # minimum number of seconds between two decreases
MIN_FLEET_LIMIT = 1.0  # lower bound of a limit, summed over all fronts that share the cache or the parents
INITIAL_SPREAD = 2.0  # initial limit: a front's fair share of the link plus this multiple of the share's root
INITIAL_LIMIT = 12.0  # initial limit at the origin, and at any cache whose link size is unknown
# Fraction of a cache's limit that is available to requests for which another cache of its role was ruled out.
SPILLOVER_FRACTION = 0.5
# Factor by which the class of the highest priority weight per second of sending may exceed a limit.
DENSEST_HEADROOM = 1.3
# Load of a fill that passes through a cache, relative to an attempt for which that cache does the work.
PASS_THROUGH_WEIGHT = 0.5
OVERLOAD_WINDOW = 3.0  # seconds of answers from which overload is detected
OVERLOAD_LATE_FRACTION = 0.15  # fraction of late answers above which a cache is considered overloaded


class ConcurrencyLimit:
    """The limit on this front's attempts in flight at one cache.

    Guards against overload. Side effect: a cache whose answers are late for another reason receives less load
    than it could handle.
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
        """Return whether one more attempt may be sent.

        If the free capacity is less than one attempt, the result is random, so that the attempts of many
        fronts together do not exceed the capacity of a link. The chance is close to the free capacity if many
        fronts share the cache, and 1 for a single front.

        Args:
            is_densest: whether no other class has a higher priority weight per second of sending.
            is_primary: whether no other cache of the same role was ruled out for the request, or this one has
                been looked up for it.
        """
        limit = self.limit * (DENSEST_HEADROOM if is_densest else 1.0)
        limit *= 1.0 if is_primary else SPILLOVER_FRACTION
        free = limit - len(self.cache.in_flight) - PASS_THROUGH_WEIGHT * self.cache.passing_through
        chance = free + (1 - free) / self.cache.sharing_fronts
        return free >= 1 or (free > 0 and self.cache.context.random.random() < chance)

    def count(self, outcome: Outcome) -> None:
        """Count an answer as timely, or as late or missing."""
        (self.timely if outcome is Outcome.SUCCESS else self.late).add(self.cache.context.now)
        if outcome is not Outcome.SUCCESS and self.cache.group is not None:
            self.cache.group.record_late(self)

    def adapt(self, outcome: Outcome) -> None:
        """Adapt the limit: additive increase after a success, multiplicative decrease under overload.

        The limit increases only while at least about half of it is used. As many successes as the limit
        allows attempts increase it by 1 / `zone_fronts`, so the limits of all fronts of the zone together
        increase by 1.
        """
        now = self.cache.context.now
        context = self.cache.context
        if outcome is Outcome.SUCCESS:
            is_used = 2 * len(self.cache.in_flight) + 1 >= self.limit
            self.limit += is_used / max(self.limit, 1) / context.settings.zone_fronts
        elif now >= self.decreased_at + DECREASE_INTERVAL:
            self.decrease_if_overloaded(now)

    def decrease_if_overloaded(self, now: float) -> None:
        """Decrease the limit if too many of the recent answers were late."""
        if is_overloaded(self.late.total(now), self.timely.total(now)):
            self.decreased_at = now
            self.limit = max(MIN_FLEET_LIMIT / self.cache.sharing_fronts, self.limit * DECREASE_FACTOR)


class ParentConcurrencyLimit:
    """The limit on this front's attempts in flight at all parents together, found by AIMD as for one cache.

    Guards against overload by many fronts that each send little: if every front could have one attempt in
    flight at each parent, they would add up to many times the capacity of the parents. The parent with the
    most late answers is ignored, because the cause may be a fault of that parent alone. Side effect: if two
    of many parents are overloaded, the load on the others is reduced as well.

    Attributes:
        decreased_at: time of the last decrease.
        fraction: the current limit as a fraction of the initial one; at most 1.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.decreased_at = -math.inf
        self.fraction = 1.0

    def limit(self) -> float:
        """Return the number of attempts that may be in flight, before the lower bound is applied."""
        weight = self.context.ready[Role.PARENT].ranking.weight()
        return self.fraction * initial_limit(weight * self.context.parent_fraction)

    def record(self, outcome: Outcome) -> None:
        """Adapt the limit to an outcome, similarly to that of a single cache.

        Differences: the limit never exceeds the initial one, an increase is 1 / `fraction` times as large,
        and a decrease needs at least two parents, because the worst one is ignored.
        """
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
        """Decrease the limit if the parents, without the one with the most late answers, are overloaded."""
        late = parents.late.total(now)
        timely = parents.timely.total(now)
        if worst := parents.most_late():
            late -= worst.late.total(now)
            timely -= worst.timely.total(now)
        if is_overloaded(late, timely):
            self.decreased_at = now
            self.fraction *= DECREASE_FACTOR

    def has_capacity(self, is_densest: bool) -> bool:
        """Return whether one more attempt may be sent.

        The result is random if the free capacity is less than one attempt, and always true if the sizes of
        links are unknown.
        """
        limit = max(self.limit(), MIN_FLEET_LIMIT * self.context.parent_fraction)
        free = limit * (DENSEST_HEADROOM if is_densest else 1.0) - self.context.parents_in_flight
        is_free = not self.context.settings.weighted or free >= 1
        return is_free or (free > 0 and self.context.random.random() < free)


def initial_limit(fair_quota: float) -> float:
    """Return the initial limit for a fair share of a link in flows; it has headroom for random arrivals."""
    return fair_quota + INITIAL_SPREAD * math.sqrt(fair_quota)


def is_overloaded(late: float, timely: float) -> bool:
    """Return whether too many answers were late to be explained by large objects.

    The number of late answers has to exceed `OVERLOAD_LATE_FRACTION` of all answers by more than one.
    """
    return late > 1 + OVERLOAD_LATE_FRACTION * (late + timely)
