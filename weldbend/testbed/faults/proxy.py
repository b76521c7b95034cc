"""The injector on sockets: accepts on one address, connects to another, and carries out an injector's deeds.

Each direction has one queue of deeds and one delayed call for the next; a sender is read no further while too
much of what it sent waits.
"""

import socket
import struct
import time
from collections import deque
from typing import Any

from twisted.internet.interfaces import IAddress, IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import ClientFactory, Factory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.testbed.faults.engine import FaultAction, Injector, Stream, What
from weldbend.testbed.faults.plan import Direction

WAITING = 1 << 20  # bytes that wait in one direction, beyond which its sender is read no further
LINGER = struct.pack("ii", 1, 0)


@implementer(IPushProducer, IHalfCloseableProtocol)
class Side(Connection):
    """One of the two sockets of a pair; what comes here leaves at `other`."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.other: Side | None = None
        self.stream: Stream | None = None  # what happens to bytes that come here
        self.fault_actions: deque[FaultAction] = deque()  # towards this side
        self.early: list[bytes] = []  # came before the other side was up
        self.waiting, self.planned = 0, False
        self.full = self.gone = self.shut = False

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)

    def join(self, other: "Side", stream: Stream) -> None:
        """The other side is up: what came so far goes there."""
        self.other, self.stream = other, stream
        early, self.early = self.early, []
        for data in early:
            self.dataReceived(data)
        if self.shut:
            self.readConnectionLost()

    def dataReceived(self, data: bytes) -> None:
        if self.other and self.stream:
            self.other.plan(self.stream.feed(time.monotonic(), data))
            self.other.press()
        else:
            self.early.append(data)

    def readConnectionLost(self) -> None:
        self.shut = True
        if self.other and self.stream:
            self.other.plan(self.stream.end(time.monotonic()))

    def writeConnectionLost(self) -> None:
        pass

    # Towards this side.

    def plan(self, fault_actions: list[FaultAction]) -> None:
        self.fault_actions.extend(fault_actions)
        self.waiting += sum(len(fault_action.data) for fault_action in fault_actions)
        self.carry_out()

    def carry_out(self) -> None:
        """All that is due, in order, while the socket takes it; then one delayed call for the next."""
        now = time.monotonic()
        while (
            self.fault_actions and not (self.gone or self.full) and self.fault_actions[0].at <= now + 0.0005
        ):
            fault_action = self.fault_actions.popleft()
            self.waiting -= len(fault_action.data)
            self.carry(fault_action)
        if self.fault_actions and not (self.planned or self.gone or self.full):
            self.planned = True
            self.reactor.callLater(max(self.fault_actions[0].at - now, 0.0), self.again)
        self.press()

    def again(self) -> None:
        self.planned = False
        self.carry_out()

    def carry(self, fault_action: FaultAction) -> None:
        transport: Any = self.transport
        match fault_action.what:
            case What.DATA:
                transport.write(fault_action.data)
            case What.END:
                transport.loseWriteConnection()
            case What.RESET:
                for side in (self, self.other):
                    if side and not side.gone and side.transport:
                        end: Any = side.transport
                        end.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
                        end.abortConnection()
            case What.CLOSE:
                for side in (self, self.other):
                    if side and not side.gone and side.transport:
                        end = side.transport
                        end.unregisterProducer()
                        end.loseConnection()

    def press(self) -> None:
        """Hold the sender back while too much waits here."""
        if self.other and not self.other.gone and self.other.transport and not self.other.shut:
            sender: Any = self.other.transport
            (sender.pauseProducing if self.waiting > WAITING else sender.resumeProducing)()

    def pauseProducing(self) -> None:
        self.full = True

    def resumeProducing(self) -> None:
        self.full = False
        self.carry_out()

    def stopProducing(self) -> None:
        self.full = True

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        """One side is gone altogether: the other follows, once it has what was on its way."""
        self.gone = True
        if self.other and not self.other.gone and self.stream and not self.shut:
            self.other.plan([FaultAction(self.stream.clear, What.CLOSE)])


class Dial(ClientFactory):
    noisy = False

    def __init__(self, proxy: "Proxy", near: Side, number: int) -> None:
        self.proxy, self.near, self.number = proxy, near, number

    def buildProtocol(self, addr: IAddress | None) -> Side:
        far = Side(self.proxy.reactor)
        self.proxy.reactor.callLater(0, self.proxy.pair, self.near, far, self.number)
        return far

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        if self.near.transport:
            self.near.transport.loseConnection()


class Proxy(Factory):
    """Listens, and plays an injector's plan on everything that passes to `host:port`."""

    noisy = False

    def __init__(self, reactor: Any, injector: Injector, host: str, port: int) -> None:
        self.reactor, self.injector, self.host, self.port = reactor, injector, host, port
        self.connections = 0

    def buildProtocol(self, addr: IAddress | None) -> Side:
        self.connections += 1
        near = Side(self.reactor)
        self.reactor.connectTCP(self.host, self.port, Dial(self, near, self.connections), timeout=5)
        return near

    def pair(self, near: Side, far: Side, number: int) -> None:
        now = time.monotonic()
        there = self.injector.stream(number, Direction.THERE, now)
        back = self.injector.stream(number, Direction.BACK, now)
        near.other, far.other = far, near
        near.join(far, there)
        far.join(near, back)
        if near.gone and far.transport:
            far.transport.loseConnection()
