"""How far a reader of the bus has followed it: whether what comes is new, or was missed. No I/O.

After each connection, the bus first sends at once all events that the reader missed. They have all been
received when the stream resumes after a pause of `CATCH_UP_GAP`, or when its first byte comes
`FIRST_BYTE_TIMEOUT` or later after the bus's response.
"""

import math

from weldbend.event_bus.remote_timestamps import Receipt

FIRST_BYTE_TIMEOUT = 0.5  # seconds from its answer within which the bus begins to tell what was missed
CATCH_UP_GAP = 0.1  # seconds without a byte after which all is told that was missed
# Seconds without a byte after which what comes may have been held up: a comment comes each second.
MAX_LIVE_GAP = 1.8


class StreamProgress:
    """Follows one reader through all its connections. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._caught_up_at = -math.inf  # when all had been told, before the bytes that came last
        self._last_received: float | None = None  # when bytes came last on this connection, or its answer
        self._catch_up_gap = FIRST_BYTE_TIMEOUT  # seconds without a byte after which all is told
        self._has_caught_up = False

    def connecting(self) -> None:
        """Note that a new connection is made: what it brings first was missed."""
        if self._has_caught_up and self._last_received is not None:
            self._caught_up_at = self._last_received
        self._has_caught_up = False
        self._last_received = None

    def connected(self, now: float) -> None:
        """Note that the bus has answered: its stream begins."""
        self._last_received = now
        self._catch_up_gap = FIRST_BYTE_TIMEOUT

    def received(self, now: float) -> None:
        """Note that bytes came."""
        if self._last_received is not None:
            self._has_caught_up |= now - self._last_received >= self._catch_up_gap
            if self._has_caught_up:
                self._caught_up_at = self._last_received
        self._last_received = now
        self._catch_up_gap = CATCH_UP_GAP

    def receipt(self, now: float) -> Receipt:
        """Return how an event came that the last bytes completed."""
        is_live = self._has_caught_up and now - self._caught_up_at <= MAX_LIVE_GAP
        return Receipt(now, self._caught_up_at, is_replay=not is_live)
