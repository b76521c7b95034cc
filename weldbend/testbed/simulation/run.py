"""Simulated run of one seed: site, load, faults, restarts, endpoint lists and purges."""

import hashlib
import random
from dataclasses import dataclass, field

from weldbend.front.configuration import Site
from weldbend.front.server import Front
from weldbend.testbed.faults.engine import Injector
from weldbend.testbed.simulation.auditor import Auditor, Violation
from weldbend.testbed.simulation.clock_steps import ClockSteps
from weldbend.testbed.simulation.front_shutdowns import FrontShutdowns
from weldbend.testbed.simulation.machine import Machine
from weldbend.testbed.simulation.network import VirtualNetwork
from weldbend.testbed.simulation.observation import Observation
from weldbend.testbed.simulation.run_log import RunLog
from weldbend.testbed.simulation.settings import RULES, RunSettings, draw_plan
from weldbend.testbed.simulation.site import RunContext, SimulatedSite
from weldbend.testbed.simulation.site_faults import SiteFaults
from weldbend.testbed.simulation.virtual_clock import VirtualClock
from weldbend.testbed.simulation.waiting_audit import WaitingAudit
from weldbend.testbed.simulation.workload import CONNECTIONS_PER_FRONT, Workload


@dataclass
class Result:
    """Result of a run; the run passed if there are no violations, errors or divergences."""

    seed: int
    violations: list[Violation]
    counts: dict[str, int]  # numbers of requests, attempts and outcomes, by name
    log: list[str] = field(repr=False)
    errors: list[str]  # exceptions raised by protocols, and stranded attempts
    injected: dict[str, int] = field(default_factory=dict)  # number of injections, by fault of the plan
    divergences: list[str] = field(default_factory=list)  # differences between replicas at the end
    byte_digest: str = ""  # of raw bytes and their times; independent of names in the code

    def digest(self) -> str:
        """Return the digest of the log."""
        return hashlib.sha256("\n".join(self.log).encode()).hexdigest()


class Run:
    """Simulated run of one seed; `play` executes it.

    The run of a fleet overrides `create_front`, `schedule_faults` and `divergences`.
    """

    settings: RunSettings

    def __init__(self, seed: int, settings: RunSettings | None = None) -> None:
        self.seed = seed
        self.settings = settings or RunSettings()
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(seed + 1)
        self.events = self.network.events
        self.log = RunLog(self.events)
        self.auditor = Auditor(RULES)
        self.injector = Injector(draw_plan(self.rng, self.settings.connection_faults), seed)
        context = RunContext(seed, self.settings, self.rng, self.network, self.log, self.auditor)
        self.site = SimulatedSite(context, self.create_front)
        self.workload = Workload(context, self.site.sizes)
        self.site_faults = SiteFaults(context, self.site)
        self.shutdowns = FrontShutdowns(context, self.site)
        self.clock_steps = ClockSteps(context, self.site)
        self.observation = Observation(context, self.site, self.injector)
        self.events.after_call = WaitingAudit(context, self.site).check

    def create_front(self, machine: Machine, site: Site) -> Front:
        """Create a front without starting it."""
        clock = VirtualClock(self.network, unix_step=lambda: self.site.unix_steps[machine.name])
        return Front(machine, site, clock=clock)

    def step_clocks(self) -> None:
        """Schedule the steps of Unix clocks; the first may occur before the fronts start."""
        self.clock_steps.schedule()

    def schedule_faults(self) -> None:
        """Schedule all faults of the run."""
        self.site_faults.schedule()
        self.shutdowns.schedule()

    def divergences(self) -> list[str]:
        """Return differences of the state shared between fronts; without a fleet, none is shared."""
        return []

    def play(self) -> Result:
        """Execute the whole run."""
        self.network.on_connection = self.observation.on_connection
        self.step_clocks()
        for number in self.workload.connections:
            self.site.start_front(number)
            for _ in range(CONNECTIONS_PER_FRONT):
                self.workload.connect(number)
        self.workload.schedule()
        self.schedule_faults()
        self.events.run(self.settings.seconds + self.settings.settling)
        return Result(
            seed=self.seed,
            violations=self.auditor.verdict(self.events.now),
            counts=dict(self.auditor.counts),
            log=self.log.lines,
            errors=self.network.errors,
            injected=dict(self.injector.injected),
            divergences=self.divergences(),
            byte_digest=self.network.byte_digest(),
        )
