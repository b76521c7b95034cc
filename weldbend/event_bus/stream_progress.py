"""How far a reader of the bus has followed it: whether what comes is new, or was missed. No I/O.

After a connection comes up, the bus tells first what was missed, at once. A stream that then brings nothing
for `QUIET` and goes on has told all of it, and so has one that begins `FIRST_BYTES` after its answer.
"""

import math

from weldbend.event_bus.remote_timestamps import Receipt

FIRST_BYTES = 0.5  # seconds from its answer within which the bus begins to tell what was missed
QUIET = 0.1  # seconds without a byte after which all is told that was missed
# Seconds without a byte after which what comes may have been held up: a comment comes each second.
LIVE_GAP = 1.8


class StreamProgress:
    """Follows one reader through all its connections. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._in_touch = -math.inf  # when all had been told, before the bytes that came last
        self._received: float | None = None  # when bytes came last on this connection, or its answer
        self._quiet = FIRST_BYTES  # seconds without a byte after which all is told
        self._has_caught_up = False

    def connecting(self) -> None:
        """Note that a new connection is made: what it brings first was missed."""
        if self._has_caught_up and self._received is not None:
            self._in_touch = self._received
        self._has_caught_up = False
        self._received = None

    def connected(self, now: float) -> None:
        """Note that the bus has answered: its stream begins."""
        self._received = now
        self._quiet = FIRST_BYTES

    def received(self, now: float) -> None:
        """Note that bytes came."""
        if self._received is not None:
            self._has_caught_up |= now - self._received >= self._quiet
            if self._has_caught_up:
                self._in_touch = self._received
        self._received = now
        self._quiet = QUIET

    def receipt(self, now: float) -> Receipt:
        """Return how an event came that the last bytes completed."""
        is_live = self._has_caught_up and now - self._in_touch <= LIVE_GAP
        return Receipt(now, self._in_touch, is_replay=not is_live)
