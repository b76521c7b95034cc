"""Virtual machines: each is a deterministic in-memory Twisted reactor of one process.

A machine that is killed runs no more calls, and its peers see its connections reset, as on a real network.
"""

import math
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionRefusedError as TwistedConnectionRefusedError
from twisted.internet.error import TimeoutError as TwistedTimeoutError
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory
from twisted.python.failure import Failure

from weldbend.testbed.simulation.datagrams import DatagramPort
from weldbend.testbed.simulation.event_queue import DelayedCall
from weldbend.testbed.simulation.network import AddressTakenError, VirtualNetwork
from weldbend.testbed.simulation.transports import Transport

POLL_TOLERANCE = 1e-6  # fraction of a poll interval by which a moment may miss a poll through rounding


class FakeSocket:
    """Socket whose options have no effect."""

    def setsockopt(self, *_: object) -> None:
        """Accept any option."""


class ListeningPort:
    """Listening TCP port, with the members of Twisted's port that a front uses."""

    def __init__(self, machine: "Machine", host: str, port: int, factory: Factory) -> None:
        self.machine = machine
        self.address = (host, port)
        self.factory = factory
        self.is_paused = False
        self.backlog = deque[Callable[[], None]]()  # connections waiting to be accepted
        self.socket = FakeSocket()
        self.numberAccepts = 1

    def getHost(self) -> IPv4Address:
        """Return the address of the port."""
        return IPv4Address("TCP", *self.address)

    def pauseProducing(self) -> None:
        """Stop accepting connections."""
        self.is_paused = True

    def resumeProducing(self) -> None:
        """Accept the waiting connections and new ones."""
        self.is_paused = False
        while self.backlog and not self.is_paused:
            self.backlog.popleft()()

    def doRead(self) -> None:
        """Accept all waiting connections, even while paused."""
        while self.backlog:
            self.backlog.popleft()()

    def stopListening(self) -> None:
        """Close the port and drop the waiting connections."""
        self.machine.network.ports.pop(self.address, None)
        self.backlog.clear()


class Connector:
    """Attempt to connect, and the resulting connection."""

    def __init__(self, host: str, port: int) -> None:
        self.is_cancelled = False
        self.destination = IPv4Address("TCP", host, port)
        self.transport: Transport | None = None

    def disconnect(self) -> None:
        """Close the connection, or cancel the attempt."""
        if self.transport:
            self.transport.loseConnection()
        else:
            self.is_cancelled = True

    stopConnecting = disconnect

    def getDestination(self) -> IPv4Address:
        """Return the address to connect to."""
        return self.destination


class ConnectionAttempt:
    """Steps of one `connectTCP`: the request arrives, is accepted, and the connecting end is started."""

    def __init__(
        self, machine: "Machine", connector: Connector, factory: ClientFactory, timeout: float
    ) -> None:
        self.machine = machine
        self.network = machine.network
        self.connector = connector
        self.factory = factory
        self.timeout = timeout  # seconds after which an unanswered attempt fails

    def arrive(self) -> None:
        """Process the request at the destination host, if it is reachable."""
        network = self.network
        source_host = self.machine.host
        destination_host = self.connector.destination.host
        port = self.connector.destination.port
        is_reachable = not {source_host, destination_host} & network.unreachable_hosts
        if not (
            is_reachable
            and network.is_open(source_host, destination_host)
            and network.is_open(destination_host, source_host)
        ):
            self.machine.callLater(self.timeout, self._fail, TwistedTimeoutError)
            return
        listening = network.ports.get((destination_host, port))
        if listening is None:
            self.machine.callLater(network.draw_latency(), self._fail, TwistedConnectionRefusedError)
        elif listening.is_paused:
            listening.backlog.append(lambda: self._accept(listening))
        else:
            self._accept(listening)

    def _fail(self, kind: type[Exception]) -> None:
        if not self.connector.is_cancelled:
            failure = Failure(kind())  # type: ignore[no-untyped-call]  # Twisted's
            self.factory.clientConnectionFailed(self.connector, failure)  # type: ignore[arg-type]  # IConnector

    def _accept(self, listening: ListeningPort) -> None:
        if self.connector.is_cancelled or not self.machine.is_alive:
            return
        connecting_end = Transport(self.machine, self.connector.destination.host)
        accepting_end = Transport(listening.machine, self.machine.host)
        connecting_end.peer = accepting_end
        accepting_end.peer = connecting_end
        self.network.on_connection(connecting_end, accepting_end)
        self.connector.transport = connecting_end
        if listening.machine.is_frozen:  # the kernel accepts; the process continues when it is resumed
            listening.machine.deferred_calls.append(lambda: self._serve_or_abort(listening, accepting_end))
        elif not self._serve(listening, accepting_end):
            self.machine.callLater(self.network.draw_latency(), self._fail, TwistedConnectionRefusedError)
            return
        self.machine.callLater(self.network.draw_latency(), self._start_client, connecting_end)

    def _serve_or_abort(self, listening: ListeningPort, accepting_end: Transport) -> None:
        if not self._serve(listening, accepting_end):
            accepting_end.abortConnection()

    def _serve(self, listening: ListeningPort, accepting_end: Transport) -> bool:
        """Start the accepting end; return False if its factory makes no protocol."""
        client = IPv4Address("TCP", self.machine.host, 0)
        protocol: Any = listening.factory.buildProtocol(client)  # type: ignore[arg-type]  # IAddress
        if protocol is not None:
            accepting_end.start(protocol)
        return protocol is not None

    def _start_client(self, connecting_end: Transport) -> None:
        protocol: Any = None if self.connector.is_cancelled else self.factory.buildProtocol(None)
        if protocol is None:
            connecting_end.abortConnection()
        else:
            connecting_end.start(protocol)


class ErrorRecorder:
    """Context manager that catches exceptions, as a reactor does, and adds them to the run's errors."""

    def __init__(self, machine: "Machine") -> None:
        self.machine = machine

    def __enter__(self) -> None:
        pass

    def __exit__(self, kind: object, error: BaseException | None, traceback: object) -> bool:
        if not isinstance(error, Exception):
            return False
        network = self.machine.network
        text = f"{network.events.now:.4f} {self.machine.name}: {type(error).__name__} {error}"
        network.errors.append(text)
        return True


class Machine:
    """Reactor of one process; `host` is its address.

    By default, each call and each arrival of bytes is an event of its own. With a `poll_interval`, the
    process polls its sockets at multiples of this time in seconds, as a busy one does: calls and arrivals
    since the last poll are handled together, and a call without delay is made at the next poll.
    """

    running = True

    def __init__(self, network: VirtualNetwork, name: str, host: str, poll_interval: float = 0.0) -> None:
        self.network = network
        self.name = name
        self.host = host
        self.poll_interval = poll_interval
        self.transports = dict[Transport, None]()
        self.is_alive = True
        self.is_stopped = False
        self.is_frozen = False
        self.deferred_calls: list[Callable[[], object]] = []  # calls that became due while frozen

    # Methods of IReactorTime, IReactorTCP, IReactorUDP, and others that a front calls on its reactor.

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.network.events.now

    def callLater(
        self, delay: float, call: Callable[..., object], *args: object, **kwargs: object
    ) -> DelayedCall:
        """Schedule a call after `delay` seconds; it is skipped if the machine is dead by then."""
        due_in = self._delay_to_poll(delay) if self.poll_interval else delay
        return self.network.events.schedule(due_in, lambda: self.run_guarded(call, *args, **kwargs))

    def _delay_to_poll(self, delay: float) -> float:
        """Return the seconds until the first poll that comes after the present one and after `delay`."""
        now = self.network.events.now
        next_poll = math.floor(now / self.poll_interval + POLL_TOLERANCE) + 1
        due_poll = math.ceil((now + delay) / self.poll_interval - POLL_TOLERANCE)
        return max(next_poll, due_poll) * self.poll_interval - now

    def callFromThread(self, call: Callable[..., object], *args: object) -> None:
        """Schedule a call as a later event; there are no threads."""
        self.callLater(0, call, *args)

    def listenTCP(self, port: int, factory: Factory, backlog: int = 50, interface: str = "") -> ListeningPort:
        """Listen on a TCP port; raises AddressTakenError if it is in use."""
        address = interface or self.host, port
        if address in self.network.ports:
            raise AddressTakenError(address)
        listening = ListeningPort(self, *address, factory)
        self.network.ports[address] = listening
        return listening

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float = 30, bindAddress: object = None
    ) -> Connector:
        """Connect to an address; the factory is notified of the outcome."""
        connector = Connector(host, port)
        factory.startedConnecting(connector)  # type: ignore[arg-type]  # IConnector
        attempt = ConnectionAttempt(self, connector, factory, timeout)
        self.network.events.schedule(self.network.draw_latency(), attempt.arrive)
        return connector

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, interface: str = "", maxPacketSize: int = 8192
    ) -> DatagramPort:
        """Receive datagrams on a UDP port; raises AddressTakenError if it is in use."""
        return DatagramPort(self, interface or self.host, port, protocol)

    def addReader(self, reader: object) -> None:
        """Do nothing: there are no descriptors."""

    removeReader = addReader

    def stop(self) -> None:
        """Stop the reactor; the process ends in a later event."""
        self.is_stopped = True
        self.callLater(0, self.kill)

    # State of the process.

    def run_guarded(self, call: Callable[..., object], *args: object, **kwargs: object) -> None:
        """Call a function as this process: deferred if it is frozen, skipped if it is dead."""
        if self.is_frozen:
            self.deferred_calls.append(lambda: self.run_guarded(call, *args, **kwargs))
        elif self.is_alive:
            with ErrorRecorder(self):
                call(*args, **kwargs)

    def freeze(self) -> None:
        """Suspend the process (SIGSTOP); its sockets continue to receive."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Resume the process: run the deferred calls in order, then deliver received data."""
        self.is_frozen = False
        deferred_calls = self.deferred_calls
        self.deferred_calls = []
        for call in deferred_calls:
            call()
        for transport in list(self.transports):
            transport.deliver()

    def kill(self) -> None:
        """Kill the process: its ports close and its connections are reset."""
        self.is_alive = False
        for address in [a for a, port in self.network.ports.items() if port.machine is self]:
            del self.network.ports[address]
        for address in [a for a, port in self.network.datagram_ports.items() if port.machine is self]:
            del self.network.datagram_ports[address]
        for transport in list(self.transports):
            transport.close_with_process()
