"""Strict limits in shares that are lent and come back by the clock: one front's book of one limit. No I/O.

A limit is cut into parts. Each member owns some (`owned`), spends from what it holds, and lends what it does
not need for a term. What all may spend in any window never passes the limit, whatever links, deaths, freezes
and clocks within their drift do, because four things hold here, each by itself:

1. what is lent is out before the grant leaves, until the loan has surely ended and a window has passed; 2.
nothing is lent that the own spending of the last window needs; 3. a loan ends, for who borrowed, at the
latest when it has for who lent: its term counts from the asking; 4. a start that cannot know what was lent
before it holds nothing of its own for a term and a window.

Then, at any moment t: what one spent in the window up to t was covered, at its last spending s, by what it
kept and by loans that had not ended at s, and their lenders count those as out until after s + window > t.
What is kept never falls below the own spending (2). So the sum is at most the sum of what is owned: the whole
limit.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b

PARTS = 1200  # of each limit
MOST_LOANS = 512  # of one limit, out or in


def owned(limit: str, names: Iterable[str], attempts: float) -> dict[str, int]:
    """How many parts each named member owns, by an order that all compute alike.

    `pulls` is how many pulls the limit has room for: no more members own a part of it than that, so that what
    one owns is worth something by itself, and what one lacks is had from one lender.
    """
    order = sorted(set(names), key=lambda name: blake2b(f"{limit} {name}".encode(), digest_size=8).digest())
    owners = min(len(order), max(int(attempts), 1))
    least, more = divmod(PARTS, owners) if owners else (0, 0)
    return {name: (least + (place < more)) * (place < owners) for place, name in enumerate(order)}


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Seconds. `drift` is the share by which any steady clock may run too fast or too slow."""

    term: float = 1.0  # of a loan
    window: float = 2.0  # in which the limit holds
    drift: float = 0.01

    @property
    def short(self) -> float:
        """The term as who borrows counts it, from when it asked."""
        return self.term * (1 - 2 * self.drift)

    @property
    def wait(self) -> float:
        """A window, as one that must not be shorter than anybody else's counts it."""
        return self.window * (1 + 2 * self.drift)

    @property
    def span(self) -> float:
        """A window, as who spends counts it by a clock that may be too fast."""
        return self.window * (1 + self.drift)

    @property
    def quiet(self) -> float:
        """For which a start that knows nothing holds nothing of its own."""
        return self.term * (1 + 2 * self.drift) + self.wait


@dataclass(frozen=True, slots=True)
class Borrower:
    """One asking of one run of a front; its numbers only rise."""

    name: str
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Loan:
    """`end`: out, when it counts here again; in, when it may no longer be spent."""

    parts: int
    end: float
    number: int = 0  # of the asking, of what came
    over: bool = False  # out, and not prolonged any more: only its end is waited for


@dataclass(frozen=True, slots=True)
class Asking:
    number: int
    parts: int
    at: float


@dataclass(frozen=True, slots=True)
class Granted:
    """What a lender says to the asking of that epoch and number; how many more it could spare is a hint."""

    epoch: int
    number: int
    parts: int
    spare: int = 0


class LeaseLedger:
    """One front's book. `used` is always what it has spent in the last window, in parts, by its own clock.

    From each lender there is one loan at most, and one asking. An asking is for all that is wanted from that
    lender; what it brings takes the place of what was had, and voids every asking before it.
    """

    __slots__ = ("asked", "came", "epoch", "number", "out", "own", "quiet_until", "times")

    def __init__(self, own: int, times: LeaseTimes, epoch: int, quiet_until: float = 0.0) -> None:
        self.own, self.times, self.epoch, self.quiet_until = own, times, epoch, quiet_until
        self.number = 0
        self.out: dict[Borrower, Loan] = {}
        self.came: dict[str, Loan] = {}  # by lender
        self.asked: dict[str, Asking] = {}  # by lender

    # What is held.

    def kept(self, now: float) -> int:
        """Of its own, not lent: holds without any end."""
        if now < self.quiet_until:
            return 0
        return self.own - self.lent(now)

    def lent(self, now: float) -> int:
        return sum(loan.parts for loan in self.out.values() if loan.end > now)

    def borrowed(self, now: float) -> int:
        return sum(loan.parts for loan in self.came.values() if loan.end > now)

    def held(self, now: float) -> int:
        """What may be spent in the window up to now."""
        return self.kept(now) + self.borrowed(now)

    def ends(self, now: float) -> float:
        """When the first of what is borrowed ends; never, where nothing is."""
        return min((loan.end for loan in self.came.values() if loan.end > now), default=float("inf"))

    # Lending.

    def had(self, now: float, name: str, epoch: int) -> int:
        """What is out to one run of a front, and goes on being out if it asks."""
        mine = (loan for one, loan in self.out.items() if (one.name, one.epoch) == (name, epoch))
        return sum(loan.parts for loan in mine if loan.end > now and not loan.over)

    def returning(self, now: float) -> int:
        """What is out and comes back by itself."""
        return sum(loan.parts for loan in self.out.values() if loan.end > now and loan.over)

    def lend(self, now: float, to: Borrower, parts: int, used: float) -> Granted:
        """Grant up to so many parts, in place of all that this borrower has; the same to the same asking.

        What it had beyond that stays out until it would have ended: the answer may never arrive.
        """
        self.forget(now)
        if to in self.out:
            return Granted(to.epoch, to.number, self.out[to].parts)
        before = {o: loan for o, loan in self.out.items() if (o.name, o.epoch) == (to.name, to.epoch)}
        if any(one.number > to.number for one in before):
            return Granted(to.epoch, to.number, 0)  # it comes late: that one has gone on with a later one
        had = sum(loan.parts for loan in before.values())
        kept = self.kept(now)
        grant = max(min(parts, had + int(kept - used)), 0)
        if not grant or (not before and len(self.out) >= MOST_LOANS):
            return Granted(to.epoch, to.number, 0, max(int(kept - used), 0))
        for one in before:
            del self.out[one]
        until = 0  # what that borrower may spend without this grant, from the latest end on
        for one, loan in sorted(before.items(), key=lambda held: held[1].end, reverse=True):
            rest = max(until + loan.parts - grant, 0) - max(until - grant, 0)
            until += loan.parts
            if rest:
                self.out[one] = Loan(rest, loan.end, over=True)
        self.out[to] = Loan(grant, now + self.times.term + self.times.wait)
        return Granted(to.epoch, to.number, grant, max(int(self.kept(now) - used), 0))

    def given_back(self, now: float, by: Borrower, unspent: bool) -> None:
        """The borrower says that it spends no more of it: what it has spent counts for a window yet.

        `unspent`: it had spent nothing at all in the window before, so nothing is waited for.
        """
        held = self.out.get(by)
        if held and unspent:
            del self.out[by]
        elif held:
            self.out[by] = Loan(held.parts, min(held.end, now + self.times.wait), over=True)

    # Borrowing.

    def ask(self, now: float, lender: str, parts: int) -> int:
        """The number under which to ask that lender for so many in all."""
        self.number += 1
        self.asked[lender] = Asking(self.number, parts, now)
        return self.number

    def grant(self, now: float, lender: str, told: Granted) -> bool:
        """An answer to an asking of this run; false for one not asked for, or that ended on its way."""
        asked = self.asked.get(lender)
        if asked is None or (told.epoch, told.number) != (self.epoch, asked.number):
            return False
        del self.asked[lender]
        end = asked.at + self.times.short
        if not 0 < told.parts <= asked.parts or end <= now:
            return False
        self.came[lender] = Loan(told.parts, end, told.number)
        return True

    def give_back(self, now: float, lender: str) -> int:
        """Spend no more of a loan; its number, of which its lender is to be told, or 0 for none."""
        self.asked.pop(lender, None)
        held = self.came.pop(lender, None)
        return held.number if held and held.end > now else 0

    # Time.

    def forget(self, now: float) -> None:
        """Let go of what has ended. Says nothing that time has not said."""
        for one in [one for one, loan in self.out.items() if loan.end <= now]:
            del self.out[one]
        for lender in [lender for lender, loan in self.came.items() if loan.end <= now]:
            del self.came[lender]
        for lender in [lender for lender, asked in self.asked.items() if asked.at + self.times.short <= now]:
            del self.asked[lender]

    def resize(self, own: int) -> None:
        """Other members are named: what is owned changes; what is lent stays lent, and may pass it."""
        self.own = own

    def loans(self) -> Iterator[tuple[str, str, int, float]]:
        """All for people: which way, whom, parts, end."""
        for to, loan in self.out.items():
            yield "out", to.name, loan.parts, loan.end
        for lender, loan in self.came.items():
            yield "in", lender, loan.parts, loan.end
