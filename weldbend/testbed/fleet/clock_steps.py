"""Steps of the fronts' wall clocks, drawn from a seed of their own: of one front, of all, or opposite ways.

They are drawn apart from all else, so that a run without them is the same as before there were any.
"""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

MIN_STEP = 0.2  # seconds
MAX_STEP = 3600.0  # seconds
SCOPES = ("one", "all", "opposite")
RESTART_FRACTION = 0.5  # fraction of the steps after which a front whose clock was stepped starts again
SEED_FACTOR = 104_729  # makes the seed of the steps another one than that of the run


@dataclass(frozen=True, slots=True)
class ClockStep:
    """A moment at which wall clocks are stepped.

    Attributes:
        at: seconds of the run.
        seconds: by which each front's wall clock leaps, by the front's place.
        restarted: the place of a front that is killed right after it and starts again; None for none.
    """

    at: float
    seconds: Mapping[int, float]
    restarted: int | None = None


def draw_steps(seed: int, fronts: int, count: int, first: float, last: float) -> tuple[ClockStep, ...]:
    """Draw so many steps of both signs, between two moments (seconds of the run), in their order."""
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
    """A step of either sign; each order of magnitude is as likely as another."""
    size = math.exp(rng.uniform(math.log(MIN_STEP), math.log(MAX_STEP)))
    return size * rng.choice((-1, 1))
