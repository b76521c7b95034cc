"""`weldbend lab fleet --plan`: plays a plan with real processes or on the virtual clock."""

import json

from weldbend.testbed.emulator.emulated_site import SiteSettings
from weldbend.testbed.fleet.plan import FleetPlan
from weldbend.testbed.fleet.plan_player import Player
from weldbend.testbed.fleet.processes import FleetSite, FleetSiteSettings
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings
from weldbend.testbed.load.generator import Load, LoadPlan
from weldbend.testbed.reactor import ProcessReactor

# A comparison that finds differences is repeated: an item may expire between the queries of two fronts.
COMPARISON_INTERVAL = 0.5  # seconds
MAX_COMPARISONS = 12
LOAD_MARGIN = 1.0  # seconds between the end of the load and the end of the plan
REACTOR_STOP_DELAY = 0.3  # seconds between the kill of the fronts and the stop of the reactor
MIN_RATE = 0.1  # requests per second


def print_json(document: dict[str, object]) -> None:
    """Print one line of JSON."""
    print(json.dumps(document), flush=True)


def play_simulated(plan: FleetPlan, seed: int, path: str) -> bool:
    """Play a plan that was read from `path` on the virtual clock; returns whether the verdict is clean.

    Raises:
        InvalidPlanError: The plan names a cache that the site does not have.
    """
    settings = FleetRunSettings(
        fronts=plan.fronts,
        seconds=plan.seconds,
        rate=max(plan.rate, MIN_RATE),
        faults=0,
        fleet_faults=0,
        zones=plan.zones,
        calm=0.0,
    )
    run = FleetRun(seed, settings)
    plan.check_caches(run.site.targets, path)
    run.on_event = lambda event: print_json({"at": round(run.events.now, 3)} | event)
    Player(run).play(plan)
    result = run.play()
    problems = [*map(str, result.violations), *result.errors, *result.divergences]
    print_json({"verdict": problems or "clean", "counts": result.counts, "digest": result.digest()[:16]})
    return not problems


class ProcessRun:
    """A run of a plan with real processes under load; it stops the reactor at the end."""

    def __init__(self, reactor: ProcessReactor, plan: FleetPlan, seed: int, path: str) -> None:
        """Prepare a run of a plan that was read from `path`; `start` starts it.

        Raises:
            InvalidPlanError: The plan names a cache that the site does not have.
        """
        self.reactor = reactor
        self.plan = plan
        self.seed = seed
        settings = FleetSiteSettings(SiteSettings(fronts=plan.fronts), plan.zones)
        self.site = FleetSite(reactor, settings, seed, print_json)
        plan.check_caches(self.site.cache_uids(), path)
        self.pending_fronts = plan.fronts  # number of fronts that are not ready yet
        self.is_clean = False
        self.load: Load | None = None

    def start(self) -> None:
        """Start the fronts; the plan begins when all of them are ready."""
        self.site.on_ready = self._on_ready
        for number in self.site.numbers:
            self.site.start(number)

    def _on_ready(self, number: int) -> None:
        self.pending_fronts -= 1
        if self.pending_fronts:
            return
        self.site.on_ready = lambda number: None
        Player(self.site).play(self.plan)
        self.reactor.callLater(self.plan.seconds, self._compare, MAX_COMPARISONS)
        if self.plan.rate:
            load = LoadPlan(rate=self.plan.rate, seconds=self.plan.seconds - LOAD_MARGIN, seed=self.seed)
            fronts = list(self.site.addresses.values())
            self.load = Load(self.reactor, load, fronts, self.site.settings.site.sizes, lambda _: None)
            self.load.start()

    def _compare(self, comparisons: int) -> None:
        self.site.compare_views(lambda differences: self._report_verdict(differences, comparisons - 1))

    def _report_verdict(self, differences: list[str], comparisons: int) -> None:
        if differences and comparisons:
            self.reactor.callLater(COMPARISON_INTERVAL, self._compare, comparisons)
            return
        self.is_clean = not differences
        counts = dict(self.load.tally.counts) if self.load else {}
        print_json({"verdict": differences or "clean", "counts": counts})
        self.site.end_all()
        self.reactor.callLater(REACTOR_STOP_DELAY, self.reactor.stop)
