"""Commands that run plans on fleets, and benchmark fleets: fleet, fleet-measure.

The commands import their implementation themselves, so that the other commands do not load a whole front.
"""

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

import click

from weldbend.testbed.commands.group import SEED, lab, reactor
from weldbend.testbed.faults.plan import InvalidPlanError

if TYPE_CHECKING:
    from weldbend.testbed.fleet.plan import FleetPlan


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of `weldbend lab fleet`.

    Attributes:
        plan_path: Plan of the events; None with `is_driven`.
        seed: Seed of the run.
        is_simulated: Whether the fleet runs in the simulation rather than as real processes.
        is_driven: Whether commands are read from standard input.
        fronts: Number of fronts, with `is_driven`.
        zones: Zones of the fronts in turn, separated by commas, with `is_driven`.
        folder: Directory for configurations and logs, with `is_driven`.
    """

    plan_path: str | None
    seed: int
    is_simulated: bool
    is_driven: bool
    fronts: int
    zones: str
    folder: str | None


@lab.command("fleet")
@click.option("--plan", "plan_path", help="plan of the events (INI), see docs/fleet.md")
@SEED
@click.option("--virtual", "is_simulated", is_flag=True, help="use a virtual clock and no real processes")
@click.option(
    "--lines", "is_driven", is_flag=True, help="read commands from standard input, a JSON object each"
)
@click.option(
    "--fronts", type=click.IntRange(1, 64), default=3, show_default=True, help="number, with --lines"
)
@click.option("--zones", default="", help="with --lines: zones of the fronts in turn, separated by commas")
@click.option("--folder", help="with --lines: directory for configurations and logs")
def fleet_command(**options: object) -> None:
    """Run a fleet of fronts as real processes with faults between them, and print a verdict."""
    fleet_options = FleetOptions(**options)  # type: ignore[arg-type]  # click has checked them
    if fleet_options.is_driven:
        run_lines(fleet_options)
    elif fleet_options.plan_path:
        run_plan(fleet_options, fleet_options.plan_path)
    else:
        message = "give --plan FILE, or --lines"
        raise click.ClickException(message)


def run_lines(options: FleetOptions) -> None:
    """Execute the commands on standard input."""
    from weldbend.testbed.fleet.line_commands import run_line_commands
    from weldbend.testbed.fleet.plan import parse_names

    zones = parse_names(options.zones)
    reactor.callWhenRunning(run_line_commands, reactor, options.fronts, options.seed, zones, options.folder)
    reactor.run()


def run_plan(options: FleetOptions, path: str) -> None:
    """Run a plan, and exit with status 1 if the verdict is not clean."""
    from weldbend.testbed.fleet.plan import read_plan

    try:
        is_clean = play(options, read_plan(path), path)
    except InvalidPlanError as error:
        raise click.ClickException(str(error)) from None
    if not is_clean:
        raise SystemExit(1)


def play(options: FleetOptions, plan: "FleetPlan", path: str) -> bool:
    """Run a plan that was read from `path`, and return whether the verdict is clean.

    Raises:
        InvalidPlanError: The plan is invalid.
    """
    from weldbend.testbed.fleet import plan_runner

    if options.is_simulated:
        from weldbend.testbed.simulation.seed_search import silence_fronts

        silence_fronts()
        return plan_runner.play_simulated(plan, options.seed, path)
    run = plan_runner.ProcessRun(reactor, plan, options.seed, path)
    reactor.callWhenRunning(run.start)
    reactor.run()
    return run.is_clean


@lab.command("fleet-measure")
@click.argument("what")
def fleet_measure(what: str) -> None:
    """Run a benchmark of fleets: gain, popularity, detect, real, cost or newcomer.

    Prints one JSON line per row. docs/fleet.md has the figures of detect only.
    """
    from weldbend.testbed.fleet.benchmarks import BENCHMARKS
    from weldbend.testbed.simulation.seed_search import silence_fronts

    silence_fronts()
    if what not in BENCHMARKS:
        message = f"{what!r:.20} is none of {', '.join(BENCHMARKS)}"
        raise click.ClickException(message)
    for row in BENCHMARKS[what]():
        click.echo(json.dumps(row))
