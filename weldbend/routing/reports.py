"""Information about a router's caches for other fronts."""

import math
from dataclasses import dataclass

from weldbend.routing.cache_state import Cache
from weldbend.routing.router import Router


@dataclass(frozen=True, slots=True)
class SlowStartDemand:
    """Work for a cache during its warm-up, in seconds of sending within the window of its overload rule.

    Attributes:
        fleet_budget: work that all fronts together may send; infinite if the cache is warm.
        sent: work that this front sent.
        wanted: work that this front would have sent without a quota.
        attempt_work: mean work of one attempt, for the request class in which it is highest; origin-only
            classes are left out.
    """

    fleet_budget: float
    sent: float
    wanted: float
    attempt_work: float


def health_counts(router: Router, now: float) -> dict[int, tuple[float, float]]:
    """Return the recent successes and failures at each cache by its number.

    For a cache that is being probed, or has been probed and does not receive all of its work yet, only the
    outcomes since probing started are counted.
    """
    return {cache.id: _health_count(cache, now) for cache in router.caches.values()}


def _health_count(cache: Cache, now: float) -> tuple[float, float]:
    if probe := cache.probe_counts:
        return probe.successes, probe.failures
    return cache.successes.total(now), cache.failures.total(now)


def slow_start_demand(router: Router, number: int, now: float) -> SlowStartDemand:
    """Return the demand for a cache during its warm-up, and the budget of the whole fleet for it."""
    cache = router.caches[number]
    statistics = router.context.statistics
    works = [statistics.mean_work(other) for other in statistics.classes if not other.origin_only]
    return SlowStartDemand(
        fleet_budget=math.inf if cache.is_warm() else cache.slow_start.budget() * cache.weight,
        sent=cache.sent_work.total(now),
        wanted=cache.wanted_work.total(now),
        attempt_work=max(works),
    )
