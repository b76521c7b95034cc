"""Slow start: the capacity of a recently started cache, and the part of it that this front may use."""

import math

from weldbend.routing.records import CacheRecord
from weldbend.routing.settings import Role
from weldbend.routing.turn_credit import TurnCredit

BUDGET_FRACTION = 0.75  # load that all fronts may send, as a fraction of that at which the cache fails
TURN_VALID_FRACTION = 0.5  # fraction of the overload window after which an unused turn of a front expires
RECONNECT_GRACE = 0.2  # seconds after a connection broke from which on a restart is assumed
RECONNECT_WINDOW = 0.5  # seconds after a break within which a new connection disproves a restart
MIN_LINK_FLOWS = 0.5  # minimum size of a link, in flows, assumed if link sizes are unknown


class SlowStart:
    """The warm-up of one cache as far as this front knows, and this front's budget there."""

    def __init__(self, cache: CacheRecord) -> None:
        self.cache = cache
        self.context = cache.context
        self.credit = TurnCredit()

    def capacity_fraction(self) -> float:
        """Return a lower bound of the cache's capacity, as a fraction of its full capacity.

        Guards against restarts that the endpoint list does not show yet: a cache may have restarted if its
        connections broke and no new one can be opened at once. Side effect: a cache that was only cut off
        from the network receives little work until its warm-up would have ended.
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
        """Return the latest time at which the cache may have started; minus infinity if that was long ago."""
        listed_start = -math.inf if self.cache.started is None else self.cache.started
        return max(listed_start, self.cache.breaks.possible_restart(self.context.now))

    def next_change(self) -> float:
        """Return the next time at which the cache may become warm or cold without an event, or infinity.

        It becomes cold when the grace period after a broken connection ends, as it may then have restarted.
        """
        now = self.context.now
        breaks = self.cache.breaks
        grace_end = breaks.grace_ends_at() if now < breaks.grace_ends_at() else math.inf
        if self.capacity_fraction() >= 1:
            return grace_end
        return min(grace_end, self.possible_start() + self.context.settings.warm_up(self.cache.role).seconds)

    def admits(self, work: float, warm_load: float) -> bool:
        """Return whether this front may send an amount of work within its quota of the cache's capacity.

        A front that has just started may have sent work before its restart, so the usable part of its quota
        grows from 0 over the first overload window. If the quota of one window is less than this work, and is
        not leased, the front sends only in its turn.
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
        """Return the work per flow of its link that all fronts may send to the cache per overload window."""
        settings = self.context.settings
        factor = settings.warm_up(self.cache.role).overload_factor
        return factor * self.capacity_fraction() * settings.edge_overload_window * BUDGET_FRACTION

    def link_quota(self, warm_load: float) -> float:
        """Return this front's quota of the link in flows.

        It is the fraction of the link size in the endpoint list that this front owns or leases. Without
        leases it is an equal share of that size: for an edge, among the fronts that share it, for any other
        cache, among all fronts. If the sizes of links are unknown, it is the recently measured load of warm
        caches.
        """
        cache = self.cache
        settings = self.context.settings
        if not settings.weighted:
            return max(warm_load, MIN_LINK_FLOWS / cache.sharing_fronts)
        if cache.quota.is_leased:
            return cache.weight * cache.quota.fraction(self.context.now)
        return cache.weight / (cache.sharing_fronts if cache.role is Role.EDGE else settings.fronts)

    def takes_turn(self, budget: float, work: float, window: float) -> bool:
        """Return whether this front may send an attempt although its budget is below one attempt per window.

        A front has a turn when its credit reaches the work of one attempt. Credit grows from a random start,
        so that the turns of fronts differ, and a turn that is not used in time expires. Guards against all
        fronts having an unused turn when requests arrive at many of them at once. Side effect: a front with
        few requests misses most of its turns.
        """
        first = 0.0 if self.credit.amount is not None else work * self.context.random.random()
        credit = self.credit.grow(self.context.now, budget / window, first)
        excess = credit % work
        has_turn = credit >= work and excess <= TURN_VALID_FRACTION * budget
        if credit > 0:
            # credit for one attempt at most, which `TurnCredit.spend` subtracts when the attempt is sent
            self.credit.amount = excess + work if has_turn else excess
        return has_turn
