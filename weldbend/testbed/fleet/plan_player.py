"""Carries out what a plan says on a stage, which is a fleet of real processes or a virtual one. No I/O."""

from collections.abc import Callable
from typing import Any, Protocol

from weldbend.testbed.fleet.plan import FleetAction, FleetPlan

Ways = set[tuple[int, int]]  # (from, to), fronts by number


class Stage(Protocol):
    """What can be done to a fleet."""

    def later(self, delay: float, call: Callable[[], object]) -> object: ...
    def cut(self, ways: Ways) -> None: ...
    def mend(self, ways: Ways) -> None: ...
    def worsen(self, ways: Ways, kind: str, much: float) -> None: ...
    def kill(self, number: int) -> None: ...
    def stop(self, number: int, lasts: float) -> None: ...
    def end(self, number: int) -> None: ...
    def start(self, number: int, ahead: float = 0.0) -> None: ...
    def no_bus(self, number: int, lasts: float) -> None: ...
    def tell_cache(self, uid: str, state: str) -> None: ...
    def tell_purge(self, group: int) -> None: ...
    def event(self, **said: Any) -> None: ...


class Player:
    def __init__(self, stage: Stage) -> None:
        self.stage = stage

    def play(self, plan: FleetPlan) -> None:
        for one in plan.fleet_actions:
            self.stage.later(one.at, lambda one=one: self.do(one))  # type: ignore[misc]

    def do(self, one: FleetAction) -> None:
        """One event, begun now."""
        stage = self.stage
        self.say(one, "begins")
        ways = {(a, b) for s in one.sides for o in one.sides if o is not s for a in s for b in o}
        match one.do:
            case "split":
                self.apart(one, ways, one.lasts)
            case "one-way":
                first = set(one.sides[0])
                self.apart(one, {way for way in ways if way[0] in first}, one.lasts)
            case "flap":
                for turn in range(int(one.lasts / one.every / 2) + 1):
                    again = 2 * turn * one.every
                    stage.later(again, lambda: self.apart(one, ways, one.every))
            case "slow" | "lossy" | "double":
                self.worse(one)
            case "kill":
                for number in one.who:
                    stage.kill(number)
                    stage.later(one.lasts, lambda number=number: stage.start(number))  # type: ignore[misc]
            case "apart":
                for number in one.who:
                    stage.kill(number)
                    ahead = one.by if one.how == "forward" else -one.by
                    stage.later(0.2, lambda number=number, ahead=ahead: stage.start(number, ahead))  # type: ignore[misc]
            case "stop":
                for number in one.who:
                    stage.stop(number, one.lasts)
            case "restart":
                for number in one.who:
                    stage.end(number)
            case "no-bus":
                for number in one.who:
                    stage.no_bus(number, one.lasts)
            case "drain" | "up":
                stage.tell_cache(one.what, "draining" if one.do == "drain" else "up")
            case "purge":
                stage.tell_purge(int(one.what))
        if one.lasts:
            stage.later(one.lasts, lambda: self.say(one, "ends"))

    def apart(self, one: FleetAction, ways: Ways, lasts: float) -> None:
        self.stage.cut(ways)
        self.stage.later(lasts, lambda: self.stage.mend(ways))

    def worse(self, one: FleetAction) -> None:
        others = {n for n in range(1, 1000) if n not in one.who}
        ways = {(a, b) for a in one.who for b in others}
        much = one.by if one.do == "slow" else one.share
        self.stage.worsen(ways, one.do, much)
        self.stage.later(one.lasts, lambda: self.stage.worsen(ways, one.do, 0.0))

    def say(self, one: FleetAction, how: str) -> None:
        held = {"event": one.name, "do": one.do, "is": how}
        sides = [[f"n{n}" for n in side] for side in one.sides]
        self.stage.event(**held, **({"who": sides} if sides else {"what": one.what}))
