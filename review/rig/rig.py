# ruff: noqa: ANN001, ANN003, ANN201, ANN204, C901, D101, D102, D103, PLR0911, PLR2004, TRY003
"""Stand-ins for the platform, the event bus, caches and clients of a front, on loopback and the real clock.

A case builds a `Site`, starts fronts with the command of the deploy file, sends requests, causes its trouble
and judges what clients and servers saw. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE = 0.5  # seconds after a request's time until which a final answer is not lost (STANDING)
SLACK = 0.05  # seconds by which each time limit is longer on sockets (PROTOCOL)


class CannotRunError(Exception):
    """The case could not be carried out."""


# Thrift, framed transport and strict binary protocol.


def text(value: bytes | str) -> bytes:
    raw = value.encode() if isinstance(value, str) else value
    return struct.pack(">i", len(raw)) + raw


def call(name: str, seqid: int, arguments: bytes, kind: int = 1) -> bytes:
    data = struct.pack(">I", 0x80010000 | kind) + text(name) + struct.pack(">i", seqid) + arguments + b"\0"
    return struct.pack(">i", len(data)) + data


def process_arguments(fields: dict[str, str], body: bytes = b"") -> bytes:
    pairs = b"".join(text(item) for pair in fields.items() for item in pair)
    head = b"\x0d\0\x01\x0b\x0b" + struct.pack(">i", len(fields)) + pairs
    return head + b"\x0b\0\x02" + text(body)


def probe_call(seqid: int) -> bytes:
    return call("probe", seqid, b"\x02\0\x01\x01")


def give_up_call(seqid: int) -> bytes:
    return call("giveUp", 0, b"\x08\0\x01" + struct.pack(">i", seqid), kind=4)


class Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, form: str):
        value = struct.unpack_from(">" + form, self.data, self.at)
        self.at += struct.calcsize(">" + form)
        return value[0]

    def bytes(self) -> bytes:
        length = self.take("i")
        if length < 0 or self.at + length > len(self.data):
            raise ValueError("length")
        self.at += length
        return self.data[self.at - length : self.at]

    def map(self) -> dict[str, str]:
        self.take("H")
        return {self.bytes().decode(): self.bytes().decode() for _ in range(self.take("i"))}

    def struct(self) -> dict:
        found = {}
        while kind := self.take("B"):
            number = self.take("h")
            readers = {12: self.struct, 13: self.map, 11: self.bytes}
            read = readers.get(kind) or (lambda kind=kind: self.take({2: "B", 8: "i"}[kind]))
            found[number] = read()
        return found


def read_reply(data: bytes) -> tuple[int, str, bytes, dict[str, str]]:
    """Return sequence id, outcome, body and fields of a reply."""
    reader = Reader(data)
    kind = reader.take("I") & 0xFF
    name = reader.bytes().decode()
    seqid = reader.take("i")
    result = reader.struct()
    if reader.at != len(data):
        raise ValueError("trailing bytes")
    if kind == 3:
        return seqid, "exception", result.get(1, b""), {}
    ((number, value),) = result.items()
    if name == "probe":
        return seqid, "good" if value.get(3) else "not good", b"", {}
    outcome = {0: "served", 1: "refused", 2: "failed"}[number]
    return seqid, outcome, value.get(1, b"") if number == 0 else b"", value.get(2, {}) if number == 0 else {}


# Servers.


class Bus:
    """The event bus. `mode`: up, refuse (no listener), or silent (accepts and never answers)."""

    def __init__(self, site: "Site") -> None:
        self.site = site
        self.events: list[dict] = []
        self.readers: dict[asyncio.Transport, None] = {}
        self.lost: list[asyncio.Transport] = []
        self.mode = "up"
        self.server = None
        self.port = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: BusConnection(self), HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if not hasattr(self, "beat"):
            self.beat = asyncio.ensure_future(self.comments())

    async def comments(self) -> None:
        while True:
            await asyncio.sleep(1)
            for reader in self.readers:
                reader.write(b": here\n\n")

    def publish(self, **event) -> float:
        numbered = {"offset": len(self.events) + 1} | event
        self.events.append(numbered)
        for reader in list(self.readers):
            reader.write(self.encode(numbered))
        self.site.log("bus publishes", event=json.dumps(numbered)[:160])
        return time.monotonic()

    @staticmethod
    def encode(event: dict) -> bytes:
        return f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode()

    def list_caches(self, caches, whole: bool = False) -> float:
        targets = [cache.entry() for cache in caches]
        return self.publish(topology={"rev": len(self.events) + 1, "all": whole, "targets": targets})


class BusConnection(asyncio.Protocol):
    def __init__(self, bus: Bus) -> None:
        self.bus, self.data, self.served = bus, b"", False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        if self.served or b"\r\n\r\n" not in self.data:
            return
        self.served = True
        if self.bus.mode == "silent":
            self.bus.site.log("bus call gets no response")
            self.bus.lost.append(self.transport)
            return
        last = 0
        for line in self.data.decode("latin-1").split("\r\n"):
            if line.lower().startswith("last-event-id:"):
                last = int(line.split(":")[1])
        self.bus.site.log("bus call answered", last=last)
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
        for event in self.bus.events:
            if event["offset"] > last:
                self.transport.write(self.bus.encode(event))
        self.bus.readers[self.transport] = None

    def connection_lost(self, error) -> None:
        self.bus.readers.pop(self.transport, None)


class Cache:
    """A cache, parent or origin.

    `stopped`: hangs, so that nothing is answered until it is set to False. `delay`: seconds to an answer, a
    number or a function of the command; None: no answer ever. `spoil`: function that may replace the bytes
    of an answer.
    """

    def __init__(self, site: "Site", uid: str, model: str, zone: str, weight: float = 10.0, group: int = 0):
        self.site, self.uid, self.model, self.zone, self.weight = site, uid, model, zone, weight
        self.group = group
        self.state, self.boot_ms = "up", 0
        self.copies: dict[tuple[str, str], float] = {}  # born (Unix ms) by key and part
        self.connections: set[CacheConnection] = set()
        self.stopped = False
        self.delay = 0.01
        self.answer = None  # function(command) -> (word, fields, body) or None for the usual answer
        self.spoil = lambda command, data: data
        self.server = None
        self.port = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: CacheConnection(self), HOST, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """End the process: connections are reset, new ones are refused."""
        self.server.close()
        for connection in list(self.connections):
            connection.reset()
        self.copies.clear()

    def entry(self) -> dict:
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": self.zone,
            "model": self.model,
            "state": self.state,
            "pod_group": self.group,
            "capacity_hint": self.weight,
            "boot_ms": self.boot_ms,
        }

    def find(self, command: "Command") -> float | None:
        born = self.copies.get(command.part)
        oldest = int(command.fields.get("oldest", "0"))
        if born is None or (oldest and time.time() * 1000 - born > oldest):
            return None
        return born

    def execute(self, command: "Command") -> tuple[str, dict[str, str], bytes]:
        site, fields = self.site, command.fields
        is_write = site.classes[fields["queue"]]["write"]
        source = site.caches.get(fields.get("from", ""))
        if is_write:
            if self.model != "origin" and not (source and source.model in ("origin", "parent")):
                return "LACK", {}, b""
            site.effects.append((time.monotonic(), fields.get("uniq", ""), command.name, self.uid))
            return "DONE", {"ver": "aa", "born": str(int(time.time() * 1000)), "detail": "o"}, b"done"
        if self.model == "origin":
            return self.done(command, time.time() * 1000, "h")
        if (born := self.find(command)) is not None:
            return self.done(command, born, "h")
        if source is None:
            return "LACK", {}, b""
        modes = fields.get("mode", "").split("+")
        if source.model == "origin":
            born, detail = time.time() * 1000, "o"
        elif (born := source.find(command)) is not None:
            detail = "f"
        elif "h" in modes:
            return "LACK", {}, b""
        else:
            born, detail = time.time() * 1000, "o"
            if "n" not in modes:
                source.copies[command.part] = born
        if int(fields.get("rank", "0")):
            self.copies[command.part] = born
        return self.done(command, born, detail)

    def done(self, command: "Command", born: float, detail: str) -> tuple[str, dict[str, str], bytes]:
        part = f"{command.part[0]}/{command.part[1]}/{int(born)}/"
        body = part.encode().ljust(self.site.body_size, b".")
        return (
            "DONE",
            {"ver": "ab", "born": str(int(born)), "detail": detail, "use": "inflight:1;util:0.1"},
            body,
        )


class Command:
    def __init__(self, name: str, fields: dict[str, str], body: bytes) -> None:
        self.name, self.fields, self.body = name, fields, body
        self.part = fields.get("path", ""), fields.get("blk", "0")
        self.received = time.monotonic()
        self.ended: float | None = None
        self.word = ""
        self.connection: CacheConnection | None = None


class CacheConnection(asyncio.Protocol):
    def __init__(self, cache: Cache) -> None:
        self.cache, self.data, self.open = cache, b"", {}
        self.is_closed = False
        self.is_useless = False  # set by a case: no answer comes on it any more

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.cache.connections.add(self)

    def reset(self) -> None:
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def connection_lost(self, error) -> None:
        self.is_closed = True
        self.cache.connections.discard(self)
        for command, timer in self.open.values():
            timer and timer.cancel()
            self.end(command, "closed")
        self.open.clear()

    def end(self, command: Command, word: str) -> None:
        command.ended, command.word = time.monotonic(), word
        self.cache.site.log("cache ends", cache=self.cache.uid, id=command.name, word=word)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while not self.is_closed and self.read():
            pass

    def read(self) -> bool:
        line, separator, rest = self.data.partition(b"\r\n")
        if not separator:
            return False
        words = line.decode().split(" ")
        if words[0] == "do":
            length = int(words[3])
            if len(rest) < length + 2:
                return False
            self.data = rest[length + 2 :]
            pairs = [] if words[2] == "-" else [pair.split("=", 1) for pair in words[2].split(",")]
            self.do(Command(words[1], dict(pairs), rest[:length]))
            return True
        self.data = rest
        if words[0] == "undo":
            if words[1] in self.open:
                command, timer = self.open.pop(words[1])
                timer and timer.cancel()
                self.end(command, "undone")
        else:
            self.transport.write(f"{words[1]} FIT use=inflight:1;util:0.1 0\r\n\r\n".encode())
        return True

    def do(self, command: Command) -> None:
        cache = self.cache
        site = cache.site
        command.connection = self
        site.attempts.append((cache, command))
        site.log("cache gets", cache=cache.uid, id=command.name, **command.fields)
        word, fields, body = (cache.answer and cache.answer(command)) or cache.execute(command)
        delay = cache.delay(command) if callable(cache.delay) else cache.delay
        if delay is None:  # never answers
            self.open[command.name] = command, None
            return
        timer = asyncio.get_running_loop().call_later(delay, self.finish, command, word, fields, body)
        self.open[command.name] = command, timer

    def finish(self, command: Command, word: str, fields: dict[str, str], body: bytes) -> None:
        if self.cache.stopped:
            loop = asyncio.get_running_loop()
            self.open[command.name] = (
                command,
                loop.call_later(0.05, self.finish, command, word, fields, body),
            )
            return
        self.open.pop(command.name, None)
        listed = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        data = f"{command.name} {word} {listed} {len(body)}\r\n".encode() + body + b"\r\n"
        self.end(command, word)
        self.cache.site.answered[command.name] = word, fields, body
        if data := self.cache.spoil(command, data):
            self.transport.write(data)


# Clients.


class Request:
    def __init__(self, seqid: int, fields: dict[str, str], wait: float) -> None:
        self.seqid, self.fields, self.wait = seqid, fields, wait
        self.id = fields["id"]
        self.sent = time.monotonic()
        self.answers: list[tuple[float, str, bytes]] = []
        self.given_up: float | None = None
        self.closed: float | None = None  # when its connection ended without an answer
        self.event = asyncio.Event()

    def verdict(self, now: float) -> str:
        """Return "ok", "open", or in which way the request was lost."""
        if len(self.answers) > 1:
            return "answered twice"
        if self.answers:
            late = self.answers[0][0] - self.sent - self.wait
            return f"lost: answered {late:.2f} s after its time" if late > LATE + SLACK else "ok"
        if self.given_up:
            return "ok"
        if self.closed:
            return "lost: its connection ended without an answer"
        return "lost: never answered" if now > self.sent + self.wait + LATE + SLACK else "open"


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, site: "Site") -> None:
        self.site, self.data, self.seqid = site, b"", 0
        self.requests: dict[int, Request] = {}
        self.probes: dict[int, asyncio.Future] = {}
        self.is_closed = False

    def connection_made(self, transport) -> None:
        self.transport = transport

    @property
    def open_count(self) -> int:
        return sum(not r.answers and not r.given_up for r in self.requests.values())

    def send(self, name: str, wait: float | None = None, body: bytes = b"", **fields: str) -> Request:
        """Send a request of a class; `fields` replace the usual ones."""
        self.seqid += 1
        wait = self.site.classes[name]["deadline"] if wait is None else wait
        defaults = {
            "class": name,
            "id": f"{random.getrandbits(64):016x}",
            "wait": str(int(wait * 1000)),
            "key": "7f3a9c21e0b4d655",
            "nth": "0",
            "batch": "3",
            "kb": "64",
        }
        request = Request(self.seqid, defaults | fields, wait)
        self.requests[self.seqid] = request
        self.site.requests.append(request)
        self.transport.write(call("process", self.seqid, process_arguments(request.fields, body)))
        self.site.log("client sends", id=request.id, cls=name, key=request.fields["key"], wait=wait)
        return request

    def give_up(self, request: Request) -> None:
        request.given_up = time.monotonic()
        self.transport.write(give_up_call(request.seqid))
        self.site.log("client gives up", id=request.id)

    async def probe(self) -> bool:
        self.seqid += 1
        self.probes[self.seqid] = asyncio.get_running_loop().create_future()
        self.transport.write(probe_call(self.seqid))
        return await asyncio.wait_for(self.probes[self.seqid], 2)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while len(self.data) >= 4:
            (length,) = struct.unpack(">i", self.data[:4])
            if len(self.data) < 4 + length:
                return
            frame, self.data = self.data[4 : 4 + length], self.data[4 + length :]
            self.handle(*read_reply(frame))

    def handle(self, seqid: int, outcome: str, body: bytes, fields: dict[str, str]) -> None:
        if probe := self.probes.pop(seqid, None):
            probe.set_result(outcome == "good")
            return
        request = self.requests.get(seqid)
        if request is None:
            self.site.log("client gets an answer to nothing", seqid=seqid)
            return
        request.answers.append((time.monotonic(), outcome, body))
        request.event.set()
        took = time.monotonic() - request.sent
        self.site.log("client gets", id=request.id, outcome=outcome, took=f"{took:.3f}", size=len(body))

    def connection_lost(self, error) -> None:
        self.is_closed = True
        for request in self.requests.values():
            if not request.answers and not request.given_up:
                request.closed = time.monotonic()
                self.site.log("connection ended under a request", id=request.id)
            request.event.set()


# The platform.


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Front:
    """One front, started with the `run` line of the deploy file."""

    def __init__(self, site: "Site", name: str, **limits) -> None:
        self.site, self.name = site, name
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits
        self.listen = f"{HOST}:{free_port()}"
        self.config = site.folder / f"{name}.json"
        self.process: subprocess.Popen | None = None

    def write_config(self, bus: Bus | None = None) -> None:
        bus = bus or self.site.bus
        document = {
            "name": self.name,
            "listen": self.listen,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits,
            "bus": f"{HOST}:{bus.port}",
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": {"offset": len(bus.events), "batch": list(bus.events)},
            "settings": self.site.settings(),
        }
        temporary = self.config.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        temporary.rename(self.config)

    async def start(self) -> None:
        self.write_config()
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.site.folder),
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": self.listen,
            "ROUTER_CONFIG": str(self.config),
        }
        self.log_file = (self.site.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log_file,
            stderr=self.log_file,
        )
        self.site.log("front starts", name=self.name, pid=self.process.pid)
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRunError(f"front {self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                client = await self.connect()
                is_good = await client.probe()
                client.transport.close()
                if is_good:
                    self.site.log("front is ready", name=self.name)
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"front {self.name} is not ready")

    async def connect(self) -> Client:
        host, port = self.listen.split(":")
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(lambda: Client(self.site), host, int(port))
        client.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return client

    def signal(self, number: int) -> None:
        self.site.log("signal", name=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None


CLASSES = {
    "clip-parts": {"deadline": 5.0, "aim": 0.5, "effect": "idempotent", "window": 5.0, "write": False},
    "order-prints": {"deadline": 3.0, "aim": 0.7, "effect": "deduplicated", "window": 3.0, "write": True},
}


class Site:
    """A small deployment: two caches, two parents and the origin in one zone with its hub."""

    def __init__(
        self, folder: Path, classes=None, caps=None, rules=None, family=None, fronts: int = 1
    ) -> None:
        self.case = folder
        self.folder = Path(tempfile.mkdtemp(prefix="weldbend-review-"))
        self.record = (folder / "record.txt").open("w")
        self.started = time.monotonic()
        self.classes = classes or CLASSES
        self.caps, self.rules, self.family, self.front_count = caps or {}, rules or {}, family or {}, fronts
        self.body_size = 2000
        self.bus = Bus(self)
        self.caches: dict[str, Cache] = {}
        self.fronts: list[Front] = []
        self.requests: list[Request] = []
        self.attempts: list[tuple[Cache, Command]] = []
        self.effects: list[tuple[float, str, str, str]] = []
        self.answered: dict[str, tuple] = {}

    def log(self, what: str, **values) -> None:
        if self.record.closed:
            return
        moment = time.monotonic() - self.started
        pairs = " ".join(f"{name}={value}" for name, value in values.items())
        self.record.write(f"{moment:9.4f} {what} {pairs}\n")

    def settings(self) -> dict:
        names = list(self.classes)
        return {
            "az": "branch",
            "caps": {
                "cancelling": True,
                "conn_idle_us": 15000000,
                "cpu_us_per_s": 500000,
                "dial_timeout_us": 400000,
                "max_retry_after_us": 1000000,
                "max_streams": 32,
                "open_cap": 20000,
                "peer_messages": False,
                "probes": True,
                "retry_after": True,
                "second_copies": False,
                "send_cap": 8,
            }
            | self.caps,
            "family_info": {
                "bypass_allowed": True,
                "class_parts": [False] * len(names),
                "count_by_zone": [0, self.front_count],
                "gone_everywhere_us": 6000000,
                "hub_by_zone": [0, 0],
                "lifetime_by_class_us": [0] * len(names),
                "notes_given": "all",
                "older_by_us": [0] * len(names),
                "one_flow_kb_per_s": 1000.0,
                "parent_breaks_at": 2.0,
                "parent_starts_at": 0.1,
                "parent_warms_in_us": 19000000,
                "pass_on": [self.classes[name]["write"] for name in names],
                "peers_fill": "location",
                "purge_slack_us": 500000,
                "root_kind": 2,
                "shares_fills": False,
                "shield_kind": 1,
            }
            | self.family,
            "kinds": ["small-box", "parent", "origin"],
            "lanes": [
                {
                    "aim_stretch": 2.0,
                    "deadline_us": int(self.classes[name]["deadline"] * 1e6),
                    "goal_time_us": int(self.classes[name]["aim"] * 1e6),
                    "idempotency": self.classes[name]["effect"],
                    "key_scope": self.classes[name].get("scope", "all"),
                    "late_share": 0.15,
                    "name": name,
                    "points": 2.0,
                    "streamed": False,
                    "window_us": int(self.classes[name]["window"] * 1e6),
                }
                for name in names
            ],
            "my_number": 0,
            "obligations": {
                "answer_slack_us": 8000,
                "ask_within_us": 10000000,
                "cold_from": 0.18,
                "cold_us": 18000000,
                "drain_grace_us": 250000,
                "fall_multiple": 2.5,
                "overload_for_us": 1000000,
            }
            | self.rules,
            "registry_mode": "automatic",
            "report": {"names": ["util", "inflight"], "source": "answers"},
            "siblings": self.front_count,
            "tenants": [],
            "tick_us": 2000,
            "weights": "rough",
            "zones": ["hub", "branch"],
        }

    async def open(self, edges: int = 2, parents: int = 2) -> None:
        """Open the servers and publish the list."""
        for number in range(1, edges + 1):
            self.add(Cache(self, f"c{number}", "small-box", "branch"))
        for number in range(1, parents + 1):
            self.add(Cache(self, f"p{number}", "parent", "hub", 20.0))
        self.add(Cache(self, "o1", "origin", "hub", 100.0))
        for cache in self.caches.values():
            await cache.open()
        await self.bus.open()
        self.bus.list_caches(self.caches.values(), whole=True)

    def add(self, cache: Cache) -> None:
        self.caches[cache.uid] = cache

    async def start_front(self, **limits) -> Front:
        front = Front(self, f"n{len(self.fronts) + 1}", **limits)
        self.fronts.append(front)
        await front.start()
        return front

    def lost(self) -> list[tuple[Request, str]]:
        """Return the requests that were lost, or answered twice."""
        now = time.monotonic()
        judged = [(request, request.verdict(now)) for request in self.requests]
        return [(request, verdict) for request, verdict in judged if verdict not in ("ok", "open")]

    def close(self) -> None:
        """End all processes, and copy the fronts' logs behind the record."""
        for front in self.fronts:
            if front.process and front.process.poll() is None:
                front.process.kill()
                front.process.wait()
        for front in self.fronts:
            path = self.folder / f"{front.name}.log"
            if path.exists():
                self.record.write(f"--- log of front {front.name}\n")
                self.record.write(path.read_text(errors="replace")[-20000:])
        self.record.close()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


def key(number: int) -> str:
    return f"{number:016x}"


def main(folder: str, case) -> None:
    """Run a case, `case(site_folder)`, which returns None if the rule held, or how it was broken.

    A case that is told to end (SIGTERM) ends its fronts first, and counts as one that could not run.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(Path(folder).resolve()), 115))
    except Exception as error:  # noqa: BLE001 - a fault of the script is no broken rule
        print(f"the case could not run: {type(error).__name__} {error}")
        sys.exit(2)
    print(f"BROKEN: {broken}" if broken else "the rule held")
    sys.exit(1 if broken else 0)
