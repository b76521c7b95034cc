"""What the testbed uses of a reactor, be it Twisted's or a virtual machine.

`ProcessReactor` is Twisted's own, which starts processes too; a virtual machine does not.
"""

from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory, Factory

# Twisted's own reactor and its child processes: their interfaces have no types here.
ProcessReactor: TypeAlias = Any
ProcessTransport: TypeAlias = Any


class DelayedCall(Protocol):
    """A call that is to come."""

    def cancel(self) -> None:
        """Make it never happen."""


class Port(Protocol):
    """A listening port."""

    def getHost(self) -> IPv4Address:
        """The address that it listens on."""

    def stopListening(self) -> object:
        """Close it."""


class Reactor(Protocol):
    """The methods of IReactorTime and IReactorTCP that the testbed calls; times are in seconds."""

    def callLater(
        self, delay: float, call: Callable[..., object], *args: object, **kwargs: object
    ) -> DelayedCall:
        """Call after a delay."""

    def listenTCP(self, port: int, factory: Factory, backlog: int = 50, interface: str = "") -> Port:
        """Listen on a port."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float = 30) -> object:
        """Dial; the factory is notified of the outcome."""
