"""Lifecycle of one request: attempts, retries, suspicion of slow attempts, and the final answer."""

from weldbend.routing import events
from weldbend.routing.actions import AnswerReason, CancelAttempt
from weldbend.routing.cache_state import Cache, responsible_cache
from weldbend.routing.events import AttemptResult, FillHint
from weldbend.routing.messages import Blocked, Outcome, Popularity, RequestMessage, Suspicion
from weldbend.routing.records import Attempt, RequestRecord
from weldbend.routing.settings import Idempotency

TIMEOUT_FACTOR = 2.5  # multiple of its expected duration after which an attempt is suspected
# If at least this many answers of a cache were expected since an attempt was sent, a connection that has
# delivered no data since then is evidence of a fault.
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
        """Return whether another attempt counts as a retry; a fill after a miss does not.

        An attempt that is started while another is in flight counts, unless that one is silent.
        """
        return any(a.result not in RETRY_EXEMPT_RESULTS and not a.is_silent for a in self.attempts)

    def handle(self, message: RequestMessage) -> None:
        """Process a message.

        Ends of attempts and cancellations are processed until the last attempt has ended, all other messages
        only until the final answer.
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
                # two ticks (times between batches) are left to give the final answer before the deadline
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
            case Blocked(cache, reason) if cache is not None and cache not in self.ruled_out:
                self.record_block(reason)
                self.ruled_out.add(cache)
                self.context.post(self.context.placement, self)
            case Blocked(_, reason) if not self.in_flight():  # admission gives the final answer
                self.record_block(reason)
                self.context.post(self.context.admission, self)
            case events.ResponseStarted():
                self.is_closed = True
            case events.ExecutedElsewhere():
                self.executions.append(message.execution)
            case Suspicion() if message.attempt.result is None:
                self.suspect(message)
            case events.TimerFired():  # the time of the request has ended; admission gives the final answer
                self.answer_reason = AnswerReason.DEADLINE
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
        """Start another attempt beside a suspected one, or cancel the suspected one if hedging is forbidden.

        Guards against attempts that do not end. Most slow attempts are for large objects, so at the first
        suspicion an attempt gets a second timeout if its connection is not silent and, where hedging is
        allowed, the cache responsible is trusted. The first suspicion also counts as a failure of that cache.
        A connection without data is considered silent only if answers were expected on it, or at the second
        suspicion. An attempt that may not be repeated is not cancelled either (`Admission.cancel_suspected`).
        Side effect: the first attempts at a cache that stops answering are late.
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
        else:
            context.post(context.admission, Suspicion(attempt))

    def attempt_ended(self, attempt: Attempt) -> None:
        """Process the end of an attempt; plan another one unless an attempt in flight is not suspected."""
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
        """Prefer other caches for this request.

        This machine could not connect to `cache`, but may be able to connect to others.
        """
        self.failed_caches.add(cache)
        if cache is self.missed_cache:
            self.missed_cache = None

    def record_served(self, attempt: Attempt, duration: float) -> None:
        """Record the duration and size of an answer.

        If the size is unknown, the duration is recorded as the size, unless the answer is late: then the
        delay may have other causes than a large object.
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

        A failed lookup counts against the cache looked up. A failed fill counts against the source or the
        origin, because the edge had answered the lookup before, unless the connection to the edge broke or
        is silent, or the edge gave the hint NO_PLACE. An error without a fill hint counts against a cache
        only after another attempt at the same request was served. This guards against requests that no cache
        can answer. Side effect: a cache that answers all requests with errors is excluded a little later.
        """
        hint = attempt.ended and attempt.ended.fill_hint
        is_reset = attempt.result is AttemptResult.RESET
        # whether the fault is at the cache that the attempt was sent to, and not at its source or the origin
        is_at_cache = attempt.is_silent or attempt.result in events.BROKEN or hint is FillHint.NO_PLACE
        responsible = attempt.cache if is_at_cache else responsible_cache(attempt)
        if attempt.result is AttemptResult.ERROR and hint is FillHint.NONE:
            self.error_suspects.append(responsible)
        else:
            is_lost = attempt.is_silent or is_reset
            self.context.post(responsible, Outcome.CONNECTION_LOST if is_lost else Outcome.FAILURE)
        if not is_reset:  # after a reset the same cache may be used again
            self.failed_caches |= {responsible, responsible if is_at_cache else attempt.source or responsible}
        if responsible is self.missed_cache:
            self.missed_cache = None
        return responsible

    def close(self) -> None:
        """Mark the request as closed, and cancel its attempts in flight if the site allows that."""
        if not self.is_closed and self.context.settings.allows_cancel:
            for attempt in self.in_flight():
                self.context.actions.append(CancelAttempt(self.received.id, attempt.number))
        self.is_closed = True
        self.discard_if_finished()
