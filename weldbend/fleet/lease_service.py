"""The strict limits that this front shares with others: their books, and what is said about them. No I/O.

A limit has a name that all compute alike. Who spends from it (`Spender`) says what it used, and is told what
it holds before any answer to others leaves: what is lent is out here first.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from weldbend.fleet import messages as m
from weldbend.fleet.lease_ledger import PARTS, Borrower, Granted, LeaseLedger, LeaseTimes, owned
from weldbend.fleet.lease_policy import LeasePolicy, PlannedAcquire, Use, turn_at
from weldbend.fleet.membership import Send
from weldbend.routing.random_source import RandomSource

LOOK = 0.08  # seconds between two looks at what is needed
MOST_LIMITS = 512
AGAIN = (0.1, 0.25)  # seconds after which an asking without an answer is said again
MOST_SAID = 64  # askings in one look, of all limits together


class Spender(Protocol):
    """Who spends from a limit."""

    def use(self, now: float) -> Use:
        """What was used in the last window, and what would be if all that is wanted could be had; parts."""
        ...

    def holds(self, kept: int, borrowed: int, until: float) -> None:
        """From now on so much may be used: `borrowed` until that moment, at the latest."""
        ...


@dataclass(slots=True)
class Book:
    """One limit here. `names` are the members that own it together."""

    limit: str
    names: tuple[str, ...]
    attempts: float
    ledger: LeaseLedger
    demand: LeasePolicy
    spender: Spender
    told: tuple[int, int, float] = (-1, -1, 0.0)  # what the spender holds
    again: dict[int, int] = field(default_factory=dict)  # how often an asking was said again


class LeaseService:
    """`opens` is asked for a limit that somebody else spends from and this front does not yet.

    By the Unix clock (`unix`) goes whose turn it is, and nothing that must hold.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        chance: RandomSource,
        quiet_until: float,
        opens: Callable[[str], object],
        unix: Callable[[], float],
    ) -> None:
        self.name, self.epoch, self.chance, self.quiet_until = name, epoch, chance, quiet_until
        self.opens, self.unix = opens, unix
        self.books: dict[str, Book] = {}
        self.newcomer = False  # others do not name this front yet: it owns nothing
        self.next = -math.inf
        self.counts: Counter[str] = Counter()

    # Opening and closing.

    def open(
        self,
        limit: str,
        names: Iterable[str],
        attempts: float,
        times: LeaseTimes,
        spender: Spender,
        now: float,
    ) -> Book | None:
        """Spend from it from now on; the same one where it is open. None beyond the bound on limits.

        `pulls` is how many pulls it has room for at the least, as all compute alike.
        """
        if limit in self.books:
            return self.books[limit]
        if len(self.books) >= MOST_LIMITS:
            self.counts["limits over the bound"] += 1
            return None
        owners = owned(limit, names, attempts)
        book = LeaseLedger(self.own(owners), times, self.epoch, self.quiet_until)
        demand = LeasePolicy(limit, self.name, times, owners, self.chance)
        held = self.books[limit] = Book(limit, tuple(sorted(owners)), attempts, book, demand, spender)
        self.tell(held, now)
        return held

    def own(self, owners: dict[str, int]) -> int:
        return 0 if self.newcomer else owners.get(self.name, 0)

    def close(self, limit: str) -> None:
        """Nobody spends from it any more. What is lent ends by itself."""
        self.books.pop(limit, None)

    def rename(self, names: Callable[[str], Iterable[str]], newcomer: bool, now: float) -> None:
        """Members are named anew; `names` gives those that own a limit."""
        self.newcomer = newcomer
        for book in self.books.values():
            owners = owned(book.limit, names(book.limit), book.attempts)
            book.names, book.demand.owners = tuple(sorted(owners)), owners
            book.ledger.resize(self.own(owners))
            self.tell(book, now)

    def renumber(self, epoch: int) -> None:
        """This process goes on under another epoch: what it lent stays lent, what it asked for is void."""
        self.epoch = epoch
        for book in self.books.values():
            book.ledger.epoch = epoch

    # What comes.

    def hear(self, now: float, sender: str, epoch: int, body: m.Shared) -> list[Send]:
        """A message of a member, in the run that is known of it."""
        if body.limit not in self.books and isinstance(body, m.AcquireLease):
            self.opens(body.limit)
        book = self.books.get(body.limit)
        if book is None or sender not in book.names:
            self.counts["of no limit here"] += 1
            refused = isinstance(body, m.AcquireLease)
            return [Send(sender, m.GrantLease(body.limit, epoch, body.number, 0))] if refused else []
        match body:
            case m.AcquireLease(_, number, parts):
                return [Send(sender, self.lend(now, book, Borrower(sender, epoch, number), parts))]
            case m.GrantLease(_, asked, number, parts, spare):
                before = book.ledger.came.get(sender)
                came = book.ledger.grant(now, sender, Granted(asked, number, parts, spare))
                if asked == self.epoch:
                    more = came and parts > (before.parts if before else 0)
                    book.demand.answered(now, sender, spare, more)
                self.counts["loans had"] += came
                self.tell(book, now)
            case m.ReleaseLease(_, number, unspent):
                book.ledger.given_back(now, Borrower(sender, epoch, number), unspent)
                self.counts["loans back early"] += 1
        return []

    def lend(self, now: float, book: Book, to: Borrower, parts: int) -> m.GrantLease:
        use, turn = book.spender.use(now), turn_at(self.unix(), book.ledger.times).number
        book.demand.looked(now, use)
        had = book.ledger.had(now, to.name, to.epoch)
        back = book.ledger.returning(now)
        may = book.demand.lends(to.name, parts, book.ledger.kept(now) + had, use.used, turn, had, back)
        told = book.ledger.lend(now, to, may, use.used)
        self.counts["loans given"] += told.parts > 0
        self.tell(book, now)  # before the answer leaves
        spare = book.demand.lends(to.name, PARTS, book.ledger.kept(now), use.used, turn)
        return m.GrantLease(book.limit, told.epoch, told.number, told.parts, spare)

    # Time.

    def turn(self, now: float, alive: Iterable[str]) -> list[Send]:
        """What to ask for and give back; each limit is looked at once in `LOOK`."""
        found: list[Send] = []
        looks = now >= self.next
        if looks:
            self.next = now + LOOK
        here = sorted(alive)
        for book in list(self.books.values()):
            book.ledger.forget(now)
            found += self.repeat(now, book)
            if looks:
                book.demand.looked(now, book.spender.use(now))
                fit = [name for name in here if name in book.names]
                turn = turn_at(self.unix(), book.ledger.times)
                for plan in book.demand.plans(now, book.ledger, fit, turn):
                    found += self.carry(now, book, plan, len(found))
            self.tell(book, now)
        return found

    def repeat(self, now: float, book: Book) -> list[Send]:
        """Say askings again that have no answer: under the same number, so that a lender lends once.

        Guards against parts that are lost for a term, since the lender has them out and the borrower does
        not know it. Harm: a message more to one that is gone.
        """
        asked, found = book.ledger.asked, []
        numbers = {one.number for one in asked.values()}
        book.again = {number: times for number, times in book.again.items() if number in numbers}
        for lender, one in asked.items():
            times = book.again.get(one.number, 0)
            if times < len(AGAIN) and now - one.at >= AGAIN[times]:
                book.again[one.number] = times + 1
                self.counts["askings said again"] += 1
                found.append(Send(lender, m.AcquireLease(book.limit, one.number, one.parts)))
        return found

    def carry(self, now: float, book: Book, plan: Any, said: int) -> list[Send]:
        if not isinstance(plan, PlannedAcquire):
            number = book.ledger.give_back(now, plan.lender)
            self.tell(book, now)  # nothing of it is spent once that is said
            unspent = not book.spender.use(now).used
            return [Send(plan.lender, m.ReleaseLease(book.limit, number, unspent))] if number else []
        if said >= MOST_SAID:
            return []
        number = book.ledger.ask(now, plan.lender, plan.parts)
        self.counts["askings"] += 1
        return [Send(plan.lender, m.AcquireLease(book.limit, number, plan.parts))]

    def tell(self, book: Book, now: float) -> None:
        """Have the spender hold what the book holds, where that has changed."""
        ledger = book.ledger
        held = max(ledger.kept(now), 0), ledger.borrowed(now), ledger.ends(now)
        if held != book.told:
            book.told = held
            book.spender.holds(*held)

    # For people.

    def rows(self, now: float) -> list[dict[str, Any]]:
        found = []
        for limit, book in sorted(self.books.items()):
            ledger = book.ledger
            found.append({
                "limit": limit, "own": ledger.own, "kept": ledger.kept(now), "lent": ledger.lent(now),
                "borrowed": ledger.borrowed(now), "need": round(book.demand.need, 2),
                "pull": book.demand.attempt,
                "quiet": round(max(ledger.quiet_until - now, 0.0), 2),
                "loans": [
                    {"way": way, "with": name, "parts": parts, "ends in": round(end - now, 2)}
                    for way, name, parts, end in ledger.loans()
                ],
            })  # fmt: skip
        return found


class Rate:
    """A limit of so many downloads in a window: spends at the door."""

    def __init__(self, most: float, times: LeaseTimes) -> None:
        self.most, self.window = most, times.span
        self.taken: deque[float] = deque()
        self.came: deque[float] = deque(maxlen=4096)  # all that asked, lately
        self.kept = self.borrowed = 0
        self.until = math.inf

    def used(self, now: float) -> float:
        while self.taken and self.taken[0] <= now - self.window:
            self.taken.popleft()
        return len(self.taken) / self.most * PARTS

    def use(self, now: float) -> Use:
        while self.came and self.came[0] <= now - self.window:
            self.came.popleft()
        unit = PARTS / self.most
        return Use(self.used(now), len(self.came) * unit, unit)

    def holds(self, kept: int, borrowed: int, until: float) -> None:
        self.kept, self.borrowed, self.until = kept, borrowed, until

    def take(self, now: float) -> bool:
        """One more, if what is held now has room for it: the clock is looked at before each."""
        self.came.append(now)
        held = self.kept + (self.borrowed if now < self.until else 0)
        if self.used(now) + PARTS / self.most > held + 1e-9:
            return False
        self.taken.append(now)
        return True
