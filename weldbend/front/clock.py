"""Clocks of the front and its source of random bytes.

The Unix clock may be stepped at any moment; only the monotonic clock measures durations.
"""

import os
import time

MAX_READING_ATTEMPTS = 5  # after so many readings of both clocks, the last one is used in any case
MAX_READING_DURATION = 0.001  # seconds within which both clocks count as read at the same moment


class Clock:
    """The system's monotonic clock and Unix clock."""

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
        """Return `size` bytes from the system's cryptographic random source."""
        return os.urandom(size)

    def unix_offset(self) -> float:
        """Return the current Unix time minus the monotonic time, in seconds.

        The Unix clock is read between two readings of the monotonic clock. If the process was delayed between
        them, the reading is repeated.
        """
        for _ in range(MAX_READING_ATTEMPTS):
            before = self.now()
            unix = self.unix()
            if self.now() - before <= MAX_READING_DURATION:
                break
        return unix - before
