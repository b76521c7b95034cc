"""A short hold on all decisions after a pause of this process, until its data is up to date again."""

import math
from collections.abc import Callable

from weldbend.fleet.service import Fleet

MAX_HOLD = 0.3  # seconds for which decisions wait for the event bus or for peers
SETTLE_TIME = 0.02  # seconds for which the hold lasts after the first answer, for messages that follow it


class PauseHold:
    """A hold on all decisions after each pause of this process, independent of the length of the pause.

    It prevents requests to caches that were drained during the pause, and answers with objects that were
    purged during it. As a side effect, the first requests after a pause are late by `MAX_HOLD` at most.

    Attributes:
        fleet: this front's fleet.
        bus_message_count: function that returns the number of messages received on the event bus connection.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.bus_message_count: Callable[[], int] = lambda: 0
        self._resumed_at = -math.inf  # end of the latest pause
        self._messages_before = 0  # number of bus messages received by that time
        self._fresh_at = math.inf  # end of the hold; infinite until the bus or a peer has answered

    def is_active(self, now: float) -> bool:
        """Return whether decisions are on hold."""
        self.fleet.detect_pause(now)
        if self.fleet.resumed_at != self._resumed_at:
            self._resumed_at = self.fleet.resumed_at
            self._messages_before = self.bus_message_count()
            self._fresh_at = math.inf
        if self.fleet.anti_entropy.is_caught_up or self.bus_message_count() > self._messages_before:
            self._fresh_at = min(self._fresh_at, now + SETTLE_TIME)
        return now < min(self._resumed_at + MAX_HOLD, self._fresh_at)
