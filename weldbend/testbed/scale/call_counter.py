"""Counts the calls of functions in a front: work done, which does not depend on how fast the machine is."""

import atexit
import signal
import sys
from pathlib import Path
from types import FrameType

START_SIGNAL = signal.SIGUSR1  # begins the count: what loading takes does not belong to it
COUNTED_EVENTS = ("call", "c_call")  # of Python's profiler: functions in Python and in C


class CallCounter:
    """Counts calls from its start to the end of the process, and writes their number then."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.count = 0

    def start(self, signum: int, frame: FrameType | None) -> None:
        """Begin to count; a signal calls it."""
        sys.setprofile(self.record)

    def record(self, frame: FrameType, event: str, argument: object) -> None:
        """Count one event of the profiler."""
        if event in COUNTED_EVENTS:
            self.count += 1

    def write(self) -> None:
        """Write the number of calls."""
        sys.setprofile(None)
        self.path.write_text(str(self.count))


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
