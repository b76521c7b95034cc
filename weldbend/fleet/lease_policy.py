"""What a front requests of one limit, reserves, grants and releases. No I/O.

Safety is the ledger's (`lease_ledger`): whatever is chosen here, no strict limit is exceeded. What is chosen
here is how much of a limit lies idle. All amounts are parts of the limit.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from weldbend.fleet.lease_ledger import PARTS_PER_LIMIT, LeaseLedger, LeaseTimes, PendingRequest
from weldbend.fleet.rendezvous import rank
from weldbend.routing.random_source import RandomSource

MAX_LENDERS = 4  # to which requests go at a time
MAX_LENDERS_WHEN_GATHERING = 64  # the same, where parts of one attempt are still to be gathered
ANSWER_TIMEOUT = 0.45  # seconds for which an answer is waited for
GATHERING_TIMEOUT = 1.2  # seconds after which what has been gathered, less than an attempt, is released
GATHERING_STAGGER = 0.02  # seconds by which each waits for the front before it to send its requests
DEMAND_MARGIN = 1.2  # factor on a demand of many attempts: it grows while answers are on their way
MARGIN_MIN_ATTEMPTS = 4.0
RESERVED_PERIODS = 5.0  # terms and windows for which one attempt is reserved after a demand
PEAK_PERIODS = 2.0  # terms and windows for which an own demand keeps parts from being granted
ROUNDING_TOLERANCE = 1e-9  # parts that are lost to floating point


@dataclass(frozen=True, slots=True)
class Usage:
    """A sample of the use of a limit, in parts.

    Attributes:
        used: spent in the last window.
        wanted: what a window would take as things go.
        attempt_cost: parts that one attempt takes.
    """

    used: float
    wanted: float
    attempt_cost: float = 1.0


@dataclass(frozen=True, slots=True)
class TimeSlot:
    """Slots of time by the Unix clock, for precedence. Only how much lies idle goes by them.

    Attributes:
        number: of the slot.
        elapsed: seconds since it began.
    """

    number: int
    elapsed: float


def time_slot_at(unix: float, times: LeaseTimes) -> TimeSlot:
    """Return the slot of a Unix second: in one slot parts are gathered, used, and have come back."""
    duration = 2 * times.term + times.window
    number = int(unix / duration)
    return TimeSlot(number, unix - number * duration)


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A borrower's request, as its lender judges it.

    Attributes:
        borrower: the front's name.
        parts: requested in all.
        already_leased: parts that it has on lease already.
    """

    borrower: str
    parts: int
    already_leased: int = 0


@dataclass(frozen=True, slots=True)
class LenderBalance:
    """What a lender has to grant from, in parts.

    Attributes:
        available: its own, with what the borrower has on lease already.
        used: what it spent in the last window.
        returning: what comes back by itself soon.
    """

    available: int
    used: float
    returning: int = 0


@dataclass(frozen=True, slots=True)
class PlannedAcquire:
    """Request so many parts in all from a lender."""

    lender: str
    parts: int


@dataclass(frozen=True, slots=True)
class PlannedRelease:
    """Release the lease of a lender."""

    lender: str


Plan = PlannedAcquire | PlannedRelease


@dataclass
class LeasePolicy:
    """One front's choices about one limit.

    Demand is held in attempts, since the parts that one takes of a limit that grows change meanwhile.

    Attributes:
        limit: its name.
        name: this front's.
        times: of the limit.
        owners: how many parts each member owns.
        random: for the order of lenders, and for backoff.
        attempt_cost: parts that one attempt takes, exactly.
        demand: attempts of a window that this front could use.
        demand_until: until when `demand` holds, where less is demanded since; seconds.
        latest_demand: demand by the last sample.
        mean_demand: demand as a mean of samples, the latest ones counting most.
        sampled_at: when the last sample was taken.
        last_demand_at: when the last sample was that found a demand.
        peaks: demands of late with their moments, each above those after it.
        slot: the latest in which parts too few for an attempt were requested.
        best_rank: the highest in that slot.
        gathering_since: since when it holds less than an attempt and requests the rest; None where not.
        backoff_until: until when it sends no requests, having gathered in vain.
        spare_hints: what lenders could spare, by their answers.
        refused_until: until when lenders get no more requests.
    """

    limit: str
    name: str
    times: LeaseTimes
    owners: Mapping[str, int]
    random: RandomSource
    attempt_cost: float = 1.0
    demand: float = 0.0
    demand_until: float = -math.inf
    latest_demand: float = 0.0
    mean_demand: float = 0.0
    sampled_at: float = -math.inf
    last_demand_at: float = -math.inf
    peaks: deque[tuple[float, float]] = field(default_factory=deque)
    slot: int = -1
    best_rank: int = -1
    gathering_since: float | None = None
    backoff_until: float = -math.inf
    spare_hints: dict[str, int] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)

    @property
    def period(self) -> float:
        """A term and a window, in seconds: for that long, parts that are granted are gone."""
        return self.times.term + self.times.window

    def observe(self, now: float, usage: Usage) -> None:
        """Take in a sample: demand rises at once, and falls after a term.

        What was released early would be requested again.
        """
        self.attempt_cost = usage.attempt_cost
        self.latest_demand = attempts = max(usage.used, usage.wanted) / usage.attempt_cost
        self.mean_demand += (1 - math.exp((self.sampled_at - now) / self.period)) * (
            attempts - self.mean_demand
        )
        self.sampled_at = now
        self._add_peak(now, attempts)
        if attempts >= self.demand or now >= self.demand_until:
            self.demand = attempts
            self.demand_until = now + self.times.term
            if self.whole_attempt_parts > self.owners.get(self.name, 0):  # gathering one takes a slot
                self.demand_until = now + 2 * self.times.term + self.times.window

    def _add_peak(self, now: float, attempts: float) -> None:
        while self.peaks and self.peaks[-1][1] <= attempts:
            self.peaks.pop()
        if attempts:
            self.peaks.append((now, attempts))
            self.last_demand_at = now
        while self.peaks and self.peaks[0][0] <= now - PEAK_PERIODS * self.period:
            self.peaks.popleft()

    def parts_of(self, attempts: float) -> int:
        """Parts that so many attempts take; a part of an attempt is worth nothing."""
        return min(
            math.ceil(math.ceil(attempts - ROUNDING_TOLERANCE) * self.attempt_cost - ROUNDING_TOLERANCE),
            PARTS_PER_LIMIT,
        )

    @property
    def whole_attempt_parts(self) -> int:
        """Whole parts that one attempt takes."""
        return max(self.parts_of(1.0), 1)

    def wanted_parts(self) -> int:
        """Parts that this front wants to hold."""
        return self.parts_of(
            self.demand * DEMAND_MARGIN if self.demand > MARGIN_MIN_ATTEMPTS else self.demand
        )

    # As a lender.

    def reserved_parts(self) -> int:
        """Parts that it demanded at most of late, without what chance makes of that.

        Guards against demand that comes and goes: what is granted is unavailable for a term and a window, so
        a quota that was demanded that lately is worth more here. Harm: one that moves for good is granted
        that much later.
        """
        attempts = self.peaks[0][1] if self.peaks else 0.0
        is_recent = self.sampled_at - self.last_demand_at < RESERVED_PERIODS * self.period
        return self.parts_of(max(attempts - math.sqrt(attempts), 1.0 if is_recent else 0.0))

    def confident_demand_parts(self) -> float:
        """Parts that it demands on the mean, or now beyond what chance may have made of that."""
        return (
            max(self.latest_demand - 2 * math.sqrt(self.latest_demand), self.mean_demand) * self.attempt_cost
        )

    def grantable(self, request: LeaseRequest, balance: LenderBalance, slot: int) -> int:
        """Return how many parts of what is available to grant on a request.

        A lease is renewed unless this front certainly demands it, since what is taken back and granted again
        lies idle for a window each time. What this front demands itself stays, so one that claims too much
        gets only what lies idle, for a term. Parts that are less than an attempt are worth nothing here
        alone: all of them go to a front that has precedence in this time slot.
        """
        available = balance.available
        if available < self.whole_attempt_parts:
            spare = available if self.has_precedence(request.borrower, slot) else 0
        else:
            remaining = available - request.already_leased + balance.returning
            confident_demand = self.confident_demand_parts()
            if confident_demand <= remaining:
                spare = max(request.already_leased, available - self.reserved_parts())
            else:
                spare = request.already_leased - math.ceil(confident_demand - remaining)
            spare -= spare % self.whole_attempt_parts  # less than an attempt serves nobody
        return max(min(request.parts, spare, math.floor(available - balance.used)), 0)

    def has_precedence(self, borrower: str, slot: int) -> bool:
        """Whether a borrower ranks before all others that sent requests in this slot, and before this front.

        Guards against several that each gather parts of an attempt, and none a whole one.
        """
        if slot != self.slot:
            self.slot = slot
            self.best_rank = rank(self.limit, slot, self.name) if self.demand else -1
        borrower_rank = rank(self.limit, slot, borrower)
        self.best_rank = max(self.best_rank, borrower_rank)
        return borrower_rank == self.best_rank

    # As a borrower.

    def record_answer(self, now: float, lender: str, spare: int, has_more: bool) -> None:
        """Take in a lender's answer; `has_more` where it granted more than was leased before."""
        self.spare_hints[lender] = spare
        if not (has_more or spare):
            self.refused_until[lender] = now + self.times.term / 2

    def plan(self, now: float, ledger: LeaseLedger, alive: Iterable[str], slot: TimeSlot) -> list[Plan]:
        """Return what to request, renew and release now; `alive` are members that may answer."""
        available = ledger.available(now)
        surplus = available - self.wanted_parts()
        releases = list(self._plan_releases(ledger, surplus))
        released = {plan.lender for plan in releases}
        requests = {
            plan.lender: plan for plan in self._plan_renewals(now, ledger) if plan.lender not in released
        }
        if surplus >= 0:
            self.gathering_since = None
            return [*releases, *requests.values()]
        has_attempt = available >= self.whole_attempt_parts
        if not has_attempt and (not self._may_gather(slot, alive) or self._gathering_timed_out(now)):
            return [PlannedRelease(lender) for lender in ledger.leased]
        if has_attempt or now >= self.backoff_until:
            missing = -surplus - self._pending_parts(now, ledger)
            for request in self._plan_requests(now, ledger, missing, alive, slot):
                requests[request.lender] = request
        return [*releases, *requests.values()]

    def _may_gather(self, slot: TimeSlot, alive: Iterable[str]) -> bool:
        """Whether this front may gather an attempt from parts that are each less than one.

        Guards against many that each hold some parts and none an attempt. In each slot all stand in an order
        that all compute alike: as many as there are attempts begin at once, the others each a moment later
        than the one before them, unless a front that ranks before them has sent a request here meanwhile.
        """
        own_rank = rank(self.limit, slot.number, self.name)
        if self.slot == slot.number and self.best_rank > own_rank:
            return False
        higher_ranked = sum(
            rank(self.limit, slot.number, name) > own_rank for name in alive if name != self.name
        )
        delay = max(higher_ranked - PARTS_PER_LIMIT // self.whole_attempt_parts + 1, 0) * GATHERING_STAGGER
        return delay <= slot.elapsed < self.period

    def _plan_releases(self, ledger: LeaseLedger, surplus: int) -> Iterator[PlannedRelease]:
        """Whole leases that are not needed any more, the smallest first."""
        for lender, lease in sorted(ledger.leased.items(), key=lambda entry: entry[1].parts):
            if lease.parts > surplus:
                return
            surplus -= lease.parts
            yield PlannedRelease(lender)

    def _plan_renewals(self, now: float, ledger: LeaseLedger) -> Iterator[PlannedAcquire]:
        """Leases that are needed on, in the second half of their term; each requested once in a while."""
        for lender, lease in ledger.leased.items():
            is_pending = lender in ledger.pending and self._may_be_answered(ledger.pending[lender], now)
            if lease.end - now < self.times.term / 2 and not is_pending and self.demand > 0:
                yield PlannedAcquire(lender, lease.parts)

    def _pending_parts(self, now: float, ledger: LeaseLedger) -> int:
        """Parts that may come of what was requested, beyond what is held already."""
        leased = {lender: lease.parts for lender, lease in ledger.leased.items()}
        return sum(
            max(request.parts - leased.get(lender, 0), 0)
            for lender, request in ledger.pending.items()
            if self._may_be_answered(request, now)
        )

    def _may_be_answered(self, request: PendingRequest, now: float) -> bool:
        """Whether its answer may still come."""
        return now - request.sent_at < ANSWER_TIMEOUT

    def _gathering_timed_out(self, now: float) -> bool:
        """Whether less than an attempt has been gathered for too long: others may make a whole one of it."""
        if self.gathering_since is None:
            self.gathering_since = now
        if now - self.gathering_since < GATHERING_TIMEOUT:
            return False
        self.gathering_since = None
        self.backoff_until = now + self.times.term * (0.5 + self.random.random())
        return True

    def _plan_requests(
        self, now: float, ledger: LeaseLedger, missing: int, alive: Iterable[str], slot: TimeSlot
    ) -> Iterator[PlannedAcquire]:
        """Requests to some lenders that may have something to spare.

        Those whose answers say so come first, the others in random order. A front that gathers an attempt
        sends to those first that rank next in this slot: they then leave it to this one. From each lender
        there is one lease at most: more is requested together with what is leased.
        """
        if missing <= 0:
            return
        lenders = self._available_lenders(now, ledger, alive)
        if ledger.available(now) < self.whole_attempt_parts:
            lenders.sort(key=lambda name: rank(self.limit, slot.number, name), reverse=True)
            max_lenders = MAX_LENDERS_WHEN_GATHERING
        else:
            lenders.sort(key=lambda name: (-self.spare_hints.get(name, 0), self.random.random()))
            max_lenders = MAX_LENDERS
        count = min(len(lenders), max_lenders)
        for index, lender in enumerate(lenders[:count]):
            lease = ledger.leased.get(lender)
            leased_parts = lease.parts if lease else 0
            parts = min(math.ceil(missing / (count - index)), self.owners[lender] - leased_parts, missing)
            if parts <= 0:
                continue
            yield PlannedAcquire(lender, leased_parts + parts)
            missing -= parts
            if missing <= 0:
                return

    def _available_lenders(self, now: float, ledger: LeaseLedger, alive: Iterable[str]) -> list[str]:
        """Members that own parts, have no fresh request and did not just refuse."""
        busy = {lender for lender, request in ledger.pending.items() if self._may_be_answered(request, now)}
        return [
            name
            for name in alive
            if name != self.name
            and self.owners.get(name)
            and name not in busy
            and self.refused_until.get(name, -math.inf) <= now
        ]
