"""Plays seeds over all cores, and says which broke a rule; one seed can be played again with its trace."""

import multiprocessing
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetSetup
from weldbend.testbed.simulation.run import Run, Setup


def quiet() -> None:
    """Fronts in a run log nothing: what counts is in the run's own log."""
    from loguru import logger

    logger.remove()


def one(task: tuple[int, Setup]) -> dict[str, Any]:
    """A seed's verdict as plain figures, to be sent between processes."""
    (seed, setup), begun = task, time.perf_counter()
    result = (FleetRun if isinstance(setup, FleetSetup) else Run)(seed, setup).play()
    return {
        "seed": seed,
        "digest": result.digest(),
        "byte_digest": result.byte_digest,
        "breaches": [str(breach) for breach in result.breaches],
        "faults": [*result.faults, *result.differ],
        "counts": result.counts,
        "strikes": result.strikes,
        "seconds": time.perf_counter() - begun,
    }


def search(seeds: range, jobs: int, setup: Setup) -> Iterator[dict[str, Any]]:
    """Verdicts in the order of the seeds."""
    with multiprocessing.get_context("spawn").Pool(jobs, quiet) as pool:
        yield from pool.imap(one, [(seed, setup) for seed in seeds], chunksize=1)


def totals(found: list[dict[str, Any]]) -> dict[str, Any]:
    """What a search came to, over all its seeds."""
    counts, strikes = Counter[str](), Counter[str]()
    for row in found:
        counts.update(row["counts"])
        strikes.update({name.partition(" ")[2]: many for name, many in row["strikes"].items()})
    return {
        "seeds": len(found),
        "broken": [row["seed"] for row in found if row["breaches"]],
        "faulty": [row["seed"] for row in found if row["faults"]],
        "counts": dict(counts),
        "strikes": dict(strikes),
        "seconds": round(sum(row["seconds"] for row in found), 1),
    }
