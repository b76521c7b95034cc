"""Clocks of a simulated front."""

from collections.abc import Callable

from weldbend.front.clock import Clock
from weldbend.testbed.simulation.network import VirtualNetwork

STEADY_CLOCK_OFFSET = 1.0  # seconds of the monotonic clock at the virtual start


class VirtualClock(Clock):
    """Clocks of one front: the Unix clock may have an offset, and both clocks may drift.

    `unix_step` returns the seconds by which the Unix clock of its machine has been stepped so far.
    """

    def __init__(
        self,
        network: VirtualNetwork,
        offset: float = 0.0,
        drift: float = 0.0,
        unix_step: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.network = network
        self.offset = offset  # seconds by which the Unix clock is ahead
        self.drift = drift  # fraction by which both clocks run too fast; negative if too slow
        self.unix_step = unix_step
        self.start = network.events.now

    def now(self) -> float:  # type: ignore[override]  # static in Clock, where it needs no state
        """Return the seconds of the monotonic clock."""
        now = self.network.events.now
        return now + STEADY_CLOCK_OFFSET + self.drift * (now - self.start)

    def unix(self) -> float:  # type: ignore[override]  # static in Clock, where it needs no state
        """Return the seconds of the Unix clock."""
        events = self.network.events
        return events.unix() + self.offset + self.unix_step() + self.drift * (events.now - self.start)

    def random_bytes(self, size: int) -> bytes:  # type: ignore[override]  # static in Clock, where it needs no state
        """Return random bytes, drawn from the seed of the run."""
        return self.network.random.randbytes(size)
