"""Measurements of fleets for `weldbend lab fleet-measure`; docs/fleet.md has the results of `detect`."""

import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from weldbend.testbed.fleet.process_benchmarks import run_in_process
from weldbend.testbed.fleet.simulated_benchmarks import (
    measure_catch_up,
    measure_detection,
    measure_hits,
    measure_restart,
)

Row = dict[str, Any]  # one result, printed as a line of JSON

DETECTION = ((3, 10), (10, 10), (50, 3), (200, 1))  # (fronts, seeds)
REAL_FRONTS = (3, 10, 50)
BUSY_RATE = 86  # requests per second
SECONDS = 20  # duration of a cost measurement
CATCH_UP_ITEMS = (100, 8292)


@contextmanager
def overcommitted(processes: int) -> Iterator[None]:
    """Run a number of busy-looping processes in the background."""
    code = "while True: pass"
    spinning = [subprocess.Popen([sys.executable, "-c", code]) for _ in range(processes)]
    try:
        yield
    finally:
        for process in spinning:
            process.kill()


def gain() -> Iterator[Row]:
    """Measure the hits at edges after a restart of all fronts, with and without a fleet."""
    for seed in range(1, 6):
        yield {"seed": seed, "with": measure_restart(seed, True), "without": measure_restart(seed, False)}


def popularity() -> Iterator[Row]:
    """Measure the hit rate of edges with one front, with a fleet, and with independent fronts."""
    for seed in range(1, 4):
        one_front = measure_hits(seed, 1, False)
        for fronts in (4, 10):
            yield {
                "seed": seed,
                "fronts": fronts,
                "all known to one": one_front,
                "fleet": measure_hits(seed, fronts, True),
                "each alone": measure_hits(seed, fronts, False),
            }


def detect() -> Iterator[Row]:
    """Measure the time to detect a killed member, and false deaths, on the virtual clock."""
    for fronts, seeds in DETECTION:
        for frozen in (0.0, 0.1):
            for seed in range(1, seeds + 1):
                row = {"fronts": fronts, "frozen": frozen, "seed": seed}
                yield row | measure_detection(fronts, seed, frozen)


def real() -> Iterator[Row]:
    """Measure death detection with real processes, on an idle and on an overcommitted machine."""
    for fronts in REAL_FRONTS:
        yield {"fronts": fronts, "idle": run_in_process("Deaths", fronts)}
        with overcommitted(2 * (os.cpu_count() or 1)):
            yield {"fronts": fronts, "overcommitted": run_in_process("Deaths", fronts)}


def cost() -> Iterator[Row]:
    """Measure CPU and memory of idle fronts, and latencies under load, with and without a fleet."""
    for fronts in REAL_FRONTS:
        for has_fleet in (False, True):
            report = run_in_process("Costs", fronts, has_fleet, 0, SECONDS, False)
            yield {"fronts": fronts, "on": has_fleet} | report
    for pair in range(5):
        for has_fleet, stalled in ((False, False), (True, False), (True, True)):
            report = run_in_process("Costs", 3, has_fleet, BUSY_RATE, SECONDS, stalled)
            yield {"pair": pair, "on": has_fleet, "stalled": stalled} | report


def newcomer() -> Iterator[Row]:
    """Measure the time that a new member needs to catch up."""
    for items in CATCH_UP_ITEMS:
        yield dict(measure_catch_up(items))


BENCHMARKS: dict[str, Callable[[], Iterator[Row]]] = {
    "gain": gain,
    "popularity": popularity,
    "detect": detect,
    "real": real,
    "cost": cost,
    "newcomer": newcomer,
}
