"""Site of a simulated run: emulated caches, the event bus and fronts, each on a machine of its own."""

import json
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from weldbend.front.configuration import Site, read_site
from weldbend.front.server import Front
from weldbend.testbed.emulator.cache_model import EmulatedCache, EmulatedCaches, Link, TimedAnswer
from weldbend.testbed.emulator.configuration import LIMITS, SETTINGS, configuration, target
from weldbend.testbed.emulator.objects import PartSizes
from weldbend.testbed.emulator.servers import CacheServer, EventBusServer
from weldbend.testbed.simulation.auditor import Auditor
from weldbend.testbed.simulation.machine import Machine
from weldbend.testbed.simulation.network import VirtualNetwork
from weldbend.testbed.simulation.run_log import RunLog
from weldbend.testbed.simulation.settings import (
    BUS_CLOCK,
    BUS_HOST,
    BUS_PORT,
    CACHE_CLOCK,
    CACHE_PORT,
    EDIT_CLASS,
    FRONT_PORT,
    RunSettings,
    front_host,
    front_name,
)

EDGE_LINK = (6e6, 0.01)  # bytes per second, and seconds of delay, of an edge's link to its sources
# Seconds of a cache's own work for an answer, by kind of cache; writes take five times as long.
SERVICE_TIMES = {"origin": 0.02}
DEFAULT_SERVICE_TIME = 0.002  # seconds; for other kinds of caches
MEDIAN_SIZE = 6000  # bytes of an object part
MAX_IN_FLIGHT_REQUESTS = 400  # to one cache


class NoEpollSet:
    """Stand-in for an epoll set: without descriptors, no connection is ever kept as an idle descriptor."""

    def __init__(self, reactor: object) -> None:
        """Accept any reactor."""

    def detach(self, transport: object) -> int | None:
        """Return None: the transport keeps its connection."""
        return None

    def fileno(self) -> int:
        """Return -1: there is no descriptor."""
        return -1

    def poll_readable(self, most: int) -> list[int]:
        """Return an empty list: no descriptor is ever readable."""
        return []

    def close_set(self) -> None:
        """Do nothing: there is nothing to close."""


@dataclass(frozen=True, slots=True)
class RunContext:
    """Objects shared by all parts of a run."""

    seed: int
    settings: RunSettings
    rng: Random  # for load and faults; the network has its own generator
    network: VirtualNetwork
    log: RunLog
    auditor: Auditor


FrontFactory = Callable[[Machine, Site], Front]


class SimulatedSite:
    """Starts and stops caches and fronts, and publishes the state of caches on the event bus."""

    def __init__(self, context: RunContext, create_front: FrontFactory) -> None:
        self.context = context
        self.create_front = create_front
        self.network = context.network
        self.events = context.network.events
        self.sizes = PartSizes(median=MEDIAN_SIZE)
        self.caches = EmulatedCaches([], self.sizes)
        self.caches.fresh_time = context.settings.fresh_time
        self.machines: dict[str, Machine] = {}  # machines of the caches, by uid
        # Seconds by which the Unix clocks of fronts, bus and caches have been stepped, by clock name.
        self.unix_steps = defaultdict[str, float](float)
        self.targets: dict[str, dict[str, Any]] = {}  # entries of the endpoint list, by uid
        self.uid_by_host: dict[str, str] = {}
        self.down_caches: set[str] = set()  # caches that are restarting
        self.fronts: dict[int, tuple[Machine, Front]] = {}
        settings = context.settings
        kinds = [("box", "e", settings.edges), ("parent", "p", settings.parents), ("origin", "o", 1)]
        for kind, letter, count in kinds:
            for number in range(1, count + 1):
                self.start_cache(f"{letter}{number}", kind, f"10.0.1.{len(self.targets) + 1}", 0.0)
        machine = Machine(self.network, "bus", BUS_HOST)
        self.bus = EventBusServer(machine, list(self.targets.values()))
        machine.listenTCP(BUS_PORT, self.bus)

    # Caches.

    def start_cache(self, uid: str, kind: str, host: str, boot: float) -> None:
        """Start an empty cache; `boot` is its start time in Unix milliseconds, 0 for long ago."""
        settings = self.context.settings
        machine = self.machines[uid] = Machine(self.network, uid, host)
        capacity = {"box": settings.edge_capacity, "parent": 4 * settings.edge_capacity, "origin": 0}[kind]
        cache = EmulatedCache(uid, kind, capacity, SERVICE_TIMES.get(kind, DEFAULT_SERVICE_TIME))
        self.caches.by_uid[uid] = cache
        if kind == "box":
            self.caches.links[uid] = Link(*EDGE_LINK)

        def on_executed(name: str, answer: TimedAnswer) -> None:
            self.context.auditor.on_copy_served(uid, name, answer.made_ms)

        server = CacheServer(
            machine, self.caches, cache, lambda: self.events.now, lambda: self.unix(CACHE_CLOCK), on_executed
        )
        machine.listenTCP(CACHE_PORT, server)
        zone = "z" if kind == "box" else "h"
        self.targets[uid] = target(
            uid,
            kind,
            zone,
            boot=boot,
            endpoint=f"{host}:{CACHE_PORT}",
            capacity_hint=settings.weight,
        )
        self.uid_by_host[host] = uid

    def restart_cache(self, uid: str) -> None:
        """Kill a cache and restart it empty half a second later; the endpoint list states its start."""
        self.context.log.add(f"restart of {uid}")
        self.machines[uid].kill()
        host = self.machines[uid].host
        kind = self.targets[uid]["model"]
        self.down_caches.add(uid)

        def start_again() -> None:
            self.down_caches.discard(uid)
            self.start_cache(uid, kind, host, self.unix_ms(CACHE_CLOCK))
            self.publish_state(uid, "up")

        self.events.schedule(0.5, start_again)

    def drain_cache(self, uid: str) -> None:
        """Drain a cache; two seconds later, remove it and start another one at its address."""
        host = self.machines[uid].host
        self.publish_state(uid, "draining")

        def replace() -> None:
            self.publish_state(uid, "removed")
            self.machines[uid].kill()
            self.start_cache(f"{uid}x", "box", host, self.unix_ms(CACHE_CLOCK))
            self.publish_state(f"{uid}x", "up")

        self.events.schedule(2.0, replace)

    def draw_cache(self, *kinds: str) -> str | None:
        """Draw a running cache of the given kinds and return its uid; None if fewer than two are running."""
        candidates = [
            uid
            for uid, entry in self.targets.items()
            if entry["model"] in kinds and entry["state"] == "up" and uid not in self.down_caches
        ]
        return self.context.rng.choice(candidates) if len(candidates) > 1 else None

    def drop_copies(self, keys: set[str], purged_ms: int) -> None:
        """Drop copies of some objects from all caches, if made before a given virtual millisecond."""
        for cache in self.caches.by_uid.values():
            for place in [p for p, copy in cache.copies.items() if p[0] in keys and copy.made_ms < purged_ms]:
                cache.used -= cache.copies.pop(place).size

    # The event bus.

    def unix(self, clock: str) -> float:
        """Return the Unix time in seconds by one of the clocks."""
        return self.events.unix() + self.unix_steps[clock]

    def unix_ms(self, clock: str = BUS_CLOCK) -> int:
        """Return the Unix time in milliseconds by one of the clocks, as used in events."""
        return int(self.unix(clock) * 1000)

    def publish(self, **event: object) -> None:
        """Publish an event on the bus; the auditor receives it immediately."""
        self.bus.publish(**event)
        published = self.bus.events[-1]
        self.context.log.add(f"bus {json.dumps(published)}")
        self.context.auditor.on_bus_event(self.events.now, self.unix(CACHE_CLOCK), published)

    def publish_state(self, uid: str, state: str) -> None:
        """Publish the state of a cache: up, draining or removed."""
        self.targets[uid] = self.targets[uid] | {"state": state}
        self.publish(topology={"rev": len(self.bus.events), "all": False, "targets": [self.targets[uid]]})
        if state == "removed":
            del self.targets[uid]

    # Fronts.

    def start_front(self, number: int) -> None:
        """Start a front, configured with the current endpoint list and events."""
        poll_interval = self.context.settings.poll_interval
        machine = Machine(self.network, front_name(number), front_host(number), poll_interval)
        front = self.create_front(machine, read_site(self._configuration(machine, number)))
        front.listener.epoll_set_factory = NoEpollSet  # type: ignore[assignment]  # the class is the factory
        self.fronts[number] = machine, front
        self.context.auditor.on_front_started(machine.name)
        front.start()

    def _configuration(self, machine: Machine, number: int) -> str:
        count = self.context.settings.fronts
        family = SETTINGS["family_info"] | {
            "count_by_zone": [0, count],
            "lifetime_by_class_us": [int(self.context.settings.fresh_time * 1e6), 0, 0],
            "older_by_us": [0, 0, 0],
            "pass_on": [False, True, True],
        }
        caps = SETTINGS["caps"] | {"max_streams": self.context.settings.max_streams}
        settings = SETTINGS | {"siblings": count, "family_info": family, "caps": caps}
        settings["lanes"] = [*SETTINGS["lanes"], EDIT_CLASS]
        text = configuration(
            list(self.targets.values()),
            LIMITS,
            settings,
            listen=f"{machine.host}:{FRONT_PORT}",
            bus=f"{BUS_HOST}:{BUS_PORT}",
            name=machine.name,
            seed=f"{self.context.seed}/{number}/{self.events.now}",
            open_cap=MAX_IN_FLIGHT_REQUESTS,
        )
        document = json.loads(text)
        document["known"] = {"offset": self.bus.events[-1]["offset"], "batch": self.bus.events}
        return json.dumps(document)

    def kill_front(self, number: int, restart_after: float | None = None) -> None:
        """Kill a front, and restart it after some seconds, or not at all if `restart_after` is None."""
        machine, _ = self.fronts[number]
        if machine.is_alive:
            self.context.log.add(f"front {number} is killed")
            self.context.auditor.on_front_killed(machine.name)
            machine.kill()
            if restart_after is not None:
                self.events.schedule(restart_after, lambda: self.start_front(number))
