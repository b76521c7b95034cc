"""One virtual run from one integer: site, load, faults, restarts, lists and purges; log and verdict."""

import hashlib
import json
import random
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol as Connection

from weldbend.buffers.ring import Ring
from weldbend.front.clock import Clock
from weldbend.front.configuration import Site, read_site
from weldbend.front.server import Front
from weldbend.testbed.emulator import objects
from weldbend.testbed.emulator.cache_model import Box
from weldbend.testbed.emulator.cache_model import World as Boxes
from weldbend.testbed.emulator.configuration import LIMITS, SETTINGS, configuration, target
from weldbend.testbed.emulator.objects import Sizes
from weldbend.testbed.emulator.servers import BoxServer, BusServer
from weldbend.testbed.faults.engine import Injector
from weldbend.testbed.faults.plan import Direction, Plan, plan
from weldbend.testbed.load import client_calls
from weldbend.testbed.simulation.auditor import Auditor, Breach, Rules
from weldbend.testbed.simulation.machines import Machine, Transport, World
from weldbend.testbed.simulation.observer import Ear, Seen

EDIT = {
    "deadline_us": 4000000,
    "goal_time_us": 700000,
    "idempotency": "at_most_once",
    "key_scope": "all",
    "name": "edit",
    "points": 2.5,
    "window_us": 1000000,
}
WAIT = {"photo": 6.0, "order": 9.0, "edit": 4.0}
RULES = Rules(
    {"photo": "retriable", "order": "deduped", "edit": "non-retriable"},
    {"photo": 5.0, "order": 3.0, "edit": 1.0},
    {"box": (0.2, 10.0, 2.0), "parent": (0.1, 20.0, 2.0)},
)
DRAWN: dict[str, dict[str, tuple[str, ...]]] = {
    "delay": {"for": ("80 ms", "450 ms", "550 ms", "2 s"), "jitter": ("0 s", "300 ms")},
    "throttle": {"rate": ("20000", "200000")},
    "stall": {"for": ("150 ms", "190 ms", "210 ms", "1 s"), "inside": ("0", "5", "200")},
    "hang": {"inside": ("0", "20", "300")},
    "cut": {"how": ("reset", "close"), "inside": ("0", "1", "30", "500")},
    "half-close": {"inside": ("0", "7", "400")},
    "drop": {},
    "duplicate": {},
    "reorder": {},
    "corrupt": {"inside": ("0", "17", "25", "60"), "bytes": ("1", "3")},
    "rewrite": {"set": ("born", "ver", "use", "length", "detail", "waited"), "to": ("1", "99", "x", "-5")},
}
GROUPS = 4
CROSSED = 0.05  # seconds within which a request that crossed the close of its connection is sent again
FRONT_PORT, BOX_PORT, BUS_PORT = 7001, 7100, 9092
BUS_HOST, CLIENT_HOST = "10.0.2.1", "10.0.3.1"


@dataclass(frozen=True, slots=True)
class Setup:
    """How large a run is, and what may happen in it. Rates a second, times in seconds."""

    fronts: int = 3
    edges: int = 4
    parents: int = 2
    rate: float = 60.0
    seconds: float = 8.0
    orders: float = 0.08
    edits: float = 0.08
    faults: int = 6
    weight: float = 8.0  # flows that a cache's link carries, as listed
    kinds: tuple[str, ...] = ("restart", "drain", "purge", "vanish", "reset", "front", "bus")
    objects: int = 120
    room: int = 4 << 20  # bytes that an edge keeps
    after: float = 10.0  # for which it goes on, so that all that was asked has its answer
    injected: int = 2  # faults on connections between fronts and caches, of any kind that a plan has


class VirtualClock(Clock):
    """A machine's clocks: its Unix clock may be set apart, its steady one may run too fast or too slow."""

    def __init__(self, world: World, ahead: float = 0.0, drift: float = 0.0) -> None:
        self.world, self.ahead, self.drift, self.born = world, ahead, drift, world.now

    def now(self) -> float:  # type: ignore[override]
        return self.world.now + 1.0 + self.drift * (self.world.now - self.born)

    def unix(self) -> float:  # type: ignore[override]
        return self.world.unix() + self.ahead + self.drift * (self.world.now - self.born)

    def random_bytes(self, size: int) -> bytes:  # type: ignore[override]
        return self.world.chance.randbytes(size)


class Asker(Connection):
    """A client's connection: asks what it is given, gives up what takes too long, asks again when told to."""

    def __init__(self, run: "Run", front: int) -> None:
        self.run, self.front, self.ring = run, front, Ring(1 << 21)
        self.open: dict[int, dict[str, str]] = {}
        self.seqid, self.up, self.last = 0, False, 0.0

    def connectionMade(self) -> None:
        self.up = True
        self.run.askers[self.front].append(self)

    def ask(self, fields: dict[str, str]) -> None:
        self.seqid += 1
        self.open[self.seqid], self.last = fields, self.run.world.now
        if self.transport:
            self.transport.write(client_calls.process(self.seqid, fields, b"x" * 100))

    def dataReceived(self, data: bytes) -> None:
        for heard in client_calls.feed(self.ring, data):
            fields = self.open.pop(heard.seqid, None)
            if fields and heard.outcome == "throttled" and "after" in heard.fields:
                self.run.again(fields, int(heard.fields["after"]) / 1000)

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        if self.seqid in self.open and self.run.world.now < self.last + CROSSED:  # it crossed the close
            self.run.clients.callLater(0.0, self.run.ask_at, self.front, self.open[self.seqid])
        self.open.clear()
        if self in self.run.askers[self.front]:
            self.run.askers[self.front].remove(self)
        self.run.clients.callLater(0.2, self.run.dial, self.front)


class AskerFactory(ClientFactory):
    def __init__(self, run: "Run", front: int) -> None:
        self.run, self.front = run, front

    def buildProtocol(self, addr: Any) -> Asker:
        return Asker(self.run, self.front)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.run.clients.callLater(0.2, self.run.dial, self.front)


@dataclass
class Result:
    seed: int
    breaches: list[Breach]
    counts: dict[str, int]
    log: list[str] = field(repr=False)
    faults: list[str]
    strikes: dict[str, int] = field(default_factory=dict)
    differ: list[str] = field(default_factory=list)
    byte_digest: str = ""  # of raw bytes and their times: names in the code do not change it

    def digest(self) -> str:
        return hashlib.sha256("\n".join(self.log).encode()).hexdigest()


class Run:
    """`change` may alter a front before it starts: the sabotage of tests."""

    def __init__(
        self, seed: int, setup: Setup | None = None, change: Callable[[Front], None] | None = None
    ) -> None:
        self.seed, self.setup, self.change = seed, setup or Setup(), change
        self.rng, self.world = random.Random(seed), World(seed + 1)
        self.sizes = Sizes(median=6000)
        self.log: list[str] = []
        self.auditor = Auditor(RULES)
        self.links = self.asked = 0
        self.away: set[str] = set()  # caches that are down and will be back
        self.injector = Injector(self.draw_plan(), seed)
        shape = self.setup
        kinds = [("box", "e", shape.edges), ("parent", "p", shape.parents), ("origin", "o", 1)]
        self.boxes = Boxes([], self.sizes)
        self.machines: dict[str, Machine] = {}
        self.targets: dict[str, dict[str, Any]] = {}
        self.uid_at: dict[str, str] = {}  # host -> uid
        for kind, letter, count in kinds:
            for number in range(1, count + 1):
                self.start_box(f"{letter}{number}", kind, f"10.0.1.{len(self.targets) + 1}", 0.0)
        self.clients = Machine(self.world, "clients", CLIENT_HOST)
        bus = Machine(self.world, "bus", BUS_HOST)
        self.bus = BusServer(bus, list(self.targets.values()))
        bus.listenTCP(BUS_PORT, self.bus)
        self.fronts: dict[int, tuple[Machine, Front]] = {}
        self.askers: dict[int, list[Asker]] = {n: [] for n in range(1, shape.fronts + 1)}

    # The parts.

    def start_box(self, uid: str, kind: str, host: str, boot: float) -> None:
        machine = self.machines[uid] = Machine(self.world, uid, host)
        room = {"box": self.setup.room, "parent": 4 * self.setup.room, "origin": 0}[kind]
        slow = 0.02 if kind == "origin" else 0.002  # writes take five times as long
        box = self.boxes.boxes[uid] = Box(uid, kind, room, slow)
        if kind == "box":
            self.boxes.links[uid] = type(self.boxes.hub)(6e6, 0.01)
        server = BoxServer(machine, self.boxes, box, lambda: self.world.now, self.world.unix)
        machine.listenTCP(BOX_PORT, server)
        zone = "z" if kind == "box" else "h"
        self.targets[uid] = target(uid, kind, zone, BOX_PORT, boot=boot, weight=self.setup.weight, host=host)
        self.uid_at[host] = uid

    def start_front(self, number: int) -> None:
        machine = Machine(self.world, f"n{number}", f"10.0.0.{number}")
        shape, family = self.setup, dict(SETTINGS["family_info"])
        family |= {"count_by_zone": [0, shape.fronts], "lifetime_by_class_us": [0, 0, 0]}
        family |= {"older_by_us": [0, 0, 0], "pass_on": [False, True, True]}
        settings = {**SETTINGS, "siblings": shape.fronts, "family_info": family}
        settings["lanes"] = [*SETTINGS["lanes"], EDIT]
        text = configuration(
            list(self.targets.values()), f"{machine.host}:{FRONT_PORT}", f"{BUS_HOST}:{BUS_PORT}",
            machine.name, f"{self.seed}/{number}/{self.world.now}", LIMITS, settings, open_cap=400,
        )  # fmt: skip
        raw = json.loads(text)
        raw["known"] = {"offset": self.bus.events[-1]["offset"], "batch": self.bus.events}
        front = self.made(machine, read_site(json.dumps(raw)))
        front.listener.epoll_set_factory = NoEpollSet
        if self.change:
            self.change(front)
        self.fronts[number] = machine, front
        self.auditor.started(machine.name)
        front.start()

    def made(self, machine: Machine, site: Site) -> Front:
        return Front(machine, site, clock=VirtualClock(self.world))

    def dial(self, number: int) -> None:
        self.clients.connectTCP(f"10.0.0.{number}", FRONT_PORT, AskerFactory(self, number))

    def draw_plan(self) -> Plan:
        """Faults for the lines between fronts and caches, drawn so that each run has a few of some kinds."""
        held: dict[str, dict[str, str]] = {}
        for number in range(self.setup.injected):
            kind = self.rng.choice(sorted(DRAWN))
            fault = {"kind": kind, "direction": "back", "chance": f"{self.rng.uniform(0.002, 0.03):.4f}"}
            for key, choices in DRAWN[kind].items():
                fault[key] = self.rng.choice(choices)
            held[f"{number} {kind}"] = fault
        return plan(held, "lines") if held else Plan("lines", ())

    # Load.

    def arrivals(self) -> None:
        shape, at = self.setup, 0.3
        weights = objects.popular(self.rng, shape.objects)
        while (at := at + self.rng.expovariate(shape.rate)) < shape.seconds:
            rank = bisect(weights, self.rng.random() * weights[-1]) + 1
            drawn = self.rng.random()
            kind = (
                "edit" if drawn < shape.edits else "order" if drawn < shape.edits + shape.orders else "photo"
            )
            self.world.plan(at, lambda kind=kind, rank=rank: self.ask(self.fields(kind, rank)))  # type: ignore[misc]

    def fields(self, kind: str, rank: int) -> dict[str, str]:
        key, part = objects.key_of(rank), self.rng.randrange(2)
        self.asked += 1
        fields = {
            "class": kind, "id": f"{self.asked:016x}", "wait": str(int(WAIT[kind] * 1000)), "key": key,
            "nth": str(part), "batch": str(rank % GROUPS), "kb": str(self.sizes.kb(key, part)),
        }  # fmt: skip
        return fields | ({"once": f"{self.asked:032x}"} if kind == "order" else {})

    def ask(self, fields: dict[str, str]) -> None:
        ready = [a for n in sorted(self.askers) for a in self.askers[n] if a.up and len(a.open) < 30]
        if ready:
            self.rng.choice(ready).ask(fields)

    def ask_at(self, front: int, fields: dict[str, str]) -> None:
        ready = [a for a in self.askers[front] if a.up and len(a.open) < 30]
        if ready:
            ready[0].ask(fields)

    def again(self, fields: dict[str, str], after: float) -> None:
        if fields.get("retry") is None:
            self.asked += 1
            held = fields | {"id": f"{self.asked:016x}", "retry": "1"}
            self.clients.callLater(after, self.ask, held)

    # What goes wrong.

    def troubles(self) -> None:
        for _ in range(self.setup.faults):
            kind = self.rng.choice(self.setup.kinds)
            at = self.rng.uniform(0.8, self.setup.seconds - 1.5)
            self.world.plan(at, getattr(self, f"do_{kind}"))

    def note(self, text: str) -> None:
        self.log.append(f"{self.world.now:.6f} {text}")

    def tell(self, **event: Any) -> None:
        self.bus.tell(**event)
        told = self.bus.events[-1]
        self.note(f"bus {json.dumps(told)}")
        self.auditor.told(self.world.now, self.world.unix(), told)

    def relist(self, uid: str, state: str) -> None:
        self.targets[uid] = self.targets[uid] | {"state": state}
        self.tell(topology={"rev": len(self.bus.events), "all": False, "targets": [self.targets[uid]]})
        if state == "removed":
            del self.targets[uid]

    def some(self, *kinds: str) -> str | None:
        held = self.targets.items()
        found = [u for u, t in held if t["model"] in kinds and t["state"] == "up" and u not in self.away]
        return self.rng.choice(found) if len(found) > 1 else None

    def do_restart(self) -> None:
        """A cache dies and is back, empty, half a second later; the list tells its start."""
        if uid := self.some("box", "parent"):
            self.restart(uid)

    def restart(self, uid: str) -> None:
        self.note(f"restart of {uid}")
        self.machines[uid].kill()
        host, kind = self.machines[uid].host, self.targets[uid]["model"]
        self.away.add(uid)

        def back() -> None:
            self.away.discard(uid)
            self.start_box(uid, kind, host, int(self.world.unix() * 1000))
            self.relist(uid, "up")

        self.world.plan(0.5, back)

    def do_drain(self) -> None:
        """A cache is told to drain, leaves two seconds later, and another takes its address."""
        if uid := self.some("box"):
            host = self.machines[uid].host
            self.relist(uid, "draining")

            def leave() -> None:
                self.relist(uid, "removed")
                self.machines[uid].kill()
                self.start_box(f"{uid}x", "box", host, int(self.world.unix() * 1000))
                self.relist(f"{uid}x", "up")

            self.world.plan(2.0, leave)

    def do_purge(self) -> None:
        key = objects.key_of(self.rng.randint(1, 6))
        stamp = int(self.world.unix() * 1000)
        if self.rng.random() < 0.7:
            self.tell(ban={"url": key, "ts": stamp})
            keys = {key}
        else:
            self.tell(ban={"tag": 1, "ts": stamp})
            keys = {objects.key_of(rank) for rank in range(1, self.setup.objects + 1) if rank % GROUPS == 1}
        gone = SETTINGS["family_info"]["gone_everywhere_us"] / 1e6
        self.world.plan(gone, lambda: self.drop(keys, stamp))

    def drop(self, keys: set[str], stamp: int) -> None:
        """By now no copy older than the purge is left anywhere."""
        for box in self.boxes.boxes.values():
            for place in [p for p, copy in box.held.items() if p[0] in keys and copy.born < stamp]:
                box.used -= box.held.pop(place).size

    def do_vanish(self) -> None:
        """A cache says nothing more for a second."""
        if uid := self.some("box", "parent"):
            host = self.machines[uid].host
            self.note(f"{uid} vanishes")
            self.world.lost.add(host)
            self.world.plan(1.0, lambda: self.world.lost.discard(host))

    def do_reset(self) -> None:
        """All connections of a cache are reset under what is out on them."""
        uid = "o1" if self.rng.random() < 0.5 else self.some("box", "parent") or "o1"
        self.note(f"connections of {uid} are reset")
        for transport in list(self.machines[uid].transports):
            transport.abortConnection()

    def do_front(self) -> None:
        """A front is killed and started again."""
        number = self.rng.choice(sorted(self.fronts))
        machine, _ = self.fronts[number]
        if machine.alive:
            self.note(f"front {number} is killed")
            self.auditor.killed(machine.name)
            machine.kill()
            self.world.plan(0.4, lambda: self.start_front(number))

    def do_bus(self) -> None:
        """The bus breaks off in the middle for all its readers."""
        self.note("the bus breaks off")
        for reader in list(self.bus.readers):
            if reader.transport:
                reader.transport.write(b'id: 999\ndata: {"off')
                reader.transport.abortConnection()

    # The witness.

    def watch(self, near: Transport, far: Transport) -> None:
        """Tap a connection that has come up: `near` dialled `far`."""
        self.links += 1
        link, names = self.links, {m.host: m.name for m, _ in self.fronts.values()}
        if near.machine.host == CLIENT_HOST:
            front, other = names[far.machine.host], "clients"
            near.tap = self.ear(link, front, other, "calls")
            far.tap = self.ear(link, front, other, "heard")
            side = far
        elif near.machine.host in names and far.machine.host in self.uid_at:
            front, other = names[near.machine.host], self.uid_at[far.machine.host]
            near.tap = self.ear(link, front, other, "commands")
            far.tap = self.ear(link, front, other, "answers")
            far.stream = self.injector.stream(link, Direction.BACK, self.world.now)
            side = near
        else:
            return
        lose = side.lose

        def lost(kind: type[Exception]) -> None:
            if not side.ended:
                self.see(Seen(self.world.now, link, front, other, "gone"))
            lose(kind)

        side.lose = lost  # type: ignore[method-assign]

    def ear(self, link: int, front: str, other: str, kind: str) -> Ear:
        return Ear(kind, lambda what: self.see(Seen(self.world.now, link, front, other, what)))

    def see(self, seen: Seen) -> None:
        self.note(f"{seen.link} {seen.front} {seen.other} {seen.what!r:.300}")
        self.auditor.see(seen)

    def play(self) -> Result:
        self.world.watch = self.watch
        for number in self.askers:
            self.start_front(number)
            for _ in range(3):
                self.dial(number)
        self.arrivals()
        self.troubles()
        self.world.run(self.setup.seconds + self.setup.after)
        breaches = self.auditor.verdict(self.world.now)
        differ = self.disagreements()
        struck = dict(self.injector.struck)
        return Result(
            self.seed,
            breaches,
            dict(self.auditor.counts),
            self.log,
            self.world.faults,
            struck,
            differ,
            self.world.byte_digest(),
        )

    def disagreements(self) -> list[str]:
        """On what fronts that share state differ at the end; these share none."""
        return []


class NoEpollSet:
    """Descriptors where there are none: nothing is parked."""

    def __init__(self, reactor: Any) -> None:
        pass

    def detach(self, transport: Any) -> int | None:
        return None

    def fileno(self) -> int:
        return -1

    def poll_readable(self, most: int) -> list[int]:
        return []

    def close_set(self) -> None:
        pass
