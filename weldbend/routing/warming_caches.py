"""The caches of a group that are warming up, tracked incrementally.

This module only stores state; what to send where is decided elsewhere.
"""

import math
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from weldbend.routing.cache_state import Cache

# Minimum seconds until the next scheduled check of a cache, even if a change is expected sooner.
MIN_RECHECK_DELAY = 0.01


class WarmingCaches:
    """Tracks which caches are warming up, and schedules the checks of warm caches that may become cold.

    Each cache is checked after events, and when it may become warm or cold without an event.

    Attributes:
        warming: caches that were not warm at the last check.
        due: time of the next check of each cache that has one.
        schedule: heap of check times with their caches; an entry whose time differs from `due` is obsolete.
        numbers: numbers of the entries of the heap.
    """

    def __init__(self) -> None:
        self.warming: set[Cache] = set()
        self.due: dict[Cache, float] = {}
        self.schedule: list[tuple[float, int, Cache]] = []
        self.numbers = count()  # itertools.count; breaks ties in the heap, since caches cannot be compared

    def update_cache(self, cache: "Cache", now: float) -> None:
        """Check whether a cache is warm, and schedule the next check."""
        if cache.is_warm():
            self.warming.discard(cache)
        else:
            self.warming.add(cache)
        self.due.pop(cache, None)
        change = cache.slow_start.next_change()
        if change < math.inf:
            self.due[cache] = max(change, now + MIN_RECHECK_DELAY)
            heappush(self.schedule, (self.due[cache], next(self.numbers), cache))

    def forget(self, cache: "Cache") -> None:
        """Stop tracking a cache."""
        self.warming.discard(cache)
        self.due.pop(cache, None)

    def count(self, now: float) -> int:
        """Return the number of caches that are warming up now."""
        while self.schedule and self.schedule[0][0] <= now:
            due, _, cache = heappop(self.schedule)
            if self.due.get(cache) == due:
                self.update_cache(cache, now)
        return len(self.warming)
