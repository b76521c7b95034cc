"""Commands that play plans on fleets, and measure them: fleet, fleet-measure.

What they run is imported by them, so that the other commands do not load a whole front.
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
    """The options of `weldbend lab fleet`."""

    plan_path: str | None
    seed: int
    is_simulated: bool
    is_driven: bool
    fronts: int
    zones: str  # names, with commas between them
    folder: str | None


@lab.command("fleet")
@click.option("--plan", "plan_path", help="what happens, see docs/fleet.md")
@SEED
@click.option("--virtual", "is_simulated", is_flag=True, help="on the virtual clock, without real processes")
@click.option("--lines", "is_driven", is_flag=True, help="carry out standard input, one JSON object a line")
@click.option("--fronts", type=click.IntRange(1, 64), default=3, show_default=True, help="with --lines")
@click.option("--zones", default="", help="with --lines: of the fronts in turn, with commas between them")
@click.option("--folder", help="with --lines: for configurations and logs")
def fleet_command(**options: object) -> None:
    """Fronts that form a fleet, as real processes, and faults between them; a verdict at the end."""
    chosen = FleetOptions(**options)  # type: ignore[arg-type]  # click has checked them
    if chosen.is_driven:
        run_lines(chosen)
    elif chosen.plan_path:
        run_plan(chosen, chosen.plan_path)
    else:
        message = "give --plan FILE, or --lines"
        raise click.ClickException(message)


def run_lines(options: FleetOptions) -> None:
    """Carry out the lines of standard input."""
    from weldbend.testbed.fleet.line_commands import run_line_commands
    from weldbend.testbed.fleet.plan import parse_names

    zones = parse_names(options.zones)
    reactor.callWhenRunning(run_line_commands, reactor, options.fronts, options.seed, zones, options.folder)
    reactor.run()


def run_plan(options: FleetOptions, path: str) -> None:
    """Play a plan; exits with 1 where the verdict is not clean."""
    from weldbend.testbed.fleet.plan import read_plan

    try:
        is_clean = play(options, read_plan(path), path)
    except InvalidPlanError as error:
        raise click.ClickException(str(error)) from None
    if not is_clean:
        raise SystemExit(1)


def play(options: FleetOptions, plan: "FleetPlan", path: str) -> bool:
    """Play a plan that was read from `path`; returns whether it is clean, and raises InvalidPlanError."""
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
    """Measure a fleet, a JSON line each: gain, popularity, detect, real, cost or newcomer.

    docs/fleet.md has the figures of detect alone.
    """
    from weldbend.testbed.fleet.benchmarks import BENCHMARKS
    from weldbend.testbed.simulation.seed_search import silence_fronts

    silence_fronts()
    if what not in BENCHMARKS:
        message = f"{what!r:.20} is none of {', '.join(BENCHMARKS)}"
        raise click.ClickException(message)
    for row in BENCHMARKS[what]():
        click.echo(json.dumps(row))
