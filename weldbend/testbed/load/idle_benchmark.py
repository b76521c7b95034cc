"""Benchmark of idle connections: memory, CPU, latency of other requests beside them, and mass wakes.

This process only coordinates: the site with its fronts, the busy load and the holders of idle connections run
as processes of their own. All traffic stays on loopback, and all processes end with the benchmark.
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

EXTRA_DESCRIPTORS = 600  # sockets of a front in addition to its idle connections
REPORTED_COUNTERS = (  # counters in the logs of fronts that are copied into the report
    "max_timer_delay_ms",
    "max_iteration_ms",
    "max_wakeup_delay_ms",
    "max_idle_connections",
    "max_memory_mb",
    "violations",
)
SETTLE_TIME = 2.0  # seconds after which all unused connections are idle
OPEN_RATE = 2500.0  # connections a second
LOAD_TIMEOUT = 120  # seconds
FIRST_SOURCE = 10  # last byte of the address from which the first holder connects

Row = dict[str, Any]  # row of the report as a JSON object
Show = Callable[[str], None]  # callback that shows a line of progress


class ConnectionsFailedError(RuntimeError):
    """Some idle connections could not be opened.

    Attributes:
        count: Number of these connections.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        super().__init__(f"{count} connections could not be opened")


@dataclass
class RunningSite:
    """A running site with its fronts.

    Attributes:
        process: Process of the site.
        fronts: Addresses of the fronts.
        pids: Process ids of the fronts.
        folder: Directory with the logs of the fronts.
    """

    process: ChildProcess
    fronts: list[str]
    pids: list[int]
    folder: Path

    def _cpu_seconds(self) -> float:
        return sum(process_usage.usage(pid).cpu for pid in self.pids)

    def cpu_cores(self, seconds: float) -> float:
        """Return the mean number of CPU cores that all fronts together use in the next `seconds`."""
        before = self._cpu_seconds()
        time.sleep(seconds)
        return (self._cpu_seconds() - before) / seconds

    def anonymous_memory(self) -> int:
        """Return the anonymous memory of all fronts together, in bytes."""
        return sum(process_usage.anonymous_memory(pid) for pid in self.pids)

    def counters(self) -> list[Row]:
        """Return the last counters that each front has logged; they are final once the site has ended."""
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
    """Run a site while the context is active.

    Args:
        fronts: Number of fronts.
        sockets: Limit of sockets of each front.
        program: Another source tree whose weldbend the fronts run; None for this one.
        installation: Installation file of the fronts, or None.
    """
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
    """Hold idle connections open while the context is active, and yield the processes that hold them.

    Args:
        fronts: Addresses of the fronts; each receives the same number of connections.
        count: Number of connections to all fronts together.
        rate: Connections per second to each front.

    Raises:
        ConnectionsFailedError: Some connections could not be opened.
    """
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
    """An open-loop load that runs in a process of its own."""

    def __init__(self, fronts: list[str], rate: float, seconds: float, seed: int) -> None:
        tokens = ["load", "--rate", str(rate), "--seconds", str(seconds), "--seed", str(seed), "--json", "-"]
        for front in fronts:
            tokens += ["--front", front]
        self.process = subprocess.Popen(testbed_command(*tokens), stdout=subprocess.PIPE, text=True)

    def wait_for_report(self) -> Row:
        """Wait for the end of the load, and return its report."""
        output, _ = self.process.communicate(timeout=LOAD_TIMEOUT)
        report: Row = json.loads(output)
        return report


def measure_memory(
    counts: list[int], program: str | None, installation: str, show: Show, rate: float = OPEN_RATE
) -> list[Row]:
    """Measure memory per connection and idle CPU for each number of connections, each on a fresh front.

    `bytes_first` is the growth over the first burst of connections. `bytes` is the growth over a second burst
    of the same size, after the first one was closed: it excludes memory that the allocator retains from a
    burst, which is no cost of the connections that stay open.
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
    """Measure the latency of a load with `count` idle connections and with none, in turn, on fresh fronts."""
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
    """Measure the latency of a load while a fraction of the idle connections sends calls at once.

    Each row has the report of that load under `busy`, and the results of those calls under `woken`.
    """
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
    """Measure `count` idle connections over several fronts, with a load beside them.

    The documentation publishes the results of this measurement.
    """
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
