"""Notices that this process stood still, so that what lay unread meanwhile counts from its beginning.

What is read after the system has suspended a process, or after an iteration of the event loop that took
long, may have come at any moment since the sockets were read last. The strict side is taken: it came then.
"""

TOLERANCE = 0.02  # seconds by which a beat may come late
BEAT_INTERVAL = 0.1  # seconds between two beats at most


class StandstillDetector:
    """Receives a beat every BEAT_INTERVAL; moments are seconds of the front's clock.

    Attributes:
        last_beat: when it beat last.
        began: since when the process stood still, as long as what came meanwhile is still being read.
    """

    def __init__(self, now: float) -> None:
        self.last_beat = now
        self.began: float | None = None

    def beat(self, now: float) -> bool:
        """Note a sign of life; return whether the process stood still before it."""
        has_stood_still = now > self.last_beat + BEAT_INTERVAL + TOLERANCE
        if has_stood_still:
            self.began = self.last_beat
        self.last_beat = now
        return has_stood_still

    def has_caught_up(self) -> None:
        """Note that all that came during the last standstill was read."""
        self.began = None

    def came_at(self, now: float) -> float:
        """Return the earliest moment at which bytes that are read now can have come."""
        if now > self.last_beat + BEAT_INTERVAL + TOLERANCE:
            return self.last_beat
        return now if self.began is None else self.began
