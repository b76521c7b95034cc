"""Simulated runs in which Unix clocks are stepped or timestamps rewritten on the way: no rule is violated."""

from dataclasses import replace

import pytest

from weldbend.event_bus.remote_timestamps import RemoteTimestamps, StartInterval
from weldbend.front.endpoint_updates import EndpointUpdates
from weldbend.testbed.emulator.servers import EventBusServer
from weldbend.testbed.simulation.machine import Machine
from weldbend.testbed.simulation.run import Run
from weldbend.testbed.simulation.settings import BUS_HOST, BUS_PORT, RunSettings
from weldbend.testbed.simulation.site_faults import PURGED_GROUP

SEEDS = range(1, 9)  # enough seeds for `date_by_current_unix_clock` to violate both rules
SETTINGS = RunSettings(seconds=6.0, faults=8, clock_steps=4)
SETTINGS_WITHOUT_FAULTS = RunSettings(seconds=9.0, faults=0, connection_faults=0, clock_steps=0, rate=90.0)
HOUR = 3600.0
SEED_REWRITING_BORN = 49  # with it, random faults rewrite `born`, a copy's creation time, in answers


def test_the_auditor_uses_timestamps_as_caches_sent_them_not_as_rewritten_on_the_way():
    run = Run(SEED_REWRITING_BORN, RunSettings())
    result = run.play()
    assert any("rewrite" in name for name in result.injected)
    # A rewritten `born` of 1 is in the log.
    assert any('born": "1"' in line or "'born': '1'" in line for line in result.log)
    assert not result.violations, result.violations


def test_the_rules_hold_while_unix_clocks_are_stepped():
    for seed in SEEDS:
        result = Run(seed, SETTINGS).play()
        assert not result.violations and not result.errors, (seed, result.violations, result.errors)
        # Nine of ten requests are served, and the run has enough of them for the check to mean something.
        expected_answers = result.counts["downloads"] - result.counts["requests left open by clients"]
        assert result.counts["fulfilled"] > 0.9 * expected_answers > 200, seed


def date_by_current_unix_clock(monkeypatch):
    """Patch the front to date events by its current Unix clock, which may have been stepped."""
    handle = EndpointUpdates.handle

    def handle_by_unix_clock(self, sequenced, receipt):
        self.context.timestamps.set_unix_offset(self.context.clock.unix_offset())
        handle(self, sequenced, receipt)

    def estimate_start(self, stamp, receipt):
        return StartInterval(self.to_monotonic(stamp), self.to_monotonic(stamp))

    def estimate_purge_time(self, stamp, receipt):
        return min(self.to_monotonic(stamp), receipt.arrived)

    monkeypatch.setattr(EndpointUpdates, "handle", handle_by_unix_clock)
    monkeypatch.setattr(RemoteTimestamps, "estimate_start", estimate_start)
    monkeypatch.setattr(RemoteTimestamps, "estimate_purge_time", estimate_purge_time)


def test_dating_events_by_the_current_unix_clock_violates_both_rules(monkeypatch):
    date_by_current_unix_clock(monkeypatch)
    violated = {violation.rule for seed in SEEDS for violation in Run(seed, SETTINGS).play().violations}
    assert {"cold not pushed over", "purges kept"} <= violated


def test_clock_steps_leave_the_random_load_and_the_other_faults_unchanged():
    unstepped = Run(3, replace(SETTINGS, clock_steps=0)).play()
    stepped = Run(3, SETTINGS).play()
    assert any("are stepped by" in line for line in stepped.log)
    assert unstepped.counts["downloads"] == stepped.counts["downloads"]


# Events missed during an outage of three kinds: the bus cannot be reached, the bus restarts, and a reload of
# the configuration names another address of the bus.

OTHER_PORT = BUS_PORT + 1


def publish_missed_events(run):
    """Restart a cache without copies, and purge all objects of one group."""
    run.site.restart_cache("e1")
    run.site.publish(ban={"tag": PURGED_GROUP, "ts": run.site.unix_ms()})


def disconnect_bus(run):
    run.network.unreachable_hosts.add(BUS_HOST)
    run.events.schedule(1.5, lambda: run.network.unreachable_hosts.discard(BUS_HOST))


def restart_bus(run):
    previous = run.site.bus
    previous.reactor.kill()

    def restart():
        machine = Machine(run.network, "bus", BUS_HOST)
        run.site.bus = EventBusServer(machine, [])
        run.site.bus.events = previous.events
        machine.listenTCP(BUS_PORT, run.site.bus)

    run.events.schedule(1.0, restart)


def reload_with_another_bus(run):
    """Stop the old bus from sending; a second later, all fronts move to a new address of the bus."""
    run.site.bus.readers.clear()

    def switch_bus():
        run.site.bus.reactor.listenTCP(OTHER_PORT, run.site.bus)
        for _, front in run.site.fronts.values():
            front.bus.move(f"{BUS_HOST}:{OTHER_PORT}")

    run.events.schedule(1.0, switch_bus)


def violated_rules(start_outage, step, seed):
    """Return the rules violated in a run in which all clocks are stepped, 0.1 s before an outage begins."""
    run = Run(seed, SETTINGS_WITHOUT_FAULTS)
    outage_start, outage_end = 1.6, 4.2  # seconds; all fronts have caught up by then
    run.events.schedule(1.5, lambda: run.clock_steps.step(["n1", "n2", "n3"], step))
    run.events.schedule(outage_start, lambda: start_outage(run))
    run.events.schedule(outage_start + 0.2, lambda: publish_missed_events(run))
    # For the auditor, the fronts cannot know an event published during the outage before its end.
    for name in ("n1", "n2", "n3"):
        run.auditor.on_front_unreachable(name, outage_start, outage_end, False)
    result = run.play()
    assert not result.errors and result.counts["fulfilled"] > 200
    return {violation.rule for violation in result.violations}


@pytest.mark.parametrize("start_outage", [disconnect_bus, restart_bus, reload_with_another_bus])
def test_events_missed_during_an_outage_are_dated_correctly(start_outage, monkeypatch):
    for step, seed in ((HOUR, 1), (-HOUR, 2)):
        assert violated_rules(start_outage, step, seed) == set(), (step, seed)
    date_by_current_unix_clock(monkeypatch)
    assert any(violated_rules(start_outage, HOUR, seed) for seed in (1, 2))
