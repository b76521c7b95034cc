# ruff: noqa
"""Stand-ins for clients, caches and the event bus, and the start of a front as the deploy file does it.

Only the standard library is used. The formats are those of the protocol page; nothing is imported from the
project, so that a fault in its encoders cannot hide here.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played; it says nothing of the rule."""


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, *words: object) -> None:
        print(f"{time.monotonic() - self.began:9.3f}", *words, file=self.file, flush=True)

    def say(self, *words: object) -> None:
        """Write a line to the record and to standard output."""
        self(*words)
        print(*words, flush=True)


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------------------------------------------------
# Caches, parents and the origin


class Command:
    """One `do` as a cache received it."""

    def __init__(self, cache: "Cache", link: "Link", name: str, fields: dict, body: bytes) -> None:
        self.cache, self.link, self.name, self.fields, self.body = cache, link, name, fields, body
        self.at = time.monotonic()
        self.is_over = False

    @property
    def object(self) -> tuple[str, str]:
        return self.fields["path"], self.fields["blk"]

    def answer(self, word: str, fields: dict | None = None, body: bytes = b"") -> None:
        """Write the one answer, unless the front gave the request up or the connection has ended."""
        if self.is_over:
            return
        self.is_over = True
        self.link.open.pop(self.name, None)
        self.cache.record("cache", self.cache.uid, "answers", self.name, word)
        self.link.write(answer_bytes(self.name, word, fields or {}, body))

    def serve(self, detail: str = "h") -> None:
        """Answer with the object's bytes."""
        born = str(int(time.time() * 1000) - 50)
        self.answer(
            "DONE", {"ver": "4be0c1927d55a6f3", "born": born, "detail": detail}, body_of(*self.object)
        )


def body_of(key: str, part: str) -> bytes:
    """Return the bytes of one part of an object."""
    return f"part {part} of {key} ".encode() * 8


def answer_bytes(name: str, word: str, fields: dict, body: bytes) -> bytes:
    text = ",".join(f"{k}={v}" for k, v in fields.items()) or "-"
    return f"{name} {word} {text} {len(body)}\r\n".encode() + body + b"\r\n"


class Link:
    """One connection of a front to a cache."""

    def __init__(self, cache: "Cache", writer: asyncio.StreamWriter) -> None:
        self.cache, self.writer = cache, writer
        self.open: dict[str, Command] = {}

    def write(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)


class Cache:
    """A cache, a parent or the origin; `play` decides what is done with each command."""

    def __init__(self, record: Record, uid: str, kind: str, zone: str, play, **entry: object) -> None:
        self.record, self.uid, self.kind, self.zone, self.play = record, uid, kind, zone, play
        self.port = free_port()
        self.entry = entry
        self.received: list[Command] = []
        self.links: set[Link] = set()
        self.kept: set[tuple[str, str]] = set()

    def target(self, state: str = "up") -> dict:
        """Return the entry of this cache in the list."""
        entry = {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": self.zone,
            "model": self.kind,
            "state": state,
            "pod_group": 1,
            "capacity_hint": 10,
            "boot_ms": 0,
        }
        return entry | self.entry

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(self, writer)
        self.links.add(link)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("ascii")
                await self._handle(line.split(" "), link, reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            for command in link.open.values():
                command.is_over = True
                self.record("cache", self.uid, "connection ended under", command.name)
            self.links.discard(link)
            writer.close()

    async def _handle(self, words: list[str], link: Link, reader: asyncio.StreamReader) -> None:
        if words[0] == "undo":
            self.record("cache", self.uid, "undo", words[1])
            if command := link.open.pop(words[1], None):
                command.is_over = True
        elif words[0] == "do":
            name, text, length = words[1:]
            body = await reader.readexactly(int(length))
            await reader.readexactly(2)
            fields = {} if text == "-" else dict(pair.split("=", 1) for pair in text.split(","))
            command = Command(self, link, name, fields, body)
            self.received.append(command)
            link.open[name] = command
            self.record("cache", self.uid, "do", name, text, length)
            self.play(command)
        elif words[0] in ("ping", "top"):
            link.write(answer_bytes(words[1], "FIT", {}, b""))


def edge(command: Command) -> None:
    """Play a sound edge cache: from its copies, or by a fill where a source is named."""
    cache = command.cache
    if command.object in cache.kept:
        asyncio.get_running_loop().call_later(0.01, command.serve)
    elif "from" in command.fields and "h" not in command.fields.get("mode", "").split("+"):
        if command.fields.get("rank", "0") != "0":
            cache.kept.add(command.object)
        asyncio.get_running_loop().call_later(0.03, command.serve, "f")
    else:
        asyncio.get_running_loop().call_later(0.005, command.answer, "LACK")


def origin(command: Command) -> None:
    """Play a sound origin, which has everything."""
    asyncio.get_running_loop().call_later(0.03, command.serve, "o")


# ---------------------------------------------------------------------------------------------------------
# The event bus


class Bus:
    """The event bus. `wait` is how long each call waits for its turn before it is served."""

    def __init__(self, record: Record, first: dict) -> None:
        self.record = record
        self.port = free_port()
        self.events = [first]
        self.published_at = {first["offset"]: time.monotonic()}
        self.wait = 0.0
        self.newline = b"\n"
        self.readers: set[asyncio.StreamWriter] = set()
        self.calls = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def _event(self, event: dict) -> bytes:
        n = self.newline
        return b"id: %d" % event["offset"] + n + b"data: " + json.dumps(event).encode() + n + n

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        number = self.calls
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            last = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("last-event-id:"):
                    last = int(line.split(":")[1])
            self.record("bus call", number, "after event", last)
            if self.wait:
                # A call that its caller has ended keeps its place no longer.
                with contextlib.suppress(asyncio.TimeoutError):
                    if await asyncio.wait_for(reader.read(1), self.wait) == b"":
                        self.record("bus call", number, "ended by the front before its turn")
                        return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            for event in self.events:
                if event["offset"] > last:
                    writer.write(self._event(event))
            self.record("bus call", number, "served")
            self.readers.add(writer)
            asyncio.get_running_loop().create_task(self._comments(writer))
            while await reader.read(1024):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.readers.discard(writer)
            writer.close()

    async def _comments(self, writer: asyncio.StreamWriter) -> None:
        while writer in self.readers:
            writer.write(b": still here" + self.newline + self.newline)
            await asyncio.sleep(1.0)

    def publish(self, **event: object) -> int:
        """Publish `topology={...}` or `ban={...}` as the next event; return its number."""
        numbered = {"offset": self.events[-1]["offset"] + 1} | event
        self.events.append(numbered)
        self.published_at[numbered["offset"]] = time.monotonic()
        self.record("bus publishes", json.dumps(numbered))
        for writer in list(self.readers):
            writer.write(self._event(numbered))
        return numbered["offset"]


def listing(offset: int, targets: list[dict], whole: bool = False) -> dict:
    return {"offset": offset, "topology": {"rev": offset, "all": whole, "targets": targets}}


# ---------------------------------------------------------------------------------------------------------
# Clients


def thrift_text(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def process_frame(seqid: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    pairs = b"".join(thrift_text(k.encode()) + thrift_text(v.encode()) for k, v in fields.items())
    message = (
        struct.pack(">I", 0x80010001)
        + thrift_text(b"process")
        + struct.pack(">i", seqid)
        + b"\x0d\x00\x01\x0b\x0b"
        + struct.pack(">i", len(fields))
        + pairs
        + b"\x0b\x00\x02"
        + thrift_text(body)
        + b"\x00"
    )
    return thrift_text(message)


def probe_frame(seqid: int) -> bytes:
    return thrift_text(
        struct.pack(">I", 0x80010001)
        + thrift_text(b"probe")
        + struct.pack(">i", seqid)
        + b"\x02\x00\x01\x01\x00"
    )


def give_up_frame(seqid: int) -> bytes:
    return thrift_text(
        struct.pack(">I", 0x80010004)
        + thrift_text(b"giveUp")
        + struct.pack(">i", 0)
        + b"\x08\x00\x01"
        + struct.pack(">i", seqid)
        + b"\x00"
    )


class Thrift:
    """A reader of the strict binary protocol."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, form: str):
        (value,) = struct.unpack_from(form, self.data, self.at)
        self.at += struct.calcsize(form)
        return value

    def text(self) -> bytes:
        length = self.take(">i")
        self.at += length
        return self.data[self.at - length : self.at]

    def value(self, kind: int):
        if kind == 2:
            return self.take(">B") == 1
        if kind == 8:
            return self.take(">i")
        if kind == 11:
            return self.text()
        if kind == 12:
            fields = {}
            while (inner := self.take(">B")) != 0:
                number = self.take(">h")
                fields[number] = self.value(inner)
            return fields
        if kind == 13:
            self.take(">H")
            return {self.text().decode(): self.text().decode() for _ in range(self.take(">i"))}
        raise ValueError(kind)


def read_reply(data: bytes) -> tuple[int, str, bytes, dict]:
    """Return number, outcome, body and fields of a reply."""
    reader = Thrift(data)
    kind = reader.take(">I") & 0xFF
    name = reader.text()
    seqid = reader.take(">i")
    result = reader.value(12)
    if kind == 3:
        return seqid, "failed", result.get(1, b""), {}
    ((number, struct_),) = result.items()
    if number == 0 and name == b"probe":
        return seqid, "good" if struct_[3] else "not good", b"", {}
    if number == 0:
        return seqid, "served", struct_[1], struct_[2]
    return seqid, {1: "refused", 2: "failed"}[number], b"", struct_.get(1, {})


class Client:
    """One connection of a client to a front."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.seqid = 0
        self.waiting: dict[int, asyncio.Future] = {}
        self.is_ended = False

    async def connect(self, port: int) -> "Client":
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.get_running_loop().create_task(self._read())
        return self

    async def _read(self) -> None:
        try:
            while True:
                (length,) = struct.unpack(">i", await self.reader.readexactly(4))
                seqid, outcome, body, fields = read_reply(await self.reader.readexactly(length))
                if future := self.waiting.pop(seqid, None):
                    if not future.done():
                        future.set_result((outcome, body, fields, time.monotonic()))
                else:
                    self.record(self.name, "second or unasked answer to", seqid, outcome)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.is_ended = True
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(("connection ended", repr(error).encode(), {}, time.monotonic()))
            self.waiting.clear()

    def send(self, frame_of, *parts: object) -> asyncio.Future:
        self.seqid += 1
        future = asyncio.get_running_loop().create_future()
        self.waiting[self.seqid] = future
        self.writer.write(frame_of(self.seqid, *parts))
        return future

    def request(self, fields: dict[str, str], body: bytes = b"") -> asyncio.Future:
        return self.send(process_frame, fields, body)

    def close(self) -> None:
        self.writer.close()


def request_id() -> str:
    return os.urandom(8).hex()


# ---------------------------------------------------------------------------------------------------------
# The front


def settings(**changes: object) -> dict:
    """Return the settings of a small deployment: one branch, its hub, two classes."""
    caps = {
        "cancelling": True,
        "conn_idle_us": 15000000,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 500000,
        "dial_timeout_us": 400000,
        "max_retry_after_us": 1000000,
        "max_streams": 32,
        "open_cap": 2000,
        "peer_messages": False,
        "probes": True,
        "retry_after": True,
        "second_copies": False,
        "send_cap": 8,
    }
    family = {
        "bypass_allowed": True,
        "class_parts": [True, False],
        "count_by_zone": [0, 1],
        "gone_everywhere_us": 6000000,
        "hub_by_zone": [0, 0],
        "lifetime_by_class_us": [0, 0],
        "link_in_kb_per_s": [0.0, 60000.0],
        "notes_given": "all",
        "older_by_us": [0, 0],
        "one_flow_kb_per_s": 6000.0,
        "parent_breaks_at": 2.0,
        "parent_starts_at": 0.097,
        "parent_warms_in_us": 19000000,
        "pass_on": [False, True],
        "peers_fill": "none",
        "purge_slack_us": 500000,
        "root_kind": 2,
        "shares_fills": False,
        "shield_kind": 1,
        "worth_when_old": [1.0, 1.0],
    }
    lanes = [
        {
            "aim_stretch": 2.0,
            "deadline_us": 5000000,
            "goal_time_us": 500000,
            "idempotency": "idempotent",
            "key_scope": "all",
            "late_share": 0.15,
            "name": "clip-parts",
            "points": 2.0,
            "streamed": False,
            "window_us": 5000000,
        },
        {
            "deadline_us": 3000000,
            "goal_time_us": 700000,
            "idempotency": "deduplicated",
            "key_scope": "all",
            "late_share": 0.0,
            "name": "order-prints",
            "points": 3.0,
            "streamed": False,
            "window_us": 3000000,
        },
    ]
    whole = {
        "az": "branch-1",
        "caps": caps,
        "client_habits": {"marks_retry": True},
        "family_info": family,
        "kinds": ["small-box", "hub-cache", "archive"],
        "lanes": lanes,
        "my_number": 0,
        "obligations": {
            "answer_slack_us": 8000,
            "ask_within_us": 10000000,
            "cold_from": 0.18,
            "cold_us": 18000000,
            "drain_grace_us": 250000,
            "fall_multiple": 2.5,
            "overload_for_us": 1000000,
        },
        "registry_mode": "automatic",
        "report": {"names": ["util", "inflight"], "source": "answers"},
        "service_type": "edge",
        "siblings": 1,
        "tenants": [],
        "tick_us": 2000,
        "tier": 0,
        "tiers": ["gallery-cache"],
        "value_by": "request",
        "weights": "rough",
        "zones": ["upper", "branch-1"],
    }
    return whole | changes


class Front:
    """A front, started by the `run` line of the deploy file."""

    running: "list[Front]" = []  # fronts whose processes have to be ended

    def __init__(self, record: Record, name: str, folder: Path) -> None:
        self.record, self.name = record, name
        self.folder = folder / name
        self.folder.mkdir()
        self.port = free_port()
        self.config = self.folder / "config.json"

    def write_config(
        self, bus: Bus, known: list[dict], limits: dict | None = None, **settings_: object
    ) -> None:
        document = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | (limits or {}),
            "bus": f"{HOST}:{bus.port}",
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": {"offset": known[-1]["offset"], "batch": known},
            "settings": settings(**settings_),
        }
        draft = self.folder / "config.draft"
        draft.write_text(json.dumps(document))
        draft.rename(self.config)

    async def start(self) -> None:
        """Start the process and wait until it has answered a probe with `good`."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir()
        environment = os.environ | {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_CONFIG": str(self.config),
            "TMPDIR": str(temporary),
        }
        self.log = (self.folder / "log.txt").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        Front.running.append(self)
        self.record("front", self.name, "started, process", self.process.pid)
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self.process.returncode is not None:
                raise CannotRun(f"the front ended with {self.process.returncode}: {self.log_text()}")
            try:
                client = await Client(self.record, "prober").connect(self.port)
            except OSError:
                continue
            outcome = await asyncio.wait_for(client.send(lambda s: probe_frame(s)), 5)
            client.close()
            if outcome[0] == "good":
                self.record("front", self.name, "is ready")
                return
        raise CannotRun("the front was not ready within 30 s")

    def log_text(self) -> str:
        return (self.folder / "log.txt").read_text(errors="replace")

    def memory_kb(self, key: str = "VmRSS") -> int:
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(key + ":"):
                return int(line.split()[1])
        return 0

    def signal(self, number: int) -> None:
        self.record("front", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self) -> None:
        """End the process, if it runs, and add its log to the record; does nothing when called again."""
        if self not in Front.running:
            return
        Front.running.remove(self)
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        self.log.close()
        self.record("log of front", self.name + ":")
        for line in self.log_text().splitlines()[-60:]:
            self.record("    " + line)


def play(folder: str, case, seconds: float = 110.0) -> None:
    """Run a case: `case(record, temporary folder)` returns whether the rule held."""
    record = Record(Path(folder))
    record("trouble", "on" if TROUBLE else "off")

    async def play_and_end(temporary: str) -> bool:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(record, Path(temporary)), seconds)
        finally:
            for front in list(Front.running):
                await front.end()

    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(play_and_end(temporary))
    except (CannotRun, asyncio.CancelledError, asyncio.TimeoutError, OSError) as error:
        record.say("could not run:", repr(error))
        sys.exit(2)
    record.say("rule held" if held else "rule broken")
    sys.exit(0 if held else 1)
