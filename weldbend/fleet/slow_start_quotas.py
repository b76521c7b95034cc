"""Slow-start budgets of caches, shared by the fronts that may send to them. No I/O.

The load that all fronts together may send to a cache that has just started is a strict limit, shared by
leases. Each start has its own limit, named `cold:UID@UNIX_MILLISECONDS`, so that all fronts compute the same
name.
"""

import math
from dataclasses import dataclass

from weldbend.fleet.lease_ledger import PARTS_PER_LIMIT, LeaseTimes
from weldbend.fleet.lease_policy import Usage
from weldbend.fleet.lease_service import Allowance, LeaseService
from weldbend.fleet.quota_context import FrontLoop, QuotaContext
from weldbend.fleet.replicated_items import START
from weldbend.routing.cache_state import Cache
from weldbend.routing.events import SlowStartQuota
from weldbend.routing.reports import slow_start_demand
from weldbend.routing.settings import Role

LIMIT_PREFIX = "cold:"  # of the names of these limits


@dataclass(slots=True)
class SlowStartBudget:
    """Slow-start budget of one cache, which is the spender of its limit.

    Attributes:
        loop: event loop of the front.
        uid: uid of the cache.
        cache: number of the cache.
        coverage: fraction of the cache's whole budget that the configured fronts divide by leases: their
            number divided by the number of fronts that the settings expect to send to the cache, at most 1.
    """

    loop: FrontLoop
    uid: str
    cache: int
    coverage: float

    def is_cache_listed(self) -> bool:
        """Return whether the cache is listed, and its number was not given to another one since."""
        return self.loop.names.numbers.get(self.uid) == self.cache and self.cache in self.loop.router.caches

    def usage(self, now: float) -> Usage:
        """Return the work sent and wanted in the last window, and the work of one attempt, in parts."""
        router = self.loop.router
        if not self.is_cache_listed():
            return Usage(0.0, 0.0)
        demand = slow_start_demand(router, self.cache, now)
        budget = demand.fleet_budget * self.coverage
        if not 0 < budget < math.inf:
            return Usage(0.0, 0.0)
        sent = demand.sent
        wanted = demand.wanted
        attempt = demand.attempt_work
        return Usage(
            sent / budget * PARTS_PER_LIMIT,
            wanted / budget * PARTS_PER_LIMIT,
            attempt / budget * PARTS_PER_LIMIT,
        )

    def set_allowance(self, retained: int, leased: int, lease_end: float) -> None:
        """Pass the quota to the routing decisions ahead of all queued events, which then obey it too.

        The number of a cache that was removed may belong to another one; that one gets nothing.
        """
        if self.is_cache_listed():
            self.loop.post(self.quota(Allowance(retained, leased, lease_end)), first=True)

    def quota(self, allowance: Allowance) -> SlowStartQuota:
        """Return the quota that an allowance gives this front."""
        unit = self.coverage / PARTS_PER_LIMIT
        owned = allowance.retained * unit
        return SlowStartQuota(self.cache, True, owned, allowance.leased * unit, allowance.lease_end)

    def repair_quota(self, allowance: Allowance) -> None:
        """Pass the quota again if the routing decisions have another one.

        A restart of the cache that the router learns of by itself resets the quota. Without this, the quota
        would stay reset until the allowance changes.
        """
        cache = self.loop.router.caches.get(self.cache)
        if cache is not None and cache.quota != self.quota(allowance):
            self.set_allowance(*allowance)


class SlowStartQuotas:
    """Opens and closes the slow-start limits of caches.

    Attributes:
        context: context shared by all limits and ejections.
        budgets: open budgets, by the name of their limit.
    """

    def __init__(self, context: QuotaContext) -> None:
        self.context = context
        self.budgets: dict[str, SlowStartBudget] = {}

    @property
    def leases(self) -> LeaseService:
        """The strict limits of this front."""
        leases = self.context.fleet.lease_service
        assert leases is not None  # set by the quota service before any limit is opened
        return leases

    @property
    def is_enabled(self) -> bool:
        """Whether slow-start budgets are shared by leases at all."""
        return self.context.limits.slow_start and bool(self.context.settings.weighted)

    def owners(self, limit: str) -> list[str]:
        """Return the fronts that share a limit: for an edge cache those in this front's zone, else all."""
        context = self.context
        budget = self.budgets.get(limit)
        cache = context.loop.router.caches.get(budget.cache) if budget else None
        if cache is None or cache.role is not Role.EDGE:
            return context.front_names()
        zones = context.zones()
        return [name for name in context.front_names() if zones[name] == zones[context.name]]

    def open_requested(self, limit: str) -> None:
        """Open a limit that another front uses, if this front knows of the same start."""
        uid, started, _ = limit.removeprefix(LIMIT_PREFIX).rpartition("@")
        if limit.startswith(LIMIT_PREFIX) and started:
            self.open(uid)

    def cache_restarted(self, uid: str) -> None:
        """Stop sending to a cache that may have started until its limit is open, one loop iteration later.

        Nothing changes if the limit of the latest start is open already: lists repeat a start, and the quota
        would not be passed again before the allowance changes.
        """
        loop = self.context.loop
        number = loop.names.numbers.get(uid)
        if number is not None and self.is_enabled and self._latest_limit(uid) not in self.budgets:
            loop.post(SlowStartQuota(number, True))  # leased, with nothing owned and nothing leased
            loop.timers.after(0.0, lambda: self.open(uid))

    def open(self, uid: str) -> None:
        """Open the limit of a cache if this front knows of a start of it."""
        context = self.context
        limit = self._latest_limit(uid)
        cache = context.cache(uid)
        if not (limit and cache and self.is_enabled) or limit in self.budgets:
            return
        if cache.role is Role.ORIGIN or cache.is_warm():
            context.loop.post(SlowStartQuota(cache.id))  # not leased: each front has a fixed share
            return
        for earlier in [other for other in self.budgets if other.startswith(f"{LIMIT_PREFIX}{uid}@")]:
            self.close(earlier)
        self._open_limit(limit, cache)

    def _latest_limit(self, uid: str) -> str | None:
        """Return the name of the limit of the latest known start of a cache; None if no start is known."""
        start = self.context.item(START, uid)
        return f"{LIMIT_PREFIX}{uid}@{int(start.value[0])}" if start else None

    def _open_limit(self, limit: str, cache: Cache) -> None:
        settings = self.context.settings
        uid = limit.removeprefix(LIMIT_PREFIX).rpartition("@")[0]
        budget = self.budgets[limit] = SlowStartBudget(self.context.loop, uid, cache.id, 1.0)
        owners = self.owners(limit)
        expected_fronts = settings.zone_fronts if cache.role is Role.EDGE else settings.fronts
        budget.coverage = min(1.0, len(owners) / expected_fronts)
        times = LeaseTimes(
            self.context.limits.lease_term, settings.edge_overload_window, self.context.limits.clock_drift
        )
        opened = self.leases.open(
            limit, owners, self._first_attempts(cache), times, budget, self.context.now()
        )
        if not opened:
            self.close(limit)

    def _first_attempts(self, cache: Cache) -> float:
        """Return the number of attempts in a window for which a cache's initial budget has capacity.

        Each is taken to cost the most work of any class; this is the `attempts` of `LeaseService.open`.
        """
        settings = self.context.settings
        if cache.role is Role.PARENT:
            capacity = settings.parent_start_capacity * settings.parent_overload_factor
        else:
            capacity = settings.edge_start_capacity * settings.edge_overload_factor
        work = max(kind.latency_objective for kind in settings.classes.values() if not kind.origin_only)
        return capacity * settings.edge_overload_window * cache.weight / work

    def close(self, limit: str) -> None:
        """Close a limit; this front then uses its fixed share of the cache's budget again."""
        budget = self.budgets.pop(limit)
        self.leases.close(limit)
        if budget.is_cache_listed():
            self.context.loop.post(SlowStartQuota(budget.cache), first=True)

    def tick(self) -> None:
        """Close the limits of caches that are warm or removed, and open limits for new starts."""
        for limit, budget in list(self.budgets.items()):
            if not budget.is_cache_listed() or self.context.loop.router.caches[budget.cache].is_warm():
                self.close(limit)
            elif allowance := self.leases.limits[limit].allowance:
                budget.repair_quota(allowance)
        for uid in [uid for uid, _ in self.context.items(START)]:
            self.open(uid)
