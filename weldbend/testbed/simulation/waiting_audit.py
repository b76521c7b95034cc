"""Check that no attempt of a simulated front waits for a connection that nobody is opening.

The condition is that of `CachePool.stranded_attempts`. It is checked after every event of a run, since a
stranded attempt is otherwise noticed only as a request that was answered late.
"""

from weldbend.testbed.simulation.site import RunContext, SimulatedSite


class WaitingAudit:
    """Adds an error to the run for each cache at which attempts of a front become stranded.

    Attributes:
        reported: Names of fronts and numbers of caches that have been reported.
    """

    def __init__(self, context: RunContext, site: SimulatedSite) -> None:
        self.context = context
        self.site = site
        self.reported: set[tuple[str, int]] = set()

    def check(self) -> None:
        """Check all fronts; called after each event."""
        for machine, front in self.site.fronts.values():
            for cache, count in front.dispatcher.pool.stranded_attempts().items():
                self._report(machine.name, cache, count)

    def _report(self, front: str, cache: int, count: int) -> None:
        network = self.context.network
        if (front, cache) not in self.reported:
            self.reported.add((front, cache))
            network.errors.append(
                f"{network.events.now:.4f} {front}: {count} attempts wait at cache {cache} "
                "and no connection is being opened for them"
            )
