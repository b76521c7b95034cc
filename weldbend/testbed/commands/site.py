"""Commands that run an emulated site or send load to fronts: up, demo, load."""

import json
from typing import Any

import click
from twisted.internet import stdio
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from weldbend.testbed.commands.group import FRONTS, JSON, SEED, NotLoopbackError, lab, reactor, show_report
from weldbend.testbed.emulator.emulated_site import EmulatedSite, SiteSettings
from weldbend.testbed.emulator.objects import PartSizes
from weldbend.testbed.load import process_usage
from weldbend.testbed.load.generator import Load, LoadPlan

BASE_MEMORY = 192  # memory limit of a front without its sockets, in MB
SOCKETS_PER_MB = 100  # sockets for each additional MB
DEMO_SOCKETS = 1024
PROGRESS_PERIOD = 0.25  # seconds
PROGRESS_WIDTH = 50  # characters

SOCKETS = click.option("--sockets", type=click.IntRange(128, 1_000_000), default=1024, show_default=True)
RATE = click.option("--rate", type=click.FloatRange(1, 2000), default=86.0, show_default=True)


def create_site(fronts: int, sockets: int) -> EmulatedSite:
    """Return an emulated site whose fronts have memory for this number of sockets."""
    memory = BASE_MEMORY + sockets // SOCKETS_PER_MB
    return EmulatedSite(reactor, SiteSettings(fronts=fronts, sockets=sockets, memory_mb=memory))


class StopWithInput(Protocol):
    """Stops a site when standard input ends."""

    def __init__(self, site: EmulatedSite) -> None:
        self.site = site

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Stop the site, because standard input has ended."""
        self.site.stop()


def show_ready(site: EmulatedSite) -> None:
    """Print the addresses of the fronts, and an example command."""
    click.echo(f"fronts serve on {', '.join(site.fronts)}; configurations and logs in {site.folder}")
    click.echo(f"try: weldbend lab load --front {site.fronts[0]} --rate 50 --seconds 10")


def print_ready_json(site: EmulatedSite) -> None:
    """Print one JSON line for the process that started this one.

    That process stops the site by closing the standard input of this one.
    """
    document = {"fronts": site.fronts, "pids": site.pids(), "folder": str(site.folder)}
    click.echo(json.dumps(document))
    stdio.StandardIO(StopWithInput(site))  # type: ignore[no-untyped-call]  # Twisted's


@lab.command()
@FRONTS
@SOCKETS
@click.option("--installation", help="installation file of the fronts")
@click.option("--program", help="another source tree whose weldbend the fronts run")
@click.option(
    "--told",
    "is_child",
    is_flag=True,
    help="print one JSON line when ready, stop at the end of standard input",
)
def up(fronts: int, sockets: int, installation: str | None, program: str | None, is_child: bool) -> None:
    """Run a small site on loopback (bus, edges, parents, origin, fronts) until it is stopped."""
    site = create_site(fronts, sockets)
    exit_codes: list[int] = []

    def on_ready() -> None:
        (print_ready_json if is_child else show_ready)(site)

    def on_end(code: int) -> None:
        exit_codes.append(code)
        if len(exit_codes) == fronts and reactor.running:
            reactor.stop()

    options = ("--installation", installation) if installation else ()
    log_form = () if program else ("--log-form", "json")
    reactor.callWhenRunning(site.start, on_ready, on_end, (*options, *log_form), program)
    reactor.addSystemEventTrigger("before", "shutdown", site.stop)
    reactor.run()
    if any(exit_codes):
        message = f"fronts ended with exit codes {exit_codes}; their logs are in {site.folder}"
        raise click.ClickException(message)


class Demo:
    """A small site with one front, and a load on it once the front is ready.

    The reactor stops when the front has ended.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self.site = create_site(1, DEMO_SOCKETS)
        self.plan = plan
        self.load: Load | None = None
        self.exit_code: int | None = None

    def run(self) -> None:
        """Run the site and its load to the end.

        Raises:
            ClickException: The front ended before the load.
        """
        reactor.callWhenRunning(self.site.start, self._on_ready, self._on_front_end)
        reactor.run()
        if not self.load or not self.load.is_over:
            message = f"the front ended with exit code {self.exit_code}; its log is in {self.site.folder}"
            raise click.ClickException(message)

    def _on_ready(self) -> None:
        settings = self.site.settings
        click.echo(f"a front, {settings.edges} edges, {settings.parents} parents and an origin are up")
        self.load = Load(reactor, self.plan, self.site.fronts, settings.sizes, self._on_load_end)
        self.load.start()
        self._show_progress(self.load)

    def _show_progress(self, load: Load) -> None:
        if not load.is_over:
            counts = load.tally.counts
            click.echo(f"\r{counts['asked']:>6} asked, {counts['fulfilled']:>6} fulfilled ", nl=False)
            reactor.callLater(PROGRESS_PERIOD, self._show_progress, load)

    def _on_load_end(self, load: Load) -> None:
        click.echo("\r" + " " * PROGRESS_WIDTH + "\r", nl=False)
        self.site.stop()

    def _on_front_end(self, code: int) -> None:
        self.exit_code = code
        reactor.stop()

    def report(self) -> dict[str, Any]:
        """Return the results of the load and the counters of all caches."""
        assert self.load
        return self.load.tally.report() | {"boxes": self.site.counts()}


@lab.command()
@RATE
@click.option("--seconds", type=click.FloatRange(1, 600), default=6.0, show_default=True)
@SEED
@JSON
def demo(rate: float, seconds: float, seed: int, path: str | None) -> None:
    """Run a small site with some seconds of real requests, and print a table of the results."""
    run = Demo(LoadPlan(rate=rate, seconds=seconds, seed=seed))
    run.run()
    report = run.report()
    if path:
        show_report(path, report)
    for line in summary(report):
        click.echo(line)
    if not report["counts"].get("fulfilled"):
        message = f"nothing was served; the front's log is in {run.site.folder}"
        raise click.ClickException(message)


def summary(report: dict[str, Any]) -> list[str]:
    """Return the lines of a table with the results of a load and the counters of the caches."""
    counts = report["counts"]
    caches = report["boxes"]
    latency = report["latency_ms"]
    rows = [
        ["requests", counts.get("asked", 0)],
        ["served", counts.get("fulfilled", 0)],
        ["rejected", counts.get("throttled", 0)],
        ["failed", counts.get("abandoned", 0)],
        ["lost or unanswered", counts.get("lost", 0) + counts.get("unanswered", 0)],
        ["hits at the edges", caches.get("box hits", 0)],
        ["fills from parents", caches.get("box filled", 0)],
        ["fills from the origin", caches.get("box filled from origin", 0)],
        ["fills joined", caches.get("box joined", 0)],
        ["p50, ms", float(latency["p50"])],
        ["p99, ms", float(latency["p99"])],
    ]
    return process_usage.table(rows, ["", ""]).splitlines()[1:]


@lab.command()
@click.option("--front", "fronts", multiple=True, required=True, help="address of a front; may be repeated")
@RATE
@click.option("--seconds", type=click.FloatRange(1, 600), default=10.0, show_default=True)
@SEED
@click.option("--plot", help="PNG file for a plot of the latencies")
@JSON
def load(
    fronts: tuple[str, ...], rate: float, seconds: float, seed: int, plot: str | None, path: str | None
) -> None:
    """Send open-loop load to fronts on loopback, with latency counted from the intended start."""
    for front in fronts:
        if not front.startswith("127."):
            raise NotLoopbackError(front, "load goes to loopback only")
    plan = LoadPlan(rate=rate, seconds=seconds, seed=seed)
    run = Load(reactor, plan, list(fronts), PartSizes(), lambda load: reactor.stop())
    reactor.callWhenRunning(run.start)
    reactor.run()
    if not run.is_over:
        message = "the process ended before the load was complete"
        raise click.ClickException(message)
    report = run.tally.report()
    if plot:
        label = f"{rate:g} a second"
        process_usage.plot(plot, {label: report["histogram"]}, "latency of served requests")
    show_report(path or "-", report)
