"""Policy by which a front requests, reserves, grants and releases leases of one limit. No I/O.

The ledger (`lease_ledger`) ensures that no strict limit is exceeded, regardless of the choices made here. The
policy only affects how much of a limit stays unused. All amounts are parts of the limit (`PARTS_PER_LIMIT`),
unless they are called attempts.

A front that wants to make an attempt, but holds fewer parts than one attempt takes, gathers them: it requests
leases from up to `MAX_LENDERS_WHEN_GATHERING` members in one call of `plan`.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from weldbend.fleet.lease_ledger import PARTS_PER_LIMIT, LeaseLedger, LeaseTimes, PendingRequest
from weldbend.fleet.rendezvous import rank
from weldbend.routing.random_source import RandomSource

MAX_LENDERS = 4  # lenders that are asked for further parts in one call of `plan`
MAX_LENDERS_WHEN_GATHERING = 64  # the same while this front holds fewer parts than one attempt takes
ANSWER_TIMEOUT = 0.45  # seconds after which a request counts as lost, and its lender may be asked again
GATHERING_TIMEOUT = 1.2  # seconds after which gathered parts are released if they are too few for an attempt
GATHERING_STAGGER = 0.02  # seconds by which a front begins to gather after the one ranked next above it
DEMAND_MARGIN = 1.2  # factor on a high demand, because it may grow before the lenders' answers arrive
MARGIN_MIN_ATTEMPTS = 4.0  # demand, in attempts in a window, above which `DEMAND_MARGIN` is applied
RESERVED_PERIODS = 5.0  # periods (a term and a window) after the last demand with one attempt still reserved
PEAK_PERIODS = 2.0  # periods for which the parts of this front's own peak demand are not granted to others
ROUNDING_TOLERANCE = 1e-9  # parts or attempts; allows for floating-point rounding


@dataclass(frozen=True, slots=True)
class Usage:
    """A sample of the use of a limit, in parts.

    Attributes:
        used: number of parts spent in the last window.
        wanted: number of parts that the current demand would spend in a window.
        attempt_cost: number of parts that one attempt takes.
    """

    used: float
    wanted: float
    attempt_cost: float = 1.0


@dataclass(frozen=True, slots=True)
class TimeSlot:
    """A slot of time by the Unix clock; in each slot the fronts have another order in which they may gather.

    A wrong Unix clock only affects how many parts stay unused, not whether the limit holds.

    Attributes:
        number: number of the slot.
        elapsed: time since the slot began, in seconds.
    """

    number: int
    elapsed: float


def time_slot_at(unix: float, times: LeaseTimes) -> TimeSlot:
    """Return the time slot of a Unix time.

    A slot is long enough to gather the parts of one attempt, to spend them and to return them.
    """
    duration = 2 * times.term + times.window
    number = int(unix / duration)
    return TimeSlot(number, unix - number * duration)


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A borrower's request, as the lender's policy evaluates it.

    Attributes:
        borrower: name of the front that sent the request.
        parts: total number of requested parts.
        already_leased: number of those parts that the borrower already leases from this lender and can renew.
    """

    borrower: str
    parts: int
    already_leased: int = 0


@dataclass(frozen=True, slots=True)
class LenderBalance:
    """Parts that a lender can grant from.

    Attributes:
        available: number of parts that the lender retains, plus those already leased to the borrower.
        used: number of parts that the lender spent in the last window.
        returning: number of granted parts whose leases cannot be renewed, and that return when these end.
    """

    available: int
    used: float
    returning: int = 0


@dataclass(frozen=True, slots=True)
class PlannedAcquire:
    """Decision to request `parts` parts in total from a lender."""

    lender: str
    parts: int


@dataclass(frozen=True, slots=True)
class PlannedRelease:
    """Decision to release the lease from a lender."""

    lender: str


Plan = PlannedAcquire | PlannedRelease


@dataclass
class LeasePolicy:
    """Lease policy of one front for one limit.

    Demand is stored in attempts, because the number of parts that an attempt takes changes as a limit grows.

    Attributes:
        limit: name of the limit.
        name: name of this front.
        times: durations of the limit.
        owners: number of parts that each member owns.
        random: source of random numbers for the order of lenders and for backoff.
        attempt_cost: exact number of parts that one attempt takes.
        demand: number of attempts in a window that this front could use.
        demand_until: time in seconds before which `demand` is not lowered.
        latest_demand: demand of the last sample.
        mean_demand: running mean of the sampled demand; recent samples have the greatest weight.
        sampled_at: time of the last sample, in seconds.
        last_demand_at: time of the last sample with any demand, in seconds.
        peaks: recent samples as pairs of time and demand, each demand higher than all later ones.
        slot: number of the last time slot in which a front requested parts from this one while this one had
            fewer parts left than one attempt takes; -1 before the first such request.
        best_rank: highest rank in that slot of the fronts that sent such requests, and of this front if it
            had demand at the first of them; -1 before the first such request.
        gathering_since: time in seconds when this front began to gather the parts of one attempt. None once
            it has all parts that it wants or has gathered for `GATHERING_TIMEOUT`, until it gathers again.
        backoff_until: time in seconds before which this front, after its gathering timed out, requests no
            further parts while it holds fewer than one attempt takes; renewals are still sent.
        spare_hints: number of further parts that each lender could grant according to its last answer.
        refused_until: time in seconds before which no further parts are requested from a lender that granted
            no further ones and reported none to spare, by lender; renewals are still sent.
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
        """A term and a window, in seconds: the time for which granted parts are unavailable."""
        return self.times.term + self.times.window

    def observe(self, now: float, usage: Usage) -> None:
        """Add a sample: the demand rises at once, and falls only after a term.

        If it fell at once, parts would be released and then requested again. While one attempt takes more
        parts than this front owns, the demand falls only after a whole time slot, in which the missing parts
        can be gathered.
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
            if self.whole_attempt_parts > self.owners.get(self.name, 0):
                # The duration of a time slot, see `time_slot_at`.
                self.demand_until = now + 2 * self.times.term + self.times.window

    def _add_peak(self, now: float, attempts: float) -> None:
        """Add a sample to `peaks`, and remove those that it exceeds or that are too old."""
        while self.peaks and self.peaks[-1][1] <= attempts:
            self.peaks.pop()
        if attempts:
            self.peaks.append((now, attempts))
            self.last_demand_at = now
        while self.peaks and self.peaks[0][0] <= now - PEAK_PERIODS * self.period:
            self.peaks.popleft()

    def parts_of(self, attempts: float) -> int:
        """Return the parts that a number of attempts takes, rounded up to whole ones, at most the limit."""
        return min(
            math.ceil(math.ceil(attempts - ROUNDING_TOLERANCE) * self.attempt_cost - ROUNDING_TOLERANCE),
            PARTS_PER_LIMIT,
        )

    @property
    def whole_attempt_parts(self) -> int:
        """The number of whole parts that one attempt takes."""
        return max(self.parts_of(1.0), 1)

    def wanted_parts(self) -> int:
        """Return the number of parts that this front wants to hold."""
        return self.parts_of(
            self.demand * DEMAND_MARGIN if self.demand > MARGIN_MIN_ATTEMPTS else self.demand
        )

    # As a lender.

    def reserved_parts(self) -> int:
        """Return the number of parts that this front does not grant, for its own demand.

        This is its recent peak demand less one standard deviation of random variation (the square root of the
        number of attempts), and at least one attempt if it had any demand in the last `RESERVED_PERIODS`.

        Guards against granting parts during a short gap in demand: granted parts are unavailable for a term
        and a window, so they are more useful to a front that has had demand recently. Side effect: when
        demand moves to another front permanently, that front gets the parts only after the demand here has
        been forgotten.
        """
        attempts = self.peaks[0][1] if self.peaks else 0.0
        is_recent = self.sampled_at - self.last_demand_at < RESERVED_PERIODS * self.period
        return self.parts_of(max(attempts - math.sqrt(attempts), 1.0 if is_recent else 0.0))

    def confident_demand_parts(self) -> float:
        """Return a cautious estimate of this front's demand in parts.

        This is the mean demand, or the latest demand less two standard deviations of random variation if
        that is higher.
        """
        return (
            max(self.latest_demand - 2 * math.sqrt(self.latest_demand), self.mean_demand) * self.attempt_cost
        )

    def grantable(self, request: LeaseRequest, balance: LenderBalance, slot: int) -> int:
        """Return how many of the available parts to grant on a request.

        A lease is renewed unless this front is almost certain to need the parts itself, because parts that
        are taken back and granted again stay unused for a window each time. Parts that are reserved for this
        front's own demand are granted only in renewals, so a borrower that claims too much gets only unused
        parts, and only for a term. If this front has fewer parts left than one attempt takes, it cannot use
        them: it grants them to a borrower that has precedence in this time slot, and to no other.
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
            spare -= spare % self.whole_attempt_parts  # the borrower spends the parts of whole attempts only
        return max(min(request.parts, spare, math.floor(available - balance.used)), 0)

    def has_precedence(self, borrower: str, slot: int) -> bool:
        """Return whether a borrower ranks above this front and all fronts that asked it in this time slot.

        Only requests count that arrived while this front had fewer parts left than one attempt takes. This
        front itself takes part only if it had demand at the first of these requests. Guards against
        several fronts that each gather some parts of an attempt, so that none of them has enough for a whole
        one.
        """
        if slot != self.slot:
            self.slot = slot
            self.best_rank = rank(self.limit, slot, self.name) if self.demand else -1
        borrower_rank = rank(self.limit, slot, borrower)
        self.best_rank = max(self.best_rank, borrower_rank)
        return borrower_rank == self.best_rank

    # As a borrower.

    def record_answer(self, now: float, lender: str, spare: int, has_more: bool) -> None:
        """Record a lender's answer; `has_more` is whether it granted more than this front leased before."""
        self.spare_hints[lender] = spare
        if not (has_more or spare):
            self.refused_until[lender] = now + self.times.term / 2

    def plan(self, now: float, ledger: LeaseLedger, alive: Iterable[str], slot: TimeSlot) -> list[Plan]:
        """Return the requests, renewals and releases to send now; `alive` are the members believed alive."""
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
        """Return whether this front may gather the parts of one attempt from several members.

        Guards against many fronts that each hold some parts, so that none has enough for an attempt. All
        fronts compute the same ranking for a time slot. At the beginning of the slot, as many fronts begin as
        the limit allows attempts in a window; each further one begins `GATHERING_STAGGER` after the one that
        ranks next above it, unless a front that ranks higher has requested parts from it in the meantime. In
        the last term of a slot no front gathers.
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
        """Yield the releases of the smallest leases, as far as they fit into the surplus of held parts."""
        for lender, lease in sorted(ledger.leased.items(), key=lambda entry: entry[1].parts):
            if lease.parts > surplus:
                return
            surplus -= lease.parts
            yield PlannedRelease(lender)

    def _plan_renewals(self, now: float, ledger: LeaseLedger) -> Iterator[PlannedAcquire]:
        """Yield renewals of leases in the second half of their term whose lender has no request pending."""
        for lender, lease in ledger.leased.items():
            is_pending = lender in ledger.pending and self._may_be_answered(ledger.pending[lender], now)
            if lease.end - now < self.times.term / 2 and not is_pending and self.demand > 0:
                yield PlannedAcquire(lender, lease.parts)

    def _pending_parts(self, now: float, ledger: LeaseLedger) -> int:
        """Return the number of further parts, beyond those leased, that pending requests may bring."""
        leased = {lender: lease.parts for lender, lease in ledger.leased.items()}
        return sum(
            max(request.parts - leased.get(lender, 0), 0)
            for lender, request in ledger.pending.items()
            if self._may_be_answered(request, now)
        )

    def _may_be_answered(self, request: PendingRequest, now: float) -> bool:
        """Return whether a request may still be answered."""
        return now - request.sent_at < ANSWER_TIMEOUT

    def _gathering_timed_out(self, now: float) -> bool:
        """Return whether this front has gathered for too long without getting the parts of one attempt.

        It then releases its parts and backs off, so that another front can complete an attempt with them.
        """
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
        """Yield requests to lenders that may have spare parts.

        Lenders that reported spare parts come first, the others in random order. A front that gathers the
        parts of one attempt sends first to the lenders with the highest ranks in this slot, because these
        would begin to gather next: those of them that rank below this front then do not gather in this slot.
        As there is at most one lease from each lender, a request for more parts includes the leased ones.
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
        """Return the members that own parts, have no pending request and have not just refused one."""
        busy = {lender for lender, request in ledger.pending.items() if self._may_be_answered(request, now)}
        return [
            name
            for name in alive
            if name != self.name
            and self.owners.get(name)
            and name not in busy
            and self.refused_until.get(name, -math.inf) <= now
        ]
