"""Command that injects faults between two sockets: fault."""

import json

import click

from weldbend.testbed.commands.group import SEED, NotLoopbackError, lab, reactor
from weldbend.testbed.faults.engine import Injector
from weldbend.testbed.faults.plan import InvalidPlanError, read_plan
from weldbend.testbed.faults.proxy import Proxy

SHOW_PERIOD = 0.1  # seconds between two checks for new injections


def loopback_address(address: str) -> tuple[str, int]:
    """Split a loopback address into host and port.

    Raises:
        NotLoopbackError: The address is not on loopback, or has no port.
    """
    host, _, port = address.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        raise NotLoopbackError(address, "no address of loopback with a port")
    return host, int(port)


class InjectionPrinter:
    """Prints each injection once, as one JSON line.

    Attributes:
        injector: Injector whose injections are printed.
        shown: Number of injections printed so far.
    """

    def __init__(self, injector: Injector) -> None:
        self.injector = injector
        self.shown = 0

    def show_new(self) -> None:
        """Print the new injections, and schedule the next call of this method."""
        for injection in self.injector.injections[self.shown :]:
            document = {
                "fault": injection.fault,
                "connection": injection.connection,
                "direction": injection.direction,
                "message": injection.message,
                "offset": injection.offset,
            }
            click.echo(json.dumps(document))
        self.shown = len(self.injector.injections)
        reactor.callLater(SHOW_PERIOD, self.show_new)


@lab.command("fault")
@click.option("--listen", required=True, help="loopback address to accept on")
@click.option("--to", "server", required=True, help="loopback address to connect to")
@click.option("--plan", "plan_path", required=True, help="plan of the faults (INI), see docs/faults.md")
@click.option(
    "--framing", type=click.Choice(["thrift", "lines", "sse", "raw"]), default="thrift", show_default=True
)
@SEED
def fault_command(listen: str, server: str, plan_path: str, framing: str, seed: int) -> None:
    """Forward traffic between two sockets, and inject the faults of a plan, reproducibly by seed."""
    listen_host, listen_port = loopback_address(listen)
    host, port = loopback_address(server)
    try:
        injector = Injector(read_plan(plan_path, framing), seed)
    except InvalidPlanError as error:
        raise click.ClickException(str(error)) from None
    proxy = Proxy(reactor, injector, host, port)
    address = reactor.listenTCP(listen_port, proxy, interface=listen_host).getHost()
    click.echo(json.dumps({"listening": f"{address.host}:{address.port}", "seed": seed}))
    reactor.callWhenRunning(InjectionPrinter(injector).show_new)
    reactor.run()
