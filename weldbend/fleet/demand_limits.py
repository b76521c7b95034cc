"""Limits divided by demand: the operators' rates that need not be strict, and the quota at the parents.

Unlike leased limits, these can be exceeded briefly while demand moves between fronts (see `demand_share`).
No I/O.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from weldbend.fleet.demand_share import DemandEstimate, demand_fraction
from weldbend.fleet.quota_context import QuotaContext
from weldbend.fleet.replicated_items import DEMAND
from weldbend.routing.events import ParentQuota

WINDOW = 1.0  # seconds over which an operator's rate is enforced
PARENTS_SUBJECT = "parents"  # subject under which demand at the parents is published
MIN_CHANGE = 0.02  # relative change of this front's parent quota up to which the old one remains in use


@dataclass(slots=True)
class DemandLimit:
    """An operator's rate for one request class, divided by demand.

    Attributes:
        limit: number of requests that all fronts together may admit in a window.
        demand: estimate of this front's demand.
        fraction: fraction of the limit that this front may use, from 0 to 1.
        admitted: times of the requests admitted in the last window, in seconds.
    """

    limit: float
    demand: DemandEstimate = field(default_factory=DemandEstimate)
    fraction: float = 1.0
    admitted: deque[float] = field(default_factory=deque)

    def try_admit(self, now: float) -> bool:
        """Count a request; return whether this front's fraction, but at least one request, has capacity."""
        self.demand.add()
        while self.admitted and self.admitted[0] <= now - WINDOW:
            self.admitted.popleft()
        if len(self.admitted) + 1 > max(self.limit * self.fraction, 1.0):
            return False
        self.admitted.append(now)
        return True


class DemandLimits:
    """All limits of this front that are divided by demand.

    Attributes:
        rates: operators' rates, by request class.
        parents: estimate of this front's demand at the parents, in client requests; those of origin-only
            classes are not counted.
        parent_fraction: fraction, for this front, of the requests that all fronts together may have in flight
            at the parents; 0 before the first tick.
    """

    def __init__(self, context: QuotaContext) -> None:
        self.context = context
        self.rates = {name: DemandLimit(rate) for name, rate in context.limits.demand_rates}
        self.parents = DemandEstimate()
        self.parent_fraction = 0.0

    def rates_changed(self) -> None:
        """Apply the rates of a reloaded installation file, and keep the current demand estimates."""
        previous = self.rates
        self.rates = {}
        for name, limit in self.context.limits.demand_rates:
            rate = self.rates[name] = previous.get(name) or DemandLimit(limit)
            rate.limit = limit

    def tick(self, now: float, alive: list[str]) -> None:
        """Publish this front's demands, and update its fractions of the limits."""
        self._divide_parents(now, alive)
        for name, rate in self.rates.items():
            rate.fraction = self._divide(f"type:{name}", rate.demand, now, alive)

    def _divide(self, subject: str, estimate: DemandEstimate, now: float, alive: Iterable[str]) -> float:
        demand = estimate.update(now)
        self.context.publish_figure(DEMAND, subject, round(demand, 2))
        return demand_fraction(self.context.name, demand, self.context.peer_figures(DEMAND, subject), alive)

    def _divide_parents(self, now: float, alive: list[str]) -> None:
        context = self.context
        if not context.limits.parent_quotas:
            return
        # If fewer fronts are configured than the settings expect, they divide only their part of the limit.
        coverage = min(1.0, len(context.front_names()) / context.settings.fronts)
        fraction = round(self._divide(PARENTS_SUBJECT, self.parents, now, alive) * coverage, 4)
        if abs(fraction - self.parent_fraction) > MIN_CHANGE * self.parent_fraction:
            self.parent_fraction = fraction
            context.loop.post(ParentQuota(fraction))

    def status_rows(self) -> list[dict[str, object]]:
        """Return these limits for the admin question `limits`."""
        rows: list[dict[str, object]] = [
            {
                "limit": f"type:{name}", "kind": "soft", "most": rate.limit, "part": round(rate.fraction, 3),
                "need": round(rate.demand.mean, 2), "others": self._peers_shown(f"type:{name}"),
            }
            for name, rate in sorted(self.rates.items())
        ]  # fmt: skip
        if self.context.limits.parent_quotas:
            rows.append({
                "limit": PARENTS_SUBJECT, "kind": "soft", "part": self.parent_fraction,
                "need": round(self.parents.mean, 2), "others": self._peers_shown(PARENTS_SUBJECT),
            })  # fmt: skip
        return rows

    def _peers_shown(self, subject: str) -> dict[str, list[float]]:
        figures = self.context.peer_figures(DEMAND, subject)
        return {name: [round(age, 2), demand] for name, (age, demand) in figures.items()}
