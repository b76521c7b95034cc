"""Groups of caches to choose from, with their ranking and sums over their counts, updated incrementally.

This module only stores and ranks caches; which of them a request is sent to is decided elsewhere.
"""

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

SEARCH_GROWTH_FACTOR = 4  # ratio of the numbers of choices found by two successive searches


class CacheGroup:
    """Caches that requests choose from.

    Attributes:
        caches: caches by number, in the order in which they joined.
        weights: weight of each cache in the ranking.
        ranking: ranking of the caches for any object.
        version: counter that increases with each change of the ranking.
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
        """Return the cache that joined first among the current members; the group must not be empty."""
        return next(iter(self.caches.values()))

    def put(self, cache: "Cache", weight: float) -> None:
        """Add a cache, or change its weight."""
        self.caches[cache.id] = cache
        if self.weights.get(cache.id) != weight:
            self.weights[cache.id] = weight
            self.ranking.change(cache.id, weight)
            self.version += 1

    def remove(self, cache: "Cache") -> None:
        """Remove a cache; one that is not a member is ignored."""
        if cache in self:
            del self.caches[cache.id]
            del self.weights[cache.id]
            self.ranking.change(cache.id, None)
            self.version += 1

    def ranked(self, object_name: str) -> "Iterator[Cache]":
        """Return a lazy iterator over the caches, starting with the first choice for an object."""
        return map(self.caches.__getitem__, self.ranking.ranked(object_name))


class RoleGroup(CacheGroup):
    """The ready caches of one role, with sums over the counts of all of them.

    Args:
        context: shared state of the router.
        health_window: seconds for which a cache counts the outcomes of attempts.
        overload_window: seconds for which a concurrency limit counts late answers.

    Attributes:
        successes, failures: weighted outcomes of attempts within the health window.
        timely, late: answers in time, and late or missing ones, within the overload window.
        warming: members that are warming up.
        late_limits: concurrency limits of members that may have counted a late answer within the overload
            window.
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
        """Add a cache together with its counts, or change its weight."""
        if cache not in self:
            self.join_sums(cache)
        super().put(cache, weight)

    def remove(self, cache: "Cache") -> None:
        """Remove a cache together with its counts; one that is not a member is ignored."""
        if cache in self:
            self.leave_sums(cache)
        super().remove(cache)

    def join_sums(self, cache: "Cache") -> None:
        """Include the past and future counts of a cache in the sums, and record whether it is warm."""
        now = self.context.now
        cache.group = self
        cache.successes.join(self.successes, now)
        cache.failures.join(self.failures, now)
        cache.concurrency.timely.join(self.timely, now)
        cache.concurrency.late.join(self.late, now)
        self.late_limits[cache.concurrency] = None
        self.warming.update_cache(cache, now)

    def leave_sums(self, cache: "Cache") -> None:
        """Exclude the counts of a cache from the sums."""
        now = self.context.now
        cache.group = None
        cache.successes.leave(now)
        cache.failures.leave(now)
        cache.concurrency.timely.leave(now)
        cache.concurrency.late.leave(now)
        self.late_limits.pop(cache.concurrency, None)
        self.warming.forget(cache)

    def record_late(self, limit: "ConcurrencyLimit") -> None:
        """Record that the limit of a member has counted a late answer."""
        self.late_limits[limit] = None

    def success_rate(self) -> float:
        """Return the success rate of the attempts at all members.

        One more success is assumed, so the rate is 1 if there are no attempts.
        """
        successes = self.successes.total(self.context.now)
        failures = self.failures.total(self.context.now)
        return (successes + 1) / (successes + failures + 1)

    def most_late(self) -> "ConcurrencyLimit | None":
        """Return the concurrency limit with the most late answers; None if no member has any."""
        now = self.context.now
        self.late_limits = {limit: None for limit in self.late_limits if limit.late.total(now)}
        return max(self.late_limits, key=lambda limit: limit.late.total(now), default=None)


class Choices:
    """The first choices for one object in a group, determined on demand and stored.

    Args:
        group: group of caches to choose from.
        object_name: name of the object.
        max_choices: maximum number of choices.
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
        """Extend the stored choices.

        A search always starts from the first choice, so each search finds several times as many choices as
        the one before.
        """
        wanted = min(SEARCH_GROWTH_FACTOR * len(self.found) or 1, self.max_choices)
        self.found = list(islice(self.group.ranked(self.object_name), wanted))
