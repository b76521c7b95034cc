"""A complete emulated site in this process: servers on free ports of loopback, fronts as child processes."""

import random
import socket
import sys
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path
from typing import Any, BinaryIO

from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from weldbend.testbed.emulator.cache_model import EmulatedCache, EmulatedCaches, Link
from weldbend.testbed.emulator.configuration import LIMITS, SETTINGS, configuration, target
from weldbend.testbed.emulator.objects import PartSizes
from weldbend.testbed.emulator.servers import CacheServer, EventBusServer
from weldbend.testbed.errors import TestbedError
from weldbend.testbed.reactor import ProcessReactor

LOOPBACK = "127.0.0.1"
FRONT_PORTS = range(20_000, 32_768)  # below those that Linux gives out by itself
READY_LINE = b"serves on"  # in the log of a front that serves
LOG_TAIL = 4096  # bytes of a log in which that is looked for
CACHE_WEIGHT = 100.0  # flows that a cache's link carries

# Versions before 0.4 close what is idle for 4.5 s: not here, so that it can be measured.
KEEP_IDLE_CONNECTIONS = "from weldbend.clients import connection; connection.IDLE = 1e6; "
RUN_COMMAND_LINE = "from weldbend.cli import main; main()"


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """What an emulated site looks like."""

    edges: int = 4
    parents: int = 2
    fronts: int = 1
    edge_capacity: int = 48 << 20  # bytes
    parent_capacity: int = 192 << 20  # bytes
    edge_rate: float = 12.5e6  # bytes a second of the link of an edge to its parents
    edge_delay: float = 0.02  # seconds of delay on it
    origin_rate: float = 50e6  # bytes a second of the link of the origin to all parents
    cache_rate: float = 60e6  # bytes a second of the link of an edge or parent to the fronts
    cache_weight: float = CACHE_WEIGHT  # of an edge or parent, in the endpoint list
    cache_max_open: int = 64  # commands that an edge or parent executes at a time
    sizes: PartSizes = field(default_factory=PartSizes)
    sockets: int = 1024  # of each front
    memory_mb: int = 192  # of each front
    open_cap: int = 400  # requests that a front may have open


class NoFreePortError(TestbedError):
    """No port for a front is free."""

    def __init__(self) -> None:
        super().__init__(f"no port of {FRONT_PORTS.start} to {FRONT_PORTS.stop - 1} is free")


class FrontProcess(ProcessProtocol):
    """One front: `on_ready` is called once it serves, `on_end` with its exit code; `log` gets its log."""

    def __init__(self, on_ready: Callable[[], None], on_end: Callable[[int], None], log: BinaryIO) -> None:
        self.on_ready = on_ready
        self.on_end = on_end
        self.log = log
        self.is_ready = False
        self.tail = b""  # of the log, until it is ready

    def errReceived(self, data: bytes) -> None:
        """The front has logged something."""
        self.log.write(data)
        self.log.flush()
        if not self.is_ready:
            self.tail = (self.tail + data)[-LOG_TAIL:]
            if READY_LINE in self.tail:
                self.is_ready = True
                self.tail = b""
                self.on_ready()

    def processEnded(self, reason: Failure) -> None:
        """The front has ended; a signal is a negative exit code."""
        value: Any = reason.value
        self.on_end(value.exitCode if value.exitCode is not None else -(value.signal or 1))


class EmulatedSite:
    """Servers that listen, the configuration of each front, and the fronts once they are started."""

    def __init__(self, reactor: ProcessReactor, settings: SiteSettings, folder: Path | None = None) -> None:
        self.reactor = reactor
        self.settings = settings
        self.folder = folder or Path(tempfile.mkdtemp(prefix="weldbend-lab-"))
        kinds = [("box", "e", settings.edges), ("parent", "p", settings.parents), ("origin", "o", 1)]
        capacities = {"box": settings.edge_capacity, "parent": settings.parent_capacity, "origin": 0}
        caches = [
            self._cache(f"{letter}{number}", kind, capacities[kind])
            for kind, letter, count in kinds
            for number in range(1, count + 1)
        ]
        self.caches = EmulatedCaches(
            caches, settings.sizes, settings.edge_rate, settings.edge_delay, settings.origin_rate
        )
        self.targets = [self._listen(cache) for cache in caches]
        self.bus = EventBusServer(reactor, self.targets)
        self.bus_port: int = reactor.listenTCP(0, self.bus, interface=LOOPBACK).getHost().port
        self.fronts: list[str] = []  # addresses
        self.processes: list[Any] = []
        self.reserved_ports: list[socket.socket] = []  # of the fronts, while this process lives

    def _cache(self, uid: str, kind: str, capacity: int) -> EmulatedCache:
        if kind == "origin":
            return EmulatedCache(uid, kind, capacity)
        uplink = Link(self.settings.cache_rate)
        return EmulatedCache(uid, kind, capacity, max_open=self.settings.cache_max_open, uplink=uplink)

    def _listen(self, cache: EmulatedCache) -> dict[str, Any]:
        """Serve a cache; its entry in the endpoint list."""
        server = CacheServer(self.reactor, self.caches, cache)
        port = self.reactor.listenTCP(0, server, interface=LOOPBACK).getHost().port
        zone = "z" if cache.kind == "box" else "h"
        weight = CACHE_WEIGHT if cache.kind == "origin" else self.settings.cache_weight
        return target(cache.uid, cache.kind, zone, port, capacity_hint=weight)

    def configure(self, number: int, bus_port: int | None = None) -> tuple[Path, str]:
        """Write the configuration of one front; returns its file and the address that it will listen on.

        `bus_port` is where it reaches the event bus; None for the bus itself.
        """
        listen = f"{LOOPBACK}:{self._reserve_port()}"
        limits = LIMITS | {"sockets": self.settings.sockets, "memory_mb": self.settings.memory_mb}
        zones = {"count_by_zone": [0, self.settings.fronts], "one_flow_kb_per_s": 1000.0}
        settings = SETTINGS | {
            "siblings": self.settings.fronts,
            "family_info": SETTINGS["family_info"] | zones,
        }
        text = configuration(
            self.targets,
            limits,
            settings,
            listen=listen,
            bus=f"{LOOPBACK}:{bus_port or self.bus_port}",
            name=f"n{number}",
            seed=str(number),
            open_cap=self.settings.open_cap,
        )
        path = self.folder / f"front-{number}.json"
        path.write_text(text)
        return path, listen

    def _reserve_port(self) -> int:
        """A free port for a front: bound here without listening, so that the front alone can listen on it.

        Were it only looked up, any connect or other program on this machine might be given it before the
        front listens. The system gives out none of these by itself.

        Raises:
            NoFreePortError: All are taken.
        """
        first = random.randrange(len(FRONT_PORTS))
        for port in chain(FRONT_PORTS[first:], FRONT_PORTS[:first]):
            reserved = socket.socket()
            try:
                reserved.bind((LOOPBACK, port))
            except OSError:
                reserved.close()
                continue
            # Only now, so that nobody else who reserves a port is given the same one.
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.reserved_ports.append(reserved)
            return port
        raise NoFreePortError

    def start(
        self,
        on_ready: Callable[[], None],
        on_end: Callable[[int], None],
        options: tuple[str, ...] = (),
        program: str | None = None,
        preludes: Sequence[str] = (),
    ) -> None:
        """Start all fronts; `program` is another tree whose weldbend they run, to compare with.

        `preludes` are Python statements, one for each front, that are executed before it loads.
        `on_ready` is called once, when all serve; `on_end` with the exit code of each.
        """
        missing = self.settings.fronts

        def on_one_ready() -> None:
            nonlocal missing
            missing -= 1
            if not missing:
                on_ready()

        code = KEEP_IDLE_CONNECTIONS + RUN_COMMAND_LINE if program else RUN_COMMAND_LINE
        for number in range(1, self.settings.fronts + 1):
            path, listen = self.configure(number)
            self.fronts.append(listen)
            log = (self.folder / f"front-{number}.log").open("wb")
            prelude = preludes[number - 1] if preludes else ""
            command = [sys.executable, "-O", "-c", prelude + code, "serve", "--config", str(path), *options]
            protocol = FrontProcess(on_one_ready, on_end, log)
            process = self.reactor.spawnProcess(
                protocol, sys.executable, command, env=None, path=program or "."
            )
            self.processes.append(process)

    def stop(self) -> None:
        """End all fronts with SIGTERM."""
        for process in self.processes:
            if process.pid:
                process.signalProcess("TERM")

    def pids(self) -> list[int]:
        """The process numbers of the fronts that run."""
        return [process.pid for process in self.processes if process.pid]

    def counts(self) -> dict[str, int]:
        """The counters of all caches, by kind of cache and name of the counter."""
        totals: dict[str, int] = {}
        for cache in self.caches.by_uid.values():
            for name, count in cache.counts.items():
                key = f"{cache.kind} {name}"
                totals[key] = totals.get(key, 0) + count
        return totals
