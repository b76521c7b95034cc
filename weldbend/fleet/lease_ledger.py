"""One front's ledger of one strict limit that fronts share by leases. No I/O.

A limit is cut into equal parts. Each member owns some, spends from what it holds, and grants leases on what
it does not need for a term. What all may spend in any window never exceeds the limit, whatever network
partitions, crashes, frozen processes and clocks within their drift do, because four things hold here, each by
itself:

1. What is granted is out before the grant leaves, until the lease has surely ended and a window has passed.
2. Nothing is granted that the own spending of the last window needs.
3. A lease ends, for its borrower, at the latest when it has for its lender: its term counts from the request.
4. A start that cannot know what it granted before holds nothing of its own for a term and a window.

Then, at any moment t: what a front spent in the window up to t was covered, at its last spending s, by what
it retained and by leases that had not ended at s, and their lenders count those as out until after
s + window > t. What is retained never falls below the own spending (2). So the sum is at most the sum of
what is owned: the whole limit.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

PARTS_PER_LIMIT = 1200  # of each limit
MAX_GRANTED_LEASES = 512  # granted leases of one limit at a time


def owned_parts(limit: str, names: Iterable[str], attempts: float) -> dict[str, int]:
    """Return how many parts each named member owns, by an order that all compute alike.

    Args:
        limit: its name.
        names: the members that own it together.
        attempts: for how many attempts in a window the limit has capacity. No more members own a part of it
            than that, so that what one owns is worth something by itself, and what one lacks comes from one
            lender.
    """
    order = sorted(set(names), key=lambda name: blake2b(f"{limit} {name}".encode(), digest_size=8).digest())
    owners = min(len(order), max(int(attempts), 1))
    least, remainder = divmod(PARTS_PER_LIMIT, owners) if owners else (0, 0)
    return {name: (least + (place < remainder)) * (place < owners) for place, name in enumerate(order)}


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """The times of one limit, in seconds.

    Attributes:
        term: of a lease.
        window: in which the limit holds.
        drift: fraction by which any steady clock may run too fast or too slow.
    """

    term: float = 1.0
    window: float = 2.0
    drift: float = 0.01

    @property
    def borrower_term(self) -> float:
        """The term as its borrower counts it, from when it sent its request."""
        return self.term * (1 - 2 * self.drift)

    @property
    def safe_window(self) -> float:
        """A window that is not shorter than by any other front's clock."""
        return self.window * (1 + 2 * self.drift)

    @property
    def spending_window(self) -> float:
        """A window as the spender counts it, by a clock that may be too fast."""
        return self.window * (1 + self.drift)

    @property
    def recovery(self) -> float:
        """For how long a start that knows nothing holds nothing of its own."""
        return self.term * (1 + 2 * self.drift) + self.safe_window


@dataclass(frozen=True, slots=True)
class LeaseRequestId:
    """One request of one run of a front.

    Attributes:
        name: the front's.
        epoch: of the run.
        number: of the request; they only rise.
    """

    name: str
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, at its lender or at its borrower.

    Attributes:
        parts: of the limit.
        end: seconds; at the lender when it counts as its own again, at the borrower when it is spent no more.
        number: of the request, at the borrower; 0 at the lender.
        is_ending: at the lender: it is not renewed any more, and only its end is waited for.
    """

    parts: int
    end: float
    number: int = 0
    is_ending: bool = False


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request for a lease that has no answer yet, sent at `sent_at` seconds for `parts` in all."""

    number: int
    parts: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Grant:
    """What a lender answers to a request.

    Attributes:
        epoch: of the borrower that requested it.
        number: of the request.
        parts: granted in all; 0 for a refusal.
        spare: how many more it could grant: a hint.
    """

    epoch: int
    number: int
    parts: int
    spare: int = 0


class LeaseRow(NamedTuple):
    """A lease as the admin port shows it: `way` is "out" or "in", `end` in seconds."""

    way: str
    front: str
    parts: int
    end: float


class LeaseLedger:
    """One front's ledger of one limit.

    From each lender there is one lease at most, and one pending request. A request is for all that is wanted
    from that lender; what it brings replaces what was leased, and voids every request before it.

    In all methods `now` is seconds of the own steady clock, and `used` what the front has spent in the last
    window by that clock, in parts.

    Attributes:
        own: parts that this front owns.
        times: of the limit.
        epoch: of this run.
        recovering_until: before it, nothing of its own is held (4).
        last_number: of the requests sent.
        granted: leases to others.
        leased: leases from others, by lender.
        pending: requests without an answer, by lender.
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
        """Parts of its own that are not granted: held without any end."""
        if now < self.recovering_until:
            return 0
        return self.own - self.granted_parts(now)

    def granted_parts(self, now: float) -> int:
        """Parts that are out."""
        return sum(lease.parts for lease in self.granted.values() if lease.end > now)

    def leased_parts(self, now: float) -> int:
        """Parts that are leased from others."""
        return sum(lease.parts for lease in self.leased.values() if lease.end > now)

    def available(self, now: float) -> int:
        """Parts that may be spent in the window up to now."""
        return self.retained(now) + self.leased_parts(now)

    def earliest_lease_end(self, now: float) -> float:
        """When the first lease from others ends; infinity where there is none."""
        return min((lease.end for lease in self.leased.values() if lease.end > now), default=float("inf"))

    # As a lender.

    def renewable_parts(self, now: float, name: str, epoch: int) -> int:
        """Parts that are out to one run of a front, and go on being out if it requests them again."""
        leases = (
            lease
            for request_id, lease in self.granted.items()
            if (request_id.name, request_id.epoch) == (name, epoch)
        )
        return sum(lease.parts for lease in leases if lease.end > now and not lease.is_ending)

    def returning_parts(self, now: float) -> int:
        """Parts that are out and come back by themselves."""
        return sum(lease.parts for lease in self.granted.values() if lease.end > now and lease.is_ending)

    def grant(self, now: float, request_id: LeaseRequestId, parts: int, used: float) -> Grant:
        """Grant up to so many parts, in place of all that this borrower has.

        The same request gets the same answer. What the borrower had beyond the new grant stays out until it
        would have ended: the answer may never arrive.
        """
        self.discard_ended(now)
        if request_id in self.granted:
            return Grant(request_id.epoch, request_id.number, self.granted[request_id].parts)
        run = (request_id.name, request_id.epoch)
        earlier_leases = {
            earlier: lease for earlier, lease in self.granted.items() if (earlier.name, earlier.epoch) == run
        }
        if any(earlier.number > request_id.number for earlier in earlier_leases):
            return Grant(request_id.epoch, request_id.number, 0)  # late: a later request was granted
        already_granted = sum(lease.parts for lease in earlier_leases.values())
        retained = self.retained(now)
        granted = max(min(parts, already_granted + int(retained - used)), 0)
        if not granted or (not earlier_leases and len(self.granted) >= MAX_GRANTED_LEASES):
            return Grant(request_id.epoch, request_id.number, 0, max(int(retained - used), 0))
        self._replace(earlier_leases, granted)
        self.granted[request_id] = Lease(granted, now + self.times.term + self.times.safe_window)
        return Grant(request_id.epoch, request_id.number, granted, max(int(self.retained(now) - used), 0))

    def _replace(self, earlier_leases: dict[LeaseRequestId, Lease], granted: int) -> None:
        """Keep out what a borrower may spend of its earlier leases beyond the new grant."""
        for request_id in earlier_leases:
            del self.granted[request_id]
        later_parts = 0  # parts of those that end later
        for request_id, lease in sorted(earlier_leases.items(), key=lambda entry: entry[1].end, reverse=True):
            remaining_parts = max(later_parts + lease.parts - granted, 0) - max(later_parts - granted, 0)
            later_parts += lease.parts
            if remaining_parts:
                self.granted[request_id] = Lease(remaining_parts, lease.end, is_ending=True)

    def accept_release(self, now: float, request_id: LeaseRequestId, unspent: bool) -> None:
        """A borrower spends no more of a lease: what it has spent counts for a window yet.

        Args:
            now: seconds.
            request_id: the request that brought the lease.
            unspent: whether it had spent nothing at all in the window before, so that nothing is waited for.
        """
        lease = self.granted.get(request_id)
        if lease and unspent:
            del self.granted[request_id]
        elif lease:
            end = min(lease.end, now + self.times.safe_window)
            self.granted[request_id] = Lease(lease.parts, end, is_ending=True)

    # As a borrower.

    def request(self, now: float, lender: str, parts: int) -> int:
        """Return the number under which to request so many parts in all from a lender."""
        self.last_number += 1
        self.pending[lender] = PendingRequest(self.last_number, parts, now)
        return self.last_number

    def accept_grant(self, now: float, lender: str, grant: Grant) -> bool:
        """Take an answer to a request; False for one not requested by this run, or that ended on its way."""
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
        """Spend no more of a lease; return its number, for its lender, or 0 where there was none."""
        self.pending.pop(lender, None)
        lease = self.leased.pop(lender, None)
        return lease.number if lease and lease.end > now else 0

    # Time.

    def discard_ended(self, now: float) -> None:
        """Drop what has ended: no balance changes by it."""
        for request_id in [one for one, lease in self.granted.items() if lease.end <= now]:
            del self.granted[request_id]
        for lender in [lender for lender, lease in self.leased.items() if lease.end <= now]:
            del self.leased[lender]
        term = self.times.borrower_term
        for lender in [lender for lender, one in self.pending.items() if one.sent_at + term <= now]:
            del self.pending[lender]

    def resize(self, own: int) -> None:
        """Own so many parts from now on; what is granted stays out, and may exceed it."""
        self.own = own

    def lease_rows(self) -> Iterator[LeaseRow]:
        """Yield all leases, for the admin port."""
        for request_id, lease in self.granted.items():
            yield LeaseRow("out", request_id.name, lease.parts, lease.end)
        for lender, lease in self.leased.items():
            yield LeaseRow("in", lender, lease.parts, lease.end)
