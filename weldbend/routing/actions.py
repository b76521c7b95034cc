"""What the decisions want done: the actions that a router returns for a batch of events.

Times are float seconds; a request is named by the id that it came with.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to a cache.

    Attributes:
        id: the request.
        cache: number of the cache that answers.
        source: number of the cache that a miss is filled from; the cache itself for a look that fills
            nothing; None where the cache is the origin.
        rank: with which the copy is kept, 0 for not at all.
        max_age: age in seconds of the oldest copy that will do; 0 for any.
        timeout: seconds after which the attempt is given up; 0 for the request's deadline.
        join_fill: whether it may join a fill that is under way.
        only_if_cached: whether the source answers from its copies alone.
        leave_no_copy: whether the source keeps none of what it fetches.
        revalidate: whether an ageing copy is renewed after it was served.
    """

    id: str
    cache: int
    source: int | None
    rank: int
    max_age: float
    timeout: float
    join_fill: bool
    only_if_cached: bool
    leave_no_copy: bool
    revalidate: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight; `attempt` counts a request's attempts from 0."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not now; the client may come back after `retry_after` seconds (0: nothing is told)."""

    id: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, and nothing is promised of a repeat."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Return `TimerFired(token)` after `delay` seconds.

    `id` and `attempt` name what the timer is for, where it is for something: it need not fire once that
    request has ended. They are "" and -1 otherwise.
    """

    delay: float
    token: str
    id: str = ""
    attempt: int = -1


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Ask a cache whether it is there, and for its load where it reports any."""

    cache: int


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another front, or to all with None; it may be lost."""

    front: int | None
    text: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | SendHealthCheck
    | SendMessage
    | WatchEndpoints
    | WriteLog
)
