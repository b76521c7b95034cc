"""What the system says of processes: memory, CPU, sockets; tables and plots of what was measured."""

import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Usage:
    """Of one process: resident bytes and CPU seconds since its start."""

    memory: int
    cpu: float


def usage(pid: int) -> Usage:
    """Raises OSError where the process is gone."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return Usage(int(fields[21]) * PAGE, (int(fields[11]) + int(fields[12])) / TICKS)


def anonymous(pid: int) -> int:
    """Bytes of a process's own memory, without what it shares with files."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return usage(pid).memory


def kernel_sockets() -> int:
    """Bytes of the kernel's own structures (slab), of the whole machine."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("Slab:"):
            return int(line.split()[1]) * 1024
    return 0


def table(rows: Sequence[Sequence[Any]], head: Sequence[str]) -> str:
    """Columns set below each other; figures to the right."""
    texts = [[f"{cell:.2f}" if isinstance(cell, float) else str(cell) for cell in row] for row in rows]
    widths = [max(len(line[at]) for line in [list(head), *texts]) for at in range(len(head))]
    lines = [
        "  ".join(
            cell.ljust(width) if at == 0 else cell.rjust(width)
            for at, (cell, width) in enumerate(zip(line, widths, strict=True))
        )
        for line in [list(head), *texts]
    ]
    return "\n".join(lines)


def write(path: str, report: Any) -> None:
    Path(path).write_text(json.dumps(report, indent=1) + "\n")


def plot(path: str, histograms: dict[str, str], title: str) -> None:
    """Latency by percentile, a line for each encoded histogram, as a PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from hdrh.histogram import HdrHistogram
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    shares = [0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9]
    for name, encoded in histograms.items():
        held = HdrHistogram.decode(encoded)
        found = [held.get_value_at_percentile(share) / 1000 for share in shares]
        axes.plot([f"{share:g}" for share in shares], found, marker="o", label=name)
    axes.set(xlabel="percentile", ylabel="latency, ms", yscale="log", title=title)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=90)
