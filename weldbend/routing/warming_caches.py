"""The caches of a group that are warming up, tracked incrementally; contains no routing decisions."""

import math
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from weldbend.routing.cache_state import Cache

# Minimum number of seconds until a cache is checked again if it is not warm when expected.
MIN_RECHECK_DELAY = 0.01


class WarmingCaches:
    """Caches that are warming up; each is checked after events, and when it may change without one.

    Attributes:
        warming: caches that were not warm at the last check.
        due: time of the next check of each cache.
        waiting: the same times as a heap; an entry that differs from `due` is obsolete.
    """

    def __init__(self) -> None:
        self.warming: set[Cache] = set()
        self.due: dict[Cache, float] = {}
        self.waiting: list[tuple[float, int, Cache]] = []
        self.numbers = count()

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
            heappush(self.waiting, (self.due[cache], next(self.numbers), cache))

    def forget(self, cache: "Cache") -> None:
        """Stop tracking a cache."""
        self.warming.discard(cache)
        self.due.pop(cache, None)

    def count(self, now: float) -> int:
        """Return the number of caches that are warming up now."""
        while self.waiting and self.waiting[0][0] <= now:
            due, _, cache = heappop(self.waiting)
            if self.due.get(cache) == due:
                self.update_cache(cache, now)
        return len(self.warming)
