"""Half-open caches: one front must eventually probe, and the others adopt what it reports.

A cache that at least two fronts report as failing is ejected for `EJECTION_SECONDS` (2 s). It is then
half-open: in each round of `HALF_OPEN_SECONDS` (5 s), one front, the prober, sends it requests.
"""

from fronts import RouterHarness

from weldbend.fleet.health_reports import HealthReport
from weldbend.fleet.outlier_detection import HALF_OPEN_SECONDS, EjectionState, OutlierDetector
from weldbend.routing.events import EjectionUpdate
from weldbend.routing.messages import Outcome
from weldbend.routing.reports import health_counts

FRONTS = "abcd"  # names of the fronts
# Six edges, of which at most a third may be ejected at a time.
ROLES = {f"e{number}": "EDGE" for number in range(1, 7)}


def report(writer, *outcomes):
    """Return a front's report on a cache: successful and failed answers, with 50 more successes elsewhere."""
    return HealthReport(writer, True, 0.5, outcomes, (50.0 + outcomes[0], outcomes[1]))


def tick(detector, now, *reports):
    """Let a detector evaluate these reports on cache `e1`; all fronts are alive and in one zone."""
    zones = dict.fromkeys(FRONTS, "u")
    return detector.tick(now, {"e1": list(reports)}, ROLES, zones, set(FRONTS) - {detector.name})


def half_open_detector(name):
    """Return a detector with one cache that has just become half-open, and that cache's ejection record."""
    detector = OutlierDetector(name)
    tick(detector, 0.0, report("a", 1.0, 8.0), report("b", 1.0, 8.0))
    tick(detector, 2.0)
    assert detector.records["e1"].state is EjectionState.HALF_OPEN
    return detector, detector.records["e1"]


def front_with_failures():
    """Return a front that remembers 30 failures and no other outcomes of cache 1, and that cache."""
    front = RouterHarness()
    cache = front.router.caches[1]
    for _ in range(30):
        cache.handle(Outcome.FAILURE)
    return front, cache


def is_ever_trusted(cache):
    return any(cache.is_trusted(1.0) for _ in range(100))


def test_a_required_probe_is_sent_despite_remembered_failures():
    front, cache = front_with_failures()
    front.handle(1.0, EjectionUpdate(1, 0.5, is_probe=True))
    assert not is_ever_trusted(
        cache
    ), "in the first round, a front that remembers failures of the cache does not probe"
    front.handle(6.0, EjectionUpdate(1, 0.5, is_probe=True, must_probe=True))
    assert is_ever_trusted(cache)
    front.handle(11.0, EjectionUpdate(1, 0.0))
    assert not is_ever_trusted(cache)


def test_a_probe_is_judged_by_outcomes_since_its_start_and_misses_count_as_successes():
    front, cache = front_with_failures()
    front.handle(1.0, EjectionUpdate(1, 0.5, is_probe=True, must_probe=True), EjectionUpdate(2, 0.0))
    assert health_counts(front.router, 1.0)[1] == (0.0, 0.0)
    for name in "abcdefgh":  # half of these requests go to cache 1
        front.fill(name, now=front.now + 0.1)
    good, failed = health_counts(front.router, front.now)[1]
    assert good >= 3 and failed == 0, "misses count as successes: the cache has lost its copies but answers"
    front.handle(front.now, EjectionUpdate(1, 1.0))
    # After the probe, the 30 failures remembered from before it count again.
    assert health_counts(front.router, front.now)[1][1] == 30.0


def test_after_a_round_without_outcomes_the_next_front_must_probe():
    detector, record = half_open_detector("a")
    assert not record.must_probe
    tick(detector, 2.0 + HALF_OPEN_SECONDS)
    assert record.must_probe and record.round == 2
    tick(detector, 8.0, report("b", 0.0, 0.0))  # the baseline of the new answers of "b"
    tick(detector, 9.0, report("b", 3.0, 0.0))
    assert record.state is EjectionState.RECOVERING and not record.must_probe


def test_good_answers_of_fronts_that_left_the_half_open_state_earlier_count():
    """The other fronts have ended the half-open state and already send to the cache.

    The prober of this round then has nothing new to report, so the good answers of all fronts count.
    """
    for name in FRONTS:
        detector, record = half_open_detector(name)
        # Each front reports one new success, the difference of its two reports; three are needed to recover.
        for step, writer in enumerate("abcd"):
            tick(detector, 3.0 + step / 2, report(writer, 2.0, 0.0))
            tick(detector, 3.1 + step / 2, report(writer, 3.0, 0.0))
        assert record.state is EjectionState.RECOVERING, name


def test_all_fronts_report_on_a_half_open_cache_and_one_front_probes_it():
    detectors = [half_open_detector(name)[0] for name in FRONTS]
    assert all(detector.recovering_caches() == {"e1"} for detector in detectors)
    assert sum(detector.probed == {"e1"} for detector in detectors) == 1
