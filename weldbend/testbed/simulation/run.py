"""One simulated run from one integer: site, load, faults, restarts, endpoint lists and purges."""

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
from weldbend.testbed.simulation.workload import CONNECTIONS_PER_FRONT, Workload


@dataclass
class Result:
    """What a run came to; it is clean where there are no violations, errors and divergences."""

    seed: int
    violations: list[Violation]
    counts: dict[str, int]  # of requests, attempts and outcomes, by name
    log: list[str] = field(repr=False)
    errors: list[str]  # exceptions out of protocols
    injected: dict[str, int] = field(default_factory=dict)  # how often each fault of the plan was injected
    divergences: list[str] = field(default_factory=list)  # on what replicas differ at the end
    byte_digest: str = ""  # of raw bytes and their times: names in the code do not change it

    def digest(self) -> str:
        """Digest of the log."""
        return hashlib.sha256("\n".join(self.log).encode()).hexdigest()


class Run:
    """One run: `play` carries it out.

    A fleet's run overrides `create_front`, `schedule_faults` and `divergences`.
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

    def create_front(self, machine: Machine, site: Site) -> Front:
        """A front that is not started yet."""
        clock = VirtualClock(self.network, unix_step=lambda: self.site.unix_steps[machine.name])
        return Front(machine, site, clock=clock)

    def step_clocks(self) -> None:
        """Schedule the steps of Unix clocks; some are wrong when the fronts start."""
        self.clock_steps.schedule()

    def schedule_faults(self) -> None:
        """Schedule all faults of the run."""
        self.site_faults.schedule()
        self.shutdowns.schedule()

    def divergences(self) -> list[str]:
        """On what fronts that share state differ at the end; these share none."""
        return []

    def play(self) -> Result:
        """Carry out the whole run."""
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
