"""Caches to choose among, their ranking and sums over them, kept up by changes. No decision is made here."""

from collections.abc import Iterator
from itertools import islice
from typing import TYPE_CHECKING

from weldbend.routing.rendezvous import Ranking
from weldbend.routing.warming_caches import WarmingCaches
from weldbend.routing.windows import WindowedSum

if TYPE_CHECKING:
    from weldbend.routing.cache_state import Cache
    from weldbend.routing.concurrency import ConcurrencyLimit
    from weldbend.routing.context import Context

SEARCH_GROWTH_FACTOR = 4  # times as many choices as before are found where those do not do


class CacheGroup:
    """Caches that requests choose among.

    Attributes:
        caches: its caches by number, in the order in which they came.
        weights: what each of them counts in the ranking.
        ranking: ranks them for an object.
        version: grows with each change of the ranking.
    """

    def __init__(self) -> None:
        self.caches: dict[int, Cache] = {}
        self.weights: dict[int, float] = {}
        self.ranking = Ranking()
        self.version = 0

    def __len__(self) -> int:
        return len(self.caches)

    def __iter__(self) -> "Iterator[Cache]":
        return iter(self.caches.values())

    def __contains__(self, cache: "Cache") -> bool:
        return self.caches.get(cache.id) is cache

    def first(self) -> "Cache":
        """The cache that came first of those that are in it; there must be one."""
        return next(iter(self.caches.values()))

    def put(self, cache: "Cache", weight: float) -> None:
        """Take a cache in, or change its weight."""
        self.caches[cache.id] = cache
        if self.weights.get(cache.id) != weight:
            self.weights[cache.id] = weight
            self.ranking.change(cache.id, weight)
            self.version += 1

    def remove(self, cache: "Cache") -> None:
        """Take a cache out; one that is not in it is ignored."""
        if cache in self:
            del self.caches[cache.id]
            del self.weights[cache.id]
            self.ranking.change(cache.id, None)
            self.version += 1

    def ranked(self, object_name: str) -> "Iterator[Cache]":
        """Its caches, the first choice for an object first; each is found only when it is asked for."""
        return map(self.caches.__getitem__, self.ranking.ranked(object_name))


class RoleGroup(CacheGroup):
    """The ready caches of one role, with sums over what all of them have counted.

    Args:
        context: the router's.
        health_window: seconds for which a cache counts how attempts ended.
        overload_window: seconds for which its limit counts late answers.

    Attributes:
        successes, failures: how attempts ended, within the health window.
        timely, late: answers in time, and those late or none, within the overload window.
        warming: those of its caches that warm up.
        late_limits: those that may have counted a late one within the overload window.
    """

    def __init__(self, context: "Context", health_window: float, overload_window: float) -> None:
        super().__init__()
        self.context = context
        self.successes = WindowedSum(health_window)
        self.failures = WindowedSum(health_window)
        self.timely = WindowedSum(overload_window)
        self.late = WindowedSum(overload_window)
        self.warming = WarmingCaches()
        self.late_limits: dict[ConcurrencyLimit, None] = {}

    def put(self, cache: "Cache", weight: float) -> None:
        """Take a cache in, with what it has counted, or change its weight."""
        if cache not in self:
            self.join_sums(cache)
        super().put(cache, weight)

    def remove(self, cache: "Cache") -> None:
        """Take a cache out, with what it has counted; one that is not in it is ignored."""
        if cache in self:
            self.leave_sums(cache)
        super().remove(cache)

    def join_sums(self, cache: "Cache") -> None:
        """Count what a cache has counted and will count, and whether it is warm."""
        now = self.context.now
        cache.group = self
        cache.successes.join(self.successes, now)
        cache.failures.join(self.failures, now)
        cache.concurrency.timely.join(self.timely, now)
        cache.concurrency.late.join(self.late, now)
        self.late_limits[cache.concurrency] = None
        self.warming.update_cache(cache, now)

    def leave_sums(self, cache: "Cache") -> None:
        """Count a cache no longer, nor what it has counted."""
        now = self.context.now
        cache.group = None
        cache.successes.leave(now)
        cache.failures.leave(now)
        cache.concurrency.timely.leave(now)
        cache.concurrency.late.leave(now)
        self.late_limits.pop(cache.concurrency, None)
        self.warming.forget(cache)

    def record_late(self, limit: "ConcurrencyLimit") -> None:
        """Remember that the limit of one of its caches has counted a late answer."""
        self.late_limits[limit] = None

    def success_rate(self) -> float:
        """Successes among the attempts at all of its caches, one success assumed."""
        successes = self.successes.total(self.context.now)
        failures = self.failures.total(self.context.now)
        return (successes + 1) / (successes + failures + 1)

    def most_late(self) -> "ConcurrencyLimit | None":
        """The limit that counted most late answers; None where none has any."""
        now = self.context.now
        self.late_limits = {limit: None for limit in self.late_limits if limit.late.total(now)}
        return max(self.late_limits, key=lambda limit: limit.late.total(now), default=None)


class Choices:
    """The first choices for one object in a group, found as far as they are asked for, and kept.

    Args:
        group: the caches to choose among.
        object_name: of the object.
        most: how many choices there are at most.
    """

    def __init__(self, group: CacheGroup, object_name: str, max_choices: int) -> None:
        self.group = group
        self.object_name = object_name
        self.max_choices = max_choices
        self.found: list[Cache] = []
        self.version = group.version

    def __iter__(self) -> "Iterator[Cache]":
        if self.version != self.group.version:
            self.version = self.group.version
            self.found = []
        position = 0
        while position < min(self.max_choices, len(self.group)):
            if position == len(self.found):
                self.find_more()
            yield self.found[position]
            position += 1

    def find_more(self) -> None:
        """Find the first one, or some more than before: a search that goes on starts anew each time."""
        wanted = min(SEARCH_GROWTH_FACTOR * len(self.found) or 1, self.max_choices)
        self.found = list(islice(self.group.ranked(self.object_name), wanted))
