"""Progress of a reader of the bus: whether the events it receives are new or replayed. No I/O.

On each connection, the bus first sends all events that the reader missed, without a pause. They count as
received once the stream continues after a pause of at least `CATCH_UP_GAP`, or if its first byte comes
`FIRST_BYTE_TIMEOUT` or later after the bus's response.
"""

import math

from weldbend.event_bus.remote_timestamps import Receipt

FIRST_BYTE_TIMEOUT = 0.5  # seconds after the response within which the bus begins to send missed events
CATCH_UP_GAP = 0.1  # seconds without a byte after which all missed events have been received
# Seconds without a byte after which an event may have been delayed; the bus sends a comment every second.
MAX_LIVE_GAP = 1.8


class StreamProgress:
    """Progress of one reader over all its connections; times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._caught_up_at = -math.inf  # last time at which all published events had been received
        self._last_received: float | None = None  # time of the last bytes or the response on this connection
        self._catch_up_gap = FIRST_BYTE_TIMEOUT  # pause that marks the end of the missed events
        self._has_caught_up = False

    def connecting(self) -> None:
        """Record that a new connection is being opened, whose first events are missed ones."""
        if self._has_caught_up and self._last_received is not None:
            self._caught_up_at = self._last_received
        self._has_caught_up = False
        self._last_received = None

    def connected(self, now: float) -> None:
        """Record that the bus has responded and its stream begins."""
        self._last_received = now
        self._catch_up_gap = FIRST_BYTE_TIMEOUT

    def received(self, now: float) -> None:
        """Record that bytes were received."""
        if self._last_received is not None:
            self._has_caught_up |= now - self._last_received >= self._catch_up_gap
            if self._has_caught_up:
                self._caught_up_at = self._last_received
        self._last_received = now
        self._catch_up_gap = CATCH_UP_GAP

    def receipt(self, now: float) -> Receipt:
        """Return the receipt of an event that was completed by the last bytes recorded."""
        is_live = self._has_caught_up and now - self._caught_up_at <= MAX_LIVE_GAP
        return Receipt(now, self._caught_up_at, is_replay=not is_live)
