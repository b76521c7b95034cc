"""Purge times of objects and groups of objects, stored for as long as copies older than a purge may exist."""

import math
from collections.abc import Iterable


class PurgeTable:
    """Times of purges by object key or group number."""

    def __init__(self) -> None:
        self.purge_times: dict[str | int, float] = {}

    def record(self, name: str | int, moment: float, now: float, lifetime: float) -> None:
        """Store a purge at the time `moment` unless a later one is known, and delete those that are too old.

        A purge is too old once its age is `lifetime` or more.
        """
        self.purge_times = {other: at for other, at in self.purge_times.items() if now - at < lifetime}
        self.purge_times[name] = max(moment, self.purge_times.get(name, -math.inf))

    def latest(self, names: Iterable[str | int]) -> float | None:
        """Return the latest time at which any of the names was purged; None if no purge is known."""
        return max((self.purge_times[name] for name in names if name in self.purge_times), default=None)
