"""The strict limits that this front shares with others by leases: their ledgers and messages. No I/O.

A limit has a name that all compute alike. Its `Spender` reports what it used, and is handed what it may spend
before any answer to others leaves: what is granted is out here first.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from weldbend.fleet import messages as m
from weldbend.fleet.lease_ledger import (
    PARTS_PER_LIMIT,
    Grant,
    LeaseLedger,
    LeaseRequestId,
    LeaseTimes,
    owned_parts,
)
from weldbend.fleet.lease_policy import (
    LeasePolicy,
    LeaseRequest,
    LenderBalance,
    Plan,
    PlannedRelease,
    Usage,
    time_slot_at,
)
from weldbend.fleet.messages import Send
from weldbend.routing.random_source import RandomSource

SAMPLE_INTERVAL = 0.08  # seconds between two samples of demand
MAX_OPEN_LIMITS = 512  # open at a time
RETRY_DELAYS = (0.1, 0.25)  # seconds after which a request without an answer is sent again
MAX_REQUESTS_PER_SAMPLE = 64  # sent after one sample, for all limits together
MAX_ARRIVALS = 4096  # remembered of one rate
ROUNDING_TOLERANCE = 1e-9  # parts that are lost to floating point


class Spender(Protocol):
    """Spends from a limit."""

    def usage(self, now: float) -> Usage:
        """What was used in the last window, and would be if all that is wanted could be had; in parts."""
        ...

    def set_allowance(self, retained: int, leased: int, lease_end: float) -> None:
        """Allow so many parts in a window from now on: the leased ones until `lease_end` at the latest."""
        ...


class Allowance(NamedTuple):
    """What a spender may spend in a window, in parts; `lease_end` in seconds."""

    retained: int
    leased: int
    lease_end: float


@dataclass(slots=True)
class SharedLimit:
    """One open limit.

    Attributes:
        name: of the limit.
        members: that own it together.
        attempts: for which it has capacity in a window, at the least.
        ledger: of its leases.
        policy: for its leases.
        spender: from it.
        allowance: what the spender was handed last; None before the first time.
        retries: how often a request was sent again, by its number.
    """

    name: str
    members: tuple[str, ...]
    attempts: float
    ledger: LeaseLedger
    policy: LeasePolicy
    spender: Spender
    allowance: Allowance | None = None
    retries: dict[int, int] = field(default_factory=dict)

    def update_spender(self, now: float) -> None:
        """Hand the spender what the ledger holds, where that has changed."""
        ledger = self.ledger
        allowance = Allowance(
            max(ledger.retained(now), 0), ledger.leased_parts(now), ledger.earliest_lease_end(now)
        )
        if allowance != self.allowance:
            self.allowance = allowance
            self.spender.set_allowance(*allowance)


class LeaseService:
    """All strict limits of this front.

    Attributes:
        name: this front's.
        epoch: of this run.
        limits: those that are open, by name.
        is_newcomer: whether others do not name this front yet, so that it owns nothing.
        recovering_until: before it, nothing of its own is held, since an earlier run may have granted it.
        counts: counters.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        random: RandomSource,
        recovering_until: float,
        open_requested: Callable[[str], object],
        unix: Callable[[], float],
    ) -> None:
        """Make it without any limit.

        Args:
            name: this front's.
            epoch: of this run.
            random: for the policies.
            recovering_until: seconds of the steady clock.
            open_requested: called with a limit that another front spends from and this one does not yet.
            unix: the Unix clock, by which goes precedence, and nothing that must hold.
        """
        self.name = name
        self.epoch = epoch
        self.recovering_until = recovering_until
        self.limits: dict[str, SharedLimit] = {}
        self.is_newcomer = False
        self.counts: Counter[str] = Counter()
        self._random = random
        self._open_requested = open_requested
        self._unix = unix
        self._next_sample = -math.inf

    # Opening and closing.

    def open(
        self,
        name: str,
        members: Iterable[str],
        attempts: float,
        times: LeaseTimes,
        spender: Spender,
        now: float,
    ) -> SharedLimit | None:
        """Spend from a limit from now on.

        Args:
            name: of the limit.
            members: that own it together.
            attempts: for which it has capacity in a window, at the least, as all compute alike.
            times: of the limit.
            spender: from it.
            now: seconds.

        Returns:
            The limit, the same one where it is open already; None beyond the bound on limits.
        """
        if name in self.limits:
            return self.limits[name]
        if len(self.limits) >= MAX_OPEN_LIMITS:
            self.counts["limits over the bound"] += 1
            return None
        owners = owned_parts(name, members, attempts)
        ledger = LeaseLedger(self._own_parts(owners), times, self.epoch, self.recovering_until)
        policy = LeasePolicy(name, self.name, times, owners, self._random)
        limit = SharedLimit(name, tuple(sorted(owners)), attempts, ledger, policy, spender)
        self.limits[name] = limit
        limit.update_spender(now)
        return limit

    def _own_parts(self, owners: dict[str, int]) -> int:
        return 0 if self.is_newcomer else owners.get(self.name, 0)

    def close(self, name: str) -> None:
        """Spend no more from a limit. What is granted ends by itself."""
        self.limits.pop(name, None)

    def set_members(self, members: Callable[[str], Iterable[str]], is_newcomer: bool, now: float) -> None:
        """Divide all limits anew; `members` gives those that own a limit."""
        self.is_newcomer = is_newcomer
        for limit in self.limits.values():
            owners = owned_parts(limit.name, members(limit.name), limit.attempts)
            limit.members = tuple(sorted(owners))
            limit.policy.owners = owners
            limit.ledger.resize(self._own_parts(owners))
            limit.update_spender(now)

    def set_epoch(self, epoch: int) -> None:
        """Go on under another epoch: what was granted stays granted, what was requested is void."""
        self.epoch = epoch
        for limit in self.limits.values():
            limit.ledger.epoch = epoch

    # Messages.

    def handle(self, now: float, sender: str, epoch: int, body: m.LeaseMessage) -> list[Send]:
        """Handle a message of a member, in the run that is known of it; return what to send."""
        if body.limit not in self.limits and isinstance(body, m.AcquireLease):
            self._open_requested(body.limit)
        limit = self.limits.get(body.limit)
        if limit is None or sender not in limit.members:
            self.counts["lease messages for no open limit"] += 1
            is_request = isinstance(body, m.AcquireLease)
            return [Send(sender, m.GrantLease(body.limit, epoch, body.number, 0))] if is_request else []
        match body:
            case m.AcquireLease(_, number, parts):
                return [Send(sender, self._grant(now, limit, LeaseRequestId(sender, epoch, number), parts))]
            case m.GrantLease(_, requested_in, number, parts, spare):
                self._accept_grant(now, limit, sender, Grant(requested_in, number, parts, spare))
            case m.ReleaseLease(_, number, unspent):
                limit.ledger.accept_release(now, LeaseRequestId(sender, epoch, number), unspent)
                self.counts["leases returned early"] += 1
        return []

    def _accept_grant(self, now: float, limit: SharedLimit, lender: str, grant: Grant) -> None:
        before = limit.ledger.leased.get(lender)
        is_accepted = limit.ledger.accept_grant(now, lender, grant)
        if grant.epoch == self.epoch:
            has_more = is_accepted and grant.parts > (before.parts if before else 0)
            limit.policy.record_answer(now, lender, grant.spare, has_more)
        if is_accepted:
            self.counts["leases acquired"] += 1
        limit.update_spender(now)

    def _grant(self, now: float, limit: SharedLimit, request_id: LeaseRequestId, parts: int) -> m.GrantLease:
        ledger = limit.ledger
        policy = limit.policy
        usage = limit.spender.usage(now)
        slot = time_slot_at(self._unix(), ledger.times).number
        policy.observe(now, usage)
        already_leased = ledger.renewable_parts(now, request_id.name, request_id.epoch)
        balance = LenderBalance(
            ledger.retained(now) + already_leased, usage.used, ledger.returning_parts(now)
        )
        allowed = policy.grantable(LeaseRequest(request_id.name, parts, already_leased), balance, slot)
        grant = ledger.grant(now, request_id, allowed, usage.used)
        self.counts["leases granted"] += grant.parts > 0
        limit.update_spender(now)  # before the answer leaves
        remaining = LenderBalance(ledger.retained(now), usage.used)
        spare = policy.grantable(LeaseRequest(request_id.name, PARTS_PER_LIMIT), remaining, slot)
        return m.GrantLease(limit.name, grant.epoch, grant.number, grant.parts, spare)

    # Time.

    def tick(self, now: float, alive: Iterable[str]) -> list[Send]:
        """Return what to request and release; each limit is sampled once in `SAMPLE_INTERVAL`."""
        sends: list[Send] = []
        is_sample_due = now >= self._next_sample
        if is_sample_due:
            self._next_sample = now + SAMPLE_INTERVAL
        names = sorted(alive)
        for limit in list(self.limits.values()):
            limit.ledger.discard_ended(now)
            sends += self._due_retries(now, limit)
            if is_sample_due:
                limit.policy.observe(now, limit.spender.usage(now))
                members = [name for name in names if name in limit.members]
                slot = time_slot_at(self._unix(), limit.ledger.times)
                for plan in limit.policy.plan(now, limit.ledger, members, slot):
                    sends += self._execute(now, limit, plan, len(sends))
            limit.update_spender(now)
        return sends

    def _due_retries(self, now: float, limit: SharedLimit) -> list[Send]:
        """Requests that have no answer, under the same number, so that a lender grants once.

        Guards against parts that are lost for a term, since the lender has them out and the borrower does
        not know it. Harm: a message more to one that is down.
        """
        pending = limit.ledger.pending
        numbers = {request.number for request in pending.values()}
        limit.retries = {number: times for number, times in limit.retries.items() if number in numbers}
        sends = []
        for lender, request in pending.items():
            times = limit.retries.get(request.number, 0)
            if times < len(RETRY_DELAYS) and now - request.sent_at >= RETRY_DELAYS[times]:
                limit.retries[request.number] = times + 1
                self.counts["lease requests retried"] += 1
                sends.append(Send(lender, m.AcquireLease(limit.name, request.number, request.parts)))
        return sends

    def _execute(self, now: float, limit: SharedLimit, plan: Plan, sent: int) -> list[Send]:
        if isinstance(plan, PlannedRelease):
            number = limit.ledger.release(now, plan.lender)
            limit.update_spender(now)  # nothing of it is spent once the release is sent
            unspent = not limit.spender.usage(now).used
            return [Send(plan.lender, m.ReleaseLease(limit.name, number, unspent))] if number else []
        if sent >= MAX_REQUESTS_PER_SAMPLE:
            return []
        number = limit.ledger.request(now, plan.lender, plan.parts)
        self.counts["lease requests"] += 1
        return [Send(plan.lender, m.AcquireLease(limit.name, number, plan.parts))]

    # Admin port.

    def status_rows(self, now: float) -> list[dict[str, object]]:
        """Return all limits with their leases, for the admin port."""
        rows: list[dict[str, object]] = []
        for name, limit in sorted(self.limits.items()):
            ledger = limit.ledger
            policy = limit.policy
            rows.append({
                "limit": name, "own": ledger.own, "kept": ledger.retained(now),
                "lent": ledger.granted_parts(now), "borrowed": ledger.leased_parts(now),
                "need": round(policy.demand, 2), "pull": policy.whole_attempt_parts,
                "quiet": round(max(ledger.recovering_until - now, 0.0), 2),
                "loans": [
                    {"way": way, "with": front, "parts": parts, "ends in": round(end - now, 2)}
                    for way, front, parts, end in ledger.lease_rows()
                ],
            })  # fmt: skip
        return rows


class LeasedRate:
    """A strict limit on requests in a window, spent at admission.

    Attributes:
        limit: requests in a window, of all fronts together.
        window: seconds.
        admitted: when requests were admitted in the last window, in seconds.
        arrivals: when requests came lately, whether admitted or not.
    """

    def __init__(self, limit: float, times: LeaseTimes) -> None:
        self.limit = limit
        self.window = times.spending_window
        self.admitted: deque[float] = deque()
        self.arrivals: deque[float] = deque(maxlen=MAX_ARRIVALS)
        self._allowance = Allowance(0, 0, math.inf)

    def used(self, now: float) -> float:
        """Parts that were spent in the last window."""
        while self.admitted and self.admitted[0] <= now - self.window:
            self.admitted.popleft()
        return len(self.admitted) / self.limit * PARTS_PER_LIMIT

    def usage(self, now: float) -> Usage:
        """What was used in the last window, and what all arrivals would have used."""
        while self.arrivals and self.arrivals[0] <= now - self.window:
            self.arrivals.popleft()
        attempt_cost = PARTS_PER_LIMIT / self.limit
        return Usage(self.used(now), len(self.arrivals) * attempt_cost, attempt_cost)

    def set_allowance(self, retained: int, leased: int, lease_end: float) -> None:
        """Allow so many parts in a window from now on."""
        self._allowance = Allowance(retained, leased, lease_end)

    def try_admit(self, now: float) -> bool:
        """Admit a request if what is held now has capacity for it: the clock is read before each."""
        self.arrivals.append(now)
        retained, leased, lease_end = self._allowance
        available = retained + (leased if now < lease_end else 0)
        if self.used(now) + PARTS_PER_LIMIT / self.limit > available + ROUNDING_TOLERANCE:
            return False
        self.admitted.append(now)
        return True
