"""The deterministic simulation: whole fronts on a virtual clock and network, a run from one integer.

Entry points are `simulation.run.Run` (one site), `simulation.seed_search.search` (many seeds) and
`fleet.simulated_fleet.FleetRun` (fronts that form a fleet). They are not re-exported here: importing them
loads a whole front, which users of the event queue and the network alone do not need.
"""

from weldbend.testbed.simulation.event_queue import DelayedCall, EventQueue
from weldbend.testbed.simulation.network import VirtualNetwork

__all__ = ["DelayedCall", "EventQueue", "VirtualNetwork"]
