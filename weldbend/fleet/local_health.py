"""Lifeguard's local health multiplier. No I/O.

A front that is short of CPU or network capacity waits longer for the answers of others (Dadgar, Phillips,
Currey 2018, section IV-A).
"""

from dataclasses import dataclass

MAX_MULTIPLIER = 8


@dataclass(slots=True)
class LocalHealth:
    """The local health of a front.

    Attributes:
        multiplier: number from 0 (healthy) to `MAX_MULTIPLIER`, by which intervals and timeouts are
            lengthened.
    """

    multiplier: int = 0

    def improve(self) -> None:
        """Decrement the multiplier after a probe was answered in time."""
        self.multiplier = max(0, self.multiplier - 1)

    def worsen(self, by: int = 1) -> None:
        """Raise the multiplier after a sign that this front itself is slow or disconnected."""
        self.multiplier = min(MAX_MULTIPLIER, self.multiplier + by)

    def reset_after_pause(self) -> None:
        """Set the multiplier to half its maximum after this process was paused."""
        self.multiplier = MAX_MULTIPLIER // 2

    def scaled(self, seconds: float) -> float:
        """Return an interval or timeout times one more than the multiplier."""
        return seconds * (1 + self.multiplier)
