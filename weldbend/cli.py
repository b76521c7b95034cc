"""Command-line interface: serving, validation of a configuration, version."""

import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import click

from weldbend import __version__, logs
from weldbend.front.configuration import ConfigurationError, Site, read_site

if TYPE_CHECKING:
    from weldbend.fleet.settings import FleetSettings
    from weldbend.installation.reader import Installation


class InvalidInstallationError(ConfigurationError):
    """An installation file that cannot be used.

    Attributes:
        reason: Description of the problem, which names the file.
    """

    def __init__(self, reason: object) -> None:
        super().__init__(f"installation {reason}")
        self.reason = reason


class InvalidSectionError(InvalidInstallationError):
    """A section that refers to an unusable key file, or to a request class that is not configured.

    Attributes:
        path: Path of the installation file.
        section: Name of the section.
        reason: Description of the problem, which names file and section.
    """

    def __init__(self, path: str, section: str, reason: object) -> None:
        super().__init__(f"{path}: [{section}] {reason}")
        self.path = path
        self.section = section


def read_installation_file(path: str | None) -> "Installation":
    """Return the settings of an installation file, or the defaults if `path` is None.

    The reader is imported only when it is needed: a front without such a file never loads it.

    Raises:
        InvalidInstallationError: The file cannot be used.
    """
    from weldbend.installation.errors import InstallationError
    from weldbend.installation.reader import read_installation

    try:
        return read_installation(path)
    except InstallationError as error:
        raise InvalidInstallationError(error) from None


def read_configuration(path: str | None, installation: str | None = None) -> Site:
    """Return the configuration of a front, combined with the settings of its installation file.

    Args:
        path: Path of the configuration.
        installation: Path of the installation file, if there is one.

    Raises:
        ConfigurationError: One of the files cannot be used.
        OSError: The configuration cannot be read.
        UnicodeDecodeError: The configuration is not UTF-8.
    """
    site = read_site(Path(path or "").read_text("utf-8"))
    if not installation:
        return site
    sections = read_installation_file(installation).sections
    clients = sections["clients"]
    fleet = replace(sections["fleet"], limits=sections["limits"])
    max_clients = min(clients.max_connections or site.max_clients, site.max_clients)
    site = replace(site, client_settings=clients, max_clients=max_clients)
    if not fleet.listen:
        return site
    _check_fleet(fleet, site, installation)
    return replace(site, fleet=fleet)


def _check_fleet(fleet: "FleetSettings", site: Site, installation: str) -> None:
    """Check that the key file of a fleet can be used, and that its limits name existing request classes.

    Raises:
        InvalidSectionError: The key file cannot be used, or a limit names a request class that the site does
            not have.
    """
    from weldbend.fleet.service import FleetConfigurationError, load_keys

    try:
        load_keys(fleet.key_file)
    except FleetConfigurationError as error:
        raise InvalidSectionError(installation, "fleet", error) from None
    limited = {name for name, _ in (*fleet.limits.leased_rates, *fleet.limits.demand_rates)}
    unknown = sorted(limited - set(site.settings.classes))
    if unknown:
        raise InvalidSectionError(installation, "limits", f"unknown request class {unknown[0]!r}")


def load_configuration(path: str | None, installation: str | None = None) -> Site:
    """Return a configuration, or exit the command with one line that describes the error.

    Raises:
        click.ClickException: The configuration or the installation file cannot be read or used.
    """
    if not path:
        message = "no configuration: give --config or set ROUTER_CONFIG"
        raise click.ClickException(message)
    try:
        return read_configuration(path, installation)
    except (OSError, UnicodeDecodeError) as error:
        message = f"configuration cannot be read: {error}"
        raise click.ClickException(message) from None
    except ConfigurationError as error:
        raise click.ClickException(str(error)) from None


class LazyCommands(click.Group):
    """Group that imports the commands of testbed and fleet only when they are used; `serve` never does."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, without importing the testbed or the fleet."""
        return [*super().list_commands(ctx), "fleet", "lab"]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command; None for an unknown one.

        If the testbed's libraries are not installed, its command is replaced by one without function while
        click only lists or completes commands.

        Raises:
            click.ClickException: The command is the testbed's, and its libraries are not installed.
        """
        if cmd_name == "fleet":
            from weldbend.fleet.cli import fleet

            return fleet
        if cmd_name != "lab":
            return super().get_command(ctx, cmd_name)
        try:
            from weldbend.testbed.cli import lab
        except ImportError as error:
            if ctx.resilient_parsing or cmd_name not in sys.argv:
                return click.Command("lab", help="The testbed (needs requirements-lab.txt).")
            message = f"the testbed needs requirements-lab.txt: {error}"
            raise click.ClickException(message) from None
        return lab


@click.group(cls=LazyCommands, invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """Run or inspect a front for caches of large objects behind thin links."""
    if context.invoked_subcommand is None:
        click.echo(context.get_help())


CONFIG = click.option("--config", envvar="ROUTER_CONFIG", help="the configuration file (JSON)")
INSTALLATION = click.option(
    "--installation",
    envvar="WELDBEND_INSTALLATION",
    help="the installation file (INI); see deploy/weldbend.ini",
)


@main.command()
@CONFIG
@INSTALLATION
@click.option("--log-level", default="INFO", show_default=True, envvar="WELDBEND_LOG")
@click.option("--log-form", type=click.Choice(logs.FORMS), default="text", show_default=True)
def serve(config: str | None, installation: str | None, log_level: str, log_form: str) -> None:
    """Serve requests until SIGTERM."""
    from weldbend.front import server

    try:
        logs.start(log_level, log_form)
    except ValueError:
        message = f"unknown log level {log_level!r:.40}"
        raise click.ClickException(message) from None
    site = load_configuration(config, installation)
    if not server.serve(site, lambda: read_configuration(config, installation)):
        sys.exit(1)


@main.command()
@CONFIG
@INSTALLATION
def check(config: str | None, installation: str | None) -> None:
    """Validate the configuration and the installation file, and print the resulting settings."""
    site = load_configuration(config, installation)
    settings = site.settings
    classes = ", ".join(site.settings.classes)
    click.echo(f"front {site.name} on {site.host}:{site.port}, zone {settings.zone}, hub {settings.hub}")
    click.echo(f"request classes {classes}; bus {site.bus_address} after event {site.bus_offset}")
    click.echo(
        f"connections: {site.max_clients} of clients, {site.cache_limits.max_connections} to caches at most"
    )
    for setting in read_installation_file(installation).settings:
        click.echo(f"[{setting.section}] {setting.key} = {setting.value}  ({setting.origin})")


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata

    click.echo(
        f"weldbend {__version__}, Twisted {metadata.version('twisted')}, Python {sys.version.split()[0]}"
    )
