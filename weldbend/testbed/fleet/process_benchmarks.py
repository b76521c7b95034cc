"""Benchmarks of a fleet of real processes: its cost, and the time to detect a death. Not part of CI.

    python -m weldbend.testbed.fleet.process_benchmarks NAME ARGUMENTS

runs one measurement, whose arguments are a JSON array, and prints its report as one JSON line. A reactor can
run only once per process, so each measurement runs in a process of its own; `run_in_process` starts it.
"""

import json
import subprocess
import sys
import time
from statistics import median
from typing import Any, cast

from weldbend.testbed.emulator.emulated_site import SiteSettings
from weldbend.testbed.fleet.control_query import Answer
from weldbend.testbed.fleet.processes import QUICK_SETTINGS, FleetSite, FleetSiteSettings
from weldbend.testbed.load import process_usage
from weldbend.testbed.load.generator import Load, LoadPlan
from weldbend.testbed.reactor import ProcessReactor

SETTLING_TIME = 8.0  # seconds between the readiness of all fronts and the start of a measurement
STALL_DURATION = 600.0  # seconds, longer than any measurement
REACTOR_STOP_DELAY = 0.3  # seconds between the kill of the fronts and the stop of the reactor
TIMEOUT = 600  # seconds, limit of one measurement
MAX_QUERIED_FRONTS = 10
QUERY_PERIOD = 0.25  # seconds between two queries of a front
MEBIBYTE = 2**20  # bytes


class Measurement:
    """A measurement of a fleet: starts fronts, and calls `begin` when all have been ready for a while.

    `report` holds the result.
    """

    def __init__(self, reactor: ProcessReactor, fronts: int, installation: str) -> None:
        self.reactor = reactor
        settings = FleetSiteSettings(SiteSettings(fronts=fronts), installation=installation)
        self.site = FleetSite(reactor, settings, 1, lambda event: None)
        self.pending_fronts = fronts  # number of fronts that are not ready yet
        self.report: dict[str, Any] = {}

    def start(self) -> None:
        """Start the fronts."""
        self.site.on_ready = self._on_ready
        for number in self.site.numbers:
            self.site.start(number)

    def _on_ready(self, number: int) -> None:
        self.pending_fronts -= 1
        if not self.pending_fronts:
            self.reactor.callLater(SETTLING_TIME, self.begin)

    def begin(self) -> None:
        """Run the measurement, and call `finish` at the end."""
        raise NotImplementedError

    def finish(self, report: dict[str, Any]) -> None:
        """Store the report, kill the fronts, and stop the reactor."""
        self.report = report
        self.site.end_all()
        self.reactor.callLater(REACTOR_STOP_DELAY, self.reactor.stop)


class Costs(Measurement):
    """CPU and memory use of the fronts over some seconds, and latencies of a load on the first front."""

    def __init__(
        self,
        reactor: ProcessReactor,
        fronts: int,
        has_fleet: bool,
        rate: float,
        seconds: float,
        stalled: bool,
    ) -> None:
        super().__init__(reactor, fronts, "" if has_fleet else QUICK_SETTINGS)
        self.rate = rate
        self.seconds = seconds
        self.has_stalled_front = stalled  # whether the last front is suspended during the measurement
        self.before: dict[int, process_usage.Usage] = {}
        self.started_at = 0.0
        if not has_fleet:
            for number in self.site.numbers:
                self.site.installation_path(number).write_text("")

    def begin(self) -> None:
        """Start the load, or only the measurement if the rate is 0."""
        if self.has_stalled_front:
            self.site.suspend(len(self.site.numbers), STALL_DURATION)
        self.before = self._usages()
        self.started_at = time.monotonic()
        if self.rate:
            plan = LoadPlan(rate=self.rate, seconds=self.seconds, seed=1, orders=0.0)
            sizes = self.site.settings.site.sizes
            Load(self.reactor, plan, [self.site.addresses[1]], sizes, self._on_load_end).start()
        else:
            self.reactor.callLater(self.seconds, self._on_load_end, None)

    def _usages(self) -> dict[int, process_usage.Usage]:
        return {n: process_usage.usage(p.pid) for n, p in self.site.running.items() if p.pid}

    def _on_load_end(self, load: Load | None) -> None:
        after = self._usages()
        seconds = time.monotonic() - self.started_at
        stalled = len(self.site.numbers) if self.has_stalled_front else None
        without_load = [number for number in after if number not in (1, stalled)]
        cpu = [(after[n].cpu - self.before[n].cpu) / seconds for n in without_load]
        report = {
            "cpu a second, ms": round(median(cpu) * 1000, 2) if cpu else None,
            "memory, MB": round(median(usage.memory for usage in after.values()) / MEBIBYTE, 1),
        }
        if load:
            tally = load.tally.report()
            report |= {"p50": tally["latency_ms"]["p50"], "p99": tally["latency_ms"]["p99"]}
            report |= {"asked": tally["counts"]["asked"], "fulfilled": tally["counts"].get("fulfilled", 0)}
        self.finish(report)


class Deaths(Measurement):
    """Times until the other fronts suspect a killed front and declare it dead."""

    def __init__(self, reactor: ProcessReactor, fronts: int) -> None:
        super().__init__(reactor, fronts, "")
        self.victim = fronts
        self.killed_at = 0.0
        self.seen: dict[int, dict[str, float]] = {number: {} for number in self.site.numbers}
        self.false_deaths: set[tuple[int, str]] = set()  # (number of the observing front, name of the member)

    def begin(self) -> None:
        """Schedule the kill of the victim, and query the other fronts periodically."""
        self.reactor.callLater(20.0 + self.victim / 4, self._kill)
        self._query()

    def _kill(self) -> None:
        self.killed_at = time.monotonic()
        self.site.kill(self.victim)
        self.reactor.callLater(40.0, self._end)

    def _query(self) -> None:
        for number in list(self.site.numbers)[:MAX_QUERIED_FRONTS]:
            if number != self.victim:
                self._query_one(number)
        if not self.report:
            self.reactor.callLater(QUERY_PERIOD, self._query)

    def _query_one(self, number: int) -> None:
        self.site.query(number, lambda answer: self._on_answer(number, answer), ask="status")

    def _on_answer(self, number: int, answer: Answer | None) -> None:
        now = time.monotonic()
        for member in (answer or {}).get("ok", {}).get("members", ()):
            if member["name"] == f"n{self.victim}" and self.killed_at:
                self.seen[number].setdefault(member["state"], now - self.killed_at)
            elif member["state"] == "DEAD" and member["heard"] is not None:
                self.false_deaths.add((number, member["name"]))

    def _end(self) -> None:
        known = sorted(states["DEAD"] for states in self.seen.values() if "DEAD" in states)
        suspected = sorted(states["SUSPECT"] for states in self.seen.values() if "SUSPECT" in states)
        self.finish(
            {
                "asked": min(MAX_QUERIED_FRONTS, self.victim - 1),
                "suspected first": round(suspected[0], 2) if suspected else None,
                "known first": round(known[0], 2) if known else None,
                "known to all asked": round(known[-1], 2) if known else None,
                "know it": len(known),
                "false deaths": len(self.false_deaths),
            }
        )


MEASUREMENTS: dict[str, type[Measurement]] = {"Costs": Costs, "Deaths": Deaths}


class MeasurementError(RuntimeError):
    """The process of a measurement failed; `log` is the end of its standard error."""

    def __init__(self, log: str) -> None:
        self.log = log
        super().__init__(log)


def run_in_process(name: str, *arguments: object) -> dict[str, Any]:
    """Run one measurement in a process of its own, and return its report; raises MeasurementError."""
    done = subprocess.run(
        [sys.executable, "-m", "weldbend.testbed.fleet.process_benchmarks", name, json.dumps(arguments)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
        check=False,
    )
    if done.returncode:
        raise MeasurementError(done.stderr[-2000:])
    report: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
    return report


def main(name: str, arguments: str) -> None:
    """Run one measurement, and print its report."""
    from twisted.internet import reactor as installed  # here: importing it installs it

    reactor = cast(ProcessReactor, installed)
    measurement = MEASUREMENTS[name](reactor, *json.loads(arguments))
    reactor.callWhenRunning(measurement.start)
    reactor.run()
    print(json.dumps(measurement.report))


if __name__ == "__main__":
    main(*sys.argv[1:])
