"""Timers of the front: one heap, and one delayed call of the reactor for the earliest timer."""

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

from weldbend.front.clock import Clock

MIN_COMPACTION = 64  # number of cancelled timers up to which the heap is not compacted


class DelayedCall(Protocol):
    """Handle of a delayed call of the reactor."""

    def active(self) -> bool:
        """Return whether the call has neither run nor been cancelled."""
        ...

    def cancel(self) -> None:
        """Cancel the call."""
        ...


class ReactorClock(Protocol):
    """The method of Twisted's reactor that delays calls."""

    def callLater(self, delay: float, callback: Callable[..., object], /, *args: object) -> DelayedCall:
        """Schedule a call after `delay` seconds."""
        ...


class Timer:
    """A single scheduled call."""

    __slots__ = ("callback", "timers")

    def __init__(self, timers: "Timers", callback: Callable[[], object]) -> None:
        self.timers = timers
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Cancel the call; no effect if it has run or was cancelled."""
        if self.callback:
            self.callback = None
            self.timers.count_cancelled()


class Timers:
    """The timers of one front.

    Attributes:
        max_delay: largest delay so far of a timer beyond its due time, in seconds.
    """

    def __init__(self, reactor: ReactorClock, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.heap: list[tuple[float, int, Timer]] = []
        self.max_delay = 0.0
        self._sequence = itertools.count()
        self._delayed_call: DelayedCall | None = None
        self._next_due = 0.0
        self._cancelled = 0  # cancelled timers that are still in the heap

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.now()

    def after(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Schedule a call after `delay` seconds."""
        return self.at(self.now() + max(delay, 0.0), callback)

    def at(self, moment: float, callback: Callable[[], object]) -> Timer:
        """Schedule a call at a time of the monotonic clock."""
        timer = Timer(self, callback)
        heapq.heappush(self.heap, (moment, next(self._sequence), timer))
        self._arm()
        return timer

    def count_cancelled(self) -> None:
        """Count a cancelled timer, and compact the heap if more than half of its timers are cancelled.

        Most timers are cancelled, and the heap must not keep them until they would have been due.
        """
        self._cancelled += 1
        if self._cancelled > MIN_COMPACTION and 2 * self._cancelled > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback]
            heapq.heapify(self.heap)
            self._cancelled = 0

    def _arm(self) -> None:
        """Schedule the one delayed call for the earliest timer."""
        if not self.heap:
            return
        earliest = self.heap[0][0]
        if self._delayed_call is not None and self._delayed_call.active():
            if self._next_due <= earliest:
                return
            self._delayed_call.cancel()
        self._next_due = earliest
        self._delayed_call = self.reactor.callLater(max(earliest - self.now(), 0.0), self._run_due)

    def _run_due(self) -> None:
        """Run all due timers; after an exception in one call, the next delayed call runs the others."""
        now = self.now()
        if self.heap:
            self.max_delay = max(self.max_delay, now - self.heap[0][0])
        try:
            while self.heap and self.heap[0][0] <= now:
                timer = heapq.heappop(self.heap)[2]
                callback = timer.callback
                timer.callback = None
                if callback:
                    callback()
                else:
                    self._cancelled -= 1
        finally:
            self._arm()
