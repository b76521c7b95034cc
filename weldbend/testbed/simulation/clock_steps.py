"""Steps of Unix clocks in a simulated run: of one front, all fronts, the bus or the caches.

They are drawn from a random generator of their own, so that a seed's load and other faults are the same with
and without them. The monotonic clocks are not affected.
"""

import math
from random import Random

from weldbend.testbed.simulation.settings import BUS_CLOCK, CACHE_CLOCK, front_name
from weldbend.testbed.simulation.site import RunContext, SimulatedSite

SMALLEST_STEP = 0.2  # seconds
LARGEST_STEP = 3600.0  # seconds
EARLIEST_STEP = 0.4  # seconds after the start of the run
INITIAL_STEP_FRACTION = 0.3  # fraction of the runs in which a front starts with a stepped clock


class ClockSteps:
    """Draws the clock steps of a run and applies them at their times."""

    def __init__(self, context: RunContext, site: SimulatedSite) -> None:
        self.context = context
        self.site = site
        self.rng = Random(f"clock steps of {context.seed}")

    def schedule(self) -> None:
        """Schedule all steps of the run; to be called before the fronts start."""
        settings = self.context.settings
        if not settings.clock_steps:
            return
        if self.rng.random() < INITIAL_STEP_FRACTION:
            self.step([self._draw_front()], self._draw_size())
        for _ in range(self.rng.randint(0, settings.clock_steps)):
            at = self.rng.uniform(EARLIEST_STEP, settings.seconds - 1.0)
            self._schedule_step(at, self._draw_clocks(), self._draw_size())

    def _schedule_step(self, at: float, clocks: list[str], size: float) -> None:
        self.context.network.events.schedule(at, lambda: self.step(clocks, size))

    def _draw_size(self) -> float:
        """Draw a step in seconds: log-uniform in size, forward or backward with equal probability."""
        size = math.exp(self.rng.uniform(math.log(SMALLEST_STEP), math.log(LARGEST_STEP)))
        return size * self.rng.choice((-1, 1))

    def _draw_front(self) -> str:
        return front_name(self.rng.randint(1, self.context.settings.fronts))

    def _draw_clocks(self) -> list[str]:
        all_fronts = [front_name(number) for number in range(1, self.context.settings.fronts + 1)]
        return self.rng.choice(([self._draw_front()], all_fronts, [BUS_CLOCK], [CACHE_CLOCK]))

    def step(self, clocks: list[str], size: float) -> None:
        """Step some Unix clocks by a number of seconds."""
        self.context.log.add(f"Unix clocks of {clocks} are stepped by {size:.3f}")
        for clock in clocks:
            self.site.unix_steps[clock] += size
