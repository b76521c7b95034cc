"""What a router can tell other fronts of its caches. No decision is made here."""

import math
from dataclasses import dataclass

from weldbend.routing.cache_state import Cache
from weldbend.routing.router import Router


@dataclass(frozen=True, slots=True)
class SlowStartDemand:
    """What is put to a cache that warms up, in seconds of work within the window of its overload rule.

    Attributes:
        fleet_budget: what all fronts together may send; infinite where it is warm.
        sent: what this front sent.
        wanted: what this front would have sent.
        attempt_work: the work of one attempt, at most.
    """

    fleet_budget: float
    sent: float
    wanted: float
    attempt_work: float


def health_counts(router: Router, now: float) -> dict[int, tuple[float, float]]:
    """Successes and failures of late at each cache, by its number; those of its probe where there was one."""
    return {cache.id: _health_count(cache, now) for cache in router.caches.values()}


def _health_count(cache: Cache, now: float) -> tuple[float, float]:
    if probe := cache.probe_counts:
        return probe.successes, probe.failures
    return cache.successes.total(now), cache.failures.total(now)


def slow_start_demand(router: Router, number: int, now: float) -> SlowStartDemand:
    """What is put to a cache that warms up, and what it bears."""
    cache = router.caches[number]
    statistics = router.context.statistics
    works = [statistics.mean_work(other) for other in statistics.classes if not other.origin_only]
    return SlowStartDemand(
        fleet_budget=math.inf if cache.is_warm() else cache.slow_start.budget() * cache.weight,
        sent=cache.sent_work.total(now),
        wanted=cache.wanted_work.total(now),
        attempt_work=max(works),
    )
