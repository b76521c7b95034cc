"""Table of the requests that a front has accepted and not yet finished."""

from dataclasses import dataclass, field

from weldbend.caches.attempt import Attempt
from weldbend.clients.request import ClientRequest
from weldbend.front.request_codec import ParsedRequest
from weldbend.front.timers import Timer
from weldbend.routing.memory_budget import MemoryReservation
from weldbend.routing.settings import Idempotency


@dataclass(eq=False, slots=True)
class OpenRequest:
    """One accepted request and its attempts.

    Attributes:
        id: identifier within this front, never reused.
        parsed: parsed fields of the request.
        body: payload, which is passed on to caches unchanged; empty once the request is closed.
        memory: memory reserved for the request; its body is no longer counted once the request is closed.
        client_request: handle that takes the answer.
        deadline: deadline in seconds of the monotonic clock.
        idempotency: idempotency of its class in the settings under which it was accepted.
        attempts: attempts in the order of the router's decisions.
        attempt_times: time at which each attempt was begun, in the order of `attempts`.
        timers: timers that are cancelled when the request has finished.
        may_be_executed: whether an attempt at an earlier request with the same idempotency key may have been
            executed, so that attempts are allowed for a limited time only.
        is_closed: whether the request was answered or cancelled.
    """

    id: str
    parsed: ParsedRequest
    body: bytes
    memory: MemoryReservation
    client_request: ClientRequest
    deadline: float
    idempotency: Idempotency
    attempts: list[Attempt] = field(default_factory=list)
    attempt_times: list[float] = field(default_factory=list)
    timers: list[Timer] = field(default_factory=list)
    may_be_executed: bool = False
    is_closed: bool = False

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt has not ended."""
        return any(not attempt.is_over for attempt in self.attempts)

    def close(self) -> None:
        """Mark the request as closed, and free its body: nothing more is sent for it."""
        self.is_closed = True
        self.memory.resize(self.memory.size - len(self.body))
        self.body = b""

    def release(self) -> None:
        """Return the memory, and drop the attempts and timers, which refer to this request.

        Called once the request has left the table. If the attempts stayed, each finished request would be a
        reference cycle, which only the garbage collector frees, after an unbounded number of further
        requests. There is no known side effect, since every attempt has ended and no event refers to the
        request any more.
        """
        self.memory.release()
        self.attempts.clear()
        self.timers.clear()


class RequestTable:
    """Table of requests by this front's ids and by the clients' ids.

    A request is closed when it is answered or cancelled. It stays in the table until all its attempts have
    ended, since the router is notified of the end of each.

    Attributes:
        by_id: all requests, by this front's id.
        by_client_id: requests that are not closed, by the client's id.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, OpenRequest] = {}
        self.by_client_id: dict[str, OpenRequest] = {}
        self._finished: list[OpenRequest] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self.by_id)

    def next_id(self) -> str:
        """Return an unused id."""
        self._serial += 1
        return f"{self._serial:x}"

    def add(self, request: OpenRequest) -> None:
        """Add an accepted request."""
        self.by_id[request.id] = request
        self.by_client_id[request.parsed.client_id] = request

    def mark_closed(self, request: OpenRequest) -> None:
        """Mark a request as answered or cancelled, so that its client may use the id again."""
        request.close()
        self.by_client_id.pop(request.parsed.client_id, None)

    def finish_if_done(self, request: OpenRequest) -> None:
        """Finish a closed request without attempts in flight; `remove_finished` removes it later.

        Its timers are cancelled. It stays in the table until the end of the iteration, since the router may
        already have decided on further attempts for it, and must be notified of their end.
        """
        if request.is_closed and not request.has_attempt_in_flight():
            for timer in request.timers:
                timer.cancel()
            self._finished.append(request)

    def remove_finished(self, still_referenced: set[str]) -> None:
        """Remove the finished requests to which no unhandled event refers.

        Args:
            still_referenced: ids of requests in events that the router has not handled yet.
        """
        finished = self._finished
        self._finished = []
        for request in finished:
            if request.id in still_referenced:
                self._finished.append(request)
            elif not request.has_attempt_in_flight():
                self.by_id.pop(request.id, None)
                request.release()
