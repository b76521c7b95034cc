"""Explores every order of events of a few lease ledgers: the lease protocol in all its states.

The ledgers are the product's own, nothing is modelled twice. Time goes in ticks, and only ages count, so that
the same situation at another time is the same state; a clock may skip some ticks, messages may arrive in any
order, twice, late or never (one that never arrives is one that is still in transit); fronts die and start
again, knowing nothing. In each state, what all have spent in the last window is at most the limit. The first
path to a state in which it is not is returned as a trace; the search is breadth first, so none is shorter.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from fractions import Fraction
from typing import NamedTuple

from weldbend.fleet.lease_ledger import Grant, Lease, LeaseLedger, LeaseRequestId, LeaseTimes, PendingRequest

# The times are whole ticks, and exact: the drift is a fraction in place of a float.
TICKS = LeaseTimes(term=3, window=1, drift=Fraction(1, 6))  # type: ignore[arg-type]  # see above


@dataclass(frozen=True, slots=True)
class Scope:
    """How much is explored; a tick is one second of `times`."""

    own: tuple[int, ...] = (1, 1, 0)  # what each front owns of the limit
    times: LeaseTimes = TICKS
    depth: int = 60  # steps
    asks: int = 2  # in all
    parts: int = 1  # requested at a time, at most, beyond what the other owns
    deaths: int = 1
    doubles: int = 1  # messages that arrive twice
    skips: int = 1  # ticks that clocks skip, in all
    backs: int = 1  # loans that are released early


class Budget(NamedTuple):
    """How much of a scope is left to explore on a path."""

    asks: int
    deaths: int
    doubles: int
    skips: int
    backs: int


class Front(NamedTuple):
    """One front: its epoch, its ledger as plain values, the ages of what it spent; all by its own clock."""

    epoch: int
    number: int  # of its last request for a lease
    quiet_ticks: float  # ticks until it may lend, after a start
    granted: tuple[tuple[LeaseRequestId, Lease], ...]
    acquired: tuple[tuple[str, Lease], ...]
    requested: tuple[tuple[str, PendingRequest], ...]
    spent: tuple[int, ...]


class Message(NamedTuple):
    """One message in transit; `kind` is ask, grant or back."""

    kind: str
    sender: int
    to: int
    epoch: int
    number: int
    parts: int

    def __str__(self) -> str:
        return f"{self.kind} {self.number} of {self.sender} to {self.to} ({self.parts} parts)"


class State(NamedTuple):
    """All fronts and messages, and what was really spent."""

    fronts: tuple[Front, ...]
    messages: frozenset[Message]
    spent: tuple[int, ...]  # true ages of all that was spent in the last window
    budget: Budget

    def with_front(self, number: int, front: Front) -> "State":
        """The state with another front in the place of one."""
        return self._replace(fronts=(*self.fronts[:number], front, *self.fronts[number + 1 :]))

    def with_message(self, message: Message) -> "State":
        """The state with a further message in transit."""
        return self._replace(messages=self.messages | {message})

    def with_budget_spent(self, what: str) -> "State":
        """The state with one less of something in its budget."""
        return self._replace(budget=self.budget._replace(**{what: getattr(self.budget, what) - 1}))


Step = tuple[str, State]  # what happens, and what comes of it


@dataclass
class Exploration:
    """What a search has found."""

    states: int = 0
    depth: int = 0  # steps to the last state
    is_complete: bool = False  # whether nothing was left to explore
    trace: list[str] = field(default_factory=list)  # to the first violation; empty where the limit holds


def _ignore_progress(depth: int, states: int) -> None:
    """Report nothing."""


class LeaseModel:
    """The steps from each state, and the search; `ledger` may be a sabotaged one."""

    def __init__(self, scope: Scope, ledger: type[LeaseLedger] = LeaseLedger) -> None:
        self.scope = scope
        self.ledger = ledger
        self.limit = sum(scope.own)
        self.window = scope.times.window

    def open_ledger(self, number: int, front: Front) -> LeaseLedger:
        """A ledger with what a front has recorded."""
        ledger = self.ledger(self.scope.own[number], self.scope.times, front.epoch, front.quiet_ticks)
        ledger.last_number = front.number
        ledger.granted = dict(front.granted)
        ledger.leased = dict(front.acquired)
        ledger.pending = dict(front.requested)
        return ledger

    @staticmethod
    def record(front: Front, ledger: LeaseLedger) -> Front:
        """The front with what is in its ledger now."""
        ledger.discard_ended(0)
        granted = sorted(
            ledger.granted.items(), key=lambda entry: (entry[0].name, entry[0].epoch, entry[0].number)
        )
        return front._replace(
            number=ledger.last_number,
            granted=tuple(granted),
            acquired=tuple(sorted(ledger.leased.items(), key=lambda entry: entry[0])),
            requested=tuple(sorted(ledger.pending.items(), key=lambda entry: entry[0])),
        )

    def initial_state(self) -> State:
        """All fronts have just started, and hold what they own."""
        scope = self.scope
        budget = Budget(scope.asks, scope.deaths, scope.doubles, scope.skips, scope.backs)
        return State((Front(1, 0, 0, (), (), (), ()),) * len(scope.own), frozenset(), (), budget)

    # Steps.

    def steps(self, state: State) -> Iterator[Step]:
        """All that can happen next."""
        yield "tick", self._tick(state, None)
        for number in range(len(state.fronts)) if state.budget.skips else ():
            yield f"tick, but not for {number}", self._tick(state, number).with_budget_spent("skips")
        for message in sorted(state.messages):
            yield f"comes: {message}", self._deliver(state, message, True)
            if state.budget.doubles:
                again = self._deliver(state, message, False)
                yield f"comes, and will again: {message}", again.with_budget_spent("doubles")
        for number, front in enumerate(state.fronts):
            yield from self._steps_of_front(state, number, front)

    def _steps_of_front(self, state: State, number: int, front: Front) -> Iterator[Step]:
        ledger = self.open_ledger(number, front)
        if len(front.spent) + 1 <= ledger.available(0):
            spent = front._replace(spent=(*front.spent, 0))
            yield f"{number} spends", state.with_front(number, spent)._replace(spent=(*state.spent, 0))
        if state.budget.asks:
            yield from self._requests(state, number, front)
        if state.budget.deaths and (front.granted or front.acquired or front.requested or front.spent):
            fresh = Front(front.epoch + 1, 0, self.scope.times.recovery, (), (), (), ())
            yield (
                f"{number} dies and starts again",
                state.with_front(number, fresh).with_budget_spent("deaths"),
            )
        if state.budget.backs:
            yield from self._releases(state, number, front)

    def _tick(self, state: State, skipped: int | None) -> State:
        fronts = tuple(
            front if number == skipped else self._age_front(number, front)
            for number, front in enumerate(state.fronts)
        )
        spent = tuple(age + 1 for age in state.spent if age + 1 < self.window)
        return state._replace(fronts=fronts, spent=spent)

    def _age_front(self, number: int, front: Front) -> Front:
        """One tick later by its own clock."""
        granted = tuple(
            (to, Lease(loan.parts, loan.end - 1, 0, loan.is_ending)) for to, loan in front.granted
        )
        acquired = tuple((of, Lease(loan.parts, loan.end - 1, loan.number)) for of, loan in front.acquired)
        requested = tuple(
            (of, PendingRequest(one.number, one.parts, one.sent_at - 1)) for of, one in front.requested
        )
        spent = tuple(age + 1 for age in front.spent if age + 1 < self.window)
        quiet_ticks = max(front.quiet_ticks - 1, 0)
        aged = Front(front.epoch, front.number, quiet_ticks, granted, acquired, requested, spent)
        return self.record(aged, self.open_ledger(number, aged))

    def _requests(self, state: State, number: int, front: Front) -> Iterator[Step]:
        for other in range(len(state.fronts)):
            most = max(self.scope.own[other], self.scope.parts) if self.scope.own[other] else 0
            for parts in range(1, most + 1) if other != number else ():
                ledger = self.open_ledger(number, front)
                request = ledger.request(0, str(other), parts)
                message = Message("ask", number, other, front.epoch, request, parts)
                following = state.with_front(number, self.record(front, ledger)).with_message(message)
                yield f"{number} asks {other} for {parts}", following.with_budget_spent("asks")

    def _releases(self, state: State, number: int, front: Front) -> Iterator[Step]:
        for lender, _ in front.acquired:
            ledger = self.open_ledger(number, front)
            if request := ledger.release(0, lender):
                message = Message("back", number, int(lender), front.epoch, request, not front.spent)
                following = state.with_front(number, self.record(front, ledger)).with_message(message)
                yield f"{number} gives {request} back to {lender}", following.with_budget_spent("backs")

    def _deliver(self, state: State, message: Message, is_last: bool) -> State:
        messages = state.messages - {message} if is_last else state.messages
        kind, sender, to, epoch, number, parts = message
        front = state.fronts[to]
        ledger = self.open_ledger(to, front)
        if kind == "ask":
            granted = ledger.grant(0, LeaseRequestId(str(sender), epoch, number), parts, len(front.spent))
            messages |= {Message("grant", to, sender, granted.epoch, number, granted.parts)}
        elif kind == "grant":
            ledger.accept_grant(0, str(sender), Grant(epoch, number, parts))
        else:
            ledger.accept_release(0, LeaseRequestId(str(sender), epoch, number), bool(parts))
        return state.with_front(to, self.record(front, ledger))._replace(messages=messages)

    # The search.

    def explore(self, on_depth: Callable[[int, int], None] = _ignore_progress) -> Exploration:
        """Visit all states within the scope, breadth first.

        `on_depth` gets each depth, and the number of states so far.
        """
        first = self.initial_state()
        reached: dict[State, tuple[State | None, str]] = {first: (None, "")}
        frontier = [first]
        depth = 0
        while frontier and depth < self.scope.depth:
            depth += 1
            following = []
            for state in frontier:
                for step, after in self.steps(state):
                    if after in reached:
                        continue
                    reached[after] = state, step
                    if len(after.spent) > self.limit:
                        return Exploration(len(reached), depth, False, trace(reached, after))
                    following.append(after)
            frontier = following
            on_depth(depth, len(reached))
        return Exploration(len(reached), depth, not frontier)


def trace(reached: dict[State, tuple[State | None, str]], state: State) -> list[str]:
    """The steps from the first state to one."""
    steps: list[str] = []
    before: State | None = state
    while before is not None:
        before, step = reached[before]
        steps.append(step)
    return steps[-2::-1]
