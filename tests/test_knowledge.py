"""What fronts know together: possible executions, health reports on caches, popularity of objects."""

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

# Requests with an idempotency key that another front may have executed.

ORDER = {
    "order": request_class(
        "order",
        idempotency=Idempotency.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.CELL,
        origin_only=True,
    )
}
ORIGINS = (endpoint(21, Role.ORIGIN, "h", cell=1), endpoint(22, Role.ORIGIN, "h", cell=2))


def asked(ran, now=1.0):
    front = RouterHarness(ORIGINS, classes=ORDER, allows_bypass=True)
    front.handle(now, RequestReceived("d", "k", 0, 3, "order", 0.0, True, now + 6.0, 0.0, tuple(ran)))
    return front.trace[-1]


def test_a_repeat_goes_only_to_the_group_in_which_another_front_had_it_executed():
    chosen = {asked([PossibleExecution("", cell, 0.5)]) for cell in (1, 2)}
    assert {line.split()[2] for line in chosen} == {"21", "22"}
    assert all(" lookup " in line or "fill" in line for line in chosen)


@pytest.mark.parametrize(
    "ran",
    [
        [PossibleExecution("!", -1, 0.9)],
        [PossibleExecution("", 1, -2.0)],
        [PossibleExecution("", 1, 0.9), PossibleExecution("", 2, 0.9)],
    ],
    ids=["in no group", "past its window", "in two groups"],
)  # fmt: skip
def test_a_repeat_that_no_group_would_drop_fails(ran):
    assert asked(ran) == "1.00 d: abandoned"


def test_an_attempt_of_another_front_binds_a_request_that_is_open():
    front = RouterHarness(ORIGINS, classes=ORDER, allows_bypass=True)
    front.request("d", type="order", now=1.0)
    front.end_attempt("d", AttemptResult.UNREACHABLE, now=1.1)
    first = front.trace[-1].split()[2]
    front.handle(1.2, ExecutedElsewhere("d", PossibleExecution("", 1 if first == "22" else 2, 1.15)))
    front.end_attempt("d", AttemptResult.UNREACHABLE, now=1.3)
    tried = [line.split()[2] for line in front.trace if " lookup " in line]
    assert tried[-1] != first or front.trace[-1].endswith("abandoned")
    front.handle(1.4, ExecutedElsewhere("nobody", PossibleExecution("", 1, 1.0)))


def test_the_first_attempt_is_dated_by_the_stricter_clock():
    value = ("c:1", 99_000)  # at 99 s of the writer's Unix clock
    assert idempotency.possible_execution(value, written_at=11.0, now=12.0, unix=101.0) == PossibleExecution(
        "", 1, 10.0
    ), "told again since"
    assert (
        idempotency.possible_execution(value, written_at=11.0, now=12.0, unix=95.0).sent == 11.0
    ), "a clock ahead makes no window longer"
    assert (
        idempotency.possible_execution(value, written_at=11.0, now=12.0, unix=500.0).sent == 11.0
    ), "one minutes behind is not heeded"
    assert idempotency.possible_execution(("!", 99_000), 11.0, 12.0, 101.0).zone == "!"
    assert idempotency.possible_execution(("z:upper", 99_000), 11.0, 12.0, 101.0).zone == "upper"
    assert idempotency.deduplication_group(DeduplicationScope.ALL, "z", 4) == ""


def test_what_cannot_be_known_counts_as_executed_for_a_window_and_no_longer():
    unknown, here = idempotency.UnknownAttempts(3.0), Member("b", epoch=5, state=State.ALIVE, received_at=9.0)
    assert not unknown.may_exist(True, {}, [here], 10.0)
    assert unknown.may_exist(False, {}, [here], 10.0), "not caught up"
    assert unknown.may_exist(True, {"b": 9.0}, [here], 10.0), "its link was lost a second ago"
    assert not unknown.may_exist(True, {"b": 6.0}, [here], 10.0)
    dead = Member("b", epoch=5, state=State.DEAD, since=8.0, received_at=4.0)
    assert unknown.may_exist(True, {}, [dead], 10.0) and not unknown.may_exist(True, {}, [dead], 12.0)
    assert not unknown.may_exist(True, {}, [Member("c")], 10.0), "one never heard of"


# Health reports on caches.


def reports(*records, whole=(100.0, 0.0), **held):
    return [HealthReport(f"w{n}", held.get("is_same_zone", True), held.get("age", 0.0), record, whole)
            for n, record in enumerate(records)]  # fmt: skip


def test_no_front_alone_makes_another_suspect_a_cache():
    assert combine(reports((0.0, 1e9))) == (0.0, 0.0)
    assert combine(reports((0.0, 1e9), (5.0, 0.0), (5.0, 0.0))) == (0.0, 0.0)
    assert combine(reports((0.0, 4.0), (0.0, 4.0)))[1] > 3


def test_a_report_counts_less_the_older_the_further_and_the_worse_its_writer_fares():
    (plain,), (old,), (far,) = (
        reports((0.0, 4.0)),
        reports((0.0, 4.0), age=5.0),
        reports((0.0, 4.0), is_same_zone=False),
    )
    assert weight(old) == pytest.approx(weight(plain) / 2) and weight(far) == weight(plain) / 2
    (own_line,) = reports((0.0, 4.0), whole=(2.0, 40.0))
    assert weight(own_line) < 0.02 * weight(plain)
    assert weight(reports((0.0, 4.0), age=health_reports.REPORT_SPAN + 1)[0]) == 0


@settings(max_examples=200, derandomize=True)
@given(
    st.lists(st.tuples(st.floats(0, 1e9), st.floats(0, 1e9), st.floats(0, 30), st.booleans()), max_size=8),
    st.tuples(st.floats(0, 1e9), st.floats(0, 1e9)),
)
def test_whatever_is_claimed_health_reports_are_bounded(told, whole):
    found = [
        HealthReport(f"w{n}", near, age, (good, bad), whole) for n, (good, bad, age, near) in enumerate(told)
    ]
    good, bad = combine(found)
    assert math.isfinite(good) and good + bad <= health_reports.MAX_ANSWERS * max(len(found) - 1, 0) + 1e-6


def test_a_front_reports_what_fails_and_when_it_has_recovered():
    reporter = HealthReporter()
    assert reporter.due_reports(0.0, {"e1": (9.0, 0.0)}) == []
    assert reporter.due_reports(1.0, {"e1": (9.0, 2.0), "e2": (5.0, 0.0)}) == [
        ("e1", (9.0, 2.0)),
        ("*", (14.0, 2.0)),
    ]
    assert reporter.due_reports(2.0, {"e1": (9.0, 2.0), "e2": (6.0, 0.0)}) == [], "no news"
    assert reporter.due_reports(4.5, {"e1": (9.0, 2.0), "e2": (6.0, 0.0)})[0] == (
        "e1",
        (9.0, 2.0),
    ), "said again"
    assert ("e1", (9.0, 0.0)) in reporter.due_reports(5.0, {"e1": (9.0, 0.0)})
    assert reporter.due_reports(9.0, {"e1": (9.0, 0.0)}) == []


def test_reports_of_peers_have_a_cache_avoided_that_this_front_never_saw_fail():
    def share(good, bad):
        front = RouterHarness(CACHES)
        front.request("x", now=1.0)
        first = int(front.trace[-1].split()[2])
        front.end_attempt("x", AttemptResult.SERVED)
        front.handle(1.0, PeerHealthReport(first, good, bad))
        for n in range(200):
            front.request(f"d{n}", now=2.0 + n / 50)
            front.end_attempt(f"d{n}", AttemptResult.SERVED, now=2.01 + n / 50)
        looks = [line for line in front.trace[1:] if " lookup " in line]
        return sum(int(line.split()[2]) == first for line in looks) / len(looks)

    assert share(0.0, 0.0) == 1.0
    assert share(0.0, 9.0) < 0.2


# Popularity.


def test_a_slot_is_published_completely_and_counted_once_for_each_front():
    slots = PopularitySlots()
    assert slots.tick(0.0) is None
    names = [popularity.object_hash("a", part) for part in range(50)]
    for name in names * 3:
        slots.add(name)
    assert slots.tick(1.0) is None
    number, text = slots.tick(popularity.SLOT_SECONDS)
    counts = PopularityCounts()
    for item in ("1|n2", "1|n3", "1|n3"):
        counts.replace(item, text, 100.0)
    assert number == 1 and {counts.count_of(name) for name in names} == {2}
    counts.replace("1|n3", popularity.pack_slot(names[:1]), 200.0)
    assert counts.count_of(names[0]) == 2 and counts.count_of(names[1]) == 1
    counts.discard_expired(100.0)
    assert counts.count_of(names[0]) == 1 and counts.count_of(names[1]) == 0
    counts.discard_expired(200.0)
    assert not counts.counts and counts.size == 0


def test_slots_and_their_counts_are_bounded(monkeypatch):
    slots = PopularitySlots(began_at=0.0)
    for name in range(popularity.MAX_SLOT_HASHES + 10):
        slots.add(name)
    assert slots.omitted == 10
    _, text = slots.tick(5.0)
    assert len(text) <= 2048, "the codec's bound on one text"
    counts = PopularityCounts()
    for bad in (
        "not base85 \x01",
        popularity.pack_slot(list(range(popularity.MAX_SLOT_HASHES + 1))),
        text + "00",
    ):
        counts.replace("1|n2", bad, 9.0)
    assert counts.rejected == 3 and counts.size == 0
    monkeypatch.setattr(popularity, "MAX_COUNTED_HASHES", popularity.MAX_SLOT_HASHES)
    counts.replace("1|n2", text, 9.0)
    counts.replace("2|n2", text, 9.0)
    assert counts.size == popularity.MAX_SLOT_HASHES and counts.rejected == 4


def test_a_request_that_another_front_had_before_counts_as_the_second_one():
    def kept(elsewhere):
        front = RouterHarness(CACHES)
        front.handle(1.0, RequestReceived("d", "k", 0, 3, "photo", 0.0, False, 7.0, 0.0, (), elsewhere))
        return front.trace[-1].split()[-1]

    assert [kept(n) for n in (0, 1, 3)] == ["0", "2", "2"]
