"""Commands that benchmark idle connections: idle, and the hidden command hold, which opens them."""

import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from weldbend.testbed.commands.group import FRONTS, JSON, lab, show_report
from weldbend.testbed.load import connection_holder, idle_benchmark, process_usage

LONG_IDLE = """[clients]
first-call = 2 s
idle = 1 h
"""


@dataclass(frozen=True, slots=True)
class IdleOptions:
    """Options of `weldbend lab idle`.

    Attributes:
        connections: Number of idle connections.
        busy_rate: Requests per second of the load beside them.
        seconds: Duration of that load in seconds.
        pairs: Number of latency measurements with and without idle connections.
        fractions: Fractions of the idle connections that send calls at once.
        wake_with: Kind of these calls, probe or photo.
        counts: Numbers of connections at which memory is measured.
        before: Another source tree whose memory is measured too, for comparison; None for no comparison.
        open_rate: Connections that are opened per second when memory is measured.
        fronts: Number of fronts.
    """

    connections: int
    busy_rate: float
    seconds: float
    pairs: int
    fractions: tuple[float, ...]
    wake_with: str
    counts: tuple[int, ...]
    before: str | None
    open_rate: float
    fronts: int


def measure(options: IdleOptions, installation: str, show: Callable[[str], None]) -> dict[str, Any]:
    """Run the measurements that the options request, and return their results by name."""
    report: dict[str, Any] = {}
    counts = list(options.counts)
    rate = options.open_rate
    if counts:
        report["memory"] = idle_benchmark.measure_memory(counts, None, installation, show, rate)
        if options.before:
            report["memory before"] = idle_benchmark.measure_memory(
                counts, options.before, installation, show, rate
            )
    connections = options.connections
    busy_rate = options.busy_rate
    seconds = options.seconds
    if options.fronts > 1:
        report["many"] = idle_benchmark.measure_many_fronts(
            connections, options.fronts, busy_rate, seconds, installation, show
        )
        return report
    if options.pairs:
        report["pairs"] = idle_benchmark.measure_pairs(
            connections, busy_rate, seconds, options.pairs, installation, show
        )
    if options.fractions:
        report["wakes"] = idle_benchmark.measure_wakes(
            connections, busy_rate, list(options.fractions), options.wake_with, installation, show
        )
    return report


@lab.command("hold", hidden=True)
@click.option("--front", required=True)
@click.option("--seed", type=int, default=1)
def hold_command(front: str, seed: int) -> None:
    """Hold idle connections, as commands on standard input request (see load/connection_holder.py)."""
    connection_holder.main(front, seed)


@lab.command("idle")
@click.option("--connections", type=click.IntRange(1, 200_000), default=5000, show_default=True)
@click.option("--busy-rate", type=click.FloatRange(1, 1000), default=86.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(2, 120), default=10.0, show_default=True)
@click.option("--pairs", type=click.IntRange(0, 20), default=1, show_default=True)
@click.option(
    "--wake",
    "fractions",
    type=click.FloatRange(0, 1),
    multiple=True,
    help="fraction that sends calls at once",
)
@click.option("--wake-with", type=click.Choice(["probe", "photo"]), default="photo", show_default=True)
@click.option(
    "--memory",
    "counts",
    type=click.IntRange(1, 19_000),
    multiple=True,
    help="number of connections at which memory is measured",
)
@click.option("--before", help="another source tree whose memory is measured for comparison")
@click.option("--open-rate", type=click.FloatRange(1, 5000), default=2500.0, show_default=True)
@FRONTS
@click.option(
    "--park-after", "idle_after", default="500 ms", show_default=True, help="0 s disables the idle pool"
)
@click.option("--plot", help="PNG file for a plot of the busy latencies")
@JSON
def idle_command(idle_after: str, plot: str | None, path: str | None, **options: object) -> None:
    """Measure the cost of idle connections: memory, CPU, latency of other requests, and mass wakes."""
    idle_options = IdleOptions(**options)  # type: ignore[arg-type]  # click has checked them
    started_at = time.monotonic()

    def show(text: str) -> None:
        print(f"{time.monotonic() - started_at:7.1f} s  {text}", file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory(prefix="weldbend-idle-") as folder:
        installation = Path(folder, "idle.ini")
        installation.write_text(f"{LONG_IDLE}park-after = {idle_after}\n")
        report = measure(idle_options, str(installation), show)
    if plot and report.get("pairs"):
        first = report["pairs"][0]
        histograms = {
            f"{idle_options.connections} idle": first["with"]["histogram"],
            "none": first["none"]["histogram"],
        }
        process_usage.plot(plot, histograms, f"{idle_options.busy_rate:g} requests a second")
    show_report(path or "-", report)
