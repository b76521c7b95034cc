"""Finds connections on which an answer has begun and does not go on, or does not end."""

from typing import Protocol

from weldbend.caches.interfaces import Timers

STALL_TIMEOUT = 0.2  # seconds in which the next byte of an answer that has begun must come
RECHECK_DELAY = 0.02  # seconds after which a stall is checked once more

# Names of the anomaly counters, as they appear in the log.
OVER_TIME_LIMIT = "cache answers over the time limit"
STALLED = "stalled cache answers"


class AnswerStream(Protocol):
    """The incoming direction of a connection to a cache; moments in seconds of the front's clock."""

    received_at: float  # when bytes last came
    answer_started_at: float  # when the answer that is under way began to come

    def is_answer_incomplete(self) -> bool:
        """Whether a part of an answer is here, and the rest can still come."""

    def max_answer_time(self) -> float:
        """Seconds for which anyone waits for an answer."""

    def abort_malformed(self, reason: str) -> None:
        """End the connection; `reason` names the anomaly counter."""


class StallDetector:
    """Ends a connection whose answer stops in the middle.

    Guards all that is in flight there against what never comes. Answers are written in one piece, so one that
    has begun is as good as here; it ends before anyone's deadline. Harm: one whose bytes do come on after a
    longer standstill is requested again.

    Attributes:
        is_armed: Whether a check is due.
    """

    __slots__ = ("is_armed", "stream", "timers")

    def __init__(self, stream: AnswerStream, timers: Timers) -> None:
        self.stream = stream
        self.timers = timers
        self.is_armed = False

    def arm(self) -> None:
        """Check in a moment, unless a check is due."""
        if not self.is_armed:
            self.is_armed = True
            self.timers.after(STALL_TIMEOUT, self._check)

    def _check(self) -> None:
        if not self._is_stalled():
            return
        # When this front itself was held up, what came meanwhile is still to be read: it is checked twice.
        self.is_armed = True
        self.timers.after(RECHECK_DELAY, self._check_again)

    def _check_again(self) -> None:
        if self._is_stalled():
            self.stream.abort_malformed(STALLED)

    def _is_stalled(self) -> bool:
        """Whether nothing came for too long; arms the next check where something did."""
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
