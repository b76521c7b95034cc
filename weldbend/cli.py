"""The command line: serve, check of a configuration, version."""

import sys
from pathlib import Path

import click
from loguru import logger

from weldbend import __version__
from weldbend.front.site import BadSite, Site, read_site

FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {message}"


def read(path: str | None) -> Site:
    return read_site(Path(path or "").read_text("utf-8"))


def load(path: str | None) -> Site:
    """Read a configuration, or end with one clear line."""
    if not path:
        raise click.ClickException("no configuration: give --config or set ROUTER_CONFIG")
    try:
        return read(path)
    except (OSError, UnicodeDecodeError) as wrong:
        raise click.ClickException(f"configuration cannot be read: {wrong}") from None
    except BadSite as wrong:
        raise click.ClickException(str(wrong)) from None


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A front for caches of large objects behind thin links."""
    if context.invoked_subcommand is None:
        click.echo(context.get_help())


CONFIG = click.option("--config", envvar="ROUTER_CONFIG", help="the configuration file (JSON)")


@main.command()
@CONFIG
@click.option("--log-level", default="INFO", show_default=True, envvar="WELDBEND_LOG")
def serve(config: str | None, log_level: str) -> None:
    """Serve downloads until SIGTERM."""
    from weldbend.front import life

    logger.remove()
    logger.add(sys.stderr, format=FORMAT, level=log_level.upper(), backtrace=False, diagnose=False)
    if not life.serve(load(config), lambda: read(config)):
        sys.exit(1)


@main.command()
@CONFIG
def check(config: str | None) -> None:
    """Read a configuration and say what a front would make of it."""
    site = load(config)
    kinds = ", ".join(site.facts.types)
    click.echo(f"front {site.name} on {site.host}:{site.port}, zone {site.facts.zone}, hub {site.facts.hub}")
    click.echo(f"content types {kinds}; bus {site.bus} after event {site.offset}")
    click.echo(f"connections: {site.clients} of clients, {site.bounds.descriptors} to caches at most")


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata

    click.echo(
        f"weldbend {__version__}, Twisted {metadata.version('twisted')}, Python {sys.version.split()[0]}"
    )
