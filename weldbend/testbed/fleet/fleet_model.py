"""A model of a fleet from one integer: membership, anti-entropy and replicas on a virtual network.

The nodes run the same cores as in service, over a network that loses, delays, duplicates and reorders
datagrams, breaks links, partitions, and lets nodes die, freeze, return and run with older epochs. The same
integer gives the same run, event by event; `digest` of the log proves it.
"""

import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field

from weldbend.fleet.anti_entropy import resume_after_standstill
from weldbend.fleet.settings import FleetSettings
from weldbend.testbed.fleet.auditor import AuditedFleet, Published, audit
from weldbend.testbed.fleet.model_network import ModelNetwork, Node, Path

FAULTS = ("split", "one-way", "kill", "freeze", "slow", "lossy", "restart-all", "link-cut")
CHANGES = ("purge", "drain", "start", "keyed", "evidence", "setting")  # kinds of items

STARTED_BY = 1.0  # seconds until all nodes have started
LONGEST_FAULT = 12.0  # seconds
LAST_CHANGES = 8.0  # seconds before the end without changes
LOSSY = 0.4  # probability that a datagram to a node on a lossy path is lost
OLDER_CLOCK = 0.3  # fraction of killed nodes that return with a smaller epoch
READS_DATAGRAMS_FIRST = 0.5  # fraction of thawed nodes that read their sockets before they notice the freeze


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """How large a run is and what may happen in it; times in seconds."""

    fronts: int = 5
    seconds: float = 60.0
    calm: float = 30.0  # at the end, without faults: all must agree by then
    faults: int = 4
    loss: float = 0.01  # probability that a datagram is lost
    rate: float = 4.0  # changes a second, of all nodes together
    kinds: tuple[str, ...] = FAULTS
    fleet: FleetSettings = field(default_factory=FleetSettings)


class FleetModel:
    """One run: `run` carries it out."""

    def __init__(self, seed: int, settings: ModelSettings | None = None) -> None:
        self.seed = seed
        self.settings = settings or ModelSettings()
        self.rng = random.Random(seed)
        self.names = [f"n{number}" for number in range(1, self.settings.fronts + 1)]
        self.network = ModelNetwork(self.settings, self.rng, self.names)
        self.network.on_step = self._log_transitions
        self.events = self.network.events
        self.nodes = self.network.nodes
        self.log: list[str] = []
        self.published: list[Published] = []
        self.faults: list[str] = []  # those that were injected

    @property
    def counts(self) -> Counter[str]:
        """Messages and bytes, by name."""
        return self.network.counts

    def byte_digest(self) -> str:
        """Digest of every message sent so far as it is encoded, with its time and path."""
        return self.network.byte_digest()

    def digest(self) -> str:
        """Digest of the log."""
        return hashlib.sha256("\n".join(self.log).encode()).hexdigest()

    def _add_line(self, text: str) -> None:
        self.log.append(f"{self.events.now:.3f} {text}")

    def _log_transitions(self, node: Node) -> None:
        for name, before, state, why in node.members.drain_changes():
            self._add_line(f"{node.name}: {name} {before.name} -> {state.name} ({why})")

    # What happens to nodes.

    def start(self, name: str, is_older: bool = False) -> None:
        """Start a node that is down; `is_older`: with a smaller epoch than before."""
        if name in self.nodes and self.nodes[name].is_up:
            return  # another fault brought it back already
        epoch = max(1, int(1000 + self.events.now * 1000))
        if is_older:
            epoch = max(1, self.nodes[name].epoch - 7)
        node = self.nodes[name] = Node(self.network, name, epoch)
        self._add_line(f"start {name}")
        node.tick()

    def kill(self, name: str) -> None:
        """Kill a node that is up."""
        if (node := self.nodes.get(name)) and node.is_up:
            node.is_up = False
            self._add_line(f"kill {name}")
            self.network.drop_links_of(name)

    def freeze(self, name: str, seconds: float) -> None:
        """Let a node run nothing for a time."""
        node = self.nodes[name]
        node.frozen_until = self.events.now + seconds
        self._add_line(f"freeze {name} {seconds:.1f}")
        self.events.schedule(seconds + 1e-6, lambda: self._thaw(node))

    def _thaw(self, node: Node) -> None:
        if node.is_frozen() or not node.is_up:
            return
        deferred, node.deferred = node.deferred, []
        if self.rng.random() < READS_DATAGRAMS_FIRST:
            now = self.events.now
            for send in resume_after_standstill(node.members, node.exchange, now) or node.members.advance(
                now
            ):
                self.network.send_datagram(node, send)
        for call in deferred:
            call()

    def split(self, side: set[str], seconds: float, is_two_way: bool = True) -> None:
        """Let nothing pass from one side to the others for a time."""
        paths = {(a, b) for a in side for b in self.names if b not in side}
        paths |= {(b, a) for a, b in paths} if is_two_way else set()
        self.network.blocked_paths |= paths
        self._add_line(f"split {sorted(side)} {seconds:.1f} {'both' if is_two_way else 'one way'}")
        self.events.schedule(seconds, lambda: self._heal(paths))

    def _heal(self, paths: set[Path]) -> None:
        self.network.blocked_paths -= paths
        self._add_line("heal")

    def _set_for(self, seconds: float, by_path: dict[Path, float], values: dict[Path, float]) -> None:
        """Set the delay or loss of paths for a time."""
        by_path |= values

        def restore() -> None:
            for path in values:
                by_path.pop(path, None)

        self.events.schedule(seconds, restore)

    def inject_fault(self) -> None:
        """Inject a fault drawn at random."""
        rng = self.rng
        network = self.network
        kind = rng.choice(self.settings.kinds)
        name = rng.choice(self.names)
        seconds = rng.uniform(1.0, LONGEST_FAULT)
        self.faults.append(kind)
        match kind:
            case "split" | "one-way":
                side = set(rng.sample(self.names, rng.randint(1, max(1, len(self.names) // 2))))
                self.split(side, seconds, kind == "split")
            case "kill":
                self.kill(name)
                is_older = rng.random() < OLDER_CLOCK
                self.events.schedule(seconds, lambda: self.start(name, is_older))
            case "freeze":
                if self.nodes[name].is_up:
                    self.freeze(name, seconds)
            case "slow":
                delays = {(name, other): rng.uniform(0.1, 1.0) for other in self.names}
                self._set_for(seconds, network.extra_delay, delays)
            case "lossy":
                losses = {(other, name): LOSSY for other in self.names}
                self._set_for(seconds, network.datagram_loss, losses)
            case "restart-all":
                for each in self.names:
                    self.kill(each)
                    self._start_after(rng.random(), each)
            case "link-cut":
                network.drop_links_of(name)

    def _start_after(self, seconds: float, name: str) -> None:
        self.events.schedule(seconds, lambda: self.start(name))

    def _publish_any(self) -> None:
        """One change of some node, of any kind."""
        rng = self.rng
        name = rng.choice(self.names)
        kind = rng.choice(CHANGES)
        uid = f"c{rng.randrange(12)}"
        ms = int(self.events.now * 1000)
        # All are drawn, whichever is used.
        drain = (uid, (ms // 5000, rng.randrange(3)))
        keyed = (f"once{rng.randrange(60)}", (f"c:{rng.randrange(4)}", ms))
        evidence = (f"{uid}|{name}", (ms, 1, 3.0, float(rng.randrange(5))))
        key, value = {
            "purge": (f"k:{uid}", (ms,)),
            "drain": drain,
            "start": (uid, (ms,)),
            "keyed": keyed,
            "evidence": evidence,
            "setting": (uid, (ms, "x")),
        }[kind]
        node = self.nodes.get(name)
        if node and node.is_running():
            self.published.append(Published(self.events.now, kind, key, value, node))
            node.publish(kind, key, *value)

    # The run.

    def audit(self) -> list[str]:
        """What does not hold at the end, a line each."""
        return audit(AuditedFleet(self.nodes, self.events.now, self.published))

    def run(self) -> "FleetModel":
        """Carry out the whole run."""
        settings = self.settings
        rng = self.rng
        for name in self.names:
            self._start_after(rng.random() * 0.5, name)
        self.events.run(STARTED_BY)
        last = max(settings.seconds - settings.calm - LONGEST_FAULT, 3.0)
        for _ in range(settings.faults):
            self.events.schedule(rng.uniform(2.0, last), self.inject_fault)
        changes = int(settings.rate * (settings.seconds - 2 * settings.fleet.summary_interval))
        for _ in range(changes):
            self.events.schedule(rng.uniform(0.0, settings.seconds - LAST_CHANGES), self._publish_any)
        self.events.run(settings.seconds)
        return self
