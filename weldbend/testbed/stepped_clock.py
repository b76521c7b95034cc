"""Runs weldbend's command line with a Unix clock that a signal steps; the system's clock stays as it is.

`python -m weldbend.testbed.stepped_clock SECONDS serve --config FILE`: each SIGUSR1 steps the Unix clock that
the front reads by so many seconds, and writes a line to standard error.
"""

import runpy
import signal
import sys

from weldbend.front.clock import Clock

STEP_MESSAGE = "Unix clock stepped by"  # begins the line that tells of a step


class SteppedClock:
    """The Unix time of the system, and the steps so far."""

    def __init__(self, step: float) -> None:
        self.step = step  # seconds
        self.offset = 0.0  # seconds
        self.system_unix = Clock.unix
        signal.signal(signal.SIGUSR1, self.on_signal)

    def unix(self) -> float:
        """Return the Unix time in seconds."""
        return self.system_unix() + self.offset

    def on_signal(self, *_: object) -> None:
        """Step the clock."""
        self.offset += self.step
        print(STEP_MESSAGE, self.step, file=sys.stderr, flush=True)


if __name__ == "__main__":
    Clock.unix = SteppedClock(float(sys.argv.pop(1))).unix  # type: ignore[method-assign]
    runpy.run_module("weldbend", run_name="__main__")
