"""SIGHUP in a fleet: rates of request classes that an installation file has anew, changes or drops."""

from dataclasses import replace

import pytest
from loguru import logger

from weldbend.fleet.settings import LimitSettings
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings

SHAPE = FleetRunSettings(
    faults=0, fleet_faults=0, rate=60.0, seconds=24.0, calm=0.0, orders=0.0, edits=0.0, fronts=3
)
RATE = 12.0  # requests a second of all fronts, where some 60 come


@pytest.fixture(autouse=True)
def no_log():
    logger.remove()


def reloaded(*changes):
    """A run in which all fronts read files with these limits anew, at these seconds."""
    run = FleetRun(5, SHAPE)

    def reload(limits):
        for _, front in run.site.fronts.values():
            adapter = front.fleet_adapter
            adapter.reload(replace(adapter.fleet.settings, limits=limits))

    for at, limits in changes:
        run.events.schedule(at, lambda limits=limits: reload(limits))
    result = run.play()
    assert not result.violations and not result.errors
    return sorted(case.attempts[0].at for case in run.auditor.requests.values() if case.attempts)


def a_second(moments, since, until):
    return sum(since <= moment < until for moment in moments) / (until - since)


@pytest.mark.parametrize("kind", ["demand_rates", "leased_rates"])
def test_a_class_that_is_limited_anew_is_limited_and_one_that_is_no_more_is_not(kind):
    limits = LimitSettings(**{kind: (("photo", RATE),)})
    moments = reloaded((6.0, limits), (14.0, LimitSettings()))
    assert a_second(moments, 1.0, 5.0) > 2 * RATE
    assert 0.5 * RATE < a_second(moments, 8.0, 13.0) <= 1.3 * RATE
    assert a_second(moments, 16.0, 22.0) > 2 * RATE


def test_a_strict_rate_that_comes_back_is_never_exceeded():
    strict = LimitSettings(leased_rates=(("photo", RATE),))
    soft = LimitSettings(demand_rates=(("photo", 2 * RATE),))
    moments = [at for at in reloaded((4.0, strict), (10.0, soft), (11.0, strict)) if at >= 12.0]
    assert max(sum(at - 1.0 < other <= at for other in moments) for at in moments) <= RATE
    assert len(moments) > 0.5 * RATE * 10
