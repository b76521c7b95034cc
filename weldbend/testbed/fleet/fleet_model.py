"""A deterministic model of a fleet: membership, anti-entropy and replicas on a virtual network.

The nodes run the membership and replication code of a real front. The network loses, delays, duplicates and
reorders datagrams, breaks links, and partitions; nodes are killed, frozen and restarted, also with older
epochs. The same seed gives the same sequence of events, which the `digest` of the log verifies.
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
CHANGE_FREE_PERIOD = 8.0  # seconds at the end of a run in which nothing is published
LOSSY_PATH_LOSS = 0.4  # probability that a datagram to a node on a lossy path is lost
MS_PER_SECOND = 1000
STEPPED_RUN_START_MS = 10_000_000  # Unix time at the start of a run whose clocks are stepped
RESTART_DELAY = 0.5  # seconds from the kill of a node after a clock step until its restart
FIRST_STEP_AT = 2.0  # seconds after the start
# Subject of the evidence item that each node publishes every second in runs with clock steps.
FIGURE_SUBJECT = "all"
FIGURE_INTERVAL = 1.0  # seconds
OLDER_EPOCH_FRACTION = 0.3  # fraction of killed nodes that restart with a smaller epoch
# Fraction of thawed nodes that notice the pause before they read the datagrams in their sockets.
PAUSE_FIRST_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """Size and faults of a run; times are in seconds."""

    fronts: int = 5
    seconds: float = 60.0
    calm: float = 30.0  # period without faults at the end, in which all nodes have to converge
    faults: int = 4
    loss: float = 0.01  # probability that a datagram is lost
    rate: float = 4.0  # changes per second that all nodes together publish
    clock_steps: int = 0  # number of steps of Unix clocks, in addition to the faults
    kinds: tuple[str, ...] = FAULTS
    fleet: FleetSettings = field(default_factory=FleetSettings)


class FleetModel:
    """One run of the model; `run` executes it."""

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
        self.faults: list[str] = []  # kinds of the injected faults
        self.clock_offsets = dict.fromkeys(self.names, 0.0)  # seconds by which each Unix clock is ahead

    @property
    def counts(self) -> Counter[str]:
        """Counters of messages and bytes, by name."""
        return self.network.counts

    def byte_digest(self) -> str:
        """Return the digest of all encoded messages sent so far, with their times and paths."""
        return self.network.byte_digest()

    def digest(self) -> str:
        """Return the digest of the log."""
        return hashlib.sha256("\n".join(self.log).encode()).hexdigest()

    def _add_log_line(self, text: str) -> None:
        self.log.append(f"{self.events.now:.3f} {text}")

    def _log_transitions(self, node: Node) -> None:
        for name, before, state, why in node.membership.drain_changes():
            self._add_log_line(f"{node.name}: {name} {before.name} -> {state.name} ({why})")

    def unix_ms(self, name: str) -> int:
        """Return the time of a node's Unix clock, in milliseconds."""
        ahead = self.clock_offsets[name] * MS_PER_SECOND + STEPPED_RUN_START_MS * bool(
            self.settings.clock_steps
        )
        return int(self.events.now * MS_PER_SECOND + ahead)

    # Faults of nodes and of the network.

    def step_clocks(self, step: ClockStep) -> None:
        """Step the Unix clocks of some nodes, and restart one of them if `step.restarted` is set."""
        for place, seconds in step.seconds.items():
            self.clock_offsets[self.names[place]] += seconds
        self._add_log_line(f"clocks are stepped {dict(step.seconds)}")
        if step.restarted is not None:
            name = self.names[step.restarted]
            self.kill(name)
            self._start_after(RESTART_DELAY, name)

    def start(self, name: str, has_older_epoch: bool = False) -> None:
        """Start a node that is down, if `has_older_epoch` with a smaller epoch than before."""
        if name in self.nodes and self.nodes[name].is_up:
            return  # another fault has already restarted it
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
        """Suspend a node for a time."""
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
        """Block all messages from one side to the other nodes for a time, and both ways if `is_two_way`."""
        paths = {(a, b) for a in side for b in self.names if b not in side}
        paths |= {(b, a) for a, b in paths} if is_two_way else set()
        self.network.blocked_paths |= paths
        self._add_log_line(f"split {sorted(side)} {seconds:.1f} {'both' if is_two_way else 'one way'}")
        self.events.schedule(seconds, lambda: self._heal(paths))

    def _heal(self, paths: set[Path]) -> None:
        self.network.blocked_paths -= paths
        self._add_log_line("heal")

    def _degrade_for(self, seconds: float, by_path: dict[Path, float], values: dict[Path, float]) -> None:
        """Set the delay or loss of some paths for a time."""
        by_path |= values

        def restore() -> None:
            for path in values:
                by_path.pop(path, None)

        self.events.schedule(seconds, restore)

    def inject_fault(self) -> None:
        """Inject a random fault."""
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
        """Publish a change of a random kind at a random node."""
        rng = self.rng
        name = rng.choice(self.names)
        kind = rng.choice(CHANGES)
        uid = f"c{rng.randrange(12)}"
        ms = int(self.events.now * 1000)
        # All values are drawn whichever kind is used, so that each change draws the same number of them.
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
        """Publish the evidence item of each node every second, as fronts publish their demand."""
        for node in self.nodes.values():
            if node.is_running():
                node.figure_count += 1
                value = (node.store.epoch, node.figure_count, 1.0, 0.0)
                self._publish(node, "evidence", f"{FIGURE_SUBJECT}|{node.name}", value)
        if self.events.now < self.settings.seconds - CHANGE_FREE_PERIOD:
            self.events.schedule(FIGURE_INTERVAL, self._publish_figures)

    # The run.

    def audit(self) -> list[str]:
        """Return the rules that are violated at the end of the run, one line each."""
        return audit(AuditedFleet(self.nodes, self.events.now, self.published))

    def _schedule_step(self, step: ClockStep) -> None:
        self.events.schedule(step.at - self.events.now, lambda: self.step_clocks(step))

    def run(self) -> "FleetModel":
        """Execute the whole run."""
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
