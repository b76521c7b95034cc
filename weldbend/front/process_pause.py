"""Detection of process pauses, to estimate when bytes that were read after a pause arrived.

After the system has suspended the process, or after a long iteration of the event loop, the bytes read from
sockets may have arrived at any time since the last heartbeat before the pause. That heartbeat's time, the
earliest possible one, is assumed.
"""

TOLERANCE = 0.02  # seconds by which a heartbeat may be late
HEARTBEAT_INTERVAL = 0.1  # longest time in seconds between two heartbeats of a process that is not paused


class ProcessPauseDetector:
    """Detector of process pauses that expects a heartbeat every HEARTBEAT_INTERVAL.

    Times are seconds of the front's clock.

    Attributes:
        last_heartbeat: time of the last heartbeat.
        paused_at: earliest possible start of the last pause; None once all bytes that arrived during it were
            read.
    """

    def __init__(self, now: float) -> None:
        self.last_heartbeat = now
        self.paused_at: float | None = None

    def record_heartbeat(self, now: float) -> bool:
        """Record a heartbeat; return whether the process was paused before it."""
        was_paused = now > self.last_heartbeat + HEARTBEAT_INTERVAL + TOLERANCE
        if was_paused:
            self.paused_at = self.last_heartbeat
        self.last_heartbeat = now
        return was_paused

    def mark_caught_up(self) -> None:
        """Record that all bytes that arrived during the last pause have been read."""
        self.paused_at = None

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which bytes read now can have arrived."""
        if now > self.last_heartbeat + HEARTBEAT_INTERVAL + TOLERANCE:
            return self.last_heartbeat
        return now if self.paused_at is None else self.paused_at
