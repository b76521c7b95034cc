"""A guard that pauses a listening port while accept(2) fails, so that no connection is dropped.

When accept(2) fails, Twisted ends its round of accepts. The pending connection keeps the listening socket
readable, so the reactor calls Twisted again at once, and the process spins until the fault is over. When no
descriptor is left, Twisted accepts all pending connections and closes them. With this guard, pending
connections stay in the kernel's queue, and accepting resumes after a short pause.
"""

import errno
from collections.abc import Callable
from typing import Any

from weldbend.invariants import anomalies
from weldbend.socket_errors import ABORTED_CONNECTION_ERRORS, WOULD_BLOCK_ERRORS

MIN_PAUSE = 0.01  # seconds; doubled with each consecutive fault
MAX_PAUSE = 0.1  # seconds; pending clients have deadlines of some tenths of a second
MAX_ABORTED_ACCEPTS = 16  # consecutive connections found to have ended, after which accepting is paused


class GuardedSocket:
    """A wrapper of a listening socket whose `accept` raises `BlockingIOError` and no other `OSError`.

    All other members are those of the wrapped socket.
    """

    def __init__(self, listening: Any, guard: "AcceptGuard") -> None:  # noqa: ANN401  # a socket, or a stand-in
        self.listening = listening
        self.guard = guard

    def accept(self) -> tuple[Any, Any]:
        """Accept the next connection, skipping those that have ended in the queue.

        Raises:
            BlockingIOError: no connection is pending, or none can be accepted at present.
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
        is_paused: whether accepting is paused because of a fault.
        consecutive_faults: number of pauses in a row without an accepted connection between them.
    """

    def __init__(
        self,
        port: Any,  # noqa: ANN401  # Twisted's `Port`, which has no types
        after: Callable[[float, Callable[[], None]], object],
        on_change: Callable[[], object] | None = None,
    ) -> None:
        """Replace the port's socket by a guarded one; an in-memory port has no socket and needs no guard.

        Args:
            port: the port.
            after: function that runs a call after a delay in seconds.
            on_change: function called when `is_paused` has changed; by default, the guard itself pauses or
                resumes the port.
        """
        self.port = port
        self.after = after
        self.on_change = on_change or self._pause_or_resume
        self.is_paused = False
        self.consecutive_faults = 0
        if hasattr(port, "socket"):
            port.socket = GuardedSocket(port.socket, self)

    def accept_failed(self, fault: OSError) -> None:
        """Pause accepting after a local fault, or after too many connections that ended before the accept."""
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
        except OSError as error:  # the port's descriptor cannot be registered with the poller
            self.accept_failed(error)
