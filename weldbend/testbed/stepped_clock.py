"""Runs weldbend's command line with a Unix clock that a signal steps; the system's clock is not changed.

`python -m weldbend.testbed.stepped_clock SECONDS serve --config FILE`: each SIGUSR1 steps the Unix clock that
the front reads by SECONDS, and writes a line to standard error.
"""

import runpy
import signal
import sys

from weldbend.front.clock import Clock

STEP_MESSAGE = "Unix clock stepped by"  # beginning of the line that reports a step


class SteppedClock:
    """The system's Unix clock plus the steps made so far; each SIGUSR1 adds one.

    Attributes:
        step: Length of a step in seconds.
        offset: Sum of the steps so far in seconds.
        system_unix: Clock of the system.
    """

    def __init__(self, step: float) -> None:
        self.step = step
        self.offset = 0.0
        self.system_unix = Clock.unix
        signal.signal(signal.SIGUSR1, self.on_signal)

    def unix(self) -> float:
        """Return the stepped Unix time in seconds."""
        return self.system_unix() + self.offset

    def on_signal(self, *_: object) -> None:
        """Step the clock and report the step on standard error; called for each signal."""
        self.offset += self.step
        print(STEP_MESSAGE, self.step, file=sys.stderr, flush=True)


if __name__ == "__main__":
    Clock.unix = SteppedClock(float(sys.argv.pop(1))).unix  # type: ignore[method-assign]
    runpy.run_module("weldbend", run_name="__main__")
