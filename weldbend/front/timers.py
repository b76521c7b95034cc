"""All timers of the front: one heap, and one delayed call for the next of them."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from weldbend.front.clock import Clock


class Timer:
    __slots__ = ("call", "timers")

    def __init__(self, timers: "Timers", call: Callable[[], object]) -> None:
        self.timers = timers
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        if self.call:
            self.call = None
            self.timers.cancelled()


class Timers:
    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.reactor, self.clock = reactor, clock
        self.heap: list[tuple[float, int, Timer]] = []
        self.order = itertools.count()
        self.delayed: Any = None
        self.idle = 0  # timers in the heap that were cancelled
        self.due = self.latest = 0.0  # when the next is due, and by how much one was late at most

    def now(self) -> float:
        return self.clock.now()

    def after(self, delay: float, call: Callable[[], object]) -> Timer:
        return self.at(self.now() + max(delay, 0.0), call)

    def at(self, moment: float, call: Callable[[], object]) -> Timer:
        timer = Timer(self, call)
        heapq.heappush(self.heap, (moment, next(self.order), timer))
        self.arm()
        return timer

    def cancelled(self) -> None:
        """Most timers are: the heap must not hold them until they would have been due."""
        self.idle += 1
        if self.idle > 64 and 2 * self.idle > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].call]
            heapq.heapify(self.heap)
            self.idle = 0

    def arm(self) -> None:
        """Have the one delayed call come when the first timer is due."""
        if not self.heap:
            return
        first = self.heap[0][0]
        if self.delayed is not None and self.delayed.active():
            if self.due <= first:
                return
            self.delayed.cancel()
        self.due = first
        self.delayed = self.reactor.callLater(max(first - self.now(), 0.0), self.fire)

    def fire(self) -> None:
        """Run what is due; a fault in one call must not silence the others."""
        now = self.now()
        if self.heap:
            self.latest = max(self.latest, now - self.heap[0][0])
        try:
            while self.heap and self.heap[0][0] <= now:
                timer = heapq.heappop(self.heap)[2]
                call, timer.call = timer.call, None
                if call:
                    call()
                else:
                    self.idle -= 1
        finally:
            self.arm()
