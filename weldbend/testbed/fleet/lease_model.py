"""Exhaustive state-space search of the lease protocol between a few lease ledgers.

The model runs the production ledgers and does not reimplement them. Time advances in ticks, and states hold
ages in place of times, so that equal situations at different times are the same state. A clock may skip some
ticks. Messages may arrive in any order, twice, late or never (a message that never arrives stays in transit).
Fronts may crash and restart without state. In each state, the requests that all fronts have admitted
("spent") in the last window must not exceed the limit. The path to the first state that violates this is
returned as a trace; the search is breadth-first, so no trace is shorter.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from fractions import Fraction
from typing import NamedTuple

from weldbend.fleet.lease_ledger import Grant, Lease, LeaseLedger, LeaseRequestId, LeaseTimes, PendingRequest

# The times are whole ticks. The drift is a Fraction in place of a float, so that the arithmetic is exact.
TICKS = LeaseTimes(term=3, window=1, drift=Fraction(1, 6))  # type: ignore[arg-type]  # see above


@dataclass(frozen=True, slots=True)
class Scope:
    """Bounds of the search; a tick is one second of `times`."""

    own: tuple[int, ...] = (1, 1, 0)  # parts of the limit that each front owns
    times: LeaseTimes = TICKS
    depth: int = 60  # steps
    asks: int = 2  # lease requests, in total
    parts: int = 1  # most parts of a request, or what the lender owns if that is more
    deaths: int = 1  # crashes with a restart
    doubles: int = 1  # messages that are delivered twice
    skips: int = 1  # ticks that clocks skip, in total
    backs: int = 1  # leases that are released early


class Budget(NamedTuple):
    """Numbers of events of a scope that may still occur on a path."""

    asks: int
    deaths: int
    doubles: int
    skips: int
    backs: int


class Front(NamedTuple):
    """One front: its epoch, its ledger as plain values, and its spent requests, by its own clock."""

    epoch: int
    number: int  # number of its last lease request
    quiet_ticks: float  # ticks after a start until the front may grant leases
    granted: tuple[tuple[LeaseRequestId, Lease], ...]
    acquired: tuple[tuple[str, Lease], ...]
    requested: tuple[tuple[str, PendingRequest], ...]
    spent: tuple[int, ...]  # ages of the requests admitted in the last window, in ticks


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
    """State of all fronts and messages, and the true ages of all admitted requests."""

    fronts: tuple[Front, ...]
    messages: frozenset[Message]
    spent: tuple[int, ...]  # true ages of all requests admitted in the last window, in ticks
    budget: Budget

    def with_front(self, number: int, front: Front) -> "State":
        """Return the state with one front replaced."""
        return self._replace(fronts=(*self.fronts[:number], front, *self.fronts[number + 1 :]))

    def with_message(self, message: Message) -> "State":
        """Return the state with another message in transit."""
        return self._replace(messages=self.messages | {message})

    def with_budget_spent(self, what: str) -> "State":
        """Return the state with one field of its budget reduced by one."""
        return self._replace(budget=self.budget._replace(**{what: getattr(self.budget, what) - 1}))


Step = tuple[str, State]  # description of an event, and the state after it


@dataclass
class Exploration:
    """Result of a search."""

    states: int = 0
    depth: int = 0  # steps to the states that were visited last
    is_complete: bool = False  # whether all states within the scope were visited
    trace: list[str] = field(default_factory=list)  # steps to the first violation; empty if there is none


def _ignore_progress(depth: int, states: int) -> None:
    """Ignore the progress of a search."""


class LeaseModel:
    """Successor states, and the search over them; tests pass a faulty `ledger` class."""

    def __init__(self, scope: Scope, ledger: type[LeaseLedger] = LeaseLedger) -> None:
        self.scope = scope
        self.ledger = ledger
        self.limit = sum(scope.own)
        self.window = scope.times.window

    def open_ledger(self, number: int, front: Front) -> LeaseLedger:
        """Return a ledger with the recorded state of a front."""
        ledger = self.ledger(self.scope.own[number], self.scope.times, front.epoch, front.quiet_ticks)
        ledger.last_number = front.number
        ledger.granted = dict(front.granted)
        ledger.leased = dict(front.acquired)
        ledger.pending = dict(front.requested)
        return ledger

    @staticmethod
    def record(front: Front, ledger: LeaseLedger) -> Front:
        """Return the front with the current state of its ledger."""
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
        """Return the state in which all fronts have just started, and hold the parts that they own."""
        scope = self.scope
        budget = Budget(scope.asks, scope.deaths, scope.doubles, scope.skips, scope.backs)
        return State((Front(1, 0, 0, (), (), (), ()),) * len(scope.own), frozenset(), (), budget)

    # Steps.

    def steps(self, state: State) -> Iterator[Step]:
        """Yield all possible next events, each with the state after it."""
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
        """Return a front after one tick of its own clock."""
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
        """Visit all states within the scope, breadth-first, up to the first violation.

        `on_depth` is called after each depth with the depth and the number of states so far.
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
    """Return the steps from the initial state to a state."""
    steps: list[str] = []
    before: State | None = state
    while before is not None:
        before, step = reached[before]
        steps.append(step)
    return steps[-2::-1]
