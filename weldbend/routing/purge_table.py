"""When objects and groups of objects were purged, for as long as older copies may be met."""

import math
from collections.abc import Iterable


class PurgeTable:
    """Moments of purges by object key or group number."""

    def __init__(self) -> None:
        self.moments: dict[str | int, float] = {}

    def record(self, name: str | int, moment: float, now: float, keep: float) -> None:
        """Remember the latest purge of a name; those over `keep` seconds old are forgotten."""
        self.moments = {other: at for other, at in self.moments.items() if now - at < keep}
        self.moments[name] = max(moment, self.moments.get(name, -math.inf))

    def latest(self, names: Iterable[str | int]) -> float | None:
        """The last moment at which any of the names was purged; None where none is known."""
        return max((self.moments[name] for name in names if name in self.moments), default=None)
