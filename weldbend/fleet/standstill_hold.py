"""Decisions wait a moment after this process was paused, until what it knows is fresh again."""

import math
from collections.abc import Callable

from weldbend.fleet.service import Fleet

MAX_HOLD = 0.3  # seconds for which decisions wait for the bus or for peers, at most
SETTLE_TIME = 0.02  # seconds for which they wait for what comes right behind the first message of either


class StandstillHold:
    """Guards against sending to caches that were drained, or serving what was purged, during a pause.

    Should also cover a machine frozen for minutes. Harm: the first requests after it are late by `MAX_HOLD`
    at most.

    Attributes:
        bus_message_count: gives how many messages this front's own bus connection has received.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.bus_message_count: Callable[[], int] = lambda: 0
        self._resumed_at = -math.inf  # end of the latest pause
        self._messages_before = 0  # received from the bus by then
        self._fresh_at = math.inf  # when waiting ends, since the bus or a peer has answered

    def is_active(self, now: float) -> bool:
        """Whether decisions wait now."""
        self.fleet.detect_pause(now)
        if self.fleet.resumed_at != self._resumed_at:
            self._resumed_at = self.fleet.resumed_at
            self._messages_before = self.bus_message_count()
            self._fresh_at = math.inf
        if self.fleet.anti_entropy.is_caught_up or self.bus_message_count() > self._messages_before:
            self._fresh_at = min(self._fresh_at, now + SETTLE_TIME)
        return now < min(self._resumed_at + MAX_HOLD, self._fresh_at)
