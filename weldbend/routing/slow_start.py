"""Slow start: what a cache that started lately bears, and what of that this front may send."""

import math

from weldbend.routing.records import CacheRecord
from weldbend.routing.settings import Role
from weldbend.routing.turn_credit import TurnCredit

BUDGET_FRACTION = 0.75  # of a warming cache's budget that is used
# part of the budget's window for which a front's turn at a warming cache stays open
TURN_VALID_FRACTION = 0.5
RECONNECT_GRACE = 0.2  # seconds in which a broken connection is no restart yet
RECONNECT_WINDOW = 0.5  # seconds within which a new connection says that there was none
MIN_LINK_FLOWS = 0.5  # flows that a cache is held to bear before any was seen to bear more


class SlowStart:
    """One cache's warm-up as this front knows of it, and this front's budget there."""

    def __init__(self, cache: CacheRecord) -> None:
        self.cache = cache
        self.context = cache.context
        self.credit = TurnCredit()

    def capacity_fraction(self) -> float:
        """The least part of its link that it can be counted on for: it may have started lately.

        Guards against restarts that the list does not tell yet, as one that broke its connections and cannot
        be reached again at once. Harm: one cut off gets little until it would be warm.
        """
        now = self.context.now
        warm_up = self.context.settings.warm_up(self.cache.role)
        started = self.possible_start()
        if started == -math.inf or self.cache.role is Role.ORIGIN:
            return 1.0
        first = warm_up.start_capacity
        age = max(now - started, 0.0)
        return min(1.0, first + (1 - first) * age / warm_up.seconds)

    def possible_start(self) -> float:
        """The last moment at which it may have started; minus infinity for long ago."""
        listed_start = -math.inf if self.cache.started is None else self.cache.started
        return max(listed_start, self.cache.breaks.possible_restart(self.context.now))

    def next_change(self) -> float:
        """The next moment at which it may become warm, or cold, without an event; infinite for never."""
        now = self.context.now
        breaks = self.cache.breaks
        grace_end = breaks.grace_ends_at() if now < breaks.grace_ends_at() else math.inf
        if self.capacity_fraction() >= 1:
            return grace_end
        return min(grace_end, self.possible_start() + self.context.settings.warm_up(self.cache.role).seconds)

    def admits(self, work: float, warm_load: float) -> bool:
        """Whether this much work may go: within this front's quota of what it can bear.

        A front that has itself just started may have sent some before: its quota grows over a window.
        """
        if self.capacity_fraction() >= 1:
            return True
        now = self.context.now
        window = self.context.settings.edge_overload_window
        budget = self.budget() * self.link_quota(warm_load)
        self.cache.wanted_work.add(now, work)
        if budget >= work or self.cache.quota.is_leased:
            ramp = min(1.0, (now - self.context.started_at) / window)
            return self.cache.sent_work.total(now) + work <= budget * ramp
        return self.takes_turn(budget, work, window)

    def budget(self) -> float:
        """Work for each flow of its link that it bears in a window of the overload rule."""
        settings = self.context.settings
        factor = settings.warm_up(self.cache.role).overload_factor
        return factor * self.capacity_fraction() * settings.edge_overload_window * BUDGET_FRACTION

    def link_quota(self, warm_load: float) -> float:
        """This front's quota of its link in flows: as leased or listed, else what warm caches bore lately."""
        cache = self.cache
        settings = self.context.settings
        if not settings.weighted:
            return max(warm_load, MIN_LINK_FLOWS / cache.sharing_fronts)
        if cache.quota.is_leased:
            return cache.weight * cache.quota.fraction(self.context.now)
        return cache.weight / (cache.sharing_fronts if cache.role is Role.EDGE else settings.fronts)

    def takes_turn(self, budget: float, work: float, window: float) -> bool:
        """Whether it is this front's turn, where its budget is less than one attempt a window.

        Credit grows from a random start, and a turn not taken soon is lost. Guards against fronts that all
        have one left when traffic comes at once. Harm: a front that asks seldom misses most of its turns.
        """
        first = 0.0 if self.credit.amount is not None else work * self.context.random.random()
        credit = self.credit.grow(self.context.now, budget / window, first)
        excess = credit % work
        has_turn = credit >= work and excess <= TURN_VALID_FRACTION * budget
        if credit > 0:
            self.credit.amount = excess + work if has_turn else excess
        return has_turn
