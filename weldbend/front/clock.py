"""The front's time: a monotonic clock, the Unix clock beside it, and the source of random bytes.

The Unix clock may be stepped at any moment; only the monotonic clock measures spans of time.
"""

import os
import time

MAX_READING_ATTEMPTS = 5  # attempts to read both clocks at the same moment
MAX_READING_DURATION = 0.001  # seconds between the readings that count as the same moment


class Clock:
    """Monotonic seconds, and the Unix time of the moment."""

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

    def unix_offset(self) -> float:
        """Return by how many seconds the Unix clock is ahead of the monotonic clock now.

        It is read between two readings of the other, anew where the process was held up between them.
        """
        for _ in range(MAX_READING_ATTEMPTS):
            before = self.now()
            unix = self.unix()
            if self.now() - before <= MAX_READING_DURATION:
                break
        return unix - before
