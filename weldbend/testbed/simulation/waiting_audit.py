"""Check that no attempt of a simulated front waits for a connection that nobody is opening.

The condition is `EndpointConnections.has_stranded_attempts`. It is checked after every event of a run, since
a stranded attempt is otherwise noticed only as a request that was answered late.
"""

from weldbend.caches.endpoint_connections import EndpointConnections
from weldbend.testbed.simulation.site import RunContext, SimulatedSite


class WaitingAudit:
    """Adds an error to the run for each cache at which attempts of a front become stranded.

    Attributes:
        stranded: Connections with stranded attempts that have been reported.
    """

    def __init__(self, context: RunContext, site: SimulatedSite) -> None:
        self.context = context
        self.site = site
        self.stranded: set[EndpointConnections] = set()

    def check(self) -> None:
        """Check all fronts; called after each event."""
        for machine, front in self.site.fronts.values():
            for endpoint in front.dispatcher.pool.waiting_endpoints:
                if endpoint.has_stranded_attempts() and endpoint not in self.stranded:
                    self.stranded.add(endpoint)
                    self._report(machine.name, endpoint)

    def _report(self, front_name: str, endpoint: EndpointConnections) -> None:
        network = self.context.network
        network.errors.append(
            f"{network.events.now:.4f} {front_name}: {len(endpoint.waiting)} attempts wait at cache "
            f"{endpoint.cache} and no connection is being opened for them"
        )
