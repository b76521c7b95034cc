"""Health checks of caches, each with a unique tag and one result: an answer, a timeout, or "unreachable"."""

from weldbend.cache_protocol.answers import Answer
from weldbend.caches.pool import CachePool
from weldbend.front import request_codec
from weldbend.front.context import FrontContext
from weldbend.front.event_queue import EventQueue
from weldbend.routing.events import AttemptResult, HealthCheckDone


class HealthChecker:
    """Sends health checks over existing connections, and posts the results to the router."""

    def __init__(self, context: FrontContext, queue: EventQueue, pool: CachePool) -> None:
        self.context = context
        self.queue = queue
        self.pool = pool
        self._pending: dict[str, tuple[int, float]] = {}  # cache and time of sending, by tag
        self._serial = 0

    def send(self, cache: int) -> None:
        """Send a health check to a cache; without a connection, the cache counts as unreachable."""
        self._serial += 1
        tag = f"p{self._serial:x}"
        self._pending[tag] = cache, self.context.clock.now()
        if not self.pool.send_health_check(cache, tag, self.context.site.reports_load):
            self.context.reactor.callLater(0, self._end_unanswered, tag, AttemptResult.UNREACHABLE)
            return
        timeout = self.context.site.cache_limits.connect_timeout
        self.context.timers.after(timeout, lambda: self._end_unanswered(tag, AttemptResult.TIMED_OUT))

    def _end_unanswered(self, tag: str, result: AttemptResult) -> None:
        if tag in self._pending:
            cache, sent = self._pending.pop(tag)
            self.queue.post(HealthCheckDone(cache, result, self.context.clock.now() - sent, None))

    def handle_answer(self, cache: int, answer: Answer) -> bool:
        """Handle an answer that matches no attempt; return whether it answers a health check."""
        result = request_codec.HEALTH_RESULTS.get(answer.status)
        pending_cache, sent = self._pending.get(answer.name, (None, 0.0))
        if result is None or pending_cache != cache:
            return False
        del self._pending[answer.name]
        load = request_codec.parse_load(answer.fields.get("use"))
        self.queue.post(HealthCheckDone(cache, result, self.context.clock.now() - sent, load))
        return True
