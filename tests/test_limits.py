"""Limits shared by leases: never exceeded, whatever networks, clocks and processes do, and seldom idle."""

from dataclasses import replace
from fractions import Fraction

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from weldbend.fleet import lease_policy
from weldbend.fleet.demand_share import FLOOR, DemandEstimate, PeerFigure, demand_fraction
from weldbend.fleet.lease_ledger import (
    PARTS_PER_LIMIT,
    Grant,
    Lease,
    LeaseLedger,
    LeaseRequestId,
    LeaseTimes,
    owned_parts,
)
from weldbend.fleet.lease_policy import (
    LeasePolicy,
    LeaseRequest,
    LenderBalance,
    PlannedAcquire,
    PlannedRelease,
    TimeSlot,
    Usage,
)
from weldbend.fleet.rendezvous import rank
from weldbend.routing.random_source import RandomSource
from weldbend.testbed.fleet.lease_model import LeaseModel, Scope
from weldbend.testbed.fleet.quota_experiment import (
    LIMIT,
    QuotaExperiment,
    QuotaSettings,
    draw_settings,
    search,
)

TIMES = LeaseTimes(term=2.0, window=1.0, drift=0.01)


def ledger_of(own=100, **held):
    return LeaseLedger(own, TIMES, 1, **held)


# One ledger.


@settings(max_examples=60, derandomize=True)
@given(
    st.sets(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=30),
    st.text(max_size=8),
    st.floats(0.1, 100.0),
)
def test_parts_are_owned_once_and_as_evenly_as_they_are_worth_anything(names, limit, attempts):
    shares = owned_parts(limit, names, attempts)
    held = [parts for parts in shares.values() if parts]
    assert sum(held) == PARTS_PER_LIMIT and max(held) - min(held) <= 1
    assert len(held) == min(len(names), max(int(attempts), 1))
    assert shares == owned_parts(limit, sorted(names, reverse=True), attempts)


def test_what_is_granted_is_out_until_the_term_and_a_window_are_surely_over():
    lender, borrower = ledger_of(), ledger_of(0)
    number = borrower.request(10.0, "a", 30)
    grant = lender.grant(10.4, LeaseRequestId("b", 1, number), 30, used=0)
    assert grant.parts == 30 and lender.retained(10.4) == 70
    assert borrower.accept_grant(10.9, "a", grant) and borrower.available(10.9) == 30
    assert (
        borrower.available(11.95) == 30 and borrower.available(11.97) == 0
    ), "it counts from its asking, and shorter"
    assert lender.retained(13.4) == 70 and lender.retained(13.43) == 100


def test_nothing_is_granted_that_the_own_last_window_needs():
    lender = ledger_of()
    assert lender.grant(0.0, LeaseRequestId("b", 1, 1), 100, used=60.5).parts == 39
    assert lender.grant(0.0, LeaseRequestId("c", 1, 1), 100, used=60.5).parts == 0


def test_the_same_request_is_granted_once_however_often_it_comes():
    lender = ledger_of()
    first = lender.grant(0.0, LeaseRequestId("b", 1, 1), 30, 0)
    assert lender.grant(0.5, LeaseRequestId("b", 1, 1), 30, 0) == replace(first, spare=0)
    assert lender.retained(0.5) == 70
    lender.grant(1.0, LeaseRequestId("b", 1, 2), 40, 0)
    assert lender.retained(1.0) == 60, "a later request takes the place of the one before"
    assert (
        lender.grant(1.1, LeaseRequestId("b", 1, 1), 30, 0).parts == 0
    ), "and one that comes late is refused"


def test_what_a_borrower_gets_less_stays_out_as_long_as_it_was():
    lender = ledger_of()
    lender.grant(0.0, LeaseRequestId("b", 1, 1), 40, 0)
    lender.grant(1.0, LeaseRequestId("b", 1, 2), 10, 0)
    assert lender.retained(3.01) == 60 and lender.retained(3.03) == 90 and lender.retained(4.03) == 100
    lender.grant(4.1, LeaseRequestId("b", 1, 3), 20, 0)
    lender.grant(4.2, LeaseRequestId("b", 1, 4), 20, 0)
    assert lender.retained(4.2) == 80, "what it has already is no more than that"


@pytest.mark.parametrize("late", [1.97, 30.0])
def test_an_answer_after_the_end_is_no_lease(late):
    borrower = ledger_of(0)
    number = borrower.request(0.0, "a", 30)
    assert not borrower.accept_grant(late, "a", Grant(1, number, 30)) and borrower.available(late) == 0


def test_answers_to_no_request_are_no_leases():
    borrower = ledger_of(0)
    number = borrower.request(0.0, "a", 30)
    for lender, grant in (
        ("b", Grant(1, number, 30)), ("a", Grant(9, number, 30)), ("a", Grant(1, number + 1, 30)),
        ("a", Grant(1, number, 31)),
    ):  # fmt: skip
        assert not borrower.accept_grant(0.1, lender, grant)
    assert borrower.available(0.1) == 0


def test_a_start_that_knows_nothing_holds_nothing_of_its_own_for_a_term_and_a_window():
    held = ledger_of(recovering_until=TIMES.recovery)
    assert held.retained(0.0) == held.retained(TIMES.recovery - 0.01) == 0
    assert held.grant(1.0, LeaseRequestId("b", 1, 1), 10, 0).parts == 0
    assert held.retained(TIMES.recovery) == 100
    assert TIMES.recovery >= TIMES.term + TIMES.window


def test_a_released_lease_counts_for_a_window_yet():
    lender, borrower = ledger_of(), ledger_of(0)
    number = borrower.request(0.0, "a", 30)
    borrower.accept_grant(0.1, "a", lender.grant(0.05, LeaseRequestId("b", 1, number), 30, 0))
    assert borrower.release(0.2, "a") == number and borrower.available(0.2) == 0
    lender.accept_release(0.3, LeaseRequestId("b", 1, number), unspent=False)
    assert lender.retained(1.31) == 70 and lender.retained(1.33) == 100
    assert borrower.release(0.2, "a") == 0
    lender.grant(2.0, LeaseRequestId("b", 1, 2), 30, 0)
    lender.accept_release(2.1, LeaseRequestId("b", 1, 2), unspent=True)
    assert lender.retained(2.1) == 100, "of which nothing was spent"


# All orders of events.


def test_no_order_of_messages_deaths_ticks_and_ends_passes_the_limit():
    found = LeaseModel(Scope(asks=1)).explore()
    assert found.is_complete and not found.trace, found.trace
    assert found.states > 30_000


class IgnoresUse(LeaseLedger):
    def grant(self, now, borrower, parts, used):
        return super().grant(now, borrower, parts, 0)


class NotQuiet(LeaseLedger):
    def retained(self, now):
        self.recovering_until = 0
        return super().retained(now)


class BackAtOnce(LeaseLedger):
    def accept_release(self, now, borrower, unspent):
        super().accept_release(now, borrower, True)


class NeverEnds(LeaseLedger):
    def leased_parts(self, now):
        return sum(loan.parts for loan in self.leased.values())

    def discard_ended(self, now):
        leased = dict(self.leased)
        super().discard_ended(now)
        self.leased = leased


class CountsFromTheAnswer(LeaseLedger):
    def accept_grant(self, now, lender, grant):
        if grant.epoch == self.epoch and grant.parts:
            self.leased[lender] = Lease(grant.parts, now + self.times.borrower_term, grant.number)
        return bool(grant.parts)


class TakesAnswersToAnotherRun(LeaseLedger):
    def accept_grant(self, now, lender, grant):
        return super().accept_grant(now, lender, replace(grant, epoch=self.epoch))


class KeepsWhatItGrants(LeaseLedger):
    def retained(self, now):
        return 0 if now < self.recovering_until else self.own


class GrantsLeasedParts(LeaseLedger):
    def grant(self, now, borrower, parts, used):
        own, self.own = self.own, self.own + self.leased_parts(now)
        try:
            return super().grant(now, borrower, parts, used)
        finally:
            self.own = own


class FreesTheRestAtOnce(LeaseLedger):
    def grant(self, now, borrower, parts, used):
        grant = super().grant(now, borrower, parts, used)
        self.granted = {
            one: loan for one, loan in self.granted.items() if one == borrower or not loan.is_ending
        }
        return grant


class CountsNoWindow(LeaseLedger):
    def grant(self, now, borrower, parts, used):
        grant = super().grant(now, borrower, parts, used)
        if grant.parts:
            self.granted[borrower] = Lease(grant.parts, now + self.times.term)
        return grant


class CountsNoDrift(LeaseLedger):
    def accept_grant(self, now, lender, grant):
        request = self.pending.get(lender)
        came = super().accept_grant(now, lender, grant)
        if came:
            self.leased[lender] = Lease(grant.parts, request.sent_at + self.times.term, grant.number)
        return came


NOTHING = {"deaths": 0, "doubles": 0, "skips": 0, "backs": 0}
EXACT = LeaseTimes(term=3, window=1, drift=Fraction(0))
WINDOWS = LeaseTimes(term=2, window=2, drift=Fraction(0))
APART = LeaseTimes(term=6, window=3, drift=Fraction(1, 6))
REFUTED = {
    IgnoresUse: Scope(asks=1, **NOTHING),
    NotQuiet: Scope(asks=1, **NOTHING | {"deaths": 1}),
    BackAtOnce: Scope(asks=1, **NOTHING | {"backs": 1}),
    NeverEnds: Scope(asks=1, **NOTHING),
    CountsFromTheAnswer: Scope(asks=1, **NOTHING),
    TakesAnswersToAnotherRun: Scope(own=(1, 0), asks=2, **NOTHING | {"deaths": 1}),
    KeepsWhatItGrants: Scope(asks=1, **NOTHING),
    GrantsLeasedParts: Scope(asks=2, parts=2, times=EXACT, **NOTHING),
    FreesTheRestAtOnce: Scope(own=(2, 0), asks=2, **NOTHING),
    CountsNoWindow: Scope(own=(1, 0), asks=1, times=WINDOWS, **NOTHING),
    CountsNoDrift: Scope(own=(1, 0), asks=1, times=APART, **NOTHING | {"skips": 3}),
}


@pytest.mark.parametrize("sabotage", REFUTED, ids=lambda made: made.__name__)
def test_a_sabotaged_ledger_is_refuted_with_a_trace(sabotage):
    scope = REFUTED[sabotage]
    found = LeaseModel(scope, sabotage).explore()
    assert found.trace and found.trace[-1].endswith("spends"), found
    sound = LeaseModel(scope).explore()
    assert not sound.trace and sound.is_complete, "and the book as it is holds in the same scope"


# What is requested, reserved and granted.


NOW = TimeSlot(1, 0.0)


def grantable(policy, borrower, parts, available, used, slot, had=0):
    return policy.grantable(LeaseRequest(borrower, parts, had), LenderBalance(available, used), slot)


def policy_with_demand(attempts, attempt=10.0, name="a", owners=None):
    held = LeasePolicy("limit", name, TIMES, owners or {"a": 100, "b": 100, "c": 100}, RandomSource(1))
    held.observe(0.0, Usage(0.0, attempts * attempt, attempt))
    return held


def test_an_own_demand_is_not_granted_and_what_lies_idle_is():
    idle, busy = policy_with_demand(0), policy_with_demand(9)
    assert grantable(idle, "b", 60, 100, 0.0, 1) == 60
    assert grantable(busy, "b", 60, 100, 0.0, 1) == 40, "nine attempts, and three less by chance"
    assert grantable(busy, "b", 60, 100, 95.0, 1) == 5, "what it has spent is spent"


def test_false_claims_get_no_more_than_lies_idle_and_no_longer_than_a_term():
    owner, ledger = policy_with_demand(8), LeaseLedger(100, TIMES, 1)
    got = ledger.grant(
        0.0, LeaseRequestId("liar", 1, 1), grantable(owner, "liar", PARTS_PER_LIMIT, 100, 0.0, 1), 0.0
    ).parts
    assert got <= 40 and ledger.retained(0.0) >= 60
    for look in range(20):  # now it needs all of it itself
        owner.observe(0.1 + look / 10, Usage(0.0, 130.0, 10.0))
    assert grantable(owner, "liar", PARTS_PER_LIMIT, 100, 0.0, 1, had=got) == 0, "nothing is renewed"
    assert ledger.retained(TIMES.recovery) == 100


def test_parts_too_few_for_an_attempt_go_to_the_one_with_precedence():
    mine, other = policy_with_demand(1, attempt=150.0), policy_with_demand(1, attempt=150.0, name="b")
    for turn in range(20):
        a_lends, b_lends = grantable(mine, "b", 50, 100, 0.0, turn), grantable(other, "a", 50, 100, 0.0, turn)
        assert sorted((a_lends, b_lends)) == [0, 50], "one of both, never both and never none"
        assert (a_lends > 0) == (rank("limit", turn, "b") > rank("limit", turn, "a"))


def test_it_requests_what_it_lacks_renews_what_it_needs_and_releases_the_rest():
    held, ledger = policy_with_demand(20), LeaseLedger(100, TIMES, 1)
    plans = held.plan(0.1, ledger, ["b", "c"], NOW)
    assert {type(plan) for plan in plans} == {PlannedAcquire} and sum(plan.parts for plan in plans) == 140
    for plan in plans:
        number = ledger.request(0.1, plan.lender, plan.parts)
        ledger.accept_grant(0.2, plan.lender, Grant(1, number, plan.parts))
    assert held.plan(0.3, ledger, ["b", "c"], NOW) == []
    held.observe(1.4, Usage(200.0, 200.0, 10.0))
    assert sorted(plan.lender for plan in held.plan(1.4, ledger, ["b", "c"], NOW)) == ["b", "c"], "renewed"
    held.demand_until = 1.4
    held.observe(1.5, Usage(0.0, 50.0, 10.0))
    assert {type(plan) for plan in held.plan(1.5, ledger, ["b", "c"], NOW)} == {PlannedRelease}


def test_less_than_an_attempt_gathered_in_vain_is_released():
    held, ledger = policy_with_demand(1, attempt=150.0), LeaseLedger(100, TIMES, 1)
    number = ledger.request(0.0, "b", 20)
    ledger.accept_grant(0.1, "b", Grant(1, number, 20))
    held.refused_until = {"b": 99.0, "c": 99.0}
    assert held.plan(0.2, ledger, ["b", "c"], NOW) == []
    held.observe(1.2, Usage(0.0, 150.0, 150.0))
    assert held.plan(0.2 + lease_policy.GATHERING_TIMEOUT, ledger, ["b", "c"], NOW) == [PlannedRelease("b")]


# Many fronts, their network and clocks.


def test_seeds_of_faults_never_pass_the_limit_and_come_near_it():
    found = search(range(1, 41))
    assert found["over"] == [] and found["worst of the limit"] > 0.95


def used(kind, demand="skewed", **held):
    return QuotaExperiment(1, QuotaSettings(kind=kind, demand=demand, most=200.0, rate=180.0, **held)).play()


def test_a_busy_front_gets_what_others_leave_idle():
    leases, fixed, oracle = (used(kind).utilisation() for kind in ("leases", "fixed", "oracle"))
    assert leases > 0.95 * oracle > 2 * fixed


SPLIT = ((8.0, "split", 12.0),)


@pytest.mark.parametrize("demand", ["even", "skewed", "moving", "wandering"])
def test_a_partition_leaves_nobody_worse_off_than_fixed_quotas(demand):
    leases, fixed = (used(kind, demand, faults=SPLIT) for kind in ("leases", "fixed"))
    assert leases.utilisation() >= 0.97 * fixed.utilisation() and leases.max_in_window() <= 200


def test_counts_by_gossip_are_over_and_a_central_counter_falls_with_its_link():
    assert used("gossip", "even").max_in_window() > 1.05 * 200
    central = used("central", "even", faults=((6.0, "split", 20.0),)).utilisation(8.0)
    assert central < 0.7 * used("leases", "even", faults=((6.0, "split", 20.0),)).utilisation(8.0)


def test_clocks_that_drift_more_than_is_stated_are_what_the_bound_says():
    within = [
        QuotaExperiment(seed, QuotaSettings(most=60.0, demand="wandering")).play().max_in_window()
        for seed in range(1, 6)
    ]
    beyond = [
        QuotaExperiment(seed, QuotaSettings(most=60.0, demand="wandering", excess_drift=0.3, seconds=60.0))
        .play()
        .max_in_window()
        for seed in range(1, 6)
    ]
    assert max(within) <= 60
    assert 60 < max(beyond) <= 120, "over, by no more than what is lent at most"


def test_two_hundred_fronts_and_a_budget_of_one_attempt():
    run = QuotaExperiment(
        1, QuotaSettings(fronts=200, most=1.0, rate=100.0, demand="even", seconds=8.0)
    ).play()
    assert run.max_in_window() == 1 and len(run.admitted) >= 2, "one front at a time gathers all of it"


def test_all_started_at_once_hold_nothing_until_the_oldest_lease_would_have_ended():
    run = QuotaExperiment(1, QuotaSettings(seconds=8.0, demand="even", faults=()))
    for number in range(4):
        run.fronts[number].is_up = False
        run.start(number, 2)
    run.play()
    assert min(run.admitted) >= run.settings.times.recovery * 0.98 and run.max_in_window() <= 60


def test_a_lender_that_dies_and_returns_does_not_spend_what_is_still_granted():
    settings = QuotaSettings(seconds=14.0, faults=tuple((at, "kill", 0.3) for at in (4.0, 6.0, 8.0, 10.0)))
    assert (
        max(QuotaExperiment(seed, settings).play().max_in_window() for seed in range(1, 9)) <= settings.most
    )


def test_a_process_frozen_past_its_lease_reads_the_clock_before_it_spends():
    run = QuotaExperiment(1, QuotaSettings(demand="skewed", seconds=14.0))
    run.events.schedule(6.0, lambda: setattr(run.fronts[0], "frozen_until", 9.5))
    run.play()
    assert run.max_in_window() <= 60
    assert run.fronts[0].limits.counts["leases acquired"] > 0


def test_a_unix_clock_that_steps_changes_no_safety():
    run = QuotaExperiment(1, QuotaSettings(most=2.0, rate=20.0, demand="even"))
    for at, step in ((8.0, 10.0), (16.0, -10.0)):
        run.events.schedule(at, lambda step=step: run.clock_steps.update({1: step, 3: -step}))
    assert run.play().max_in_window() <= 2 and len(run.admitted) > 8


def test_the_drawn_shapes_cover_demands_and_faults():
    drawn = [draw_settings(seed) for seed in range(1, 60)]
    assert {settings.demand for settings in drawn} == {"even", "skewed", "moving", "wandering"}
    assert {fault for settings in drawn for _, fault, _ in settings.faults} == {
        "split", "kill", "freeze", "slow", "one-way",
    }  # fmt: skip
    assert LIMIT.startswith("type:")


# Limits divided by demand.


def test_fractions_by_demand_add_up_to_one_where_views_are_alike():
    needs = {"a": 90.0, "b": 8.0, "c": 2.0}
    parts = [
        demand_fraction(one, needs[one], {n: PeerFigure(0.5, needs[n]) for n in needs if n != one}, needs)
        for one in needs
    ]
    assert parts == [0.9, 0.08, 0.02]
    assert demand_fraction("a", 0.0, {}, ["b"]) == 0.5, "nothing said yet: an equal share"
    assert demand_fraction("a", 0.0, {"b": PeerFigure(0.1, 50.0)}, ["b"]) == FLOOR / 2
    assert (
        demand_fraction("a", 9.0, {"b": PeerFigure(99.0, 1.0)}, ["b"]) == 0.5
    ), "an old word counts for nothing"
    assert demand_fraction("a", 9.0, {"b": PeerFigure(0.1, 9.0)}, []) == 1.0, "alone in its view"


def test_a_demand_is_a_running_mean():
    demand = DemandEstimate()
    demand.update(0.0)
    for second in range(1, 12):
        for _ in range(10):
            demand.add()
        demand.update(float(second))
    assert demand.mean == pytest.approx(10.0, rel=0.01)
