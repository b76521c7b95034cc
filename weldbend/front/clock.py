"""The front's time: a monotonic clock, the Unix clock beside it, and the source of random bytes."""

import os
import time


class Clock:
    """Monotonic seconds; Unix timestamps are converted with the offset between both clocks at the moment."""

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    @staticmethod
    def unix() -> float:
        """Return the Unix time in seconds."""
        return time.time()

    @staticmethod
    def random_bytes(size: int) -> bytes:
        """Return `size` bytes from the system's cryptographic source."""
        return os.urandom(size)

    def age(self, timestamp: float) -> float:
        """Return the seconds since a Unix timestamp, 0 for one in the future."""
        return max(self.unix() - timestamp, 0.0)

    def from_unix(self, timestamp: float) -> float:
        """Return a Unix timestamp on the monotonic clock."""
        return self.now() - (self.unix() - timestamp)
