"""`weldbend lab fleet`: plays a plan with real processes or virtual ones, or does what it is told line by
line.
"""

import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet import stdio
from twisted.protocols.basic import LineOnlyReceiver

from weldbend.testbed.emulator.emulated_site import Shape
from weldbend.testbed.faults.plan import InvalidPlanError
from weldbend.testbed.fleet.plan import FleetAction, FleetPlan, fleet_action
from weldbend.testbed.fleet.plan_player import Player
from weldbend.testbed.fleet.processes import FleetSite
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetSetup
from weldbend.testbed.load.generator import Load, Plan

AGAIN, TRIES = 0.5, 12  # a verdict is asked for again: items end while fronts are asked one after the other


def show(said: dict[str, Any]) -> None:
    print(json.dumps(said), flush=True)


def virtual(plan: FleetPlan, seed: int) -> bool:
    """The plan on the virtual clock; whether the verdict is clean."""
    shape = FleetSetup(
        fronts=plan.fronts, seconds=plan.seconds, rate=max(plan.rate, 0.1), faults=0, between=0,
        zones=plan.zones, calm=0.0,
    )  # fmt: skip
    run = FleetRun(seed, shape)
    run.said = lambda held: show({"at": round(run.world.now, 3)} | held)
    Player(run).play(plan)
    result = run.play()
    wrong = [*map(str, result.breaches), *result.faults, *result.differ]
    show({"verdict": wrong or "clean", "counts": result.counts, "digest": result.digest()[:16]})
    return not wrong


class Real:
    """The plan with real processes, and a load on them."""

    def __init__(self, reactor: Any, plan: FleetPlan, seed: int) -> None:
        self.reactor, self.plan = reactor, plan
        shape = Shape(fronts=plan.fronts)
        self.site = FleetSite(reactor, shape, seed, show, plan.zones)
        self.waiting, self.clean, self.load = plan.fronts, False, None
        self.seed = seed

    def start(self) -> None:
        self.site.ready = self.one_ready
        for number in self.site.numbers:
            self.site.start(number)

    def one_ready(self, number: int) -> None:
        self.waiting -= 1
        if self.waiting:
            return
        self.site.ready = lambda number: None
        Player(self.site).play(self.plan)
        self.reactor.callLater(self.plan.seconds, self.judge, TRIES)
        if self.plan.rate:
            load = Plan(rate=self.plan.rate, seconds=self.plan.seconds - 1.0, seed=self.seed)
            self.load = Load(
                self.reactor, load, list(self.site.fronts), self.site.shape.sizes, lambda _: None
            )
            self.load.start()

    def judge(self, tries: int) -> None:
        self.site.verdict(lambda wrong: self.judged(wrong, tries - 1))

    def judged(self, wrong: list[str], tries: int) -> None:
        if wrong and tries:
            self.reactor.callLater(AGAIN, self.judge, tries)
            return
        self.clean = not wrong
        counts = dict(self.load.tally.counts) if self.load else {}
        show({"verdict": wrong or "clean", "counts": counts})
        self.site.end_all()
        self.reactor.callLater(0.3, self.reactor.stop)


class Told(LineOnlyReceiver):
    """One JSON object a line on standard input: an event as plans have it, or `heal`, `start`, `tell`,
    `term`.

    Where an event has no `for`, it lasts until `heal` or `start`. Everything ends with the input.
    """

    delimiter = b"\n"

    def __init__(self, site: FleetSite, done: Callable[[], None]) -> None:
        self.site, self.player, self.done = site, Player(site), done

    def lineReceived(self, line: bytes) -> None:
        try:
            self.take(json.loads(line))
        except (InvalidPlanError, ValueError, KeyError, TypeError) as wrong:
            show({"wrong": f"{type(wrong).__name__}: {wrong}"})

    def take(self, said: dict[str, Any]) -> None:
        site = self.site
        match said.get("do"):
            case "heal":
                site.mend(set(site.network.closed))
            case "start":
                for number in self.numbers(said):
                    site.start(number, float(said.get("ahead", 0.0)))
            case "kill" if "for" not in said:
                for number in self.numbers(said):
                    site.kill(number)
            case "signal":
                for number in self.numbers(said):
                    site.signal(number, said["name"])
            case "tell":
                site.bus.tell(**said["event"])
            case "write":  # another installation file
                for number in self.numbers(said):
                    (site.folder / f"n{number}.ini").write_text(said["text"])
            case _:
                held = {"for": "3600 s"} | {key: value for key, value in said.items()}
                self.player.do(self.read(held))
        show({"done": said})

    def read(self, said: dict[str, Any]) -> FleetAction:
        return fleet_action("told", said, self.site.shape.fronts, "line:")

    def numbers(self, said: dict[str, Any]) -> list[int]:
        held = str(said.get("who", "all")).split()
        return list(self.site.numbers) if held == ["all"] else [int(one[1:]) for one in held]

    def connectionLost(self, reason: Any = None) -> None:
        self.done()


def lines(reactor: Any, fronts: int, seed: int, zones: tuple[str, ...], folder: str | None) -> None:
    """Do what is told on standard input; the first line out says where everything is."""
    place = Path(folder or tempfile.mkdtemp(prefix="weldbend-fleet-"))
    site = FleetSite(reactor, Shape(fronts=fronts), seed, show, zones, folder=place)

    def done() -> None:
        site.end_all()
        reactor.callLater(0.1, reactor.stop)

    show(
        {
            "folder": str(place),
            "fronts": {f"n{n}": site.fronts[n - 1] for n in site.numbers},
            "controls": {f"n{n}": site.controls[n] for n in site.numbers},
        }
    )
    stdio.StandardIO(Told(site, done))
