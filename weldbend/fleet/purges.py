"""Purges: published from this front's bus, and applied where a peer's bus delivered them first.

A purge of a peer counts from when it was published, by its age: it was issued before. The stamp of the bus
only says which purge it is; no wall clock dates it.
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

REPLAY_AFTER = 1.0  # seconds after this front's bus delivered a purge; what a peer publishes then is a replay
MAX_REMEMBERED_PURGES = 16_384  # purges of this front's own bus that are remembered
KEY_PREFIX = "k:"  # of an item that purges one object
GROUP_PREFIX = "g:"  # of an item that purges a group of objects


class PurgeExchange:
    """A purge of a peer bounds the age of copies at this front at once.

    Attributes:
        delivered: purges of this front's own bus, by key and stamp, and when they came first; in that order.
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
        """Whether a peer's bus has replayed what this front's own bus delivered long before.

        Guards against purges of long ago that a front publishes again after its start, and that would make
        all others fetch anew what they have fetched since. Harm: none, the front goes by its own bus.
        """
        delivered_at = self.delivered.get((change.key, int(change.value[0])))
        return delivered_at is not None and delivered_at < written_at - REPLAY_AFTER

    def apply(self, change: Change) -> None:
        """Apply a purge of a peer, unless too many came in this second."""
        now = self.dispatcher.clock.now()
        written_at = now - change.age
        if self._is_replay(change, written_at):
            self.counts["peer purges replayed"] += 1
            return
        # all by the monotonic clock: the limiter compares moments of one clock only
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
