"""Purges: published from this front's bus, and applied where a peer's bus delivered them first."""

from collections import Counter
from typing import TYPE_CHECKING

from weldbend.event_bus.events import Purge
from weldbend.fleet.conservative_merge import PeerPurges
from weldbend.fleet.replicated_items import PURGE
from weldbend.fleet.replicated_store import Change
from weldbend.fleet.service import Fleet
from weldbend.routing.events import ObjectsPurged

if TYPE_CHECKING:
    from weldbend.front.dispatcher import Dispatcher

KEY_PREFIX = "k:"  # of an item that purges one object
GROUP_PREFIX = "g:"  # of an item that purges a group of objects


class PurgeExchange:
    """A purge of a peer bounds the age of copies at this front at once."""

    def __init__(self, dispatcher: "Dispatcher", fleet: Fleet, counts: Counter[str]) -> None:
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.counts = counts
        self.limiter = PeerPurges()

    def publish(self, purge: Purge) -> None:
        """Publish a purge that this front's bus delivered."""
        key = f"{KEY_PREFIX}{purge.key}" if purge.key else f"{GROUP_PREFIX}{purge.group}"
        self.fleet.publish(PURGE, key, int(purge.purged_at * 1000))

    def apply(self, change: Change) -> None:
        """Apply a purge of a peer, unless too many came in this second."""
        clock = self.dispatcher.clock
        at = self.limiter.effective_from(float(change.value[0]) / 1000, clock.now(), clock.unix())
        self.counts["peer purges out of bounds"] = self.limiter.anomalies
        if at is None:
            return
        key, group = None, 0
        if change.key.startswith(KEY_PREFIX):
            key = change.key.removeprefix(KEY_PREFIX)
        else:
            group = int(change.key.removeprefix(GROUP_PREFIX))
        self.counts["peer purges applied"] += 1
        self.dispatcher.post(ObjectsPurged(key, group, clock.age(at)))
        self.dispatcher.pool.cancel_purged(key, group)
