"""Plays many seeds over several processes, and reports which violate a rule."""

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
    """Let the fronts of this process log nothing: what counts is in a run's own log."""
    from loguru import logger  # here, so that the commands that use it do not load it before

    logger.remove()


@dataclass(frozen=True, slots=True)
class SeedReport:
    """What one seed came to, as plain values that are sent between processes."""

    seed: int
    byte_digest: str
    violations: list[str]
    errors: list[str]  # exceptions out of protocols, and divergences
    counts: dict[str, int]
    injected: dict[str, int]
    seconds: float  # that the run took


def play(seed: int, settings: RunSettings) -> Result:
    """Play one seed, with a fleet where the settings are a fleet's."""
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
    """Reports in the order of the seeds, from so many processes."""
    with multiprocessing.get_context("spawn").Pool(jobs, silence_fronts) as pool:
        yield from pool.imap(_report, [(seed, settings) for seed in seeds], chunksize=1)


def totals(reports: list[SeedReport]) -> dict[str, Any]:
    """What a search came to, over all its seeds, as it is printed."""
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
