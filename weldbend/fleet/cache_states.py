"""Drains, removals and starts of caches: published from this front's bus, and applied where peers know more.

What comes from a peer may make this front stricter at once and loosens nothing: a drain or removal of a newer
list than this front has read excludes a cache, a later start makes it warm up again. What the front's own bus
says of a cache holds again once it has delivered the list that a peer spoke of.
"""

from collections import Counter
from typing import TYPE_CHECKING

from loguru import logger

from weldbend.event_bus.endpoint_registry import ENDPOINT_STATES
from weldbend.event_bus.events import EndpointRecord
from weldbend.fleet.conservative_merge import LIST_STATES, stricter_state
from weldbend.fleet.quota_service import QuotaService
from weldbend.fleet.replicated_items import DRAIN, START
from weldbend.fleet.service import Fleet
from weldbend.routing.events import PeerKnowledge

if TYPE_CHECKING:
    from weldbend.front.dispatcher import Dispatcher


class CacheStates:
    """Keeps caches in the strictest state that any front knows.

    Attributes:
        bus_offset: number of the last event that this front's own bus has delivered.
    """

    def __init__(
        self,
        dispatcher: "Dispatcher",
        fleet: Fleet,
        quotas: QuotaService,
        bus_offset: int,
        counts: Counter[str],
    ) -> None:
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.quotas = quotas
        self.bus_offset = bus_offset
        self.counts = counts

    def publish(self, record: EndpointRecord, offset: int) -> None:
        """Publish what the bus's event of that number says of a cache."""
        if record.state != "up" or (DRAIN, record.uid) in self.fleet.store.items:
            self.fleet.publish(DRAIN, record.uid, offset, LIST_STATES.index(record.state))
        if record.started_at:
            self.fleet.publish(START, record.uid, round(record.started_at * 1000))
        self.apply(record.uid)
        if record.started_at:
            self.quotas.cache_restarted(record.uid)

    def apply(self, uid: str) -> None:
        """Keep a cache as strictly as the newest list says that any front has read.

        Should also cover a list of this front's own that comes later but is older.
        """
        number = self.dispatcher.names.numbers.get(uid)
        if number is None:
            return
        drain = self.fleet.store.items.get((DRAIN, uid))
        state_name = stricter_state(drain.value if drain else None, self.bus_offset)
        state = ENDPOINT_STATES[state_name] if state_name else None
        started = self._started(uid)
        if state is None and started is None:
            return
        self.counts["cache states taken from peers"] += state is not None
        self.dispatcher.post(PeerKnowledge(number, state, started))
        if started is not None:
            self.quotas.cache_restarted(uid)
        if drain is not None and state is not None:
            self.dispatcher.pool.cancel_concerning({number})
            logger.bind(cache=uid).info(
                "fleet: {} is {} by event {}, which this front's bus has not delivered",
                uid,
                state.name,
                drain.value[0],
            )

    def _started(self, uid: str) -> float | None:
        """When the cache last started, in this front's time, at the latest; None where nobody has said so.

        A start that this front's own list has not named yet is dated by when its first writer had read of it,
        which is later than the start itself: the strict side. The stamp only says which start it is.
        """
        item = self.fleet.store.items.get((START, uid))
        if item is None:
            return None
        first_reported_at = min(item.first_written_at, self.dispatcher.clock.now())
        return self.dispatcher.names.peer_start(uid, float(item.value[0]) / 1000, first_reported_at)
