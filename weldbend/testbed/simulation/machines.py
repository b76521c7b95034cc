"""Virtual time, machines and network: what Twisted's reactor is to a front, in memory and repeatable.

Everything that happens is an entry of one heap, ordered by time and then by when it was planned. A machine
is a reactor of its own: killed, nothing of it happens any more, and its peers are told as a real network
would tell them. Bytes arrive in order, split and delayed by chance drawn from the run's seed.
"""

import hashlib
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
    UserError,
)
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure

from weldbend.testbed.faults.engine import FaultAction, Stream, What

WINDOW = 1 << 17  # bytes on their way or unread, beyond which a sender is held back
EPOCH = 1_700_000_000.0  # Unix seconds at the virtual start


class Later:
    """One delayed call, as `IDelayedCall` has it."""

    __slots__ = ("call", "time")

    def __init__(self, time: float, call: Callable[[], object] | None) -> None:
        self.time, self.call = time, call

    def active(self) -> bool:
        return self.call is not None

    def cancel(self) -> None:
        self.call = None

    def getTime(self) -> float:
        return self.time


class World:
    """Clock, heap and network of one run."""

    def __init__(self, seed: int) -> None:
        self.now, self.order = 0.0, itertools.count()
        self.heap: list[tuple[float, int, Later]] = []
        self.chance = random.Random(seed)
        self.ports: dict[tuple[str, int], Port] = {}
        self.lost: set[str] = set()  # addresses that say nothing any more
        self.cut: set[tuple[str, str]] = set()  # (from, to): nothing passes until it is mended
        self.slow: dict[tuple[str, str], float] = {}  # seconds on top
        self.lossy: dict[tuple[str, str], float] = {}  # of datagrams: the share that is lost
        self.doubled: dict[tuple[str, str], float] = {}  # and the share that comes twice
        self.ears: dict[tuple[str, int], tuple[Machine, Any]] = {}  # who hears datagrams where
        self.events = 0
        self.watch: Callable[[Transport, Transport], None] = lambda near, far: None  # told of each connection
        self.faults: list[str] = []  # exceptions out of protocols: a real reactor would log them
        self.connections = itertools.count(1)
        self._bytes = hashlib.sha256()

    def record_bytes(self, path: str, data: bytes) -> None:
        """Add bytes that go on their way now to the digest; no name of the program's code enters it."""
        self._bytes.update(f"{self.now!r} {path} {len(data)}\n".encode() + data)

    def byte_digest(self) -> str:
        """Digest of all bytes sent so far on every connection and in every datagram, with their times."""
        return self._bytes.hexdigest()

    def unix(self) -> float:
        return EPOCH + self.now

    def plan(self, delay: float, call: Callable[[], object]) -> Later:
        later = Later(self.now + max(delay, 0.0), call)
        heapq.heappush(self.heap, (later.time, next(self.order), later))
        return later

    def run(self, until: float) -> None:
        """Let everything happen that is due up to a moment (seconds since the start)."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, later = heapq.heappop(self.heap)
            call, later.call = later.call, None
            if call:
                self.events += 1
                call()
        self.now = until

    def latency(self) -> float:
        return 0.0002 + 0.0008 * self.chance.random()

    def passes(self, one: str, other: str) -> bool:
        return (one, other) not in self.cut

    def mend(self, ways: set[tuple[str, str]], machines: Iterable["Machine"]) -> None:
        """Ways are open again: what was held up on them comes now, as retransmitted."""
        self.cut -= ways
        for machine in machines:
            for transport in list(machine.transports):
                transport.unstick()


class FakeSocket:
    def setsockopt(self, *_: Any) -> None:
        pass


class Port:
    """A listening port."""

    def __init__(self, machine: "Machine", host: str, port: int, factory: Any) -> None:
        self.machine, self.address, self.factory = machine, (host, port), factory
        self.resting, self.queue = False, deque[Callable[[], None]]()
        self.socket, self.numberAccepts = FakeSocket(), 1

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", *self.address)

    def pauseProducing(self) -> None:
        self.resting = True

    def resumeProducing(self) -> None:
        self.resting = False
        while self.queue and not self.resting:
            self.queue.popleft()()

    def doRead(self) -> None:
        while self.queue:
            self.queue.popleft()()

    def stopListening(self) -> None:
        self.machine.world.ports.pop(self.address, None)
        self.queue.clear()


class Connector:
    def __init__(self, host: str, port: int) -> None:
        self.given_up, self.there = False, IPv4Address("TCP", host, port)
        self.transport: Transport | None = None

    def disconnect(self) -> None:
        if self.transport:
            self.transport.loseConnection()
        else:
            self.given_up = True

    stopConnecting = disconnect

    def getDestination(self) -> IPv4Address:
        return self.there


class Machine:
    """One reactor. `host` is its address; protocols see it as Twisted's."""

    running = True

    def __init__(self, world: World, name: str, host: str) -> None:
        self.world, self.name, self.host = world, name, host
        self.alive, self.transports = True, dict[Transport, None]()
        self.stopped = self.frozen = False
        self.backlog: list[Callable[[], object]] = []  # what came due while it was frozen

    # IReactorTime, IReactorTCP and what else a front asks of its reactor.

    def seconds(self) -> float:
        return self.world.now

    def callLater(self, delay: float, call: Callable[..., object], *args: Any, **held: Any) -> Later:
        return self.world.plan(delay, lambda: self.guard(call, *args, **held))

    def callFromThread(self, call: Callable[..., object], *args: Any) -> None:
        self.callLater(0, call, *args)

    def guard(self, call: Callable[..., object], *args: Any, **held: Any) -> None:
        """A fault in one call ends that call only, and is kept for the verdict."""
        if self.frozen:
            self.backlog.append(lambda: self.guard(call, *args, **held))
        elif self.alive:
            try:
                call(*args, **held)
            except Exception as wrong:
                self.world.faults.append(f"{self.world.now:.4f} {self.name}: {type(wrong).__name__} {wrong}")

    def freeze(self) -> None:
        """Nothing of this process runs any more (SIGSTOP); its sockets go on taking what comes."""
        self.frozen = True

    def thaw(self) -> None:
        """What was due comes now, in its order, and then what its sockets hold."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for call in backlog:
            call()
        for transport in list(self.transports):
            transport.drain()

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> "Ear":
        return Ear(self, interface or self.host, port, protocol)

    def addReader(self, reader: Any) -> None:
        pass

    removeReader = addReader

    def stop(self) -> None:
        self.stopped = True
        self.callLater(0, self.kill)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:
        address = interface or self.host, port
        if address in self.world.ports:
            raise UserError(f"{address} is taken")
        self.world.ports[address] = made = Port(self, *address, factory)
        return made

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> Connector:
        connector = Connector(host, port)

        def failed(kind: type[Exception]) -> None:
            if not connector.given_up:
                factory.clientConnectionFailed(connector, Failure(kind()))

        def arrive() -> None:
            world, ways = self.world, ((self.host, host), (host, self.host))
            if host in world.lost or self.host in world.lost or not all(world.passes(*w) for w in ways):
                self.callLater(timeout, failed, TimeoutError)
                return
            held = self.world.ports.get((host, port))
            if held is None:
                self.callLater(self.world.latency(), failed, ConnectionRefusedError)
            elif held.resting:
                held.queue.append(lambda: accept(held))
            else:
                accept(held)

        def accept(held: Port) -> None:
            if connector.given_up or not self.alive:
                return
            near, far = Transport(self, host), Transport(held.machine, self.host)
            near.peer, far.peer = far, near
            self.world.watch(near, far)
            connector.transport = near
            if held.machine.frozen:  # its system accepts; the process hears of it later
                held.machine.backlog.append(lambda: serve(held, far) or far.abortConnection())
            elif not serve(held, far):
                self.callLater(self.world.latency(), failed, ConnectionRefusedError)
                return
            self.callLater(self.world.latency(), up, near)

        def serve(held: Port, far: Transport) -> bool:
            server = held.factory.buildProtocol(IPv4Address("TCP", self.host, 0))
            if server is not None:
                far.start(server)
            return server is not None

        def up(near: "Transport") -> None:
            client = None if connector.given_up else factory.buildProtocol(None)
            if client is None:
                near.abortConnection()
            else:
                near.start(client)

        factory.startedConnecting(connector)
        self.world.plan(self.world.latency(), arrive)
        return connector

    def kill(self) -> None:
        """The process dies: its ports close, its connections are reset."""
        self.alive = False
        for address in [a for a, port in self.world.ports.items() if port.machine is self]:
            del self.world.ports[address]
        for address in [a for a, (machine, _) in self.world.ears.items() if machine is self]:
            del self.world.ears[address]
        for transport in list(self.transports):
            transport.die()


class Ear:
    """A port for datagrams, and the transport of who hears there."""

    HELD = 64  # that a frozen process's socket holds

    def __init__(self, machine: Machine, host: str, port: int, protocol: Any) -> None:
        self.machine, self.world, self.address, self.protocol = machine, machine.world, (host, port), protocol
        if self.address in self.world.ears:
            raise UserError(f"{self.address} is taken")
        self.world.ears[self.address] = machine, self
        self.waiting = 0
        protocol.transport = self

    def write(self, data: bytes, to: tuple[str, int]) -> None:
        """One datagram: lost, doubled, late or out of order as the way has it."""
        world, way = self.world, (self.machine.host, to[0])
        world.record_bytes(f"datagram {self.machine.host}>{to[0]}:{to[1]}", data)
        if not world.passes(*way) or world.chance.random() < world.lossy.get(way, 0.0):
            return
        for _ in range(1 + (world.chance.random() < world.doubled.get(way, 0.01))):
            delay = world.latency() + world.slow.get(way, 0.0) * (0.5 + world.chance.random())
            world.plan(delay, lambda: self.arrive(data, to))

    def arrive(self, data: bytes, to: tuple[str, int]) -> None:
        machine, ear = self.world.ears.get(to, (None, None))
        if machine is None or ear is None or (machine.frozen and ear.waiting >= self.HELD):
            return
        ear.waiting += machine.frozen
        machine.guard(ear.hear, data, (self.machine.host, self.address[1]))

    def hear(self, data: bytes, sender: tuple[str, int]) -> None:
        self.waiting = 0
        self.protocol.datagramReceived(data, sender)

    def stopListening(self) -> None:
        self.world.ears.pop(self.address, None)


class Transport:
    """One end of a connection in memory."""

    def __init__(self, machine: Machine, peer_host: str) -> None:
        self.machine, self.world, self.peer_host = machine, machine.world, peer_host
        self.number = next(self.world.connections)
        self.peer: Transport | None = None
        self.protocol: Any = None
        self.producer: Any = None
        self.paused = self.disconnecting = self.ended = self.shut = self.held_back = False
        self.coming: deque[bytes | None] = deque()  # arrived and unread; none is the end
        self.unread = 0  # bytes on their way here, or unread
        self.arrives = 0.0  # when the last of them arrives
        self.waiting: list[bytes] = []
        self.tap: Callable[[bytes], None] | None = None  # sees what goes on its way from this end
        self.stream: Stream | None = None  # what an injector does to it before
        self.stuck: list[bytes | None] = []  # held up on a way that is cut
        machine.transports[self] = None

    connected = property(lambda self: not self.ended)

    def start(self, protocol: Any) -> None:
        self.protocol = protocol
        self.machine.guard(protocol.makeConnection, self)
        self.drain()

    # What protocols ask of a transport.

    def write(self, data: bytes) -> None:
        if self.ended or self.shut or not data or not self.peer:
            return
        data = bytes(data)
        if self.stream:
            self.carry_out(self.stream.feed(self.world.now, data))
        else:
            self.hand_over(data)

    def hand_over(self, data: bytes) -> None:
        """Bytes that go on their way now, in pieces as chance has it."""
        self.world.record_bytes(f"{self.number} {self.machine.host}>{self.peer_host}", data)
        if self.tap:
            self.tap(data)
        assert self.peer
        peer, chance = self.peer, self.world.chance
        peer.unread += len(data)
        while data:
            cut = len(data) if chance.random() < 0.7 else chance.randint(1, len(data))
            self.send(data[:cut])
            data = data[cut:]
        if peer.unread > WINDOW and self.producer and not self.held_back:
            self.held_back = True
            self.producer.pauseProducing()

    def carry_out(self, fault_actions: list[FaultAction]) -> None:
        """What an injector makes of bytes written here, each at its time."""
        for fault_action in fault_actions:
            self.world.plan(
                fault_action.at - self.world.now, lambda fault_action=fault_action: self.carry(fault_action)
            )  # type: ignore[misc]

    def carry(self, fault_action: FaultAction) -> None:
        if self.ended or not self.peer or self.peer.ended:
            return
        match fault_action.what:
            case What.DATA:
                self.hand_over(fault_action.data)
            case What.END:
                self.send(None)
            case What.RESET:
                self.peer.abortConnection()
                self.abortConnection()
            case What.CLOSE:
                self.send(None)
                self.machine.callLater(0, self.lose, ConnectionDone)

    def send(self, piece: bytes | None) -> None:
        peer = self.peer
        assert peer
        slow = self.world.slow.get((self.machine.host, self.peer_host), 0.0)
        peer.arrives = max(peer.arrives, self.world.now + self.world.latency() + slow)
        self.world.plan(peer.arrives - self.world.now, lambda: peer.arrive(piece))

    def writeSequence(self, pieces: list[bytes]) -> None:
        self.write(b"".join(pieces))

    def doWrite(self) -> None:
        pass  # what is written has left

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def setTcpKeepAlive(self, on: bool) -> None:
        pass

    def getPeer(self) -> IPv4Address:
        return IPv4Address("TCP", self.peer_host, 0)

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", self.machine.host, 0)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        if self.paused:
            self.paused = False
            self.machine.callLater(0, self.drain)

    stopProducing = pauseProducing

    def loseWriteConnection(self) -> None:
        if not (self.shut or self.ended):
            self.shut = True
            self.send(None)

    def loseConnection(self, reason: Any = None) -> None:
        if not (self.disconnecting or self.ended):
            self.disconnecting = True
            self.loseWriteConnection()
            self.machine.callLater(0, self.lose, ConnectionDone)

    def abortConnection(self) -> None:
        if not self.ended:
            self.disconnecting = True
            self.reset_peer()
            self.machine.callLater(0, self.lose, ConnectionLost)

    def reset_peer(self) -> None:
        if self.peer and not self.peer.ended and self.world.passes(self.machine.host, self.peer_host):
            peer = self.peer
            self.world.plan(self.world.latency(), lambda: peer.machine.guard(peer.lose, ConnectionLost))

    def die(self) -> None:
        """Its process is gone: no protocol hears of it, the other end is reset."""
        if not self.ended:
            self.reset_peer()
            self.ended = True

    # What the network does.

    def arrive(self, piece: bytes | None) -> None:
        if self.ended:
            if piece and self.peer and not self.peer.ended:  # nobody is there any more
                self.reset_peer()
            return
        if self.machine.host in self.world.lost or self.peer_host in self.world.lost:
            return
        if self.stuck or not self.world.passes(self.peer_host, self.machine.host):
            self.stuck.append(piece)
            return
        self.coming.append(piece)
        self.drain()

    def unstick(self) -> None:
        if self.stuck and self.world.passes(self.peer_host, self.machine.host):
            stuck, self.stuck = self.stuck, []
            for piece in stuck:
                self.arrive(piece)

    def drain(self) -> None:
        if self.machine.frozen:
            return
        while self.coming and not (self.paused or self.ended) and self.protocol is not None:
            piece = self.coming.popleft()
            if piece is None:
                self.hear_end()
                return
            self.unread -= len(piece)
            self.machine.guard(self.protocol.dataReceived, piece)
            sender = self.peer
            if sender and sender.held_back and self.unread < WINDOW // 2:
                sender.held_back = False
                if sender.producer:
                    sender.machine.callLater(self.world.latency(), sender.resume)

    def resume(self) -> None:
        if self.producer and not (self.held_back or self.ended):
            self.producer.resumeProducing()

    def hear_end(self) -> None:
        if IHalfCloseableProtocol.providedBy(self.protocol):
            self.machine.guard(self.protocol.readConnectionLost)
        else:
            self.loseConnection()

    def lose(self, kind: type[Exception]) -> None:
        if not self.ended:
            self.ended = True
            self.machine.transports.pop(self, None)
            if self.protocol is not None:
                self.machine.guard(self.protocol.connectionLost, Failure(kind()))
