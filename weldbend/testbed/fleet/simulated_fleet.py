"""Fleets of whole fronts on the virtual clock and network: door, loop, decisions, fleet, all from one
integer.

What the plain virtual run has (load, caches that restart, drain and vanish, purges, killed fronts) goes on;
on top of it come the faults of a fleet: splits, one-way loss, frozen processes, slow and lossy paths, clocks
set apart, buses cut off for one front or all but one.
"""

import json
import os
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

from weldbend.fleet.replicated_items import ITEM_KINDS
from weldbend.fleet.settings import FleetSettings, Peer
from weldbend.front.configuration import Site
from weldbend.front.server import Front
from weldbend.testbed.fleet import auditor
from weldbend.testbed.simulation.machines import Machine
from weldbend.testbed.simulation.run import BUS_HOST, Run, Setup, VirtualClock

PORT = 7400
KEY = "0badcafe " + "5a" * 32 + "\n"
BETWEEN = ("split", "one_way", "freeze", "slow", "lossy", "bus_cut", "all")
UNDER_WAY = 8  # changes of one front that others may not have yet: each says some every second
QUICK = FleetSettings(interval=0.2, timeout=0.08, alone=1.5, stalled=0.5, exchange=0.3)


def key_file() -> str:
    """One file with a key for all runs of this process."""
    path = os.path.join(tempfile.gettempdir(), f"weldbend-lab-{os.getuid()}.keys")
    if not os.path.exists(path):
        with open(path, "w") as held:
            held.write(KEY)
    return path


@dataclass(frozen=True, slots=True)
class FleetSetup(Setup):
    """`between` faults among the fronts, besides those of the site; the last `calm` seconds have none."""

    fronts: int = 4
    rate: float = 24.0
    seconds: float = 30.0
    after: float = 10.0
    faults: int = 4
    injected: int = 0
    orders: float = 0.15
    kinds: tuple[str, ...] = ("restart", "drain", "purge", "reset", "front")
    between: int = 3
    troubles: tuple[str, ...] = BETWEEN
    calm: float = 12.0
    apart: float = 0.0  # seconds by which Unix clocks may be apart
    drift: float = 0.0  # share by which steady clocks may run too fast or too slow
    terms: FleetSettings = QUICK
    shared: bool = True  # false: the same run without a fleet
    zones: tuple[str, ...] = field(default=())  # of the fronts in turn; none: all of one


class FleetRun(Run):
    setup: FleetSetup

    def __init__(self, seed: int, setup: FleetSetup | None = None, **held: Any) -> None:
        super().__init__(seed, setup or FleetSetup(), **held)
        shape = self.setup
        self.clocks = {
            n: (self.rng.uniform(-shape.apart, shape.apart), self.rng.uniform(-shape.drift, shape.drift))
            for n in self.askers
        }
        self.struck: list[str] = []
        self.said: Callable[[dict[str, Any]], None] = lambda held: None

    def host(self, number: int) -> str:
        return f"10.0.0.{number}"

    def zone(self, number: int) -> str:
        zones = self.setup.zones
        return zones[(number - 1) % len(zones)] if zones else "z"

    def terms(self, number: int) -> FleetSettings:
        peers = tuple(Peer(f"n{n}", self.host(n), PORT, self.zone(n)) for n in self.askers)
        listen = f"{self.host(number)}:{PORT}"
        return replace(
            self.setup.terms, listen=listen, keys=key_file(), peers=peers, zone=self.zone(number), control=""
        )

    def made(self, machine: Machine, site: Site) -> Front:
        number = int(machine.name[1:])
        clock = VirtualClock(self.world, *self.clocks[number])
        return Front(
            machine, replace(site, fleet=self.terms(number)) if self.setup.shared else site, clock=clock
        )

    # What a plan asks for (see play.Stage).

    def later(self, delay: float, call: Callable[[], object]) -> object:
        return self.world.plan(delay, call)

    def event(self, **said: Any) -> None:
        self.note(json.dumps(said))
        self.said(said)

    def hosts(self, ways: set[tuple[int, int]]) -> set[tuple[str, str]]:
        return {(self.host(a), self.host(b)) for a, b in ways}

    def cut(self, ways: set[tuple[int, int]]) -> None:
        self.world.cut |= self.hosts(ways)

    def mend(self, ways: set[tuple[int, int]]) -> None:
        self.world.mend(self.hosts(ways), [machine for machine, _ in self.fronts.values()])

    def worsen(self, ways: set[tuple[int, int]], kind: str, much: float) -> None:
        held = {"slow": self.world.slow, "lossy": self.world.lossy, "double": self.world.doubled}[kind]
        held.update(dict.fromkeys(self.hosts(ways), much))

    def stop(self, number: int, lasts: float) -> None:
        self.freeze(number, lasts)

    def end(self, number: int) -> None:
        machine, front = self.fronts[number]
        if machine.alive:
            front.terminate()
            self.world.plan(4.0, lambda: self.start(number))

    def start(self, number: int, ahead: float = 0.0) -> None:
        machine, _ = self.fronts[number]
        if machine.alive and not machine.stopped:
            return
        self.clocks[number] = ahead, self.clocks[number][1]
        self.start_front(number)

    def no_bus(self, number: int, lasts: float) -> None:
        self.cut_bus({number}, lasts)

    def tell_cache(self, uid: str, state: str) -> None:
        if state == "up":
            self.targets[uid] |= {"boot_ms": int(self.world.unix() * 1000)}
        self.relist(uid, state)

    def tell_purge(self, group: int) -> None:
        self.tell(ban={"tag": group, "ts": int(self.world.unix() * 1000)})

    # What goes wrong between fronts.

    def troubles(self) -> None:
        """Those of the site first, and all of it over when the calm end begins."""
        shape, last = self.setup, self.setup.seconds - self.setup.calm
        for _ in range(shape.faults):
            self.world.plan(self.rng.uniform(1.0, last), getattr(self, f"do_{self.rng.choice(shape.kinds)}"))
        planned: list[tuple[str, float, float]] = []
        for _ in range(shape.between):
            kind, lasts = self.rng.choice(shape.troubles), self.rng.uniform(0.5, 6.0)
            planned.append((kind, self.rng.uniform(1.0, max(last - lasts, 1.5)), lasts))
        for kind, at, lasts in planned:
            parted = any(k in ("split", "one_way") and a < at + lasts and at < a + s for k, a, s in planned)
            self.world.plan(at, lambda k=kind, s=lasts, p=parted: self.strike(k, s, p))  # type: ignore[misc]

    def strike(self, kind: str, lasts: float, parted: bool) -> None:
        """`parted`: fronts are split as well at some time meanwhile."""
        self.struck.append(kind)
        numbers = sorted(self.fronts)
        side = set(self.rng.sample(numbers, self.rng.randint(1, max(1, len(numbers) // 2))))
        one = self.rng.choice(numbers)
        match kind:
            case "split" | "one_way":
                self.split(side, lasts, kind == "split")
            case "freeze":
                self.freeze(one, lasts)
            case "slow" | "lossy":
                held = self.world.slow if kind == "slow" else self.world.lossy
                ways = {(self.host(one), self.host(n)): self.rng.uniform(0.1, 0.5) for n in numbers}
                held.update(ways)
                self.world.plan(lasts, lambda: [held.pop(way, None) for way in ways])
            case "bus_cut":
                self.cut_bus({one}, lasts, parted)
            case "all":
                for number in numbers:
                    self.kill(number, self.rng.uniform(0.2, 1.0))

    def split(self, side: set[int], lasts: float, both: bool = True) -> None:
        """Fronts of one side do not reach the others; clients, caches and bus they do."""
        others = set(self.fronts) - side
        ways = {(self.host(a), self.host(b)) for a in side for b in others}
        self.open_again(ways | ({(b, a) for a, b in ways} if both else set()), lasts)
        self.note(f"split of {sorted(side)} {'both' if both else 'one'} for {lasts:.2f}")

    def cut_bus(self, numbers: set[int], lasts: float, parted: bool = False) -> None:
        ways = {(self.host(n), BUS_HOST) for n in numbers}
        self.open_again(ways | {(b, a) for a, b in ways}, lasts)
        self.note(f"no bus at {sorted(numbers)} for {lasts:.2f}")
        if parted or not self.setup.shared or len(numbers) == len(self.fronts):
            for number in numbers:
                self.auditor.unreachable(f"n{number}", self.world.now, self.world.now + lasts + 2.5, False)

    def open_again(self, ways: set[tuple[str, str]], lasts: float) -> None:
        self.world.cut |= ways
        self.world.plan(
            lasts, lambda: self.world.mend(ways, [machine for machine, _ in self.fronts.values()])
        )

    def freeze(self, number: int, lasts: float) -> None:
        machine, _ = self.fronts[number]
        if not machine.alive or machine.frozen:
            return
        begun = self.world.now
        self.note(f"front {number} is frozen for {lasts:.2f}")
        machine.freeze()

        def thaw() -> None:
            self.auditor.unreachable(machine.name, begun, self.world.now, True)
            if machine.alive:
                machine.thaw()

        self.world.plan(lasts, thaw)

    def kill(self, number: int, back: float | None = None) -> None:
        machine, _ = self.fronts[number]
        if machine.alive:
            self.note(f"front {number} is killed")
            self.auditor.killed(machine.name)
            machine.kill()
            if back is not None:
                self.world.plan(back, lambda: self.start_front(number))

    def do_front(self) -> None:
        self.kill(self.rng.choice(sorted(self.fronts)), 0.4)

    # The verdict.

    def nodes(self) -> dict[str, Any]:
        """Each front's fleet as its auditor looks at it."""
        found = {}
        for machine, front in self.fronts.values():
            assert front.fleet_adapter
            fleet = front.fleet_adapter.fleet
            found[machine.name] = SimpleNamespace(
                name=machine.name, up=machine.alive, members=fleet.membership, copies=fleet.store,
                exchange=fleet.anti_entropy,
            )  # fmt: skip
        return found

    def disagreements(self) -> list[str]:
        """What fronts differ on at the end, where all was calm for long enough."""
        if not self.setup.shared:
            return []
        now, nodes = self.world.now + 1.0, self.nodes()
        found = auditor.audit(SimpleNamespace(nodes=nodes, said=[], now=now, under_way=UNDER_WAY))
        for kind, key in sorted({name for node in nodes.values() for name in node.copies.items}):
            held = {name: node.copies.items.get((kind, key)) for name, node in nodes.items()}
            keep = ITEM_KINDS[kind].lifetime
            lasts = any(item and now < item.written_at + keep - 3.0 for item in held.values())
            under_way = any(item and now < item.written_at + 2.0 for item in held.values())
            values = {name: item.value if item else None for name, item in held.items()}
            if lasts and not under_way and len(set(values.values())) > 1:
                found.append(f"{kind} {key} differs: {values}")
        return found
