"""Lifeguard's local health multiplier: a front that lacks CPU or network waits longer for others. No I/O.

Dadgar, Phillips, Currey 2018, section IV-A.
"""

from dataclasses import dataclass

MAX_MULTIPLIER = 8  # bound of the multiplier


@dataclass(slots=True)
class LocalHealth:
    """`multiplier` is 0 for a healthy front, up to `MAX_MULTIPLIER`."""

    multiplier: int = 0

    def improve(self) -> None:
        """A probe was answered in time."""
        self.multiplier = max(0, self.multiplier - 1)

    def worsen(self, by: int = 1) -> None:
        """Something shows that this front itself is slow or cut off."""
        self.multiplier = min(MAX_MULTIPLIER, self.multiplier + by)

    def reset_after_pause(self) -> None:
        """This process was paused: it starts from the middle."""
        self.multiplier = MAX_MULTIPLIER // 2

    def scaled(self, seconds: float) -> float:
        """An interval or timeout as this front must count it now."""
        return seconds * (1 + self.multiplier)
