"""Nodes of a fleet model, and the network of datagrams and links between them.

A node models one process of the fleet; it runs the same membership, anti-entropy and replicated store as a
front. A path is a pair of names, (from, to).
"""

import hashlib
import math
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from weldbend.fleet import messages as m
from weldbend.fleet.anti_entropy import AntiEntropy, PeerMessage, resume_after_pause
from weldbend.fleet.membership import Membership
from weldbend.fleet.messages import Send
from weldbend.fleet.replicated_store import Change, ReplicatedStore
from weldbend.fleet.topology import neighbours
from weldbend.testbed.simulation.event_queue import EventQueue

if TYPE_CHECKING:  # for annotations only: the model imports this module
    from weldbend.testbed.fleet.fleet_model import ModelSettings

Path = tuple[str, str]
Pair = tuple[str, ...]  # the sorted names of the two ends of a link

KEEPALIVE = 3.0  # seconds without traffic after which a link is closed
MIN_LATENCY = 0.001  # seconds, one way
LATENCY_SPREAD = 0.01  # seconds of additional latency at most, uniformly distributed
DUPLICATION_PROBABILITY = 0.01  # probability that a datagram arrives twice
SOCKET_BUFFER = 64  # datagrams that the socket of a frozen process buffers
MESSAGE_OVERHEAD = 80  # bytes of headers and authentication per message
TICK_INTERVAL = 0.1  # seconds between two ticks of a node
BUSY_TICK_INTERVAL = 0.05  # the same, while the node fetches a snapshot or has work due


class Node:
    """A node of the model: one process of the fleet."""

    def __init__(self, network: "ModelNetwork", name: str, epoch: int) -> None:
        self.network = network
        self.events = network.events
        self.name = name
        self.epoch = epoch
        now = self.events.now
        settings = network.settings.fleet
        seed = network.rng.randrange(1 << 30)
        self.membership = Membership(name, epoch, settings, network.names, seed, now)
        self.store = ReplicatedStore(name, epoch, settings.retained_operations)
        self.changes: list[Change] = []
        self.anti_entropy = AntiEntropy(self.store, settings, seed + 1, self.changes.append, now)
        self.frozen_until = -math.inf
        self.deferred: list[Callable[[], None]] = []  # deliveries that arrived while the node was frozen
        self.is_up = True
        self.figure_count = 0  # evidence items published since the start of the node

    def is_frozen(self) -> bool:
        """Return whether the node is frozen now."""
        return self.events.now < self.frozen_until

    def is_running(self) -> bool:
        """Return whether the node is up and not frozen."""
        return self.is_up and not self.is_frozen()

    def sync_store_epoch(self) -> None:
        """Set the store's epoch to that of the membership, which peers may have raised.

        In runs without clock steps, nodes behave like earlier versions, which keep writing under the epoch of
        their start: changes written under an older epoch than a known one have to be joined as well.
        """
        if self.network.settings.clock_steps and self.store.epoch != self.membership.epoch:
            self.store.set_epoch(self.membership.epoch)

    def tick(self) -> None:
        """Run the periodic work of the node, and schedule the next tick."""
        if not self.is_up:
            return
        if not self.is_frozen():
            now = self.events.now
            for send in [
                *resume_after_pause(self.membership, self.anti_entropy, now),
                *self.membership.advance(now),
            ]:
                self.network.send_datagram(self, send)
            self.network.update_links(self)
            self.send(self.anti_entropy.tick(now))
            self.network.on_step(self)
        is_busy = (
            self.anti_entropy.transfer
            or self.anti_entropy.next_due(self.events.now) <= self.events.now + BUSY_TICK_INTERVAL
        )
        self.events.schedule(BUSY_TICK_INTERVAL if is_busy else TICK_INTERVAL, self.tick)

    def send(self, messages: list[PeerMessage]) -> None:
        """Send messages over the links to their receivers."""
        for message in messages:
            self.network.send_over_link(self, message)

    def publish(self, kind: str, key: str, *value: int | float | str) -> None:
        """Publish a change, if the node is running."""
        if self.is_running():
            self.send(self.anti_entropy.write(self.events.now, kind, key, *value))


class ModelNetwork:
    """Datagrams and links between the nodes, with the current faults of each path."""

    def __init__(self, settings: "ModelSettings", rng: Random, names: list[str]) -> None:
        self.settings = settings
        self.rng = rng
        self.names = names
        self.events = EventQueue()
        self.nodes: dict[str, Node] = {}
        self.blocked_paths: set[Path] = set()
        self.extra_delay: dict[Path, float] = {}  # seconds
        self.datagram_loss: dict[Path, float] = {}  # probability
        self.links: dict[Pair, float] = {}  # time at which each link was established
        self.last_bytes: dict[Pair, float] = {}  # time of the last traffic on each link
        # Latest arrival time scheduled on each path: links preserve order.
        self.last_arrival: dict[Path, float] = {}
        self.counts: Counter[str] = Counter()
        self.on_step: Callable[[Node], None] = lambda node: None  # called after each step of a node
        self._digest = hashlib.sha256()

    def record_bytes(self, path: str, data: bytes) -> None:
        """Add a message that is being sent to the byte digest."""
        self._digest.update(f"{self.events.now!r} {path} {len(data)}\n".encode() + data)

    def byte_digest(self) -> str:
        """Return the digest of all encoded messages sent so far, with their times and paths."""
        return self._digest.hexdigest()

    def is_open(self, sender: str, receiver: str) -> bool:
        """Return whether the path from one node to another is not blocked."""
        return (sender, receiver) not in self.blocked_paths

    def _latency(self) -> float:
        return MIN_LATENCY + self.rng.random() * LATENCY_SPREAD

    # Datagrams.

    def send_datagram(self, node: Node, send: Send) -> None:
        """Send one datagram, which may be lost, duplicated, delayed or reordered."""
        path = node.name, send.to
        data = m.encode(send.body)
        self.record_bytes(f"datagram {path[0]}>{path[1]}", data)
        self.counts["datagrams"] += 1
        self.counts["datagram bytes"] += len(data) + MESSAGE_OVERHEAD
        loss = max(self.settings.loss, self.datagram_loss.get(path, 0.0))
        if not self.is_open(*path) or self.rng.random() < loss:
            return
        epoch = node.membership.epoch  # a datagram is authenticated under the epoch at its sending
        is_duplicated = self.rng.random() < DUPLICATION_PROBABILITY
        for _ in range(1 + is_duplicated):
            latency = self._latency()
            delay = latency + self.extra_delay.get(path, 0.0) * (0.5 + self.rng.random())
            self.events.schedule(delay, lambda: self._arrive(path, epoch, send.body))

    def _arrive(self, path: Path, epoch: int, body: m.Datagram) -> None:
        node = self.nodes.get(path[1])
        if node is None or not node.is_up:
            return
        if node.is_frozen():
            if len(node.deferred) < SOCKET_BUFFER:
                node.deferred.append(lambda: self._arrive(path, epoch, body))
            return
        for send in node.membership.receive(self.events.now, path[0], epoch, body):
            self.send_datagram(node, send)
        node.sync_store_epoch()
        self.on_step(node)

    # Links.

    def update_links(self, node: Node) -> None:
        """Establish links to reachable neighbours, and close links that timed out or whose peer is down."""
        for peer in neighbours(node.name, self.names):
            pair = tuple(sorted((node.name, peer)))
            other = self.nodes.get(peer)
            if pair in self.links:
                self._check_link(pair, node, other)
            elif other and self._is_reachable(node, other) and not other.is_frozen():
                self.links[pair] = self.last_bytes[pair] = self.events.now
                for one, two in ((node, other), (other, node)):
                    one.send(one.anti_entropy.peer_connected(two.name, self.events.now))

    def _is_reachable(self, node: Node, other: Node) -> bool:
        return other.is_up and self.is_open(node.name, other.name) and self.is_open(other.name, node.name)

    def _check_link(self, pair: Pair, node: Node, other: Node | None) -> None:
        if other is None or not other.is_up:
            self.drop_link(pair)
        elif self._is_reachable(node, other) and not other.is_frozen():
            self.last_bytes[pair] = self.events.now
        elif self.events.now - self.last_bytes[pair] > KEEPALIVE:
            self.drop_link(pair)

    def drop_link(self, pair: Pair) -> None:
        """Close a link, and notify both ends."""
        del self.links[pair]
        for one, two in (pair, pair[::-1]):
            node = self.nodes.get(one)
            if node and node.is_up:
                node.send(node.anti_entropy.peer_disconnected(two, self.events.now))

    def drop_links_of(self, name: str) -> None:
        """Close all links of a node."""
        for pair in [pair for pair in self.links if name in pair]:
            self.drop_link(pair)

    def send_over_link(self, node: Node, message: PeerMessage) -> None:
        """Send a message over the link to its receiver; drop it if there is no link."""
        path = node.name, message.to
        pair = tuple(sorted(path))
        since = self.links.get(pair)
        if since is None:
            return
        data = m.encode(message.body)
        self.record_bytes(f"link {path[0]}>{path[1]}", data)
        size = len(data) + MESSAGE_OVERHEAD
        self.counts["link messages"] += 1
        self.counts["link bytes"] += size
        self.counts["snapshot bytes"] += size * isinstance(message.body, m.SnapshotChunk)
        delay = self._latency() + self.extra_delay.get(path, 0.0)
        at = max(self.events.now + delay, self.last_arrival.get(path, 0.0))
        self.last_arrival[path] = at
        body = m.read_connection_message(data)
        self.events.schedule(at - self.events.now, lambda: self._arrive_over_link(pair, since, path, body))

    def _arrive_over_link(self, pair: Pair, since: float, path: Path, body: m.ConnectionMessage) -> None:
        node = self.nodes.get(path[1])
        if self.links.get(pair) != since or not self.is_open(*path) or node is None or not node.is_up:
            return
        if node.is_frozen():
            node.deferred.append(lambda: self._arrive_over_link(pair, since, path, body))
            return
        self.last_bytes[pair] = self.events.now
        node.send(node.anti_entropy.handle(self.events.now, path[0], body))
