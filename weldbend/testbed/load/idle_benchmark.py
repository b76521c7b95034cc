"""The measurement of idle connections: memory, upkeep, busy latency beside them, and mass wakes.

This process only conducts: the site with its fronts, the busy load and the holders of idle connections are
processes of their own. Everything stays on loopback, and ends by itself.
"""

import json
import subprocess
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from weldbend.testbed.load import process_usage
from weldbend.testbed.load.child_process import ChildProcess, testbed_command

EXTRA_DESCRIPTORS = 600  # descriptors of a front beside its idle ones
REPORTED_COUNTERS = (  # that fronts log, and that a report has
    "max_timer_delay_ms",
    "max_iteration_ms",
    "max_wakeup_delay_ms",
    "max_idle_connections",
    "max_memory_mb",
    "violations",
)
SETTLE_TIME = 2.0  # seconds until all connections are idle
OPEN_RATE = 2500.0  # connections a second
LOAD_TIMEOUT = 120  # seconds
FIRST_SOURCE = 10  # last byte of the address that the first holder connects from

Row = dict[str, Any]  # of the report, in JSON
Show = Callable[[str], None]  # shows a line of progress


class ConnectionsFailedError(RuntimeError):
    """Idle connections that could not be opened; `count` is their number."""

    def __init__(self, count: int) -> None:
        self.count = count
        super().__init__(f"{count} connections could not be opened")


@dataclass
class RunningSite:
    """A running site with its fronts: addresses and process numbers."""

    process: ChildProcess
    fronts: list[str]
    pids: list[int]
    folder: Path

    def _cpu_seconds(self) -> float:
        return sum(process_usage.usage(pid).cpu for pid in self.pids)

    def cpu_cores(self, seconds: float) -> float:
        """Cores that the fronts use together over a time."""
        before = self._cpu_seconds()
        time.sleep(seconds)
        return (self._cpu_seconds() - before) / seconds

    def anonymous_memory(self) -> int:
        """Bytes of the fronts' own memory."""
        return sum(process_usage.anonymous_memory(pid) for pid in self.pids)

    def counters(self) -> list[Row]:
        """The last counters that each front logged; all of them once the site has ended."""
        counters = []
        for path in sorted(self.folder.glob("front-*.log")):
            lines = [json.loads(line) for line in path.read_text().splitlines() if '"counts"' in line]
            last = lines[-1] if lines else {}
            counters.append({name: last[name] for name in REPORTED_COUNTERS} if last else {})
        return counters


@contextmanager
def running_site(
    fronts: int, sockets: int, program: str | None, installation: str | None
) -> Iterator[RunningSite]:
    """A site for a time; `program` is another tree whose weldbend the fronts run."""
    tokens = ["up", "--told", "--fronts", str(fronts), "--sockets", str(sockets)]
    tokens += ["--program", program] if program else []
    tokens += ["--installation", installation] if installation else []
    process = ChildProcess(*tokens)
    try:
        ready = process.receive()
        yield RunningSite(process, ready["fronts"], ready["pids"], Path(ready["folder"]))
    finally:
        process.end()


@contextmanager
def idle_connections(fronts: list[str], count: int, rate: float = OPEN_RATE) -> Iterator[list[ChildProcess]]:
    """Idle connections for a time, `count` in all, shared evenly over the fronts; yields their holders."""
    share = count // len(fronts)
    holders = [ChildProcess("hold", "--front", front, "--seed", str(n)) for n, front in enumerate(fronts)]
    try:
        for number, holder in enumerate(holders):
            holder.send(f"open {share} {rate} {FIRST_SOURCE + number}")
        for holder in holders:
            opened = holder.receive()
            if opened["failed"]:
                raise ConnectionsFailedError(opened["failed"])
        yield holders
    finally:
        for holder in holders:
            holder.end()


class BusyLoad:
    """An open-loop load in a process of its own."""

    def __init__(self, fronts: list[str], rate: float, seconds: float, seed: int) -> None:
        tokens = ["load", "--rate", str(rate), "--seconds", str(seconds), "--seed", str(seed), "--json", "-"]
        for front in fronts:
            tokens += ["--front", front]
        self.process = subprocess.Popen(testbed_command(*tokens), stdout=subprocess.PIPE, text=True)

    def wait_for_report(self) -> Row:
        """Wait for the end of the load; its report."""
        output, _ = self.process.communicate(timeout=LOAD_TIMEOUT)
        report: Row = json.loads(output)
        return report


def measure_memory(
    counts: list[int], program: str | None, installation: str, show: Show, rate: float = OPEN_RATE
) -> list[Row]:
    """Bytes a connection and CPU at rest, for each count, each on a front of its own.

    `bytes_first` counts from before the first rush of connections, `bytes` from after one of the same size
    has come and gone: what the allocator keeps of a rush is no cost of those that stay.
    """
    rows = []
    for count in counts:
        with running_site(1, count + EXTRA_DESCRIPTORS, program, None if program else installation) as site:
            BusyLoad(site.fronts, 86, 3, 9).wait_for_report()
            time.sleep(SETTLE_TIME)
            before = site.anonymous_memory()
            slab = process_usage.slab_memory()
            cpu_none = site.cpu_cores(5)
            with idle_connections(site.fronts, count, rate):
                time.sleep(SETTLE_TIME)
                bytes_each = (site.anonymous_memory() - before) / count
                kernel = (process_usage.slab_memory() - slab) / count / 2
                row: Row = {
                    "program": program or "this",
                    "idle": count,
                    "bytes_first": round(bytes_each),
                    "kernel_bytes": round(kernel),
                    "cpu_none": cpu_none,
                    "cpu_idle": site.cpu_cores(8),
                }
            time.sleep(SETTLE_TIME)
            before = site.anonymous_memory()
            with idle_connections(site.fronts, count, rate):
                time.sleep(SETTLE_TIME)
                row["bytes"] = round((site.anonymous_memory() - before) / count)
        show(json.dumps(row))
        rows.append(row)
    return rows


def measure_pairs(
    count: int, rate: float, seconds: float, repetitions: int, installation: str, show: Show
) -> list[Row]:
    """Busy latency with `count` idle connections and with none, alternately, each on a fresh front."""
    pairs = []
    for number in range(repetitions):
        pair: Row = {}
        for idle in (0, count) if number % 2 == 0 else (count, 0):
            with running_site(1, count + EXTRA_DESCRIPTORS, None, installation) as site:
                BusyLoad(site.fronts, rate, 2, 100 + number).wait_for_report()
                if idle:
                    with idle_connections(site.fronts, idle):
                        time.sleep(SETTLE_TIME)
                        report = BusyLoad(site.fronts, rate, seconds, 7 + number).wait_for_report()
                else:
                    report = BusyLoad(site.fronts, rate, seconds, 7 + number).wait_for_report()
            pair["with" if idle else "none"] = report | {"front": site.counters()[0]}
        shown = {
            name: report["latency_ms"] | {"timers_late": report["front"].get("max_timer_delay_ms")}
            for name, report in pair.items()
        }
        show(json.dumps(shown))
        pairs.append(pair)
    return pairs


def measure_wakes(
    count: int, rate: float, fractions: list[float], call_kind: str, installation: str, show: Show
) -> list[Row]:
    """Busy latency while a fraction of the idle wakes at once, and what became of those woken."""
    rows: list[Row] = []
    with (
        running_site(1, count + EXTRA_DESCRIPTORS, None, installation) as site,
        idle_connections(site.fronts, count) as holders,
    ):
        time.sleep(SETTLE_TIME)
        for fraction in fractions:
            load = BusyLoad(site.fronts, rate, 8, round(1000 * fraction))
            time.sleep(2.5)
            holders[0].send(f"wake {fraction} {call_kind} 12")
            woken = holders[0].receive()
            report = load.wait_for_report()
            report.pop("histogram")
            row = {"share": fraction, "what": call_kind, "woken": woken, "busy": report}
            show(json.dumps(row))
            rows.append(row)
            time.sleep(SETTLE_TIME)
    rows.append({"front": site.counters()[0]})
    show(json.dumps(rows[-1]))
    return rows


def measure_many_fronts(
    count: int, fronts: int, rate: float, seconds: float, installation: str, show: Show
) -> Row:
    """The published run: so many idle connections over several fronts, busy requests beside them."""
    with running_site(fronts, count // fronts + EXTRA_DESCRIPTORS, None, installation) as site:
        before = site.anonymous_memory()
        slab = process_usage.slab_memory()
        with idle_connections(site.fronts, count) as holders:
            time.sleep(SETTLE_TIME)
            idle_cpu = site.cpu_cores(5)
            report = BusyLoad(site.fronts, rate, seconds, 3).wait_for_report()
            still_open = 0
            for holder in holders:
                holder.send("count")
                still_open += holder.receive()["open"]
            row: Row = {
                "idle": count,
                "fronts": fronts,
                "open at the end": still_open,
                "bytes": round((site.anonymous_memory() - before) / count),
                "kernel_bytes": round((process_usage.slab_memory() - slab) / count / 2),
                "cpu_idle": idle_cpu,
                "busy": report,
            }
    row["counters"] = site.counters()
    show(json.dumps({name: value for name, value in row.items() if name != "busy"}))
    show(json.dumps(report["latency_ms"]))
    return row
