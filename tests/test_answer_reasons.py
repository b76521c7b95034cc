"""The counters show for each rejected or failed request which rule decided so."""

import pytest
from fronts import TARGETS, FrontHarness, process

from weldbend.routing.events import LoopLagMeasured, RequestReceived


def reasons(harness):
    """Return the counters of rejected and failed requests that name a reason."""
    return {name: n for name, n in harness.counts.items() if name.startswith(("rejected: ", "failed: "))}


def measure_lag(harness):
    for _ in range(10):  # the average of the lag approaches 1 s, far above its limit
        harness.dispatcher.post(LoopLagMeasured(1.0))


def delay_reading(harness):
    """Make each request count as queued unread for 5 s."""
    harness.dispatcher.admission._request_received = lambda request: RequestReceived(
        request.id, request.parsed.key, 0, 3, "photo", 0.0, False, request.deadline, queued_for=5.0
    )


@pytest.mark.parametrize(
    ("targets", "disturb", "reason"),
    [
        (TARGETS, measure_lag, "event-loop lag"),
        (TARGETS, delay_reading, "time queued unread"),
        ((), lambda harness: None, "no usable cache"),
        # a cache whose connect was refused may have restarted
        (TARGETS, lambda harness: None, "slow-start budget"),
    ],
    ids=("event-loop lag", "queued unread", "no cache", "no reachable cache"),
)
def test_a_rejection_is_counted_under_its_reason(targets, disturb, reason):
    harness = FrontHarness(targets=targets)
    disturb(harness)
    harness.send(harness.connect_client(), process(1))
    for _ in range(6):  # more attempts than a request may have
        harness.fail_connects()
    assert harness.counts["rejected"] == 1
    assert reasons(harness) == {f"rejected: {reason}": 1}, reasons(harness)


def test_a_request_that_no_cache_answers_is_counted_under_its_deadline():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1, wait="300"))
    harness.complete_connects()
    for _ in range(40):
        harness.advance(0.01)
    assert reasons(harness) == {"rejected: deadline": 1}


def test_requests_rejected_at_a_shutdown_are_counted():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.dispatcher.admission.is_rejecting = True
    harness.send(client, process(1))
    assert harness.counts["requests rejected at a shutdown"] == 1
