"""Virtual runs in which Unix clocks are stepped and stamps are changed on their way: the rules hold."""

from dataclasses import replace

from weldbend.event_bus.remote_timestamps import DatedStart, RemoteTimestamps
from weldbend.front.endpoint_updates import EndpointUpdates
from weldbend.testbed.simulation.run import Run
from weldbend.testbed.simulation.settings import RunSettings

SEEDS = range(1, 9)  # within so many the sabotage is caught by both rules
SETTINGS = RunSettings(seconds=6.0, faults=8, clock_steps=4)
REWRITTEN_BORN = 49  # a seed whose drawn faults rewrite `born` in answers


def test_the_auditor_goes_by_what_caches_gave_out_and_not_by_a_stamp_changed_on_its_way():
    run = Run(REWRITTEN_BORN, RunSettings())
    result = run.play()
    assert any("rewrite" in name for name in result.injected)
    assert any('born": "1"' in line or "'born': '1'" in line for line in result.log)
    assert not result.violations, result.violations


def test_the_rules_hold_while_unix_clocks_are_stepped():
    for seed in SEEDS:
        result = Run(seed, SETTINGS).play()
        assert not result.violations and not result.errors, (seed, result.violations, result.errors)
        assert result.counts["fulfilled"] > 0.9 * result.counts["downloads"] > 200, seed


def dates_by_the_unix_clock_of_the_moment(monkeypatch):
    handle = EndpointUpdates.handle

    def handle_by_unix_clock(self, sequenced, receipt):
        self.context.timestamps.set_reading(self.context.clock.unix_ahead())
        handle(self, sequenced, receipt)

    def date_start(self, stamp, receipt):
        return DatedStart(self.convert(stamp), self.convert(stamp))

    def date_purge(self, stamp, receipt):
        return min(self.convert(stamp), receipt.arrived)

    monkeypatch.setattr(EndpointUpdates, "handle", handle_by_unix_clock)
    monkeypatch.setattr(RemoteTimestamps, "date_start", date_start)
    monkeypatch.setattr(RemoteTimestamps, "date_purge", date_purge)


def test_a_front_that_dates_by_the_unix_clock_of_the_moment_is_caught_by_both_rules(monkeypatch):
    dates_by_the_unix_clock_of_the_moment(monkeypatch)
    broken = {violation.rule for seed in SEEDS for violation in Run(seed, SETTINGS).play().violations}
    assert {"cold not pushed over", "purges kept"} <= broken


def test_steps_of_clocks_leave_the_drawn_load_and_the_other_faults_as_they_are():
    quiet = Run(3, replace(SETTINGS, clock_steps=0)).play()
    stepped = Run(3, SETTINGS).play()
    assert any("are stepped by" in line for line in stepped.log)
    assert quiet.counts["downloads"] == stepped.counts["downloads"]
