"""Fleets of fronts in the testbed: simulated ones on a virtual clock, models, and real processes.

Entry points are `simulated_fleet.FleetRun`, `fleet_model.FleetModel`, `processes.FleetSite` and
`plan_player.Player`. They are not re-exported here: each of them loads what the others do without.
"""
