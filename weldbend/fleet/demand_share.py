"""Quotas by demand: the fraction of a limit that each front may use, from the demand of all fronts. No I/O.

Each front publishes its demand once a second. Its fraction is its own demand divided by the total demand of
all fronts that are alive in its view, including itself, and has a lower bound. If all fronts have the same
view and the same figures, the fractions add up to at most one, apart from the lower bounds. Use can exceed
the limit in a network partition, at most by a factor equal to the number of sides of the partition, as each
side counts only its own fronts. Use can also exceed the limit by the growth of demand since the figures were
published.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

FLOOR = 0.05  # lower bound of a front's fraction, relative to an equal share among the fronts
MAX_AGE = 4.0  # seconds after which a figure is ignored; its writer then counts with the mean demand
SMOOTHING = 0.5  # weight of a new sample in the running mean


class PeerFigure(NamedTuple):
    """A figure that another front published.

    Attributes:
        age: time since it was published, in seconds.
        figure: the published number; for demands, an amount per second.
    """

    age: float
    figure: float


@dataclass(slots=True)
class DemandEstimate:
    """Running mean of this front's demand, which keeps its fractions from changing abruptly.

    Attributes:
        mean: mean amount per second.
        pending: amount since the last update.
        updated_at: time of the last update, in seconds; None before the first one.
    """

    mean: float = 0.0
    pending: float = 0.0
    updated_at: float | None = None

    def add(self, amount: float = 1.0) -> None:
        """Add an amount that has just arrived."""
        self.pending += amount

    def update(self, now: float) -> float:
        """Add the amount since the last update to the mean, and return the mean."""
        if self.updated_at is None or now <= self.updated_at:
            self.updated_at = now
            return self.mean
        rate = self.pending / (now - self.updated_at)
        self.pending = 0.0
        self.mean += SMOOTHING * (rate - self.mean)
        self.updated_at = now
        return self.mean


def demand_fraction(
    name: str, own_demand: float, peer_demands: Mapping[str, PeerFigure], alive: Iterable[str]
) -> float:
    """Return the fraction of a limit, from 0 to 1, that the front `name` may use by its demand.

    A front that is alive but has published no figure within `MAX_AGE` counts with the mean demand of the
    fronts whose demand is known, including this one, because it may have just started. Without any demand,
    all fronts get equal shares.
    """
    others = [front for front in alive if front != name]
    known_demands = {
        front: peer_demands[front].figure
        for front in others
        if front in peer_demands and peer_demands[front].age <= MAX_AGE
    }
    total = own_demand + sum(known_demands.values())
    members = len(others) + 1
    unknown_count = len(others) - len(known_demands)
    if not total:
        return 1 / members
    fraction = own_demand / (total + unknown_count * total / (1 + len(known_demands)))
    return min(1.0, max(fraction, FLOOR / members))
