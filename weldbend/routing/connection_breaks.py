"""Times at which connections to a cache broke, from which a possible restart of the cache is inferred."""

import math


class ConnectionBreaks:
    """The last time that a connection broke, and the last time that none could be opened.

    Args:
        grace: seconds after a break from which on the cache is assumed to have restarted.
        reconnect_window: seconds within which a new connection shows that there was no restart.
    """

    def __init__(self, grace: float, reconnect_window: float) -> None:
        self.grace = grace
        self.reconnect_window = reconnect_window
        self.broken_at = -math.inf
        self.unreachable_at = -math.inf

    def record_break(self, now: float, is_unreachable: bool) -> None:
        """Record that a connection broke or could not be opened."""
        self.broken_at = now
        if is_unreachable:
            self.unreachable_at = now

    def record_open(self, now: float) -> None:
        """Record that a connection was opened.

        Soon after a break this shows that the cache did not restart then, so the break is forgotten. The last
        time at which no connection could be opened is not.
        """
        if now < self.broken_at + self.reconnect_window:
            self.broken_at = self.unreachable_at

    def grace_ends_at(self) -> float:
        """Return the time from which on the last break counts as a possible restart."""
        return self.broken_at + self.grace

    def possible_restart(self, now: float) -> float:
        """Return the latest time at which the cache may have restarted unnoticed; minus infinity if never.

        A break counts only after its grace period, a failure to open a connection at once.
        """
        return self.unreachable_at if now < self.grace_ends_at() else self.broken_at
