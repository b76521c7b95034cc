"""Counts the function calls in a front, as a measure of work that does not depend on the machine's speed."""

import atexit
import cProfile
import signal
from pathlib import Path
from types import FrameType

START_SIGNAL = signal.SIGUSR1  # starts the count, so that the calls while the front loads are not included


class CallCounter:
    """Counts function calls from START_SIGNAL to the end of the process, and writes their number to a file.

    It uses the profiler written in C, because a front that is slowed down too much rejects requests for its
    lag.

    Attributes:
        path: File to which the number is written.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.profile = cProfile.Profile(subcalls=False)

    def start(self, signum: int, frame: FrameType | None) -> None:
        """Start the count, as the handler of START_SIGNAL."""
        self.profile.enable()

    def write(self) -> None:
        """Stop the count, and write the number of calls."""
        self.profile.disable()
        self.path.write_text(str(sum(entry.callcount for entry in self.profile.getstats())))


def install(path: str) -> None:
    """Set this process up to count its calls from START_SIGNAL on, and to write the number when it ends."""
    counter = CallCounter(Path(path))
    signal.signal(START_SIGNAL, counter.start)
    atexit.register(counter.write)


def prelude(path: Path) -> str:
    """Return the Python statements that a front executes first, to count its calls."""
    return f"from weldbend.testbed.scale import call_counter; call_counter.install({str(path)!r}); "


def read(path: Path) -> int:
    """Return the number that a front has written; 0 if it was killed before it could write one."""
    return int(path.read_text()) if path.exists() else 0
