"""Commands that play seeds of the deterministic simulation: faults, replay."""

import json
from pathlib import Path

import click

from weldbend.testbed.commands.group import JSON, lab, show_report

MAX_SHOWN = 3  # violations and errors of a seed that are shown

FLEET = click.option("--fleet", is_flag=True, help="fronts that form a fleet, and faults between them")


def parse_seeds(text: str) -> range:
    """A range such as 1..100; raises ClickException."""
    first, dots, last = text.partition("..")
    if not (dots and first.isdigit() and last.isdigit() and int(first) <= int(last)):
        message = f"{text!r:.40} is no range of seeds such as 1..100"
        raise click.ClickException(message)
    return range(int(first), int(last) + 1)


@lab.command("faults")
@click.option("--seeds", required=True, help="from..to, both included")
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True)
@FLEET
@JSON
@click.option("--digests", help="write each seed's digest of raw bytes there, a line a seed")
def faults_command(seeds: str, jobs: int, fleet: bool, path: str | None, digests: str | None) -> None:
    """Play seeds of the deterministic simulation, and fail where a rule is violated."""
    # Here, so that the other commands do not load a whole front.
    from weldbend.testbed.fleet.simulated_fleet import FleetRunSettings
    from weldbend.testbed.simulation.seed_search import search, totals
    from weldbend.testbed.simulation.settings import RunSettings

    reports = []
    for report in search(parse_seeds(seeds), jobs, FleetRunSettings() if fleet else RunSettings()):
        reports.append(report)
        for text in (*report.violations[:MAX_SHOWN], *report.errors[:MAX_SHOWN]):
            click.echo(f"seed {report.seed}: {text}")
    if digests:
        lines = [f"{report.seed} {report.byte_digest}\n" for report in reports]
        Path(digests).write_text("".join(lines), "utf-8")
    found = totals(reports)
    show_report(path or "-", found)
    if failed := sorted({*found["broken"], *found["faulty"]}):
        message = f"seeds {failed} failed: weldbend lab replay"
        raise click.ClickException(message)


@lab.command()
@click.argument("seed", type=int)
@click.option("--trace", is_flag=True, help="all that crossed the sockets, a line a message")
@FLEET
def replay(seed: int, trace: bool, fleet: bool) -> None:
    """Play one seed again, and show its verdict."""
    from weldbend.testbed.fleet.simulated_fleet import FleetRunSettings
    from weldbend.testbed.simulation.seed_search import play, silence_fronts
    from weldbend.testbed.simulation.settings import RunSettings

    silence_fronts()
    result = play(seed, FleetRunSettings() if fleet else RunSettings())
    problems = [*map(str, result.violations), *result.errors, *result.divergences]
    for text in (*(result.log if trace else ()), *problems):
        click.echo(text)
    report = {
        "seed": seed,
        "digest": result.digest(),
        "byte_digest": result.byte_digest,
        "strikes": result.injected,
    }
    click.echo(json.dumps(report | result.counts))
    if problems:
        raise SystemExit(1)
