"""Simulated fleets of complete fronts on the virtual clock and network, reproducible from a seed.

In addition to the load and the faults of a run without a fleet (caches that restart, drain and disappear,
purges, killed fronts), these runs have faults of a fleet: partitions, one-way loss, frozen processes, slow
and lossy paths, clocks that differ or are stepped, and fronts that cannot reach the event bus.
"""

import json
import os
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from weldbend.fleet.replicated_items import ITEM_KINDS
from weldbend.fleet.settings import FleetSettings, Peer
from weldbend.front.configuration import Site
from weldbend.front.server import Front
from weldbend.testbed.fleet.auditor import AuditedFleet, ExaminedNode, audit
from weldbend.testbed.fleet.clock_steps import ClockStep, draw_steps
from weldbend.testbed.simulation.machine import Machine
from weldbend.testbed.simulation.network import Path as NetworkPath
from weldbend.testbed.simulation.run import Run
from weldbend.testbed.simulation.settings import BUS_HOST, RunSettings, front_host
from weldbend.testbed.simulation.virtual_clock import STEADY_CLOCK_OFFSET, VirtualClock

FLEET_PORT = 7400
# Authentication key of fleet messages, for the testbed only.
KEY_FILE_CONTENT = "0badcafe " + "5a" * 32 + "\n"
FLEET_FAULTS = ("split", "one_way", "freeze", "slow", "lossy", "bus_cut", "all")
# Changes of one front that others may lack at the end of a run: each front publishes some every second.
MAX_CHANGES_IN_TRANSIT = 8
QUICK_FLEET_SETTINGS = FleetSettings(
    probe_interval=0.2, probe_timeout=0.08, isolation_timeout=1.5, pause_threshold=0.5, summary_interval=0.3
)
RECONNECT_TIME = 2.5  # seconds after an event bus outage within which a front has read the missed events
SHUTDOWN_TIME = 4.0  # seconds, limit of a graceful shutdown
RESTART_DELAY = 0.4  # seconds between the kill of a front after a clock step and its start
FIRST_FAULT = 1.0  # seconds after the start of a run
EXPIRY_MARGIN = 3.0  # seconds before an item's expiry in which fronts may differ on it
TRANSIT_TIME = 2.0  # seconds after a change in which fronts may differ on its item

FrontPaths = set[tuple[int, int]]  # (from, to) as numbers of fronts


def key_file() -> str:
    """Return the path of a file with the key of all simulated fleets, and create it if it is missing."""
    path = Path(tempfile.gettempdir(), f"weldbend-lab-{os.getuid()}.keys")
    if not path.exists():
        path.write_text(KEY_FILE_CONTENT)
    return str(path)


@dataclass(frozen=True, slots=True)
class FleetRunSettings(RunSettings):
    """Settings of a run with a fleet; the last `calm` seconds of it have no faults."""

    fronts: int = 4
    rate: float = 24.0
    seconds: float = 30.0
    settling: float = 10.0
    faults: int = 4
    connection_faults: int = 0
    orders: float = 0.15
    fault_kinds: tuple[str, ...] = ("restart", "drain", "purge", "reset", "front")
    fleet_faults: int = 3  # number of faults between fronts, in addition to those of the site
    fleet_fault_kinds: tuple[str, ...] = FLEET_FAULTS
    clock_steps: int = 0
    calm: float = 12.0
    clock_offset: float = 0.0  # seconds by which Unix clocks may be off at the start
    fleet_clock_steps: int = 0  # steps of the fronts' Unix clocks, in addition to all other faults
    drift: float = 0.0  # fraction by which clocks may run fast or slow
    fleet: FleetSettings = QUICK_FLEET_SETTINGS
    has_fleet: bool = True  # false: the same run without a fleet
    zones: tuple[str, ...] = ()  # zones, assigned to the fronts in turn; empty: one zone


class FleetRun(Run):
    """A run whose fronts form a fleet; also a backend of fleet plans (see `plan_player.Backend`)."""

    settings: FleetRunSettings

    def __init__(self, seed: int, settings: FleetRunSettings | None = None) -> None:
        super().__init__(seed, settings or FleetRunSettings())
        offset = self.settings.clock_offset
        drift = self.settings.drift
        self.clocks = {  # (offset, drift) of each front
            number: (self.rng.uniform(-offset, offset), self.rng.uniform(-drift, drift))
            for number in self.workload.connections
        }
        self.injected_faults: list[str] = []  # kinds of the injected faults between fronts
        self.on_event: Callable[[dict[str, object]], None] = lambda event: None
        self.site_faults.by_kind["front"] = self._kill_any_front

    def zone(self, number: int) -> str:
        """Return the zone of a front."""
        zones = self.settings.zones
        return zones[(number - 1) % len(zones)] if zones else "z"

    def fleet_settings(self, number: int) -> FleetSettings:
        """Return the fleet settings of a front's installation."""
        numbers = self.workload.connections
        peers = tuple(Peer(f"n{n}", front_host(n), FLEET_PORT, self.zone(n)) for n in numbers)
        return replace(
            self.settings.fleet,
            listen=f"{front_host(number)}:{FLEET_PORT}",
            key_file=key_file(),
            peers=peers,
            zone=self.zone(number),
            admin_address="",
        )

    def create_front(self, machine: Machine, site: Site) -> Front:
        """Create a front without starting it."""
        number = int(machine.name[1:])
        offset, drift = self.clocks[number]
        clock = VirtualClock(self.network, offset, drift, lambda: self.site.unix_steps[machine.name])
        if self.settings.has_fleet:
            site = replace(site, fleet=self.fleet_settings(number))
        return Front(machine, site, clock=clock)

    def front_machines(self) -> list[Machine]:
        """Return the machines of all fronts, including those that are down."""
        return [machine for machine, _ in self.site.fronts.values()]

    # Backend of plans.

    def call_later(self, delay: float, call: Callable[[], object]) -> object:
        """Schedule a call after `delay` seconds."""
        return self.events.schedule(delay, call)

    def report_event(self, **event: object) -> None:
        """Log an event of the plan, and pass it to `on_event`."""
        self.log.add(json.dumps(event))
        self.on_event(event)

    @staticmethod
    def _host_paths(paths: FrontPaths) -> set[NetworkPath]:
        return {(front_host(sender), front_host(receiver)) for sender, receiver in paths}

    def block(self, paths: FrontPaths) -> None:
        """Block some paths."""
        self.network.blocked_paths |= self._host_paths(paths)

    def unblock(self, paths: FrontPaths) -> None:
        """Unblock some paths."""
        self.network.unblock(self._host_paths(paths), self.front_machines())

    def degrade(self, paths: FrontPaths, kind: str, amount: float) -> None:
        """Set the delay (slow), loss (lossy) or duplication (double) of some paths."""
        network = self.network
        by_path = {
            "slow": network.extra_delay,
            "lossy": network.datagram_loss,
            "double": network.datagram_duplication,
        }[kind]
        by_path.update(dict.fromkeys(self._host_paths(paths), amount))

    def kill(self, number: int) -> None:
        """Kill a front."""
        self.site.kill_front(number)

    def suspend(self, number: int, duration: float) -> None:
        """Freeze a front for a time."""
        self.freeze(number, duration)

    def restart(self, number: int) -> None:
        """Stop a front gracefully, and start it again."""
        machine, front = self.site.fronts[number]
        if machine.is_alive:
            front.terminate()
            self.events.schedule(SHUTDOWN_TIME, lambda: self.start(number))

    def start(self, number: int, clock_offset: float = 0.0) -> None:
        """Start a front that is not running, with its Unix clock ahead by `clock_offset` seconds."""
        machine, _ = self.site.fronts[number]
        if machine.is_alive and not machine.is_stopped:
            return
        self.clocks[number] = clock_offset, self.clocks[number][1]
        self.site.start_front(number)

    def isolate_from_bus(self, number: int, duration: float) -> None:
        """Block the path between a front and the event bus for a time."""
        self.block_bus({number}, duration)

    def publish_cache_state(self, uid: str, state: str) -> None:
        """Publish that a cache is `draining`, or that it is `up` and has just started."""
        if state == "up":
            self.site.targets[uid] |= {"boot_ms": self.site.unix_ms()}
        self.site.publish_state(uid, state)

    def publish_purge(self, group: int) -> None:
        """Publish a purge of a group."""
        self.site.publish(ban={"tag": group, "ts": self.site.unix_ms()})

    # Faults between fronts.

    def schedule_faults(self) -> None:
        """Schedule the faults of the site, and then those of the fleet, before the last `calm` seconds."""
        settings = self.settings
        rng = self.rng
        last = self.settings.seconds - self.settings.calm
        for _ in range(settings.faults):
            at = rng.uniform(FIRST_FAULT, last)
            self.events.schedule(at, self.site_faults.by_kind[rng.choice(settings.fault_kinds)])
        planned: list[tuple[str, float, float]] = []
        for _ in range(settings.fleet_faults):
            kind = rng.choice(settings.fleet_fault_kinds)
            duration = rng.uniform(0.5, 6.0)
            planned.append((kind, rng.uniform(FIRST_FAULT, max(last - duration, 1.5)), duration))
        for kind, at, duration in planned:
            is_partitioned = any(
                other in ("split", "one_way") and since < at + duration and at < since + lasting
                for other, since, lasting in planned
            )
            self._schedule_fault(at, kind, duration, is_partitioned)
        for step in draw_steps(self.seed, settings.fronts, settings.fleet_clock_steps, FIRST_FAULT, last):
            self._schedule_step(step)

    def _schedule_step(self, step: ClockStep) -> None:
        self.events.schedule(step.at, lambda: self.apply_clock_step(step))

    def apply_clock_step(self, step: ClockStep) -> None:
        """Step the Unix clocks of some fronts; the new offsets also apply after a restart."""
        numbers = sorted(self.site.fronts)
        for place, seconds in step.seconds.items():
            number = numbers[place]
            offset, drift = self.clocks[number]
            self.clocks[number] = offset + seconds, drift
            clock = self.site.fronts[number][1].clock
            assert isinstance(clock, VirtualClock)
            clock.offset += seconds
        shown = {numbers[place]: round(seconds, 3) for place, seconds in step.seconds.items()}
        self.log.add(f"clocks are stepped: {shown}")
        if step.restarted is not None:
            self.site.kill_front(numbers[step.restarted], RESTART_DELAY)

    def _schedule_fault(self, at: float, kind: str, duration: float, is_partitioned: bool) -> None:
        self.events.schedule(at, lambda: self.inject(kind, duration, is_partitioned))

    def inject(self, kind: str, duration: float, is_partitioned: bool) -> None:
        """Inject one fault; `is_partitioned`: a partition of the fronts overlaps with it."""
        self.injected_faults.append(kind)
        numbers = sorted(self.site.fronts)
        side = set(self.rng.sample(numbers, self.rng.randint(1, max(1, len(numbers) // 2))))
        number = self.rng.choice(numbers)
        match kind:
            case "split" | "one_way":
                self.split(side, duration, kind == "split")
            case "freeze":
                self.freeze(number, duration)
            case "slow" | "lossy":
                self._degrade_paths_from(number, kind, duration)
            case "bus_cut":
                self.block_bus({number}, duration, is_partitioned)
            case "all":
                for each in numbers:
                    self.site.kill_front(each, self.rng.uniform(0.2, 1.0))

    def _degrade_paths_from(self, number: int, kind: str, duration: float) -> None:
        by_path = self.network.extra_delay if kind == "slow" else self.network.datagram_loss
        paths = {
            (front_host(number), front_host(n)): self.rng.uniform(0.1, 0.5) for n in sorted(self.site.fronts)
        }
        by_path.update(paths)

        def restore() -> None:
            for path in paths:
                by_path.pop(path, None)

        self.events.schedule(duration, restore)

    def split(self, side: set[int], duration: float, is_two_way: bool = True) -> None:
        """Block messages between one side and the other fronts, but not to clients, caches and event bus."""
        others = set(self.site.fronts) - side
        paths = {(front_host(a), front_host(b)) for a in side for b in others}
        self._block_for(paths | ({(b, a) for a, b in paths} if is_two_way else set()), duration)
        self.log.add(f"split of {sorted(side)} {'both ways' if is_two_way else 'one way'} for {duration:.2f}")

    def block_bus(self, numbers: set[int], duration: float, is_partitioned: bool = False) -> None:
        """Block the event bus for some fronts; they still receive its events from other fronts.

        If no other front can pass events on to them, the auditor is notified of the time in which they may
        miss events.
        """
        paths = {(front_host(n), BUS_HOST) for n in numbers}
        self._block_for(paths | {(b, a) for a, b in paths}, duration)
        self.log.add(f"no bus at {sorted(numbers)} for {duration:.2f}")
        if is_partitioned or not self.settings.has_fleet or len(numbers) == len(self.site.fronts):
            now = self.events.now
            for number in numbers:
                self.auditor.on_front_unreachable(f"n{number}", now, now + duration + RECONNECT_TIME, False)

    def _block_for(self, paths: set[NetworkPath], duration: float) -> None:
        self.network.blocked_paths |= paths
        self.events.schedule(duration, lambda: self.network.unblock(paths, self.front_machines()))

    def freeze(self, number: int, duration: float) -> None:
        """Freeze a front for a time."""
        machine, _ = self.site.fronts[number]
        if not machine.is_alive or machine.is_frozen:
            return
        begun = self.events.now
        self.log.add(f"front {number} is frozen for {duration:.2f}")
        machine.freeze()

        def thaw() -> None:
            self.auditor.on_front_unreachable(machine.name, begun, self.events.now, True)
            if machine.is_alive:
                machine.thaw()

        self.events.schedule(duration, thaw)

    def _kill_any_front(self) -> None:
        self.site.kill_front(self.rng.choice(sorted(self.site.fronts)), 0.4)

    # Audit of the end of a run.

    def nodes(self) -> dict[str, ExaminedNode]:
        """Return the fleet state of each front for the fleet auditor."""
        nodes = {}
        for machine, front in self.site.fronts.values():
            assert front.fleet_adapter
            fleet = front.fleet_adapter.fleet
            nodes[machine.name] = ExaminedNode(
                machine.name, machine.is_alive, fleet.membership, fleet.store, fleet.anti_entropy
            )
        return nodes

    def divergences(self) -> list[str]:
        """Return the rules that the fleet violates and the items on which fronts differ, one line each."""
        if not self.settings.has_fleet:
            return []
        now = self.events.now + STEADY_CLOCK_OFFSET
        nodes = self.nodes()
        errors = audit(AuditedFleet(nodes, now, in_transit=MAX_CHANGES_IN_TRANSIT))
        for name in sorted({name for node in nodes.values() for name in node.store.items}):
            items = {front: node.store.items.get(name) for front, node in nodes.items()}
            keep = ITEM_KINDS[name[0]].lifetime
            is_retained = any(
                item and now < item.written_at + keep - EXPIRY_MARGIN for item in items.values()
            )
            is_in_transit = any(item and now < item.written_at + TRANSIT_TIME for item in items.values())
            values = {front: item.value if item else None for front, item in items.items()}
            if is_retained and not is_in_transit and len(set(values.values())) > 1:
                errors.append(f"{name[0]} {name[1]} differs: {values}")
        return errors
