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
from weldbend.front.open_requests import OpenRequest, RequestTable
from weldbend.invariants import anomalies, check_invariant
from weldbend.routing.actions import SendAttempt
from weldbend.routing.events import AttemptResult, RequestCancelled
from weldbend.routing.settings import Idempotency


class AttemptManager:
    """Carries out what the router decides for requests, and posts how their attempts end."""

    def __init__(
        self,
        context: FrontContext,
        queue: EventQueue,
        requests: RequestTable,
        endpoints: EndpointUpdates,
        pool: CachePool,
    ) -> None:
        self.context = context
        self.queue = queue
        self.requests = requests
        self.endpoints = endpoints
        self.pool = pool

    # Attempts.

    def send(self, action: SendAttempt) -> None:
        """Send an attempt; the router names only requests that are in the table."""
        request = self.requests.by_id[action.id]
        source = None
        if action.source is not None and action.source != action.cache:
            source = self.endpoints.names.uids[action.source]
        attempt = Attempt(
            name=request.parsed.client_id,
            cache=action.cache,
            source=action.source,
            key=request.parsed.key,
            group=request.parsed.group,
            command=lambda: self._command(request, action, source),
            is_short_lived=self._is_permission_short_lived(request, action),
            on_ended=lambda attempt, outcome: self.guard(request, self.end, attempt, outcome),
        )
        request.attempts.append(attempt)
        request.attempt_times.append(self.context.clock.now())
        if request.is_closed:  # cancelled or answered in the very iteration in which this was decided
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

    def _command(self, request: OpenRequest, action: SendAttempt, source: str | None) -> bytes:
        """Return the command's bytes at the moment in which the first of them leaves."""
        parsed = request.parsed
        fleet = self.context.fleet
        remaining = request.deadline - self.context.clock.now()
        timeout = min(action.timeout, remaining) if action.timeout else remaining
        if fleet and parsed.idempotency_key:
            fleet.attempt_sent(parsed.class_name, parsed.idempotency_key, action.cache)
        fields = request_codec.attempt_fields(parsed, action, source, timeout)
        return commands.do(parsed.client_id, fields, parsed.body)

    def _is_permission_short_lived(self, request: OpenRequest, action: SendAttempt) -> bool:
        """Return whether what permits an attempt may end soon.

        That is a deduplication window, or the budget of a cache that is warming up.
        """
        is_guarded_retry = request.attempts and request.idempotency is not Idempotency.IDEMPOTENT
        return bool(is_guarded_retry) or not self.endpoints.started.isdisjoint((action.cache, action.source))

    def _timeout_attempt(self, request: OpenRequest, attempt: Attempt) -> None:
        if self.is_locally_blocked(attempt):
            self.end_locally_blocked(request, attempt)
        elif not attempt.is_over:
            self.pool.cancel(attempt)
            self.end(request, attempt, AttemptResult.TIMED_OUT)

    @staticmethod
    def is_locally_blocked(attempt: Attempt) -> bool:
        """Whether an attempt has not gone out, and a fault of this machine is among the reasons."""
        return attempt.is_waiting() and attempt.is_locally_blocked

    def end_locally_blocked(self, request: OpenRequest, attempt: Attempt) -> None:
        """End an attempt that is held up: that it is late says nothing about its cache."""
        self.pool.cancel(attempt)
        self.end(request, attempt, AttemptResult.LOCAL_FAULT)

    def cancel(self, request: OpenRequest, attempt: Attempt) -> None:
        """Cancel an attempt; nothing happens where it has ended."""
        if not attempt.is_over:
            was_sent = self.pool.cancel(attempt)
            self.end(request, attempt, AttemptResult.CANCELLED if was_sent else AttemptResult.SUPERSEDED)

    def end(
        self, request: OpenRequest, attempt: Attempt, outcome: Answer | AttemptLoss | AttemptResult
    ) -> None:
        """Post the end of an attempt; the first that brings the object answers the request."""
        if isinstance(outcome, Answer) and outcome.status in ("DONE", "KEEP") and not request.is_closed:
            self.context.counters.counts["served"] += 1
            self.endpoints.observe_copy(outcome.fields.get("born", ""))
            request.client_request.answer_served(outcome.body, outcome.status == "KEEP")
            self.close(request)
        number = request.attempts.index(attempt)
        if isinstance(outcome, Answer) and outcome.status not in request_codec.ANSWER_RESULTS:
            anomalies["attempts answered as health checks"] += 1
            outcome = AttemptResult.ERROR
        duration = self.context.clock.now() - request.attempt_times[number]
        self.queue.post(request_codec.attempt_ended(request.id, number, outcome, duration, request.is_closed))
        self.requests.finish_if_done(request)

    # Final answers.

    def reject(self, request: OpenRequest, retry_after: float) -> None:
        """Answer a request with Retry-After in seconds; 0 tells none."""
        if not request.is_closed:
            self.context.counters.counts["rejected"] += 1
            request.client_request.answer_rejected(retry_after)
            self.close(request)

    def fail(self, request: OpenRequest) -> None:
        """Answer a request as failed, by decision of the router."""
        if not request.is_closed:
            self.context.counters.counts["failed"] += 1
            request.client_request.answer_failed()
            self.close(request)

    def abort(self, request: OpenRequest) -> None:
        """Answer a request as failed without the router's decision, which is notified."""
        if not request.is_closed:
            self.context.counters.counts["failed"] += 1
            request.client_request.answer_failed()
            self.queue.post(RequestCancelled(request.id))
            self.close(request)

    def abort_all(self) -> None:
        """Abort all open requests.

        Guards against the SIGKILL that ends a graceful shutdown: what is still open is answered before it.
        Should also cover requests whose deadline is later than any shutdown lasts. Harm: a little later one
        of them may have been served.
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
        """Time out all attempts in flight at the deadline; the router owes the final answer.

        Holds also for a request closed before, where the site does not allow the router to cancel attempts.
        The router decides after the same polls as always: it decides on what else has come as well.
        """
        for attempt in request.attempts:
            self._timeout_attempt(request, attempt)
        if not request.is_closed:
            self.queue.after_polls(lambda: self.guard(request, self._decide_or_abort))

    def _decide_or_abort(self, request: OpenRequest) -> None:
        """Have the router answer an expired request, or abort it."""
        while not request.is_closed and self.queue.has_events():
            self.queue.run_iteration()
        if not request.is_closed:
            self.abort(request)
            check_invariant(False, "a request is answered before its deadline")

    def close(self, request: OpenRequest) -> None:
        """Send nothing more for a request.

        Attempts that wait for a connection are withdrawn, whatever the site allows the router to cancel.
        """
        self.requests.mark_closed(request)
        for attempt in request.attempts:
            if attempt.is_waiting():
                self.cancel(request, attempt)
        self.requests.finish_if_done(request)

    def guard(self, request: OpenRequest, call: Callable[..., None], *args: object) -> None:
        """Call `call(request, *args)`; an exception aborts that request.

        Guards a connection, which other requests share, against an error in what one request does there.
        """
        try:
            call(request, *args)
        except Exception:  # noqa: BLE001 - an error in one request must not end the others
            self.context.counters.record_error(request.id)
            self.abort(request)
