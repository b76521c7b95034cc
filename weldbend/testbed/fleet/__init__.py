"""Fleets of fronts in the testbed: models, simulated fronts on a virtual clock, and real processes.

The entry points are `simulated_fleet.FleetRun`, `fleet_model.FleetModel`, `processes.FleetSite` and
`plan_player.Player`. They are not re-exported here, because each
of them imports modules that the others do not need.
"""
