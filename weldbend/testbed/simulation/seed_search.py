"""Runs many seeds in several processes, and reports which of them violate a rule."""

import multiprocessing
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings
from weldbend.testbed.simulation.run import Result, Run
from weldbend.testbed.simulation.settings import RunSettings


def silence_fronts() -> None:
    """Disable the logs of the fronts in this process; the events of a run are in its own log."""
    from loguru import logger  # imported on use, so that importing this module does not load it

    logger.remove()


@dataclass(frozen=True, slots=True)
class SeedReport:
    """Result of one seed, as plain values that can be sent between processes."""

    seed: int
    byte_digest: str
    violations: list[str]
    errors: list[str]  # exceptions raised by protocols, and divergences
    counts: dict[str, int]
    injected: dict[str, int]
    seconds: float  # real time that the run took


def play(seed: int, settings: RunSettings) -> Result:
    """Run one seed, as a fleet if the settings are those of a fleet."""
    if isinstance(settings, FleetRunSettings):
        return FleetRun(seed, settings).play()
    return Run(seed, settings).play()


def _report(task: tuple[int, RunSettings]) -> SeedReport:
    started = time.perf_counter()
    result = play(*task)
    return SeedReport(
        seed=result.seed,
        byte_digest=result.byte_digest,
        violations=[str(violation) for violation in result.violations],
        errors=[*result.errors, *result.divergences],
        counts=result.counts,
        injected=result.injected,
        seconds=time.perf_counter() - started,
    )


def search(seeds: range, jobs: int, settings: RunSettings) -> Iterator[SeedReport]:
    """Run seeds in `jobs` processes; yield their reports in the order of the seeds."""
    with multiprocessing.get_context("spawn").Pool(jobs, silence_fronts) as pool:
        yield from pool.imap(_report, [(seed, settings) for seed in seeds], chunksize=1)


def totals(reports: list[SeedReport]) -> dict[str, Any]:
    """Return the summary of a search over all its seeds, as it is printed."""
    counts = Counter[str]()
    injected = Counter[str]()
    for report in reports:
        counts.update(report.counts)
        injected.update({name.partition(" ")[2]: count for name, count in report.injected.items()})
    return {
        "seeds": len(reports),
        "broken": [report.seed for report in reports if report.violations],
        "faulty": [report.seed for report in reports if report.errors],
        "counts": dict(counts),
        "strikes": dict(injected),
        "seconds": round(sum(report.seconds for report in reports), 1),
    }
