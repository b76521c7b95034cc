"""Admission: accepts or rejects requests, sends or blocks planned attempts, and gives final answers.

An attempt that another part plans is sent only if all checks in this module pass.
"""

from weldbend.routing import actions, events
from weldbend.routing.actions import AnswerReason
from weldbend.routing.actor import Actor
from weldbend.routing.cache_state import Cache
from weldbend.routing.context import Context
from weldbend.routing.events import AttemptResult, EndpointState
from weldbend.routing.messages import AdmissionMessage, Blocked, Suspicion
from weldbend.routing.purge_table import PurgeTable
from weldbend.routing.records import Attempt, shares_idempotency_keys
from weldbend.routing.requests import Request
from weldbend.routing.retry_safety import (
    is_key_short_lived,
    is_retry_safe,
    may_have_unknown_attempts,
    remembered_until,
    safe_until,
)
from weldbend.routing.settings import Idempotency, RequestClass, Role
from weldbend.routing.warm_load import WarmLoad
from weldbend.routing.windows import DecayingAverage, WindowedSum

RETRY_BUDGET = 0.15  # retries allowed within RETRY_WINDOW, as a fraction of the requests received in it
RETRY_ALLOWANCE = 2  # retries allowed within RETRY_WINDOW in addition to that fraction
RETRY_WINDOW = 10.0  # seconds over which requests and retries are counted
# Seconds after which a client may retry a request that was admitted and then rejected. An answer that rejects
# a request for overload contains the site's max_retry_after instead.
RETRY_AFTER = 0.5
LAG_LIMIT = 0.03  # seconds of event-loop lag that count as a load of 1 (see `Admission.admit`)
LAG_MEMORY = 0.5  # seconds after which a lag measurement has decayed to 0
LAG_SMOOTHING = 0.3  # weight of the newest lag measurement in the average
QUEUED_LIMIT = 0.35  # time queued unread, as a fraction of the latency objective, that counts as a load of 1
# Load assumed for requests over a fleet-wide limit. 3 rejects all of them: a request is rejected with a
# probability of the load minus 1 or, in the classes of the highest priority weight, minus 2.
OVER_LIMIT_LOAD = 3.0
MAX_ERRORS = 3  # error answers after which a request gets no further attempt
WARM_LOAD_WINDOW = 10.0  # seconds over which the load of warm caches is measured
PURGE_MARGIN = 0.001  # seconds by which a copy has to be newer than a purge to be accepted
MIN_COPY_AGE = 2e-6  # minimum age limit in seconds; 0 means the fresh time of the class


class Admission(Actor[AdmissionMessage]):
    """The part of a router that admits requests, sends or blocks attempts, and gives final answers."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.warm_load = WarmLoad(context, WARM_LOAD_WINDOW)
        self.purges = PurgeTable()
        self.requests = WindowedSum(RETRY_WINDOW)
        self.retries = WindowedSum(RETRY_WINDOW)
        self.lag = DecayingAverage(LAG_SMOOTHING, LAG_MEMORY)

    def handle(self, message: AdmissionMessage) -> None:
        """Process an event, a planned attempt, a suspicion, or a request that needs its final answer."""
        match message:
            case events.RequestReceived():
                self.admit(message)
            case events.LoopLagMeasured(lag):
                self.lag.add(self.context.now, lag)
            case Attempt():
                if blocked := self.find_block(message):
                    self.context.post(message.request, blocked)
                else:
                    self.send(message)
            case events.AttemptEnded():
                self.end(message)
            case Suspicion(attempt) if attempt.result is None:
                self.cancel_suspected(attempt)
            case events.ObjectsPurged():
                self.record_purge(message)
            case Request() if not message.is_closed:
                self.answer(message)

    def admit(self, received: events.RequestReceived) -> None:
        """Admit a request, or reject it when this front is overloaded.

        Guards against more requests than this front has time to process, which would make every answer late.
        The load is the highest of the event-loop lag in units of LAG_LIMIT, the time for which the request
        was queued unread in units of its limit, and OVER_LIMIT_LOAD if the request is over a fleet-wide
        limit. The request is rejected with a probability of the load minus 1, or minus 2 if its class has the
        highest priority weight. Side effect: a pause of the machine causes some requests to be rejected.

        Instead of being rejected, a request fails if a retry might not be safe.
        """
        context = self.context
        request_class = self.context.settings.classes[received.class_name]
        self.requests.add(context.now)
        highest = max(other.priority_weight for other in context.settings.classes.values())
        loads = {
            AnswerReason.LOOP_LAG: self.lag.value(context.now) / LAG_LIMIT,
            AnswerReason.QUEUED_UNREAD: received.queued_for
            / (QUEUED_LIMIT * request_class.latency_objective),
            AnswerReason.FLEET_LIMIT: OVER_LIMIT_LOAD * received.over_limit,
        }
        reason = max(loads, key=loads.__getitem__)
        excess = loads[reason] - (2 if request_class.priority_weight >= highest else 1)
        if excess > 0 and context.random.random() < excess:
            executions = received.possible_executions
            has_unknown = self.has_unknown_attempts(received, request_class)
            if is_retry_safe(request_class, executions, has_unknown, context.now):
                retry_after = context.settings.max_retry_after
                context.actions.append(actions.RejectRequest(received.id, retry_after, reason))
            else:
                context.actions.append(actions.FailRequest(received.id, reason))
        else:
            request = Request(context, received, request_class)
            if is_key_short_lived(request_class) and self.has_unknown_attempts(received, request_class):
                received_at = context.now if received.received_at is None else received.received_at
                request.unknown_until = remembered_until(request_class, received, received_at)
            context.post(context.requests.setdefault(received.id, request), received)

    def has_unknown_attempts(self, received: events.RequestReceived, request_class: RequestClass) -> bool:
        """Return whether attempts at a request may have been made that this front does not know of.

        A front that is the only one of its site knows all attempts of the time since its start.
        """
        settings = self.context.settings
        running_for = self.context.now - self.context.started_at
        if settings.fronts == 1 and running_for >= request_class.deadline_after:
            return False
        return may_have_unknown_attempts(
            received.is_retry, settings.marks_retries, received.includes_first_attempt
        )

    def find_block(self, attempt: Attempt) -> Blocked | None:
        """Return what blocks an attempt, or None if it may be sent.

        The result is `Blocked(None)` if no other cache would help, else it names the cache to avoid.
        """
        request = attempt.request
        statistics = self.context.statistics
        if exhausted := self.find_exhausted_limit(request):
            return Blocked(None, exhausted)
        if not self.is_safe(request):
            return Blocked(None, AnswerReason.UNSAFE_RETRY)
        if not self.is_deduplicated(attempt):
            return Blocked(attempt.cache, AnswerReason.NOT_DEDUPLICATED)
        is_densest = statistics.is_densest(request.request_class)
        # concurrency limits do not apply to origin-only classes
        is_limited = not request.request_class.origin_only
        at_parent = is_limited and attempt.limited_by().role is Role.PARENT
        if at_parent and not self.context.parent_limit.has_capacity(is_densest):
            return Blocked(None, AnswerReason.CONCURRENCY_LIMIT)
        for cache in attempt.caches():
            if reason := self.find_cache_block(cache, request, is_limited, is_densest):
                return Blocked(cache, reason)
        return None

    def find_cache_block(
        self, cache: Cache, request: Request, is_limited: bool, is_densest: bool
    ) -> AnswerReason | None:
        """Return why a cache may not take part in an attempt now, or None if it may.

        Args:
            cache: cache that the attempt involves.
            request: request of the attempt.
            is_limited: whether concurrency limits apply to the class of the request.
            is_densest: whether that class has the highest priority weight per work.
        """
        if is_limited:
            # primary: no cache of the same role has been ruled out before, or this request has already looked
            # up the object at this cache, which did not have it
            is_primary = cache is request.missed_cache or all(
                c.role is not cache.role for c in request.ruled_out
            )
            if not cache.concurrency.has_capacity(is_densest, is_primary):
                return AnswerReason.CONCURRENCY_LIMIT
        if cache.state is not EndpointState.READY:
            return AnswerReason.NOT_READY
        return None if self.has_slow_start_budget(cache, request) else AnswerReason.SLOW_START

    def find_exhausted_limit(self, request: Request) -> AnswerReason | None:
        """Return why a request may have no further attempt, or None if it may have one.

        Its time, its number of attempts, its number of errors or the retry budget may be used up. Attempts
        that ended by a fault of this machine do not count as attempts: each of them took the time of an
        attempt to connect, so the deadline limits their number.
        """
        now = self.context.now
        errors = sum(attempt.result is AttemptResult.ERROR for attempt in request.attempts)
        budget = RETRY_BUDGET * self.requests.total(now) + RETRY_ALLOWANCE
        is_budget_spent = request.needs_retry() and self.retries.total(now) >= budget
        is_expired = request.is_closed or now >= request.received.deadline
        counted = sum(attempt.result is not AttemptResult.LOCAL_FAULT for attempt in request.attempts)
        if is_expired:
            return AnswerReason.DEADLINE
        if errors >= MAX_ERRORS:
            return AnswerReason.ERROR_LIMIT
        if counted >= self.context.settings.max_attempts:
            return AnswerReason.ATTEMPT_LIMIT
        return AnswerReason.RETRY_BUDGET if is_budget_spent else None

    def is_safe(self, request: Request) -> bool:
        """Return whether an attempt cannot cause a second effect and is no hedge that the site forbids."""
        is_forbidden_hedge = not self.context.settings.allows_hedging and request.in_flight()
        return not is_forbidden_hedge and self.is_repeatable(request)

    def is_repeatable(self, request: Request) -> bool:
        """Return whether another attempt at a request cannot cause a second effect now.

        A tick is the longest time between two batches of events. No further attempt is sent in the last two
        ticks before the caches may forget the key of the first execution.
        """
        executions = request.possible_executions()
        margin = 2 * self.context.settings.tick
        return self.context.now < safe_until(request.request_class, executions, request.unknown_until, margin)

    def cancel_suspected(self, attempt: Attempt) -> None:
        """Cancel a suspected attempt, so that another one may replace it.

        An attempt that may not be repeated is not cancelled: it is the last chance of its request. If its
        connection is silent, other requests are kept from it, as they are by a cancellation.
        """
        request_id = attempt.request.received.id
        if self.is_repeatable(attempt.request):
            if self.context.settings.allows_cancel:
                self.context.actions.append(actions.CancelAttempt(request_id, attempt.number))
        elif attempt.is_silent:
            self.context.actions.append(actions.RetireConnection(request_id, attempt.number))

    def is_deduplicated(self, attempt: Attempt) -> bool:
        """Return whether the cache of an attempt recognises the keys of all possible executions.

        Another cache may recognise them even if this one does not.
        """
        request_class = attempt.request.request_class
        executions = attempt.request.possible_executions()
        if request_class.idempotency is not Idempotency.DEDUPLICATED:
            return True
        return all(shares_idempotency_keys(request_class.deduplication_scope, e, attempt) for e in executions)

    def has_slow_start_budget(self, cache: Cache, request: Request) -> bool:
        """Return whether this front may send a request to a cache, which may be warming up."""
        warm_load = self.warm_load.flows.get(cache.role, 0.0)
        return cache.slow_start.admits(self.context.mean_work(request), warm_load)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt and count it at every cache involved.

        If the site allows it, the attempt may join a fill that is under way, unless an earlier attempt of the
        same request may have started a fill.
        """
        request = attempt.request
        now = self.context.now
        work = self.context.mean_work(attempt.request)
        attempt.number = len(request.attempts)
        attempt.sent = now
        self.retries.add(now, request.needs_retry())
        for cache in attempt.caches():
            cache.sent_work.add(now, work)
            cache.slow_start.credit.spend(work)
        joins = self.context.settings.joins_fills and not any(other.is_fill() for other in request.attempts)
        self.context.actions.append(attempt.action(self.max_age(attempt), joins))
        request.attempts.append(attempt)
        self.context.post_to_participants(attempt)

    def max_age(self, attempt: Attempt) -> float:
        """Return the maximum age in seconds of an acceptable copy.

        Copies older than a purge known to this front are never accepted. If it knows of no purge of the
        object or its group, the result is 0: the cache then applies the fresh time of the class.
        """
        received = attempt.request.received
        fresh_for = attempt.request.request_class.fresh_for
        purged = self.purges.latest((received.key, received.group))
        age = 0.0 if purged is None else max(self.context.now - purged - PURGE_MARGIN, MIN_COPY_AGE)
        return min(age, fresh_for or age)

    def record_purge(self, purge: events.ObjectsPurged) -> None:
        """Store a purge for as long as copies older than the purge may exist."""
        now = self.context.now
        lifetime = self.context.settings.purge_lifetime()
        self.purges.record(purge.key or purge.group, now - purge.age, now, lifetime)

    def end(self, ended: events.AttemptEnded) -> None:
        """Process the end of an attempt.

        If the endpoint list does not give link sizes, the work served is used to measure the load of warm
        caches.
        """
        if request := self.context.requests.get(ended.id):
            attempt = request.end_attempt(ended)
            self.context.post_to_participants(attempt)
            if ended.result is AttemptResult.SERVED and not self.context.settings.weighted:
                self.warm_load.record_served(attempt)

    def answer(self, request: Request) -> None:
        """Send the final answer: a rejection with Retry-After if a retry is safe, else a failure."""
        request_id = request.received.id
        reason = request.answer_reason
        executions = request.possible_executions()
        has_unknown = self.has_unknown_attempts(request.received, request.request_class)
        if is_retry_safe(request.request_class, executions, has_unknown, request.admitted_at):
            retry_after = min(self.context.settings.max_retry_after, RETRY_AFTER)
            self.context.actions.append(actions.RejectRequest(request_id, retry_after, reason))
        else:
            self.context.actions.append(actions.FailRequest(request_id, reason))
        self.context.post(request, events.RequestCancelled(request_id))
