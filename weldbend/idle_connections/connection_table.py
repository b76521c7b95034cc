"""What is remembered of parked connections: flat arrays by descriptor, no object a connection. No I/O.

About fifty bytes a connection: its state, when it was heard last, its calls, flaws and withdrawals, and its
place in the buckets of its kind.
"""

from array import array
from collections import deque
from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from weldbend.idle_connections.policy import KINDS, OTHERS, Terms, kind, limit, prompt
from weldbend.idle_connections.timer_wheel import TimerWheel
from weldbend.invariants import check_invariant

AWAY, PARKED, WAKING = 0, 1, 2
BUCKETS = 64  # in the time for which a kind is kept
MOST_CALLS = (1 << 32) - 1


class Memory(NamedTuple):
    """What a connection is given back when it wakes."""

    calls: int
    flaws: int
    withdrawn: int
    heard: float


class Table:
    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.state, self.flaws, self.withdrawn = array("B"), array("B"), array("B")
        self.calls, self.heard = array("I"), array("d")
        limits = [limit(terms, kind) for kind in range(KINDS)]
        self.kinds = [TimerWheel(keep, max(keep / BUCKETS, 0.01)) for keep in limits]
        # Those with something to read, in the order in which that was noticed; `prompt` goes first.
        self.prompt: deque[int] = deque()
        self.queue: deque[int] = deque()
        self.waking = self.turns = 0

    def __len__(self) -> int:
        """All that are parked, those about to wake too."""
        return sum(map(len, self.kinds)) + self.waking

    def holds(self, slot: int) -> bool:
        return slot < len(self.state) and self.state[slot] != AWAY

    def enter(self, slot: int, memory: Memory, now: float) -> None:
        if slot >= len(self.state):
            more = max(slot + 1 - len(self.state), 256)
            for column in (self.state, self.flaws, self.withdrawn, self.calls, self.heard):
                column.extend([0] * more)
        check_invariant(self.state[slot] == AWAY, "a descriptor is parked once")
        self.state[slot] = PARKED
        self.calls[slot] = min(memory.calls, MOST_CALLS)
        self.flaws[slot], self.withdrawn[slot] = min(memory.flaws, 255), min(memory.withdrawn, 255)
        self.heard[slot] = memory.heard
        self.place(slot, now)

    def place(self, slot: int, now: float) -> None:
        which = kind(self.calls[slot])
        self.kinds[which].put(slot, self.heard[slot] + limit(self.terms, which), now)

    def ready(self, slot: int, now: float) -> bool:
        """Something came, or it ended: it waits to be woken. False for one that is not parked any more."""
        if slot >= len(self.state) or self.state[slot] != PARKED:
            return False
        self.kinds[kind(self.calls[slot])].remove(slot)
        (self.prompt if prompt(now - self.heard[slot]) else self.queue).append(slot)
        self.state[slot], self.heard[slot] = WAKING, now
        self.waking += 1
        return True

    def wake(self) -> int | None:
        """The next to be woken, if any is: its number stays taken until `leave` or `back`."""
        while self.prompt or self.queue:
            self.turns += 1
            others = self.queue and (not self.prompt or self.turns % OTHERS == 0)
            slot = (self.queue if others else self.prompt).popleft()
            if self.state[slot] == WAKING:  # else it left meanwhile, and its number may be another's
                return slot
        return None

    def back(self, slot: int, now: float) -> None:
        """There was nothing to read after all."""
        self.waking -= 1
        self.state[slot] = PARKED
        self.place(slot, now)

    def leave(self, slot: int) -> Memory:
        """Forget a connection, and say what was known of it."""
        check_invariant(self.holds(slot), "only what is parked leaves")
        if self.state[slot] == WAKING:
            self.waking -= 1
        else:
            self.kinds[kind(self.calls[slot])].remove(slot)
        self.state[slot] = AWAY
        return Memory(self.calls[slot], self.flaws[slot], self.withdrawn[slot], self.heard[slot])

    def due(self, now: float, most: int) -> list[int]:
        """At most so many that were idle for longer than their kind is kept; they stay until they leave."""
        found: list[int] = []
        for which, wheel in enumerate(self.kinds):
            late = limit(self.terms, which)
            for slot in wheel.due(now, most - len(found)):
                if now > self.heard[slot] + late:
                    found.append(slot)
                wheel.put(slot, self.heard[slot] + late, now)
        return found

    def longest(self, count: int) -> Iterator[int]:
        """The first so many of each kind, those idle longest first."""
        for wheel in self.kinds:
            yield from islice(wheel.first(), count)
