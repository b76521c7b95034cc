"""Lifecycle of one request: attempts, retries, suspicion of slow attempts, and the final answer."""

from weldbend.routing import events
from weldbend.routing.actions import CancelAttempt
from weldbend.routing.cache_state import Cache, responsible_cache
from weldbend.routing.events import AttemptResult, FillHint
from weldbend.routing.messages import Blocked, Outcome, Popularity, RequestMessage, Suspicion
from weldbend.routing.records import Attempt, RequestRecord
from weldbend.routing.settings import Idempotency

TIMEOUT_FACTOR = 2.5  # multiple of the expected duration after which an attempt is suspected
# Answers expected since an attempt was sent, from which on a silent connection is evidence of a fault.
MIN_EXPECTED_ANSWERS = 3.0
# Results that are no evidence of a faulty cache.
INCONCLUSIVE_RESULTS = {
    AttemptResult.CANCELLED,
    AttemptResult.SUPERSEDED,
    AttemptResult.MALFORMED,
    AttemptResult.LOCAL_FAULT,
}
RETRY_EXEMPT_RESULTS = {  # an attempt after one of these does not count as a retry
    AttemptResult.MISS,
    AttemptResult.MALFORMED,
    AttemptResult.RESET,
    AttemptResult.LOCAL_FAULT,
}


class Request(RequestRecord):
    """An admitted request of a client."""

    def needs_retry(self) -> bool:
        """Return whether another attempt counts as a retry, which a fill after a miss does not."""
        return any(a.result not in RETRY_EXEMPT_RESULTS and not a.is_silent for a in self.attempts)

    def handle(self, message: RequestMessage) -> None:
        """Process a message.

        Ends of attempts are processed until the last attempt has ended, all other messages only until the
        final answer.
        """
        match message:
            case Attempt() if message.result is not None:
                self.attempt_ended(message)
            case events.RequestCancelled():
                self.close()
            case _ if not self.is_closed:
                self.handle_open(message)

    def handle_open(self, message: RequestMessage) -> None:
        """Process a message while the final answer is outstanding."""
        match message:
            case events.RequestReceived():
                remaining = max(
                    self.received.deadline - self.context.now - 2 * self.context.settings.tick, 0.0
                )
                self.context.start_timer(remaining, f"end:{self.received.id}", self.received.id)
                self.context.post(self.context.prefilter, self)
            case Popularity():
                self.popularity = message
                self.context.post(self.context.placement, self)
            case Attempt():
                self.set_timeout(message)
            case Blocked(cache) if cache is not None and cache not in self.ruled_out:
                self.ruled_out.add(cache)
                self.context.post(self.context.placement, self)
            case Blocked() if not self.in_flight():
                self.context.post(self.context.admission, self)
            case events.ResponseStarted():
                self.is_closed = True
            case events.ExecutedElsewhere():
                self.executions.append(message.execution)
            case Suspicion() if message.attempt.result is None:
                self.suspect(message)
            case events.TimerFired():
                self.context.post(self.context.admission, self)

    def set_timeout(self, attempt: Attempt) -> None:
        """Start the timer after which an attempt is suspected.

        The delay is a multiple of the expected duration, and at least the latency objective.
        """
        role = attempt.limited_by().role
        now = self.context.now
        work = self.received.work
        expected = self.context.statistics.expected_duration(self.request_class, role, now, work)
        delay = max(TIMEOUT_FACTOR * expected, self.request_class.latency_objective)
        self.context.start_timer(delay, attempt.timeout_token(), self.received.id, attempt.number)

    def suspect(self, suspicion: Suspicion) -> None:
        """Start another attempt beside a suspected one, or cancel that one if hedging is not allowed.

        Guards against attempts that do not end. Most slow attempts are for large objects, so an attempt gets
        a second timeout if its connection is not silent and, where hedging is allowed, its cache is trusted.
        Silence of a connection is evidence only if answers were expected on it. Side effect: the first
        attempts at a cache that stops answering are late.
        """
        context = self.context
        attempt = suspicion.attempt
        is_answer_expected = (
            attempt.cache.answer_rate() * (context.now - attempt.sent) >= MIN_EXPECTED_ANSWERS
        )
        is_repeated = attempt.is_suspected
        attempt.is_silent = suspicion.is_silent and (is_repeated or is_answer_expected)
        attempt.is_suspected = True
        is_healthy = not is_repeated and self.attribute_failure(attempt).is_trusted(1.0)
        hedges = context.settings.allows_hedging
        if not (is_repeated or attempt.is_silent) and (is_healthy or not hedges):
            self.set_timeout(attempt)
        elif hedges and self.request_class.idempotency is not Idempotency.NON_IDEMPOTENT:
            context.post(context.placement, self)
        elif self.request_class.idempotency is not Idempotency.NON_IDEMPOTENT:
            context.post(context.admission, Suspicion(attempt))

    def attempt_ended(self, attempt: Attempt) -> None:
        """Process the end of an attempt, and plan another one if no unsuspected attempt is in flight."""
        assert attempt.ended is not None
        if attempt.result is AttemptResult.SERVED:
            self.record_served(attempt, attempt.ended.duration)
        elif attempt.result is AttemptResult.MISS:
            self.record_miss(attempt)
        elif attempt.result is AttemptResult.LOCAL_FAULT:
            self.avoid_cache(attempt.cache)
        elif attempt.result not in INCONCLUSIVE_RESULTS and not attempt.is_suspected:
            self.attribute_failure(attempt)
        if attempt.ended.request_closed:
            self.close()
        elif not self.is_closed and all(other.is_suspected for other in self.in_flight()):
            self.context.post(self.context.placement, self)
        else:
            self.discard_if_finished()

    def avoid_cache(self, cache: Cache) -> None:
        """Prefer another cache for this request, as this machine may be able to connect to that one."""
        self.failed_caches.add(cache)
        if cache is self.missed_cache:
            self.missed_cache = None

    def record_served(self, attempt: Attempt, duration: float) -> None:
        """Record the duration and size of an answer.

        If the size is unknown, the duration is recorded instead, unless the answer is late: the delay may
        have other causes than a large object.
        """
        context = self.context
        request_class = self.request_class
        work = self.received.work
        stretch = request_class.objective_stretch * (work or context.mean_work(self))
        is_late = duration > request_class.latency_objective + stretch
        limited_by = attempt.limited_by()
        context.statistics.record(request_class, limited_by.role, context.now, duration, work)
        if work or not is_late:
            context.statistics.record_work(request_class, work or duration)
        for cache in self.error_suspects:
            context.post(cache, Outcome.FAILURE)
        if not is_late:
            context.post(limited_by, Outcome.SUCCESS)
        elif not attempt.is_suspected:
            context.post(responsible_cache(attempt), Outcome.LATE)

    def attribute_failure(self, attempt: Attempt) -> Cache:
        """Record a failure against the cache that is probably responsible, and return that cache.

        A failed lookup counts against the edge. A failed fill counts against the source, because the edge had
        answered the lookup before. An error without a fill hint counts against a cache only after another
        cache has served the same request. This guards against requests that no cache can answer. Side effect:
        a cache that answers all requests with errors is excluded a little later.
        """
        hint = attempt.ended and attempt.ended.fill_hint
        is_reset = attempt.result is AttemptResult.RESET
        at_edge = attempt.is_silent or attempt.result in events.BROKEN or hint is FillHint.NO_PLACE
        blamed = attempt.cache if at_edge else responsible_cache(attempt)
        if attempt.result is AttemptResult.ERROR and hint is FillHint.NONE:
            self.error_suspects.append(blamed)
        else:
            is_lost = attempt.is_silent or is_reset
            self.context.post(blamed, Outcome.CONNECTION_LOST if is_lost else Outcome.FAILURE)
        if not is_reset:
            self.failed_caches |= {blamed, blamed if at_edge else attempt.source or blamed}
        if blamed is self.missed_cache:
            self.missed_cache = None
        return blamed

    def close(self) -> None:
        """Mark the request as closed, and cancel its attempts in flight if the site allows that."""
        if not self.is_closed and self.context.settings.allows_cancel:
            for attempt in self.in_flight():
                self.context.actions.append(CancelAttempt(self.received.id, attempt.number))
        self.is_closed = True
        self.discard_if_finished()
