"""What a fleet costs and gains: the figures of docs/fleet.md. Not part of CI."""

import os
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import replace
from statistics import median
from typing import Any

from weldbend.testbed.emulator.emulated_site import Shape
from weldbend.testbed.fleet.fleet_model import Fleet, Setup
from weldbend.testbed.fleet.processes import TERMS, FleetSite
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetSetup
from weldbend.testbed.load import process_usage
from weldbend.testbed.load.generator import Load, Plan

SPANS = (1.0, 5.0, 10.0, 30.0)  # seconds after a restart

# On the virtual clock.


def looked(run: FleetRun) -> Counter[str]:
    """What the edges did so far."""
    found: Counter[str] = Counter()
    for box in run.boxes.boxes.values():
        if box.kind == "box":
            found.update(box.counts)
    return found


def restart(seed: int, shared: bool, fronts: int = 4) -> dict[str, Any]:
    """All fronts are replaced in turn, and half of the edges come back empty: what the edges serve after
    that.

    For each span after it: downloads asked and fulfilled, the share of looks at edges that hit, and megabytes
    that came over the edges' links.
    """
    back = 40.0
    shape = FleetSetup(
        fronts=fronts, faults=0, between=0, rate=25.0 * fronts, seconds=back + 32.0, calm=0.0, objects=3000,
        room=2 << 20, shared=shared, orders=0.0, edits=0.0, after=6.0,
    )  # fmt: skip
    run = FleetRun(seed, shape)
    marks: dict[float, tuple[Counter[str], Counter[str]]] = {}

    def mark(span: float) -> None:
        marks[span] = looked(run), Counter(run.auditor.counts)

    for number in range(1, fronts + 1):
        run.world.plan(back - 0.6 * number, lambda n=number: run.kill(n, 0.4))  # type: ignore[misc]
    for uid in ("e1", "e2"):
        run.world.plan(back - 1.0, lambda uid=uid: run.restart(uid))  # type: ignore[misc]
    for span in (0.0, *SPANS):
        run.world.plan(back + span, lambda span=span: mark(span))  # type: ignore[misc]
    run.play()
    found: dict[str, Any] = {}
    for span in SPANS:
        boxes, asked = ({k: v - marks[0.0][n][k] for k, v in marks[span][n].items()} for n in (0, 1))
        looks = boxes.get("hits", 0) + boxes.get("misses", 0)
        found[f"{span:g} s"] = {
            "asked": asked.get("downloads", 0), "fulfilled": asked.get("fulfilled", 0),
            "hits": round(boxes.get("hits", 0) / max(looks, 1), 3),
            "filled": boxes.get("filled", 0) + boxes.get("filled from origin", 0),
            "from the origin": boxes.get("filled from origin", 0),
        }  # fmt: skip
    return found


def hits(seed: int, fronts: int, shared: bool, seconds: float = 60.0, rate: float = 160.0) -> float:
    """Share of all looks at edges that hit, over the second half, at one rate of all fronts together."""
    shape = FleetSetup(
        fronts=fronts, faults=0, between=0, rate=rate, seconds=seconds, calm=0.0, objects=6000, room=1 << 20,
        shared=shared, orders=0.0, edits=0.0, after=1.0,
    )  # fmt: skip
    run = FleetRun(seed, shape)
    half: Counter[str] = Counter()
    run.world.plan(seconds / 2, lambda: half.update(looked(run)))
    run.play()
    end = looked(run)
    hit, missed = (end[what] - half[what] for what in ("hits", "misses"))
    return hit / max(hit + missed, 1)


def detection(fronts: int, seed: int, frozen: float) -> dict[str, Any]:
    """Of a killed member: when it is known; and false deaths while `frozen` of the time others stand still.

    Beside it the plain rule: a heartbeat of everybody to everybody each interval, dead after as long without
    one as this fleet took.
    """
    setup = Setup(fronts=fronts, seconds=90.0, calm=0.0, faults=0, rate=0.0)
    fleet = Fleet(seed, setup)
    victim, killed = fleet.names[-1], 50.0
    fleet.after(killed, lambda: fleet.kill(victim))
    stops: dict[str, list[tuple[float, float]]] = {name: [] for name in fleet.names}
    if frozen:
        for name in fleet.names:
            at = 20.0 + fleet.rng.random() * 10
            while at < 85.0:
                lasts = fleet.rng.uniform(0.5, 6.0)
                stops[name].append((at, at + lasts))
                fleet.after(
                    at, lambda name=name, lasts=lasts: fleet.nodes[name].up and fleet.freeze(name, lasts)
                )  # type: ignore[misc]
                at += lasts / frozen
    fleet.run()
    lines = [line for line in fleet.log if " -> " in line]
    of = [line for line in lines if f": {victim} " in line and float(line.split()[0]) > killed]
    first = {
        state: [float(x.split()[0]) - killed for x in of if f"-> {state}" in x]
        for state in ("SUSPECT", "DEAD")
    }
    false = sum(
        "-> DEAD" in x and float(x.split()[0]) > 20.0 and not (f": {victim} " in x and x in of) for x in lines
    )
    timeout = min(first["DEAD"], default=setup.terms.interval * 5)
    plain = sum(end - begin > timeout for spans in stops.values() for begin, end in spans) * (fronts - 1)
    return {
        "suspected first": min(first["SUSPECT"], default=None),
        "known first": min(first["DEAD"], default=None),
        "known to all": max(first["DEAD"], default=None), "views": len(first["DEAD"]),
        "false deaths": false, "false deaths by plain timeouts": plain,
    }  # fmt: skip


def catch_up(items: int, rate: int = 256_000) -> dict[str, float]:
    """Seconds until a newcomer holds what four others do: so many items, and 1,000 purges."""
    setup = Setup(fronts=4, seconds=60.0, calm=0.0, faults=0, rate=0.0, loss=0.0)
    setup = replace(setup, terms=replace(setup.terms, rate=rate))
    fleet, done = Fleet(1, setup), []

    def fill() -> None:
        node = fleet.nodes["n1"]
        for number in range(items):
            node.say("setting", f"object-{number:06}", number, "x" * 24)
        for number in range(1000):
            node.say("purge", f"k:{number:016x}", int(fleet.now * 1000))

    def look() -> None:
        if fleet.nodes["n4"].up and fleet.nodes["n4"].exchange.is_caught_up and not done:
            done.append(fleet.now - 40.0)
        fleet.after(0.05, look)

    fleet.after(5.0, fill)
    fleet.after(30.0, lambda: fleet.kill("n4"))
    fleet.after(40.0, lambda: fleet.start("n4"))
    fleet.after(40.01, look)
    before = fleet.run().counts["snapshot bytes"]
    held = len(fleet.nodes["n4"].copies.items)
    return {"items": held, "seconds": round(done[0], 2) if done else -1.0, "snapshot bytes": before}


# With real processes.


class Costs:
    """Fronts as processes for some seconds: CPU and memory of each, and the latencies of a load on some."""

    def __init__(
        self, reactor: Any, fronts: int, on: bool, rate: float, seconds: float, stalled: bool
    ) -> None:
        self.reactor, self.rate, self.seconds, self.stalled = reactor, rate, seconds, stalled
        self.site = FleetSite(reactor, Shape(fronts=fronts), 1, lambda said: None, terms="" if on else TERMS)
        self.waiting = fronts
        self.report: dict[str, Any] = {}
        if not on:
            for number in self.site.numbers:
                (self.site.folder / f"n{number}.ini").write_text("")

    def start(self) -> None:
        self.site.ready = self.one_ready
        for number in self.site.numbers:
            self.site.start(number)

    def one_ready(self, number: int) -> None:
        self.waiting -= 1
        if not self.waiting:
            self.reactor.callLater(8.0, self.begin)

    def begin(self) -> None:
        if self.stalled:
            self.site.stop(len(self.site.numbers), 600.0)
        self.before = self.usage()
        self.at = time.monotonic()
        if self.rate:
            plan = Plan(rate=self.rate, seconds=self.seconds, seed=1, orders=0.0)
            load = Load(self.reactor, plan, [self.site.fronts[0]], self.site.shape.sizes, self.loaded)
            load.start()
        else:
            self.reactor.callLater(self.seconds, self.loaded, None)

    def usage(self) -> dict[int, process_usage.Usage]:
        return {n: process_usage.usage(process.pid) for n, process in self.site.running.items()}

    def loaded(self, load: Load | None) -> None:
        after, took = self.usage(), time.monotonic() - self.at
        quiet = [n for n in after if n != 1 and not (self.stalled and n == len(self.site.numbers))]
        cpu = [(after[n].cpu - self.before[n].cpu) / took for n in quiet]
        self.report = {
            "cpu a second, ms": round(median(cpu) * 1000, 2) if cpu else None,
            "memory, MB": round(median(after[n].memory for n in after) / 2**20, 1),
        }
        if load:
            held = load.tally.report()
            self.report |= {"p50": held["latency_ms"]["p50"], "p99": held["latency_ms"]["p99"]}
            self.report |= {"asked": held["counts"]["asked"], "fulfilled": held["counts"].get("fulfilled", 0)}
        self.site.end_all()
        self.reactor.callLater(0.3, self.reactor.stop)


class Deaths:
    """One of so many processes is killed: how long until the others suspect it and know it."""

    def __init__(self, reactor: Any, fronts: int, terms: str = "") -> None:
        self.reactor, self.fronts = reactor, fronts
        self.site = FleetSite(reactor, Shape(fronts=fronts), 1, lambda said: None, terms=terms)
        self.waiting, self.report, self.at = fronts, {}, 0.0
        self.states: dict[int, dict[str, float]] = {n: {} for n in self.site.numbers}
        self.false: set[tuple[int, str]] = set()

    start, one_ready = Costs.start, Costs.one_ready  # type: ignore[assignment]

    def begin(self) -> None:
        self.reactor.callLater(20.0 + self.fronts / 4, self.strike)
        self.watch()

    def strike(self) -> None:
        self.at = time.monotonic()
        self.site.kill(self.fronts)
        self.reactor.callLater(40.0, self.end)

    def watch(self) -> None:
        for number in list(self.site.numbers)[:10]:
            if number != self.fronts:
                self.site.ask(number, lambda answer, n=number: self.heard(n, answer), ask="status")  # type: ignore[misc]
        if not self.report:
            self.reactor.callLater(0.25, self.watch)

    def heard(self, number: int, answer: Any) -> None:
        now = time.monotonic()
        for one in (answer or {}).get("ok", {}).get("members", ()):
            if one["name"] == f"n{self.fronts}" and self.at:
                self.states[number].setdefault(one["state"], now - self.at)
            elif one["state"] == "DEAD" and one["heard"] is not None:
                self.false.add((number, one["name"]))

    def end(self) -> None:
        known = sorted(held["DEAD"] for held in self.states.values() if "DEAD" in held)
        suspected = sorted(held["SUSPECT"] for held in self.states.values() if "SUSPECT" in held)
        self.report = {
            "asked": min(10, self.fronts - 1),
            "suspected first": round(suspected[0], 2) if suspected else None,
            "known first": round(known[0], 2) if known else None,
            "known to all asked": round(known[-1], 2) if known else None, "know it": len(known),
            "false deaths": len(self.false),
        }  # fmt: skip
        self.site.end_all()
        self.reactor.callLater(0.3, self.reactor.stop)


def played(what: str, *args: Any) -> Any:
    """One measurement with processes, in a process of its own: a reactor runs once."""
    import json

    done = subprocess.run(
        [sys.executable, "-c", RUN, what, json.dumps(args)], capture_output=True, text=True, timeout=600
    )
    if done.returncode:
        raise RuntimeError(done.stderr[-2000:])
    return json.loads(done.stdout.splitlines()[-1])


RUN = """
import json, sys
from twisted.internet import reactor
from weldbend.testbed.fleet import measure
one = getattr(measure, sys.argv[1])(reactor, *json.loads(sys.argv[2]))
reactor.callWhenRunning(one.start)
reactor.run()
print(json.dumps(one.report))
"""


def busy(cores: int) -> list[subprocess.Popen[bytes]]:
    """So many processes that never rest."""
    code = "while True: pass"
    return [subprocess.Popen([sys.executable, "-c", code]) for _ in range(cores)]


def measures() -> dict[str, Callable[[], Iterator[Any]]]:
    def gain() -> Iterator[Any]:
        for seed in range(1, 6):
            yield {"seed": seed, "with": restart(seed, True), "without": restart(seed, False)}

    def popularity() -> Iterator[Any]:
        for seed in range(1, 4):
            alone = hits(seed, 1, False)
            for fronts in (4, 10):
                held = {"fleet": hits(seed, fronts, True), "each alone": hits(seed, fronts, False)}
                yield {"seed": seed, "fronts": fronts, "all known to one": alone} | held

    def detect() -> Iterator[Any]:
        for fronts, seeds in ((3, 10), (10, 10), (50, 3), (200, 1)):
            for frozen in (0.0, 0.1):
                for seed in range(1, seeds + 1):
                    yield {"fronts": fronts, "frozen": frozen, "seed": seed} | detection(fronts, seed, frozen)

    def real() -> Iterator[Any]:
        for fronts in (3, 10, 50):
            yield {"fronts": fronts, "idle": played("Deaths", fronts)}
            held = busy(2 * (os.cpu_count() or 1))
            try:
                yield {"fronts": fronts, "overcommitted": played("Deaths", fronts)}
            finally:
                for one in held:
                    one.kill()

    def cost() -> Iterator[Any]:
        for fronts in (3, 10, 50):
            for on in (False, True):
                yield {"fronts": fronts, "on": on} | played("Costs", fronts, on, 0, 20, False)
        for pair in range(5):
            for on, stalled in ((False, False), (True, False), (True, True)):
                held = played("Costs", 3, on, 86, 20, stalled)
                yield {"pair": pair, "on": on, "stalled": stalled} | held

    def newcomer() -> Iterator[Any]:
        for items in (100, 8292):
            yield catch_up(items)

    return {
        "gain": gain, "popularity": popularity, "detect": detect, "real": real, "cost": cost,
        "newcomer": newcomer,
    }  # fmt: skip
