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

HEALTHY, FAILING = (9.0, 0.0), (1.0, 8.0)  # numbers of successful and of failed answers
ZONES = {"a": "u", "b": "u", "c": "l", "d": "l"}  # zone of each front


def reports(other_caches=(50.0, 0.0), **records):
    """Return health reports of different fronts on one cache.

    Args:
        other_caches: numbers of successful and of failed answers that each front got from all other caches.
        records: the same for the cache on which the fronts report, by the name of the front.
    """
    return [HealthReport(name, True, 0.5, record, tuple(map(sum, zip(other_caches, record, strict=True))))
            for name, record in records.items()]  # fmt: skip


def assess(own="u", **records):
    """Return the assessment of a cache by a front in the zone `own`, from reports by name of their front."""
    return assess_outlier(reports(**records), ZONES, own)


def test_failures_that_only_one_front_reports_eject_no_cache():
    assert not assess(a=FAILING).is_outlier
    assert not assess(a=FAILING, b=HEALTHY, c=HEALTHY).is_outlier
    assert assess(a=FAILING, b=FAILING).is_outlier


def test_an_ejection_needs_a_majority_of_the_fronts_with_enough_answers_of_the_cache():
    assert not assess(
        a=FAILING, b=HEALTHY, c=FAILING, d=HEALTHY
    ).is_outlier, "half of the fronts, in the own zone and in all zones, are not a majority"
    assert assess(a=FAILING, b=FAILING, c=HEALTHY).reporters == ("a", "b")
    assert not assess(
        a=FAILING, b=(0.5, 1.0), c=HEALTHY, d=HEALTHY
    ).is_outlier, "b's report has 1.5 answers, fewer than MIN_ANSWERS"


def test_reports_of_a_front_with_a_faulty_network_do_not_count():
    # a and b fail at the other caches, too: 40 of 42 answers.
    mixed_reports = [*reports(other_caches=(2.0, 40.0), a=FAILING, b=FAILING), *reports(c=HEALTHY)]
    assert not assess_outlier(mixed_reports, ZONES, "u").is_outlier


def test_a_cache_that_fails_only_for_the_fronts_of_one_zone_is_ejected_in_that_zone_only():
    records = {"a": FAILING, "b": FAILING, "c": HEALTHY, "d": HEALTHY}
    assert assess("u", **records) == outlier_detection.OutlierAssessment(True, ("a", "b"), "u")
    assert not assess("l", **records).is_outlier
    # The zone is empty for an ejection in all zones.
    assert assess("u", a=FAILING, b=FAILING, c=FAILING, d=FAILING).zone == ""


KINDS = {f"e{n}": "EDGE" for n in range(1, 7)}  # kind of each cache


def tick(detector, now, alive="bcd", **reports_by_cache):
    """Return the fraction of its load that each recorded cache may get; all fronts are in one zone."""
    return detector.tick(now, reports_by_cache, KINDS, dict.fromkeys("abcd", "u"), alive)


def prober_of(uid, round_, fronts="abcd"):
    """Return the front that probes a half-open cache in a round: the one that ranks highest."""
    return max(fronts, key=lambda name: outlier_detection.rank(uid, round_, name))


def test_after_an_ejection_one_front_probes_and_then_all_increase_their_load_gradually():
    detectors = {name: OutlierDetector(name) for name in "abcd"}

    def tick_all(now, **reports_by_cache):
        return {
            name: tick(detector, now, set("abcd") - {name}, **reports_by_cache).get("e1")
            for name, detector in detectors.items()
        }

    prober = prober_of("e1", 1)
    assert set(tick_all(0.0, e1=reports(a=FAILING, b=FAILING)).values()) == {0.0}
    assert set(tick_all(1.9).values()) == {0.0}  # the first ejection lasts 2 s
    half_open = tick_all(2.0)
    assert half_open == {
        name: (outlier_detection.HALF_OPEN_FRACTION if name == prober else 0.0) for name in "abcd"
    }
    # The first report in this state is the baseline: only answers beyond it are results of the probe.
    tick_all(3.0, e1=reports(**{prober: (1.0, 8.0)}))
    assert tick_all(3.5, e1=reports(**{prober: (1.0, 8.0)})) == half_open, "the report has no new answers"
    # 4 - 1 = 3 new successful answers (RECOVERED_ANSWERS) start the recovery, which takes 4 s (RAMP_SECONDS).
    ramp = tick_all(4.0, e1=reports(**{prober: (4.0, 7.0)}))
    assert set(ramp.values()) == {outlier_detection.RAMP_START}
    assert {round(part, 2) for part in tick_all(6.0).values()} == {0.55}  # 0.1 + (1 - 0.1) * 2 s / 4 s
    assert set(tick_all(8.0).values()) == {1.0}
    assert detectors["a"].records["e1"].state is EjectionState.ADMITTED
    tick_all(80.0)  # more than FORGET_SECONDS after the recovery
    assert "e1" not in detectors["a"].records


def test_each_failed_probe_lengthens_the_next_ejection():
    detector = OutlierDetector("a")
    tick(detector, 0.0, e1=reports(a=FAILING, b=FAILING))
    record, durations = detector.records["e1"], [2.0]
    for _ in range(7):
        tick(detector, now := record.until)
        for bad in (8.0, 11.0):  # the baseline, and 3 new failed answers: the probe fails
            tick(detector, now := now + 0.5, e1=reports(**{prober_of("e1", record.round): (1.0, bad)}))
        assert record.state is EjectionState.EJECTED
        durations.append(record.until - now)
    # Each ejection is half as long again as the one before.
    assert durations[:3] == [2.0, 3.0, 4.5] and durations[-1] == outlier_detection.MAX_EJECTION_SECONDS


def test_a_prober_that_reports_nothing_is_replaced():
    detector = OutlierDetector("a")
    tick(detector, 0.0, e1=reports(a=FAILING, b=FAILING))
    rounds = []
    for step in range(5):
        tick(detector, 2.0 + 5.0 * step)  # after the ejection of 2 s, a round without results takes 5 s
        rounds.append(detector.records["e1"].round)
    assert rounds == [1, 2, 3, 4, 5]
    assert len({prober_of("e1", round_) for round_ in rounds}) > 1


def test_no_more_than_a_third_of_the_caches_of_a_kind_are_ejected():
    detector = OutlierDetector("a")
    fractions = tick(detector, 0.0, **{uid: reports(a=FAILING, b=FAILING) for uid in KINDS})
    # a third of six
    assert len(fractions) == 2, "if all caches fail at once, the cause is not in single caches"
    assert [(change.cache, change.before, change.after) for change in detector.pop_changes()] == [
        (u, EjectionState.ADMITTED, EjectionState.EJECTED) for u in ("e1", "e2")
    ]


def test_a_fleet_wide_ban_of_a_client_needs_bans_by_two_fronts_and_expires():
    # A ban has the name of its front and its time; it lasts 600 s. The last argument is the time now.
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0)]}, 600.0, 6.0) == {}
    assert (
        banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("a", 9.0)]}, 600.0, 10.0) == {}
    ), "two bans by one front"
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 9.0)]}, 600.0, 10.0) == {
        "10.0.0.9": 609.0  # 600 s after the later of the two bans
    }
    assert (
        banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 95.0)]}, 600.0, 100.0) == {}
    ), "the bans are 90 s apart, more than BAN_WINDOW"
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 9.0)]}, 600.0, 610.0) == {}


def test_a_cache_counts_as_started_if_two_fronts_lost_their_connections_within_3_s():
    def starts(**break_times):
        """Return the detected starts; `break_times` has the time when each front lost its connections."""
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
    """Return the finished run of a fleet in which the cache e1 fails from 4 s on, for `failing_seconds`.

    `ejects` is whether the fleet ejects caches.
    """
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
    with_, without = play(True), play(False)  # runs with and without ejections
    attempts_with, attempts_without = (  # while the cache fails
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
    # at least half of the attempts in the 4 s before the failure
    assert recovered > 0.5 * count_attempts(with_, "e1", 0.0, 4.0)


def test_a_front_that_cannot_reach_half_of_the_caches_causes_no_ejection_at_other_fronts():
    def block_caches(fleet_run):
        """Block the paths between front 1 (10.0.0.1) and three of the six edges."""
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
    # Fronts 1 and 2 ban the client at 3 s and at 5 s; front 3 is asked in between and after.
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

    # At 8 s an operator reinstates the client at front 4, and at 11 s bans another one at front 1.
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
    # Attempts in the second with the most: no more than the limit of 30, and at least two thirds of it.
    worst = max(sum(at - 1.0 < other <= at for other in attempt_times) for at in attempt_times)
    assert 20 <= worst <= 30, worst
    assert result.counts["throttled"] > 300 and isinstance(fleet_run.auditor, Auditor)
