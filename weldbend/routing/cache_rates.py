"""The cache rate of each tier, as the paper defines it: copies stored per fill.

This module only counts; which tiers store a copy is decided in `placement`.
"""

from collections.abc import Iterable

from weldbend.routing.settings import Role
from weldbend.routing.windows import WindowedSum


class CacheRates:
    """Counts of fills and stored copies by tier, over the last `window` seconds.

    Attributes:
        fills: number of fills through each tier.
        kept: number of those fills of which the tier stored a copy.
    """

    def __init__(self, tiers: Iterable[Role], window: float) -> None:
        tiers = tuple(tiers)
        self.fills = {tier: WindowedSum(window) for tier in tiers}
        self.kept = {tier: WindowedSum(window) for tier in tiers}

    def record(self, tiers: Iterable[Role], chosen: set[Role], now: float) -> None:
        """Count a fill that passes through `tiers`, of which those in `chosen` store a copy."""
        for tier in tiers:
            self.fills[tier].add(now)
            self.kept[tier].add(now, tier in chosen)

    def rate(self, tier: Role, now: float) -> float:
        """Return the number of copies stored per fill through a tier."""
        return self.kept[tier].total(now) / max(self.fills[tier].total(now), 1.0)
