"""Exchange of drains, removals and starts of caches between this front's bus and its peers.

Knowledge from a peer can add restrictions at once but never lifts one: a drain or removal in a newer list
than this front has read excludes a cache, and a later start puts it into slow start again. This front's own
bus is authoritative again once it has delivered the list that the peer referred to.
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
    """Keeps caches in the most restrictive state that any front knows.

    Attributes:
        dispatcher: dispatcher of the routing decisions.
        fleet: the fleet as this front sees it.
        quotas: limits and ejections that this front shares with its fleet.
        bus_offset: number of the last event that this front's own bus connection has delivered.
        counts: counters of the fleet adapter.
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
        """Publish the state and start of a cache from the bus event with the given number."""
        if record.state != "up" or (DRAIN, record.uid) in self.fleet.store.items:
            self.fleet.publish(DRAIN, record.uid, offset, LIST_STATES.index(record.state))
        if record.started_at:
            self.fleet.publish(START, record.uid, round(record.started_at * 1000))
        self.apply(record.uid)
        if record.started_at:
            self.quotas.cache_restarted(record.uid)

    def apply(self, uid: str) -> None:
        """Apply the most restrictive known state and the latest known start of a cache.

        Called for changes from peers, and for each record of a list from this front's own bus, because that
        list may be older than the one that a peer has read.
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
                "fleet: {} is {} by event {} of a peer's bus, which this front's bus has not delivered yet",
                uid,
                state.name,
                drain.value[0],
            )

    def _started(self, uid: str) -> float | None:
        """Return the latest possible time of a cache's last start; None if no front published a start.

        A start that this front's own list does not contain yet is dated by the time when the first front
        published it. That is later than the start itself, and thus the more restrictive choice. The timestamp
        from the bus only identifies the start. The result is a time of this front's clock.
        """
        item = self.fleet.store.items.get((START, uid))
        if item is None:
            return None
        first_reported_at = min(item.first_written_at, self.dispatcher.clock.now())
        return self.dispatcher.names.peer_start(uid, float(item.value[0]) / 1000, first_reported_at)
