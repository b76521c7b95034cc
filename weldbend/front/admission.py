"""Admission of requests that clients bring: validation, the bound of open requests, the router's event."""

from weldbend.clients.request import ClientRequest
from weldbend.front import request_codec
from weldbend.front.attempts import AttemptManager
from weldbend.front.context import FrontContext
from weldbend.front.event_queue import EventQueue
from weldbend.front.open_requests import OpenRequest, RequestTable
from weldbend.front.request_codec import InvalidRequestError, ParsedRequest
from weldbend.routing.events import RequestReceived


class Admission:
    """Accepts requests or turns them away."""

    def __init__(
        self, context: FrontContext, queue: EventQueue, requests: RequestTable, attempts: AttemptManager
    ) -> None:
        self.context = context
        self.queue = queue
        self.requests = requests
        self.attempts = attempts

    def handle(self, call: ClientRequest) -> None:
        """Accept a request whose last byte has come, or answer it at once."""
        try:
            self._admit(call)
        except Exception:  # noqa: BLE001, RUF100 - an error in one request must not end its connection
            self.context.counters.record_error("admission")
            if not call.is_answered:
                call.answer_failed()

    def cancel(self, call: ClientRequest) -> None:
        """Cancel a request for which nobody waits any more."""
        if request := self.requests.by_id.get(call.request_id):
            self.attempts.cancel_request(request)

    def _admit(self, call: ClientRequest) -> None:
        site = self.context.site
        try:
            parsed = request_codec.read_request(call.fields, call.body, site.settings.classes)
        except InvalidRequestError as error:
            self.context.counters.counts["invalid requests"] += 1
            call.answer_invalid(str(error))
            return
        if duplicate := self.requests.by_client_id.get(parsed.client_id):
            self.context.counters.counts["invalid requests"] += 1
            self._refuse_duplicate(call, duplicate.call)
            return
        if len(self.requests.by_id) >= site.max_open_requests:
            call.answer_rejected(site.settings.max_retry_after)
            return
        request = self._open(call, parsed)
        self.context.counters.counts["requests"] += 1
        self.queue.post(self._event(request))

    @staticmethod
    def _refuse_duplicate(call: ClientRequest, open_call: ClientRequest) -> None:
        """Guard caches against two requests under one id; a client that brought both loses both."""
        call.answer_invalid(
            "the id of an open download"
        )  # these bytes go to the client: they stay as they are
        if open_call.client is call.client:
            call.client.ban("clients with two requests under one id")

    def _open(self, call: ClientRequest, parsed: ParsedRequest) -> OpenRequest:
        call.request_id = self.requests.next_id()
        deadline = self.context.clock.now() - call.read_delay + parsed.timeout
        idempotency = self.context.site.settings.classes[parsed.class_name].idempotency
        request = OpenRequest(call.request_id, parsed, call, deadline, idempotency)
        self.requests.add(request)
        attempts = self.attempts
        request.timers.append(
            self.context.timers.at(deadline, lambda: attempts.guard(request, attempts.expire))
        )
        return request

    def _event(self, request: OpenRequest) -> RequestReceived:
        parsed, fleet = request.parsed, self.context.fleet
        client = request.call.client
        key = parsed.idempotency_key
        return RequestReceived(
            id=request.id,
            key=parsed.key,
            part=parsed.part,
            group=parsed.group,
            class_name=parsed.class_name,
            work=parsed.size_kb / self.context.site.flow_rate,
            is_retry=parsed.is_retry,
            deadline=request.deadline,
            queued_for=request.call.read_delay,
            possible_executions=(
                fleet.possible_executions(parsed.class_name, key, parsed.is_retry) if fleet and key else ()
            ),
            requested_elsewhere=(
                fleet.count_request(parsed.class_name, parsed.key, parsed.part, parsed.is_retry)
                if fleet
                else 0
            ),
            over_limit=bool(fleet and fleet.is_over_limit(parsed.class_name, client.host())),
        )
