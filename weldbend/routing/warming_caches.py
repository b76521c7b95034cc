"""Which caches of a group are not warm, known without asking each of them. No decision is made here."""

import math
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from weldbend.routing.cache_state import Cache

MIN_RECHECK_DELAY = 0.01  # seconds until a cache is looked at again that is not yet warm when it should be


class WarmingCaches:
    """Caches that warm up; each is looked at after an event, and when it may have changed without one.

    Attributes:
        warming: those that were not warm when they were seen last.
        due: when each is to be looked at again.
        waiting: the same as a heap; an entry that `due` does not confirm is an old one.
    """

    def __init__(self) -> None:
        self.warming: set[Cache] = set()
        self.due: dict[Cache, float] = {}
        self.waiting: list[tuple[float, int, Cache]] = []
        self.numbers = count()

    def update_cache(self, cache: "Cache", now: float) -> None:
        """See whether a cache is warm, and when that may change by itself."""
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
        """Count a cache no longer."""
        self.warming.discard(cache)
        self.due.pop(cache, None)

    def count(self, now: float) -> int:
        """How many warm up now."""
        while self.waiting and self.waiting[0][0] <= now:
            due, _, cache = heappop(self.waiting)
            if self.due.get(cache) == due:
                self.update_cache(cache, now)
        return len(self.warming)
