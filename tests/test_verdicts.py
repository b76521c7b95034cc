"""Ejections of caches and bans of clients by a fleet: the evidence they need, their end and the recovery.

The tests guard against ejections by a single front or by fronts with faulty networks, and against the
ejection of so many caches that the rest would be overloaded.
"""

import pytest
from loguru import logger

from weldbend.fleet import outlier_detection
from weldbend.fleet.health_reports import HealthReport
from weldbend.fleet.outlier_detection import (
    CacheBreak,
    ClientBan,
    EjectionState,
    OutlierDetector,
    assess_outlier,
    banned_clients,
    unlisted_starts,
)
from weldbend.fleet.settings import LimitSettings
from weldbend.testbed.fleet.simulated_fleet import QUICK_FLEET_SETTINGS, FleetRun, FleetRunSettings
from weldbend.testbed.simulation.auditor import Auditor

HEALTHY, FAILING = (9.0, 0.0), (1.0, 8.0)
ZONES = {"a": "u", "b": "u", "c": "l", "d": "l"}


def reports(other_caches=(50.0, 0.0), **records):
    return [HealthReport(name, True, 0.5, record, tuple(map(sum, zip(other_caches, record, strict=True))))
            for name, record in records.items()]  # fmt: skip


def assess(own="u", **records):
    return assess_outlier(reports(**records), ZONES, own)


def test_one_reporter_alone_ejects_no_cache():
    assert not assess(a=FAILING).is_outlier
    assert not assess(a=FAILING, b=HEALTHY, c=HEALTHY).is_outlier
    assert assess(a=FAILING, b=FAILING).is_outlier


def test_an_ejection_needs_a_majority_of_the_fronts_with_evidence():
    assert not assess(
        a=FAILING, b=HEALTHY, c=FAILING, d=HEALTHY
    ).is_outlier, "half of the reporters are not a majority"
    assert assess(a=FAILING, b=FAILING, c=HEALTHY).reporters == ("a", "b")
    assert not assess(
        a=FAILING, b=(0.5, 1.0), c=HEALTHY, d=HEALTHY
    ).is_outlier, "a reporter with too few attempts does not count"


def test_reports_of_a_front_with_a_faulty_network_do_not_count():
    mixed_reports = [*reports(other_caches=(2.0, 40.0), a=FAILING, b=FAILING), *reports(c=HEALTHY)]
    assert not assess_outlier(mixed_reports, ZONES, "u").is_outlier


def test_a_cache_that_fails_for_one_zone_is_ejected_in_that_zone():
    records = {"a": FAILING, "b": FAILING, "c": HEALTHY, "d": HEALTHY}
    assert assess("u", **records) == outlier_detection.OutlierAssessment(True, ("a", "b"), "u")
    assert not assess("l", **records).is_outlier
    assert assess("u", a=FAILING, b=FAILING, c=FAILING, d=FAILING).zone == ""


KINDS = {f"e{n}": "EDGE" for n in range(1, 7)}


def tick(detector, now, alive="bcd", **reports_by_cache):
    return detector.tick(now, reports_by_cache, KINDS, dict.fromkeys("abcd", "u"), alive)


def prober_of(uid, round_, fronts="abcd"):
    return max(fronts, key=lambda name: outlier_detection.rank(uid, round_, name))


def test_after_an_ejection_one_front_probes_and_then_all_ramp_up():
    detectors = {name: OutlierDetector(name) for name in "abcd"}

    def tick_all(now, **reports_by_cache):
        return {
            name: tick(detector, now, set("abcd") - {name}, **reports_by_cache).get("e1")
            for name, detector in detectors.items()
        }

    prober = prober_of("e1", 1)
    assert set(tick_all(0.0, e1=reports(a=FAILING, b=FAILING)).values()) == {0.0}
    assert set(tick_all(1.9).values()) == {0.0}
    half_open = tick_all(2.0)
    assert half_open == {
        name: (outlier_detection.HALF_OPEN_FRACTION if name == prober else 0.0) for name in "abcd"
    }
    tick_all(3.0, e1=reports(**{prober: (1.0, 8.0)}))
    assert (
        tick_all(3.5, e1=reports(**{prober: (1.0, 8.0)})) == half_open
    ), "failures from before the probe are not its result"
    ramp = tick_all(4.0, e1=reports(**{prober: (4.0, 7.0)}))
    assert set(ramp.values()) == {outlier_detection.RAMP_START}
    assert {round(part, 2) for part in tick_all(6.0).values()} == {0.55}
    assert set(tick_all(8.0).values()) == {1.0}
    assert detectors["a"].records["e1"].state is EjectionState.ADMITTED
    tick_all(80.0)
    assert "e1" not in detectors["a"].records


def test_each_failed_probe_lengthens_the_next_ejection():
    detector = OutlierDetector("a")
    tick(detector, 0.0, e1=reports(a=FAILING, b=FAILING))
    record, durations = detector.records["e1"], [2.0]
    for _ in range(7):
        tick(detector, now := record.until)
        for bad in (8.0, 11.0):
            tick(detector, now := now + 0.5, e1=reports(**{prober_of("e1", record.round): (1.0, bad)}))
        assert record.state is EjectionState.EJECTED
        durations.append(record.until - now)
    assert durations[:3] == [2.0, 3.0, 4.5] and durations[-1] == outlier_detection.MAX_EJECTION_SECONDS


def test_a_prober_that_reports_nothing_is_replaced():
    detector = OutlierDetector("a")
    tick(detector, 0.0, e1=reports(a=FAILING, b=FAILING))
    rounds = []
    for step in range(5):
        tick(detector, 2.0 + 5.0 * step)
        rounds.append(detector.records["e1"].round)
    assert rounds == [1, 2, 3, 4, 5]
    assert len({prober_of("e1", round_) for round_ in rounds}) > 1


def test_no_more_than_a_third_of_the_caches_of_a_kind_are_ejected():
    detector = OutlierDetector("a")
    fractions = tick(detector, 0.0, **{uid: reports(a=FAILING, b=FAILING) for uid in KINDS})
    assert len(fractions) == 2, "if all caches fail at once, the cause is not in single caches"
    assert [(change.cache, change.before, change.after) for change in detector.pop_changes()] == [
        (u, EjectionState.ADMITTED, EjectionState.EJECTED) for u in ("e1", "e2")
    ]


def test_a_client_ban_needs_two_fronts_and_expires():
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0)]}, 600.0, 6.0) == {}
    assert (
        banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("a", 9.0)]}, 600.0, 10.0) == {}
    ), "two reports of one front"
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 9.0)]}, 600.0, 10.0) == {
        "10.0.0.9": 609.0
    }
    assert (
        banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 95.0)]}, 600.0, 100.0) == {}
    ), "reports too far apart in time"
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 9.0)]}, 600.0, 610.0) == {}


def test_an_unlisted_start_needs_two_observers():
    def starts(**break_times):
        return unlisted_starts(CacheBreak("e1", front, at) for front, at in break_times.items())

    assert starts(a=5.0) == {}
    assert starts(a=5.0, b=7.0) == {"e1": 7.0}
    assert starts(a=5.0, b=17.0, c=16.0) == {"e1": 17.0}


# Simulated fleets.


@pytest.fixture(autouse=True)
def no_log():
    logger.remove()


class FailingCaches:
    """A fault that makes the caches in `uids` fail all commands."""

    def __init__(self, run):
        self.run, self.uids = run, set()
        original = run.site.caches.execute

        def execute(uid, *arguments):
            if uid in self.uids:
                raise KeyError(uid)
            return original(uid, *arguments)

        run.site.caches.execute = execute


def play(ejects, failing_seconds=9.0, seed=1, **changed_settings):
    run_settings = {
        "faults": 0,
        "fleet_faults": 0,
        "rate": 60.0,
        "seconds": 30.0,
        "calm": 0.0,
        "orders": 0.0,
        "edits": 0.0,
    }
    fleet_settings = QUICK_FLEET_SETTINGS.__class__(
        probe_interval=0.2,
        probe_timeout=0.08,
        isolation_timeout=1.5,
        pause_threshold=0.5,
        summary_interval=0.3,
        limits=LimitSettings(ejections=ejects),
    )
    fleet_run = FleetRun(
        seed, FleetRunSettings(**run_settings | {"edges": 6, "fleet": fleet_settings} | changed_settings)
    )
    fleet_run.failing_caches = FailingCaches(fleet_run)
    fleet_run.events.schedule(4.0, lambda: fleet_run.failing_caches.uids.add("e1"))
    fleet_run.events.schedule(4.0 + failing_seconds, lambda: fleet_run.failing_caches.uids.clear())
    fleet_run.result = fleet_run.play()
    assert not fleet_run.result.violations and not fleet_run.result.errors
    return fleet_run


def count_attempts(fleet_run, uid, since, until):
    all_attempts = [
        attempt for request in fleet_run.auditor.requests.values() for attempt in request.attempts
    ]
    return sum(attempt.cache == uid and since <= attempt.at < until for attempt in all_attempts)


def test_a_failing_cache_is_tried_less_by_all_fronts_and_recovers_by_a_ramp():
    with_, without = play(True), play(False)
    attempts_with, attempts_without = (
        count_attempts(with_, "e1", 4.0, 13.0),
        count_attempts(without, "e1", 4.0, 13.0),
    )
    assert attempts_with <= attempts_without, (attempts_with, attempts_without)
    counts_by_front = [
        front_counts
        for entry in with_.site.fronts.values()
        for front_counts in [entry[1].fleet_adapter.quota_service.counts]
    ]
    assert all(counts["ejection state: ejected"] >= 1 for counts in counts_by_front)
    assert all(counts["ejection state: recovering"] >= 1 for counts in counts_by_front)
    assert all(counts["ejection state: admitted"] >= 1 for counts in counts_by_front)
    recovered, never_ejected = (count_attempts(fleet_run, "e1", 26.0, 30.0) for fleet_run in (with_, without))
    assert recovered >= never_ejected > 0, (recovered, never_ejected)
    assert recovered > 0.5 * count_attempts(with_, "e1", 0.0, 4.0)


def test_a_front_that_reaches_half_of_the_caches_ejects_none():
    def block_caches(fleet_run):
        hosts = {fleet_run.site.machines[uid].host for uid in ("e1", "e2", "e3")}
        fleet_run.network.blocked_paths |= {(h, "10.0.0.1") for h in hosts} | {("10.0.0.1", h) for h in hosts}

    run_settings = {"faults": 0, "fleet_faults": 0, "rate": 60.0, "seconds": 16.0, "calm": 0.0, "edges": 6}
    fleet_run = FleetRun(2, FleetRunSettings(**run_settings))
    fleet_run.events.schedule(3.0, lambda: block_caches(fleet_run))
    result = fleet_run.play()
    assert not result.errors
    for number in (2, 3, 4):
        assert (
            fleet_run.site.fronts[number][1].fleet_adapter.quota_service.counts["ejection state: ejected"]
            == 0
        )


def test_a_client_banned_by_two_fronts_is_refused_by_a_third():
    fleet_run = FleetRun(3, FleetRunSettings(faults=0, fleet_faults=0, rate=10.0, seconds=12.0, calm=0.0))
    for number, at in ((1, 3.0), (2, 5.0)):
        fleet_run.events.schedule(
            at, lambda n=number: fleet_run.site.fronts[n][1].gateway.report_ban("10.0.9.9")
        )
    admitted = {}
    for at in (4.0, 7.0):
        fleet_run.events.schedule(
            at,
            lambda at=at: admitted.update({at: fleet_run.site.fronts[3][1].gateway.is_admitted("10.0.9.9")}),
        )

    def override(number, client, text):
        fleet_run.site.fronts[number][1].fleet_adapter.quota_service.bans.set_override(client, text)

    fleet_run.events.schedule(8.0, lambda: override(4, "10.0.9.9", "pardon"))
    fleet_run.events.schedule(
        10.0, lambda: admitted.update({10.0: fleet_run.site.fronts[3][1].gateway.is_admitted("10.0.9.9")})
    )
    fleet_run.events.schedule(11.0, lambda: override(1, "10.0.9.8", "until 9999999999"))
    fleet_run.events.schedule(
        11.5, lambda: admitted.update({11.5: fleet_run.site.fronts[2][1].gateway.is_admitted("10.0.9.8")})
    )
    assert not fleet_run.play().errors
    assert admitted == {4.0: True, 7.0: False, 10.0: True, 11.5: False}


def test_leased_rates_hold_for_the_whole_fleet_during_a_partition():
    limits = LimitSettings(leased_rates=(("photo", 30.0),), slow_start=False)
    fleet_settings = QUICK_FLEET_SETTINGS.__class__(
        probe_interval=0.2,
        probe_timeout=0.08,
        isolation_timeout=1.5,
        pause_threshold=0.5,
        summary_interval=0.3,
        limits=limits,
    )
    run_settings = FleetRunSettings(
        faults=0,
        fleet_faults=0,
        rate=60.0,
        seconds=20.0,
        calm=0.0,
        orders=0.0,
        edits=0.0,
        fleet=fleet_settings,
    )
    fleet_run = FleetRun(4, run_settings)
    fleet_run.events.schedule(12.0, lambda: fleet_run.split({1, 2}, 6.0))
    result = fleet_run.play()
    assert not result.violations and not result.errors
    attempt_times = sorted(
        request.attempts[0].at
        for request in fleet_run.auditor.requests.values()
        if request.attempts and request.request_class == "photo"
    )
    worst = max(sum(at - 1.0 < other <= at for other in attempt_times) for at in attempt_times)
    assert 20 <= worst <= 30, worst
    assert result.counts["throttled"] > 300 and isinstance(fleet_run.auditor, Auditor)
