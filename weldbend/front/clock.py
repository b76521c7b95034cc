"""The front's time: seconds that never go back, and the Unix clock beside it; and what it draws at random."""

import os
import time


class Clock:
    """`now` runs on the steady clock; Unix stamps are converted with the offset of the moment."""

    @staticmethod
    def now() -> float:
        return time.monotonic()

    @staticmethod
    def unix() -> float:
        return time.time()

    @staticmethod
    def drawn(size: int) -> bytes:
        """Bytes at random that nobody can foresee."""
        return os.urandom(size)

    def age(self, stamp: float) -> float:
        """How long ago a Unix stamp was, never less than nothing."""
        return max(self.unix() - stamp, 0.0)

    def moment(self, stamp: float) -> float:
        """A Unix stamp in the front's own time."""
        return self.now() - (self.unix() - stamp)
