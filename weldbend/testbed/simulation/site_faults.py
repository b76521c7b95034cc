"""Faults of the site: cache restarts, drains, outages and resets, purges, killed fronts, bus resets."""

from collections.abc import Callable

from weldbend.testbed.emulator import objects
from weldbend.testbed.emulator.configuration import SETTINGS
from weldbend.testbed.simulation.settings import PURGE_GROUPS
from weldbend.testbed.simulation.site import RunContext, SimulatedSite

OBJECT_PURGE_FRACTION = 0.7  # fraction of purges of one object; the others purge a group
PURGED_GROUP = 1
ORIGIN_RESET_FRACTION = 0.5  # fraction of resets that affect the origin's connections
UNREACHABLE_TIME = 1.0  # seconds
FRONT_RESTART_DELAY = 0.4  # seconds


class SiteFaults:
    """Injects the faults of `RunSettings.fault_kinds`; each kind has a method that injects one fault."""

    def __init__(self, context: RunContext, site: SimulatedSite) -> None:
        self.context = context
        self.site = site
        self.by_kind: dict[str, Callable[[], None]] = {
            "restart": self.restart,
            "drain": self.drain,
            "purge": self.purge,
            "vanish": self.vanish,
            "reset": self.reset,
            "front": self.kill_front,
            "bus": self.break_bus,
        }

    def schedule(self) -> None:
        """Schedule all site faults of a run at random times."""
        settings = self.context.settings
        rng = self.context.rng
        for _ in range(settings.faults):
            kind = rng.choice(settings.fault_kinds)
            at = rng.uniform(0.8, settings.seconds - 1.5)
            self.context.network.events.schedule(at, self.by_kind[kind])

    def restart(self) -> None:
        """Kill a cache; it restarts empty half a second later."""
        if uid := self.site.draw_cache("box", "parent"):
            self.site.restart_cache(uid)

    def drain(self) -> None:
        """Drain an edge and replace it."""
        if uid := self.site.draw_cache("box"):
            self.site.drain_cache(uid)

    def purge(self) -> None:
        """Purge an object or a group of objects; later, their old copies are dropped from all caches."""
        rng = self.context.rng
        site = self.site
        key = objects.object_key(rng.randint(1, 6))
        stamp = site.unix_ms()
        purged_ms = int(self.context.network.events.now * 1000)
        if rng.random() < OBJECT_PURGE_FRACTION:
            site.publish(ban={"url": key, "ts": stamp})
            keys = {key}
        else:
            site.publish(ban={"tag": PURGED_GROUP, "ts": stamp})
            ranks = range(1, self.context.settings.objects + 1)
            keys = {objects.object_key(rank) for rank in ranks if rank % PURGE_GROUPS == PURGED_GROUP}
        dropped_after = SETTINGS["family_info"]["gone_everywhere_us"] / 1e6
        self.context.network.events.schedule(dropped_after, lambda: site.drop_copies(keys, purged_ms))

    def vanish(self) -> None:
        """Cut off a cache from the network for a second."""
        if uid := self.site.draw_cache("box", "parent"):
            network = self.context.network
            host = self.site.machines[uid].host
            self.context.log.add(f"{uid} vanishes")
            network.unreachable_hosts.add(host)
            network.events.schedule(UNREACHABLE_TIME, lambda: network.unreachable_hosts.discard(host))

    def reset(self) -> None:
        """Reset all connections of a cache, with the requests in flight on them."""
        uid = (
            "o1"
            if self.context.rng.random() < ORIGIN_RESET_FRACTION
            else self.site.draw_cache("box", "parent") or "o1"
        )
        self.context.log.add(f"connections of {uid} are reset")
        for transport in list(self.site.machines[uid].transports):
            transport.abortConnection()

    def kill_front(self) -> None:
        """Kill a front and restart it."""
        number = self.context.rng.choice(sorted(self.site.fronts))
        self.site.kill_front(number, FRONT_RESTART_DELAY)

    def break_bus(self) -> None:
        """Reset the event bus's connections to all readers in the middle of an event."""
        self.context.log.add("the bus breaks off")
        for reader in list(self.site.bus.readers):
            if reader.transport:
                reader.transport.write(b'id: 999\ndata: {"off')
                reader.transport.abortConnection()
