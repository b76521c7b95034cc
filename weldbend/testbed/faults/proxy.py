"""The injector on sockets: accepts on one address, connects to another, and carries out fault actions.

Each direction has one queue of actions and one delayed call for the next; a sender is read no further while
too much of what it sent waits.
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

MAX_QUEUED_BYTES = 1 << 20  # bytes that wait in one direction, beyond which its sender is read no further
EARLY_TOLERANCE = 0.0005  # seconds before its time at which an action counts as due
CONNECT_TIMEOUT = 5  # seconds
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, of no time


class ActionStream(Protocol):
    """Turns the bytes of one direction into actions towards its receiver."""

    last_action_at: float  # when all actions so far are done

    def feed(self, now: float, data: bytes) -> list[FaultAction]:
        """Bytes that came."""

    def end(self, now: float) -> list[FaultAction]:
        """The sender has shut down its side."""


@implementer(IPushProducer, IHalfCloseableProtocol)
class ProxySide(Connection):
    """One of the two sockets of a pair; what comes here leaves at `peer`."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.peer: ProxySide | None = None
        self.stream: ActionStream | None = None  # what happens to bytes that come here
        self.actions: deque[FaultAction] = deque()  # towards this side
        self.received_early: list[bytes] = []  # what came before the other side was up
        self.queued_bytes = 0  # bytes of the actions
        self.is_scheduled = False  # the next action
        self.is_full = False  # the socket accepts no more for now
        self.is_closed = False
        self.is_read_closed = False

    def connectionMade(self) -> None:
        """The socket is up."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def join(self, peer: "ProxySide", stream: ActionStream) -> None:
        """The other side is up: what came so far goes there."""
        self.peer = peer
        self.stream = stream
        early = self.received_early
        self.received_early = []
        for data in early:
            self.dataReceived(data)
        if self.is_read_closed:
            self.readConnectionLost()

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on."""
        if self.peer and self.stream:
            self.peer.schedule(self.stream.feed(time.monotonic(), data))
            self.peer.limit_sender()
        else:
            self.received_early.append(data)

    def readConnectionLost(self) -> None:
        """The sender has shut down its side."""
        self.is_read_closed = True
        if self.peer and self.stream:
            self.peer.schedule(self.stream.end(time.monotonic()))

    def writeConnectionLost(self) -> None:
        """Nothing: this side was shut down on purpose."""

    def is_open(self) -> bool:
        """Whether the socket is connected."""
        return not self.is_closed and self.transport is not None

    # Towards this side.

    def schedule(self, actions: list[FaultAction]) -> None:
        """Carry out actions, each at its time and after those before."""
        self.actions.extend(actions)
        self.queued_bytes += sum(len(action.data) for action in actions)
        self._perform_due()

    def _perform_due(self) -> None:
        """All that is due, in order, while the socket accepts it; then one delayed call for the next."""
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
        """End the connection with a reset."""
        if self.is_open():
            transport = self.transport
            transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            transport.abortConnection()

    def close(self) -> None:
        """End the connection after what was written."""
        if self.is_open():
            transport = self.transport
            transport.unregisterProducer()
            transport.loseConnection()

    def limit_sender(self) -> None:
        """Read no further from the sender while too much waits here."""
        if self.peer and self.peer.is_open() and not self.peer.is_read_closed:
            sender = self.peer.transport
            if self.queued_bytes > MAX_QUEUED_BYTES:
                sender.pauseProducing()
            else:
                sender.resumeProducing()

    def pauseProducing(self) -> None:
        """The socket's buffer is full."""
        self.is_full = True

    def resumeProducing(self) -> None:
        """The socket's buffer has room again."""
        self.is_full = False
        self._perform_due()

    def stopProducing(self) -> None:
        """The socket takes no more."""
        self.is_full = True

    def connectionLost(self, reason: Failure | None = None) -> None:
        """This side is closed: the other follows, once it has what was in transit."""
        self.is_closed = True
        if self.peer and not self.peer.is_closed and self.stream and not self.is_read_closed:
            self.peer.schedule([FaultAction(self.stream.last_action_at, ActionKind.CLOSE)])


class ServerConnector(ClientFactory):
    """Connects the far side of one pair."""

    noisy = False

    def __init__(self, proxy: "Proxy", client_side: ProxySide, number: int) -> None:
        self.proxy = proxy
        self.client_side = client_side
        self.number = number

    def buildProtocol(self, addr: IAddress | None) -> ProxySide:
        """The far side is up; the pair is joined in the next iteration, when its transport is."""
        server_side = ProxySide(self.proxy.reactor)
        self.proxy.reactor.callLater(0, self.proxy.join_sides, self.client_side, server_side, self.number)
        return server_side

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Nobody accepts: the near side is closed."""
        if self.client_side.transport:
            self.client_side.transport.loseConnection()


class Proxy(Factory):
    """Listens, and passes everything on to `host:port`, with faults on the way."""

    noisy = False

    def __init__(self, reactor: Reactor, injector: Injector, host: str, port: int) -> None:
        self.reactor = reactor
        self.injector = injector
        self.host = host
        self.port = port
        self.connection_count = 0

    def buildProtocol(self, addr: IAddress | None) -> ProxySide:
        """The near side of a pair."""
        self.connection_count += 1
        client_side = ProxySide(self.reactor)
        connector = ServerConnector(self, client_side, self.connection_count)
        self.reactor.connectTCP(self.host, self.port, connector, timeout=CONNECT_TIMEOUT)
        return client_side

    def join_sides(self, client_side: ProxySide, server_side: ProxySide, number: int) -> None:
        """Both sides are up: pass on what came and what comes."""
        now = time.monotonic()
        there = self.injector.stream(number, Direction.TO_SERVER, now)
        back = self.injector.stream(number, Direction.TO_CLIENT, now)
        client_side.peer = server_side
        server_side.peer = client_side
        client_side.join(server_side, there)
        server_side.join(client_side, back)
        if client_side.is_closed and server_side.transport:
            server_side.transport.loseConnection()
