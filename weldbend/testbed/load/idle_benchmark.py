"""The measurement of idle connections: memory, upkeep, busy latency beside them, and mass wakes.

This process only conducts: the site with its fronts, the busy load and the holders of idle connections are
processes of their own. Everything stays on loopback, and ends by itself.
"""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from weldbend.testbed.load import process_usage

A_HOLDER = 16_000  # idle connections that one holder has at most; descriptors of a process may end at 20,000
RESERVE = 600  # descriptors of a front beside its idle ones
COUNTERS = (
    "max_timer_delay_ms",
    "max_iteration_ms",
    "max_wakeup_delay_ms",
    "max_idle_connections",
    "max_memory_mb",
    "violations",
)
SETTLE = 2.0  # seconds that are waited until all is parked


def command(*words: str) -> list[str]:
    return [sys.executable, "-m", "weldbend", "lab", *words]


class Told:
    """A child process that is told lines and answers each with one JSON line."""

    def __init__(self, *words: str) -> None:
        self.process = subprocess.Popen(
            command(*words), stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def tell(self, line: str) -> None:
        assert self.process.stdin
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def hear(self) -> dict[str, Any]:
        assert self.process.stdout
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"a child process of the laboratory ended: {self.process.args}")
        found: dict[str, Any] = json.loads(line)
        return found

    def end(self) -> None:
        if self.process.stdin:
            self.process.stdin.close()
        try:
            self.process.wait(20)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


@dataclass
class Bench:
    """A running site with its fronts: addresses and process numbers."""

    site: Told
    fronts: list[str]
    pids: list[int]
    folder: Path

    def usages(self) -> list[process_usage.Usage]:
        return [process_usage.usage(pid) for pid in self.pids]

    def cpu(self, seconds: float) -> float:
        """Cores that the fronts take together over a time."""
        before = sum(one.cpu for one in self.usages())
        time.sleep(seconds)
        return (sum(one.cpu for one in self.usages()) - before) / seconds

    def anonymous(self) -> int:
        return sum(process_usage.anonymous(pid) for pid in self.pids)

    def counters(self) -> list[dict[str, Any]]:
        """The last counters that each front logged; all of them once the site has ended."""
        found = []
        for path in sorted(self.folder.glob("front-*.log")):
            lines = [json.loads(line) for line in path.read_text().splitlines() if '"counts"' in line]
            found.append({name: lines[-1][name] for name in COUNTERS} if lines else {})
        return found


@contextmanager
def bench(fronts: int, sockets: int, program: str | None, installation: str | None) -> Iterator[Bench]:
    words = ["up", "--told", "--fronts", str(fronts), "--sockets", str(sockets)]
    words += ["--program", program] if program else []
    words += ["--installation", installation] if installation else []
    site = Told(*words)
    try:
        held = site.hear()
        yield Bench(site, held["fronts"], held["pids"], Path(held["folder"]))
    finally:
        site.end()


@contextmanager
def holders(fronts: list[str], count: int, rate: float) -> Iterator[list[Told]]:
    """Idle connections, `count` in all, shared evenly over the fronts."""
    share = count // len(fronts)
    each = [Told("hold", "--front", front, "--seed", str(at)) for at, front in enumerate(fronts)]
    try:
        for at, holder in enumerate(each):
            holder.tell(f"open {share} {rate} {10 + at}")
        for holder in each:
            told = holder.hear()
            if told["failed"]:
                raise RuntimeError(f"{told['failed']} connections could not be opened")
        yield each
    finally:
        for holder in each:
            holder.end()


def busy(fronts: list[str], rate: float, seconds: float, seed: int) -> "subprocess.Popen[str]":
    words = ["load", "--rate", str(rate), "--seconds", str(seconds), "--seed", str(seed), "--json", "-"]
    for front in fronts:
        words += ["--front", front]
    return subprocess.Popen(command(*words), stdout=subprocess.PIPE, text=True)


def result(process: "subprocess.Popen[str]") -> dict[str, Any]:
    out, _ = process.communicate(timeout=120)
    found: dict[str, Any] = json.loads(out)
    return found


Say = Callable[[str], None]


def memory(
    counts: list[int], program: str | None, installation: str, say: Say, rate: float = 2500
) -> list[dict[str, Any]]:
    """Bytes a connection and CPU at rest, for each count, each on a front of its own.

    `bytes_first` counts from before the first rush of connections, `bytes` from after one of the same size
    has come and gone: what the allocator keeps of a rush is no cost of those that stay.
    """
    found = []
    for count in counts:
        with bench(1, count + RESERVE, program, None if program else installation) as held:
            result(busy(held.fronts, 86, 3, 9))
            time.sleep(SETTLE)
            before, slab, none = held.anonymous(), process_usage.kernel_sockets(), held.cpu(5)
            with holders(held.fronts, count, rate):
                time.sleep(SETTLE)
                each = (held.anonymous() - before) / count
                kernel = (process_usage.kernel_sockets() - slab) / count / 2
                row = {
                    "program": program or "this", "idle": count, "bytes_first": round(each),
                    "kernel_bytes": round(kernel), "cpu_none": none, "cpu_idle": held.cpu(8),
                }  # fmt: skip
            time.sleep(SETTLE)
            before = held.anonymous()
            with holders(held.fronts, count, rate):
                time.sleep(SETTLE)
                row["bytes"] = round((held.anonymous() - before) / count)
        say(json.dumps(row))
        found.append(row)
    return found


def pairs(
    count: int, rate: float, seconds: float, times: int, installation: str, say: Say
) -> list[dict[str, Any]]:
    """Busy latency with `count` idle connections and with none, in turn, each on a fresh front."""
    found = []
    for at in range(times):
        pair: dict[str, Any] = {}
        for idle in (0, count) if at % 2 == 0 else (count, 0):
            with bench(1, count + RESERVE, None, installation) as held:
                result(busy(held.fronts, rate, 2, 100 + at))
                if idle:
                    with holders(held.fronts, idle, 2500):
                        time.sleep(SETTLE)
                        told = result(busy(held.fronts, rate, seconds, 7 + at))
                else:
                    told = result(busy(held.fronts, rate, seconds, 7 + at))
            pair["with" if idle else "none"] = told | {"front": held.counters()[0]}
        row = {
            name: told["latency_ms"] | {"timers_late": told["front"].get("max_timer_delay_ms")}
            for name, told in pair.items()
        }
        say(json.dumps(row))
        found.append(pair)
    return found


def wakes(
    count: int, rate: float, shares: list[float], what: str, installation: str, say: Say
) -> list[dict[str, Any]]:
    """Busy latency while a share of the idle wakes at once, and what became of those woken."""
    found = []
    with (
        bench(1, count + RESERVE, None, installation) as held,
        holders(held.fronts, count, 2500) as each,
    ):
        time.sleep(SETTLE)
        for share in shares:
            load = busy(held.fronts, rate, 8, round(1000 * share))
            time.sleep(2.5)
            each[0].tell(f"wake {share} {what} 12")
            woken, told = each[0].hear(), result(load)
            row = {"share": share, "what": what, "woken": woken, "busy": told}
            row["busy"].pop("histogram")
            say(json.dumps(row))
            found.append(row)
            time.sleep(SETTLE)
    found.append({"front": held.counters()[0]})
    say(json.dumps(found[-1]))
    return found


def many(count: int, fronts: int, rate: float, seconds: float, installation: str, say: Say) -> dict[str, Any]:
    """The published run: so many idle connections over several fronts, busy downloads beside them."""
    with bench(fronts, count // fronts + RESERVE, None, installation) as held:
        before, slab = held.anonymous(), process_usage.kernel_sockets()
        with holders(held.fronts, count, 2500) as each:
            time.sleep(SETTLE)
            idle_cpu = held.cpu(5)
            told = result(busy(held.fronts, rate, seconds, 3))
            open_now = 0
            for holder in each:
                holder.tell("count")
                open_now += holder.hear()["open"]
            row = {
                "idle": count, "fronts": fronts, "open at the end": open_now,
                "bytes": round((held.anonymous() - before) / count),
                "kernel_bytes": round((process_usage.kernel_sockets() - slab) / count / 2),
                "cpu_idle": idle_cpu, "busy": told,
            }  # fmt: skip
    row["counters"] = held.counters()
    say(json.dumps({name: value for name, value in row.items() if name != "busy"}))
    say(json.dumps(told["latency_ms"]))
    return row
