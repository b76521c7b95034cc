"""Decisions about calls to the event bus that have no response yet. No I/O.

The bus serves calls in turn, so a response may take long while many fronts call at once. A call that is given
up loses its turn, and the next one adds to the queue. But a call may also have been lost, together with the
machine that accepted it, and then no response comes at all. Therefore the oldest call is never given up, and
further calls are made beside it at growing intervals.
"""

from collections.abc import Sequence
from typing import TypeVar

FIRST_INTERVAL = 1.8  # seconds without a response after which a second call is made beside the first
INTERVAL_GROWTH = 1.5  # factor between two intervals
MAX_INTERVAL = 15.0  # seconds
MAX_PENDING_CALLS = 3  # calls without a response at the same time

Call = TypeVar("Call")


class CallSchedule:
    """Times of the calls from the loss of a stream to the next response."""

    def __init__(self) -> None:
        self._interval = FIRST_INTERVAL

    def reset(self) -> None:
        """Begin again with the first interval."""
        self._interval = FIRST_INTERVAL

    def next_interval(self) -> float:
        """Return the seconds until a further call is made, if no response has arrived by then."""
        interval = self._interval
        self._interval = min(interval * INTERVAL_GROWTH, MAX_INTERVAL)
        return interval


def surplus_call(pending: Sequence[Call]) -> Call | None:
    """Return the call to give up, or None if there are not too many.

    This guards the bus against a growing number of calls of one front. The oldest call is the next to be
    served and is kept. Of the others, the older one is given up; since the intervals grow, each further call
    has more time than the one before. Side effect: if the oldest call was lost, a response that takes longer
    than two intervals arrives only after these have grown.

    Args:
        pending: calls without a response, the oldest first.
    """
    return pending[1] if len(pending) > MAX_PENDING_CALLS else None
