"""Virtual time: a queue of delayed calls, ordered by time and then by order of scheduling."""

import heapq
import itertools
from collections.abc import Callable

UNIX_START = 1_700_000_000.0  # Unix seconds at the virtual start


class DelayedCall:
    """Scheduled call, with the methods of Twisted's `IDelayedCall` that a front uses."""

    __slots__ = ("call", "time")

    def __init__(self, time: float, call: Callable[[], object] | None) -> None:
        self.time = time
        self.call = call

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self.call is not None

    def cancel(self) -> None:
        """Cancel the call; its entry stays in the queue until its time."""
        self.call = None

    def getTime(self) -> float:
        """Return the virtual time in seconds at which the call is due."""
        return self.time


class EventQueue:
    """Clock and event queue of a run. Times are seconds since the virtual start.

    Attributes:
        after_call: Function called after each scheduled call.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.after_call: Callable[[], None] = lambda: None
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def unix(self) -> float:
        """Return the virtual time as Unix time in seconds."""
        return UNIX_START + self.now

    def schedule(self, delay: float, call: Callable[[], object]) -> DelayedCall:
        """Schedule a call after `delay` seconds; a negative delay counts as 0."""
        delayed = DelayedCall(self.now + max(delay, 0.0), call)
        heapq.heappush(self._heap, (delayed.time, next(self._sequence), delayed))
        return delayed

    def run(self, until: float) -> None:
        """Run all calls due up to the time `until`, and advance the clock to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, delayed = heapq.heappop(self._heap)
            call = delayed.call
            delayed.call = None
            if call:
                call()
                self.after_call()
        self.now = until
