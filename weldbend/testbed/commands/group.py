"""Command group of the testbed, and the options and functions that its commands share."""

import json
from typing import cast

import click
from twisted.internet import reactor as installed_reactor

from weldbend.testbed.load import process_usage
from weldbend.testbed.reactor import ProcessReactor

reactor = cast(ProcessReactor, installed_reactor)

FRONTS = click.option("--fronts", type=click.IntRange(1, 32), default=1, show_default=True)
JSON = click.option("--json", "path", help="file to write the report to; - for standard output")
SEED = click.option("--seed", type=int, default=1, show_default=True)


@click.group()
def lab() -> None:
    """Run emulated sites, load and experiments, all on loopback."""


def show_report(path: str, report: object) -> None:
    """Write a report as JSON, to standard output if the path is `-`."""
    if path == "-":
        click.echo(json.dumps(report))
    else:
        process_usage.write_report(path, report)


class NotLoopbackError(click.ClickException):
    """The testbed does not use this address; `problem` is the reason, as text."""

    def __init__(self, address: str, problem: str) -> None:
        self.address = address
        super().__init__(f"{address}: {problem}")
