"""The requests that a front has accepted and not yet finished with."""

from dataclasses import dataclass, field

from weldbend.caches.attempt import Attempt
from weldbend.clients.request import ClientRequest
from weldbend.front.request_codec import ParsedRequest
from weldbend.front.timers import Timer
from weldbend.routing.settings import Idempotency


@dataclass(eq=False, slots=True)
class OpenRequest:
    """One accepted request and its attempts.

    Attributes:
        id: this front's own name for it, never used again.
        parsed: its fields.
        client_request: where its answer goes.
        deadline: on the monotonic clock.
        idempotency: by the settings under which it was accepted.
        attempts: in the order in which the router asked for them.
        attempt_times: when each of them was asked for.
        timers: to be cancelled once it is finished.
        is_closed: whether it was answered or cancelled.
    """

    id: str
    parsed: ParsedRequest
    client_request: ClientRequest
    deadline: float
    idempotency: Idempotency
    attempts: list[Attempt] = field(default_factory=list)
    attempt_times: list[float] = field(default_factory=list)
    timers: list[Timer] = field(default_factory=list)
    is_closed: bool = False

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt has not ended."""
        return any(not attempt.is_over for attempt in self.attempts)


class RequestTable:
    """Requests by this front's ids and by their clients' ids.

    A request is closed when it is answered or cancelled. It stays here until all its attempts have ended,
    since the router is notified of the end of each.

    Attributes:
        by_id: all requests.
        by_client_id: those neither answered nor cancelled.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, OpenRequest] = {}
        self.by_client_id: dict[str, OpenRequest] = {}
        self._finished: list[OpenRequest] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self.by_id)

    def next_id(self) -> str:
        """Return an id that no request has had."""
        self._serial += 1
        return f"{self._serial:x}"

    def add(self, request: OpenRequest) -> None:
        """Add an accepted request."""
        self.by_id[request.id] = request
        self.by_client_id[request.parsed.client_id] = request

    def mark_closed(self, request: OpenRequest) -> None:
        """Mark a request as answered or cancelled: its client may use the id again."""
        request.is_closed = True
        self.by_client_id.pop(request.parsed.client_id, None)

    def finish_if_done(self, request: OpenRequest) -> None:
        """Cancel a closed request's timers once no attempt is in flight; `remove_finished` removes it.

        Guards against attempts that the router decides in the meantime, whose end it would never see.
        """
        if request.is_closed and not request.has_attempt_in_flight():
            for timer in request.timers:
                timer.cancel()
            self._finished.append(request)

    def remove_finished(self, still_referenced: set[str]) -> None:
        """Remove the finished requests, once the router has handled all events of theirs.

        Args:
            still_referenced: ids in events that the router has not handled yet.
        """
        finished = self._finished
        self._finished = []
        for request in finished:
            if request.id in still_referenced:
                self._finished.append(request)
            elif not request.has_attempt_in_flight():
                self.by_id.pop(request.id, None)
