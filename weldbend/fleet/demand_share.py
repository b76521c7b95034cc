"""Quotas by demand: each front's fraction of a limit, as all publish their demand. No I/O.

Each front publishes each second how much it had to do. Its fraction is its demand over that of all that are
alive in its view, itself included, and never under a floor. Where views and figures are the same the
fractions add up to one at most, floors apart. The limit is exceeded at most by the number of sides of a
network partition (each side counts only itself), and by what demands grew within one figure's age.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

FLOOR = 0.05  # of an equal fraction: the least that a front has
MAX_AGE = 4.0  # seconds after which a figure counts no more; its writer counts with the mean then
SMOOTHING = 0.5  # weight of a new figure in the running mean


class PeerFigure(NamedTuple):
    """A figure that another front published.

    Attributes:
        age: seconds since it was published.
        figure: amount a second, for demands.
    """

    age: float
    figure: float


@dataclass(slots=True)
class DemandEstimate:
    """How much this front has to do in a second: a running mean, so that fractions do not leap.

    Attributes:
        mean: amount a second.
        pending: amount since `updated_at`.
        updated_at: seconds; None before the first update.
    """

    mean: float = 0.0
    pending: float = 0.0
    updated_at: float | None = None

    def add(self, amount: float = 1.0) -> None:
        """Count an amount that has just come."""
        self.pending += amount

    def update(self, now: float) -> float:
        """Take what has come since the last update into the mean, and return the mean."""
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
    """Return the fraction, from 0 to 1, of a limit that the front `name` has by its demand.

    A front that is alive and published nothing lately counts with the mean of the others: it may just have
    started.
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
