"""Types for the parts of a reactor that the testbed uses.

`Reactor` is implemented by Twisted's reactor and by the simulation's virtual machines. `ProcessReactor` is
Twisted's reactor, which can also start child processes.
"""

from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory, Factory

# Twisted's reactor and child processes; Twisted's interfaces cannot be type-checked here.
ProcessReactor: TypeAlias = Any
ProcessTransport: TypeAlias = Any


class DelayedCall(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class Port(Protocol):
    """A listening port."""

    def getHost(self) -> IPv4Address:
        """Return the address that the port listens on."""

    def stopListening(self) -> object:
        """Close the port."""


class Reactor(Protocol):
    """The methods of IReactorTime and IReactorTCP that the testbed calls; times are in seconds."""

    def callLater(
        self, delay: float, call: Callable[..., object], *args: object, **kwargs: object
    ) -> DelayedCall:
        """Schedule a call after a delay."""

    def listenTCP(self, port: int, factory: Factory, backlog: int = 50, interface: str = "") -> Port:
        """Listen on a port."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float = 30) -> object:
        """Open a connection; the factory is notified of the outcome."""
