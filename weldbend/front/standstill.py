"""Notices that this process stood still, so that what lay unread meanwhile counts from its beginning.

What is read after the system has suspended a process, or after an iteration of the event loop that took
long, may have come at any moment since the sockets were read last. The strict side is taken: it came then.
"""

TOLERANCE = 0.02  # seconds by which a beat may come late
HEARTBEAT_INTERVAL = 0.1  # seconds between two beats at most


class ProcessPauseDetector:
    """Receives a beat every HEARTBEAT_INTERVAL; moments are seconds of the front's clock.

    Attributes:
        last_heartbeat: when it beat last.
        paused_at: since when the process stood still, as long as what came meanwhile is still being read.
    """

    def __init__(self, now: float) -> None:
        self.last_heartbeat = now
        self.paused_at: float | None = None

    def record_heartbeat(self, now: float) -> bool:
        """Note a sign of life; return whether the process stood still before it."""
        was_paused = now > self.last_heartbeat + HEARTBEAT_INTERVAL + TOLERANCE
        if was_paused:
            self.paused_at = self.last_heartbeat
        self.last_heartbeat = now
        return was_paused

    def mark_caught_up(self) -> None:
        """Note that all that came during the last standstill was read."""
        self.paused_at = None

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest moment at which bytes that are read now can have come."""
        if now > self.last_heartbeat + HEARTBEAT_INTERVAL + TOLERANCE:
            return self.last_heartbeat
        return now if self.paused_at is None else self.paused_at
