"""Requests beyond the bound of open ones are told to wait, and counted."""

from fronts import Stage, process


def test_rejections_beyond_open_cap_are_counted():
    stage = Stage(open_cap=2)
    stage.say(stage.client(), process(1), process(2), process(3), process(4))
    counts = stage.dispatcher.context.counters.counts
    assert counts["requests over open_cap"] == 2 and counts["requests"] == 2
