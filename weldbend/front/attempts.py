"""Attempts of requests at caches: sending, timeouts, cancellation, and the final answer of each request."""

from collections.abc import Callable

from weldbend.cache_protocol import commands
from weldbend.cache_protocol.answers import Answer
from weldbend.caches.attempt import Attempt, AttemptLoss
from weldbend.caches.pool import CachePool
from weldbend.front import request_codec
from weldbend.front.context import FrontContext
from weldbend.front.endpoint_updates import EndpointUpdates
from weldbend.front.event_queue import EventQueue
from weldbend.front.execution_history import AttemptId, ExecutionHistory, SentAttempt
from weldbend.front.open_requests import OpenRequest, RequestTable
from weldbend.invariants import anomalies, check_invariant
from weldbend.routing.actions import AnswerReason, SendAttempt
from weldbend.routing.events import NEVER_EXECUTED, AttemptResult, RequestCancelled
from weldbend.routing.settings import Idempotency


class AttemptManager:
    """Carries out the router's decisions on requests, and posts the results of attempts to the router."""

    def __init__(
        self,
        context: FrontContext,
        queue: EventQueue,
        requests: RequestTable,
        endpoints: EndpointUpdates,
        pool: CachePool,
        history: ExecutionHistory,
    ) -> None:
        self.context = context
        self.queue = queue
        self.requests = requests
        self.endpoints = endpoints
        self.pool = pool
        self.history = history

    # Attempts.

    def send(self, action: SendAttempt) -> None:
        """Send an attempt for a request.

        The request is in the table even if it has been closed: `RequestTable` removes it only when the router
        can no longer refer to it.
        """
        request = self.requests.by_id[action.id]
        source = None
        if action.source is not None and action.source != action.cache:
            source = self.endpoints.names.uids[action.source]
        attempt_id = AttemptId(request.id, len(request.attempts))
        attempt = Attempt(
            name=request.parsed.client_id,
            cache=action.cache,
            source=action.source,
            key=request.parsed.key,
            group=request.parsed.group,
            command=lambda: self._command(request, action, source, attempt_id),
            is_short_lived=self._may_decision_expire_soon(request, action),
            on_ended=lambda attempt, outcome: self.guard(request, self.end, attempt, outcome),
        )
        request.attempts.append(attempt)
        request.attempt_times.append(self.context.clock.now())
        if request.is_closed:  # cancelled or answered in the same iteration, before this action
            attempt.is_over = True
            self.end(request, attempt, AttemptResult.SUPERSEDED)
            return
        self.context.counters.counts["attempts"] += 1
        if action.timeout:
            timers = self.context.timers
            request.timers.append(
                timers.after(action.timeout, lambda: self._timeout_attempt(request, attempt))
            )
        self.pool.send(attempt)

    def _command(
        self, request: OpenRequest, action: SendAttempt, source: str | None, attempt_id: AttemptId
    ) -> bytes:
        """Return the bytes of the command; called right before its first byte is sent."""
        parsed = request.parsed
        remaining = request.deadline - self.context.clock.now()
        timeout = min(action.timeout, remaining) if action.timeout else remaining
        if parsed.idempotency_key:
            sent = SentAttempt(attempt_id, action.cache, self.context.clock.now(), parsed.is_retry)
            self._record_sent(parsed.class_name, parsed.idempotency_key, sent)
        fields = request_codec.attempt_fields(parsed, action, source, timeout)
        return commands.do(parsed.client_id, fields, request.body)

    def _record_sent(self, class_name: str, key: str, sent: SentAttempt) -> None:
        """Record that an attempt may be executed from now on, for the client's retry here or elsewhere."""
        if self.context.fleet:
            self.context.fleet.attempt_sent(class_name, key, sent.cache)
        if request_class := self.context.site.settings.classes.get(class_name):
            self.history.record(request_class, key, sent)

    def _may_decision_expire_soon(self, request: OpenRequest, action: SendAttempt) -> bool:
        """Return whether the router's decision to send a new attempt may soon become invalid.

        The decision to retry a request that is not idempotent may depend on a deduplication window, and one
        to use a cache in slow start depends on the present budget of that cache.
        """
        # `request.attempts` holds only the earlier attempts: the new one is added after this call.
        is_retry = request.attempts or request.may_be_executed
        is_non_idempotent_retry = is_retry and request.idempotency is not Idempotency.IDEMPOTENT
        return bool(is_non_idempotent_retry) or not self.endpoints.started.isdisjoint(
            (action.cache, action.source)
        )

    def _timeout_attempt(self, request: OpenRequest, attempt: Attempt) -> None:
        if self.is_locally_blocked(attempt):
            self.end_locally_blocked(request, attempt)
        elif not attempt.is_over:
            self.pool.cancel(attempt)
            self.end(request, attempt, AttemptResult.TIMED_OUT)

    @staticmethod
    def is_locally_blocked(attempt: Attempt) -> bool:
        """Return whether an attempt still waits to be sent and a local fault delayed it.

        The attribute of the same name stays true even after the attempt has been sent.
        """
        return attempt.is_waiting() and attempt.is_locally_blocked

    def end_locally_blocked(self, request: OpenRequest, attempt: Attempt) -> None:
        """End an attempt delayed by a local fault, which is no evidence against its cache."""
        self.pool.cancel(attempt)
        self.end(request, attempt, AttemptResult.LOCAL_FAULT)

    def cancel(self, request: OpenRequest, attempt: Attempt) -> None:
        """Cancel an attempt; no effect if it has ended."""
        if not attempt.is_over:
            was_sent = self.pool.cancel(attempt)
            self.end(request, attempt, AttemptResult.CANCELLED if was_sent else AttemptResult.SUPERSEDED)

    def end(
        self, request: OpenRequest, attempt: Attempt, outcome: Answer | AttemptLoss | AttemptResult
    ) -> None:
        """Post the result of an attempt, and answer the request if this is its first successful result.

        A cache answers successfully with DONE, which has the object, or with KEEP if the client's copy is
        current.
        """
        if isinstance(outcome, Answer) and outcome.status in ("DONE", "KEEP") and not request.is_closed:
            self.context.counters.counts["served"] += 1
            self.endpoints.observe_copy(outcome.fields.get("born", ""))
            request.client_request.answer_served(outcome.body, outcome.status == "KEEP")
            self.close(request)
        number = request.attempts.index(attempt)
        # A health status (FIT or UNFIT) under the name of an attempt is a fault of the cache.
        if isinstance(outcome, Answer) and outcome.status not in request_codec.ANSWER_RESULTS:
            anomalies["attempts answered as health checks"] += 1
            outcome = AttemptResult.ERROR
        duration = self.context.clock.now() - request.attempt_times[number]
        ended = request_codec.attempt_ended(request.id, number, outcome, duration, request.is_closed)
        if ended.result in NEVER_EXECUTED and (key := request.parsed.idempotency_key):
            self.history.withdraw(request.parsed.class_name, key, AttemptId(request.id, number))
        self.queue.post(ended)
        self.requests.finish_if_done(request)

    # Final answers.

    def reject(self, request: OpenRequest, retry_after: float, reason: AnswerReason) -> None:
        """Reject a request, with a Retry-After in seconds, or without one if it is 0."""
        if not request.is_closed:
            self.context.counters.counts["rejected"] += 1
            self.context.counters.counts[f"rejected: {reason}"] += 1
            request.client_request.answer_rejected(retry_after)
            self.close(request)

    def fail(self, request: OpenRequest, reason: AnswerReason) -> None:
        """Answer a request as failed, as decided by the router."""
        if not request.is_closed:
            self.context.counters.counts["failed"] += 1
            self.context.counters.counts[f"failed: {reason}"] += 1
            request.client_request.answer_failed()
            self.close(request)

    def abort(self, request: OpenRequest) -> None:
        """Answer a request as failed without a decision of the router, and notify the router."""
        if not request.is_closed:
            self.context.counters.counts["failed"] += 1
            request.client_request.answer_failed()
            self.queue.post(RequestCancelled(request.id))
            self.close(request)

    def abort_all(self) -> None:
        """Abort all open requests.

        Called near the end of a graceful shutdown, so that every client has an answer before SIGKILL ends the
        process, even one whose deadline is later than the longest shutdown. Its side effect is that some of
        these requests fail although they might have been served a little later.
        """
        for request in list(self.requests.by_id.values()):
            self.guard(request, self.abort)

    def cancel_request(self, request: OpenRequest) -> None:
        """Close a request that its client has cancelled."""
        if not request.is_closed:
            self.context.counters.counts["cancelled"] += 1
            self.queue.post(RequestCancelled(request.id))
            self.close(request)

    def expire(self, request: OpenRequest) -> None:
        """Time out all attempts in flight at the deadline; the router decides on the final answer.

        This includes attempts of a request that was closed before its deadline; they are still in flight if
        the site does not allow the router to cancel attempts. The router decides after the reactor has polled
        its sockets twice (`EventQueue.after_polls`), so that it takes into account all events that have
        arrived.
        """
        for attempt in request.attempts:
            self._timeout_attempt(request, attempt)
        if not request.is_closed:
            self.queue.after_polls(lambda: self.guard(request, self._decide_or_abort))

    def _decide_or_abort(self, request: OpenRequest) -> None:
        """Run the router until an expired request is answered; abort the request if no events are left."""
        while not request.is_closed and self.queue.has_events():
            self.queue.run_iteration()
        if not request.is_closed:
            self.abort(request)
            check_invariant(False, "a request is answered before its deadline")

    def close(self, request: OpenRequest) -> None:
        """Close a request, so that nothing more is sent for it.

        Attempts of which no byte was sent are cancelled here, even if the site does not allow the router to
        cancel attempts.
        """
        self.requests.mark_closed(request)
        for attempt in request.attempts:
            if attempt.is_waiting():
                self.cancel(request, attempt)
        self.requests.finish_if_done(request)

    def guard(self, request: OpenRequest, call: Callable[..., None], *args: object) -> None:
        """Call `call(request, *args)`; an exception aborts that request only.

        Without this, the exception would reach the caller, for example the connection that read the answer,
        and end other requests with it.
        """
        try:
            call(request, *args)
        except Exception:  # noqa: BLE001 - an error in one request must not end the others
            self.context.counters.record_error(request.id)
            self.abort(request)
