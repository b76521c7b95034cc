"""Runs one size of a site: caches, bus and load in this process, fronts as child processes."""

import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

from weldbend.testbed.emulator.configuration import listing
from weldbend.testbed.emulator.emulated_site import EmulatedSite
from weldbend.testbed.errors import TestbedError
from weldbend.testbed.load import process_usage
from weldbend.testbed.load.generator import Load
from weldbend.testbed.reactor import ProcessReactor
from weldbend.testbed.scale import call_counter
from weldbend.testbed.scale.figures import ScaleFigures, busiest_fraction, used_fraction
from weldbend.testbed.scale.plan import ScalePlan

SAMPLE_PERIOD = 0.1  # seconds between two samples of the numbers of open descriptors
MAX_START_TIME = 60.0  # seconds within which all fronts must serve
MAX_OVERTIME = 30.0  # seconds after the planned duration of the load within which it must end
DRAIN_TIME = 2.0  # seconds for which a change of the endpoint list shows a cache as draining


class ScaleRunError(TestbedError):
    """A run failed before its figures were complete."""


class FrontEndedError(ScaleRunError):
    """A front ended before the load was complete."""

    def __init__(self, code: int, folder: str) -> None:
        super().__init__(f"a front ended with exit code {code} before the load was complete; log in {folder}")


class RunTimeoutError(ScaleRunError):
    """The start of the fronts, or the load, exceeded its time limit."""

    def __init__(self, part: str, folder: str) -> None:
        super().__init__(f"{part} took longer than its time limit; the logs of the fronts are in {folder}")


class SiteRun:
    """One site with its load and its figures.

    Attributes:
        on_end: Callback with the figures or with the error that ended the run.
        site: The site.
        random: Draws the changes of the endpoint list.
        start_cpu: CPU time of each front until it served, in seconds.
        descriptors: Highest sampled number of open descriptors of each front.
        load: The load; None until the fronts serve.
        figures: Measured figures; None until the load has ended.
        is_over: Whether `on_end` was called.
    """

    def __init__(
        self,
        reactor: ProcessReactor,
        plan: ScalePlan,
        on_end: Callable[[ScaleFigures | ScaleRunError], None],
    ) -> None:
        self.reactor = reactor
        self.plan = plan
        self.on_end = on_end
        self.site = EmulatedSite(reactor, plan.site_settings())
        self.random = Random(plan.seed)
        self.start_cpu: list[float] = []
        self.descriptors: list[int] = []
        self.load: Load | None = None
        self.figures: ScaleFigures | None = None
        self.is_over = False

    def start(self) -> None:
        """Start the fronts, then the load."""
        preludes = [call_counter.prelude(path) for path in self._call_files()]
        options = ("--log-form", "json")
        self.site.start(self._on_ready, self._on_front_end, options, preludes=preludes)
        self._schedule_timeout(MAX_START_TIME, "starting", lambda: self.load is None)

    def _call_files(self) -> list[Path]:
        """Return the files to which the fronts write their numbers of calls; none if they are not counted."""
        numbers = range(1, self.plan.fronts + 1) if self.plan.counts_calls else ()
        return [self.site.folder / f"front-{number}.calls" for number in numbers]

    def _schedule_timeout(self, seconds: float, part: str, is_unfinished: Callable[[], bool]) -> None:
        def check() -> None:
            if is_unfinished():
                self._end(RunTimeoutError(part, str(self.site.folder)))

        self.reactor.callLater(seconds, check)

    def _on_ready(self) -> None:
        plan = self.plan
        self.start_cpu = [process_usage.usage(pid).cpu for pid in self.site.pids()]
        self.descriptors = [0] * plan.fronts
        if plan.counts_calls:
            for pid in self.site.pids():
                os.kill(pid, call_counter.START_SIGNAL)
        self._sample()
        sizes = self.site.settings.sizes
        self.load = Load(self.reactor, plan.load_plan(), self.site.fronts, sizes, self._on_load_end)
        self.load.start()
        self._change_list()
        self._schedule_timeout(plan.seconds + MAX_OVERTIME, "the load", lambda: self.figures is None)

    def _sample(self) -> None:
        if self.is_over or self.figures:
            return
        counts = [len(os.listdir(f"/proc/{pid}/fd")) for pid in self.site.pids()]
        self.descriptors = [max(pair) for pair in zip(self.descriptors, counts, strict=True)]
        self.reactor.callLater(SAMPLE_PERIOD, self._sample)

    def _change_list(self) -> None:
        """Publish a change: a cache is listed as draining, and as up again after DRAIN_TIME."""
        rate = self.plan.changes_per_second()
        if self.is_over or self.figures or not rate:
            return
        entry = self.random.choice(self.site.targets[:-1])  # the origin is the last
        self._publish(entry, "draining")
        self.reactor.callLater(DRAIN_TIME, self._publish, entry, "up")
        self.reactor.callLater(2 / rate, self._change_list)

    def _publish(self, entry: dict[str, object], state: str) -> None:
        change = listing(0, entry | {"state": state})["topology"]
        self.site.bus.publish(topology=change | {"rev": len(self.site.bus.events) + 1})

    def _on_load_end(self, load: Load) -> None:
        self.figures = self._measure(load)
        self.site.stop()

    def _measure(self, load: Load) -> ScaleFigures:
        fronts = self.plan.fronts
        counts = self.site.counts()
        pids = self.site.pids()
        caches = self.site.caches.by_uid.values()
        lookups = [cache.counts.get("asked", 0) for cache in caches if cache.kind == "box"]
        requests = len(load.arrivals)
        connections = sum(cache.counts.get("connections made", 0) for cache in caches)
        return ScaleFigures(
            caches=self.plan.cache_count(),
            requests=requests,
            served=load.tally.counts["fulfilled"] / max(requests, 1),
            start_cpu=sum(self.start_cpu) / fronts,
            cpu=sum(process_usage.usage(pid).cpu for pid in pids) / fronts,
            calls=0.0,
            memory=sum(process_usage.peak_memory(pid) for pid in pids) // fronts,
            descriptors=sum(self.descriptors) / fronts,
            connections=connections / fronts,
            list_bytes=self.site.bus.event_bytes / fronts,
            lookups=sum(lookups),
            edge_hits=counts.get("box hits", 0) / max(requests, 1),
            parent_hits=counts.get("box filled", 0) / max(requests, 1),
            origin_bytes=counts.get("origin bytes read", 0),
            edges_used=used_fraction(lookups),
            busiest_fraction=busiest_fraction(lookups),
        )

    def _on_front_end(self, code: int) -> None:
        if self.figures is None:
            self._end(FrontEndedError(code, str(self.site.folder)))
        elif not self.site.pids():
            calls = [call_counter.read(path) for path in self._call_files()]
            self._end(replace(self.figures, calls=sum(calls) / self.plan.fronts))

    def _end(self, outcome: ScaleFigures | ScaleRunError) -> None:
        if not self.is_over:
            self.is_over = True
            self.site.stop()
            self.on_end(outcome)
