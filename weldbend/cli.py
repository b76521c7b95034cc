"""The command line: serve, check of a configuration, version."""

import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import click

from weldbend import __version__, logs
from weldbend.front.configuration import ConfigurationError, Site, read_site

if TYPE_CHECKING:
    from weldbend.installation.reader import Installation


def installed(path: str | None) -> "Installation":
    """What an installation file sets; raises BadSite. Imported only where it is asked for: see README."""
    from weldbend.installation.errors import InstallationError
    from weldbend.installation.reader import read_installation

    try:
        return read_installation(path)
    except InstallationError as wrong:
        raise ConfigurationError(f"installation {wrong}") from None


def read(path: str | None, installation: str | None = None) -> Site:
    """A front's configuration together with its installation file; raises BadSite, OSError."""
    site = read_site(Path(path or "").read_text("utf-8"))
    if installation:
        sections = installed(installation).sections
        terms, fleet = sections["clients"], replace(sections["fleet"], limits=sections["limits"])
        site = replace(site, terms=terms, clients=min(terms.max_connections or site.clients, site.clients))
        if fleet.listen:
            from weldbend.fleet.service import FleetConfigurationError, keys_of

            try:
                keys_of(fleet.keys)
            except FleetConfigurationError as wrong:
                raise ConfigurationError(f"installation {installation}: [fleet] {wrong}") from None
            strange = {name for name, _ in (*fleet.limits.strict, *fleet.limits.soft)} - set(
                site.settings.classes
            )
            if strange:
                raise ConfigurationError(
                    f"installation {installation}: [limits] no content type {sorted(strange)[0]!r}"
                )
            site = replace(site, fleet=fleet)
    return site


def load(path: str | None, installation: str | None = None) -> Site:
    """Read a configuration, or end with one clear line."""
    if not path:
        raise click.ClickException("no configuration: give --config or set ROUTER_CONFIG")
    try:
        return read(path, installation)
    except (OSError, UnicodeDecodeError) as wrong:
        raise click.ClickException(f"configuration cannot be read: {wrong}") from None
    except ConfigurationError as wrong:
        raise click.ClickException(str(wrong)) from None


class Commands(click.Group):
    """Loads the laboratory and the fleet's commands only when they are asked for: a front never does."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*super().list_commands(ctx), "fleet", "lab"]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name == "fleet":
            from weldbend.fleet.cli import fleet

            return fleet
        if cmd_name != "lab":
            return super().get_command(ctx, cmd_name)
        try:
            from weldbend.testbed.cli import lab
        except ImportError as wrong:
            if ctx.resilient_parsing or cmd_name not in sys.argv:
                return click.Command("lab", help="The laboratory (needs requirements-lab.txt).")
            raise click.ClickException(f"the laboratory needs requirements-lab.txt: {wrong}") from None
        return lab


@click.group(cls=Commands, invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A front for caches of large objects behind thin links."""
    if context.invoked_subcommand is None:
        click.echo(context.get_help())


CONFIG = click.option("--config", envvar="ROUTER_CONFIG", help="the configuration file (JSON)")
INSTALLATION = click.option(
    "--installation",
    envvar="WELDBEND_INSTALLATION",
    help="our own file of keys (INI), see deploy/weldbend.ini",
)


@main.command()
@CONFIG
@INSTALLATION
@click.option("--log-level", default="INFO", show_default=True, envvar="WELDBEND_LOG")
@click.option("--log-form", type=click.Choice(logs.FORMS), default="text", show_default=True)
def serve(config: str | None, installation: str | None, log_level: str, log_form: str) -> None:
    """Serve downloads until SIGTERM."""
    from weldbend.front import server

    try:
        logs.start(log_level, log_form)
    except ValueError:
        raise click.ClickException(f"unknown log level {log_level!r:.40}") from None
    if not server.serve(load(config, installation), lambda: read(config, installation)):
        sys.exit(1)


@main.command()
@CONFIG
@INSTALLATION
def check(config: str | None, installation: str | None) -> None:
    """Read configuration and installation file, and say what a front would make of them."""
    site = load(config, installation)
    kinds = ", ".join(site.settings.classes)
    click.echo(
        f"front {site.name} on {site.host}:{site.port}, zone {site.settings.zone}, hub {site.settings.hub}"
    )
    click.echo(f"content types {kinds}; bus {site.bus} after event {site.offset}")
    click.echo(f"connections: {site.clients} of clients, {site.bounds.descriptors} to caches at most")
    for setting in installed(installation).settings:
        click.echo(f"[{setting.section}] {setting.key} = {setting.value}  ({setting.origin})")


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata

    click.echo(
        f"weldbend {__version__}, Twisted {metadata.version('twisted')}, Python {sys.version.split()[0]}"
    )
