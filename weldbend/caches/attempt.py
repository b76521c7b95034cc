"""One attempt at a request: a command to a cache, and how it ended."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from weldbend.cache_protocol.answers import Answer


class AttemptLoss(Enum):
    """How an attempt ended without an answer. What that proves is for the router to decide."""

    UNREACHABLE = auto()  # no connection came up in time
    RESET = auto()  # the connection ended after the first byte had gone out
    MALFORMED = auto()  # the connection brought what is no answer, and was ended
    SUPERSEDED = auto()  # cancelled before any byte went out
    LOCAL_FAULT = auto()  # this machine could make no connection meanwhile; no byte went out


class AttemptConnection(Protocol):
    """The connection that an attempt is in flight on, as far as others need to know it."""

    received_at: float  # when bytes last came over it

    def cancel(self, attempt: "Attempt") -> None:
        """Give up an attempt that is in flight on it."""


@dataclass(eq=False, slots=True)
class Attempt:
    """One command to a cache. Its end is reported once: by an answer or by how it was lost.

    Moments are seconds of the front's clock.

    Attributes:
        name: The request's name on the wire; answers are matched by it.
        cache: The cache that it goes to.
        source: The cache that the first one may fill from; None where it may not, or from itself.
        key: The object that it asks for.
        group: The group of objects that a purge may name.
        command: Writes the command out, just before its first byte goes.
        on_ended: Called with its end, once at most.
        is_short_lived: Whether what allows it may soon be over: it waits no longer than one iteration.
        connection: What it went out on; None while no byte of it has gone out.
        queued_at: When it began to wait for a connection.
        sent_at: When its first byte went out.
        is_locally_blocked: Whether a fault of this machine held up its connection while it waited.
        is_over: Whether its end was reported, or it was cancelled.
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
    sent_at: float = 0.0
    is_locally_blocked: bool = False
    is_over: bool = False

    def finish(self, outcome: Answer | AttemptLoss) -> None:
        """Report its end, unless that was done or it was cancelled."""
        if not self.is_over:
            self.is_over = True
            self.on_ended(self, outcome)

    def is_waiting(self) -> bool:
        """Whether no byte of it has gone out, and one may still."""
        return not self.is_over and self.connection is None
