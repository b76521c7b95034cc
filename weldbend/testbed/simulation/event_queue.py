"""Virtual time: a queue of delayed calls, ordered by time and then by when they were scheduled."""

import heapq
import itertools
from collections.abc import Callable

UNIX_START = 1_700_000_000.0  # Unix seconds at the virtual start


class DelayedCall:
    """One scheduled call, with the methods of Twisted's `IDelayedCall` that a front uses."""

    __slots__ = ("call", "time")

    def __init__(self, time: float, call: Callable[[], object] | None) -> None:
        self.time = time
        self.call = call

    def active(self) -> bool:
        """Whether the call is still to come."""
        return self.call is not None

    def cancel(self) -> None:
        """Make it never happen; its entry stays in the queue until its time."""
        self.call = None

    def getTime(self) -> float:
        """Virtual seconds at which it is due."""
        return self.time


class EventQueue:
    """The clock and the event queue of one run. Times are seconds since the virtual start."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def unix(self) -> float:
        """The virtual time in seconds of the Unix epoch."""
        return UNIX_START + self.now

    def schedule(self, delay: float, call: Callable[[], object]) -> DelayedCall:
        """Call after `delay` seconds; a negative delay counts as none."""
        delayed = DelayedCall(self.now + max(delay, 0.0), call)
        heapq.heappush(self._heap, (delayed.time, next(self._sequence), delayed))
        return delayed

    def run(self, until: float) -> None:
        """Make every call that is due up to a moment, and advance the clock to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, delayed = heapq.heappop(self._heap)
            call = delayed.call
            delayed.call = None
            if call:
                call()
        self.now = until
