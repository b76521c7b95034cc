"""Admission of client requests: validation, limits on open requests, and the event for the router."""

from weldbend.clients.request import ClientRequest
from weldbend.front import request_codec
from weldbend.front.attempts import AttemptManager
from weldbend.front.context import FrontContext
from weldbend.front.event_queue import EventQueue
from weldbend.front.execution_history import PastAttempts
from weldbend.front.open_requests import OpenRequest, RequestTable
from weldbend.front.request_codec import InvalidRequestError, ParsedRequest
from weldbend.routing.events import RequestReceived
from weldbend.routing.memory_budget import REQUEST_SIZE, MemoryReservation
from weldbend.routing.retry_safety import (
    is_any_retry_safe,
    is_key_short_lived,
    is_retry_safe,
    may_have_unknown_attempts,
)
from weldbend.thrift.messages import Process

OVER_MEMORY_LIMIT = "requests over the memory limit"  # name of the counter, as the log shows it
DUPLICATE_ID = "the id of an open download"  # sent to clients, part of the wire protocol


class Admission:
    """Admission control: accepts a request for the router, or answers it at once.

    Attributes:
        is_rejecting: whether all requests are rejected because the process is about to exit.
    """

    def __init__(
        self, context: FrontContext, queue: EventQueue, requests: RequestTable, attempts: AttemptManager
    ) -> None:
        self.context = context
        self.queue = queue
        self.requests = requests
        self.attempts = attempts
        self.is_rejecting = False

    def handle(self, client_request: ClientRequest, call: Process) -> None:
        """Accept a completely received request, or answer it at once."""
        try:
            self._admit(client_request, call)
        except Exception:  # noqa: BLE001 - an error in one request must not end its connection
            self.context.counters.record_error("admission")
            if not client_request.is_answered:
                client_request.answer_failed()

    def reject_discarded(self, client_request: ClientRequest) -> None:
        """Reject a request whose fields were discarded, or fail it if a retry might not be safe."""
        settings = self.context.site.settings
        self.context.counters.counts[OVER_MEMORY_LIMIT] += 1
        if is_any_retry_safe(settings.classes.values()):
            client_request.answer_rejected(settings.max_retry_after)
        else:
            client_request.answer_failed()

    def cancel(self, client_request: ClientRequest) -> None:
        """Cancel a request whose client no longer waits for the answer."""
        if request := self.requests.by_id.get(client_request.request_id):
            self.attempts.cancel_request(request)

    def _admit(self, client_request: ClientRequest, call: Process) -> None:
        site = self.context.site
        try:
            parsed = request_codec.read_request(call.fields, call.body, site.settings.classes)
        except InvalidRequestError as error:
            self.context.counters.counts["invalid requests"] += 1
            client_request.answer_invalid(str(error))
            return
        if duplicate := self.requests.by_client_id.get(parsed.client_id):
            self.context.counters.counts["invalid requests"] += 1
            self._refuse_duplicate(client_request, duplicate.client_request)
            return
        if self.is_rejecting:
            self._reject(client_request, parsed, "requests rejected at a shutdown")
            return
        if len(self.requests.by_id) >= site.max_open_requests:
            self._reject(client_request, parsed, "requests over open_cap")
            return
        memory = self.context.memory.reserve(client_request.client, REQUEST_SIZE + len(call.body))
        if memory is None:
            self._reject(client_request, parsed, OVER_MEMORY_LIMIT)
            return
        request = self._open(client_request, parsed, call.body, memory)
        self.context.counters.counts["requests"] += 1
        received = self._request_received(request)
        request.may_be_executed = self._may_be_executed(received)
        self.queue.post(received)

    def _reject(self, client_request: ClientRequest, parsed: ParsedRequest, counter: str) -> None:
        """Reject a request that was not admitted, or fail it if a retry might not be safe.

        Args:
            client_request: handle of the request.
            parsed: its parsed fields.
            counter: name of the counter of requests that were rejected for the same reason.
        """
        settings = self.context.site.settings
        self.context.counters.counts[counter] += 1
        past = self._past_attempts(parsed)
        request_class = settings.classes[parsed.class_name]
        has_unknown = self._has_unknown_attempts(parsed.is_retry, past.includes_first_attempt)
        if is_retry_safe(request_class, past.executions, has_unknown, self.context.clock.now()):
            client_request.answer_rejected(settings.max_retry_after)
        else:
            client_request.answer_failed()

    def _past_attempts(self, parsed: ParsedRequest) -> PastAttempts:
        """Return the attempts of earlier requests with the same key that may have been executed."""
        key = parsed.idempotency_key
        if key is None:
            return PastAttempts()
        fleet = self.context.fleet
        past = self.attempts.history.past_attempts(parsed.class_name, key, self.context.clock.now())
        known = past.executions
        if fleet:
            known += fleet.possible_executions(parsed.class_name, key, parsed.is_retry)
        executions = tuple(sorted(known, key=lambda execution: execution.sent))
        return PastAttempts(executions, past.includes_first_attempt)

    def _has_unknown_attempts(self, is_retry: bool, includes_first_attempt: bool) -> bool:
        """Return whether attempts at a request may have been made that this front does not know of."""
        marks_retries = self.context.site.settings.marks_retries
        return may_have_unknown_attempts(is_retry, marks_retries, includes_first_attempt)

    def _may_be_executed(self, received: RequestReceived) -> bool:
        """Return whether attempts are allowed for a limited time only, because of earlier ones."""
        request_class = self.context.site.settings.classes[received.class_name]
        has_unknown = self._has_unknown_attempts(received.is_retry, received.includes_first_attempt)
        return bool(received.possible_executions) or (is_key_short_lived(request_class) and has_unknown)

    @staticmethod
    def _refuse_duplicate(client_request: ClientRequest, open_request: ClientRequest) -> None:
        """Answer a request as invalid because another open request has its id.

        This guards caches against two open requests with the same id. If both came over the same connection,
        the client is banned, and both requests fail.
        """
        client_request.answer_invalid(DUPLICATE_ID)
        if open_request.client is client_request.client:
            client_request.client.ban("clients with two requests under one id")

    def _open(
        self, client_request: ClientRequest, parsed: ParsedRequest, body: bytes, memory: MemoryReservation
    ) -> OpenRequest:
        client_request.request_id = self.requests.next_id()
        deadline = client_request.received_at + parsed.timeout
        idempotency = self.context.site.settings.classes[parsed.class_name].idempotency
        request = OpenRequest(
            client_request.request_id, parsed, body, memory, client_request, deadline, idempotency
        )
        self.requests.add(request)
        attempts = self.attempts
        request.timers.append(
            self.context.timers.at(deadline, lambda: attempts.guard(request, attempts.expire))
        )
        return request

    def _request_received(self, request: OpenRequest) -> RequestReceived:
        parsed = request.parsed
        past = self._past_attempts(parsed)
        fleet = self.context.fleet
        client = request.client_request.client
        return RequestReceived(
            id=request.id,
            key=parsed.key,
            part=parsed.part,
            group=parsed.group,
            class_name=parsed.class_name,
            work=parsed.size_kb / self.context.site.flow_rate,
            is_retry=parsed.is_retry,
            deadline=request.deadline,
            queued_for=request.client_request.read_delay,
            possible_executions=past.executions,
            requested_elsewhere=(
                fleet.count_request(parsed.class_name, parsed.key, parsed.part, parsed.is_retry)
                if fleet
                else 0
            ),
            over_limit=bool(fleet and fleet.is_over_limit(parsed.class_name, client.host())),
            includes_first_attempt=past.includes_first_attempt,
            received_at=request.client_request.received_at,
        )
