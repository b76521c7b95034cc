"""A whole fleet on a virtual clock and network, from one integer: members, exchange and copies of N fronts.

The fronts run the same cores as in service, over a network that loses, delays, doubles and reorders
datagrams, cuts links, splits, and lets fronts die, freeze, return and run with clocks of their own. The same
integer gives the same run, event by event; `digest` of the log proves it.
"""

import hashlib
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from weldbend.fleet import messages as m
from weldbend.fleet.anti_entropy import AntiEntropy, PeerMessage, resume_after_standstill
from weldbend.fleet.membership import Membership
from weldbend.fleet.messages import Send
from weldbend.fleet.replicated_store import Change, ReplicatedStore
from weldbend.fleet.settings import FleetSettings
from weldbend.fleet.topology import neighbours

KEEPALIVE = 3.0  # seconds after which a link that carries nothing breaks
FAULTS = ("split", "one-way", "kill", "freeze", "slow", "lossy", "restart-all", "link-cut")


@dataclass(frozen=True, slots=True)
class Setup:
    """How large a run is and what may happen in it; seconds."""

    fronts: int = 5
    seconds: float = 60.0
    calm: float = 30.0  # at the end, without faults: all must agree by then
    faults: int = 4
    loss: float = 0.01
    rate: float = 4.0  # changes a second, of all fronts together
    kinds: tuple[str, ...] = FAULTS
    terms: FleetSettings = field(default_factory=FleetSettings)


class Node:
    """One process of the fleet."""

    def __init__(self, fleet: "Fleet", name: str, epoch: int) -> None:
        self.fleet, self.name, self.epoch = fleet, name, epoch
        now, terms = fleet.now, fleet.setup.terms
        seed = fleet.rng.randrange(1 << 30)
        self.members = Membership(name, epoch, terms, fleet.names, seed, now)
        self.copies = ReplicatedStore(name, epoch, terms.ops)
        self.changes: list[Change] = []
        self.exchange = AntiEntropy(self.copies, terms, seed + 1, self.changes.append, now)
        self.frozen_until = -math.inf
        self.waiting: list[Callable[[], None]] = []  # what comes while it is frozen
        self.up = True

    def frozen(self) -> bool:
        return self.fleet.now < self.frozen_until

    def turn(self) -> None:
        if not self.up:
            return
        if not self.frozen():
            now = self.fleet.now
            for send in [
                *resume_after_standstill(self.members, self.exchange, now),
                *self.members.advance(now),
            ]:
                self.fleet.datagram(self, send)
            self.fleet.links_of(self)
            self.carry(self.exchange.tick(now))
            self.fleet.note(self)
        step = (
            0.05
            if self.exchange.transfer or self.exchange.next_due(self.fleet.now) <= self.fleet.now + 0.05
            else 0.1
        )
        self.fleet.after(step, self.turn)

    def carry(self, says: list[PeerMessage]) -> None:
        for say in says:
            self.fleet.linked(self, say)

    def say(self, kind: str, key: str, *value: int | float | str) -> None:
        if self.up and not self.frozen():
            self.carry(self.exchange.write(self.fleet.now, kind, key, *value))


class Fleet:
    """`change` may alter a node before it starts: the sabotage of tests."""

    def __init__(
        self, seed: int, setup: Setup | None = None, change: Callable[[Node], None] | None = None
    ) -> None:
        self.seed, self.setup, self.change = seed, setup or Setup(), change
        self.rng = random.Random(seed)
        self.now, self.heap, self.order = 0.0, [], itertools.count()
        self.names = [f"n{number}" for number in range(1, self.setup.fronts + 1)]
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, str]] = set()  # (from, to) over which nothing passes
        self.slow: dict[tuple[str, str], float] = {}
        self.lossy: dict[tuple[str, str], float] = {}
        self.links: dict[tuple[str, str], float] = {}  # (one, other), in order -> since when
        self.quiet: dict[tuple[str, str], float] = {}  # a link's end -> last byte that passed
        self.arrival: dict[tuple[str, str], float] = {}  # links keep order
        self.log: list[str] = []
        self.said: list[tuple[float, str, str, tuple, Node]] = []
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self._bytes = hashlib.sha256()

    def record_bytes(self, path: str, data: bytes) -> None:
        """Add a message that is sent now to the byte digest."""
        self._bytes.update(f"{self.now!r} {path} {len(data)}\n".encode() + data)

    def byte_digest(self) -> str:
        """Digest of every message sent so far as it is encoded, with its time and path."""
        return self._bytes.hexdigest()

    # Time and network.

    def after(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + delay, next(self.order), call))

    def passes(self, one: str, other: str) -> bool:
        return (one, other) not in self.cut

    def datagram(self, node: Node, send: Send) -> None:
        way = node.name, send.to
        data = m.encode(send.body)
        self.record_bytes(f"datagram {way[0]}>{way[1]}", data)
        self.counts["datagrams"] += 1
        self.counts["datagram bytes"] += len(data) + 80
        loss = max(self.setup.loss, self.lossy.get(way, 0.0))
        if not self.passes(*way) or self.rng.random() < loss:
            return
        epoch = node.members.epoch  # as its seal says it when it goes
        copies = 2 if self.rng.random() < 0.01 else 1
        for _ in range(copies):
            delay = 0.001 + self.rng.random() * 0.01 + self.slow.get(way, 0.0) * (0.5 + self.rng.random())
            self.after(delay, lambda: self.arrive(way, epoch, send.body))

    def arrive(self, way: tuple[str, str], epoch: int, body: m.Datagram) -> None:
        node = self.nodes.get(way[1])
        if node is None or not node.up:
            return
        if node.frozen():
            if len(node.waiting) < 64:  # what a socket's buffer holds
                node.waiting.append(lambda: self.arrive(way, epoch, body))
            return
        for send in node.members.receive(self.now, way[0], epoch, body):
            self.datagram(node, send)
        self.note(node)

    def links_of(self, node: Node) -> None:
        """Links come up between neighbours that reach each other, and break where they do not."""
        for peer in neighbours(node.name, self.names):
            pair = tuple(sorted((node.name, peer)))
            other = self.nodes.get(peer)
            reach = (
                other is not None
                and other.up
                and self.passes(node.name, peer)
                and self.passes(peer, node.name)
            )
            if pair in self.links:
                if other is None or not other.up or (not reach and self.now - self.quiet[pair] > KEEPALIVE):
                    self.drop(pair)
                elif reach and not other.frozen():
                    self.quiet[pair] = self.now
                elif self.now - self.quiet[pair] > KEEPALIVE:
                    self.drop(pair)
            elif reach and other and not other.frozen():
                self.links[pair] = self.quiet[pair] = self.now
                for one, two in ((node, other), (other, node)):
                    one.carry(one.exchange.peer_connected(two.name, self.now))

    def drop(self, pair: tuple[str, str]) -> None:
        del self.links[pair]
        for one, two in (pair, pair[::-1]):
            node = self.nodes.get(one)
            if node and node.up:
                node.carry(node.exchange.peer_disconnected(two, self.now))

    def linked(self, node: Node, say: PeerMessage) -> None:
        pair = tuple(sorted((node.name, say.to)))
        since = self.links.get(pair)
        if since is None:
            return
        data = m.encode(say.body)
        self.record_bytes(f"link {node.name}>{say.to}", data)
        size = len(data) + 80
        self.counts["link messages"] += 1
        self.counts["link bytes"] += size
        self.counts["snapshot bytes"] += size * isinstance(say.body, m.SnapshotChunk)
        way = node.name, say.to
        delay = 0.001 + self.rng.random() * 0.01 + self.slow.get(way, 0.0)
        at = max(self.now + delay, self.arrival.get(way, 0.0))
        self.arrival[way] = at
        sent = m.read_linked(data)
        self.after(at - self.now, lambda: self.link_arrive(pair, since, way, sent))

    def link_arrive(self, pair: tuple[str, str], since: float, way: tuple[str, str], body: m.Linked) -> None:
        node = self.nodes.get(way[1])
        if self.links.get(pair) != since or not self.passes(*way) or node is None or not node.up:
            return
        if node.frozen():
            node.waiting.append(lambda: self.link_arrive(pair, since, way, body))
            return
        self.quiet[pair] = self.now
        node.carry(node.exchange.handle(self.now, way[0], body))

    # What happens.

    def start(self, name: str, older: bool = False) -> None:
        if name in self.nodes and self.nodes[name].up:
            return  # another fault brought it back already
        epoch = max(1, int(1000 + self.now * 1000) - (500_000 if older else 0))
        if older and name in self.nodes:
            epoch = max(1, self.nodes[name].epoch - 7)
        node = self.nodes[name] = Node(self, name, epoch)
        if self.change:
            self.change(node)
        self.line(f"start {name}")
        node.turn()

    def kill(self, name: str) -> None:
        if (node := self.nodes.get(name)) and node.up:
            node.up = False
            self.line(f"kill {name}")
            for pair in [pair for pair in self.links if name in pair]:
                self.drop(pair)

    def freeze(self, name: str, seconds: float) -> None:
        node = self.nodes[name]
        node.frozen_until = self.now + seconds
        self.line(f"freeze {name} {seconds:.1f}")
        self.after(seconds + 1e-6, lambda: self.thaw(node))

    def thaw(self, node: Node) -> None:
        if node.frozen() or not node.up:
            return
        waiting, node.waiting = node.waiting, []
        if self.rng.random() < 0.5:
            for send in resume_after_standstill(
                node.members, node.exchange, self.now
            ) or node.members.advance(self.now):
                self.datagram(node, send)
        for call in waiting:
            call()

    def split(self, side: set[str], seconds: float, both: bool = True) -> None:
        cut = {(a, b) for a in side for b in self.names if b not in side}
        cut |= {(b, a) for a, b in cut} if both else set()
        self.cut |= cut
        self.line(f"split {sorted(side)} {seconds:.1f} {'both' if both else 'one way'}")
        self.after(seconds, lambda: self.heal(cut))

    def heal(self, cut: set[tuple[str, str]]) -> None:
        self.cut -= cut
        self.line("heal")

    def fault(self) -> None:
        kind = self.rng.choice(self.setup.kinds)
        name = self.rng.choice(self.names)
        lasts = self.rng.uniform(1.0, 12.0)
        self.faults.append(kind)
        match kind:
            case "split" | "one-way":
                side = set(self.rng.sample(self.names, self.rng.randint(1, max(1, len(self.names) // 2))))
                self.split(side, lasts, kind == "split")
            case "kill":
                self.kill(name)
                older = self.rng.random() < 0.3
                self.after(lasts, lambda: self.start(name, older))
            case "freeze":
                if self.nodes[name].up:
                    self.freeze(name, lasts)
            case "slow":
                ways = {(name, other): self.rng.uniform(0.1, 1.0) for other in self.names}
                self.slow |= ways
                self.after(lasts, lambda: [self.slow.pop(way, None) for way in ways] and None)
            case "lossy":
                ways = {(other, name): 0.4 for other in self.names}
                self.lossy |= ways
                self.after(lasts, lambda: [self.lossy.pop(way, None) for way in ways] and None)
            case "restart-all":
                for each in self.names:
                    self.kill(each)
                    self.after(self.rng.random(), lambda each=each: self.start(each))
            case "link-cut":
                for pair in [pair for pair in self.links if name in pair]:
                    self.drop(pair)

    def speak(self) -> None:
        """One change of some front, of any kind."""
        name = self.rng.choice(self.names)
        kind = self.rng.choice(("purge", "drain", "start", "keyed", "evidence", "setting"))
        thing = f"c{self.rng.randrange(12)}"
        ms = int(self.now * 1000)
        key, value = {
            "purge": (f"k:{thing}", (ms,)),
            "drain": (thing, (ms // 5000, self.rng.randrange(3))),
            "start": (thing, (ms,)),
            "keyed": (f"once{self.rng.randrange(60)}", (f"c:{self.rng.randrange(4)}", ms)),
            "evidence": (f"{thing}|{name}", (ms, 1, 3.0, float(self.rng.randrange(5)))),
            "setting": (thing, (ms, "x")),
        }[kind]
        node = self.nodes.get(name)
        if node and node.up and not node.frozen():
            self.said.append((self.now, kind, key, value, node))
            node.say(kind, key, *value)

    # The run.

    def line(self, text: str) -> None:
        self.log.append(f"{self.now:.3f} {text}")

    def note(self, node: Node) -> None:
        for name, before, state, why in node.members.drain_changes():
            self.line(f"{node.name}: {name} {before.name} -> {state.name} ({why})")

    def run(self) -> "Fleet":
        shape = self.setup
        for name in self.names:
            self.after(self.rng.random() * 0.5, lambda name=name: self.start(name))
        self.play_until(1.0)
        busy = shape.seconds - shape.calm
        for _ in range(shape.faults):
            self.after(self.rng.uniform(2.0, max(busy - 12.0, 3.0)), self.fault)
        moments = int(shape.rate * (shape.seconds - 2 * shape.terms.exchange))
        for _ in range(moments):
            self.after(self.rng.uniform(0.0, shape.seconds - 8.0), self.speak)
        self.play_until(shape.seconds)
        return self

    def play_until(self, end: float) -> None:
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = end

    def digest(self) -> str:
        return hashlib.sha256("\n".join(self.log).encode()).hexdigest()
