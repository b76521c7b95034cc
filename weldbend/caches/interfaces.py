"""Interfaces of the timers and the reactor that connections to caches use."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; this has no effect if it was made or cancelled before."""


class Timers(Protocol):
    """The front's time and timers."""

    def now(self) -> float:
        """Return the current time in seconds of the front's monotonic clock."""

    def after(self, delay: float, call: Callable[[], object]) -> Timer:
        """Run `call` once, after `delay` seconds."""


class Connector(Protocol):
    """A pending connect, or the connection that it established."""

    def disconnect(self) -> object:
        """Abandon the connect, or close the connection."""


class Reactor(Protocol):
    """The part of Twisted's reactor that connections to caches use."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> Connector:
        """Start to connect; the factory is notified of the outcome within `timeout` seconds."""

    def callLater(self, delay: float, call: Callable[[], object]) -> object:
        """Run `call` once, after `delay` seconds."""
