"""When connections to a cache broke, and whether that may have been a restart. No tuned value is set here."""

import math


class ConnectionBreaks:
    """The last break, and the last one after which no connection came up.

    Args:
        grace: seconds in which a break is no restart yet.
        reconnect_window: seconds within which a new connection says that there was none.
    """

    def __init__(self, grace: float, reconnect_window: float) -> None:
        self.grace = grace
        self.reconnect_window = reconnect_window
        self.broken_at = -math.inf
        self.unreachable_at = -math.inf

    def record_break(self, now: float, is_unreachable: bool) -> None:
        """A connection broke, or could not be made."""
        self.broken_at = now
        if is_unreachable:
            self.unreachable_at = now

    def record_open(self, now: float) -> None:
        """One has come up: soon after a break, it was no restart."""
        if now < self.broken_at + self.reconnect_window:
            self.broken_at = self.unreachable_at

    def grace_ends_at(self) -> float:
        """The moment from which on a break may have been a restart."""
        return self.broken_at + self.grace

    def possible_restart(self, now: float) -> float:
        """The last moment at which the cache may have started unnoticed; minus infinity for never."""
        return self.unreachable_at if now < self.grace_ends_at() else self.broken_at
