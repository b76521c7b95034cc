"""A whole emulated site in this process: servers on free ports of loopback, and fronts as child processes."""

import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from weldbend.testbed.emulator.cache_model import Box, World
from weldbend.testbed.emulator.configuration import LIMITS, SETTINGS, configuration, target
from weldbend.testbed.emulator.objects import Sizes
from weldbend.testbed.emulator.servers import BoxServer, BusServer

LOOPBACK = "127.0.0.1"
READY = b"serves on"


@dataclass(frozen=True, slots=True)
class Shape:
    """What an emulated site looks like. Rates in bytes a second, delays in seconds, room in bytes."""

    edges: int = 4
    parents: int = 2
    fronts: int = 1
    edge_room: int = 48 << 20
    parent_room: int = 192 << 20
    thin: float = 12.5e6
    far: float = 0.02
    sizes: Sizes = field(default_factory=Sizes)
    sockets: int = 1024
    memory_mb: int = 192
    open_cap: int = 400


class FrontProcess(ProcessProtocol):
    """One front: `ready` is called once it serves, `ended` with its exit code; its log goes to `log`."""

    def __init__(self, ready: Callable[[], None], ended: Callable[[int], None], log: Any) -> None:
        self.ready, self.ended, self.log = ready, ended, log
        self.told, self.tail = False, b""

    def errReceived(self, data: bytes) -> None:
        self.log.write(data)
        self.log.flush()
        if not self.told:
            self.tail = (self.tail + data)[-4096:]
            if READY in self.tail:
                self.told, self.tail = True, b""
                self.ready()

    def processEnded(self, reason: Failure) -> None:
        value: Any = reason.value
        self.ended(value.exitCode if value.exitCode is not None else -(value.signal or 1))


class Site:
    """Servers that listen, the configuration of each front, and the fronts once they are started."""

    def __init__(self, reactor: Any, shape: Shape, folder: Path | None = None) -> None:
        self.reactor, self.shape = reactor, shape
        self.folder = folder or Path(tempfile.mkdtemp(prefix="weldbend-lab-"))
        kinds = [("box", "e", shape.edges), ("parent", "p", shape.parents), ("origin", "o", 1)]
        rooms = {"box": shape.edge_room, "parent": shape.parent_room, "origin": 0}
        boxes = [
            Box(f"{letter}{number}", kind, rooms[kind])
            for kind, letter, count in kinds
            for number in range(1, count + 1)
        ]
        self.world = World(boxes, shape.sizes, shape.thin, shape.far)
        self.targets = [self.listen(box) for box in boxes]
        self.bus = BusServer(reactor, self.targets)
        self.bus_port = reactor.listenTCP(0, self.bus, interface=LOOPBACK).getHost().port
        self.fronts: list[str] = []  # addresses
        self.processes: list[Any] = []

    def listen(self, box: Box) -> dict[str, Any]:
        server = BoxServer(self.reactor, self.world, box)
        port = self.reactor.listenTCP(0, server, interface=LOOPBACK).getHost().port
        zone = "z" if box.kind == "box" else "h"
        return target(box.uid, box.kind, zone, port, weight=100)

    def configure(self, number: int) -> tuple[Path, str]:
        """Write the configuration of one front; its file and address."""
        spare = self.reactor.listenTCP(0, BusServer.__new__(BusServer), interface=LOOPBACK)
        listen = f"{LOOPBACK}:{spare.getHost().port}"
        spare.stopListening()
        limits = LIMITS | {"sockets": self.shape.sockets, "memory_mb": self.shape.memory_mb}
        settings = SETTINGS | {"siblings": self.shape.fronts}
        zones = {"count_by_zone": [0, self.shape.fronts], "one_flow_kb_per_s": 1000.0}
        settings["family_info"] = SETTINGS["family_info"] | zones
        text = configuration(
            self.targets, listen, f"{LOOPBACK}:{self.bus_port}", f"n{number}", str(number), limits, settings,
            open_cap=self.shape.open_cap,
        )  # fmt: skip
        path = self.folder / f"front-{number}.json"
        path.write_text(text)
        return path, listen

    def start(
        self,
        ready: Callable[[], None],
        ended: Callable[[int], None],
        options: tuple[str, ...] = (),
        program: str | None = None,
    ) -> None:
        """Start all fronts; `program` is another tree whose weldbend they run, to compare with."""
        waiting = [self.shape.fronts]

        def one_ready() -> None:
            waiting[0] -= 1
            if not waiting[0]:
                ready()

        code = "from weldbend.cli import main; main()"
        if program:  # versions before 0.4 close what is idle for 4.5 s: not here, so that it can be measured
            code = f"from weldbend.clients import connection; connection.IDLE = 1e6; {code}"
        for number in range(1, self.shape.fronts + 1):
            path, listen = self.configure(number)
            self.fronts.append(listen)
            log = (self.folder / f"front-{number}.log").open("wb")
            command = [sys.executable, "-O", "-c", code, "serve", "--config", str(path), *options]
            self.processes.append(
                self.reactor.spawnProcess(
                    FrontProcess(one_ready, ended, log),
                    sys.executable,
                    command,
                    env=None,
                    path=program or ".",
                )
            )

    def stop(self) -> None:
        for process in self.processes:
            if process.pid:
                process.signalProcess("TERM")

    def pids(self) -> list[int]:
        return [process.pid for process in self.processes if process.pid]

    def counts(self) -> dict[str, int]:
        """What all boxes did, by kind of box and deed."""
        found: dict[str, int] = {}
        for box in self.world.boxes.values():
            for what, many in box.counts.items():
                name = f"{box.kind} {what}"
                found[name] = found.get(name, 0) + many
        return found
