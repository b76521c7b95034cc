"""One attempt at a request: a command sent to a cache, and its outcome."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from weldbend.cache_protocol.answers import Answer
from weldbend.caches.interfaces import Timer


class AttemptLoss(Enum):
    """Reasons for which an attempt ended without an answer. The router decides which prove a faulty cache."""

    UNREACHABLE = auto()  # no connection was established in time
    RESET = auto()  # the connection ended after the first byte had been sent
    MALFORMED = auto()  # the connection was aborted because the cache violated the protocol
    SUPERSEDED = auto()  # cancelled before any byte was sent
    LOCAL_FAULT = auto()  # this machine could not establish a connection in time; no byte was sent


class AttemptConnection(Protocol):
    """The interface of the connection on which an attempt is in flight."""

    received_at: float  # when bytes were last received

    def cancel(self, attempt: "Attempt") -> None:
        """Cancel an attempt that is in flight on this connection."""

    def drain(self) -> None:
        """Accept no further attempts, and close once those in flight have ended."""


@dataclass(eq=False, slots=True)
class Attempt:
    """One command to a cache. Its outcome, an answer or the reason for its loss, is reported at most once.

    Moments are seconds of the front's clock.

    Attributes:
        name: Name of the request on the wire, by which answers are matched.
        cache: Number of the cache to which the attempt is sent.
        source: Number of the cache from which a miss is filled; equal to `cache` if a miss must not be
            filled, and None if `cache` is the origin.
        key: Key of the requested object.
        group: Number of the object's group, which a purge may name.
        command: Function that encodes the command, called just before its first byte is sent.
        on_ended: Function called with the outcome, at most once.
        is_short_lived: Whether the router's decision to send it may soon become invalid, so that it is
            cancelled instead of sent if it has waited for a connection longer than
            `CacheLimits.max_iteration_time`.
        connection: Connection on which it was sent; None while no byte of it has been sent.
        queued_at: Moment at which it began to wait for a connection.
        wait_timer: Timer that limits this wait; None before and after it.
        sent_at: Moment at which its first byte was sent.
        is_locally_blocked: Whether a fault of this machine delayed the connect that it needs while it waited.
        is_over: Whether its outcome was reported, or it was cancelled and will have no outcome.
    """

    name: str
    cache: int
    source: int | None
    key: str
    group: int
    command: Callable[[], bytes]
    on_ended: Callable[["Attempt", Answer | AttemptLoss], None]
    is_short_lived: bool = False
    connection: AttemptConnection | None = None
    queued_at: float = 0.0
    wait_timer: Timer | None = None
    sent_at: float = 0.0
    is_locally_blocked: bool = False
    is_over: bool = False

    def finish(self, outcome: Answer | AttemptLoss) -> None:
        """Report the outcome, unless one was reported before or the attempt was cancelled."""
        if not self.is_over:
            self.is_over = True
            self.on_ended(self, outcome)

    def end_wait(self) -> None:
        """Cancel the timer of the wait for a connection, which has ended.

        The timer refers to the attempt, and through it to the request, so it would keep both in memory.
        """
        if self.wait_timer:
            self.wait_timer.cancel()
            self.wait_timer = None

    def is_waiting(self) -> bool:
        """Return whether it is not over and no byte of it has been sent."""
        return not self.is_over and self.connection is None
