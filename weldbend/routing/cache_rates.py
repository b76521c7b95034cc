"""The paper's cache rate of each tier: copies kept among the fills that passed. It decides nothing."""

from collections.abc import Iterable

from weldbend.routing.settings import Role
from weldbend.routing.windows import WindowedSum


class CacheRates:
    """Fills and kept copies by tier, over the last `window` seconds."""

    def __init__(self, tiers: Iterable[Role], window: float) -> None:
        tiers = tuple(tiers)
        self.fills = {tier: WindowedSum(window) for tier in tiers}
        self.kept = {tier: WindowedSum(window) for tier in tiers}

    def record(self, tiers: Iterable[Role], chosen: set[Role], now: float) -> None:
        """Count a fill that passes the tiers, of which those chosen keep a copy."""
        for tier in tiers:
            self.fills[tier].add(now)
            self.kept[tier].add(now, tier in chosen)

    def rate(self, tier: Role, now: float) -> float:
        """Copies kept for each fill that passed."""
        return self.kept[tier].total(now) / max(self.fills[tier].total(now), 1.0)
