"""Fronts for tests: the decisions alone, and the whole door with stand-ins for client, cache and bus."""

import json
import re
from dataclasses import replace

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from weldbend import interface as face
from weldbend.buffers.ring import Ring
from weldbend.bus.events import event as bus_event
from weldbend.front.life import Front as Door
from weldbend.front.site import read_site
from weldbend.interface import Effect, Hint, Phase, Result, Role, Scale, Scope
from weldbend.logic import Router
from weldbend.thrift import binary
from weldbend.thrift.framing import frame, next_frame


def content(name="photo", **changes):
    base = face.ContentType(name, Effect.RETRIABLE, Scope.ALL, 3.0, 6.0, 0.5, 1.6, 2.0, 0.0, False)
    return replace(base, **changes)


SITE = face.SiteFacts(
    zone="z",
    hub="h",
    fronts=2,
    zone_fronts=2,
    hub_fronts=2,
    types={"photo": content()},
    tick=0.002,
    ask_within=10.0,
    subscribes=False,
    weighted=True,
    second_copies=True,
    calls_off=True,
    most_pulls=6,
    longest_wait=1.0,
    direct=False,
    joins=True,
    cold_floor=0.2,
    cold_time=10.0,
    cold_multiple=2.0,
    cold_window=2.0,
    parent_floor=0.1,
    parent_time=20.0,
    parent_multiple=2.0,
    purge_slack=0.3,
    purge_done=6.0,
)


def entry(number, role=Role.EDGE, zone="z", phase=Phase.READY, started=None, cell=0):
    return face.Entry(number, 10.0, zone, cell, role, phase, started)


CACHES = (
    entry(1),
    entry(2),
    entry(11, Role.PARENT, "h"),
    entry(12, Role.PARENT, "far"),
    entry(21, Role.ORIGIN, "h"),
)


class Front:
    """Feeds a Router and keeps a printed line for each pull and each final answer."""

    def __init__(self, caches=CACHES, **site):
        self.router, self.now, self.trace, self.pulls = Router(7, replace(SITE, **site)), 0.0, [], {}
        self.listed(*caches, scale=Scale.WHOLE)

    def at(self, now, *events):
        self.now = now
        for action in self.router.handle(now, events):
            line = self.line(action)
            if line:
                self.trace.append(f"{now:.2f} {line}")

    def line(self, action):
        match action:
            case face.SendPull():
                self.pulls[action.id] = self.pulls.get(action.id, 0) + 1
                fill = "look" if action.source in (None, action.cache) else f"fill from {action.source}"
                fill += " if held" * action.only_held
                age = f" age {action.age:.3f}" if action.age else ""
                leave = " leave-no-copy" if action.leave_no_copy else ""
                return f"{action.id}: {action.cache} {fill} rank {action.rank}{leave}{age}"
            case face.CallOff(name, pull):
                return f"{name}: call off {pull}"
            case face.Throttle(name, wait):
                return f"{name}: throttled, wait {wait}"
            case face.Abandon(name):
                return f"{name}: abandoned"
            case face.Watch():
                return "watch"

    def listed(self, *entries, scale=Scale.CHANGES, now=None):
        self.at(self.now if now is None else now, face.Listed(scale, entries))

    def ask(self, name, key="k", now=None, type="photo", until=None, repeat=False):
        now = self.now if now is None else now
        self.at(now, face.Asked(name, key, 0, 3, type, 0.0, repeat, until or now + 6.0))

    def end(self, name, result, now=None, hint=Hint.NONE, pull=None, took=0.01):
        pull = self.pulls[name] - 1 if pull is None else pull
        closed = result is Result.FULFILLED
        now = self.now if now is None else now
        self.at(now, face.Ended(name, pull, result, took, closed, hint, 0.0, None))

    def wake(self, name, why="slow", pull=0, now=None):
        token = f"slow:{name}:{pull}" if why == "slow" else f"end:{name}"
        self.at(self.now if now is None else now, face.Woke(token))

    def fill(self, name, key="k", now=None):
        """A download that misses at its edge, and at a parent asked for what it holds, and is then filled."""
        self.ask(name, key, now)
        self.end(name, Result.MISS)
        if "held" in self.trace[-1]:
            self.end(name, Result.MISS)
        self.end(name, Result.FULFILLED)

    def shows(self, kept):
        lines = [line.strip() for line in kept.strip().splitlines()]
        assert self.trace == lines, "\n" + "\n".join(self.trace)


CONF = {
    "az": "z",
    "caps": {
        "cancelling": True,
        "conn_idle_us": 15000000,
        "dial_timeout_us": 400000,
        "max_retry_after_us": 1000000,
        "max_streams": 32,
        "open_cap": 100,
        "retry_after": True,
        "second_copies": False,
        "send_cap": 6,
    },
    "family_info": {
        "bypass_allowed": True,
        "count_by_zone": [0, 1],
        "gone_everywhere_us": 6000000,
        "hub_by_zone": [0, 0],
        "lifetime_by_class_us": [0, 0],
        "notes_given": "hit",
        "older_by_us": [0, 0],
        "one_flow_kb_per_s": 1000.0,
        "parent_breaks_at": 2.0,
        "parent_starts_at": 0.1,
        "parent_warms_in_us": 20000000,
        "pass_on": [False, True],
        "peers_fill": "none",
        "purge_slack_us": 300000,
        "root_kind": 2,
        "shares_fills": True,
        "shield_kind": 1,
    },
    "kinds": ["box", "parent", "origin"],
    "lanes": [
        {
            "deadline_us": 6000000,
            "goal_time_us": 500000,
            "idempotency": "idempotent",
            "key_scope": "all",
            "name": "photo",
            "points": 2.0,
            "window_us": 5000000,
        },
        {
            "deadline_us": 9000000,
            "goal_time_us": 700000,
            "idempotency": "deduplicated",
            "key_scope": "all",
            "name": "order",
            "points": 3.0,
            "window_us": 3000000,
        },
    ],
    "obligations": {
        "answer_slack_us": 8000,
        "ask_within_us": 10000000,
        "cold_from": 0.2,
        "cold_us": 10000000,
        "drain_grace_us": 500000,
        "fall_multiple": 2.0,
        "overload_for_us": 2000000,
    },
    "registry_mode": "automatic",
    "report": {"names": ["util", "inflight"], "source": "answers"},
    "siblings": 1,
    "tick_us": 2000,
    "weights": "rough",
    "zones": ["h", "z"],
    "unknown": 1,
}

KEY = "7f3a9c21e0b4d655"
STRUCTS = {0: "answer", 1: "throttled", 2: "abandoned"}


def target(uid, kind="box", zone="z", port=1, state="up", boot=0):
    held = {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": zone, "model": kind, "state": state}
    return held | {"pod_group": 0, "capacity_hint": 10, "boot_ms": boot}


def listing(offset, *targets, whole=False):
    return {"offset": offset, "topology": {"rev": offset, "all": whole, "targets": list(targets)}}


TARGETS = (target("e1"), target("e2", port=2), target("p1", "parent", "h", 3), target("o1", "origin", "h", 4))


def configuration(targets=TARGETS, listen="127.0.0.1:7001", bus="127.0.0.1:9092", **caps):
    known = {"offset": 1, "batch": [listing(1, *targets, whole=True)]}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    settings = CONF | {"caps": CONF["caps"] | caps}
    held = {"name": "n1", "listen": listen, "seed": "5", "limits": limits, "bus": bus, "known": known}
    return json.dumps(held | {"settings": settings})


def message(kind, name, seqid, arguments=b""):
    return frame(binary.head(kind, name, seqid) + arguments + b"\x00")


def process(seqid, body=b"", **fields):
    number = f"{seqid:016x}"
    held = {"class": "photo", "id": number, "wait": "6000", "key": KEY, "nth": "0", "batch": "3", "kb": "640"}
    texts = {name: text for name, text in (held | fields).items() if text is not None}
    pairs = binary.field(binary.MAP, 1, binary.text_map(texts))
    return message(binary.CALL, "process", seqid, pairs + binary.field(binary.STRING, 2, binary.binary(body)))


def give_up(seqid):
    return message(binary.ONEWAY, "giveUp", 0, binary.field(binary.I32, 1, binary.i32(seqid)))


def probe(seqid):
    return message(binary.CALL, "probe", seqid, binary.field(binary.BOOL, 1, b"\x01"))


def read_struct(reader):
    """A struct as number -> value; what a client reads of an answer."""
    found = {}
    for kind, number in reader.fields():
        match kind:
            case binary.STRUCT:
                found[number] = read_struct(reader)
            case binary.MAP:
                found[number] = reader.text_map()
            case binary.STRING:
                found[number] = reader.binary()
            case binary.BOOL:
                found[number] = reader.byte() == 1
            case binary.I32:
                found[number] = reader.i32()
    return found


def answer_text(data):
    """One answer as a client reads it, in a line."""
    reader = binary.Reader(data)
    head = reader.head()
    held = read_struct(reader)
    assert reader.at == len(data)
    if head.kind == binary.EXCEPTION:
        return f"{head.seqid} exception {held[2]}: {held[1].decode()}"
    ((number, struct_held),) = held.items()
    if number:
        return f"{head.seqid} {STRUCTS[number]} {struct_held[1] or ''}".rstrip()
    body, fields, good = struct_held[1], struct_held[2], struct_held[3]
    shown = body.decode() if len(body) < 20 else f"{len(body)} bytes"
    told = f"good {good}" if head.name == "probe" else f"{shown!r} {fields or ''}".rstrip()
    return f"{head.seqid} {head.name}: {told}"


class Transport(StringTransport):
    """A connection kept in memory; paused, it takes no more, as a full socket does."""

    full = False
    left = 0  # bytes that had left when the reactor had not yet come to them

    def doWrite(self):
        self.left = len(self.value())

    def setTcpNoDelay(self, on):
        self.no_delay = on

    def loseConnection(self):
        super().loseConnection()
        self.protocol.connectionLost(Failure(ConnectionDone()))

    abortConnection = loseConnection

    def taken(self):
        data = self.value()
        self.clear()
        return data


class Stage:
    """A whole front in memory, with its clock in the test's hands, and a printed line for each message."""

    transport = Transport

    def __init__(self, **caps):
        self.reactor = MemoryReactorClock()
        self.door = Door(self.reactor, read_site(configuration(**caps)))
        self.door.clock.now = lambda: self.reactor.seconds() + 1.0
        self.door.clock.age = lambda stamp: max(self.unix() - stamp, 0.0)
        self.door.clock.moment = lambda stamp: self.door.clock.now() - (self.unix() - stamp)
        self.trace, self.clients, self.caches = [], [], {}
        self.door.listener.watch = lambda: None  # a port in memory has no socket
        self.door.start()
        self.turn()

    def unix(self):
        return 1000.0 + self.reactor.seconds()

    def turn(self, seconds=0.0):
        self.reactor.advance(seconds)
        for _ in range(4):
            self.reactor.advance(0)
        self.note()

    def note(self):
        """Print what the front has written since."""
        for number, (client, ring) in enumerate(self.clients):
            ring.write(client.transport.taken())
            while data := next_frame(ring, 1 << 20):
                self.trace.append(f"client {number} < {answer_text(data)}")
        for (uid, number), connection in self.caches.items():
            for line in re.findall(rb"[^\r]*\r\n", connection.transport.taken()):
                if line.strip():
                    self.trace.append(f"{uid}/{number} < {line.strip().decode()}")

    def client(self):
        client = self.door.listener.buildProtocol(None)
        client.transport = Transport()
        client.transport.protocol = client
        client.connectionMade()
        self.clients.append((client, Ring(1 << 22)))
        return client

    def say(self, client, *frames):
        client.dataReceived(b"".join(frames))
        self.turn()

    def dials(self):
        """Dials to caches that wait to come up, with the names of the caches."""
        loop = self.door.loop
        return [(loop.names.uids[n], dial) for n, lane in loop.pool.lanes.items() for dial in lane.dials]

    def connect(self):
        """Let every dial come up."""
        for uid, dial in self.dials():
            connection = dial.buildProtocol(None)
            connection.transport = Transport()
            connection.transport.protocol = connection
            self.caches[uid, sum(key[0] == uid for key in self.caches)] = connection
            connection.connectionMade()
        self.turn()

    def refuse(self):
        for _, dial in self.dials():
            dial.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        self.turn()

    def answer(self, uid, seqid, word, fields="-", body=b"", number=0):
        line = b"%016x %b %b %d\r\n%b\r\n" % (seqid, word.encode(), fields.encode(), len(body), body)
        self.caches[uid, number].dataReceived(line)
        self.turn()

    def bus(self, raw):
        self.door.loop.tell(bus_event(raw))
        self.turn()

    def shows(self, kept):
        lines = [line.strip() for line in kept.strip().splitlines()]
        assert self.trace == lines, "\n" + "\n".join(self.trace)
        self.trace.clear()
