"""Ledger that one front keeps of one strict limit, which the fronts share by leases. No I/O.

A limit is divided into equal parts. Each member owns some parts, spends from the parts that it holds, and
grants leases on parts that it does not need for the length of a lease term. The total that all members can
spend in any window never exceeds the limit, even with network partitions, crashes, frozen processes and
clocks that run too fast or too slow within the allowed drift. Each front guarantees four invariants by
itself:

1. The lender counts granted parts as out, and so neither spends nor grants them, from before it sends the
   grant until the lease has certainly ended for the borrower and a further window has passed.
2. The lender grants no parts that are needed to cover its own spending in the last window.
3. A lease ends for its borrower no later than for its lender, because the borrower counts the term from the
   moment when it sent the request.
4. A front that has restarted, and cannot know what its previous process granted, holds no parts of its own
   for a term and a window.

Proof for any moment t: for each front, let s be the moment of its last spending in the window up to t. What
it spent in that window was covered at s by the parts that it retained and by its leases that had not ended at
s. The lenders of those leases count the leased parts as out until after s + window, which is later than t,
so at t no lender counts them as its own. By invariant 2, a lender's retained parts never fall below its own
spending in the window. Each part thus covers the spending of one front only, and the total spending is at
most the sum of all owned parts, which is the whole limit.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

PARTS_PER_LIMIT = 1200
MAX_GRANTED_LEASES = 512  # on one limit at the same time; requests of further borrowers are refused


def owned_parts(limit: str, names: Iterable[str], attempts: float) -> dict[str, int]:
    """Return how many parts of a limit each member owns; all fronts compute the same result.

    Args:
        limit: name of the limit.
        names: names of the members that share the limit.
        attempts: number of attempts in a window for which the limit has capacity. At most that many members
            own parts of it: each owner then has enough parts for an attempt of its own, and another member
            can get the parts for one attempt from a single lender.
    """
    order = sorted(set(names), key=lambda name: blake2b(f"{limit} {name}".encode(), digest_size=8).digest())
    owners = min(len(order), max(int(attempts), 1))
    base, remainder = divmod(PARTS_PER_LIMIT, owners) if owners else (0, 0)
    return {name: (base + (index < remainder)) * (index < owners) for index, name in enumerate(order)}


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of one limit, in seconds.

    Attributes:
        term: duration of a lease.
        window: length of the window in which spending must not exceed the limit.
        drift: fraction by which any steady clock may run too fast or too slow.
    """

    term: float = 1.0
    window: float = 2.0
    drift: float = 0.01

    @property
    def borrower_term(self) -> float:
        """The lease term by the borrower's clock, counted from when it sent the request.

        It is shorter by twice the drift, because the borrower's clock may be too slow while the lender's is
        too fast.
        """
        return self.term * (1 - 2 * self.drift)

    @property
    def safe_window(self) -> float:
        """A duration by this front's clock that is at least a window of true time, even if it is too fast."""
        return self.window * (1 + 2 * self.drift)

    @property
    def spending_window(self) -> float:
        """The window by the spender's clock, lengthened because that clock may be too fast."""
        return self.window * (1 + self.drift)

    @property
    def recovery(self) -> float:
        """The time after a restart during which a front holds no parts of its own."""
        return self.term * (1 + 2 * self.drift) + self.safe_window


@dataclass(frozen=True, slots=True)
class LeaseRequestId:
    """Identifier of one lease request of one front.

    Attributes:
        name: name of the front that sent the request, the borrower.
        epoch: epoch of the process that sent it.
        number: number of the request; it increases with each request of that process.
    """

    name: str
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, as its lender or its borrower records it.

    Attributes:
        parts: number of leased parts.
        end: end of the lease, in seconds. In the lender's record, the time when the lender counts the parts
            as its own again; in the borrower's, the time when the borrower stops spending from them.
        number: in the borrower's record, the number of the request that brought the lease; 0 in the lender's,
            where the key contains that number.
        is_ending: whether the lease cannot be renewed any more; set in the lender's record only.
    """

    parts: int
    end: float
    number: int = 0
    is_ending: bool = False


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request for a lease of `parts` in total, sent at `sent_at` seconds and not answered yet."""

    number: int
    parts: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Grant:
    """A lender's answer to a request.

    Attributes:
        epoch: epoch of the borrower that sent the request.
        number: number of the request.
        parts: total number of granted parts; 0 for a refusal.
        spare: number of further parts that the lender could grant when it answered. It is only a hint: the
            lender may have granted them to another front by the time the answer arrives.
    """

    epoch: int
    number: int
    parts: int
    spare: int = 0


class LeaseRow(NamedTuple):
    """A lease as the admin port shows it.

    Attributes:
        way: "out" for a granted lease, "in" for one that is leased from another front.
        front: name of the other front.
        parts: number of leased parts.
        end: end of the lease, in seconds.
    """

    way: str
    front: str
    parts: int
    end: float


class LeaseLedger:
    """Ledger that one front keeps of one limit.

    A front has at most one lease from each lender, and at most one pending request to each lender. A request
    asks for the total number of parts wanted from that lender. A new request voids all earlier ones to that
    lender, and its grant replaces the current lease.

    In all methods `now` is the time of this front's steady clock in seconds, and `used` the number of parts
    that the front has spent in the last window by that clock.

    Attributes:
        own: number of parts that this front owns.
        times: durations of the limit.
        epoch: epoch of this process.
        recovering_until: end of the recovery after a restart, in seconds; until then the front holds no parts
            of its own (invariant 4).
        last_number: number of the last request sent.
        granted: leases granted to other fronts.
        leased: leases from other fronts, by lender.
        pending: unanswered requests, by lender.
    """

    __slots__ = (
        "epoch", "granted", "last_number", "leased", "own", "pending", "recovering_until", "times",
    )  # fmt: skip

    def __init__(self, own: int, times: LeaseTimes, epoch: int, recovering_until: float = 0.0) -> None:
        self.own = own
        self.times = times
        self.epoch = epoch
        self.recovering_until = recovering_until
        self.last_number = 0
        self.granted: dict[LeaseRequestId, Lease] = {}
        self.leased: dict[str, Lease] = {}
        self.pending: dict[str, PendingRequest] = {}

    # Balance.

    def retained(self, now: float) -> int:
        """Return the number of this front's own parts that are not granted to others.

        It is 0 during the recovery, and negative if `resize` has left fewer own parts than are granted.
        """
        if now < self.recovering_until:
            return 0
        return self.own - self.granted_parts(now)

    def granted_parts(self, now: float) -> int:
        """Return the number of parts that are granted to other fronts."""
        return sum(lease.parts for lease in self.granted.values() if lease.end > now)

    def leased_parts(self, now: float) -> int:
        """Return the number of parts that are leased from other fronts."""
        return sum(lease.parts for lease in self.leased.values() if lease.end > now)

    def available(self, now: float) -> int:
        """Return the number of parts that this front may spend in the window up to now."""
        return self.retained(now) + self.leased_parts(now)

    def earliest_lease_end(self, now: float) -> float:
        """Return when the first lease from another front ends; infinity without any lease."""
        return min((lease.end for lease in self.leased.values() if lease.end > now), default=float("inf"))

    # As a lender.

    def renewable_parts(self, now: float, name: str, epoch: int) -> int:
        """Return the number of parts granted to one process of a front that it can renew."""
        leases = (
            lease
            for request_id, lease in self.granted.items()
            if (request_id.name, request_id.epoch) == (name, epoch)
        )
        return sum(lease.parts for lease in leases if lease.end > now and not lease.is_ending)

    def returning_parts(self, now: float) -> int:
        """Return the number of granted parts whose leases cannot be renewed; they return when these end."""
        return sum(lease.parts for lease in self.granted.values() if lease.end > now and lease.is_ending)

    def grant(self, now: float, request_id: LeaseRequestId, parts: int, used: float) -> Grant:
        """Grant up to `parts` parts, in place of all current leases of this borrower.

        A repeated request whose grant is still recorded gets the same number of parts. If the borrower had
        more parts than the new grant, the excess counts as out until the earlier lease would have ended: if
        the answer is lost, the borrower continues to spend from that lease.
        """
        self.discard_ended(now)
        if request_id in self.granted:
            return Grant(request_id.epoch, request_id.number, self.granted[request_id].parts)
        borrower_run = (request_id.name, request_id.epoch)
        earlier_leases = {
            earlier: lease
            for earlier, lease in self.granted.items()
            if (earlier.name, earlier.epoch) == borrower_run
        }
        if any(earlier.number > request_id.number for earlier in earlier_leases):
            # This request arrived after a later one of the same process, which has been granted already.
            return Grant(request_id.epoch, request_id.number, 0)
        already_granted = sum(lease.parts for lease in earlier_leases.values())
        retained = self.retained(now)
        granted = max(min(parts, already_granted + int(retained - used)), 0)
        if not granted or (not earlier_leases and len(self.granted) >= MAX_GRANTED_LEASES):
            return Grant(request_id.epoch, request_id.number, 0, max(int(retained - used), 0))
        self._replace(earlier_leases, granted)
        self.granted[request_id] = Lease(granted, now + self.times.term + self.times.safe_window)
        return Grant(request_id.epoch, request_id.number, granted, max(int(self.retained(now) - used), 0))

    def _replace(self, earlier_leases: dict[LeaseRequestId, Lease], granted: int) -> None:
        """Keep as granted the parts of earlier leases that the borrower may spend beyond the new grant.

        Until the end of an earlier lease, the parts of that lease and of all that end later must count as
        out, or the newly granted parts if these are more. Each earlier lease keeps its part of the excess.
        """
        for request_id in earlier_leases:
            del self.granted[request_id]
        later_parts = 0  # total parts of the earlier leases that end after the one in the loop
        for request_id, lease in sorted(earlier_leases.items(), key=lambda entry: entry[1].end, reverse=True):
            remaining_parts = max(later_parts + lease.parts - granted, 0) - max(later_parts - granted, 0)
            later_parts += lease.parts
            if remaining_parts:
                self.granted[request_id] = Lease(remaining_parts, lease.end, is_ending=True)

    def accept_release(self, now: float, request_id: LeaseRequestId, unspent: bool) -> None:
        """Take back a lease that its borrower has released.

        The parts count as out for one more window, because the borrower may have spent them just before it
        released them.

        Args:
            now: time of the steady clock in seconds.
            request_id: identifier of the request that brought the lease.
            unspent: whether the borrower spent nothing from the limit in the last window; the parts then
                count as the lender's again at once.
        """
        lease = self.granted.get(request_id)
        if lease and unspent:
            del self.granted[request_id]
        elif lease:
            end = min(lease.end, now + self.times.safe_window)
            self.granted[request_id] = Lease(lease.parts, end, is_ending=True)

    # As a borrower.

    def request(self, now: float, lender: str, parts: int) -> int:
        """Record a new request for `parts` parts in total from a lender, and return its number."""
        self.last_number += 1
        self.pending[lender] = PendingRequest(self.last_number, parts, now)
        return self.last_number

    def accept_grant(self, now: float, lender: str, grant: Grant) -> bool:
        """Record a lender's answer, and return whether it brought a lease.

        It brings none if the request was refused or is not pending at this process, if more parts were
        granted than requested, or if the lease ended before the answer arrived.
        """
        request = self.pending.get(lender)
        if request is None or (grant.epoch, grant.number) != (self.epoch, request.number):
            return False
        del self.pending[lender]
        end = request.sent_at + self.times.borrower_term
        if not 0 < grant.parts <= request.parts or end <= now:
            return False
        self.leased[lender] = Lease(grant.parts, end, grant.number)
        return True

    def release(self, now: float, lender: str) -> int:
        """Drop the lease and the request to a lender; return the lease's number, 0 if there was no lease."""
        self.pending.pop(lender, None)
        lease = self.leased.pop(lender, None)
        return lease.number if lease and lease.end > now else 0

    # Time.

    def discard_ended(self, now: float) -> None:
        """Drop ended leases, which the balance excludes already, and requests older than a borrower's term.

        A lease on such a request would have ended before its grant could arrive.
        """
        for request_id in [ended for ended, lease in self.granted.items() if lease.end <= now]:
            del self.granted[request_id]
        for lender in [lender for lender, lease in self.leased.items() if lease.end <= now]:
            del self.leased[lender]
        term = self.times.borrower_term
        for lender in [lender for lender, request in self.pending.items() if request.sent_at + term <= now]:
            del self.pending[lender]

    def resize(self, own: int) -> None:
        """Set the number of owned parts; granted parts stay out, even if they exceed the new number."""
        self.own = own

    def lease_rows(self) -> Iterator[LeaseRow]:
        """Yield all leases for the admin port."""
        for request_id, lease in self.granted.items():
            yield LeaseRow("out", request_id.name, lease.parts, lease.end)
        for lender, lease in self.leased.items():
            yield LeaseRow("in", lender, lease.parts, lease.end)
