"""Execution of a plan on a backend: a fleet of real processes or a simulated one. No I/O."""

from collections.abc import Callable
from itertools import permutations
from typing import Protocol

from weldbend.testbed.fleet.plan import Action, FleetEvent, FleetPlan

Paths = set[tuple[int, int]]  # (from, to) as numbers of fronts

CLOCK_RESTART_DELAY = 0.2  # seconds between the kill of a front and its start with another clock
FRONT_NUMBER_LIMIT = 1000  # larger than the number of any front


class Backend(Protocol):
    """Operations on a fleet that a plan needs; times are in seconds."""

    def call_later(self, delay: float, call: Callable[[], object]) -> object:
        """Schedule a call after a delay."""

    def block(self, paths: Paths) -> None:
        """Block some paths."""

    def unblock(self, paths: Paths) -> None:
        """Unblock some paths."""

    def degrade(self, paths: Paths, kind: str, amount: float) -> None:
        """Set the delay (slow), loss (lossy) or duplication (double) of some paths."""

    def kill(self, number: int) -> None:
        """Kill a front."""

    def suspend(self, number: int, duration: float) -> None:
        """Suspend a front for a time, as SIGSTOP does."""

    def restart(self, number: int) -> None:
        """Stop a front gracefully, and start it again."""

    def start(self, number: int, clock_offset: float = 0.0) -> None:
        """Start a front, with its Unix clock ahead by `clock_offset` seconds."""

    def isolate_from_bus(self, number: int, duration: float) -> None:
        """Block the path between a front and the event bus for a time."""

    def publish_cache_state(self, uid: str, state: str) -> None:
        """Publish that a cache is `draining`, or that it is `up` and has just started."""

    def publish_purge(self, group: int) -> None:
        """Publish a purge of a group."""

    def report_event(self, **event: object) -> None:
        """Report that an event of the plan begins or ends."""


class Player:
    """Schedules and executes the events of a plan."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend

    def play(self, plan: FleetPlan) -> None:
        """Schedule all events of a plan."""
        for event in plan.events:
            self._schedule(event)

    def _schedule(self, event: FleetEvent) -> None:
        self.backend.call_later(event.at, lambda: self.begin(event))

    def begin(self, event: FleetEvent) -> None:
        """Begin an event now; its effect ends by itself after its duration."""
        self._report(event, "begins")
        match event.do:
            case Action.SPLIT | Action.ONE_WAY | Action.FLAP:
                self._partition(event)
            case Action.SLOW | Action.LOSSY | Action.DOUBLE:
                self._degrade(event)
            case Action.DRAIN | Action.UP | Action.PURGE:
                self._publish(event)
            case _:
                for number in event.fronts:
                    self._act_on_front(event, number)
        if event.duration:
            self.backend.call_later(event.duration, lambda: self._report(event, "ends"))

    def _partition(self, event: FleetEvent) -> None:
        paths = {(a, b) for side, other in permutations(event.sides, 2) for a in side for b in other}
        match event.do:
            case Action.SPLIT:
                self._block_for(paths, event.duration)
            case Action.ONE_WAY:
                first = set(event.sides[0])
                self._block_for({path for path in paths if path[0] in first}, event.duration)
            case Action.FLAP:
                for cycle in range(int(event.duration / event.every / 2) + 1):
                    begin = 2 * cycle * event.every
                    self.backend.call_later(begin, lambda: self._block_for(paths, event.every))

    def _block_for(self, paths: Paths, duration: float) -> None:
        self.backend.block(paths)
        self.backend.call_later(duration, lambda: self.backend.unblock(paths))

    def _degrade(self, event: FleetEvent) -> None:
        others = {number for number in range(1, FRONT_NUMBER_LIMIT) if number not in event.fronts}
        paths = {(a, b) for a in event.fronts for b in others}
        amount = event.by if event.do == Action.SLOW else event.fraction
        self.backend.degrade(paths, event.do, amount)
        self.backend.call_later(event.duration, lambda: self.backend.degrade(paths, event.do, 0.0))

    def _publish(self, event: FleetEvent) -> None:
        match event.do:
            case Action.DRAIN:
                self.backend.publish_cache_state(event.what, "draining")
            case Action.UP:
                self.backend.publish_cache_state(event.what, "up")
            case Action.PURGE:
                self.backend.publish_purge(int(event.what))

    def _act_on_front(self, event: FleetEvent, number: int) -> None:
        backend = self.backend
        match event.do:
            case Action.KILL:
                backend.kill(number)
                backend.call_later(event.duration, lambda: backend.start(number))
            case Action.APART:
                backend.kill(number)
                offset = event.by if event.how == "forward" else -event.by
                backend.call_later(CLOCK_RESTART_DELAY, lambda: backend.start(number, offset))
            case Action.STOP:
                backend.suspend(number, event.duration)
            case Action.RESTART:
                backend.restart(number)
            case Action.NO_BUS:
                backend.isolate_from_bus(number, event.duration)

    def _report(self, event: FleetEvent, phase: str) -> None:
        sides = [[f"n{number}" for number in side] for side in event.sides]
        subject: dict[str, object] = {"who": sides} if sides else {"what": event.what}
        self.backend.report_event(event=event.name, do=event.do, **{"is": phase}, **subject)
