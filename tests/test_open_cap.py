"""Requests beyond the maximum number of open requests (`open_cap`) are throttled and counted."""

from fronts import FrontHarness, process


def test_rejections_beyond_open_cap_are_counted():
    harness = FrontHarness(open_cap=2)
    harness.send(harness.connect_client(), process(1), process(2), process(3), process(4))
    counts = harness.dispatcher.context.counters.counts  # "requests" are those that were admitted
    assert counts["requests over open_cap"] == 2 and counts["requests"] == 2
