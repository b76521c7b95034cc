"""What a front requests of one limit, reserves, grants and releases. No I/O.

Safety is the ledger's (`lease_ledger`): whatever is chosen here, no strict limit is exceeded. What is chosen
here is how much of a limit lies idle. All amounts are parts of the limit.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from weldbend.fleet.lease_ledger import PARTS, LeaseLedger, LeaseTimes, PendingRequest
from weldbend.fleet.rendezvous import rank
from weldbend.routing.random_source import RandomSource

LENDERS = 4  # to which requests go at a time
MOST_LENDERS = 64  # the same, where parts of one attempt are still to be gathered
ANSWER_TIMEOUT = 0.45  # seconds for which an answer is waited for
GATHERING_TIMEOUT = 1.2  # seconds after which what has been gathered, less than an attempt, is released
STEP = 0.02  # seconds by which each waits for the front before it to send its requests
MARGIN = 1.2  # factor on a demand of many attempts: it grows while answers are on their way
MANY_ATTEMPTS = 4.0
RESERVED_PERIODS = 5.0  # terms and windows for which one attempt is reserved after a demand
LOOKBACK = 2.0  # terms and windows for which an own demand keeps parts from being granted
ROUNDING = 1e-9  # parts that are lost to floating point


@dataclass(frozen=True, slots=True)
class Usage:
    """A sample of the use of a limit, in parts.

    Attributes:
        used: spent in the last window.
        wanted: what a window would take as things go.
        attempt: parts that one attempt takes.
    """

    used: float
    wanted: float
    attempt: float = 1.0


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
        had: parts that it has on lease already.
    """

    borrower: str
    parts: int
    had: int = 0


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
        attempt: parts that one attempt takes, exactly.
        demand: attempts of a window that this front could use.
        demand_until: until when `demand` holds, where less is demanded since; seconds.
        latest: demand by the last sample.
        mean: demand as a mean of samples, the latest ones counting most.
        sampled_at: when the last sample was taken.
        demanded_at: when the last sample was that found a demand.
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
    attempt: float = 1.0
    demand: float = 0.0
    demand_until: float = -math.inf
    latest: float = 0.0
    mean: float = 0.0
    sampled_at: float = -math.inf
    demanded_at: float = -math.inf
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
        self.attempt = usage.attempt
        self.latest = attempts = max(usage.used, usage.wanted) / usage.attempt
        self.mean += (1 - math.exp((self.sampled_at - now) / self.period)) * (attempts - self.mean)
        self.sampled_at = now
        self._add_peak(now, attempts)
        if attempts >= self.demand or now >= self.demand_until:
            self.demand = attempts
            self.demand_until = now + self.times.term
            if self.attempt_parts > self.owners.get(self.name, 0):  # gathering one takes a slot
                self.demand_until = now + 2 * self.times.term + self.times.window

    def _add_peak(self, now: float, attempts: float) -> None:
        while self.peaks and self.peaks[-1][1] <= attempts:
            self.peaks.pop()
        if attempts:
            self.peaks.append((now, attempts))
            self.demanded_at = now
        while self.peaks and self.peaks[0][0] <= now - LOOKBACK * self.period:
            self.peaks.popleft()

    def parts_of(self, attempts: float) -> int:
        """Parts that so many attempts take; a part of an attempt is worth nothing."""
        return min(math.ceil(math.ceil(attempts - ROUNDING) * self.attempt - ROUNDING), PARTS)

    @property
    def attempt_parts(self) -> int:
        """Whole parts that one attempt takes."""
        return max(self.parts_of(1.0), 1)

    def wanted_parts(self) -> int:
        """Parts that this front wants to hold."""
        return self.parts_of(self.demand * MARGIN if self.demand > MANY_ATTEMPTS else self.demand)

    # As a lender.

    def reserved_parts(self) -> int:
        """Parts that it demanded at most of late, without what chance makes of that.

        Guards against demand that comes and goes: what is granted is unavailable for a term and a window, so
        a quota that was demanded that lately is worth more here. Harm: one that moves for good is granted
        that much later.
        """
        attempts = self.peaks[0][1] if self.peaks else 0.0
        is_recent = self.sampled_at - self.demanded_at < RESERVED_PERIODS * self.period
        return self.parts_of(max(attempts - math.sqrt(attempts), 1.0 if is_recent else 0.0))

    def certain_parts(self) -> float:
        """Parts that it demands on the mean, or now beyond what chance may have made of that."""
        return max(self.latest - 2 * math.sqrt(self.latest), self.mean) * self.attempt

    def grantable(self, request: LeaseRequest, balance: LenderBalance, slot: int) -> int:
        """Return how many parts of what is available to grant on a request.

        A lease is renewed unless this front certainly demands it, since what is taken back and granted again
        lies idle for a window each time. What this front demands itself stays, so one that claims too much
        gets only what lies idle, for a term. Parts that are less than an attempt are worth nothing here
        alone: all of them go to a front that has precedence in this time slot.
        """
        available = balance.available
        if available < self.attempt_parts:
            spare = available if self.has_precedence(request.borrower, slot) else 0
        else:
            rest = available - request.had + balance.returning
            certain = self.certain_parts()
            if certain <= rest:
                spare = max(request.had, available - self.reserved_parts())
            else:
                spare = request.had - math.ceil(certain - rest)
            spare -= spare % self.attempt_parts  # less than an attempt serves nobody
        return max(min(request.parts, spare, math.floor(available - balance.used)), 0)

    def has_precedence(self, borrower: str, slot: int) -> bool:
        """Whether a borrower ranks before all others that sent requests in this slot, and before this front.

        Guards against several that each gather parts of an attempt, and none a whole one.
        """
        if slot != self.slot:
            self.slot = slot
            self.best_rank = rank(self.limit, slot, self.name) if self.demand else -1
        found = rank(self.limit, slot, borrower)
        self.best_rank = max(self.best_rank, found)
        return found == self.best_rank

    # As a borrower.

    def note_answer(self, now: float, lender: str, spare: int, has_more: bool) -> None:
        """Take in a lender's answer; `has_more` where it granted more than was leased before."""
        self.spare_hints[lender] = spare
        if not (has_more or spare):
            self.refused_until[lender] = now + self.times.term / 2

    def plan(self, now: float, ledger: LeaseLedger, alive: Iterable[str], slot: TimeSlot) -> list[Plan]:
        """Return what to request, renew and release now; `alive` are members that may answer."""
        available = ledger.available(now)
        surplus = available - self.wanted_parts()
        releases = list(self._releases(ledger, surplus))
        released = {plan.lender for plan in releases}
        requests = {plan.lender: plan for plan in self._renewals(now, ledger) if plan.lender not in released}
        if surplus >= 0:
            self.gathering_since = None
            return [*releases, *requests.values()]
        has_attempt = available >= self.attempt_parts
        if not has_attempt and (not self._may_gather(slot, alive) or self._gathered_in_vain(now)):
            return [PlannedRelease(lender) for lender in ledger.leased]
        if has_attempt or now >= self.backoff_until:
            missing = -surplus - self._pending_parts(now, ledger)
            for request in self._requests(now, ledger, missing, alive, slot):
                requests[request.lender] = request
        return [*releases, *requests.values()]

    def _may_gather(self, slot: TimeSlot, alive: Iterable[str]) -> bool:
        """Whether this front may gather an attempt from parts that are each less than one.

        Guards against many that each hold some parts and none an attempt. In each slot all stand in an order
        that all compute alike: as many as there are attempts begin at once, the others each a moment later
        than the one before them, unless a front that ranks before them has sent a request here meanwhile.
        """
        own = rank(self.limit, slot.number, self.name)
        if self.slot == slot.number and self.best_rank > own:
            return False
        before = sum(rank(self.limit, slot.number, name) > own for name in alive if name != self.name)
        delay = max(before - PARTS // self.attempt_parts + 1, 0) * STEP
        return delay <= slot.elapsed < self.period

    def _releases(self, ledger: LeaseLedger, surplus: int) -> Iterator[PlannedRelease]:
        """Whole leases that are not needed any more, the smallest first."""
        for lender, loan in sorted(ledger.leased.items(), key=lambda entry: entry[1].parts):
            if loan.parts > surplus:
                return
            surplus -= loan.parts
            yield PlannedRelease(lender)

    def _renewals(self, now: float, ledger: LeaseLedger) -> Iterator[PlannedAcquire]:
        """Leases that are needed on, in the second half of their term; each requested once in a while."""
        for lender, loan in ledger.leased.items():
            is_pending = lender in ledger.pending and self._is_fresh(ledger.pending[lender], now)
            if loan.end - now < self.times.term / 2 and not is_pending and self.demand > 0:
                yield PlannedAcquire(lender, loan.parts)

    def _pending_parts(self, now: float, ledger: LeaseLedger) -> int:
        """Parts that may come of what was requested, beyond what is held already."""
        leased = {lender: loan.parts for lender, loan in ledger.leased.items()}
        return sum(
            max(request.parts - leased.get(lender, 0), 0)
            for lender, request in ledger.pending.items()
            if self._is_fresh(request, now)
        )

    def _is_fresh(self, request: PendingRequest, now: float) -> bool:
        """Whether its answer may still come."""
        return now - request.sent_at < ANSWER_TIMEOUT

    def _gathered_in_vain(self, now: float) -> bool:
        """Whether less than an attempt has been gathered for too long: others may make a whole one of it."""
        if self.gathering_since is None:
            self.gathering_since = now
        if now - self.gathering_since < GATHERING_TIMEOUT:
            return False
        self.gathering_since = None
        self.backoff_until = now + self.times.term * (0.5 + self.random.random())
        return True

    def _requests(
        self, now: float, ledger: LeaseLedger, missing: int, alive: Iterable[str], slot: TimeSlot
    ) -> Iterator[PlannedAcquire]:
        """Requests to some lenders that may have something to spare.

        Those whose answers say so come first, the others in random order. A front that gathers an attempt
        sends to those first that rank next in this slot: they then leave it to this one. From each lender
        there is one lease at most: more is requested together with what is leased.
        """
        if missing <= 0:
            return
        lenders = self._lenders(now, ledger, alive)
        if ledger.available(now) < self.attempt_parts:
            lenders.sort(key=lambda name: rank(self.limit, slot.number, name), reverse=True)
            most = MOST_LENDERS
        else:
            lenders.sort(key=lambda name: (-self.spare_hints.get(name, 0), self.random.random()))
            most = LENDERS
        count = min(len(lenders), most)
        for place, lender in enumerate(lenders[:count]):
            loan = ledger.leased.get(lender)
            leased = loan.parts if loan else 0
            parts = min(math.ceil(missing / (count - place)), self.owners[lender] - leased, missing)
            if parts <= 0:
                continue
            yield PlannedAcquire(lender, leased + parts)
            missing -= parts
            if missing <= 0:
                return

    def _lenders(self, now: float, ledger: LeaseLedger, alive: Iterable[str]) -> list[str]:
        """Members that own parts, have no fresh request and did not just refuse."""
        busy = {lender for lender, request in ledger.pending.items() if self._is_fresh(request, now)}
        return [
            name
            for name in alive
            if name != self.name
            and self.owners.get(name)
            and name not in busy
            and self.refused_until.get(name, -math.inf) <= now
        ]
