"""Runs weldbend with socket calls that fail according to a seed.

    python -m weldbend.testbed.faults.socket_faults --seed 7 --seconds 5 --record FILE -- serve --config FILE

The socket type, `select.epoll` and `os.read` are replaced in this process before Twisted is loaded; nothing
is traced and no other process is affected. Each injected fault is written to the record as a JSON line with
its time on the machine's monotonic clock; the last line contains the number of calls. Opening the listening
port never fails, because a front that cannot listen exits.
"""

import argparse
import atexit
import json
import os
import random
import runpy
import select
import socket
import stat
import sys
import time
from typing import TYPE_CHECKING, Any

from weldbend.testbed.faults.call_faults import SHORT_TRANSFER, Call, CallFaults, draw_plan, error_name

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer

SHORT_TRANSFER_DIVISOR = 3  # divisor of the number of bytes in a short send
SHORT_READ_SIZE = 64  # bytes; maximum result of a short read
REAL_SOCKET = socket.socket
REAL_EPOLL = select.epoll
REAL_READ = os.read
PROCESS_SIDE = "process"  # side of a call that belongs to no connection


class CallInjector:
    """Decides for each call whether it fails, and records the injected faults.

    Attributes:
        has_accepted: whether a client's connection has been accepted; before that, only connects, transfers
            and waits fail.
    """

    def __init__(self, faults: CallFaults, record: int) -> None:
        self.faults = faults
        self.record = record
        self.started_at = time.monotonic()
        self.has_accepted = False

    def draw(self, call: Call, side: str) -> int | None:
        """Return how this call fails: an error number or SHORT_TRANSFER, or None if it does not fail."""
        if not self.has_accepted and call in (Call.SOCKET, Call.EPOLL_CTL, Call.ACCEPT):
            return None
        now = time.monotonic()
        number = self.faults.draw(call, now - self.started_at)
        if number is not None:
            self.write({"at": now, "call": call.value, "error": error_name(number), "side": side})
        return number

    def check(self, call: Call, side: str) -> None:
        """Raise OSError if this call fails."""
        if number := self.draw(call, side):
            raise OSError(number, os.strerror(number))

    def transfer_size(self, call: Call, side: str, size: int) -> int:
        """Return how many of `size` bytes this call may transfer; raises OSError if it fails."""
        number = self.draw(call, side)
        if number:
            raise OSError(number, os.strerror(number))
        part = min(size, SHORT_READ_SIZE) if call is Call.RECEIVE else size // SHORT_TRANSFER_DIVISOR
        return max(part, 1) if number == SHORT_TRANSFER and size else size

    def write(self, line: dict[str, Any]) -> None:
        """Append a line to the record."""
        os.write(self.record, (json.dumps(line) + "\n").encode())

    def write_totals(self) -> None:
        """Append the number of calls made, by kind, to the record."""
        totals = {call.value: count for call, count in self.faults.calls.items()}
        self.write({"calls": totals, "seconds": time.monotonic() - self.started_at})


def socket_type(injector: CallInjector) -> type[socket.socket]:
    """Return a socket type whose calls fail as the injector decides."""

    class FailingSocket(REAL_SOCKET):
        def __init__(
            self, family: int = -1, kind: int = -1, protocol: int = -1, fileno: int | None = None
        ) -> None:
            self.side = "connected" if fileno is None else "accepted"
            if fileno is None:
                injector.check(Call.SOCKET, self.side)
            super().__init__(family, kind, protocol, fileno)

        def accept(self) -> tuple[socket.socket, Any]:
            injector.check(Call.ACCEPT, "listening")
            injector.has_accepted = True
            return super().accept()

        def connect_ex(self, address: Any) -> int:  # noqa: ANN401  # as the socket's own
            return injector.draw(Call.CONNECT, self.side) or super().connect_ex(address)

        def getsockopt(self, level: int, name: int, *size: int) -> Any:  # noqa: ANN401  # as the socket's own
            if (level, name) == (socket.SOL_SOCKET, socket.SO_ERROR):
                return injector.draw(Call.CONNECT_RESULT, self.side) or super().getsockopt(level, name)
            return super().getsockopt(level, name, *size)

        def recv(self, size: int, flags: int = 0) -> bytes:
            return super().recv(injector.transfer_size(Call.RECEIVE, self.side, size), flags)

        def send(self, data: "ReadableBuffer", flags: int = 0) -> int:
            view = memoryview(data)
            return super().send(view[: injector.transfer_size(Call.SEND, self.side, len(view))], flags)

    return FailingSocket


class FailingEpoll:
    """Epoll set whose waits and registrations fail as the injector decides."""

    injector: CallInjector

    def __init__(self, *args: int) -> None:
        self.epoll = REAL_EPOLL(*args)

    def poll(self, *args: Any) -> list[tuple[int, int]]:  # noqa: ANN401  # as the set's own
        """Wait for events."""
        self.injector.check(Call.EPOLL_WAIT, PROCESS_SIDE)
        return self.epoll.poll(*args)

    def register(self, *args: Any) -> None:  # noqa: ANN401  # as the set's own
        """Register a descriptor."""
        self.injector.check(Call.EPOLL_CTL, PROCESS_SIDE)
        self.epoll.register(*args)

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401  # any member of an epoll set
        return getattr(self.epoll, name)


def install(injector: CallInjector) -> None:
    """Replace the socket calls of this process by failing ones."""

    def read(fd: int, size: int) -> bytes:
        if stat.S_ISSOCK(os.fstat(fd).st_mode):  # the read of an idle connection that wakes up
            size = injector.transfer_size(Call.RECEIVE, "accepted", size)
        return REAL_READ(fd, size)

    replaced: Any = socket
    replaced.socket = socket_type(injector)
    replaced = select
    FailingEpoll.injector = injector
    replaced.epoll = FailingEpoll
    replaced = os
    replaced.read = read


def main() -> None:
    """Parse the command line, install the faults, and run weldbend with the remaining arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=5.0, help="seconds over which the faults are spread")
    parser.add_argument("--record", required=True, help="file to which the injected faults are appended")
    parser.add_argument("command", nargs="+", help="command of weldbend, as in `-- serve --config FILE`")
    options = parser.parse_args()
    record = os.open(options.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    faults = CallFaults(draw_plan(options.seed, options.seconds), random.Random(f"calls {options.seed}"))
    injector = CallInjector(faults, record)
    atexit.register(injector.write_totals)
    install(injector)
    sys.argv = ["weldbend", *options.command]
    runpy.run_module("weldbend", run_name="__main__")  # loads Twisted, which uses the replaced types


if __name__ == "__main__":
    main()
