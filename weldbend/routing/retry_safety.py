"""Rules for further attempts at a request and for rejections: neither may cause a second execution. No I/O.

Caches drop repeats of an idempotency key only for `deduplication_window` after the first execution. Attempts
of this front are known. Those of other fronts, and of this one before a restart, are not: a request that may
be a client's retry counts as executed at the earliest time that agrees with what the client has sent.

A rejection promises that a retry cannot cause a second execution. The promise has no end date: the client may
retry at any time until it stops waiting for the whole request, at most `deadline_after` after it first sent
it.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Protocol

from weldbend.routing.events import RequestReceived
from weldbend.routing.settings import DeduplicationScope, Idempotency, RequestClass

TRANSIT_TIME = 0.05  # seconds that a request may take from its client to a cache; sockets have this slack


class Execution(Protocol):
    """An attempt that may have been executed.

    Attributes:
        sent: time at which it was sent.
    """

    @property
    def sent(self) -> float:
        """Time at which the attempt was sent."""
        ...


def may_have_unknown_attempts(
    is_retry: bool, marks_retries: bool, includes_first_attempt: bool = False
) -> bool:
    """Return whether another front, or this one before a restart, may have made attempts at a request.

    Args:
        is_retry: whether the client marked the request as a retry.
        marks_retries: whether clients mark their retries.
        includes_first_attempt: whether the first attempt that any front made is known to this one.
    """
    return not marks_retries or (is_retry and not includes_first_attempt)


def is_key_short_lived(request_class: RequestClass) -> bool:
    """Return whether caches may forget a request's key while its client still waits.

    If not, attempts that this front does not know of make no difference: any further attempt comes within
    their windows.
    """
    return (
        request_class.idempotency is Idempotency.DEDUPLICATED
        and request_class.deduplication_window < request_class.deadline_after
    )


def safe_until(
    request_class: RequestClass,
    executions: Sequence[Execution],
    unknown_until: float,
    margin: float,
) -> float:
    """Return the time until which another attempt at a request cannot cause a second execution.

    Args:
        request_class: class of the request.
        executions: attempts that may have been executed, the earliest first.
        unknown_until: time until which caches remember the key of an unknown execution; infinite if there is
            none (`remembered_until`).
        margin: seconds before the end of a known execution's window in which no attempt is sent.
    """
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return math.inf
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return -math.inf if executions else math.inf
    if not executions:
        return unknown_until
    return min(unknown_until, executions[0].sent + request_class.deduplication_window - margin)


def remembered_until(request_class: RequestClass, received: RequestReceived, received_at: float) -> float:
    """Return the time until which caches remember the key of an unknown execution of a client's retry.

    Two things are known of the client's first try. The client waits `deadline_after` over all its tries, so
    it sent the first one no earlier than `deadline_after` before the deadline of the present one. And it
    retries by itself only within the window, so an attempt that is sent at once is within the window as well.

    Guards against a second execution by a front that does not know of the first. Side effect: with a window
    shorter than `deadline_after`, a client's retry may have no further attempt, and fails instead.

    Args:
        request_class: class of the request.
        received: the retry.
        received_at: time at which it was received.
    """
    first_try = min(received.deadline - request_class.deadline_after, received_at)
    by_deadline = first_try + request_class.deduplication_window - TRANSIT_TIME
    return max(by_deadline, received_at + TRANSIT_TIME)


def is_retry_safe(
    request_class: RequestClass,
    executions: Sequence[Execution],
    has_unknown_attempts: bool,
    received: float,
) -> bool:
    """Return whether no retry of a rejected request can cause a second execution.

    The client must have stopped waiting before caches forget its idempotency key: it may retry later than
    Retry-After says, and at another front, which does not know of the first execution. Side effect: with a
    window shorter than `deadline_after`, a request that may have been executed fails, so its client gets no
    Retry-After.

    Args:
        request_class: class of the request.
        executions: attempts of the request that may have been executed, the earliest first.
        has_unknown_attempts: whether attempts may have been made that this front does not know of
            (`may_have_unknown_attempts`).
        received: time at which this front received the request, or its first attempt at it.
    """
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_deduplicated = request_class.idempotency is Idempotency.DEDUPLICATED
    if not (is_deduplicated and request_class.deduplication_scope is DeduplicationScope.ALL):
        # Clients retry such a request only after a rejection. Without one key valid at all caches, the retry
        # may reach a cache that does not know of the execution.
        return not executions
    if has_unknown_attempts and is_key_short_lived(request_class):
        return False
    if not executions:
        return True
    first = executions[0].sent
    client_leaves = min(received, first) + request_class.deadline_after
    return first + request_class.deduplication_window >= client_leaves


def is_any_retry_safe(classes: Iterable[RequestClass]) -> bool:
    """Return whether a request of unknown class may be rejected if this front has made no attempt at it."""
    return all(is_retry_safe(request_class, (), True, 0.0) for request_class in classes)
