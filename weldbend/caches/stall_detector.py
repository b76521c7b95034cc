"""Detection of connections on which a partly received answer stalls or takes too long."""

from typing import Protocol

from weldbend.caches.interfaces import Timers

STALL_TIMEOUT = 0.2  # seconds within which the next byte of a partly received answer must arrive
RECHECK_DELAY = 0.02  # seconds after which a suspected stall is checked again

# Names of the anomaly counters, as they appear in the log.
OVER_TIME_LIMIT = "cache answers over the time limit"
STALLED = "stalled cache answers"


class AnswerStream(Protocol):
    """The receiving direction of a connection to a cache; times are seconds of the front's clock."""

    received_at: float  # when bytes were last received
    answer_started_at: float  # when the first byte of the current answer was received

    def is_answer_incomplete(self) -> bool:
        """Return whether an answer was received in part, and its rest can still arrive."""

    def max_answer_time(self) -> float:
        """Return the longest time in seconds for which a request waits for its answer."""

    def abort_malformed(self, reason: str) -> None:
        """Abort the connection; `reason` names the anomaly counter."""


class StallDetector:
    """Aborts a connection whose current answer stalls or takes too long.

    This guards the attempts in flight on the connection against waiting until their deadlines for bytes that
    never arrive. Caches write an answer in one piece, so the rest of a partly received one should follow at
    once. Side effect: an answer that would have continued after a longer pause is requested again.

    Attributes:
        is_armed: Whether a check is scheduled.
    """

    __slots__ = ("is_armed", "stream", "timers")

    def __init__(self, stream: AnswerStream, timers: Timers) -> None:
        self.stream = stream
        self.timers = timers
        self.is_armed = False

    def arm(self) -> None:
        """Schedule a check, unless one is already scheduled."""
        if not self.is_armed:
            self.is_armed = True
            self.timers.after(STALL_TIMEOUT, self._check)

    def _check(self) -> None:
        if not self._is_stalled():
            return
        # If this process was delayed, bytes that have arrived may be unread; the second check sees them.
        self.is_armed = True
        self.timers.after(RECHECK_DELAY, self._check_again)

    def _check_again(self) -> None:
        if self._is_stalled():
            self.stream.abort_malformed(STALLED)

    def _is_stalled(self) -> bool:
        """Return whether no byte has arrived within the timeout; if one has, schedule the next check.

        If the answer takes longer than the longest deadline of a request, the connection is aborted here, and
        the result is False, since that is counted under another name than a stall.
        """
        stream = self.stream
        self.is_armed = False
        if not stream.is_answer_incomplete():
            return False
        if self.timers.now() > stream.answer_started_at + stream.max_answer_time():
            stream.abort_malformed(OVER_TIME_LIMIT)
            return False
        if self.timers.now() < stream.received_at + STALL_TIMEOUT:
            self.arm()
            return False
        return True
