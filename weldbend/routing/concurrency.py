"""Concurrency limits found by AIMD, for this front's attempts in flight at a cache and at all parents."""

import math

from weldbend.routing.cache_group import RoleGroup
from weldbend.routing.context import Context
from weldbend.routing.messages import Outcome
from weldbend.routing.records import CacheRecord
from weldbend.routing.settings import Role
from weldbend.routing.windows import PooledSum

DECREASE_FACTOR = 0.6  # factor by which a decrease multiplies a limit
DECREASE_INTERVAL = 0.1  # minimum number of seconds between two decreases
MIN_FLEET_LIMIT = 1.0  # lower bound of a limit on attempts in flight, summed over all fronts
INITIAL_SPREAD = 2.0  # initial limit: a front's fair share of the link plus this multiple of its square root
INITIAL_LIMIT = 12.0  # initial limit if the size of the link is unknown
# Fraction of a limit that is available to requests whose first choice is another cache.
SPILLOVER_FRACTION = 0.5
DENSEST_HEADROOM = 1.3  # factor by which the class of the highest priority density may exceed a limit
PASS_THROUGH_WEIGHT = 0.5  # load of a fill passing through an edge, relative to that of a lookup
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
        fronts together do not exceed the capacity of a link.
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

        The increase applies only while the limit is in use. Over as many successes as the limit allows
        attempts, the increases of all fronts of the zone add up to one.
        """
        now = self.cache.context.now
        context = self.cache.context
        if outcome is Outcome.SUCCESS:
            is_used = 2 * len(self.cache.in_flight) + 1 >= self.limit
            self.limit += is_used / max(self.limit, 1) / context.settings.zone_fronts
        elif now >= self.decreased_at + DECREASE_INTERVAL:
            self.decrease_if_overloaded(now)

    def decrease_if_overloaded(self, now: float) -> None:
        """Decrease the limit if more than a few answers were late."""
        if is_overloaded(self.late.total(now), self.timely.total(now)):
            self.decreased_at = now
            self.limit = max(MIN_FLEET_LIMIT / self.cache.sharing_fronts, self.limit * DECREASE_FACTOR)


class ParentConcurrencyLimit:
    """The limit on this front's attempts in flight at all parents together, found by AIMD as for one cache.

    Guards against overload by many fronts that each send little: limits of at least one attempt at each
    parent add up to many times the capacity of the parents. The parent with the most late answers is ignored,
    because the cause may be a fault of that parent alone. Side effect: if two of many parents are overloaded,
    the load on the others is reduced as well.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.decreased_at = -math.inf
        self.fraction = 1.0

    def limit(self) -> float:
        """Return the number of attempts that may be in flight."""
        weight = self.context.ready[Role.PARENT].ranking.weight()
        return self.fraction * initial_limit(weight * self.context.parent_fraction)

    def record(self, outcome: Outcome) -> None:
        """Adapt the limit to an outcome, as for a single cache."""
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
    """Return a fair share of a link plus headroom for the variation of arrivals."""
    return fair_quota + INITIAL_SPREAD * math.sqrt(fair_quota)


def is_overloaded(late: float, timely: float) -> bool:
    """Return whether too many answers were late to be explained by large objects.

    More than one answer and more than `OVERLOAD_LATE_FRACTION` of all have to be late.
    """
    return late > 1 + OVERLOAD_LATE_FRACTION * (late + timely)
