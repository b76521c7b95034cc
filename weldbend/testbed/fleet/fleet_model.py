"""A model of a fleet from one integer: membership, anti-entropy and replicas on a virtual network.

The nodes run the same cores as in service, over a network that loses, delays, duplicates and reorders
datagrams, breaks links, partitions, and lets nodes die, freeze, return and run with older epochs. The same
integer gives the same run, event by event; `digest` of the log proves it.
"""

import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field

from weldbend.fleet.anti_entropy import resume_after_pause
from weldbend.fleet.replicated_items import Value
from weldbend.fleet.settings import FleetSettings
from weldbend.testbed.fleet.auditor import AuditedFleet, Published, audit
from weldbend.testbed.fleet.clock_steps import ClockStep, draw_steps
from weldbend.testbed.fleet.model_network import ModelNetwork, Node, Path

FAULTS = ("split", "one-way", "kill", "freeze", "slow", "lossy", "restart-all", "link-cut")
CHANGES = ("purge", "drain", "start", "keyed", "evidence", "setting")  # kinds of items

STARTED_BY = 1.0  # seconds until all nodes have started
MAX_FAULT_DURATION = 12.0  # seconds
CHANGE_FREE_PERIOD = 8.0  # seconds before the end without changes
LOSSY_PATH_LOSS = 0.4  # probability that a datagram to a node on a lossy path is lost
MS_PER_SECOND = 1000  # in a second
STEPPED_RUN_START_MS = (
    10_000_000  # milliseconds of all Unix clocks at the start of a run in which they are stepped
)
RESTART_DELAY = 0.5  # seconds for which a node is down whose clock was stepped
FIRST_STEP_AT = 2.0  # seconds after the start
FIGURE_SUBJECT = (
    "all"  # subject of the figure that each node publishes every second, where clocks are stepped
)
FIGURE_INTERVAL = 1.0  # seconds
OLDER_EPOCH_FRACTION = 0.3  # fraction of killed nodes that return with a smaller epoch
# Fraction of thawed nodes that notice the pause before they read the datagrams in their sockets.
PAUSE_FIRST_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """How large a run is and what may happen in it; times in seconds."""

    fronts: int = 5
    seconds: float = 60.0
    calm: float = 30.0  # at the end, without faults: all must agree by then
    faults: int = 4
    loss: float = 0.01  # probability that a datagram is lost
    rate: float = 4.0  # changes a second, of all nodes together
    clock_steps: int = 0  # of Unix clocks, besides all faults
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
        self.clock_offsets = dict.fromkeys(self.names, 0.0)  # seconds by which Unix clocks are ahead

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

    def _add_log_line(self, text: str) -> None:
        self.log.append(f"{self.events.now:.3f} {text}")

    def _log_transitions(self, node: Node) -> None:
        for name, before, state, why in node.membership.drain_changes():
            self._add_log_line(f"{node.name}: {name} {before.name} -> {state.name} ({why})")

    def unix_ms(self, name: str) -> int:
        """Milliseconds of a node's Unix clock."""
        ahead = self.clock_offsets[name] * MS_PER_SECOND + STEPPED_RUN_START_MS * bool(
            self.settings.clock_steps
        )
        return int(self.events.now * MS_PER_SECOND + ahead)

    # What happens to nodes.

    def step_clocks(self, step: ClockStep) -> None:
        """Step the Unix clocks of some nodes, and have one of them die and start again."""
        for place, seconds in step.seconds.items():
            self.clock_offsets[self.names[place]] += seconds
        self._add_log_line(f"clocks are stepped {dict(step.seconds)}")
        if step.restarted is not None:
            name = self.names[step.restarted]
            self.kill(name)
            self._start_after(RESTART_DELAY, name)

    def start(self, name: str, has_older_epoch: bool = False) -> None:
        """Start a node that is down; `has_older_epoch`: with a smaller epoch than before."""
        if name in self.nodes and self.nodes[name].is_up:
            return  # another fault brought it back already
        epoch = max(1, int(1000 + self.unix_ms(name)))
        if has_older_epoch:
            epoch = max(1, self.nodes[name].epoch - 7)
        node = self.nodes[name] = Node(self.network, name, epoch)
        self._add_log_line(f"start {name}")
        node.tick()

    def kill(self, name: str) -> None:
        """Kill a node that is up."""
        if (node := self.nodes.get(name)) and node.is_up:
            node.is_up = False
            self._add_log_line(f"kill {name}")
            self.network.drop_links_of(name)

    def freeze(self, name: str, seconds: float) -> None:
        """Let a node run nothing for a time."""
        node = self.nodes[name]
        node.frozen_until = self.events.now + seconds
        self._add_log_line(f"freeze {name} {seconds:.1f}")
        self.events.schedule(seconds + 1e-6, lambda: self._thaw(node))

    def _thaw(self, node: Node) -> None:
        if node.is_frozen() or not node.is_up:
            return
        deferred = node.deferred
        node.deferred = []
        if self.rng.random() < PAUSE_FIRST_FRACTION:
            now = self.events.now
            for send in resume_after_pause(
                node.membership, node.anti_entropy, now
            ) or node.membership.advance(now):
                self.network.send_datagram(node, send)
        for call in deferred:
            call()

    def split(self, side: set[str], seconds: float, is_two_way: bool = True) -> None:
        """Let nothing pass from one side to the others for a time."""
        paths = {(a, b) for a in side for b in self.names if b not in side}
        paths |= {(b, a) for a, b in paths} if is_two_way else set()
        self.network.blocked_paths |= paths
        self._add_log_line(f"split {sorted(side)} {seconds:.1f} {'both' if is_two_way else 'one way'}")
        self.events.schedule(seconds, lambda: self._heal(paths))

    def _heal(self, paths: set[Path]) -> None:
        self.network.blocked_paths -= paths
        self._add_log_line("heal")

    def _degrade_for(self, seconds: float, by_path: dict[Path, float], values: dict[Path, float]) -> None:
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
        seconds = rng.uniform(1.0, MAX_FAULT_DURATION)
        self.faults.append(kind)
        match kind:
            case "split" | "one-way":
                side = set(rng.sample(self.names, rng.randint(1, max(1, len(self.names) // 2))))
                self.split(side, seconds, kind == "split")
            case "kill":
                self.kill(name)
                has_older_epoch = rng.random() < OLDER_EPOCH_FRACTION
                self.events.schedule(seconds, lambda: self.start(name, has_older_epoch))
            case "freeze":
                if self.nodes[name].is_up:
                    self.freeze(name, seconds)
            case "slow":
                delays = {(name, other): rng.uniform(0.1, 1.0) for other in self.names}
                self._degrade_for(seconds, network.extra_delay, delays)
            case "lossy":
                losses = {(other, name): LOSSY_PATH_LOSS for other in self.names}
                self._degrade_for(seconds, network.datagram_loss, losses)
            case "restart-all":
                for each in self.names:
                    self.kill(each)
                    self._start_after(rng.random(), each)
            case "link-cut":
                network.drop_links_of(name)

    def _start_after(self, seconds: float, name: str) -> None:
        self.events.schedule(seconds, lambda: self.start(name))

    def _publish_random_change(self) -> None:
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
            if kind == "keyed" and self.settings.clock_steps:
                value = (value[0], self.unix_ms(name))
            self._publish(node, kind, key, value)

    def _publish(self, node: Node, kind: str, key: str, value: Value) -> None:
        change = Published(self.events.now, kind, key, value, node, node.membership.epoch)
        self.published.append(change)
        node.publish(kind, key, *value)

    def _publish_figures(self) -> None:
        """Each node's figure of this second, as fronts publish their demand."""
        for node in self.nodes.values():
            if node.is_running():
                node.figure_count += 1
                value = (node.store.epoch, node.figure_count, 1.0, 0.0)
                self._publish(node, "evidence", f"{FIGURE_SUBJECT}|{node.name}", value)
        if self.events.now < self.settings.seconds - CHANGE_FREE_PERIOD:
            self.events.schedule(FIGURE_INTERVAL, self._publish_figures)

    # The run.

    def audit(self) -> list[str]:
        """What does not hold at the end, a line each."""
        return audit(AuditedFleet(self.nodes, self.events.now, self.published))

    def _schedule_step(self, step: ClockStep) -> None:
        self.events.schedule(step.at - self.events.now, lambda: self.step_clocks(step))

    def run(self) -> "FleetModel":
        """Carry out the whole run."""
        settings = self.settings
        rng = self.rng
        for name in self.names:
            self._start_after(rng.random() * 0.5, name)
        self.events.run(STARTED_BY)
        last = max(settings.seconds - settings.calm - MAX_FAULT_DURATION, 3.0)
        for _ in range(settings.faults):
            self.events.schedule(rng.uniform(2.0, last), self.inject_fault)
        for step in draw_steps(self.seed, settings.fronts, settings.clock_steps, FIRST_STEP_AT, last):
            self._schedule_step(step)
        if settings.clock_steps:
            self._publish_figures()
        changes = int(settings.rate * (settings.seconds - 2 * settings.fleet.summary_interval))
        for _ in range(changes):
            self.events.schedule(
                rng.uniform(0.0, settings.seconds - CHANGE_FREE_PERIOD), self._publish_random_change
            )
        self.events.run(settings.seconds)
        return self
