"""Planned restarts of fronts: SIGTERM, then SIGKILL at the earliest time at which the platform may send it.

Clients continue to send on open connections until then. No request that the front has accepted is excused.
"""

from random import Random

from weldbend.testbed.simulation.machine import Machine
from weldbend.testbed.simulation.site import RunContext, SimulatedSite

MAX_SHUTDOWN_WAIT = 3.0  # seconds; upper bound of the wait for the longest deadline
KILL_MARGIN = 0.7  # seconds from the end of that wait to SIGKILL
RESTART_DELAY = 0.3  # seconds from SIGKILL to the next start
EARLIEST_SHUTDOWN = 1.0  # seconds after the start of the run


class FrontShutdowns:
    """Shuts down one front of a run and restarts it."""

    def __init__(self, context: RunContext, site: SimulatedSite) -> None:
        self.context = context
        self.site = site
        self.random = Random(f"{context.seed} shutdowns")

    def schedule(self) -> None:
        """Schedule the shutdown of a run."""
        at = self.random.uniform(
            EARLIEST_SHUTDOWN, max(self.context.settings.seconds - 1.0, EARLIEST_SHUTDOWN)
        )
        self.site.events.schedule(at, lambda: self.shut_down(self.random.choice(sorted(self.site.fronts))))

    def shut_down(self, number: int) -> None:
        """Send a front SIGTERM, and SIGKILL if it still runs at the earliest time allowed for it."""
        machine, front = self.site.fronts[number]
        if not machine.is_alive:
            return
        self.context.log.add(f"front {number} is told to stop")
        self.context.auditor.on_front_stopping(machine.name)
        machine.run_guarded(front.terminate)
        max_deadline = max(kind.deadline_after for kind in front.site.settings.classes.values())
        kill_after = min(max_deadline, MAX_SHUTDOWN_WAIT) + KILL_MARGIN
        self.site.events.schedule(kill_after, lambda: self._kill(number, machine))

    def _kill(self, number: int, machine: Machine) -> None:
        if not machine.is_alive and not machine.is_stopped:
            return  # killed by another fault, which also restarts it
        if machine.is_alive:
            self.context.auditor.counts["fronts killed at the end of a shutdown"] += 1
            machine.kill()
        self.site.events.schedule(RESTART_DELAY, lambda: self.site.start_front(number))
