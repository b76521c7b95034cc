"""Deterministic simulation: complete fronts on a virtual clock and network; a seed determines the run.

Entry points are `simulation.run.Run` (one site), `simulation.seed_search.search` (many seeds) and
`fleet.simulated_fleet.FleetRun` (fronts that form a fleet). They are not re-exported here: importing them
loads a whole front, which users of only the event queue and the network do not need.
"""

from weldbend.testbed.simulation.event_queue import DelayedCall, EventQueue
from weldbend.testbed.simulation.network import VirtualNetwork

__all__ = ["DelayedCall", "EventQueue", "VirtualNetwork"]
