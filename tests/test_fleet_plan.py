"""Plans of what happens to a fleet: checked as a whole, played the same by real and virtual ones."""

import pytest

from weldbend.testbed.faults.plan import InvalidPlanError
from weldbend.testbed.fleet.plan import parse_plan
from weldbend.testbed.fleet.plan_player import Player
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings


class RecordingBackend:
    """A backend that records what it is asked for, in the order of time."""

    def __init__(self):
        self.lines, self.waiting, self.now = [], [], 0.0

    def call_later(self, delay, call):
        self.waiting.append((self.now + delay, len(self.waiting), call))

    def __getattr__(self, name):
        return lambda *args, **held: self.lines.append((round(self.now, 2), name, *args))

    def report_event(self, **said):
        pass

    def play(self, held):
        Player(self).play(held)
        while self.waiting:
            self.waiting.sort(key=lambda one: one[:2])
            self.now, _, call = self.waiting.pop(0)
            call()
        return self.lines


def test_each_event_comes_and_goes_in_its_time():
    held = parse_plan(
        {
            "fleet": {"fronts": "3"},
            "a": {"at": "1 s", "do": "one-way", "who": "n1 | n2 n3", "for": "2 s"},
            "b": {"at": "2 s", "do": "kill", "who": "n2", "for": "1 s"},
            "c": {"at": "2500 ms", "do": "flap", "who": "n3", "for": "2 s", "every": "1 s"},
            "d": {"at": "4 s", "do": "apart", "who": "n1", "by": "1 min"},
            "e": {"do": "purge", "what": "7"},
        }
    )
    assert held.seconds == 30.0
    pair, three = {(1, 2), (1, 3)}, {(3, 1), (3, 2), (1, 3), (2, 3)}
    assert RecordingBackend().play(held) == [
        (0.0, "publish_purge", 7), (1.0, "block", pair), (2.0, "kill", 2), (2.5, "block", three),
        (3.0, "unblock", pair), (3.0, "start", 2), (3.5, "unblock", three), (4.0, "kill", 1),
        (4.2, "start", 1, -60.0), (4.5, "block", three), (5.5, "unblock", three),
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("said", "wrong"),
    [
        ({"do": "split", "who": "n1"}, "lacks 'for'"),
        ({"do": "split", "who": "n1 n2 n3", "for": "1 s"}, "nobody is on the other side"),
        ({"do": "split", "who": "n1 | n1 n2", "for": "1 s"}, "a front on two sides"),
        ({"do": "kill", "who": "n1 | n2", "for": "1 s"}, "has no sides"),
        ({"do": "kill", "who": "n9", "for": "1 s"}, "'n9' is none of n1 to n3"),
        ({"do": "kill", "for": "1 s"}, "lacks 'who'"),
        ({"do": "burn", "who": "n1"}, "'burn' is none of split"),
        ({"who": "n1"}, "lacks 'do'"),
        ({"do": "drain", "who": "n1", "what": "e1"}, "is of the site"),
        ({"do": "lossy", "who": "n1", "for": "1 s", "share": "2"}, "at most 1"),
        ({"do": "stop", "who": "n1", "for": "1"}, "lacks its unit"),
        ({"do": "stop", "who": "n1", "for": "1 s", "colour": "red"}, "unknown key 'colour'"),
    ],
)
def test_a_bad_plan_is_one_line_with_its_section_and_key(said, wrong):
    with pytest.raises(InvalidPlanError) as told:
        parse_plan({"strange": said})
    assert wrong in str(told.value) and "[strange]" in str(told.value) and "\n" not in str(told.value)


def test_a_virtual_fleet_plays_a_plan_and_repeats_it_exactly():
    held = parse_plan(
        {
            "fleet": {"fronts": "3"},
            "a": {"at": "1 s", "do": "split", "who": "n1 | n2 | n3", "for": "2 s"},
            "b": {"at": "2 s", "do": "stop", "who": "n2", "for": "2 s"},
            "c": {"at": "3 s", "do": "restart", "who": "n3"},
            "d": {"at": "4 s", "do": "drain", "what": "e1"},
        }
    )

    def played():
        run = FleetRun(
            1, FleetRunSettings(fronts=3, seconds=12.0, calm=0.0, faults=0, fleet_faults=0, rate=10.0)
        )
        Player(run).play(held)
        return run.play()

    result = played()
    assert not result.violations and not result.errors and not result.divergences
    assert result.digest() == played().digest()
