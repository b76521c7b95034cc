"""Actions that a router returns for a batch of events.

Times are float seconds; `id` is the identifier of the request.
"""

from dataclasses import dataclass
from enum import StrEnum


class AnswerReason(StrEnum):
    """Reason for which a request was rejected or failed; the values appear in the counters."""

    LOOP_LAG = "event-loop lag"
    QUEUED_UNREAD = "time queued unread"
    FLEET_LIMIT = "fleet-wide limit"
    DEADLINE = "deadline"
    ATTEMPT_LIMIT = "attempt limit"
    ERROR_LIMIT = "error answers"
    RETRY_BUDGET = "retry budget"
    UNSAFE_RETRY = "unsafe retry"  # a second effect would be possible, or a hedge that the site forbids
    NOT_DEDUPLICATED = "idempotency key unknown to the cache"
    CONCURRENCY_LIMIT = "concurrency limit"
    NOT_READY = "cache not ready"
    SLOW_START = "slow-start budget"
    NO_CACHE = "no usable cache"


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to a cache.

    Attributes:
        id: identifier of the request.
        cache: number of the cache that answers.
        source: number of the cache that a miss is filled from; the number of `cache` for a lookup, which
            fills nothing; None if the cache is the origin.
        rank: rank with which the cache stores the copy; 0 if it stores none.
        max_age: maximum age in seconds of an acceptable copy; 0 for the fresh time of the class, which the
            cache applies (any age if the class has none).
        timeout: seconds after which the attempt is aborted; 0 for the deadline of the request.
        join_fill: whether the attempt may join a fill that is under way.
        only_if_cached: whether the source answers only from its stored copies.
        leave_no_copy: whether the source stores no copy of what it fetches.
        revalidate: whether the cache, after it has answered with an ageing copy, renews that copy.
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
    """Cancel an attempt in flight; `attempt` is its number, counted from 0 in each request."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RetireConnection:
    """Send nothing more on the connection of an attempt, as it is silent; attempts in flight may finish.

    `attempt` is the number of the attempt, counted from 0 in each request.
    """

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: rejected; the client may retry after `retry_after` seconds (0: not specified)."""

    id: str
    retry_after: float
    reason: AnswerReason


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed; it is not known whether a retry is safe."""

    id: str
    reason: AnswerReason


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request the event `TimerFired(token)` after `delay` seconds.

    `id` and `attempt` identify the request and attempt that the timer belongs to, or are "" and -1 if it
    belongs to none. Once that request has ended, the event may be omitted.
    """

    delay: float
    token: str
    id: str = ""
    attempt: int = -1


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Check whether a cache is available, and request its load report if it provides one."""

    cache: int


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another front, or to all fronts if `front` is None; the message may be lost."""

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
    | RetireConnection
    | RejectRequest
    | FailRequest
    | SetTimer
    | SendHealthCheck
    | SendMessage
    | WatchEndpoints
    | WriteLog
)
