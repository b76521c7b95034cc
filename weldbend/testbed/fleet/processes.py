"""A fleet of real `serve` processes on the emulated site, with a relay on each path between two fronts.

Each front also has a relay of its own on its path to the event bus.
"""

import contextlib
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from weldbend.fleet.view_comparison import differences
from weldbend.testbed.emulator.emulated_site import LOOPBACK, EmulatedSite, FrontProcess, SiteSettings
from weldbend.testbed.errors import TestbedError
from weldbend.testbed.fleet.control_query import Answer, send_query
from weldbend.testbed.fleet.plan_player import Paths
from weldbend.testbed.fleet.relay_network import DatagramRelay, LinkRelay, RelayNetwork
from weldbend.testbed.reactor import ProcessReactor, ProcessTransport

# Ports that are tried. They are below those that the system assigns to outgoing connections.
PORT_RANGE = 10_000, 30_000
PORT_STRIDE = 97  # distance between the first ports that two processes with consecutive ids try
BUS = 0  # number of the event bus in paths, in place of a front's
END_CHECK_INTERVAL = 0.02  # seconds between two checks whether a signalled front has ended
SHUTDOWN_CHECK_INTERVAL = 0.1  # seconds between two checks whether a restarting front has ended
QUICK_SETTINGS = """interval = 200 ms
timeout = 80 ms
alone = 1500 ms
exchange = 300 ms
stalled = 500 ms
"""
# Program that runs the command line with the Unix clock ahead by its first argument, in seconds.
SHIFTED_CLOCK = (
    "import sys, time; ahead, unix = float(sys.argv.pop(1)), time.time; "
    "time.time = (lambda: unix() + ahead) if ahead else unix; "
    "from weldbend.cli import main; main()"
)

Event = dict[str, object]  # printed as one line of JSON


class NoFreePortError(TestbedError):
    """All ports of PORT_RANGE are in use."""

    def __init__(self) -> None:
        super().__init__("no port is free")


@dataclass(frozen=True, slots=True)
class FleetSiteSettings:
    """Settings of a fleet of processes."""

    site: SiteSettings
    zones: tuple[str, ...] = ()  # zones, assigned to the fronts in turn; empty: no zones
    installation: str = QUICK_SETTINGS  # further lines of the [fleet] section
    folder: Path | None = None  # folder for configurations and logs; None: a new one


class FleetSite:
    """A fleet of fronts as processes; the backend of fleet plans with real processes.

    `on_event` is called with each event: starts, readiness and ends of fronts, and events of a plan.
    """

    def __init__(
        self,
        reactor: ProcessReactor,
        settings: FleetSiteSettings,
        seed: int,
        on_event: Callable[[Event], None],
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.site = EmulatedSite(reactor, settings.site, settings.folder)
        self.folder = self.site.folder
        self.bus = self.site.bus
        self.on_event = on_event
        self.started_at = time.monotonic()
        self.network = RelayNetwork(reactor, seed)
        self.assigned_ports = set[int]()
        self.numbers = range(1, settings.site.fronts + 1)
        self.ports = {number: self._free_port() for number in self.numbers}
        self.controls = {number: f"{LOOPBACK}:{self._free_port()}" for number in self.numbers}
        self.running: dict[int, ProcessTransport] = {}
        self.configurations: dict[int, Path] = {}
        self.addresses: dict[int, str] = {}  # addresses for clients, by front
        self.suspended: set[int] = set()  # fronts that are stopped by SIGSTOP
        self.terminating: set[int] = set()  # fronts that were sent SIGKILL or SIGTERM and have not ended yet
        self.is_ended = False
        self.on_ready: Callable[[int], None] = lambda number: None
        reactor.addSystemEventTrigger("before", "shutdown", self.end_all)
        (self.folder / "keys").write_text("0badcafe " + "5a" * 32 + "\n")
        for number in self.numbers:
            bus_port = self._relay(number, BUS, self.site.bus_port)
            self.configurations[number], self.addresses[number] = self.site.configure(number, bus_port)
            self.installation_path(number).write_text(self._installation(number))

    def _free_port(self) -> int:
        """Return a free port that was not returned before.

        The port is outside the range that the system assigns to outgoing connections, so that it stays free
        until its front listens. As a side effect, two concurrent testbeds may try the same port; the later
        one then takes the next free port.

        Raises:
            NoFreePortError: All ports of PORT_RANGE are in use.
        """
        first, last = PORT_RANGE
        begin = os.getpid() * PORT_STRIDE % (last - first)
        for step in range(last - first):
            port = first + (begin + step) % (last - first)
            if port not in self.assigned_ports:
                self.assigned_ports.add(port)
                with socket.socket() as candidate, contextlib.suppress(OSError):
                    candidate.bind((LOOPBACK, port))
                    return port
        raise NoFreePortError

    def _relay(self, one: int, other: int, port: int) -> int:
        """Start a relay from front `one` to `other`, which listens at `port`; returns the relay's port."""
        relay = LinkRelay(self.network, (one, other), port)
        number = int(self.reactor.listenTCP(0, relay, interface=LOOPBACK).getHost().port)
        if other != BUS:
            datagrams = DatagramRelay(self.network, (one, other), port)
            self.reactor.listenUDP(number, datagrams, interface=LOOPBACK)
        return number

    def _zone(self, number: int) -> str:
        zones = self.settings.zones
        return zones[(number - 1) % len(zones)] if zones else ""

    def installation_path(self, number: int) -> Path:
        """Return the path of a front's installation file."""
        return self.folder / f"n{number}.ini"

    def _installation(self, number: int) -> str:
        peers = []
        for peer in self.numbers:
            if peer != number:
                port = self._relay(number, peer, self.ports[peer])
                zone = self._zone(peer)
                peers.append(f"n{peer}@{LOOPBACK}:{port}" + (f"/{zone}" if zone else ""))
        return (
            f"[fleet]\nlisten = {LOOPBACK}:{self.ports[number]}\nkeys = {self.folder / 'keys'}\n"
            f"zone = {self._zone(number) or 'none'}\npeers = {', '.join(peers)}\n"
            f"control = {self.controls[number]}\n{self.settings.installation}"
        )

    # Backend of plans.

    def call_later(self, delay: float, call: Callable[[], object]) -> object:
        """Schedule a call after `delay` seconds."""
        return self.reactor.callLater(delay, call)

    def report_event(self, **event: object) -> None:
        """Report an event, with the time since the start in seconds."""
        self.on_event({"at": round(time.monotonic() - self.started_at, 3)} | event)

    def block(self, paths: Paths) -> None:
        """Block some paths."""
        self.network.blocked |= paths

    def unblock(self, paths: Paths) -> None:
        """Unblock some paths."""
        self.network.unblock(paths)

    def degrade(self, paths: Paths, kind: str, amount: float) -> None:
        """Set the delay (slow), loss (lossy) or duplication (double) of some paths."""
        self.network.degrade(paths, kind, amount)

    def start(self, number: int, clock_offset: float = 0.0, program: str | None = None) -> None:
        """Start a front, unless it is running.

        If the front was sent a signal to end and its process has not ended yet, the start is retried until
        it has: otherwise a plan's start right after a kill would be ignored.
        """
        if self.is_ended:
            return
        if number in self.running:
            if number in self.terminating:
                self.call_later(END_CHECK_INTERVAL, lambda: self.start(number, clock_offset, program))
            return
        log = (self.folder / f"n{number}.log").open("ab")
        command = [
            *(sys.executable, "-O", "-c", SHIFTED_CLOCK, str(clock_offset)),
            *("serve", "--config", str(self.configurations[number])),
            *("--installation", str(self.installation_path(number))),
        ]
        process = FrontProcess(lambda: self._is_ready(number), lambda code: self._ended(number, code), log)
        self.running[number] = self.reactor.spawnProcess(
            process, sys.executable, command, env=None, path=program or "."
        )
        self.report_event(front=f"n{number}", started=True)

    def _is_ready(self, number: int) -> None:
        self.report_event(front=f"n{number}", serves=self.addresses[number])
        self.on_ready(number)

    def _ended(self, number: int, code: int) -> None:
        self.running.pop(number, None)
        self.suspended.discard(number)
        self.terminating.discard(number)
        self.report_event(front=f"n{number}", ended=code)

    def signal(self, number: int, name: str) -> None:
        """Send a signal, given by its short name such as KILL, to a front if it is running."""
        if process := self.running.get(number):
            process.signalProcess(getattr(signal, f"SIG{name}"))
            if name in ("KILL", "TERM"):
                self.terminating.add(number)

    def kill(self, number: int) -> None:
        """Kill a front."""
        self.signal(number, "KILL")

    def suspend(self, number: int, duration: float) -> None:
        """Suspend a front by SIGSTOP for a time."""
        self.signal(number, "STOP")
        self.suspended.add(number)
        self.call_later(duration, lambda: self._resume(number))

    def _resume(self, number: int) -> None:
        if number in self.suspended:
            self.suspended.discard(number)
            self.signal(number, "CONT")

    def restart(self, number: int) -> None:
        """Stop a front by SIGTERM, and start it again when it has ended."""
        self.signal(number, "TERM")
        self.call_later(SHUTDOWN_CHECK_INTERVAL, lambda: self._start_when_ended(number))

    def _start_when_ended(self, number: int) -> None:
        if number in self.running:
            self.call_later(SHUTDOWN_CHECK_INTERVAL, lambda: self._start_when_ended(number))
        else:
            self.start(number)

    def isolate_from_bus(self, number: int, duration: float) -> None:
        """Block the path between a front and the event bus for a time."""
        paths = {(number, BUS), (BUS, number)}
        self.block(paths)
        self.call_later(duration, lambda: self.unblock(paths))

    def cache_uids(self) -> list[str]:
        """Return the uids of all caches of the site."""
        return [str(target["uid"]) for target in self.site.targets]

    def publish_cache_state(self, uid: str, state: str) -> None:
        """Publish that a cache is `draining`, or that it is `up` and has just started."""
        entry = next(target for target in self.site.targets if target["uid"] == uid)
        entry |= {"state": state} | ({"boot_ms": int(time.time() * 1000)} if state == "up" else {})
        self.bus.publish(topology={"rev": len(self.bus.events), "all": False, "targets": [dict(entry)]})

    def publish_purge(self, group: int) -> None:
        """Publish a purge of a group."""
        self.bus.publish(ban={"tag": group, "ts": int(time.time() * 1000)})

    # Queries of the fronts' state.

    def query(self, number: int, on_answer: Callable[[Answer | None], None], **question: object) -> None:
        """Send one question to one front; `on_answer` gets None if it fails or times out."""
        send_query(self.reactor, self.controls[number], question, on_answer)

    def compare_views(self, on_differences: Callable[[list[str]], None]) -> None:
        """Query the status of all fronts, and pass the differences between them to a callback."""
        views: dict[int, Any] = {}

        def query(number: int) -> None:
            self.query(number, lambda answer: add(number, answer), ask="status")

        def add(number: int, answer: Answer | None) -> None:
            views[number] = (answer or {}).get("ok")
            if len(views) == len(self.numbers):
                on_differences(differences({f"n{n}": view for n, view in sorted(views.items())}))

        for number in self.numbers:
            query(number)

    def end_all(self) -> None:
        """Kill all fronts, and prevent further starts."""
        self.is_ended = True
        for number in list(self.running):
            self.signal(number, "CONT")
            self.signal(number, "KILL")
