"""The command group of the testbed, and what its commands share."""

import json
from typing import cast

import click
from twisted.internet import reactor as installed_reactor

from weldbend.testbed.load import process_usage
from weldbend.testbed.reactor import ProcessReactor

reactor = cast(ProcessReactor, installed_reactor)

FRONTS = click.option("--fronts", type=click.IntRange(1, 32), default=1, show_default=True)
JSON = click.option("--json", "path", help="write the report there; - for standard output")
SEED = click.option("--seed", type=int, default=1, show_default=True)


@click.group()
def lab() -> None:
    """Emulated sites, load and experiments, all on loopback."""


def show_report(path: str, report: object) -> None:
    """Write a report as JSON, to standard output where the path is `-`."""
    if path == "-":
        click.echo(json.dumps(report))
    else:
        process_usage.write_report(path, report)


class NotLoopbackError(click.ClickException):
    """An address that the testbed does not use; `problem` says why."""

    def __init__(self, address: str, problem: str) -> None:
        self.address = address
        super().__init__(f"{address}: {problem}")
