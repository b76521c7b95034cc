"""Unix time that moves evenly, whatever happens to the machine's wall clock. No I/O.

The wall clock is read once, at the start of the process; from then on this time goes by the monotonic clock,
so that a step of the wall clock while the process runs changes nothing. What was wrong with it at the start
stays wrong, by the same amount, until the process ends: what goes by this time bounds that by other means
(docs/fleet-design.md, section on clocks).
"""

from typing import Protocol


class Clock(Protocol):
    """The front's time."""

    def now(self) -> float:
        """Seconds of the monotonic clock."""
        ...

    def unix(self) -> float:
        """Seconds of the Unix clock."""
        ...


class SteadyUnixTime:
    """Unix seconds by the monotonic clock and one reading of the wall clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unix_offset = clock.unix() - clock.now()  # seconds that Unix time is ahead

    def __call__(self) -> float:
        """Return the Unix time now, in seconds."""
        return self._clock.now() + self._unix_offset
