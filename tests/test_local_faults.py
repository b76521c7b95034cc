"""Faults of this machine say nothing about a cache: they cost no budget, no attempt and no trust."""

import pytest
from fronts import Front

from weldbend.routing.events import AttemptResult


def test_attempts_that_never_left_this_machine_spend_neither_attempts_nor_retry_budget():
    front = Front(max_attempts=2)
    front.ask("d")
    for _ in range(5):
        front.end("d", AttemptResult.LOCAL_FAULT)
    front.end("d", AttemptResult.SERVED)
    assert front.attempts["d"] == 6 and not any("throttled" in line for line in front.trace)
    assert front.router.admission.retries.total(front.now) == 0


@pytest.mark.parametrize("result", [AttemptResult.LOCAL_FAULT, AttemptResult.UNREACHABLE])
def test_a_fault_of_this_machine_is_no_evidence_against_a_cache_and_a_refusal_is(result):
    front = Front()
    front.ask("d")
    first = front.trace[-1].split()[2]
    front.end("d", result)
    cache = next(c for c in front.router.context.caches.values() if str(c.id) == first)
    is_known = result is AttemptResult.UNREACHABLE
    assert (cache.failures.total(front.now) > 0) == is_known
    assert (cache.breaks.broken_at > 0 or cache.breaks.unreachable_at >= 0) == is_known
    assert (front.trace[-1].split()[2] != first) == is_known  # it is asked again, or another is
