"""Rule for every rejection: a request may be rejected only if a retry of it is safe. No I/O.

A rejection promises that a retry cannot cause a second execution. The promise has no end date: the client may
retry at any time until it stops waiting for the whole request, at most `deadline_after` after it first sent
it.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from weldbend.routing.settings import DeduplicationScope, Idempotency, RequestClass


class Execution(Protocol):
    """An attempt that may have been executed.

    Attributes:
        sent: time at which it was sent.
    """

    @property
    def sent(self) -> float:
        """Time at which the attempt was sent."""
        ...


def is_retry_safe(
    request_class: RequestClass, executions: Sequence[Execution], is_retry: bool, received: float
) -> bool:
    """Return whether no retry of a rejected request can cause a second execution.

    Caches drop repeats of an idempotency key only for `deduplication_window` after the first execution. The
    client must have stopped waiting by then: it may retry later than Retry-After says, and at another front,
    which does not know of the first execution. Side effect: with a window shorter than `deadline_after`, a
    request that may have been executed fails, so its client gets no Retry-After.

    Args:
        request_class: class of the request.
        executions: attempts of the request that may have been executed, the earliest first.
        is_retry: whether the client marked the request as a retry. Another front may then have sent an
            attempt of which this one does not know.
        received: time at which this front received the request, or its first attempt at it.
    """
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_deduplicated = request_class.idempotency is Idempotency.DEDUPLICATED
    if not (is_deduplicated and request_class.deduplication_scope is DeduplicationScope.ALL):
        # Clients retry such a request only after a rejection. Without one key valid at all caches, the retry
        # may reach a cache that does not know of the execution.
        return not executions
    window = request_class.deduplication_window
    if not executions:
        return not is_retry or window >= request_class.deadline_after
    first = executions[0].sent
    client_leaves = min(received, first) + request_class.deadline_after
    return first + window >= client_leaves


def is_any_retry_safe(classes: Iterable[RequestClass]) -> bool:
    """Return whether a request of unknown class may be rejected if this front has made no attempt at it."""
    return all(is_retry_safe(request_class, (), True, 0.0) for request_class in classes)
