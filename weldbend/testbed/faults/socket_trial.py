"""Runs one front whose socket calls fail by a seed, and audits it from outside.

    python -m weldbend.testbed.faults.socket_trial --seeds 1..20

Each trial has an emulated site, a front under `weldbend.testbed.faults.socket_faults`, load, a quiet time in
which connections become idle, load again, and SIGTERM in the middle of that. The rules:

- each request has one final answer, before its client's time is over; only requests on client connections
  that an injected fault ended have none;
- no request has two attempts in flight, and no effect is asked for again beyond its deduplication window;
- no client connection ends but by an injected fault;
- the front ends with exit code 0, does not spin, and has no internal errors.

Prints a JSON line for each seed; exits with 1 where a rule was violated.
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
# Seconds of each part of a trial.
FIRST_LOAD = 1.5
IDLE_TIME = 1.2
SECOND_LOAD = 1.0
STOP_AFTER = 0.6  # seconds of the second load until SIGTERM; the front accepts for 0.7 s from then on
FAULTY_SECONDS = 5.5  # over which faults are spread: start, loads and shutdown
RATE = 90.0  # requests a second
ORDERS = 0.15  # fraction of requests that are orders
IDLE_CLIENTS = 12
NEW_CLIENTS = 3  # that connect while nothing is open, and during the shutdown
IDLE_TIMEOUT = 4.0  # seconds without a call after which a front may be about to close a connection
RECONNECT_DELAY = 0.1  # seconds from the beginning of these phases
DEDUPLICATION_WINDOW = 3.0  # seconds, as the emulated site's settings state it for orders
OVERLAP_SLACK = 0.05  # seconds within which the end of an older attempt may reach the emulated cache
MAX_WAITS_PER_SECOND = (
    4000  # waits a second, on the average of a trial: a front that spins makes ten times as many
)
END_TIMEOUT = 12.0  # seconds from SIGTERM until a front counts as hanging
CONNECTION_FAULTS = {  # what a record line says of a fault that may end a connection
    (call.value, error_name(number)) for call, number in ALL_FAULTS if ends_connection(call, number)
}


@dataclass
class AttemptAudit:
    """What the emulated caches see of attempts.

    Attributes:
        violations: rules that were violated, in words.
        in_flight: connections that each request is in flight on, by the request's id.
        first_sent: when an idempotency key was sent first, by the key.
    """

    reactor: ProcessReactor
    violations: list[str] = field(default_factory=list)
    in_flight: dict[str, list["AuditedConnection"]] = field(default_factory=dict)
    first_sent: dict[str, float] = field(default_factory=dict)

    def on_attempt_sent(self, command: Command, connection: "AuditedConnection") -> None:
        """An attempt has come."""
        now = time.monotonic()
        for older in self.in_flight.setdefault(command.name, []):
            self.reactor.callLater(OVERLAP_SLACK, self._check_ended, command.name, older)
        self.in_flight[command.name].append(connection)
        key = command.fields.get("uniq")
        if key and now > self.first_sent.setdefault(key, now) + DEDUPLICATION_WINDOW:
            self.violations.append(f"effect asked for again beyond its window: {key}")

    def on_attempt_ended(self, name: str, connection: "AuditedConnection") -> None:
        """An attempt was answered, cancelled, or its connection has ended."""
        if connection in self.in_flight.get(name, []):
            self.in_flight[name].remove(connection)

    def _check_ended(self, name: str, older: "AuditedConnection") -> None:
        if older in self.in_flight[name]:
            self.violations.append(f"two attempts in flight: {name}")


class AuditedConnection(CacheConnection):
    """A connection to an emulated cache that reports to the audit."""

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
        """Report answers; each begins with the request's id."""
        self.audit.on_attempt_ended(data.partition(b" ")[0].decode(), self)
        super().write(data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the end of all that is in flight here."""
        for name in list(self.pending):
            self.audit.on_attempt_ended(name, self)
        super().connectionLost(reason)


class AuditedServer(CacheServer):
    """An emulated cache whose connections report to the audit."""

    def __init__(self, reactor: ProcessReactor, site: "AuditedSite", cache: EmulatedCache) -> None:
        super().__init__(reactor, site.caches, cache)
        self.audit = site.audit

    def buildProtocol(self, addr: IAddress | None) -> AuditedConnection:
        """A connection of the front."""
        return AuditedConnection(self, self.audit)


class AuditedSite(EmulatedSite):
    """An emulated site whose caches report to the audit."""

    def __init__(self, reactor: ProcessReactor, settings: SiteSettings, folder: Path) -> None:
        self.audit = AttemptAudit(reactor)
        super().__init__(reactor, settings, folder)

    def _listen(self, cache: EmulatedCache) -> dict[str, Any]:
        server = AuditedServer(self.reactor, self, cache)
        port = self.reactor.listenTCP(0, server, interface=LOOPBACK).getHost().port
        zone = "z" if cache.kind == "box" else "h"
        return target(cache.uid, cache.kind, zone, port, capacity_hint=CACHE_WEIGHT)


class IdleClient(Connection):
    """A client that asks for a health check, is idle, and asks again."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, clients: "IdleClients") -> None:
        self.clients = clients
        self.ring = Ring(1 << 16)
        self.requested_at = 0.0

    def connectionMade(self) -> None:
        """Ask for the first time."""
        self.clients.connected.append(self)
        self.send_probe(1)

    def send_probe(self, seqid: int) -> None:
        """Ask for a health check."""
        if self.transport:
            self.requested_at = time.monotonic()
            self.clients.counts["asked"] += 1
            self.transport.write(client_calls.probe(seqid))

    def dataReceived(self, data: bytes) -> None:
        """Count answers."""
        self.clients.counts["answered"] += len(list(client_calls.feed_answers(self.ring, data)))

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Count the end of the connection, where it was neither this client's nor for its idleness."""
        self.clients.connected.remove(self)
        is_idle = time.monotonic() > self.requested_at + IDLE_TIMEOUT
        if not (self.clients.is_finished or is_idle):
            self.clients.counts["ended"] += 1


class IdleClients(ClientFactory):
    """Some clients that are idle for a while."""

    noisy = False

    def __init__(self) -> None:
        self.connected: list[IdleClient] = []
        self.counts: Counter[str] = Counter()
        self.is_finished = False

    def buildProtocol(self, addr: IAddress | None) -> IdleClient:
        """A connection is up."""
        return IdleClient(self)

    def send_again(self) -> None:
        """Have all ask for the second time."""
        for client in list(self.connected):
            client.send_probe(2)

    def close(self) -> None:
        """End all connections."""
        self.is_finished = True
        for client in list(self.connected):
            client.transport.loseConnection()


class TrialLoad(Load):
    """A load that ends as soon as all is answered or lost."""

    def remove_client(self, client: LoadClient) -> None:
        """A connection has ended: the last requests may have been lost with it."""
        super().remove_client(client)
        if self.started_at:
            self._finish_if_answered()


class Trial:
    """One seed: its site, its front and its loads, one step after another."""

    def __init__(self, reactor: ProcessReactor, seed: int, folder: Path) -> None:
        self.reactor = reactor
        self.seed = seed
        self.folder = folder
        self.site = AuditedSite(reactor, SiteSettings(edges=3, parents=1), folder)
        self.record = folder / "injected.jsonl"
        self.log = folder / "front.log"
        self.loads: list[Load] = []
        self.idle_clients = IdleClients()
        self.late_clients = IdleClients()  # whose connections the front may close, as it ends
        self.phase_starts: dict[str, float] = {}  # when each phase began
        self.exit_code: int | None = None
        self.process: Any = None
        self.address = ""

    def start(self) -> None:
        """Start the front; all else follows from its readiness."""
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
        """Have the front accept, connect to the bus and read it anew: else it makes few calls now."""
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

    # The report.

    def report(self) -> dict[str, Any]:
        """What was injected, what became of the load, and what violates the rules."""
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
    """Run one trial in this process, and print its report; whether no rule was violated."""
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
    """Run one seed here, or several, each in a process of its own."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", required=True, help="one, or FIRST..LAST")
    first, _, last = parser.parse_args().seeds.partition("..")
    if not last:
        sys.exit(not run_seed(int(first)))
    command = [sys.executable, "-m", "weldbend.testbed.faults.socket_trial", "--seeds"]
    codes = [subprocess.run([*command, str(seed)]).returncode for seed in range(int(first), int(last) + 1)]
    sys.exit(any(codes))


if __name__ == "__main__":
    main()
