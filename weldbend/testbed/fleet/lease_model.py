"""Every order of events of a few ledgers, explored: the lease protocol in all its states. Not the network.

The books are the product's own `LeaseLedger`, nothing is modelled twice. Time goes in ticks, and only ages
count, so that the same situation at another time is the same state; a clock may miss some ticks, messages may
come in any order, twice, late or never (one that never comes is one that is still on its way); fronts die and
start again, knowing nothing. In each state: what all spent in the last window is at most the limit. The first
way in which it is not is printed as a trace; breadth first, so none is shorter.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any, NamedTuple

from weldbend.fleet.lease_ledger import Borrower, Grant, LeaseLedger, LeaseTimes, Loan, PendingRequest

TICKS = LeaseTimes(term=3, window=1, drift=Fraction(1, 6))  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class Scope:
    """How much is explored; a tick is one second of `times`. `own` says what each front owns."""

    own: tuple[int, ...] = (1, 1, 0)
    times: LeaseTimes = TICKS
    depth: int = 60
    asks: int = 2  # in all
    parts: int = 1  # asked for at a time, at most, beyond what the other owns
    deaths: int = 1
    doubles: int = 1  # messages that come twice
    skips: int = 1  # ticks that clocks miss, in all
    backs: int = 1  # loans that are given back early


class Front(NamedTuple):
    """One front: its epoch, its book as plain values, the ages of what it spent; all by its own clock."""

    epoch: int
    number: int
    quiet: Any
    out: tuple[tuple[Borrower, Loan], ...]
    came: tuple[tuple[str, Loan], ...]
    asked: tuple[tuple[str, PendingRequest], ...]
    spent: tuple[int, ...]


class Message(NamedTuple):
    kind: str
    sender: int
    to: int
    epoch: int
    number: int
    parts: int


class State(NamedTuple):
    fronts: tuple[Front, ...]
    messages: frozenset[Message]
    spent: tuple[int, ...]  # true ages of all that was spent in the last window
    left: tuple[int, ...]  # asks, deaths, doubles, skips, backs


@dataclass
class Found:
    states: int = 0
    depth: int = 0  # steps to the last state
    whole: bool = False  # whether nothing was left to explore
    trace: list[str] = field(default_factory=list)  # to the first breach; none where all holds


class Model:
    def __init__(self, scope: Scope, ledger: type[LeaseLedger] = LeaseLedger) -> None:
        self.scope, self.ledger = scope, ledger
        self.limit, self.window = sum(scope.own), scope.times.window

    def book(self, number: int, front: Front) -> LeaseLedger:
        made = self.ledger(self.scope.own[number], self.scope.times, front.epoch, front.quiet)
        made.last_number = front.number
        made.granted, made.leased, made.pending = dict(front.out), dict(front.came), dict(front.asked)
        return made

    def shut(self, front: Front, book: LeaseLedger) -> Front:
        book.discard_ended(0)
        out = sorted(book.granted.items(), key=lambda held: (held[0].name, held[0].epoch, held[0].number))
        came, asked = (
            tuple(sorted(d.items(), key=lambda held: held[0])) for d in (book.leased, book.pending)
        )
        return front._replace(number=book.last_number, out=tuple(out), came=came, asked=asked)

    def first(self) -> State:
        shape = self.scope
        left = (shape.asks, shape.deaths, shape.doubles, shape.skips, shape.backs)
        return State((Front(1, 0, 0, (), (), (), ()),) * len(shape.own), frozenset(), (), left)

    # Steps.

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        asks, deaths, doubles, skips, backs = state.left
        yield "tick", self.tick(state, -1)
        for number in range(len(state.fronts)) if skips else ():
            yield f"tick, but not for {number}", less(self.tick(state, number), 3)
        for message in sorted(state.messages):
            yield f"comes: {shown(message)}", self.deliver(state, message, True)
            if doubles:
                twice = self.deliver(state, message, False)
                yield f"comes, and will again: {shown(message)}", less(twice, 2)
        for number, front in enumerate(state.fronts):
            book = self.book(number, front)
            if len(front.spent) + 1 <= book.available(0):
                spent = front._replace(spent=(*front.spent, 0))
                yield f"{number} spends", put(state, number, spent)._replace(spent=(*state.spent, 0))
            if asks:
                yield from self.asking(state, number, front)
            if deaths and (front.out or front.came or front.asked or front.spent):
                quiet = self.scope.times.recovery
                fresh = Front(front.epoch + 1, 0, quiet, (), (), (), ())
                yield f"{number} dies and starts again", less(put(state, number, fresh), 1)
            for lender, _ in front.came if backs else ():
                book = self.book(number, front)
                if asked := book.release(0, lender):
                    message = Message("back", number, int(lender), front.epoch, asked, not front.spent)
                    made = put(state, number, self.shut(front, book))
                    made = made._replace(messages=made.messages | {message})
                    yield f"{number} gives {asked} back to {lender}", less(made, 4)

    def tick(self, state: State, but: int) -> State:
        fronts = tuple(
            front if number == but else self.older(number, front) for number, front in enumerate(state.fronts)
        )
        return state._replace(
            fronts=fronts, spent=tuple(age + 1 for age in state.spent if age + 1 < self.window)
        )

    def older(self, number: int, front: Front) -> Front:
        """One tick later by its own clock."""
        aged = Front(
            front.epoch, front.number, max(front.quiet - 1, 0),
            tuple((to, Loan(loan.parts, loan.end - 1, 0, loan.is_ending)) for to, loan in front.out),
            tuple((lender, Loan(loan.parts, loan.end - 1, loan.number)) for lender, loan in front.came),
            tuple(
                (lender, PendingRequest(one.number, one.parts, one.sent_at - 1))
                for lender, one in front.asked
            ),
            tuple(age + 1 for age in front.spent if age + 1 < self.window),
        )  # fmt: skip
        return self.shut(aged, self.book(number, aged))

    def asking(self, state: State, number: int, front: Front) -> Iterator[tuple[str, State]]:
        for other in range(len(state.fronts)):
            most = max(self.scope.own[other], self.scope.parts) if self.scope.own[other] else 0
            for parts in range(1, most + 1) if other != number else ():
                book = self.book(number, front)
                asked = book.request(0, str(other), parts)
                message = Message("ask", number, other, front.epoch, asked, parts)
                made = put(state, number, self.shut(front, book))
                made = made._replace(messages=made.messages | {message})
                yield f"{number} asks {other} for {parts}", less(made, 0)

    def deliver(self, state: State, message: Message, once: bool) -> State:
        messages = state.messages - {message} if once else state.messages
        kind, sender, to, epoch, number, parts = message
        front = state.fronts[to]
        book = self.book(to, front)
        if kind == "ask":
            told = book.grant(0, Borrower(str(sender), epoch, number), parts, len(front.spent))
            messages |= {Message("grant", to, sender, told.epoch, number, told.parts)}
        elif kind == "grant":
            book.accept_grant(0, str(sender), Grant(epoch, number, parts))
        else:
            book.accept_release(0, Borrower(str(sender), epoch, number), bool(parts))
        return put(state, to, self.shut(front, book))._replace(messages=messages)

    # The search.

    def explore(self, told: Callable[[int, int], None] = lambda depth, states: None) -> Found:
        """All states within the scope, breadth first."""
        first = self.first()
        came: dict[State, tuple[State | None, str]] = {first: (None, "")}
        rim, depth = [first], 0
        while rim and depth < self.scope.depth:
            depth += 1
            following = []
            for state in rim:
                for what, made in self.steps(state):
                    if made in came:
                        continue
                    came[made] = state, what
                    if len(made.spent) > self.limit:
                        return Found(len(came), depth, False, trace(came, made))
                    following.append(made)
            rim = following
            told(depth, len(came))
        return Found(len(came), depth, not rim)


def put(state: State, number: int, front: Front) -> State:
    return state._replace(fronts=(*state.fronts[:number], front, *state.fronts[number + 1 :]))


def less(state: State, which: int) -> State:
    left = state.left
    return state._replace(left=(*left[:which], left[which] - 1, *left[which + 1 :]))


def shown(message: Message) -> str:
    return f"{message.kind} {message.number} of {message.sender} to {message.to} ({message.parts} parts)"


def trace(came: dict[State, tuple[State | None, str]], state: State) -> list[str]:
    lines: list[str] = []
    at: State | None = state
    while at is not None:
        at, what = came[at]
        lines.append(what)
    return lines[-2::-1]
