"""When objects and groups of objects were purged, for as long as older copies may be met."""

import math
from collections.abc import Iterable


class PurgeTable:
    """Moments of purges by object key or group number."""

    def __init__(self) -> None:
        self.purge_times: dict[str | int, float] = {}

    def record(self, name: str | int, moment: float, now: float, lifetime: float) -> None:
        """Remember the latest purge of a name; those over `keep` seconds old are forgotten."""
        self.purge_times = {other: at for other, at in self.purge_times.items() if now - at < lifetime}
        self.purge_times[name] = max(moment, self.purge_times.get(name, -math.inf))

    def latest(self, names: Iterable[str | int]) -> float | None:
        """The last moment at which any of the names was purged; None where none is known."""
        return max((self.purge_times[name] for name in names if name in self.purge_times), default=None)
