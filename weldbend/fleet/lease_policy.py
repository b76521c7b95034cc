"""What of a limit a front asks for, keeps back, lends and gives up: choices about one limit. No I/O.

Safety is the ledger's (`shares`): whatever is chosen here, no strict limit is passed. What is chosen here is
how much of a limit lies idle. All amounts are parts of the limit; `pull` is what one pull takes of it at
least.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from weldbend.fleet.lease_ledger import PARTS, Asking, LeaseLedger, LeaseTimes
from weldbend.routing.random_source import RandomSource

FAN, MOST_FAN = 4, 64  # lenders asked at a time; and where a whole pull is still to be gathered
WAITS = 0.45  # seconds for which an answer is waited for
PATIENCE = 1.2  # seconds after which what has been gathered, and is no whole pull, is given back
STEP = 0.02  # seconds by which each waits for the one before it to ask
MARGIN, MANY = 1.2, 4.0  # asked for, of a need of many pulls: it grows while answers are on their way
LONG = 5.0  # and for which one pull is kept
LOOKBACK = 2.0  # terms and windows for which a need of its own keeps a share from being lent


def rank(limit: str, turn: int, name: str) -> int:
    """Whose turn it is where shares are too small for all: the highest first, drawn alike everywhere."""
    return int.from_bytes(blake2b(f"{limit} {turn} {name}".encode(), digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class Use:
    """What one look at a limit found: spent in the last window, and what a window would take as things go."""

    used: float
    wanted: float
    unit: float = 1.0  # parts that one pull takes


@dataclass(frozen=True, slots=True)
class Turn:
    """Turns follow the Unix clock; `since` is in seconds. Only how much lies idle goes by it."""

    number: int
    since: float


def turn_at(unix: float, times: LeaseTimes) -> Turn:
    """In one turn shares are gathered, used, and have come back."""
    lasts = 2 * times.term + times.window
    number = int(unix / lasts)
    return Turn(number, unix - number * lasts)


@dataclass(frozen=True, slots=True)
class PlannedAcquire:
    """Ask that lender for so many in all."""

    lender: str
    parts: int


@dataclass(frozen=True, slots=True)
class PlannedRelease:
    lender: str


Plan = PlannedAcquire | PlannedRelease


@dataclass
class LeasePolicy:
    """One front's choices about one limit. `owners` says how many parts each member owns."""

    limit: str
    name: str
    times: LeaseTimes
    owners: Mapping[str, int]
    chance: RandomSource
    unit: float = 1.0  # parts that one pull takes
    need: float = 0.0  # pulls of a window that it could use
    latest: float = 0.0  # and by the last look
    mean: float = 0.0  # of looks, the latest ones counting most
    at: float = -math.inf  # when the last look was
    wanted_at: float = -math.inf  # and the last one that found a need
    lasts: float = -math.inf  # until when `need` holds, where less is needed since
    peaks: deque[tuple[float, float]] = field(default_factory=deque)  # needs of late, each above those after
    turn: int = -1  # the latest in which a share too small for a pull was asked for
    best: int = -1  # the rank of the first in it
    gathering: float | None = None  # since when it holds less than a pull and asks for the rest
    rests: float = -math.inf  # until when it asks no more, having gathered in vain
    hints: dict[str, int] = field(default_factory=dict)  # what lenders said they could spare
    refused: dict[str, float] = field(default_factory=dict)  # until when a lender is not asked again

    def looked(self, now: float, use: Use) -> None:
        """Needs rise at once and fall after a term: what is given back early is asked for again.

        They are held in pulls, since what a pull takes of a limit that grows changes meanwhile.
        """
        self.unit, span = use.unit, self.times.term + self.times.window
        attempts = self.latest = max(use.used, use.wanted) / use.unit
        self.mean += (1 - math.exp((self.at - now) / span)) * (attempts - self.mean)
        self.at = now
        while self.peaks and self.peaks[-1][1] <= attempts:
            self.peaks.pop()
        if attempts:
            self.peaks.append((now, attempts))
            self.wanted_at = now
        while self.peaks and self.peaks[0][0] <= now - LOOKBACK * span:
            self.peaks.popleft()
        if attempts >= self.need or now >= self.lasts:
            self.need, self.lasts = attempts, now + self.times.term
            if self.attempt > self.owners.get(self.name, 0):  # gathering one takes a turn
                self.lasts = now + 2 * self.times.term + self.times.window

    def parts(self, attempts: float) -> int:
        """Parts that so many pulls take; a part of a pull is worth nothing."""
        return min(math.ceil(math.ceil(attempts - 1e-9) * self.unit - 1e-9), PARTS)

    @property
    def attempt(self) -> int:
        return max(self.parts(1.0), 1)

    def wanted(self) -> int:
        return self.parts(self.need * MARGIN if self.need > MANY else self.need)

    # As a lender.

    def keeps(self) -> int:
        """What it needed at most of late, without what chance makes of that.

        Guards against needs that come and go: what is lent is gone for a term and a window, so a share that
        was needed that lately is worth more here. Harm: one that moves for good is lent that much later.
        """
        attempts = self.peaks[0][1] if self.peaks else 0.0
        lately = self.at - self.wanted_at < LONG * (self.times.term + self.times.window)
        return self.parts(max(attempts - math.sqrt(attempts), 1.0 if lately else 0.0))

    def sure(self) -> float:
        """Parts that it needs on the mean, or now beyond what chance may have made of that."""
        return max(self.latest - 2 * math.sqrt(self.latest), self.mean) * self.unit

    def lends(
        self, asker: str, parts: int, kept: int, used: float, turn: int, had: int = 0, back: int = 0
    ) -> int:
        """How much of what is kept goes to one that asks; `had` of it that one has on loan already, and
        `back` more comes back soon by itself.

        A loan is prolonged unless this front surely needs it, since what is taken back and lent again lies
        idle for a window each time.

        What this front needs itself stays, so a hoarder or a liar gets only what lies idle, for a term. A
        share that is less than a pull is worth nothing here alone: all of it goes to one whose turn is before
        this front's own.
        """
        if kept < self.attempt:
            spare = kept if self.first(asker, turn) else 0
        else:
            rest, sure = kept - had + back, self.sure()
            spare = max(had, kept - self.keeps()) if sure <= rest else had - math.ceil(sure - rest)
            spare -= spare % self.attempt  # less than a pull serves nobody
        return max(min(parts, spare, math.floor(kept - used)), 0)

    def first(self, asker: str, turn: int) -> bool:
        """Whether one's turn is before that of all others that asked here in it, and before this front's own.

        Guards against several that each gather a part of a pull, and none a whole one.
        """
        if turn != self.turn:
            self.turn, self.best = turn, rank(self.limit, turn, self.name) if self.need else -1
        mine = rank(self.limit, turn, asker)
        self.best = max(self.best, mine)
        return mine == self.best

    # As a borrower.

    def answered(self, now: float, lender: str, spare: int, more: bool) -> None:
        """What a lender said; `more` where it gave more than was had."""
        self.hints[lender] = spare
        if not (more or spare):
            self.refused[lender] = now + self.times.term / 2

    def plans(self, now: float, book: LeaseLedger, alive: Iterable[str], turn: Turn) -> list[Plan]:
        """What to ask for, prolong and give back now; `alive` are members that may answer."""
        held = book.held(now)
        surplus = held - self.wanted()
        found = list(self.surplus(book, surplus))
        going = {plan.lender for plan in found}
        later = {plan.lender: plan for plan in self.prolong(now, book) if plan.lender not in going}
        if surplus >= 0:
            self.gathering = None
            return [*found, *later.values()]
        whole = held >= self.attempt
        if not whole and (not self.gathers(turn, alive) or self.in_vain(now)):
            return [PlannedRelease(lender) for lender in book.came]
        if whole or now >= self.rests:
            for more in self.borrow(now, book, -surplus - self.awaited(now, book), alive, turn):
                later[more.lender] = more
        return [*found, *later.values()]

    def gathers(self, turn: Turn, alive: Iterable[str]) -> bool:
        """Whether this front may gather a whole pull from shares that are each less than one.

        Guards against many that each hold a part and none a whole. In each turn all stand in an order that
        all compute alike: as many as there are pulls begin at once, the others each a moment later than the
        one before them, unless somebody who stands before them has asked here meanwhile.
        """
        mine = rank(self.limit, turn.number, self.name)
        if self.turn == turn.number and self.best > mine:
            return False
        before = sum(rank(self.limit, turn.number, name) > mine for name in alive if name != self.name)
        waits = max(before - PARTS // self.attempt + 1, 0) * STEP
        return waits <= turn.since < self.times.term + self.times.window

    def surplus(self, book: LeaseLedger, surplus: int) -> Iterable[PlannedRelease]:
        """Whole loans that are not needed any more, the smallest first."""
        for lender, loan in sorted(book.came.items(), key=lambda one: one[1].parts):
            if loan.parts > surplus:
                return
            surplus -= loan.parts
            yield PlannedRelease(lender)

    def prolong(self, now: float, book: LeaseLedger) -> Iterable[PlannedAcquire]:
        """Loans that are needed on, in the second half of their term; each asked for once in a while."""
        for lender, loan in book.came.items():
            waits = lender in book.asked and self.fresh(book.asked[lender], now)
            if loan.end - now < self.times.term / 2 and not waits and self.need > 0:
                yield PlannedAcquire(lender, loan.parts)

    def awaited(self, now: float, book: LeaseLedger) -> int:
        """What may come of what was asked for, beyond what is held already."""
        came = {lender: loan.parts for lender, loan in book.came.items()}
        return sum(
            max(one.parts - came.get(lender, 0), 0)
            for lender, one in book.asked.items()
            if self.fresh(one, now)
        )

    def fresh(self, one: Asking, now: float) -> bool:
        return now - one.at < WAITS

    def in_vain(self, now: float) -> bool:
        """Whether less than a pull has been gathered for too long: others may make a whole one of it."""
        if self.gathering is None:
            self.gathering = now
        if now - self.gathering < PATIENCE:
            return False
        self.gathering = None
        self.rests = now + self.times.term * (0.5 + self.chance.random())
        return True

    def borrow(
        self, now: float, book: LeaseLedger, short: int, alive: Iterable[str], turn: Turn
    ) -> Iterable[PlannedAcquire]:
        """Ask some that may have something to spare: those that said so first, the others by chance.

        Who gathers a whole pull asks those first that come next in this turn: they then leave it to this one.
        From each lender there is one loan at most: more is asked for together with what is had.
        """
        if short <= 0:
            return
        busy = {lender for lender, one in book.asked.items() if self.fresh(one, now)}
        fit = [
            name
            for name in alive
            if name != self.name
            and self.owners.get(name)
            and name not in busy
            and self.refused.get(name, -math.inf) <= now
        ]
        gathers = book.held(now) < self.attempt
        if gathers:
            fit.sort(key=lambda name: rank(self.limit, turn.number, name), reverse=True)
        else:
            fit.sort(key=lambda name: (-self.hints.get(name, 0), self.chance.random()))
        fan = min(len(fit), MOST_FAN if gathers else FAN)
        for place, lender in enumerate(fit[:fan]):
            parts = math.ceil(short / (fan - place))
            loan = book.came.get(lender)
            before = loan.parts if loan else 0
            parts = min(parts, self.owners[lender] - before, short)
            if parts <= 0:
                continue
            yield PlannedAcquire(lender, before + parts)
            short -= parts
            if short <= 0:
                return
