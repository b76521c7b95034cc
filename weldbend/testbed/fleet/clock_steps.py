"""Random steps of the fronts' wall clocks: of one front, of all fronts, or in opposite directions.

The steps have a random generator of their own, so that they do not change the other random numbers of a run.
"""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

MIN_STEP = 0.2  # seconds
MAX_STEP = 3600.0  # seconds
SCOPES = ("one", "all", "opposite")
RESTART_FRACTION = 0.5  # fraction of the steps after which one of the stepped fronts is restarted
SEED_FACTOR = 104_729  # derives a seed for the steps that differs from that of the run


@dataclass(frozen=True, slots=True)
class ClockStep:
    """A simultaneous step of one or more wall clocks.

    Attributes:
        at: time of the step, in seconds of the run.
        seconds: size of the step of each wall clock, by the index of its front.
        restarted: index of a front that is killed right after the step and restarted; None for none.
    """

    at: float
    seconds: Mapping[int, float]
    restarted: int | None = None


def draw_steps(seed: int, fronts: int, count: int, first: float, last: float) -> tuple[ClockStep, ...]:
    """Draw `count` steps of either sign between two times (seconds of the run), in order of time."""
    rng = random.Random(seed * SEED_FACTOR)
    moments = sorted(rng.uniform(first, last) for _ in range(count))
    return tuple(_draw_step(rng, at, range(fronts)) for at in moments)


def _draw_step(rng: random.Random, at: float, fronts: Sequence[int]) -> ClockStep:
    scope = rng.choice(SCOPES)
    seconds = {front: _draw_seconds(rng) for front in fronts}
    if scope == "one":
        front = rng.choice(fronts)
        seconds = {front: seconds[front]}
    elif scope == "opposite":
        seconds = {front: abs(by) * (1 if front % 2 else -1) for front, by in seconds.items()}
    is_restarted = rng.random() < RESTART_FRACTION
    front = rng.choice(sorted(seconds))
    return ClockStep(at, seconds, front if is_restarted else None)


def _draw_seconds(rng: random.Random) -> float:
    """Draw the size of a step, of either sign; all orders of magnitude are equally likely."""
    size = math.exp(rng.uniform(math.log(MIN_STEP), math.log(MAX_STEP)))
    return size * rng.choice((-1, 1))
