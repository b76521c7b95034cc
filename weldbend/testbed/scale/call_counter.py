"""Counts the calls of functions in a front: work done, which does not depend on how fast the machine is."""

import atexit
import cProfile
import signal
from pathlib import Path
from types import FrameType

START_SIGNAL = signal.SIGUSR1  # begins the count: what loading takes does not belong to it


class CallCounter:
    """Counts calls from its start to the end of the process, and writes their number then.

    The profiler is the one in C: a front that it slowed down much would reject requests for its lag.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.profile = cProfile.Profile(subcalls=False)

    def start(self, signum: int, frame: FrameType | None) -> None:
        """Begin to count; a signal calls it."""
        self.profile.enable()

    def write(self) -> None:
        """Write the number of calls."""
        self.profile.disable()
        self.path.write_text(str(sum(entry.callcount for entry in self.profile.getstats())))


def install(path: str) -> None:
    """Have this process count once it is signalled, and write the number to a file when it ends."""
    counter = CallCounter(Path(path))
    signal.signal(START_SIGNAL, counter.start)
    atexit.register(counter.write)


def prelude(path: Path) -> str:
    """The statements that a front executes first, to count its calls."""
    return f"from weldbend.testbed.scale import call_counter; call_counter.install({str(path)!r}); "


def read(path: Path) -> int:
    """The number that a front has written; 0 where it was killed before."""
    return int(path.read_text()) if path.exists() else 0
