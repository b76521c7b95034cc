"""`weldbend lab`: the laboratory's commands."""

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
from twisted.internet import reactor as _reactor

from weldbend.testbed.emulator.emulated_site import Shape, Site
from weldbend.testbed.load import connection_holder, idle_benchmark, process_usage
from weldbend.testbed.load.generator import Load, Plan

reactor: Any = _reactor
LONG_IDLE = """[clients]
first-call = 2 s
idle = 1 h
"""


@click.group()
def lab() -> None:
    """Emulated sites, load and experiments, all on loopback."""


FRONTS = click.option("--fronts", type=click.IntRange(1, 32), default=1, show_default=True)
SOCKETS = click.option("--sockets", type=click.IntRange(128, 1_000_000), default=1024, show_default=True)
JSON = click.option("--json", "path", help="write the report there; - for standard output")


def options(installation: str | None) -> tuple[str, ...]:
    return ("--installation", installation) if installation else ()


def begin(fronts: int, sockets: int) -> Site:
    memory = 192 + sockets // 100
    return Site(reactor, Shape(fronts=fronts, sockets=sockets, memory_mb=memory))


@lab.command()
@FRONTS
@SOCKETS
@click.option("--installation", help="installation file of the fronts")
@click.option("--program", help="another tree whose weldbend the fronts run")
@click.option("--told", is_flag=True, help="print one JSON line when ready, end with standard input")
def up(fronts: int, sockets: int, installation: str | None, program: str | None, told: bool) -> None:
    """A small site on loopback (bus, edges, parents, origin, fronts) until it is ended."""
    site = begin(fronts, sockets)
    ended: list[int] = []

    def ready() -> None:
        if told:
            held = {"fronts": site.fronts, "pids": site.pids(), "folder": str(site.folder)}
            click.echo(json.dumps(held))
            from twisted.internet import stdio
            from twisted.internet.protocol import Protocol

            class Input(Protocol):
                def connectionLost(self, reason: Any = None) -> None:
                    site.stop()

            stdio.StandardIO(Input())
            return
        click.echo(f"fronts serve on {', '.join(site.fronts)}; configurations and logs in {site.folder}")
        click.echo(f"try: weldbend lab load --front {site.fronts[0]} --rate 50 --seconds 10")

    def over(code: int) -> None:
        ended.append(code)
        if len(ended) == fronts and reactor.running:
            reactor.stop()

    form = () if program else ("--log-form", "json")
    reactor.callWhenRunning(site.start, ready, over, (*options(installation), *form), program)
    reactor.addSystemEventTrigger("before", "shutdown", site.stop)
    reactor.run()
    if any(ended):
        raise click.ClickException(f"fronts ended with {ended}; their logs are in {site.folder}")


@lab.command()
@click.option("--rate", type=click.FloatRange(1, 2000), default=86.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 600), default=6.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@JSON
def demo(rate: float, seconds: float, seed: int, path: str | None) -> None:
    """A small site, some seconds of real downloads, and a table of what became of them."""
    site, plan = begin(1, 1024), Plan(rate=rate, seconds=seconds, seed=seed)
    loads: list[Load] = []
    codes: list[int] = []

    def ready() -> None:
        click.echo(f"a front, {site.shape.edges} edges, {site.shape.parents} parents and an origin are up")
        load = Load(reactor, plan, site.fronts, site.shape.sizes, done)
        loads.append(load)
        load.start()
        progress()

    def progress() -> None:
        if not loads[0].over:
            counts = loads[0].tally.counts
            click.echo(f"\r{counts['asked']:>6} asked, {counts['fulfilled']:>6} fulfilled ", nl=False)
            reactor.callLater(0.25, progress)

    def done(load: Load) -> None:
        click.echo("\r" + " " * 50 + "\r", nl=False)
        site.stop()

    def over(code: int) -> None:
        codes.append(code)
        reactor.stop()

    reactor.callWhenRunning(site.start, ready, over)
    reactor.run()
    if not loads or not loads[0].over:
        raise click.ClickException(f"the front ended with {codes}; its log is in {site.folder}")
    report = loads[0].tally.report() | {"boxes": site.counts()}
    if path:
        show(path, report)
    for line in summary(report):
        click.echo(line)
    if loads[0].tally.counts["fulfilled"] == 0:
        raise click.ClickException(f"nothing was fulfilled; the front's log is in {site.folder}")


def summary(report: dict[str, Any]) -> list[str]:
    counts, boxes, latency = report["counts"], report["boxes"], report["latency_ms"]
    rows = [
        ["downloads asked", counts.get("asked", 0)],
        ["fulfilled", counts.get("fulfilled", 0)],
        ["throttled", counts.get("throttled", 0)],
        ["abandoned", counts.get("abandoned", 0)],
        ["lost or unanswered", counts.get("lost", 0) + counts.get("unanswered", 0)],
        ["hits at the edges", boxes.get("box hits", 0)],
        ["fills from parents", boxes.get("box filled", 0)],
        ["fills from the origin", boxes.get("box filled from origin", 0)],
        ["fills joined", boxes.get("box joined", 0)],
        ["p50, ms", float(latency["p50"])],
        ["p99, ms", float(latency["p99"])],
    ]
    return process_usage.table(rows, ["", ""]).splitlines()[1:]


def show(path: str, report: Any) -> None:
    if path == "-":
        click.echo(json.dumps(report))
    else:
        process_usage.write(path, report)


@lab.command()
@click.option("--front", "fronts", multiple=True, required=True, help="address of a front; may be repeated")
@click.option("--rate", type=click.FloatRange(1, 2000), default=86.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 600), default=10.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--plot", help="draw the latencies as a PNG there")
@JSON
def load(
    fronts: tuple[str, ...], rate: float, seconds: float, seed: int, plot: str | None, path: str | None
) -> None:
    """Open-loop load against fronts on loopback, latency counted from the intended start."""
    for front in fronts:
        if not front.startswith("127."):
            raise click.ClickException(f"{front}: load goes to loopback only")
    plan, found = Plan(rate=rate, seconds=seconds, seed=seed), []

    def done(load: Load) -> None:
        found.append(load)
        reactor.stop()

    from weldbend.testbed.emulator.objects import Sizes

    playing = Load(reactor, plan, list(fronts), Sizes(), done)
    reactor.callWhenRunning(playing.start)
    reactor.run()
    if not found:
        raise click.ClickException("ended before the load was over")
    report = found[0].tally.report()
    if plot:
        process_usage.plot(
            plot, {f"{rate:g} a second": report["histogram"]}, "latency of fulfilled downloads"
        )
    show(path or "-", report)


@lab.command("hold", hidden=True)
@click.option("--front", required=True)
@click.option("--seed", type=int, default=1)
def hold_command(front: str, seed: int) -> None:
    """Hold idle connections, told by lines on standard input (see load/connection_holder.py)."""
    connection_holder.main(front, seed)


@lab.command("idle")
@click.option("--connections", type=click.IntRange(1, 200_000), default=5000, show_default=True)
@click.option("--busy-rate", type=click.FloatRange(1, 1000), default=86.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(2, 120), default=10.0, show_default=True)
@click.option("--pairs", type=click.IntRange(0, 20), default=1, show_default=True)
@click.option("--wake", "shares", type=click.FloatRange(0, 1), multiple=True, help="share woken at once")
@click.option("--wake-with", type=click.Choice(["probe", "photo"]), default="photo", show_default=True)
@click.option("--memory", "counts", type=click.IntRange(1, 19_000), multiple=True, help="measure bytes at")
@click.option("--before", help="another tree, to measure memory of before")
@click.option("--open-rate", type=click.FloatRange(1, 5000), default=2500.0, show_default=True)
@click.option("--fronts", type=click.IntRange(1, 32), default=1, show_default=True)
@click.option("--park-after", default="500 ms", show_default=True, help="0 s parks none, to compare")
@click.option("--plot", help="draw the busy latencies as a PNG there")
@JSON
def idle_command(
    connections: int,
    busy_rate: float,
    seconds: float,
    pairs: int,
    shares: tuple[float, ...],
    wake_with: str,
    counts: tuple[int, ...],
    before: str | None,
    open_rate: float,
    fronts: int,
    park_after: str,
    plot: str | None,
    path: str | None,
) -> None:
    """What idle connections cost: memory, upkeep, busy latency beside them, and wakes at once."""
    with tempfile.TemporaryDirectory(prefix="weldbend-idle-") as folder:
        terms = str(Path(folder, "idle.ini"))
        Path(terms).write_text(f"{LONG_IDLE}park-after = {park_after}\n")
        begun, report = time.monotonic(), {}

        def say(text: str) -> None:
            print(f"{time.monotonic() - begun:7.1f} s  {text}", file=sys.stderr, flush=True)

        if counts:
            report["memory"] = idle_benchmark.memory(list(counts), None, terms, say, open_rate)
            if before:
                report["memory before"] = idle_benchmark.memory(list(counts), before, terms, say, open_rate)
        if fronts > 1:
            report["many"] = idle_benchmark.many(connections, fronts, busy_rate, seconds, terms, say)
        else:
            if pairs:
                report["pairs"] = idle_benchmark.pairs(connections, busy_rate, seconds, pairs, terms, say)
            if shares:
                report["wakes"] = idle_benchmark.wakes(
                    connections, busy_rate, list(shares), wake_with, terms, say
                )
    if plot and report.get("pairs"):
        first = report["pairs"][0]
        named = {f"{connections} idle": first["with"]["histogram"], "none": first["none"]["histogram"]}
        process_usage.plot(plot, named, f"{busy_rate:g} downloads a second")
    show(path or "-", report)


@lab.command("fault")
@click.option("--listen", required=True, help="loopback address to accept on")
@click.option("--to", "target", required=True, help="loopback address to pass on to")
@click.option("--plan", "plan_path", required=True, help="the plan of faults (INI), see docs/faults.md")
@click.option(
    "--framing", type=click.Choice(["thrift", "lines", "sse", "raw"]), default="thrift", show_default=True
)
@click.option("--seed", type=int, default=1, show_default=True)
def fault_command(listen: str, target: str, plan_path: str, framing: str, seed: int) -> None:
    """Sit between two sockets and do to their traffic what a plan says, exactly by seed."""
    from weldbend.testbed.faults.engine import Injector
    from weldbend.testbed.faults.plan import InvalidPlanError, read_plan
    from weldbend.testbed.faults.proxy import Proxy

    for address in (listen, target):
        host, _, port = address.rpartition(":")
        if not host.startswith("127.") or not port.isdigit():
            raise click.ClickException(f"{address}: no address of loopback with a port")
    try:
        injector = Injector(read_plan(plan_path, framing), seed)
    except InvalidPlanError as wrong:
        raise click.ClickException(str(wrong)) from None
    shown = [0]

    def show_strikes() -> None:
        for strike in injector.strikes[shown[0] :]:
            held = {"fault": strike.fault, "connection": strike.connection, "direction": strike.direction}
            click.echo(json.dumps(held | {"message": strike.message, "offset": strike.offset}))
        shown[0] = len(injector.strikes)
        reactor.callLater(0.1, show_strikes)

    host, _, port = target.rpartition(":")
    near, _, listening = listen.rpartition(":")
    proxy = Proxy(reactor, injector, host, int(port))
    found = reactor.listenTCP(int(listening), proxy, interface=near).getHost()
    click.echo(json.dumps({"listening": f"{found.host}:{found.port}", "seed": seed}))
    reactor.callWhenRunning(show_strikes)
    reactor.run()


@lab.command("fleet")
@click.option("--plan", "plan_path", help="what happens, see docs/fleet.md")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--virtual", is_flag=True, help="on the virtual clock instead of real processes")
@click.option("--lines", is_flag=True, help="do what standard input tells, one JSON object a line")
@click.option("--fronts", type=click.IntRange(1, 64), default=3, show_default=True, help="with --lines")
@click.option("--zones", default="", help="with --lines: of the fronts in turn, parted by commas")
@click.option("--folder", help="with --lines: for configurations and logs")
def fleet_command(
    plan_path: str | None,
    seed: int,
    virtual: bool,
    lines: bool,
    fronts: int,
    zones: str,
    folder: str | None,
) -> None:
    """Fronts that know of each other, as real processes, and faults between them; a verdict at the end."""
    from weldbend.testbed.faults.plan import InvalidPlanError
    from weldbend.testbed.fleet import plan_runner
    from weldbend.testbed.fleet.plan import names, read_plan

    if lines:
        reactor.callWhenRunning(plan_runner.lines, reactor, fronts, seed, names(zones), folder)
        reactor.run()
        return
    if not plan_path:
        raise click.ClickException("give --plan FILE, or --lines")
    try:
        plan = read_plan(plan_path)
    except InvalidPlanError as wrong:
        raise click.ClickException(str(wrong)) from None
    if virtual:
        from weldbend.testbed.simulation.seed_search import quiet

        quiet()
        clean = plan_runner.virtual(plan, seed)
    else:
        real = plan_runner.Real(reactor, plan, seed)
        reactor.callWhenRunning(real.start)
        reactor.run()
        clean = real.clean
    if not clean:
        raise SystemExit(1)


@lab.command("fleet-measure")
@click.argument("what")
def fleet_measure(what: str) -> None:
    """Figures of docs/fleet.md, a JSON line each: gain, popularity, detect, real, cost or newcomer."""
    from weldbend.testbed.fleet.benchmarks import measures
    from weldbend.testbed.simulation.seed_search import quiet

    quiet()
    held = measures()
    if what not in held:
        raise click.ClickException(f"{what!r:.20} is none of {', '.join(held)}")
    for row in held[what]():
        click.echo(json.dumps(row))


FLEET = click.option("--fleet", is_flag=True, help="fronts that know of each other, and faults between them")


@lab.command("faults")
@click.option("--seeds", required=True, help="from..to, both included")
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True)
@FLEET
@JSON
@click.option("--digests", help="write each seed's digest of raw bytes there, a line a seed")
def faults_command(seeds: str, jobs: int, fleet: bool, path: str | None, digests: str | None) -> None:
    """Play seeds of the deterministic laboratory, and fail where a rule breaks."""
    from weldbend.testbed.fleet.simulated_fleet import FleetSetup
    from weldbend.testbed.simulation.run import Setup
    from weldbend.testbed.simulation.seed_search import search, totals

    first, dots, last = seeds.partition("..")
    if not (dots and first.isdigit() and last.isdigit() and int(first) <= int(last)):
        raise click.ClickException(f"{seeds!r:.40} is no range of seeds such as 1..100")
    found = []
    for row in search(range(int(first), int(last) + 1), jobs, FleetSetup() if fleet else Setup()):
        found.append(row)
        for text in (*row["breaches"][:3], *row["faults"][:3]):
            click.echo(f"seed {row['seed']}: {text}")
    if digests:
        lines = [f"{row['seed']} {row['byte_digest']}\n" for row in found]
        Path(digests).write_text("".join(lines), "utf-8")
    report = totals(found)
    show(path or "-", report)
    if report["broken"] or report["faulty"]:
        raise click.ClickException(
            f"seeds {sorted({*report['broken'], *report['faulty']})} failed: weldbend lab replay"
        )


@lab.command()
@click.argument("seed", type=int)
@click.option("--trace", is_flag=True, help="all that crossed the sockets, a line a message")
@FLEET
def replay(seed: int, trace: bool, fleet: bool) -> None:
    """Play one seed again, and show its verdict."""
    from weldbend.testbed.fleet.simulated_fleet import FleetRun
    from weldbend.testbed.simulation.run import Run
    from weldbend.testbed.simulation.seed_search import quiet

    quiet()
    result = (FleetRun if fleet else Run)(seed).play()
    for line in result.log if trace else ():
        click.echo(line)
    for text in (*map(str, result.breaches), *result.faults, *result.differ):
        click.echo(text)
    click.echo(
        json.dumps(
            {
                "seed": seed,
                "digest": result.digest(),
                "byte_digest": result.byte_digest,
                "strikes": result.strikes,
            }
            | result.counts
        )
    )
    if result.breaches or result.faults or result.differ:
        raise SystemExit(1)
