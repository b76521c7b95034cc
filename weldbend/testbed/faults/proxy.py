"""Proxy that forwards connections to another address and injects faults into their traffic.

Each direction has a queue of actions and one delayed call for the next action. Reading from a sender is
paused while too many of its bytes are queued.
"""

import socket
import struct
import time
from collections import deque
from typing import Any, Protocol

from twisted.internet.interfaces import IAddress, IConnector, IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import ClientFactory, Factory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.testbed.faults.engine import ActionKind, FaultAction, Injector
from weldbend.testbed.faults.plan import Direction
from weldbend.testbed.reactor import Reactor

MAX_QUEUED_BYTES = 1 << 20  # queued in one direction, above which reading from its sender is paused
EARLY_TOLERANCE = 0.0005  # seconds; an action counts as due this long before its time
CONNECT_TIMEOUT = 5  # seconds
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on with a timeout of 0: close sends a reset


class ActionStream(Protocol):
    """Turns the bytes of one direction into actions on the receiver's side."""

    last_action_at: float  # time of the last action so far

    def feed(self, now: float, data: bytes) -> list[FaultAction]:
        """Process received bytes; return the resulting actions."""

    def end(self, now: float) -> list[FaultAction]:
        """Process the end of the sender's stream; return the resulting actions."""


@implementer(IPushProducer, IHalfCloseableProtocol)
class ProxySide(Connection):
    """One of the two connections of a proxied pair; received bytes are forwarded to `peer`."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.peer: ProxySide | None = None
        self.stream: ActionStream | None = None  # faults on bytes received here
        self.actions: deque[FaultAction] = deque()  # queued actions on this side
        self.received_early: list[bytes] = []  # bytes received before the other side was connected
        self.queued_bytes = 0  # bytes of the queued actions
        self.is_scheduled = False  # whether a delayed call for the next action is pending
        self.is_full = False  # the socket's send buffer is full
        self.is_closed = False
        self.is_read_closed = False

    def connectionMade(self) -> None:
        """Register as the producer of the new connection."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def join(self, peer: "ProxySide", stream: ActionStream) -> None:
        """Connect to the other side, and forward what was received so far."""
        self.peer = peer
        self.stream = stream
        early = self.received_early
        self.received_early = []
        for data in early:
            self.dataReceived(data)
        if self.is_read_closed:
            self.readConnectionLost()

    def dataReceived(self, data: bytes) -> None:
        """Forward received bytes, with faults."""
        if self.peer and self.stream:
            self.peer.schedule(self.stream.feed(time.monotonic(), data))
            self.peer.limit_sender()
        else:
            self.received_early.append(data)

    def readConnectionLost(self) -> None:
        """Forward the end of the sender's stream."""
        self.is_read_closed = True
        if self.peer and self.stream:
            self.peer.schedule(self.stream.end(time.monotonic()))

    def writeConnectionLost(self) -> None:
        """Ignore the event: this side was half-closed by an action."""

    def is_open(self) -> bool:
        """Return whether the socket is connected."""
        return not self.is_closed and self.transport is not None

    # Sending to this side.

    def schedule(self, actions: list[FaultAction]) -> None:
        """Queue actions; each is performed at its time and after the preceding ones."""
        self.actions.extend(actions)
        self.queued_bytes += sum(len(action.data) for action in actions)
        self._perform_due()

    def _perform_due(self) -> None:
        """Perform the due actions in order while the socket accepts data, then schedule the next one."""
        now = time.monotonic()
        while self.actions and self._accepts() and self.actions[0].at <= now + EARLY_TOLERANCE:
            action = self.actions.popleft()
            self.queued_bytes -= len(action.data)
            self._perform(action)
        if self.actions and self._accepts() and not self.is_scheduled:
            self.is_scheduled = True
            self.reactor.callLater(max(self.actions[0].at - now, 0.0), self._perform_scheduled)
        self.limit_sender()

    def _accepts(self) -> bool:
        return not (self.is_closed or self.is_full)

    def _perform_scheduled(self) -> None:
        self.is_scheduled = False
        self._perform_due()

    def _perform(self, action: FaultAction) -> None:
        transport = self.transport
        match action.kind:
            case ActionKind.DATA:
                transport.write(action.data)
            case ActionKind.END:
                transport.loseWriteConnection()
            case ActionKind.RESET:
                self.reset()
                if self.peer:
                    self.peer.reset()
            case ActionKind.CLOSE:
                self.close()
                if self.peer:
                    self.peer.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self.is_open():
            transport = self.transport
            transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            transport.abortConnection()

    def close(self) -> None:
        """Close the connection after sending what was written."""
        if self.is_open():
            transport = self.transport
            transport.unregisterProducer()
            transport.loseConnection()

    def limit_sender(self) -> None:
        """Pause reading from the sender while too many bytes are queued here."""
        if self.peer and self.peer.is_open() and not self.peer.is_read_closed:
            sender = self.peer.transport
            if self.queued_bytes > MAX_QUEUED_BYTES:
                sender.pauseProducing()
            else:
                sender.resumeProducing()

    def pauseProducing(self) -> None:
        """Stop performing actions: the socket's send buffer is full."""
        self.is_full = True

    def resumeProducing(self) -> None:
        """Continue with the queued actions: the socket's send buffer has room again."""
        self.is_full = False
        self._perform_due()

    def stopProducing(self) -> None:
        """Stop performing actions: the socket accepts no more data."""
        self.is_full = True

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Close the other side after the actions that are queued for it."""
        self.is_closed = True
        if self.peer and not self.peer.is_closed and self.stream and not self.is_read_closed:
            self.peer.schedule([FaultAction(self.stream.last_action_at, ActionKind.CLOSE)])


class ServerConnector(ClientFactory):
    """Connects the server side of one pair."""

    noisy = False

    def __init__(self, proxy: "Proxy", client_side: ProxySide, number: int) -> None:
        self.proxy = proxy
        self.client_side = client_side
        self.number = number

    def buildProtocol(self, addr: IAddress | None) -> ProxySide:
        """Create the server side; the pair is joined in the next iteration, when it has a transport."""
        server_side = ProxySide(self.proxy.reactor)
        self.proxy.reactor.callLater(0, self.proxy.join_sides, self.client_side, server_side, self.number)
        return server_side

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Close the client side, as the server does not accept the connection."""
        if self.client_side.transport:
            self.client_side.transport.loseConnection()


class Proxy(Factory):
    """Accepts connections and forwards their traffic to `host:port`, with injected faults."""

    noisy = False

    def __init__(self, reactor: Reactor, injector: Injector, host: str, port: int) -> None:
        self.reactor = reactor
        self.injector = injector
        self.host = host
        self.port = port
        self.connection_count = 0

    def buildProtocol(self, addr: IAddress | None) -> ProxySide:
        """Create the client side of a pair, and connect to the server."""
        self.connection_count += 1
        client_side = ProxySide(self.reactor)
        connector = ServerConnector(self, client_side, self.connection_count)
        self.reactor.connectTCP(self.host, self.port, connector, timeout=CONNECT_TIMEOUT)
        return client_side

    def join_sides(self, client_side: ProxySide, server_side: ProxySide, number: int) -> None:
        """Join both sides of a pair, and forward the bytes received so far."""
        now = time.monotonic()
        to_server = self.injector.stream(number, Direction.TO_SERVER, now)
        to_client = self.injector.stream(number, Direction.TO_CLIENT, now)
        client_side.peer = server_side
        server_side.peer = client_side
        client_side.join(server_side, to_server)
        server_side.join(client_side, to_client)
        if client_side.is_closed and server_side.transport:
            server_side.transport.loseConnection()
