"""A complete emulated site: servers on loopback in this process, and fronts as child processes."""

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
FRONT_PORTS = range(20_000, 32_768)  # below Linux's range of ephemeral ports
READY_LINE = b"serves on"  # part of the log line of a front that has started to serve
LOG_TAIL = 4096  # bytes at the end of a log in which READY_LINE is searched
CACHE_WEIGHT = 100.0  # number of flows that a cache's link carries

# Versions before 0.4 close connections that are idle for 4.5 s. This statement disables that, so that idle
# connections can be measured there too.
KEEP_IDLE_CONNECTIONS = "from weldbend.clients import connection; connection.IDLE = 1e6; "
RUN_COMMAND_LINE = "from weldbend.cli import main; main()"


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """Settings of an emulated site.

    Attributes:
        edges: Number of edges.
        parents: Number of parents.
        fronts: Number of fronts.
        edge_capacity: Capacity of an edge in bytes.
        parent_capacity: Capacity of a parent in bytes.
        edge_rate: Throughput of the link from the parents to an edge, in bytes per second.
        edge_delay: Delay of that link in seconds.
        origin_rate: Throughput of the link from the origin to all parents, in bytes per second.
        cache_rate: Throughput of the link from an edge or parent to the fronts, in bytes per second.
        cache_weight: Weight of an edge or parent in the endpoint list.
        cache_max_open: Maximum number of commands that an edge or parent executes at a time.
        sizes: Sizes of the objects' parts.
        sockets: Limit of sockets of each front.
        memory_mb: Memory limit of each front in MB.
        open_cap: Maximum number of open requests of each front.
    """

    edges: int = 4
    parents: int = 2
    fronts: int = 1
    edge_capacity: int = 48 << 20
    parent_capacity: int = 192 << 20
    edge_rate: float = 12.5e6
    edge_delay: float = 0.02
    origin_rate: float = 50e6
    cache_rate: float = 60e6
    cache_weight: float = CACHE_WEIGHT
    cache_max_open: int = 64
    sizes: PartSizes = field(default_factory=PartSizes)
    sockets: int = 1024
    memory_mb: int = 192
    open_cap: int = 400


class NoFreePortError(TestbedError):
    """No port in FRONT_PORTS is free."""

    def __init__(self) -> None:
        super().__init__(f"no port of {FRONT_PORTS.start} to {FRONT_PORTS.stop - 1} is free")


class FrontProcess(ProcessProtocol):
    """Process of one front.

    Attributes:
        on_ready: Callback, called once the front serves.
        on_end: Callback with the exit code of the front.
        log: File to which the front's log is written.
        is_ready: Whether the front serves.
        tail: Last bytes of the log; empty once the front serves.
    """

    def __init__(self, on_ready: Callable[[], None], on_end: Callable[[int], None], log: BinaryIO) -> None:
        self.on_ready = on_ready
        self.on_end = on_end
        self.log = log
        self.is_ready = False
        self.tail = b""

    def errReceived(self, data: bytes) -> None:
        """Write output of the front to its log, and detect that the front serves."""
        self.log.write(data)
        self.log.flush()
        if not self.is_ready:
            self.tail = (self.tail + data)[-LOG_TAIL:]
            if READY_LINE in self.tail:
                self.is_ready = True
                self.tail = b""
                self.on_ready()

    def processEnded(self, reason: Failure) -> None:
        """Report the exit code, which is the negative signal number if a signal ended the front."""
        value: Any = reason.value
        self.on_end(value.exitCode if value.exitCode is not None else -(value.signal or 1))


class EmulatedSite:
    """Servers of a site, which listen from the beginning, and its fronts, which are started separately.

    Attributes:
        settings: Settings of the site.
        folder: Directory for configurations and logs of the fronts.
        caches: Caches, parents and origin.
        targets: Endpoint list.
        bus: Event bus.
        bus_port: Port of the event bus.
        fronts: Addresses of the started fronts.
        processes: Processes of the started fronts.
        reserved_ports: Bound sockets that reserve the ports of the fronts until this process ends.
    """

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
        self.fronts: list[str] = []
        self.processes: list[Any] = []
        self.reserved_ports: list[socket.socket] = []

    def _cache(self, uid: str, kind: str, capacity: int) -> EmulatedCache:
        if kind == "origin":
            return EmulatedCache(uid, kind, capacity)
        uplink = Link(self.settings.cache_rate)
        return EmulatedCache(uid, kind, capacity, max_open=self.settings.cache_max_open, uplink=uplink)

    def _listen(self, cache: EmulatedCache) -> dict[str, Any]:
        """Start the server of a cache, and return its entry in the endpoint list."""
        server = CacheServer(self.reactor, self.caches, cache)
        port = self.reactor.listenTCP(0, server, interface=LOOPBACK).getHost().port
        zone = "z" if cache.kind == "box" else "h"
        weight = CACHE_WEIGHT if cache.kind == "origin" else self.settings.cache_weight
        return target(cache.uid, cache.kind, zone, port, capacity_hint=weight)

    def configure(self, number: int, bus_port: int | None = None) -> tuple[Path, str]:
        """Write the configuration of one front.

        Args:
            number: Number of the front, counted from 1.
            bus_port: Port at which the front reaches the event bus; None for the port of the bus itself.

        Returns:
            Path of the configuration, and the address that the front will listen on.
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
        """Reserve a port for a front, by binding it here without listening; the front can still listen on it.

        If a free port were only looked up, another connection or program on this machine could take it before
        the front listens. The system assigns no port of FRONT_PORTS by itself.

        Raises:
            NoFreePortError: All ports are in use.
        """
        first = random.randrange(len(FRONT_PORTS))
        for port in chain(FRONT_PORTS[first:], FRONT_PORTS[:first]):
            reserved = socket.socket()
            try:
                reserved.bind((LOOPBACK, port))
            except OSError:
                reserved.close()
                continue
            # This lets the front listen. It is set only after the bind, because otherwise another process
            # that reserves ports could reserve the same one.
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
        """Start all fronts.

        Args:
            on_ready: Callback, called once, when all fronts serve.
            on_end: Callback with the exit code of each front.
            options: Additional options of `weldbend serve`.
            program: Another source tree whose weldbend the fronts run, for comparison; None for this one.
            preludes: Python statements for each front, which it executes before it loads weldbend.
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
        """Send SIGTERM to all fronts."""
        for process in self.processes:
            if process.pid:
                process.signalProcess("TERM")

    def pids(self) -> list[int]:
        """Return the process ids of the running fronts."""
        return [process.pid for process in self.processes if process.pid]

    def counts(self) -> dict[str, int]:
        """Return the counters of all caches, summed by kind of cache and name of the counter."""
        totals: dict[str, int] = {}
        for cache in self.caches.by_uid.values():
            for name, count in cache.counts.items():
                key = f"{cache.kind} {name}"
                totals[key] = totals.get(key, 0) + count
        return totals
