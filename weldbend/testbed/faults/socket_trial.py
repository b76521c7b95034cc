"""Runs a front with failing socket calls, drawn from a seed, and checks its external behaviour.

    python -m weldbend.testbed.faults.socket_trial --seeds 1..20

Each trial consists of an emulated site, a front under `weldbend.testbed.faults.socket_faults`, a period of
load, a pause in which connections become idle, and a second period of load during which the front gets
SIGTERM. The rules:

- each request gets one final answer before its client's timeout; only requests on client connections that an
  injected fault ended may get none;
- no request has two attempts in flight, and no command is repeated after its deduplication window;
- client connections end only because of injected faults;
- the front exits with code 0, does not busy-loop, and has no internal errors.

Prints a JSON line for each seed; exits with 1 if a rule was violated.
"""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

from twisted.internet import reactor as installed_reactor
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from weldbend.buffers.ring import Ring
from weldbend.testbed.emulator.cache_commands import Command
from weldbend.testbed.emulator.cache_model import EmulatedCache
from weldbend.testbed.emulator.configuration import target
from weldbend.testbed.emulator.emulated_site import (
    CACHE_WEIGHT,
    LOOPBACK,
    EmulatedSite,
    FrontProcess,
    SiteSettings,
)
from weldbend.testbed.emulator.servers import CacheConnection, CacheServer
from weldbend.testbed.faults.call_faults import ALL_FAULTS, Call, ends_connection, error_name
from weldbend.testbed.load import client_calls
from weldbend.testbed.load.generator import Load, LoadClient, LoadPlan
from weldbend.testbed.reactor import ProcessReactor

LAUNCHER = "weldbend.testbed.faults.socket_faults"
# Durations of the phases of a trial, in seconds.
FIRST_LOAD = 1.5
IDLE_TIME = 1.2
SECOND_LOAD = 1.0
STOP_AFTER = 0.6  # seconds from the start of the second load to SIGTERM; the front accepts for 0.7 s more
FAULTY_SECONDS = 5.5  # seconds over which faults are spread: start, loads and shutdown
RATE = 90.0  # requests per second
ORDERS = 0.15  # fraction of requests that are orders
IDLE_CLIENTS = 12
NEW_CLIENTS = 3  # clients that connect while no request is open, and during the shutdown
IDLE_TIMEOUT = 4.0  # seconds without a call after which a front may close a connection
RECONNECT_DELAY = 0.1  # seconds from the start of the idle phase and of the shutdown
DEDUPLICATION_WINDOW = 3.0  # seconds, as the emulated site's settings state it for orders
OVERLAP_SLACK = 0.05  # seconds by which the end of an older attempt may reach the emulated cache late
# Average over a trial; a front that busy-loops makes ten times as many.
MAX_WAITS_PER_SECOND = 4000
END_TIMEOUT = 12.0  # seconds from SIGTERM after which a front counts as hung
CONNECTION_FAULTS = {  # call and error in record lines of faults that may end a connection
    (call.value, error_name(number)) for call, number in ALL_FAULTS if ends_connection(call, number)
}


@dataclass
class AttemptAudit:
    """Checks the attempts that arrive at the emulated caches.

    Attributes:
        reactor: reactor for delayed checks.
        violations: descriptions of the violated rules.
        in_flight: connections on which a request has an attempt in flight, by the request's id.
        first_sent: time of the first attempt with an idempotency key, by key.
    """

    reactor: ProcessReactor
    violations: list[str] = field(default_factory=list)
    in_flight: dict[str, list["AuditedConnection"]] = field(default_factory=dict)
    first_sent: dict[str, float] = field(default_factory=dict)

    def on_attempt_sent(self, command: Command, connection: "AuditedConnection") -> None:
        """Record an attempt that has arrived, and check the rules."""
        now = time.monotonic()
        for older in self.in_flight.setdefault(command.name, []):
            self.reactor.callLater(OVERLAP_SLACK, self._check_ended, command.name, older)
        self.in_flight[command.name].append(connection)
        key = command.fields.get("uniq")
        if key and now > self.first_sent.setdefault(key, now) + DEDUPLICATION_WINDOW:
            self.violations.append(f"effect asked for again beyond its window: {key}")

    def on_attempt_ended(self, name: str, connection: "AuditedConnection") -> None:
        """Record the end of an attempt: it was answered or cancelled, or its connection has ended."""
        if connection in self.in_flight.get(name, []):
            self.in_flight[name].remove(connection)

    def _check_ended(self, name: str, older: "AuditedConnection") -> None:
        if older in self.in_flight[name]:
            self.violations.append(f"two attempts in flight: {name}")


class AuditedConnection(CacheConnection):
    """Connection to an emulated cache that reports to the audit."""

    def __init__(self, server: CacheServer, audit: AttemptAudit) -> None:
        super().__init__(server)
        self.audit = audit

    def handle(self, command: Command) -> None:
        """Report attempts and cancellations."""
        if command.word == "do":
            self.audit.on_attempt_sent(command, self)
        super().handle(command)
        if command.word == "undo":
            self.audit.on_attempt_ended(command.name, self)

    def write(self, data: bytes) -> None:
        """Report an answer; it begins with the request's id."""
        self.audit.on_attempt_ended(data.partition(b" ")[0].decode(), self)
        super().write(data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the end of all attempts in flight on this connection."""
        for name in list(self.pending):
            self.audit.on_attempt_ended(name, self)
        super().connectionLost(reason)


class AuditedServer(CacheServer):
    """Emulated cache whose connections report to the audit."""

    def __init__(self, reactor: ProcessReactor, site: "AuditedSite", cache: EmulatedCache) -> None:
        super().__init__(reactor, site.caches, cache)
        self.audit = site.audit

    def buildProtocol(self, addr: IAddress | None) -> AuditedConnection:
        """Create the protocol for a connection from the front."""
        return AuditedConnection(self, self.audit)


class AuditedSite(EmulatedSite):
    """Emulated site whose caches report to the audit."""

    def __init__(self, reactor: ProcessReactor, settings: SiteSettings, folder: Path) -> None:
        self.audit = AttemptAudit(reactor)
        super().__init__(reactor, settings, folder)

    def _listen(self, cache: EmulatedCache) -> dict[str, Any]:
        server = AuditedServer(self.reactor, self, cache)
        port = self.reactor.listenTCP(0, server, interface=LOOPBACK).getHost().port
        zone = "z" if cache.kind == "box" else "h"
        return target(cache.uid, cache.kind, zone, port, capacity_hint=CACHE_WEIGHT)


class IdleClient(Connection):
    """Client that sends a health check, stays idle, and sends another."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, clients: "IdleClients") -> None:
        self.clients = clients
        self.ring = Ring(1 << 16)
        self.requested_at = 0.0

    def connectionMade(self) -> None:
        """Send the first health check."""
        self.clients.connected.append(self)
        self.send_probe(1)

    def send_probe(self, seqid: int) -> None:
        """Send a health check."""
        if self.transport:
            self.requested_at = time.monotonic()
            self.clients.counts["asked"] += 1
            self.transport.write(client_calls.probe(seqid))

    def dataReceived(self, data: bytes) -> None:
        """Count answers."""
        self.clients.counts["answered"] += len(list(client_calls.feed_answers(self.ring, data)))

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Count the end of the connection, unless this client or an idle timeout may have caused it."""
        self.clients.connected.remove(self)
        is_idle = time.monotonic() > self.requested_at + IDLE_TIMEOUT
        if not (self.clients.is_finished or is_idle):
            self.clients.counts["ended"] += 1


class IdleClients(ClientFactory):
    """Group of clients that stay idle between two health checks."""

    noisy = False

    def __init__(self) -> None:
        self.connected: list[IdleClient] = []
        self.counts: Counter[str] = Counter()
        self.is_finished = False

    def buildProtocol(self, addr: IAddress | None) -> IdleClient:
        """Create the protocol for a new connection."""
        return IdleClient(self)

    def send_again(self) -> None:
        """Send the second health check on all connections."""
        for client in list(self.connected):
            client.send_probe(2)

    def close(self) -> None:
        """Close all connections."""
        self.is_finished = True
        for client in list(self.connected):
            client.transport.loseConnection()


class TrialLoad(Load):
    """Load that ends as soon as each request is answered or lost."""

    def remove_client(self, client: LoadClient) -> None:
        """Remove a disconnected client; finish the load if its lost requests were the last open ones."""
        super().remove_client(client)
        if self.started_at:
            self._finish_if_answered()


class Trial:
    """Trial of one seed: its site, front and loads, run phase by phase."""

    def __init__(self, reactor: ProcessReactor, seed: int, folder: Path) -> None:
        self.reactor = reactor
        self.seed = seed
        self.folder = folder
        self.site = AuditedSite(reactor, SiteSettings(edges=3, parents=1), folder)
        self.record = folder / "injected.jsonl"
        self.log = folder / "front.log"
        self.loads: list[Load] = []
        self.idle_clients = IdleClients()
        self.late_clients = IdleClients()  # clients whose connections the front may close while it shuts down
        self.phase_starts: dict[str, float] = {}  # start time of each phase
        self.exit_code: int | None = None
        self.process: Any = None
        self.address = ""

    def start(self) -> None:
        """Start the front; the other phases follow once it is ready."""
        path, self.address = self.site.configure(1)
        options = ["--seed", str(self.seed), "--seconds", str(FAULTY_SECONDS), "--record", str(self.record)]
        command = [sys.executable, "-O", "-m", LAUNCHER, *options, "--", "serve", "--config", str(path)]
        protocol = FrontProcess(self._ready, self._ended, self.log.open("wb"))
        self._begin("start")
        self.process = self.reactor.spawnProcess(protocol, sys.executable, command, env=None)

    def _begin(self, phase: str) -> None:
        self.phase_starts[phase] = time.monotonic()

    def _ready(self) -> None:
        self._connect(self.idle_clients, IDLE_CLIENTS)
        self._begin("load")
        self._play(FIRST_LOAD, self._start_idle_phase)

    def _connect(self, clients: IdleClients, count: int) -> None:
        host, _, port = self.address.rpartition(":")
        for _ in range(count):
            self.reactor.connectTCP(host, int(port), clients, timeout=5)

    def _force_reconnections(self, clients: IdleClients) -> None:
        """Make the front accept clients and reconnect to the bus, as it makes few other calls now."""
        self._connect(clients, NEW_CLIENTS)
        for reader in list(self.site.bus.readers):
            reader.transport.abortConnection()

    def _play(self, seconds: float, on_end: Any) -> None:  # noqa: ANN401  # a callback of Load
        plan = LoadPlan(RATE, seconds, 60, ORDERS, 6, self.seed * 10 + len(self.loads))
        load = TrialLoad(self.reactor, plan, [self.address], self.site.settings.sizes, lambda _: on_end())
        self.loads.append(load)
        load.start()

    def _start_idle_phase(self) -> None:
        self._begin("idle")
        self.reactor.callLater(RECONNECT_DELAY, self._force_reconnections, self.idle_clients)
        self.reactor.callLater(IDLE_TIME, self._resume_load)

    def _resume_load(self) -> None:
        self._begin("load again")
        self.idle_clients.send_again()
        self._play(SECOND_LOAD, self.idle_clients.close)
        self.reactor.callLater(STOP_AFTER, self._stop)

    def _stop(self) -> None:
        self._begin("shutdown")
        if self.process.pid:
            self.process.signalProcess("TERM")
        self.reactor.callLater(RECONNECT_DELAY, self._force_reconnections, self.late_clients)
        self.reactor.callLater(END_TIMEOUT, self._kill_hung_front)

    def _kill_hung_front(self) -> None:
        if self.exit_code is None:
            self.site.audit.violations.append("the front did not end")
            self.process.signalProcess("KILL")

    def _ended(self, code: int) -> None:
        self.exit_code = code
        if self.reactor.running:
            self.reactor.stop()

    # Report.

    def report(self) -> dict[str, Any]:
        """Return the injected faults, the results of the load, and the violated rules."""
        lines = [json.loads(line) for line in self.record.read_text().splitlines()]
        injected = [line for line in lines if "call" in line]
        totals = next((line for line in lines if "calls" in line), {"calls": {}, "seconds": 0.0})
        counts: Counter[str] = sum((load.tally.counts for load in self.loads), Counter())
        return {
            "seed": self.seed,
            "violations": self.site.audit.violations + self._violations(injected, counts, totals),
            "counts": dict(counts),
            "probes": dict(self.idle_clients.counts),
            "calls": totals["calls"],
            "injected": dict(
                Counter(f"{line['call']} {line['error']} | {self._phase(line['at'])}" for line in injected)
            ),
        }

    def _phase(self, moment: float) -> str:
        return max((at, phase) for phase, at in self.phase_starts.items() if at <= moment)[1]

    def _violations(
        self, injected: list[dict[str, Any]], counts: Counter[str], totals: dict[str, Any]
    ) -> list[str]:
        breaking = [line for line in injected if (line["call"], line["error"]) in CONNECTION_FAULTS]
        at_clients = sum(line["side"] != "connected" for line in breaking)
        ended = counts["connections lost"] + self.idle_clients.counts["ended"]
        probes = self.idle_clients.counts
        late_probes = self.late_clients.counts
        errors = self.log.read_text(errors="replace").count("internal error at")
        waits = totals["calls"].get(Call.EPOLL_WAIT.value, 0) / max(totals["seconds"], 1.0)
        rules = {
            "exit code": self.exit_code != 0,
            "requests without an answer": counts["unanswered"] > 0 or counts["not asked"] > 0,
            "a second answer": counts["answers to nothing asked"] > 0,
            "answers too late": counts["after the expiry"] > 0,
            "answers with other bytes": counts["spoilt"] > 0,
            f"{ended} client connections ended, {at_clients} faults at clients": ended > at_clients,
            "requests lost without a lost connection": counts["lost"] > 0 and not at_clients,
            "probes without an answer": probes["asked"] - probes["answered"] > probes["ended"],
            "late probes without an answer": late_probes["asked"] - late_probes["answered"] > at_clients,
            f"{errors} internal errors": errors > 0,
            f"{waits:.0f} waits a second": waits > MAX_WAITS_PER_SECOND,
            "no load": counts["fulfilled"] == 0,
        }
        return [rule for rule, is_violated in rules.items() if is_violated]


def run_seed(seed: int) -> bool:
    """Run one trial in this process and print its report; return whether no rule was violated."""
    reactor = cast(ProcessReactor, installed_reactor)
    with tempfile.TemporaryDirectory(prefix="weldbend-sockets-") as folder:
        trial = Trial(reactor, seed, Path(folder))
        reactor.callWhenRunning(trial.start)
        reactor.run()
        report = trial.report()
        if report["violations"]:
            report["log"] = trial.log.read_text(errors="replace")[-4000:]
    print(json.dumps(report), flush=True)
    return not report["violations"]


def main() -> None:
    """Run one seed in this process, or each of several in a process of its own."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", required=True, help="one seed, or FIRST..LAST")
    first, _, last = parser.parse_args().seeds.partition("..")
    if not last:
        sys.exit(not run_seed(int(first)))
    command = [sys.executable, "-m", "weldbend.testbed.faults.socket_trial", "--seeds"]
    codes = [subprocess.run([*command, str(seed)]).returncode for seed in range(int(first), int(last) + 1)]
    sys.exit(any(codes))


if __name__ == "__main__":
    main()
