"""Strict limits that this front shares with others by leases: their ledgers and messages. No I/O.

All fronts compute the same name for a limit. A limit is divided into `PARTS_PER_LIMIT` equal parts, and each
member owns some of them; usage, allowances and leases are numbers of parts. The `Spender` of a limit reports
how much it used, and receives its new allowance before an answer to another front is sent: granted parts must
not be spent here any more when the borrower learns of them.
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
MAX_OPEN_LIMITS = 512
RETRY_DELAYS = (0.1, 0.25)  # seconds after which an unanswered request is sent again
MAX_REQUESTS_PER_SAMPLE = 64  # messages of one tick, of all limits, from which on it sends no new request
MAX_ARRIVALS = 4096  # arrival times remembered for one rate
ROUNDING_TOLERANCE = 1e-9  # parts; allows for floating-point rounding


class Spender(Protocol):
    """Component that spends from a limit."""

    def usage(self, now: float) -> Usage:
        """Return the use in the last window and the current demand, in parts."""
        ...

    def set_allowance(self, retained: int, leased: int, lease_end: float) -> None:
        """Set the number of parts that may be spent in a window; leased parts until `lease_end` at most."""
        ...


class Allowance(NamedTuple):
    """Parts that a spender may spend in a window.

    Attributes:
        retained: number of parts that this front owns and has not granted.
        leased: number of parts leased from other fronts.
        lease_end: end of the first of these leases, in seconds.
    """

    retained: int
    leased: int
    lease_end: float


@dataclass(slots=True)
class SharedLimit:
    """One open limit.

    Attributes:
        name: name of the limit.
        members: names of the members that share the limit.
        attempts: number of attempts in a window for which the limit has capacity if each is as expensive as
            possible; it bounds how many members own parts.
        ledger: ledger of its leases.
        policy: policy that plans and grants its leases.
        spender: component that spends from the limit.
        allowance: allowance that the spender received last; None before the first one.
        retries: number of times that each pending request was sent again, by request number.
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
        """Pass the current allowance to the spender if it has changed."""
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
        name: name of this front.
        epoch: epoch of this process.
        limits: open limits, by name.
        is_newcomer: whether other fronts may divide the limits among other members, because they do not know
            this front yet, or still name members that its own installation file no longer names. This front
            then owns no parts of limits that are opened; limits that are open already keep their parts until
            the next `set_members`.
        recovering_until: end of the recovery after a restart, in seconds. Until then this front holds no
            parts of its own, because its previous process may have granted them.
        counts: counters of lease events.
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
        """Create the service without any open limit.

        Args:
            name: name of this front.
            epoch: epoch of this process.
            random: source of random numbers for the policies.
            recovering_until: end of the recovery, in seconds of the steady clock.
            open_requested: called with the name of a limit that another front uses and that is not open here.
            unix: Unix clock. It is used only to choose which front may gather scarce parts first; no
                guarantee depends on it.
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
        """Open a limit.

        Args:
            name: name of the limit.
            members: names of the members that share the limit.
            attempts: number of attempts in a window for which the limit has capacity if each is as expensive
                as possible; it bounds how many members own parts. All fronts must compute the same number.
            times: durations of the limit.
            spender: component that will spend from the limit.
            now: time of the steady clock in seconds.

        Returns:
            The limit, or the existing one if it is open already; None if too many limits are open.
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
        """Forget a limit, its ledger and its leases.

        The spender keeps its last allowance, so the caller must stop it. Leases that this front has granted
        end at their borrowers by themselves.
        """
        self.limits.pop(name, None)

    def set_members(self, members: Callable[[str], Iterable[str]], is_newcomer: bool, now: float) -> None:
        """Divide all open limits among their current members.

        Args:
            members: returns the names of the members that share the limit with the given name.
            is_newcomer: new value of `is_newcomer`; if True, this front owns no parts of any limit.
            now: time of the steady clock in seconds.
        """
        self.is_newcomer = is_newcomer
        for limit in self.limits.values():
            owners = owned_parts(limit.name, members(limit.name), limit.attempts)
            limit.members = tuple(sorted(owners))
            limit.policy.owners = owners
            limit.ledger.resize(self._own_parts(owners))
            limit.update_spender(now)

    def set_epoch(self, epoch: int) -> None:
        """Continue with another epoch.

        Granted leases stay valid. Answers to requests that were sent with the earlier epoch are not accepted;
        these requests are still pending and may be sent again, with the same number and the new epoch.
        """
        self.epoch = epoch
        for limit in self.limits.values():
            limit.ledger.epoch = epoch

    # Messages.

    def handle(self, now: float, sender: str, epoch: int, body: m.LeaseMessage) -> list[Send]:
        """Handle a message from a member with the given epoch, and return the messages to send."""
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
            case m.GrantLease(_, request_epoch, number, parts, spare):
                self._accept_grant(now, limit, sender, Grant(request_epoch, number, parts, spare))
            case m.ReleaseLease(_, number, unspent):
                limit.ledger.accept_release(now, LeaseRequestId(sender, epoch, number), unspent)
                self.counts["leases returned early"] += 1
        return []

    def _accept_grant(self, now: float, limit: SharedLimit, lender: str, grant: Grant) -> None:
        previous_lease = limit.ledger.leased.get(lender)
        is_accepted = limit.ledger.accept_grant(now, lender, grant)
        if grant.epoch == self.epoch:
            has_more = is_accepted and grant.parts > (previous_lease.parts if previous_lease else 0)
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
        limit.update_spender(now)  # granted parts must not be spent here once the answer is sent
        remaining = LenderBalance(ledger.retained(now), usage.used)
        spare = policy.grantable(LeaseRequest(request_id.name, PARTS_PER_LIMIT), remaining, slot)
        return m.GrantLease(limit.name, grant.epoch, grant.number, grant.parts, spare)

    # Time.

    def tick(self, now: float, alive: Iterable[str]) -> list[Send]:
        """Return the requests and releases to send.

        Once in each `SAMPLE_INTERVAL` the demand for each limit is sampled and new messages are planned; each
        request from another front samples the demand for its limit as well. Unanswered requests are sent
        again whenever they are due.
        """
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
        """Return the unanswered requests that are due to be sent again.

        A retry has the same number as the request, so that the lender grants it only once. Retries guard
        against granted parts that stay unused for a term because the grant was lost: the lender neither
        spends nor grants them until the lease has ended, and the borrower does not know of them. Side effect:
        further messages to a lender that is down.
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
        """Record a planned request or release; `sent` is the number of messages of this tick so far."""
        if isinstance(plan, PlannedRelease):
            number = limit.ledger.release(now, plan.lender)
            limit.update_spender(now)  # released parts must not be spent once the release is sent
            unspent = not limit.spender.usage(now).used
            return [Send(plan.lender, m.ReleaseLease(limit.name, number, unspent))] if number else []
        if sent >= MAX_REQUESTS_PER_SAMPLE:
            return []
        number = limit.ledger.request(now, plan.lender, plan.parts)
        self.counts["lease requests"] += 1
        return [Send(plan.lender, m.AcquireLease(limit.name, number, plan.parts))]

    # Admin port.

    def status_rows(self, now: float) -> list[dict[str, object]]:
        """Return all limits and their leases for the admin port."""
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
    """A strict limit on the number of requests in a window, enforced at admission.

    Attributes:
        limit: number of requests that all fronts together may admit in a window.
        window: length of the window, in seconds.
        admitted: times of the requests admitted in the last window, in seconds.
        arrivals: times of the requests in that window, admitted or not; at most the last `MAX_ARRIVALS`.
    """

    def __init__(self, limit: float, times: LeaseTimes) -> None:
        self.limit = limit
        self.window = times.spending_window
        self.admitted: deque[float] = deque()
        self.arrivals: deque[float] = deque(maxlen=MAX_ARRIVALS)
        self._allowance = Allowance(0, 0, math.inf)

    def used(self, now: float) -> float:
        """Return the number of parts spent in the last window."""
        while self.admitted and self.admitted[0] <= now - self.window:
            self.admitted.popleft()
        return len(self.admitted) / self.limit * PARTS_PER_LIMIT

    def usage(self, now: float) -> Usage:
        """Return the use in the last window, and the use if all arrivals had been admitted."""
        while self.arrivals and self.arrivals[0] <= now - self.window:
            self.arrivals.popleft()
        attempt_cost = PARTS_PER_LIMIT / self.limit
        return Usage(self.used(now), len(self.arrivals) * attempt_cost, attempt_cost)

    def set_allowance(self, retained: int, leased: int, lease_end: float) -> None:
        """Set the number of parts that may be spent in a window."""
        self._allowance = Allowance(retained, leased, lease_end)

    def try_admit(self, now: float) -> bool:
        """Return whether the current allowance has capacity for a request, and count it if so.

        The caller must read the clock for each request, because leases may have ended since the last
        one.
        """
        self.arrivals.append(now)
        retained, leased, lease_end = self._allowance
        available = retained + (leased if now < lease_end else 0)
        if self.used(now) + PARTS_PER_LIMIT / self.limit > available + ROUNDING_TOLERANCE:
            return False
        self.admitted.append(now)
        return True
