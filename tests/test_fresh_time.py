"""Guards against copies that are older than the fresh time of their class while no purge is known.

By the protocol of caches, the fresh time of the class applies to a command without an age limit. A front
sends a limit only for purged objects.
"""

import pytest
from fronts import RouterHarness, request_class

from weldbend.routing.events import ObjectsPurged
from weldbend.testbed.simulation.run import Run
from weldbend.testbed.simulation.settings import RunSettings

FRESH_TIME = 1.0  # seconds


def oldest_copy(run):
    """Play a run, and return the age in seconds of the oldest copy that a cache answered with."""
    ages = [0.0]
    run.auditor.on_copy_served = lambda cache, request, made_ms: ages.append(
        run.events.now - (run.events.now if made_ms is None else made_ms / 1000)
    )
    result = run.play()
    assert not result.errors
    return max(ages)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_without_a_purge_no_copy_past_its_fresh_time_is_served(seed):
    settings = RunSettings(seconds=6.0, fresh_time=FRESH_TIME, fault_kinds=("restart",), connection_faults=0)
    assert oldest_copy(Run(seed, settings)) <= FRESH_TIME
    without_limit = Run(seed, settings)
    without_limit.site.caches.fresh_time = 0.0  # a cache that takes a missing limit for any age
    assert oldest_copy(without_limit) > 2 * FRESH_TIME


@pytest.mark.parametrize(
    ("purge_age", "max_age"), [(None, 0.0), (3.0, 2.999), (20.0, 8.0)], ids=["none", "recent", "old"]
)
def test_the_age_limit_is_that_of_the_purge_but_at_most_the_fresh_time(purge_age, max_age):
    front = RouterHarness(
        classes={"photo": request_class(fresh_for=8.0)}, purge_grace=1.0, purge_complete_after=60.0
    )
    if purge_age is not None:
        front.handle(0.0, ObjectsPurged("k", 0, purge_age))
    front.request("a")
    sent = [line for line in front.trace if line.startswith("0.00 a:")]
    assert sent[0].endswith(f"age {max_age:.3f}") if max_age else "age" not in sent[0]
