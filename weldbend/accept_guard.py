"""Accepting connections while the system fails to: a pause in place of a loop, and no connection dropped.

Twisted ends a round of accepts on such an error and is called again at once, since the connection still
waits: it would do little else until the fault is over. Where no descriptor is left it accepts and closes all
that wait. Here they stay in the kernel's queue, and accepting goes on after a short pause.
"""

import errno
from collections.abc import Callable
from typing import Any

from weldbend.invariants import anomalies
from weldbend.socket_errors import ABORTED_CONNECTION_ERRORS, WOULD_BLOCK_ERRORS

MIN_PAUSE = 0.01  # seconds; doubled with each fault in a row
MAX_PAUSE = 0.1  # seconds: what waits has deadlines of some tenths of a second
MAX_ABORTED_ACCEPTS = (
    16  # connections in a row that may have ended before they were accepted, until there is a pause
)


class GuardedSocket:
    """A listening socket whose `accept` fails only for want of connections; all else is the socket's own."""

    def __init__(self, listening: Any, guard: "AcceptGuard") -> None:  # noqa: ANN401  # a socket, or a stand-in
        self.listening = listening
        self.guard = guard

    def accept(self) -> tuple[Any, Any]:
        """Accept the next connection that is still there.

        Raises:
            BlockingIOError: none waits, or none can be accepted for now.
        """
        for _ in range(MAX_ABORTED_ACCEPTS):
            try:
                accepted: tuple[Any, Any] = self.listening.accept()
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRORS:
                    raise
                fault = error
                if error.errno not in ABORTED_CONNECTION_ERRORS:
                    break
            else:
                self.guard.consecutive_faults = 0
                return accepted
        self.guard.accept_failed(fault)
        raise BlockingIOError(errno.EAGAIN, "accepting is paused")

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401  # any member of a socket
        return getattr(self.listening, name)


class AcceptGuard:
    """Pauses a Twisted port while connections cannot be accepted.

    Attributes:
        is_paused: whether accepting is paused for a fault.
        consecutive_faults: rounds in a row that ended by a fault.
    """

    def __init__(
        self,
        port: Any,  # noqa: ANN401  # Twisted's `Port`, which has no types
        after: Callable[[float, Callable[[], None]], object],
        on_change: Callable[[], object] | None = None,
    ) -> None:
        """Guard a port from now on; one in memory has no socket, and needs no guard.

        Args:
            port: the port.
            after: runs a call after so many seconds.
            on_change: called when `is_paused` has changed; by default the port is paused and resumed.
        """
        self.port = port
        self.after = after
        self.on_change = on_change or self._pause_or_resume
        self.is_paused = False
        self.consecutive_faults = 0
        if hasattr(port, "socket"):
            port.socket = GuardedSocket(port.socket, self)

    def accept_failed(self, fault: OSError) -> None:
        """Pause: the fault is this machine's, or of very many connections in a row."""
        anomalies[f"accepts that failed with {errno.errorcode.get(fault.errno or 0, 'no number')}"] += 1
        if not self.is_paused:
            self.is_paused = True
            pause = min(MIN_PAUSE * 2**self.consecutive_faults, MAX_PAUSE)
            self.consecutive_faults += 1
            self.after(pause, self._resume)
            self.on_change()

    def _resume(self) -> None:
        self.is_paused = False
        self.on_change()

    def _pause_or_resume(self) -> None:
        if self.is_paused:
            self.port.pauseProducing()
            return
        try:
            self.port.resumeProducing()
        except OSError as error:  # the port cannot be watched
            self.accept_failed(error)
