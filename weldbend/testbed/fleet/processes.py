"""A fleet of real `serve` processes over the emulated site, with a relay on every way between two of them.

A way is what one front uses to reach another: a port for datagrams and one for the link. It can be cut (what
is on the link waits, datagrams are lost), slowed down, and made to lose or double datagrams, by chances drawn
from the run's seed. Front and event bus have a way of their own.
"""

import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
from collections import defaultdict, deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.protocol import DatagramProtocol
from twisted.protocols.basic import LineOnlyReceiver

from weldbend.fleet.view_comparison import differences
from weldbend.testbed.emulator.emulated_site import LOOPBACK, FrontProcess, Shape, Site
from weldbend.testbed.faults.engine import FaultAction, What
from weldbend.testbed.faults.plan import Direction
from weldbend.testbed.faults.proxy import Proxy, Side
from weldbend.testbed.fleet.plan_player import Ways

PORTS = 10_000, 30_000  # first and last that are tried: the system gives later ones to whoever connects
BUS = 0  # the number under which the bus stands among the fronts
TERMS = """interval = 200 ms
timeout = 80 ms
alone = 1500 ms
exchange = 300 ms
stalled = 500 ms
"""
WRAP = (
    "import sys, time; ahead, told = float(sys.argv.pop(1)), time.time; "
    "time.time = (lambda: told() + ahead) if ahead else told; "
    "from weldbend.cli import main; main()"
)


class Network:
    """The state of all ways, and the chance that they draw from."""

    def __init__(self, reactor: Any, seed: int) -> None:
        self.reactor, self.chance = reactor, random.Random(seed)
        self.closed: set[tuple[int, int]] = set()
        self.worse: dict[str, dict[tuple[int, int], float]] = defaultdict(dict)
        self.hoses: dict[tuple[int, int], list[Hose]] = defaultdict(list)

    def passes(self, way: tuple[int, int]) -> bool:
        return way not in self.closed

    def mend(self, ways: Ways) -> None:
        self.closed -= ways
        for way in ways & set(self.hoses):
            for hose in self.hoses[way]:
                hose.release()


class Ear(DatagramProtocol):
    """Passes datagrams on, from where one front sends to where another hears."""

    noisy = False

    def __init__(self, network: Network, way: tuple[int, int], to: int) -> None:
        self.network, self.way, self.to = network, way, to

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        net, way = self.network, self.way
        if not net.passes(way) or net.chance.random() < net.worse["lossy"].get(way, 0.0):
            return
        slow = net.worse["slow"].get(way, 0.0)
        for _ in range(1 + (net.chance.random() < net.worse["double"].get(way, 0.0))):
            delay = slow * (0.5 + net.chance.random())
            net.reactor.callLater(delay, self.transport.write, datagram, (LOOPBACK, self.to))


class Hose:
    """One direction of a link: what an injector's stream is to a proxy, for a way that is cut or slow."""

    def __init__(self, network: Network, way: tuple[int, int], now: float) -> None:
        self.network, self.way, self.clear = network, way, now
        self.held: deque[FaultAction] = deque()
        self.side: Side | None = None  # what is released goes to its other end

    def feed(self, now: float, data: bytes) -> list[FaultAction]:
        return self.pass_on(now, What.DATA, data)

    def end(self, now: float) -> list[FaultAction]:
        return self.pass_on(now, What.END, b"")

    def pass_on(self, now: float, what: What, data: bytes) -> list[FaultAction]:
        self.clear = max(self.clear, now + self.network.worse["slow"].get(self.way, 0.0))
        fault_action = FaultAction(self.clear, what, data)
        if self.network.passes(self.way) and not self.held:
            return [fault_action]
        self.held.append(fault_action)
        return []

    def release(self) -> None:
        held, self.held = list(self.held), deque()
        if held and self.side and self.side.other:
            self.side.other.plan(held)


class Way(Proxy):
    """The link's end of a way; `there` is from who dials."""

    def __init__(self, network: Network, way: tuple[int, int], to: int) -> None:
        super().__init__(network.reactor, None, LOOPBACK, to)  # type: ignore[arg-type]
        self.network, self.way = network, way

    def pair(self, near: Side, far: Side, number: int) -> None:
        now = time.monotonic()
        hoses = {Direction.THERE: self.way, Direction.BACK: self.way[::-1]}
        made = {to: Hose(self.network, way, now) for to, way in hoses.items()}  # type: ignore[arg-type]
        for to, side in ((Direction.THERE, near), (Direction.BACK, far)):
            made[to].side = side
            self.network.hoses[made[to].way].append(made[to])
        near.other, far.other = far, near
        near.join(far, made[Direction.THERE])  # type: ignore[arg-type]
        far.join(near, made[Direction.BACK])  # type: ignore[arg-type]


class Asker(LineOnlyReceiver):
    """Asks a front's control port one question."""

    delimiter, MAX_LENGTH = b"\n", 1 << 24

    def __init__(self, question: dict[str, Any], told: Callable[[Any], None]) -> None:
        self.question, self.told = question, told

    def connectionMade(self) -> None:
        self.sendLine(json.dumps(self.question).encode())

    def lineReceived(self, line: bytes) -> None:
        self.told(json.loads(line))
        if self.transport:
            self.transport.loseConnection()


class FleetSite(Site):
    """Fronts that know of each other. `said` hears one line of JSON for each thing that happens."""

    def __init__(
        self,
        reactor: Any,
        shape: Shape,
        seed: int,
        said: Callable[[dict[str, Any]], None],
        zones: tuple[str, ...] = (),
        terms: str = TERMS,
        folder: Path | None = None,
    ) -> None:
        super().__init__(reactor, shape, folder)
        self.begun, self.said, self.network = time.monotonic(), said, Network(reactor, seed)
        self.zones, self.terms, self.given = zones, terms, set[int]()
        self.numbers = range(1, shape.fronts + 1)
        self.ports = {n: self.spare() for n in self.numbers}
        self.controls = {n: f"{LOOPBACK}:{self.spare()}" for n in self.numbers}
        self.running: dict[int, Any] = {}
        self.paths: dict[int, Path] = {}
        self.stopped: set[int] = set()  # by SIGSTOP
        self.ending: set[int] = set()  # told to end, and not noticed to have
        self.over = False
        self.ready: Callable[[int], None] = lambda number: None
        self.fronts = [""] * shape.fronts
        reactor.addSystemEventTrigger("before", "shutdown", self.end_all)
        (self.folder / "keys").write_text("0badcafe " + "5a" * 32 + "\n")
        bus = self.bus_port
        for number in self.numbers:
            self.bus_port = self.way(number, BUS, bus)  # what its configuration names
            self.paths[number], self.fronts[number - 1] = self.configure(number)
            (self.folder / f"n{number}.ini").write_text(self.installation(number))
        self.bus_port = bus

    def spare(self) -> int:
        """A port that is free now, and that is given once.

        Guards against losing it before its front listens: it is none of those that the system gives to
        whoever connects. Harm: two laboratories at once may try the same; the later one takes the next.
        """
        first, last = PORTS
        begin = os.getpid() * 97 % (last - first)
        for step in range(last - first):
            port = first + (begin + step) % (last - first)
            if port not in self.given:
                self.given.add(port)
                with socket.socket() as held, contextlib.suppress(OSError):
                    held.bind((LOOPBACK, port))
                    return port
        raise OSError("no port is free")

    def way(self, one: int, other: int, port: int) -> int:
        """A port at which `one` reaches `other`, which listens at `port`."""
        here = self.reactor.listenTCP(0, Way(self.network, (one, other), port), interface=LOOPBACK)
        number = int(here.getHost().port)
        if other != BUS:
            self.reactor.listenUDP(number, Ear(self.network, (one, other), port), interface=LOOPBACK)
        return number

    def zone(self, number: int) -> str:
        return f"/{self.zones[(number - 1) % len(self.zones)]}" if self.zones else ""

    def installation(self, number: int) -> str:
        peers = ", ".join(
            f"n{n}@{LOOPBACK}:{self.way(number, n, self.ports[n])}{self.zone(n)}"
            for n in self.numbers
            if n != number
        )
        zone = self.zone(number)[1:] or "none"
        return (
            f"[fleet]\nlisten = {LOOPBACK}:{self.ports[number]}\nkeys = {self.folder / 'keys'}\n"
            f"zone = {zone}\npeers = {peers}\ncontrol = {self.controls[number]}\n{self.terms}"
        )

    # What a plan asks for.

    def later(self, delay: float, call: Callable[[], object]) -> object:
        return self.reactor.callLater(delay, call)

    def event(self, **said: Any) -> None:
        self.said({"at": round(time.monotonic() - self.begun, 3)} | said)

    def cut(self, ways: Ways) -> None:
        self.network.closed |= ways

    def mend(self, ways: Ways) -> None:
        self.network.mend(ways)

    def worsen(self, ways: Ways, kind: str, much: float) -> None:
        self.network.worse[kind].update(dict.fromkeys(ways, much))

    def start(self, number: int, ahead: float = 0.0, program: str | None = None) -> None:
        """One that was told to end is started again once it has; nothing where it goes on running.

        Guards plans against a start told when the end is not noticed yet: it would be passed over.
        """
        if self.over:
            return
        if number in self.running:
            if number in self.ending:
                self.later(0.02, lambda: self.start(number, ahead, program))
            return
        log = (self.folder / f"n{number}.log").open("ab")
        command = [
            sys.executable, "-O", "-c", WRAP, str(ahead), "serve", "--config", str(self.paths[number]),
            "--installation", str(self.folder / f"n{number}.ini"),
        ]  # fmt: skip
        protocol = FrontProcess(lambda: self.is_ready(number), lambda code: self.ended(number, code), log)
        self.running[number] = self.reactor.spawnProcess(
            protocol, sys.executable, command, env=None, path=program or "."
        )
        self.event(front=f"n{number}", started=True)

    def is_ready(self, number: int) -> None:
        self.event(front=f"n{number}", serves=self.fronts[number - 1])
        self.ready(number)

    def ended(self, number: int, code: int) -> None:
        self.running.pop(number, None)
        self.stopped.discard(number)
        self.ending.discard(number)
        self.event(front=f"n{number}", ended=code)

    def signal(self, number: int, name: str) -> None:
        """By its short name, such as KILL; nothing where that front is not running."""
        if process := self.running.get(number):
            process.signalProcess(getattr(signal, f"SIG{name}"))
            if name in ("KILL", "TERM"):
                self.ending.add(number)

    def kill(self, number: int) -> None:
        self.signal(number, "KILL")

    def stop(self, number: int, lasts: float) -> None:  # type: ignore[override]
        self.signal(number, "STOP")
        self.stopped.add(number)
        self.later(lasts, lambda: self.go_on(number))

    def go_on(self, number: int) -> None:
        if number in self.stopped:
            self.stopped.discard(number)
            self.signal(number, "CONT")

    def end(self, number: int) -> None:
        """SIGTERM, and started again once it has ended."""
        self.signal(number, "TERM")
        self.later(0.1, lambda: self.start_again(number))

    def start_again(self, number: int) -> None:
        if number in self.running:
            self.later(0.1, lambda: self.start_again(number))
        else:
            self.start(number)

    def no_bus(self, number: int, lasts: float) -> None:
        ways = {(number, BUS), (BUS, number)}
        self.cut(ways)
        self.later(lasts, lambda: self.mend(ways))

    def tell_cache(self, uid: str, state: str) -> None:
        held = next(one for one in self.targets if one["uid"] == uid)
        held |= {"state": state} | ({"boot_ms": int(time.time() * 1000)} if state == "up" else {})
        self.bus.tell(topology={"rev": len(self.bus.events), "all": False, "targets": [dict(held)]})

    def tell_purge(self, group: int) -> None:
        self.bus.tell(ban={"tag": group, "ts": int(time.time() * 1000)})

    # Asking.

    def ask(self, number: int, told: Callable[[Any], None], **question: Any) -> None:
        """One question to one front; `told` has the answer, or nothing where there is none in time."""
        from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

        host, _, port = self.controls[number].rpartition(":")
        answered: list[bool] = []

        def once(answer: Any) -> None:
            if not answered:
                answered.append(True)
                told(answer)

        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=2)
        connectProtocol(endpoint, Asker(question, once)).addErrback(lambda _: once(None))
        self.later(3.0, lambda: once(None))

    def verdict(self, told: Callable[[list[str]], None]) -> None:
        """On what the fronts differ now: nothing, where all is well."""
        found: dict[int, Any] = {}

        def heard(number: int, answer: Any) -> None:
            found[number] = (answer or {}).get("ok")
            if len(found) == len(self.numbers):
                told(differences({f"n{n}": held for n, held in sorted(found.items())}))

        for number in self.numbers:
            self.ask(number, lambda answer, number=number: heard(number, answer), ask="status")  # type: ignore[misc]

    def end_all(self) -> None:
        self.over = True
        for number in list(self.running):
            self.signal(number, "CONT")
            self.signal(number, "KILL")
