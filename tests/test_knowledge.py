"""Knowledge that fronts share: possible executions of requests, health reports on caches, popularity.

The tests guard against a second execution of a deduplicated request, and against a single peer whose health
reports or popularity slots would change the decisions of other fronts too much.
"""

import math

import pytest
from fronts import CACHES, RouterHarness, endpoint, request_class
from hypothesis import given, settings
from hypothesis import strategies as st

from weldbend.fleet import health_reports, idempotency, popularity
from weldbend.fleet.health_reports import HealthReport, HealthReporter, combine, weight
from weldbend.fleet.member_table import Member, State
from weldbend.fleet.popularity import PopularityCounts, PopularitySlots
from weldbend.routing.events import (
    AttemptResult,
    ExecutedElsewhere,
    PeerHealthReport,
    PossibleExecution,
    RequestReceived,
)
from weldbend.routing.settings import DeduplicationScope, Idempotency, Role

# Requests with an idempotency key that another front may have executed. The caches that recognise the key of
# an attempt, and so do not execute it twice, form a group: here the caches of one cell.

ORDER = {
    "order": request_class(
        "order",
        idempotency=Idempotency.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.CELL,
        origin_only=True,
    )
}
ORIGINS = (endpoint(21, Role.ORIGIN, "h", cell=1), endpoint(22, Role.ORIGIN, "h", cell=2))


def route_client_retry(executions, now=1.0):
    """Return the trace line of the router's reaction to a request that its client marks as a retry.

    The line shows an attempt, or "abandoned" if the router fails the request without one.
    The last argument of RequestReceived has the earlier attempts by other fronts (`executions`); those before
    it are is_retry, deadline and queued_for.
    """
    front = RouterHarness(ORIGINS, classes=ORDER, allows_bypass=True)
    front.handle(now, RequestReceived("d", "k", 0, 3, "order", 0.0, True, now + 6.0, 0.0, tuple(executions)))
    return front.trace[-1]


def test_a_client_retry_goes_only_to_the_cell_where_another_front_may_have_executed_the_request():
    trace_lines = {route_client_retry([PossibleExecution("", cell, 0.5)]) for cell in (1, 2)}
    assert {line.split()[2] for line in trace_lines} == {"21", "22"}
    assert all(" lookup " in line or "fill" in line for line in trace_lines)


@pytest.mark.parametrize(
    "executions",
    [
        [PossibleExecution("!", -1, 0.9)],  # zone NO_CACHE; -1 is the cell of no cache
        [PossibleExecution("", 1, -2.0)],  # sent 3 s before now; the deduplication window is 3 s
        [PossibleExecution("", 1, 0.9), PossibleExecution("", 2, 0.9)],
    ],
    ids=["key valid at no cache", "window of the earlier attempt over", "earlier attempts in two cells"],
)  # fmt: skip
def test_a_client_retry_fails_if_no_cell_would_recognise_all_earlier_attempts(executions):
    assert route_client_retry(executions) == "1.00 d: abandoned"


def test_an_attempt_of_another_front_restricts_the_retries_of_a_request_that_is_already_open():
    front = RouterHarness(ORIGINS, classes=ORDER, allows_bypass=True)
    front.request("d", type="order", now=1.0)
    front.end_attempt("d", AttemptResult.UNREACHABLE, now=1.1)
    second = front.trace[-1].split()[2]  # the cache of the second attempt, which is now in flight
    # Another front has sent the request to the cell in which the second attempt is not (21 is in 1, 22 in 2).
    front.handle(1.2, ExecutedElsewhere("d", PossibleExecution("", 1 if second == "22" else 2, 1.15)))
    front.end_attempt("d", AttemptResult.UNREACHABLE, now=1.3)
    tried = [line.split()[2] for line in front.trace if " lookup " in line]
    # The third attempt goes to the cell of the other front's attempt, or there is none.
    assert tried[-1] != second or front.trace[-1].endswith("abandoned")
    # For a request that is not open, the event only must not raise an error.
    front.handle(1.4, ExecutedElsewhere("nobody", PossibleExecution("", 1, 1.0)))


def test_a_first_attempt_is_dated_by_its_timestamp_but_no_later_than_the_first_write_of_its_item():
    # The group of caches (cell 1), and the time of the first attempt: 99 s of its writer's Unix clock.
    value = ("c:1", 99_000)
    assert idempotency.possible_execution(value, written_at=11.0, now=12.0, unix=101.0) == PossibleExecution(
        "", 1, 10.0
    ), "this front's Unix clock dates the attempt 101 - 99 = 2 s before now, before the first write"
    assert (
        idempotency.possible_execution(value, written_at=11.0, now=12.0, unix=95.0).sent == 11.0
    ), "a writer's clock that is 4 s ahead of this front's does not make the window longer"
    assert (
        idempotency.possible_execution(value, written_at=11.0, now=12.0, unix=500.0).sent == 11.0
    ), "a writer's clock that is minutes behind this front's is ignored"
    # Groups by prefix: "!" for no cache, "z:" for a zone, "c:" for a cell; the group of all caches is "".
    assert idempotency.possible_execution(("!", 99_000), 11.0, 12.0, 101.0).zone == "!"
    assert idempotency.possible_execution(("z:upper", 99_000), 11.0, 12.0, 101.0).zone == "upper"
    assert idempotency.deduplication_group(DeduplicationScope.ALL, "z", 4) == ""


def test_attempts_missed_by_this_front_may_exist_for_one_deduplication_window_after_a_loss_of_contact():
    unknown, alive = (
        idempotency.UnknownAttempts(3.0),
        Member("b", epoch=5, state=State.ALIVE, received_at=9.0),
    )
    # Arguments: whether this front has caught up, when it last lost each connection, other members, now.
    assert not unknown.may_exist(True, {}, [alive], 10.0)
    assert unknown.may_exist(False, {}, [alive], 10.0), "this front's replica has not caught up"
    assert unknown.may_exist(True, {"b": 9.0}, [alive], 10.0), "the connection to b was lost a second ago"
    assert not unknown.may_exist(True, {"b": 6.0}, [alive], 10.0)  # 4 s ago: longer than the window of 3 s
    dead = Member("b", epoch=5, state=State.DEAD, since=8.0, received_at=4.0)
    # b was declared dead at 8 s, so the window ends at 11 s.
    assert unknown.may_exist(True, {}, [dead], 10.0) and not unknown.may_exist(True, {}, [dead], 12.0)
    assert not unknown.may_exist(True, {}, [Member("c")], 10.0), "a member that never sent a message"


# Health reports on caches.


def reports(*records, total=(100.0, 0.0), **options):
    """Return reports of different fronts on one cache.

    Args:
        records: numbers of successful and of failed answers of that cache, for each report.
        total: the same for all caches together, equal in all reports.
        options: age and is_same_zone of all reports.
    """
    return [HealthReport(f"w{n}", options.get("is_same_zone", True), options.get("age", 0.0), record, total)
            for n, record in enumerate(records)]  # fmt: skip


def test_failures_that_only_one_front_reports_have_no_effect():
    assert combine(reports((0.0, 1e9))) == (0.0, 0.0)
    assert combine(reports((0.0, 1e9), (5.0, 0.0), (5.0, 0.0))) == (0.0, 0.0)
    assert combine(reports((0.0, 4.0), (0.0, 4.0)))[1] > 3


def test_a_report_counts_less_if_it_is_old_from_another_zone_or_from_a_front_that_fails_everywhere():
    (plain,), (old,), (far,) = (
        reports((0.0, 4.0)),
        reports((0.0, 4.0), age=5.0),
        reports((0.0, 4.0), is_same_zone=False),
    )
    assert weight(old) == pytest.approx(weight(plain) / 2) and weight(far) == weight(plain) / 2
    # 40 failures in total, of which 4 are at the reported cache: the writer fails at the other caches, too.
    (from_faulty_network,) = reports((0.0, 4.0), total=(2.0, 40.0))
    assert weight(from_faulty_network) < 0.02 * weight(plain)
    assert weight(reports((0.0, 4.0), age=health_reports.REPORT_SPAN + 1)[0]) == 0


@settings(max_examples=200, derandomize=True)
@given(
    st.lists(st.tuples(st.floats(0, 1e9), st.floats(0, 1e9), st.floats(0, 30), st.booleans()), max_size=8),
    st.tuples(st.floats(0, 1e9), st.floats(0, 1e9)),
)
def test_combined_health_reports_are_bounded_for_any_reported_counts(records, total):
    peer_reports = [
        HealthReport(f"w{n}", is_same_zone, age, (good, bad), total)
        for n, (good, bad, age, is_same_zone) in enumerate(records)
    ]
    good, bad = combine(peer_reports)
    assert (
        math.isfinite(good)
        and good + bad <= health_reports.MAX_ANSWERS * max(len(peer_reports) - 1, 0) + 1e-6
    )


def test_a_front_reports_failing_caches_and_their_recovery():
    reporter = HealthReporter()
    # Pairs: successful and failed answers. "*" is the report on all caches together.
    assert reporter.due_reports(0.0, {"e1": (9.0, 0.0)}) == []
    assert reporter.due_reports(1.0, {"e1": (9.0, 2.0), "e2": (5.0, 0.0)}) == [
        ("e1", (9.0, 2.0)),
        ("*", (14.0, 2.0)),
    ]
    assert reporter.due_reports(2.0, {"e1": (9.0, 2.0), "e2": (6.0, 0.0)}) == [], "nothing has changed"
    assert reporter.due_reports(4.5, {"e1": (9.0, 2.0), "e2": (6.0, 0.0)})[0] == (
        "e1",
        (9.0, 2.0),
    ), "an unchanged report is repeated after REPEAT_INTERVAL (3 s)"
    assert ("e1", (9.0, 0.0)) in reporter.due_reports(5.0, {"e1": (9.0, 0.0)})
    assert reporter.due_reports(9.0, {"e1": (9.0, 0.0)}) == []


def test_peer_reports_make_a_front_avoid_a_cache_that_it_never_saw_fail():
    def share(good, bad):
        """Return the share of requests for one object that its first cache gets after a report of peers."""
        front = RouterHarness(CACHES)
        front.request("x", now=1.0)
        first = int(front.trace[-1].split()[2])
        front.end_attempt("x", AttemptResult.SERVED)
        front.handle(1.0, PeerHealthReport(first, good, bad))
        for n in range(200):
            front.request(f"d{n}", now=2.0 + n / 50)
            front.end_attempt(f"d{n}", AttemptResult.SERVED, now=2.01 + n / 50)
        lookups = [line for line in front.trace[1:] if " lookup " in line]
        return sum(int(line.split()[2]) == first for line in lookups) / len(lookups)

    assert share(0.0, 0.0) == 1.0
    assert share(0.0, 9.0) < 0.2


# Popularity: each front publishes hashes of the objects requested from it in each slot of SLOT_SECONDS.


def test_a_popularity_slot_is_published_with_all_its_objects_and_counted_once_per_front():
    slots = PopularitySlots()
    assert slots.tick(0.0) is None
    hashes = [popularity.object_hash("a", part) for part in range(50)]
    for object_hash in hashes * 3:
        slots.add(object_hash)
    assert slots.tick(1.0) is None
    number, text = slots.tick(popularity.SLOT_SECONDS)
    counts = PopularityCounts()
    # Keys of replicated items: number of the slot and name of its front. The item of n3 is received twice.
    for item in ("1|n2", "1|n3", "1|n3"):
        counts.replace(item, text, 100.0)
    assert number == 1 and {counts.count_of(object_hash) for object_hash in hashes} == {2}
    counts.replace("1|n3", popularity.pack_slot(hashes[:1]), 200.0)
    assert counts.count_of(hashes[0]) == 2 and counts.count_of(hashes[1]) == 1
    counts.discard_expired(100.0)
    assert counts.count_of(hashes[0]) == 1 and counts.count_of(hashes[1]) == 0
    counts.discard_expired(200.0)
    assert not counts.counts and counts.size == 0


def test_popularity_slots_and_the_counted_hashes_are_bounded(monkeypatch):
    slots = PopularitySlots(began_at=0.0)
    for object_hash in range(popularity.MAX_SLOT_HASHES + 10):
        slots.add(object_hash)
    assert slots.omitted == 10
    _, text = slots.tick(5.0)
    assert len(text) <= 2048, "the limit of the message format on one text"
    counts = PopularityCounts()
    for invalid_text in (
        "not base85 \x01",
        popularity.pack_slot(list(range(popularity.MAX_SLOT_HASHES + 1))),
        text + "00",
    ):
        counts.replace("1|n2", invalid_text, 9.0)
    assert counts.rejected == 3 and counts.size == 0
    # With this limit, one full slot may be counted, and the next one is rejected.
    monkeypatch.setattr(popularity, "MAX_COUNTED_HASHES", popularity.MAX_SLOT_HASHES)
    counts.replace("1|n2", text, 9.0)
    counts.replace("2|n2", text, 9.0)
    assert counts.size == popularity.MAX_SLOT_HASHES and counts.rejected == 4


def test_a_request_seen_before_by_another_front_counts_as_the_second():
    def rank_of_attempt(requests_elsewhere):
        """Return the rank with which the cache stores the copy: 0 (not stored) for an unpopular object."""
        front = RouterHarness(CACHES)
        front.handle(
            1.0, RequestReceived("d", "k", 0, 3, "photo", 0.0, False, 7.0, 0.0, (), requests_elsewhere)
        )
        return front.trace[-1].split()[-1]

    assert [rank_of_attempt(n) for n in (0, 1, 3)] == ["0", "2", "2"]
