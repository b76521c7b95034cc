"""Exchange of purges: publishes those from this front's bus, and applies those that peers publish.

A purge from a peer is dated by the time when the peer published it, which follows from the age of the item.
That time is later than the purge itself, so all copies that the purge concerns are covered. The bus's
timestamp only identifies the purge; no wall clock is used to date it.
"""

from collections import Counter
from typing import TYPE_CHECKING

from weldbend.event_bus.events import Purge
from weldbend.fleet.conservative_merge import PeerPurgeLimiter
from weldbend.fleet.replicated_items import PURGE
from weldbend.fleet.replicated_store import Change
from weldbend.fleet.service import Fleet
from weldbend.routing.events import ObjectsPurged

if TYPE_CHECKING:
    from weldbend.front.dispatcher import Dispatcher

REPLAY_AFTER = 1.0  # seconds after this front's bus delivered a purge; if published later, it is a replay
MAX_REMEMBERED_PURGES = 16_384  # purges of this front's own bus whose delivery is remembered
KEY_PREFIX = "k:"  # of an item that purges one object
GROUP_PREFIX = "g:"  # of an item that purges a group of objects


class PurgeExchange:
    """Publishes purges, and applies the purges of peers so that older copies are not served here either.

    Attributes:
        dispatcher: dispatcher of the routing decisions.
        fleet: the fleet as this front sees it.
        counts: counters of the fleet adapter.
        limiter: limiter of the purges accepted from peers.
        delivered: time of the first delivery of each purge by this front's own bus, by key and timestamp,
            in order of delivery.
    """

    def __init__(self, dispatcher: "Dispatcher", fleet: Fleet, counts: Counter[str]) -> None:
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.counts = counts
        self.limiter = PeerPurgeLimiter()
        self.delivered: dict[tuple[str, int], float] = {}

    def publish(self, purge: Purge) -> None:
        """Publish a purge that this front's bus delivered."""
        key = f"{KEY_PREFIX}{purge.key}" if purge.key else f"{GROUP_PREFIX}{purge.group}"
        stamp = int(purge.purged_at * 1000)
        self.delivered.setdefault((key, stamp), self.dispatcher.clock.now())
        if len(self.delivered) > MAX_REMEMBERED_PURGES:
            del self.delivered[next(iter(self.delivered))]
        self.fleet.publish(PURGE, key, stamp)

    def _is_replay(self, change: Change, written_at: float) -> bool:
        """Return whether a peer's purge is a replay of one that this front's own bus delivered earlier.

        Guards against old purges that a front publishes again after its start, which would make all other
        fronts fetch again the copies that they have fetched since. Ignoring a replay has no drawback: the
        purge has already taken effect here when this front's own bus delivered it.
        """
        delivered_at = self.delivered.get((change.key, int(change.value[0])))
        return delivered_at is not None and delivered_at < written_at - REPLAY_AFTER

    def apply(self, change: Change) -> None:
        """Apply a purge of a peer, unless it is a replay or exceeds the rate limit."""
        now = self.dispatcher.clock.now()
        written_at = now - change.age
        if self._is_replay(change, written_at):
            self.counts["peer purges replayed"] += 1
            return
        # All times are of the monotonic clock, because the limiter compares times of a single clock.
        purged_at = self.limiter.effective_from(written_at, now, now)
        self.counts["peer purges out of bounds"] = self.limiter.anomalies
        if purged_at is None:
            return
        key = None
        group = 0
        if change.key.startswith(KEY_PREFIX):
            key = change.key.removeprefix(KEY_PREFIX)
        else:
            group = int(change.key.removeprefix(GROUP_PREFIX))
        self.counts["peer purges applied"] += 1
        self.dispatcher.post(ObjectsPurged(key, group, now - purged_at))
        self.dispatcher.pool.cancel_purged(key, group)
