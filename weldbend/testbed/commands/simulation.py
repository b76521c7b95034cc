"""Commands that run seeds of the deterministic simulation: faults, replay."""

import json
from pathlib import Path

import click

from weldbend.testbed.commands.group import JSON, lab, show_report

MAX_SHOWN = 3  # maximum number of violations, and of errors, shown for each seed

FLEET = click.option("--fleet", is_flag=True, help="simulate a fleet of fronts with faults between them")


def parse_seeds(text: str) -> range:
    """Parse a range of seeds such as 1..100.

    Raises:
        ClickException: The text is not such a range.
    """
    first, dots, last = text.partition("..")
    if not (dots and first.isdigit() and last.isdigit() and int(first) <= int(last)):
        message = f"{text!r:.40} is not a range of seeds such as 1..100"
        raise click.ClickException(message)
    return range(int(first), int(last) + 1)


@lab.command("faults")
@click.option("--seeds", required=True, help="range such as 1..100, both ends included")
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True)
@FLEET
@JSON
@click.option("--digests", help="file to write the digests of raw bytes to, one line per seed")
def faults_command(seeds: str, jobs: int, fleet: bool, path: str | None, digests: str | None) -> None:
    """Run seeds of the deterministic simulation, and fail if a rule is violated."""
    # Imported here, so that the other commands do not load a whole front.
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
        message = f"seeds {failed} failed; run one again with weldbend lab replay"
        raise click.ClickException(message)


@lab.command()
@click.argument("seed", type=int)
@click.option("--trace", is_flag=True, help="print all messages on the sockets, one per line")
@FLEET
def replay(seed: int, trace: bool, fleet: bool) -> None:
    """Run one seed again, and show its verdict."""
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
