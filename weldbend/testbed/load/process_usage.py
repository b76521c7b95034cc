"""Memory and CPU usage of processes and the kernel, from /proc; tables, reports and plots of measurements."""

import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")  # unit of the CPU times in /proc
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes
KIBIBYTE = 1024
# Indexes of fields in /proc/PID/stat, counted from the first field after the command's name.
USER_TICKS = 11
SYSTEM_TICKS = 12
RESIDENT_PAGES = 21
PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9)  # percentiles that a plot shows

Cell = str | int | float


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of one process.

    Attributes:
        memory: Resident memory in bytes.
        cpu: CPU time since its start in seconds.
    """

    memory: int
    cpu: float


def usage(pid: int) -> Usage:
    """Return the resource usage of a process.

    Raises:
        OSError: The process does not exist.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_PER_SECOND
    return Usage(int(fields[RESIDENT_PAGES]) * PAGE_SIZE, cpu)


def read_kibibytes(path: str, name: str) -> int | None:
    """Return the bytes that a line of a /proc file states in kB, or None if no line begins with `name`."""
    for line in Path(path).read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1]) * KIBIBYTE
    return None


def anonymous_memory(pid: int) -> int:
    """Return the anonymous memory of a process in bytes, which excludes pages mapped from files.

    Raises:
        OSError: The process does not exist.
    """
    size = read_kibibytes(f"/proc/{pid}/status", "RssAnon:")
    return usage(pid).memory if size is None else size


def peak_memory(pid: int) -> int:
    """Return the peak resident memory of a process in bytes.

    Raises:
        OSError: The process does not exist.
    """
    size = read_kibibytes(f"/proc/{pid}/status", "VmHWM:")
    return usage(pid).memory if size is None else size


def slab_memory() -> int:
    """Return the memory of the kernel's data structures (slab) in bytes, for the whole machine."""
    return read_kibibytes("/proc/meminfo", "Slab:") or 0


def table(rows: Sequence[Sequence[Cell]], head: Sequence[str]) -> str:
    """Return a text table with aligned columns: the first to the left, the others to the right."""
    texts = [[f"{cell:.2f}" if isinstance(cell, float) else str(cell) for cell in row] for row in rows]
    lines = [list(head), *texts]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(line, widths, strict=True))
        )
        for line in lines
    )


def write_report(path: str, report: object) -> None:
    """Write a report as JSON."""
    Path(path).write_text(json.dumps(report, indent=1) + "\n")


def plot(path: str, histograms: dict[str, str], title: str) -> None:
    """Draw latency by percentile as a PNG, with a line for each encoded histogram."""
    # Imported here, so that only commands that draw plots load these libraries.
    import matplotlib

    matplotlib.use("Agg")
    from hdrh.histogram import HdrHistogram
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    labels = [f"{percentile:g}" for percentile in PERCENTILES]
    for name, encoded in histograms.items():
        histogram = HdrHistogram.decode(encoded)
        latencies = [histogram.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES]
        axes.plot(labels, latencies, marker="o", label=name)
    axes.set(xlabel="percentile", ylabel="latency, ms", yscale="log", title=title)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=90)
