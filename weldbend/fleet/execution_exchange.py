"""Exchange of attempts at requests with an idempotency key between fronts, against a second execution."""

from collections import Counter
from typing import TYPE_CHECKING

from weldbend.fleet import idempotency
from weldbend.fleet.replicated_items import FIRST_ATTEMPT, ITEM_KINDS, NO_CACHE
from weldbend.fleet.replicated_store import Change, Item
from weldbend.fleet.service import Fleet
from weldbend.fleet.steady_unix import SteadyUnixTime
from weldbend.routing.events import ExecutedElsewhere, PossibleExecution
from weldbend.routing.settings import DeduplicationScope, Idempotency

if TYPE_CHECKING:
    from weldbend.front.dispatcher import Dispatcher


class ExecutionExchange:
    """Publishes this front's attempts, and reports the caches that may have executed a request already."""

    def __init__(self, dispatcher: "Dispatcher", fleet: Fleet, counts: Counter[str]) -> None:
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.counts = counts
        self.unix = SteadyUnixTime(dispatcher.clock)
        windows = [
            request_class.deduplication_window
            for request_class in dispatcher.site.settings.classes.values()
            if request_class.idempotency is Idempotency.DEDUPLICATED
        ]
        self.unknown_attempts = idempotency.UnknownAttempts(max(windows, default=0.0))

    def publish_attempt(self, class_name: str, idempotency_key: str, cache: int) -> None:
        """Publish an attempt of a deduplicated request; must be called before its bytes are sent."""
        request_class = self.dispatcher.site.settings.classes[class_name]
        destination = self.dispatcher.router.caches.get(cache)
        if request_class.idempotency is Idempotency.DEDUPLICATED and destination:
            group = idempotency.deduplication_group(
                request_class.deduplication_scope, destination.zone, destination.cell
            )
            self.fleet.publish(FIRST_ATTEMPT, idempotency_key, group, int(self.unix() * 1000))

    def possible_executions(
        self, class_name: str, idempotency_key: str, is_retry: bool
    ) -> tuple[PossibleExecution, ...]:
        """Return earlier attempts of a deduplicated request, by any front, that may have been executed."""
        request_class = self.dispatcher.site.settings.classes[class_name]
        now = self.fleet.timers.now()
        if request_class.idempotency is not Idempotency.DEDUPLICATED:
            return ()
        item = self.fleet.store.items.get((FIRST_ATTEMPT, idempotency_key))
        if item and item.is_live(ITEM_KINDS[FIRST_ATTEMPT], now):
            self.counts["requests possibly executed elsewhere"] += 1
            return (self._possible_execution(item, now),)
        has_scope = request_class.deduplication_scope is not DeduplicationScope.ALL
        if is_retry and has_scope and self._may_have_missed_attempts(now):
            self.counts["retries treated as possibly executed"] += 1
            return (PossibleExecution(NO_CACHE, -1, now),)
        return ()

    def _possible_execution(self, item: Item, now: float) -> PossibleExecution:
        return idempotency.possible_execution(item.value, item.first_written_at, now, self.unix())

    def _may_have_missed_attempts(self, now: float) -> bool:
        members = self.fleet.membership.members.values()
        return self.unknown_attempts.may_exist(
            self.fleet.anti_entropy.is_caught_up, self.fleet.connection_lost_at, members, now
        )

    def apply(self, change: Change) -> None:
        """Apply an attempt that another front has just published to the open requests with its key."""
        now = self.fleet.timers.now()
        item = self.fleet.store.items[FIRST_ATTEMPT, change.key]
        for request in self.dispatcher.requests.by_client_id.values():
            if request.parsed.idempotency_key == change.key:
                execution = self._possible_execution(item, now)
                self.dispatcher.post(ExecutedElsewhere(request.id, execution))
