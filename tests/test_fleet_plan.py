"""Plans of faults and events for a fleet: their validation, their schedule and a repeatable simulated run."""

import pytest

from weldbend.testbed.faults.plan import InvalidPlanError
from weldbend.testbed.fleet.plan import parse_plan
from weldbend.testbed.fleet.plan_player import Player
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings


class RecordingBackend:
    """A backend that records the calls of the player in chronological order."""

    def __init__(self):
        self.calls, self.scheduled, self.now = [], [], 0.0

    def call_later(self, delay, call):
        self.scheduled.append((self.now + delay, len(self.scheduled), call))

    def __getattr__(self, name):
        return lambda *args, **options: self.calls.append((round(self.now, 2), name, *args))

    def report_event(self, **fields):
        pass

    def play(self, plan):
        Player(self).play(plan)
        while self.scheduled:
            self.scheduled.sort(key=lambda entry: entry[:2])
            self.now, _, call = self.scheduled.pop(0)
            call()
        return self.calls


def test_the_player_starts_and_ends_each_event_of_a_plan_at_its_time():
    plan = parse_plan(
        {
            "fleet": {"fronts": "3"},
            "a": {"at": "1 s", "do": "one-way", "who": "n1 | n2 n3", "for": "2 s"},
            "b": {"at": "2 s", "do": "kill", "who": "n2", "for": "1 s"},
            "c": {"at": "2500 ms", "do": "flap", "who": "n3", "for": "2 s", "every": "1 s"},
            "d": {"at": "4 s", "do": "apart", "who": "n1", "by": "1 min"},
            "e": {"do": "purge", "what": "7"},
        }
    )
    assert plan.seconds == 30.0  # the default duration
    # Paths (from, to) by number of the front. The flapping of n3 blocks its paths in every second interval of
    # 1 s; "apart" kills n1 and starts it 0.2 s later with its clock 60 s back.
    one_way, flapping = {(1, 2), (1, 3)}, {(3, 1), (3, 2), (1, 3), (2, 3)}
    assert RecordingBackend().play(plan) == [
        (0.0, "publish_purge", 7), (1.0, "block", one_way), (2.0, "kill", 2), (2.5, "block", flapping),
        (3.0, "unblock", one_way), (3.0, "start", 2), (3.5, "unblock", flapping), (4.0, "kill", 1),
        (4.2, "start", 1, -60.0), (4.5, "block", flapping), (5.5, "unblock", flapping),
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("section", "message"),
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
def test_an_invalid_plan_is_reported_in_one_line_with_its_section_and_key(section, message):
    with pytest.raises(InvalidPlanError) as raised:
        parse_plan({"strange": section})
    assert message in str(raised.value) and "[strange]" in str(raised.value) and "\n" not in str(raised.value)


def test_a_simulated_fleet_breaks_no_rule_in_a_plan_and_a_second_run_is_identical():
    plan = parse_plan(
        {
            "fleet": {"fronts": "3"},
            "a": {"at": "1 s", "do": "split", "who": "n1 | n2 | n3", "for": "2 s"},
            "b": {"at": "2 s", "do": "stop", "who": "n2", "for": "2 s"},
            "c": {"at": "3 s", "do": "restart", "who": "n3"},
            "d": {"at": "4 s", "do": "drain", "what": "e1"},
        }
    )

    def play_plan():
        run = FleetRun(
            1, FleetRunSettings(fronts=3, seconds=12.0, calm=0.0, faults=0, fleet_faults=0, rate=10.0)
        )
        Player(run).play(plan)
        return run.play()

    result = play_plan()
    assert not result.violations and not result.errors and not result.divergences
    assert result.digest() == play_plan().digest()
