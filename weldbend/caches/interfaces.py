"""What connections to caches need of the timers and the reactor around them."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Cancel the call; nothing happens where it was made or cancelled before."""


class Timers(Protocol):
    """The front's time and timers."""

    def now(self) -> float:
        """The present moment in seconds of the front's monotonic clock."""

    def after(self, delay: float, call: Callable[[], object]) -> Timer:
        """Run `call` once, after `delay` seconds."""


class Connector(Protocol):
    """A connect attempt under way, or the connection that it became."""

    def disconnect(self) -> object:
        """Give up connecting, or end the connection."""


class Reactor(Protocol):
    """What is used of the reactor here."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> Connector:
        """Begin to connect; the factory learns the outcome within `timeout` seconds."""

    def callLater(self, delay: float, call: Callable[[], object]) -> object:
        """Run `call` once, after `delay` seconds."""
