"""Reload of a fleet's settings (SIGHUP): rates of request classes that are added, changed or removed."""

from dataclasses import replace

import pytest
from loguru import logger

from weldbend.fleet.settings import LimitSettings
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings

RUN_SETTINGS = FleetRunSettings(
    faults=0, fleet_faults=0, rate=60.0, seconds=24.0, calm=0.0, orders=0.0, edits=0.0, fronts=3
)
CLASS_RATE = 12.0  # limit in requests per second at all fronts together; clients send about 60


@pytest.fixture(autouse=True)
def no_log():
    logger.remove()


def run_with_reloads(*changes):
    """Run a fleet and return the times of the first attempts of all requests.

    At the time `at` of each pair (at, limits) in `changes`, all fronts reload the settings with these limits.
    """
    run = FleetRun(5, RUN_SETTINGS)

    def reload(limits):
        for _, front in run.site.fronts.values():
            adapter = front.fleet_adapter
            adapter.reload(replace(adapter.fleet.settings, limits=limits))

    for at, limits in changes:
        run.events.schedule(at, lambda limits=limits: reload(limits))
    result = run.play()
    assert not result.violations and not result.errors
    return sorted(request.attempts[0].at for request in run.auditor.requests.values() if request.attempts)


def mean_rate(times, since, until):
    return sum(since <= time < until for time in times) / (until - since)


@pytest.mark.parametrize("kind", ["demand_rates", "leased_rates"])
def test_a_reload_adds_and_removes_the_rate_limit_of_a_class(kind):
    limits = LimitSettings(**{kind: (("photo", CLASS_RATE),)})
    attempt_times = run_with_reloads((6.0, limits), (14.0, LimitSettings()))
    assert mean_rate(attempt_times, 1.0, 5.0) > 2 * CLASS_RATE
    # A limit by demand can be exceeded briefly, so the upper bound is above the limit.
    assert 0.5 * CLASS_RATE < mean_rate(attempt_times, 8.0, 13.0) <= 1.3 * CLASS_RATE
    assert mean_rate(attempt_times, 16.0, 22.0) > 2 * CLASS_RATE


def test_a_leased_rate_that_a_reload_restores_is_never_exceeded():
    leased = LimitSettings(leased_rates=(("photo", CLASS_RATE),))
    by_demand = LimitSettings(demand_rates=(("photo", 2 * CLASS_RATE),))
    # From 10 s to 11 s, another limit, by demand and twice as high, replaces the leased one. The attempts
    # before 12 s are excluded: the window of one second before them began under that higher limit.
    attempt_times = [
        at for at in run_with_reloads((4.0, leased), (10.0, by_demand), (11.0, leased)) if at >= 12.0
    ]
    assert max(sum(at - 1.0 < other <= at for other in attempt_times) for at in attempt_times) <= CLASS_RATE
    # at least half of the limit for 10 of the remaining 12 s (12 s to 24 s)
    assert len(attempt_times) > 0.5 * CLASS_RATE * 10
