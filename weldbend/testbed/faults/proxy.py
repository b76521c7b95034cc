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

from weldbend.testbed.faults.engine import FaultAction, Injector, What
from weldbend.testbed.faults.plan import Direction
from weldbend.testbed.reactor import Reactor

MAX_WAITING = 1 << 20  # bytes that wait in one direction, beyond which its sender is read no further
DUE_EARLY = 0.0005  # seconds before its time at which an action counts as due
DIAL_TIMEOUT = 5  # seconds
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, of no time


class ActionStream(Protocol):
    """Turns the bytes of one direction into actions towards its receiver."""

    clear_at: float  # when all actions so far are done

    def feed(self, now: float, data: bytes) -> list[FaultAction]:
        """Bytes that came."""

    def end(self, now: float) -> list[FaultAction]:
        """The sender has shut down its side."""


@implementer(IPushProducer, IHalfCloseableProtocol)
class Side(Connection):
    """One of the two sockets of a pair; what comes here leaves at `other`."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.other: Side | None = None
        self.stream: ActionStream | None = None  # what happens to bytes that come here
        self.actions: deque[FaultAction] = deque()  # towards this side
        self.early: list[bytes] = []  # what came before the other side was up
        self.waiting = 0  # bytes of the actions
        self.is_scheduled = False  # the next action
        self.is_full = False  # the socket accepts no more for now
        self.is_lost = False
        self.is_read_closed = False

    def connectionMade(self) -> None:
        """The socket is up."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def join(self, other: "Side", stream: ActionStream) -> None:
        """The other side is up: what came so far goes there."""
        self.other = other
        self.stream = stream
        early = self.early
        self.early = []
        for data in early:
            self.dataReceived(data)
        if self.is_read_closed:
            self.readConnectionLost()

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on."""
        if self.other and self.stream:
            self.other.schedule(self.stream.feed(time.monotonic(), data))
            self.other.limit_sender()
        else:
            self.early.append(data)

    def readConnectionLost(self) -> None:
        """The sender has shut down its side."""
        self.is_read_closed = True
        if self.other and self.stream:
            self.other.schedule(self.stream.end(time.monotonic()))

    def writeConnectionLost(self) -> None:
        """Nothing: this side was shut down on purpose."""

    def is_open(self) -> bool:
        """Whether the socket is connected."""
        return not self.is_lost and self.transport is not None

    # Towards this side.

    def schedule(self, actions: list[FaultAction]) -> None:
        """Carry out actions, each at its time and after those before."""
        self.actions.extend(actions)
        self.waiting += sum(len(action.data) for action in actions)
        self._perform_due()

    def _perform_due(self) -> None:
        """All that is due, in order, while the socket accepts it; then one delayed call for the next."""
        now = time.monotonic()
        while self.actions and self._accepts() and self.actions[0].at <= now + DUE_EARLY:
            action = self.actions.popleft()
            self.waiting -= len(action.data)
            self._perform(action)
        if self.actions and self._accepts() and not self.is_scheduled:
            self.is_scheduled = True
            self.reactor.callLater(max(self.actions[0].at - now, 0.0), self._perform_scheduled)
        self.limit_sender()

    def _accepts(self) -> bool:
        return not (self.is_lost or self.is_full)

    def _perform_scheduled(self) -> None:
        self.is_scheduled = False
        self._perform_due()

    def _perform(self, action: FaultAction) -> None:
        transport = self.transport
        match action.what:
            case What.DATA:
                transport.write(action.data)
            case What.END:
                transport.loseWriteConnection()
            case What.RESET:
                self.reset()
                if self.other:
                    self.other.reset()
            case What.CLOSE:
                self.close()
                if self.other:
                    self.other.close()

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
        if self.other and self.other.is_open() and not self.other.is_read_closed:
            sender = self.other.transport
            if self.waiting > MAX_WAITING:
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
        self.is_lost = True
        if self.other and not self.other.is_lost and self.stream and not self.is_read_closed:
            self.other.schedule([FaultAction(self.stream.clear_at, What.CLOSE)])


class ServerConnector(ClientFactory):
    """Connects the far side of one pair."""

    noisy = False

    def __init__(self, proxy: "Proxy", near: Side, number: int) -> None:
        self.proxy = proxy
        self.near = near
        self.number = number

    def buildProtocol(self, addr: IAddress | None) -> Side:
        """The far side is up; the pair is joined in the next iteration, when its transport is."""
        far = Side(self.proxy.reactor)
        self.proxy.reactor.callLater(0, self.proxy.join_sides, self.near, far, self.number)
        return far

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Nobody accepts: the near side is closed."""
        if self.near.transport:
            self.near.transport.loseConnection()


class Proxy(Factory):
    """Listens, and passes everything on to `host:port`, with faults on the way."""

    noisy = False

    def __init__(self, reactor: Reactor, injector: Injector, host: str, port: int) -> None:
        self.reactor = reactor
        self.injector = injector
        self.host = host
        self.port = port
        self.connection_count = 0

    def buildProtocol(self, addr: IAddress | None) -> Side:
        """The near side of a pair."""
        self.connection_count += 1
        near = Side(self.reactor)
        connector = ServerConnector(self, near, self.connection_count)
        self.reactor.connectTCP(self.host, self.port, connector, timeout=DIAL_TIMEOUT)
        return near

    def join_sides(self, near: Side, far: Side, number: int) -> None:
        """Both sides are up: pass on what came and what comes."""
        now = time.monotonic()
        there = self.injector.stream(number, Direction.THERE, now)
        back = self.injector.stream(number, Direction.BACK, now)
        near.other = far
        far.other = near
        near.join(far, there)
        far.join(near, back)
        if near.is_lost and far.transport:
            far.transport.loseConnection()
