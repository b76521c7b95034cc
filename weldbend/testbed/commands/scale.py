"""Commands that compare a site with one of more and smaller caches: scale, and the hidden scale-site."""

import json
from dataclasses import asdict, replace

import click

from weldbend.testbed.commands.group import JSON, SEED, lab, reactor, show_report
from weldbend.testbed.load.child_process import ChildProcess
from weldbend.testbed.scale import report
from weldbend.testbed.scale.bounds import broken_bounds
from weldbend.testbed.scale.figures import ScaleFigures
from weldbend.testbed.scale.plan import ScalePlan
from weldbend.testbed.scale.site_run import ScaleRunError, SiteRun


def play(plan: ScalePlan) -> ScaleFigures:
    """Run one size in a process of its own, so that no state of one size remains for the next.

    Raises:
        ChildEndedError: The process ended without figures; it has printed the reason.
    """
    child = ChildProcess("scale-site", json.dumps(plan.document()))
    try:
        return ScaleFigures(**child.receive())
    finally:
        child.end()


@lab.command("scale-site", hidden=True)
@click.argument("document")
def scale_site(document: str) -> None:
    """Run one size of a site, whose plan is given as JSON, and print its figures as one JSON line."""
    outcomes: list[ScaleFigures | ScaleRunError] = []

    def on_end(outcome: ScaleFigures | ScaleRunError) -> None:
        outcomes.append(outcome)
        reactor.stop()

    run = SiteRun(reactor, ScalePlan(**json.loads(document)), on_end)
    reactor.callWhenRunning(run.start)
    reactor.run()
    outcome = outcomes[0] if outcomes else ScaleRunError("interrupted")
    if isinstance(outcome, ScaleRunError):
        raise click.ClickException(str(outcome))
    click.echo(json.dumps(asdict(outcome)))


@lab.command("scale")
@click.option(
    "--caches", type=click.IntRange(4, 400), default=100, show_default=True, help="edges and parents at 1x"
)
@click.option(
    "--factor",
    "division",
    type=click.IntRange(2, 32),
    default=16,
    show_default=True,
    help="caches at the large size for each at 1x; weight, disk, links and open commands are divided by it",
)
@click.option("--fronts", type=click.IntRange(1, 8), default=1, show_default=True, help="fronts at each size")
@click.option(
    "--rate",
    type=click.FloatRange(1, 500),
    default=40.0,
    show_default=True,
    help="requests a second for each front",
)
@click.option(
    "--seconds",
    type=click.FloatRange(1, 300),
    default=25.0,
    show_default=True,
    help="seconds of load at each size; the whole command takes about 20 s more",
)
@click.option(
    "--changes",
    type=click.FloatRange(0, 50),
    default=1.0,
    show_default=True,
    help="changes of the endpoint list a second, for each hundred caches",
)
@SEED
@click.option(
    "--counted",
    "is_counted_only",
    is_flag=True,
    help="check only counted figures, with function calls in place of CPU seconds, and not memory: the "
    "verdict is the same on any machine; counting slows the fronts down",
)
@click.option("--plot", help="PNG file for a plot of each figure as a fraction of its bound")
@JSON
def scale(is_counted_only: bool, plot: str | None, path: str | None, division: int, **options: float) -> None:
    """Compare a front's resource usage at two numbers of caches of the same total capacity.

    Runs both sizes one after the other on loopback, and prints a table with the bounds on growth. The exit
    status is 1 if a bound is missed.
    """
    plan = ScalePlan(**options, counts_calls=is_counted_only)  # type: ignore[arg-type]  # click has checked them
    usual = play(plan)
    large = play(replace(plan, division=division))
    click.echo(report.table(usual, large, is_counted_only))
    if path:
        show_report(path, {"usual": asdict(usual), "large": asdict(large)})
    if plot:
        report.plot(plot, usual, large)
    if broken := broken_bounds(usual, large, is_counted_only):
        message = f"missed: {', '.join(bound.name for bound in broken)}"
        raise click.ClickException(message)
