"""Connections of the virtual network: each end is a transport as used by Twisted protocols.

Bytes arrive in order, split and delayed at random. A sender whose bytes are not read is paused, as with a
full socket buffer.
"""

import typing
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from weldbend.testbed.faults.engine import ActionKind, FaultAction, Stream

if TYPE_CHECKING:  # for annotations only: that module imports this one
    from weldbend.testbed.simulation.machine import Machine

SEND_WINDOW = 1 << 17  # bytes in transit or unread, above which the sender is paused
SINGLE_PIECE_PROBABILITY = 0.7  # probability that the rest of a write arrives in one piece


class Producer(typing.Protocol):
    """Producer that a transport pauses while its peer does not read."""

    def pauseProducing(self) -> None:
        """Pause producing."""

    def resumeProducing(self) -> None:
        """Resume producing."""


class Transport:
    """One end of an in-memory connection; a piece of None marks the end of the peer's stream."""

    def __init__(self, machine: "Machine", peer_host: str) -> None:
        self.machine = machine
        self.network = machine.network
        self.peer_host = peer_host
        self.number = next(self.network.connection_numbers)
        self.peer: Transport | None = None
        self.protocol: Protocol | None = None
        self.producer: Producer | None = None
        self.is_reading_paused = False
        self.disconnecting = False  # the name is Twisted's
        self.is_closed = False
        self.is_write_closed = False
        self.is_producer_paused = False
        self.received_pieces: deque[bytes | None] = deque()  # unread pieces
        self.unread = 0  # bytes in transit to this end, or unread
        self.last_arrival = 0.0  # time at which the last piece in transit arrives
        self.delayed_pieces: list[bytes | None] = []  # pieces held back on a blocked path
        self.tap: Callable[[bytes], None] | None = None  # receives the bytes that this end sends
        self.read_tap: Callable[[bytes], None] | None = None  # receives what this end's protocol reads
        self.fault_stream: Stream | None = None  # injects faults into the bytes written here
        self.on_close: Callable[[], None] | None = None  # called before the protocol is notified of the end
        self.on_end: Callable[[], None] | None = None  # called once, when this end starts to close
        machine.transports[self] = None

    connected = property(lambda self: not self.is_closed)

    def start(self, protocol: Protocol) -> None:
        """Connect the protocol of this end and deliver the received bytes."""
        self.protocol = protocol
        self.machine.run_guarded(protocol.makeConnection, self)
        self.deliver()

    # Methods that protocols call on a transport.

    def write(self, data: bytes) -> None:
        """Send bytes; does nothing on a closed connection."""
        if self.is_closed or self.is_write_closed or not data or not self.peer:
            return
        data = bytes(data)
        if self.fault_stream:
            self.schedule_fault_actions(self.fault_stream.feed(self.network.events.now, data))
        else:
            self._send(data)

    def writeSequence(self, pieces: list[bytes]) -> None:
        """Send several pieces as one write."""
        self.write(b"".join(pieces))

    def doWrite(self) -> None:
        """Do nothing: written bytes are sent immediately."""

    def setTcpNoDelay(self, on: bool) -> None:
        """Do nothing: writes are never delayed to be combined."""

    def setTcpKeepAlive(self, on: bool) -> None:
        """Do nothing: there are no keep-alive probes."""

    def getPeer(self) -> IPv4Address:
        """Return the address of the other end, without its port."""
        return IPv4Address("TCP", self.peer_host, 0)

    def getHost(self) -> IPv4Address:
        """Return the address of this end, without its port."""
        return IPv4Address("TCP", self.machine.host, 0)

    def registerProducer(self, producer: Producer, streaming: bool) -> None:
        """Set the producer, which is paused while the peer does not read."""
        self.producer = producer

    def unregisterProducer(self) -> None:
        """Remove the producer."""
        self.producer = None

    def pauseProducing(self) -> None:
        """Stop reading."""
        self.is_reading_paused = True

    def resumeProducing(self) -> None:
        """Resume reading, in a later event."""
        if self.is_reading_paused:
            self.is_reading_paused = False
            self.machine.callLater(0, self.deliver)

    stopProducing = pauseProducing

    def loseWriteConnection(self) -> None:
        """Half-close the connection: send the end of the stream after the written bytes."""
        if not (self.is_write_closed or self.is_closed):
            self._report_end()
            self.is_write_closed = True
            self._send_piece(None)

    def loseConnection(self, reason: object = None) -> None:
        """Close both sides after sending the written bytes."""
        if not (self.disconnecting or self.is_closed):
            self.disconnecting = True
            self.loseWriteConnection()
            self.machine.callLater(0, self.close, ConnectionDone)

    def abortConnection(self) -> None:
        """Close both sides at once, with a reset."""
        if not self.is_closed:
            self._report_end()
            self.disconnecting = True
            self._reset_peer()
            self.machine.callLater(0, self.close, ConnectionLost)

    def _report_end(self) -> None:
        """Report, once, that this end sends nothing more."""
        on_end = self.on_end
        self.on_end = None
        if on_end:
            on_end()

    # Sending.

    def _send(self, data: bytes) -> None:
        """Send bytes now, in pieces of random size."""
        self.network.record_bytes(f"{self.number} {self.machine.host}>{self.peer_host}", data)
        if self.tap:
            self.tap(data)
        assert self.peer
        peer = self.peer
        random = self.network.random
        peer.unread += len(data)
        while data:
            size = len(data) if random.random() < SINGLE_PIECE_PROBABILITY else random.randint(1, len(data))
            self._send_piece(data[:size])
            data = data[size:]
        if peer.unread > SEND_WINDOW and self.producer and not self.is_producer_paused:
            self.is_producer_paused = True
            self.producer.pauseProducing()

    def _send_piece(self, piece: bytes | None) -> None:
        peer = self.peer
        assert peer
        events = self.network.events
        extra = self.network.extra_delay.get((self.machine.host, self.peer_host), 0.0)
        peer.last_arrival = max(peer.last_arrival, events.now + self.network.draw_latency() + extra)
        events.schedule(peer.last_arrival - events.now, lambda: peer.receive_piece(piece))

    def schedule_fault_actions(self, actions: list[FaultAction]) -> None:
        """Schedule the actions that an injector returned for bytes written here."""

        def schedule(action: FaultAction) -> None:
            events = self.network.events
            events.schedule(action.at - events.now, lambda: self._perform(action))

        for action in actions:
            schedule(action)

    def _perform(self, action: FaultAction) -> None:
        if self.is_closed or not self.peer or self.peer.is_closed:
            return
        match action.kind:
            case ActionKind.DATA:
                self._send(action.data)
            case ActionKind.END:
                self._send_piece(None)
            case ActionKind.RESET:
                self.peer.abortConnection()
                self.abortConnection()
            case ActionKind.CLOSE:
                self._send_piece(None)
                self.machine.callLater(0, self.close, ConnectionDone)

    def _reset_peer(self) -> None:
        peer = self.peer
        if peer and not peer.is_closed and self.network.is_open(self.machine.host, self.peer_host):
            self.network.events.schedule(
                self.network.draw_latency(), lambda: peer.machine.run_guarded(peer.close, ConnectionLost)
            )

    # Methods that the network and the machine call.

    def close_with_process(self) -> None:
        """Close without notifying the protocol, whose process has died; the other end is reset."""
        if not self.is_closed:
            self._report_end()
            self._reset_peer()
            self.is_closed = True

    def receive_piece(self, piece: bytes | None) -> None:
        """Process a piece that arrives from the network."""
        if self.is_closed:  # data for a closed end resets the sender
            if piece and self.peer and not self.peer.is_closed:
                self._reset_peer()
            return
        unreachable = self.network.unreachable_hosts
        if self.machine.host in unreachable or self.peer_host in unreachable:
            return
        if self.delayed_pieces or not self.network.is_open(self.peer_host, self.machine.host):
            self.delayed_pieces.append(piece)
            return
        self.received_pieces.append(piece)
        if self.machine.poll_interval:
            self.machine.callLater(0, self.deliver)
        else:
            self.deliver()

    def deliver_delayed(self) -> None:
        """Receive the pieces held back on a blocked path, if it is open again."""
        if self.delayed_pieces and self.network.is_open(self.peer_host, self.machine.host):
            delayed = self.delayed_pieces
            self.delayed_pieces = []
            for piece in delayed:
                self.receive_piece(piece)

    def deliver(self) -> None:
        """Deliver the received pieces to the protocol while it reads."""
        if self.machine.is_frozen:
            return
        while (
            self.received_pieces
            and not (self.is_reading_paused or self.is_closed)
            and self.protocol is not None
        ):
            piece = self.received_pieces.popleft()
            if piece is None:
                self._deliver_end()
                return
            self.unread -= len(piece)
            if self.read_tap:
                self.read_tap(piece)
            self.machine.run_guarded(self.protocol.dataReceived, piece)
            self._resume_sender()

    def _resume_sender(self) -> None:
        sender = self.peer
        if sender and sender.is_producer_paused and self.unread < SEND_WINDOW // 2:
            sender.is_producer_paused = False
            if sender.producer:
                sender.machine.callLater(self.network.draw_latency(), sender.resume_producer)

    def resume_producer(self) -> None:
        """Resume the producer of this end, unless it was paused again."""
        if self.producer and not (self.is_producer_paused or self.is_closed):
            self.producer.resumeProducing()

    def _deliver_end(self) -> None:
        if IHalfCloseableProtocol.providedBy(self.protocol):
            protocol: Any = self.protocol
            self.machine.run_guarded(protocol.readConnectionLost)
        else:
            self.loseConnection()

    def close(self, kind: type[Exception]) -> None:
        """End the connection, and notify the protocol with a reason of this kind."""
        if not self.is_closed:
            if self.on_close:
                self.on_close()
            self.is_closed = True
            self.machine.transports.pop(self, None)
            if self.protocol is not None:
                reason = Failure(kind())  # type: ignore[no-untyped-call]  # Twisted's
                self.machine.run_guarded(self.protocol.connectionLost, reason)
