"""Ejections by a fleet: who brings one about, how it ends, and how a cache recovers."""

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

WELL, FAILING = (9.0, 0.0), (1.0, 8.0)
ZONES = {"a": "u", "b": "u", "c": "l", "d": "l"}


def reports(whole=(50.0, 0.0), **records):
    return [HealthReport(name, True, 0.5, record, tuple(map(sum, zip(whole, record, strict=True))))
            for name, record in records.items()]  # fmt: skip


def judged(own="u", **records):
    return assess_outlier(reports(**records), ZONES, own)


def test_one_front_alone_brings_no_ejection_about():
    assert not judged(a=FAILING).is_outlier
    assert not judged(a=FAILING, b=WELL, c=WELL).is_outlier
    assert judged(a=FAILING, b=FAILING).is_outlier


def test_most_of_those_that_know_have_to_accuse():
    assert not judged(
        a=FAILING, b=WELL, c=FAILING, d=WELL
    ).is_outlier, "two halves that contradict eject nothing"
    assert judged(a=FAILING, b=FAILING, c=WELL).reporters == ("a", "b")
    assert not judged(a=FAILING, b=(0.5, 1.0), c=WELL, d=WELL).is_outlier, "who tried once does not know"


def test_a_report_of_one_whose_own_network_is_faulty_does_not_count():
    said = [*reports(whole=(2.0, 40.0), a=FAILING, b=FAILING), *reports(c=WELL)]
    assert not assess_outlier(said, ZONES, "u").is_outlier


def test_what_fails_for_one_zone_is_ejected_in_that_zone():
    records = {"a": FAILING, "b": FAILING, "c": WELL, "d": WELL}
    assert judged("u", **records) == outlier_detection.OutlierAssessment(True, ("a", "b"), "u")
    assert not judged("l", **records).is_outlier
    assert judged("u", a=FAILING, b=FAILING, c=FAILING, d=FAILING).zone == ""


KINDS = {f"e{n}": "EDGE" for n in range(1, 7)}


def tick(detector, now, alive="bcd", **said):
    return detector.tick(now, said, KINDS, dict.fromkeys("abcd", "u"), alive)


def prober_of(uid, round_, here="abcd"):
    return max(here, key=lambda name: outlier_detection.rank(uid, round_, name))


def test_an_ejection_ends_one_front_probes_and_the_others_follow_by_a_ramp():
    detectors = {name: OutlierDetector(name) for name in "abcd"}

    def tick_all(now, **said):
        return {
            name: tick(detector, now, set("abcd") - {name}, **said).get("e1")
            for name, detector in detectors.items()
        }

    tries = prober_of("e1", 1)
    assert set(tick_all(0.0, e1=reports(a=FAILING, b=FAILING)).values()) == {0.0}
    assert set(tick_all(1.9).values()) == {0.0}
    trial = tick_all(2.0)
    assert trial == {
        name: (outlier_detection.HALF_OPEN_FRACTION if name == tries else 0.0) for name in "abcd"
    }
    tick_all(3.0, e1=reports(**{tries: (1.0, 8.0)}))
    assert (
        tick_all(3.5, e1=reports(**{tries: (1.0, 8.0)})) == trial
    ), "what it holds from before is no outcome"
    ramp = tick_all(4.0, e1=reports(**{tries: (4.0, 7.0)}))
    assert set(ramp.values()) == {outlier_detection.RAMP_START}
    assert {round(part, 2) for part in tick_all(6.0).values()} == {0.55}
    assert set(tick_all(8.0).values()) == {1.0}
    assert detectors["a"].records["e1"].state is EjectionState.ADMITTED
    tick_all(80.0)
    assert "e1" not in detectors["a"].records


def test_a_relapse_makes_the_next_ejection_longer_and_a_failed_probe_is_one():
    detector = OutlierDetector("a")
    tick(detector, 0.0, e1=reports(a=FAILING, b=FAILING))
    case, terms = detector.records["e1"], [2.0]
    for _ in range(7):
        tick(detector, now := case.until)
        for bad in (8.0, 11.0):
            tick(detector, now := now + 0.5, e1=reports(**{prober_of("e1", case.round): (1.0, bad)}))
        assert case.state is EjectionState.EJECTED
        terms.append(case.until - now)
    assert terms[:3] == [2.0, 3.0, 4.5] and terms[-1] == outlier_detection.MAX_EJECTION_SECONDS


def test_where_the_prober_reports_nothing_another_one_is_drawn():
    detector = OutlierDetector("a")
    tick(detector, 0.0, e1=reports(a=FAILING, b=FAILING))
    rounds = []
    for step in range(5):
        tick(detector, 2.0 + 5.0 * step)
        rounds.append(detector.records["e1"].round)
    assert rounds == [1, 2, 3, 4, 5]
    assert len({prober_of("e1", round_) for round_ in rounds}) > 1


def test_no_more_than_a_third_of_a_kind_is_ejected():
    detector = OutlierDetector("a")
    found = tick(detector, 0.0, **{uid: reports(a=FAILING, b=FAILING) for uid in KINDS})
    assert len(found) == 2, "all failing at once is the site's trouble, not six caches'"
    assert [(change.cache, change.before, change.after) for change in detector.pop_changes()] == [
        (u, EjectionState.ADMITTED, EjectionState.EJECTED) for u in ("e1", "e2")
    ]


def test_a_client_is_banned_by_two_and_for_a_time():
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0)]}, 600.0, 6.0) == {}
    assert (
        banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("a", 9.0)]}, 600.0, 10.0) == {}
    ), "one front, twice"
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 9.0)]}, 600.0, 10.0) == {
        "10.0.0.9": 609.0
    }
    assert (
        banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 95.0)]}, 600.0, 100.0) == {}
    ), "too far apart"
    assert banned_clients({"10.0.0.9": [ClientBan("a", 5.0), ClientBan("b", 9.0)]}, 600.0, 610.0) == {}


def test_an_unlisted_start_is_one_that_two_saw():
    def starts(**moments):
        return unlisted_starts(CacheBreak("e1", front, at) for front, at in moments.items())

    assert starts(a=5.0) == {}
    assert starts(a=5.0, b=7.0) == {"e1": 7.0}
    assert starts(a=5.0, b=17.0, c=16.0) == {"e1": 17.0}


# In whole fronts.


@pytest.fixture(autouse=True)
def no_log():
    logger.remove()


class Failing:
    """Makes some caches fail all they are asked, from some hosts or all, for a time."""

    def __init__(self, run):
        self.run, self.bad = run, set()
        whole = run.site.caches.execute

        def execute(uid, *held):
            if uid in self.bad:
                raise KeyError(uid)
            return whole(uid, *held)

        run.site.caches.execute = execute


def play(verdicts_on, lasts=9.0, seed=1, **shape):
    held = {
        "faults": 0,
        "fleet_faults": 0,
        "rate": 60.0,
        "seconds": 30.0,
        "calm": 0.0,
        "orders": 0.0,
        "edits": 0.0,
    }
    terms = QUICK_FLEET_SETTINGS.__class__(
        probe_interval=0.2,
        probe_timeout=0.08,
        isolation_timeout=1.5,
        pause_threshold=0.5,
        summary_interval=0.3,
        limits=LimitSettings(ejections=verdicts_on),
    )
    made = FleetRun(seed, FleetRunSettings(**held | {"edges": 6, "fleet": terms} | shape))
    made.failing = Failing(made)
    made.events.schedule(4.0, lambda: made.failing.bad.add("e1"))
    made.events.schedule(4.0 + lasts, lambda: made.failing.bad.clear())
    made.result = made.play()
    assert not made.result.violations and not made.result.errors
    return made


def attempts(made, uid, since, until):
    held = [attempt for case in made.auditor.requests.values() for attempt in case.attempts]
    return sum(attempt.cache == uid and since <= attempt.at < until for attempt in held)


def test_a_bad_cache_is_tried_less_by_all_and_comes_back_by_a_ramp():
    with_, without = play(True), play(False)
    wasted, alone = attempts(with_, "e1", 4.0, 13.0), attempts(without, "e1", 4.0, 13.0)
    assert wasted <= alone, (wasted, alone)
    stands = [
        stand for made in with_.site.fronts.values() for stand in [made[1].fleet_adapter.quota_service.counts]
    ]
    assert all(counts["ejection state: ejected"] >= 1 for counts in stands)
    assert all(counts["ejection state: recovering"] >= 1 for counts in stands)
    assert all(counts["ejection state: admitted"] >= 1 for counts in stands)
    back, never_ejected = (attempts(made, "e1", 26.0, 30.0) for made in (with_, without))
    assert back >= never_ejected > 0, (back, never_ejected)
    assert back > 0.5 * attempts(with_, "e1", 0.0, 4.0)


def test_a_front_that_reaches_half_of_the_caches_ejects_none_of_them():
    def deaf(made):
        hosts = {made.site.machines[uid].host for uid in ("e1", "e2", "e3")}
        made.network.blocked_paths |= {(h, "10.0.0.1") for h in hosts} | {("10.0.0.1", h) for h in hosts}

    held = {"faults": 0, "fleet_faults": 0, "rate": 60.0, "seconds": 16.0, "calm": 0.0, "edges": 6}
    made = FleetRun(2, FleetRunSettings(**held))
    made.events.schedule(3.0, lambda: deaf(made))
    result = made.play()
    assert not result.errors
    for number in (2, 3, 4):
        assert made.site.fronts[number][1].fleet_adapter.quota_service.counts["ejection state: ejected"] == 0


def test_a_client_that_goes_from_front_to_front_is_refused_by_the_third():
    made = FleetRun(3, FleetRunSettings(faults=0, fleet_faults=0, rate=10.0, seconds=12.0, calm=0.0))
    for number, at in ((1, 3.0), (2, 5.0)):
        made.events.schedule(at, lambda n=number: made.site.fronts[n][1].gateway.report_ban("10.0.9.9"))
    welcome = {}
    for at in (4.0, 7.0):
        made.events.schedule(
            at, lambda at=at: welcome.update({at: made.site.fronts[3][1].gateway.is_admitted("10.0.9.9")})
        )

    def override(number, client, text):
        made.site.fronts[number][1].fleet_adapter.quota_service.bans.set_override(client, text)

    made.events.schedule(8.0, lambda: override(4, "10.0.9.9", "pardon"))
    made.events.schedule(
        10.0, lambda: welcome.update({10.0: made.site.fronts[3][1].gateway.is_admitted("10.0.9.9")})
    )
    made.events.schedule(11.0, lambda: override(1, "10.0.9.8", "until 9999999999"))
    made.events.schedule(
        11.5, lambda: welcome.update({11.5: made.site.fronts[2][1].gateway.is_admitted("10.0.9.8")})
    )
    assert not made.play().errors
    assert welcome == {4.0: True, 7.0: False, 10.0: True, 11.5: False}


def test_strict_rates_hold_for_the_whole_fleet_and_a_partition():
    limits = LimitSettings(leased_rates=(("photo", 30.0),), slow_start=False)
    terms = QUICK_FLEET_SETTINGS.__class__(
        probe_interval=0.2,
        probe_timeout=0.08,
        isolation_timeout=1.5,
        pause_threshold=0.5,
        summary_interval=0.3,
        limits=limits,
    )
    shape = FleetRunSettings(
        faults=0, fleet_faults=0, rate=60.0, seconds=20.0, calm=0.0, orders=0.0, edits=0.0, fleet=terms
    )
    made = FleetRun(4, shape)
    made.events.schedule(12.0, lambda: made.split({1, 2}, 6.0))
    result = made.play()
    assert not result.violations and not result.errors
    moments = sorted(
        case.attempts[0].at
        for case in made.auditor.requests.values()
        if case.attempts and case.request_class == "photo"
    )
    worst = max(sum(at - 1.0 < other <= at for other in moments) for at in moments)
    assert 20 <= worst <= 30, worst
    assert result.counts["throttled"] > 300 and isinstance(made.auditor, Auditor)
