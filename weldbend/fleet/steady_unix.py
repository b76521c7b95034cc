"""A Unix time that steps of the machine's wall clock do not affect. No I/O.

The wall clock is read once, at the start of the process. After that, this time follows the monotonic clock,
so that a step of the wall clock while the process runs has no effect. An error of the wall clock at the start
remains, by the same amount, until the process ends. Users of this time bound that error by other means
(docs/fleet-design.md, section on clocks).
"""

from typing import Protocol


class Clock(Protocol):
    """The front's time."""

    def now(self) -> float:
        """Return the time of the monotonic clock in seconds."""
        ...

    def unix(self) -> float:
        """Return the wall clock's Unix time in seconds."""
        ...


class SteadyUnixTime:
    """The Unix time in seconds, by the monotonic clock and one reading of the wall clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unix_offset = clock.unix() - clock.now()  # seconds

    def __call__(self) -> float:
        """Return the current Unix time in seconds."""
        return self._clock.now() + self._unix_offset
