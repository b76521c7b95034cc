"""TCP connections between fronts: one per pair of neighbours, each with a bounded outbox.

The front whose name sorts first opens the connection. Both ends send a hello with a random half of the
session id. All later messages are authenticated with the whole session id, so the recorded messages of a
connection are invalid on any other. A peer that does not read its connection fills only the outbox of that
connection. A connection without any received bytes for several summary intervals is dropped and opened again.
Nothing in this module blocks, so client requests never wait for a peer.

A frame consists of a length of four bytes (big-endian) and one authenticated message.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any, Protocol, cast

from twisted.internet.interfaces import IAddress, IPushProducer
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.accept_guard import AcceptGuard
from weldbend.buffers.ring import Ring
from weldbend.fleet import messages as m
from weldbend.fleet.anti_entropy import PROTOCOL_VERSIONS, PeerMessage
from weldbend.fleet.message_authentication import MAX_MESSAGE_SIZE, AuthenticationError, MessageAuthenticator
from weldbend.fleet.outbox import Outbox, Priority
from weldbend.fleet.runtime import ListeningPort, Runtime, StreamTransport
from weldbend.fleet.settings import FleetSettings, Peer

HELLO_TIMEOUT = 2.0  # seconds after the opening of a connection by which the peer's hello must arrive
MAX_SILENT_SUMMARY_INTERVALS = 4.0  # summary intervals without a byte before a connection is dropped
MIN_BACKOFF = 0.2  # seconds between attempts to connect to a peer; doubles with each failure
MAX_BACKOFF = 3.0  # seconds
CONNECT_TIMEOUT = 1.0  # seconds
MAX_UNIDENTIFIED = 16  # open connections without a hello from the peer; further ones are refused
LENGTH_SIZE = 4  # bytes of a frame's length field
NONCE_SIZE = 16  # bytes of each end's half of the session id
RECEIVE_BUFFER_SIZE = 2 * MAX_MESSAGE_SIZE + (1 << 17)  # bytes


class ConnectionHandler(Protocol):
    """The interface for events on connections; `epoch` is the peer's epoch."""

    def connection_up(self, peer: str, epoch: int) -> None:
        """Handle that messages can now be sent to a peer."""

    def connection_down(self, peer: str) -> None:
        """Handle that no more messages can be sent to a peer."""

    def message_received(self, peer: str, epoch: int, body: m.ConnectionMessage) -> None:
        """Handle an authenticated message of a peer."""


@implementer(IPushProducer)
class PeerConnection(Connection):
    """This front's end of a connection to a peer.

    Attributes:
        manager: the owner of all connections.
        peer: the peer's name, empty on an accepted connection until the peer's hello.
        is_initiator: whether this front opened the connection.
        buffer: received bytes that are not yet handled.
        outbox: messages that are not yet written.
        nonce: this end's half of the session id.
        session: the session id, empty until the peer's hello.
        is_paused: whether the transport accepts no bytes at present.
        is_lost: whether the connection is closed.
        received_at: time of the last received bytes, in seconds.
        frame_length: length of the frame being received, None while its length field is incomplete.
        drop_reason: reason for which the connection was closed.
    """

    def __init__(self, manager: "PeerConnections", peer: str = "") -> None:
        self.manager = manager
        self.peer = peer
        self.is_initiator = bool(peer)
        self.buffer = Ring(RECEIVE_BUFFER_SIZE)
        self.outbox = Outbox(manager.settings.outbox_capacity)
        self.nonce = manager.runtime.random_bytes(NONCE_SIZE)
        self.session = b""
        self.is_paused = False
        self.is_lost = False
        self.received_at = manager.runtime.timers.now()
        self.frame_length: int | None = None
        self.drop_reason = "closed by the other end"

    @property
    def stream(self) -> StreamTransport:
        """The transport of the open connection."""
        return cast(StreamTransport, self.transport)

    # Opening.

    def connectionMade(self) -> None:
        """Schedule the hello timeout, and send the hello if this front opened the connection."""
        self.stream.setTcpNoDelay(True)
        self.stream.registerProducer(self, True)
        self.manager.runtime.timers.after(HELLO_TIMEOUT, self.check_hello)
        if self.is_initiator:
            self.send_hello()

    def send_hello(self) -> None:
        """Send the hello, with this end's half of the session id."""
        body = m.encode(m.Hello(*PROTOCOL_VERSIONS, self.nonce, self.manager.settings.zone))
        self.outbox.put(
            add_length_prefix(self.manager.authenticator.authenticate(self.peer, body, True)),
            Priority.CRITICAL,
        )
        self.flush()

    def check_hello(self) -> None:
        """Drop the connection if the peer's hello has not arrived in time."""
        if not self.session and not self.is_lost:
            self.drop("no hello")

    def _handle_hello(self, sender: str, epoch: int, body: m.ConnectionMessage) -> None:
        if not isinstance(body, m.Hello) or (self.is_initiator and sender != self.peer):
            self.drop("no hello")
            return
        if body.min_version > PROTOCOL_VERSIONS[1] or body.max_version < PROTOCOL_VERSIONS[0]:
            self.drop("no common version")
            return
        if self.is_initiator:
            self.session = self.nonce + body.nonce
        else:
            if sender not in self.manager.members:
                self.drop("not a member")
                return
            self.peer = sender
            self.send_hello()
            self.session = body.nonce + self.nonce
        self.manager.connection_established(self, epoch)

    # Sending.

    def send(self, message: PeerMessage) -> None:
        """Queue a message; a full outbox drops messages by their priority."""
        body = m.encode(message.body)
        if len(body) > m.MAX_FRAME_SIZE:
            self.manager.counts["too long to say"] += 1
            return
        data = self.manager.authenticator.authenticate(self.peer, body, True, self.session)
        self.outbox.put(add_length_prefix(data), message.priority)
        self.flush()

    def flush(self) -> None:
        """Write queued messages for as long as the transport accepts bytes."""
        while not (self.is_paused or self.is_lost) and (data := self.outbox.pop()) is not None:
            self.manager.counts["bytes out"] += len(data)
            self.stream.write(data)

    def pauseProducing(self) -> None:
        """Stop writing, because the transport's buffer is full."""
        self.is_paused = True

    def resumeProducing(self) -> None:
        """Resume writing, because the transport accepts bytes again."""
        self.is_paused = False
        self.flush()

    def stopProducing(self) -> None:
        """Stop writing permanently, because the transport accepts no more bytes."""
        self.is_paused = True

    # Receiving.

    def dataReceived(self, data: bytes) -> None:
        """Buffer received bytes, and handle all complete frames."""
        self.received_at = self.manager.runtime.timers.now()
        self.manager.counts["bytes in"] += len(data)
        rest = memoryview(data)
        while rest and not self.is_lost:
            rest = rest[self.buffer.write(rest) :]
            self._handle_frames()

    def _handle_frames(self) -> None:
        while not self.is_lost:
            if self.frame_length is None:
                if len(self.buffer) < LENGTH_SIZE:
                    return
                self.frame_length = int.from_bytes(self.buffer.read(LENGTH_SIZE), "big")
                if not 0 < self.frame_length <= MAX_MESSAGE_SIZE:
                    self.drop("a length out of bounds")
                    return
            if len(self.buffer) < self.frame_length:
                return
            data = bytes(self.buffer.read(self.frame_length))
            self.frame_length = None
            self._handle_frame(data)

    def _handle_frame(self, data: bytes) -> None:
        try:
            message = self.manager.authenticator.verify(data, True, self.session)
            body = m.read_connection_message(message.body)
        except AuthenticationError as error:
            self.drop(f"seal: {error.cause}")
            return
        except m.InvalidPeerMessageError:
            self.manager.counts["messages that cannot be read"] += 1
            if not self.session:
                self.drop("no hello")
            return
        header = message.header
        if not self.session:
            self._handle_hello(header.sender, header.epoch, body)
        elif header.sender != self.peer:
            self.drop("another speaks")
        else:
            self.manager.handler.message_received(self.peer, header.epoch, body)

    # Closing.

    def drop(self, reason: str) -> None:
        """Close the connection at once; later summaries reveal changes that were still in the outbox."""
        if not self.is_lost:
            self.drop_reason = reason
            self.manager.counts[f"dropped: {reason}"] += 1
            self.is_lost = True
            self.stream.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the end of the connection to its manager."""
        self.is_lost = True
        self.manager.connection_closed(self)


def add_length_prefix(data: bytes) -> bytes:
    """Return the frame of an authenticated message: its length, followed by the message."""
    return len(data).to_bytes(LENGTH_SIZE, "big") + data


class InitiatorFactory(ClientFactory):
    """A factory for connections that this front opens."""

    noisy = False

    def __init__(self, manager: "PeerConnections", peer: str) -> None:
        self.manager = manager
        self.peer = peer

    def buildProtocol(self, addr: IAddress | None) -> PeerConnection:
        """Create this front's end of the opened connection."""
        return self.manager.create_connection(self.peer)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ANN401 - zope has no types
        """Schedule another attempt after the connection could not be opened."""
        self.manager.connect_failed(self.peer)


class AcceptorFactory(ServerFactory):
    """A factory for connections that peers open."""

    noisy = False

    def __init__(self, manager: "PeerConnections") -> None:
        self.manager = manager

    def buildProtocol(self, addr: IAddress | None) -> PeerConnection | None:
        """Accept the connection unless too many others are still unidentified."""
        if sum(not connection.session for connection in self.manager.all_connections) >= MAX_UNIDENTIFIED:
            self.manager.counts["strangers turned away"] += 1
            return None
        return self.manager.create_connection()


class PeerConnections:
    """The connections of this front to its peers.

    Attributes:
        runtime: the reactor, timers and source of random bytes.
        authenticator: authenticator of all messages.
        settings: the fleet's settings.
        handler: object that is notified of events on connections.
        members: the other members by name, with their addresses.
        neighbours: names of the members to which this front keeps a connection.
        all_connections: all open connections, including unidentified ones, in the order of their opening.
        established_by_peer: the connection over which messages are sent to each peer, by the peer's name.
        connecting: names of the peers to which a connection is being opened.
        backoffs: delay that followed the last failed attempt to connect to a peer, in seconds, by name.
        counts: counters of bytes, of dropped connections by reason, and of dropped messages.
        port: the listening port, None before `listen`.
        is_stopped: whether `stop` was called.
    """

    def __init__(
        self,
        runtime: Runtime,
        authenticator: MessageAuthenticator,
        settings: FleetSettings,
        handler: ConnectionHandler,
    ) -> None:
        self.runtime = runtime
        self.authenticator = authenticator
        self.settings = settings
        self.handler = handler
        self.members: dict[str, Peer] = {}
        self.neighbours: set[str] = set()
        self.all_connections: dict[PeerConnection, None] = {}
        self.established_by_peer: dict[str, PeerConnection] = {}
        self.connecting: set[str] = set()
        self.backoffs: dict[str, float] = {}
        self.counts: Counter[str] = Counter()
        self.port: ListeningPort | None = None
        self.is_stopped = False

    def listen(self, host: str, port: int) -> None:
        """Open the port on which peers connect."""
        self.port = self.runtime.reactor.listenTCP(port, AcceptorFactory(self), interface=host)
        AcceptGuard(self.port, self.runtime.timers.after)

    def set_members(self, members: Iterable[Peer], neighbours: Iterable[str]) -> None:
        """Replace the members and neighbours, and drop connections to fronts that are not neighbours."""
        self.members = {peer.name: peer for peer in members}
        self.neighbours = set(neighbours) & set(self.members)
        for connection in [
            connection
            for connection in self.all_connections
            if connection.peer and connection.peer not in self.neighbours
        ]:
            connection.drop("no longer a neighbour")
        for peer in sorted(self.neighbours):
            self.connect(peer)

    def connect(self, peer: str) -> None:
        """Open a connection to a neighbour if this front is the initiator and there is no connection."""
        is_initiator = self.authenticator.name < peer  # only one of the two ends opens the connection
        is_needed = peer in self.neighbours and peer not in self.established_by_peer
        if not (is_initiator and is_needed) or peer in self.connecting or self.is_stopped:
            return
        self.connecting.add(peer)
        address = self.members[peer]
        factory = InitiatorFactory(self, peer)
        try:
            self.runtime.reactor.connectTCP(address.host, address.port, factory, CONNECT_TIMEOUT)
        except OSError:
            self.connect_failed(peer)

    def connect_failed(self, peer: str) -> None:
        """Schedule another attempt after a backoff that doubles with each failure."""
        self.connecting.discard(peer)
        backoff = min(max(self.backoffs.get(peer, 0.0) * 2, MIN_BACKOFF), MAX_BACKOFF)
        self.backoffs[peer] = backoff
        self.runtime.timers.after(backoff, lambda: self.connect(peer))

    def create_connection(self, peer: str = "") -> PeerConnection:
        """Create and register a connection; `peer` is given if this front opens it."""
        connection = PeerConnection(self, peer)
        self.all_connections[connection] = None
        return connection

    def connection_established(self, connection: PeerConnection, epoch: int) -> None:
        """Register a connection after both hellos; an older connection to the same peer is dropped."""
        self.connecting.discard(connection.peer)
        self.backoffs.pop(connection.peer, None)
        if older := self.established_by_peer.get(connection.peer):
            older.drop("another link came up")
            self.connection_closed(older)
        self.established_by_peer[connection.peer] = connection
        self.handler.connection_up(connection.peer, epoch)

    def connection_closed(self, connection: PeerConnection) -> None:
        """Unregister a closed connection; further calls for the same connection have no effect."""
        if connection not in self.all_connections:
            return
        del self.all_connections[connection]
        if self.established_by_peer.get(connection.peer) is connection:
            del self.established_by_peer[connection.peer]
            self.handler.connection_down(connection.peer)
        if connection.is_initiator and connection.peer not in self.established_by_peer:
            self.connect_failed(connection.peer)

    def send(self, message: PeerMessage) -> None:
        """Send a message to a peer; without an established connection, the message is dropped."""
        if connection := self.established_by_peer.get(message.to):
            connection.send(message)

    def drop_silent(self) -> None:
        """Drop silent connections; peers send summaries every few seconds, so silence means a lost path."""
        now = self.runtime.timers.now()
        for connection in list(self.established_by_peer.values()):
            if now - connection.received_at > MAX_SILENT_SUMMARY_INTERVALS * self.settings.summary_interval:
                connection.drop("silent")

    def stop(self) -> None:
        """Close the listening port and all connections."""
        self.is_stopped = True
        if self.port:
            self.port.stopListening()
        for connection in list(self.all_connections):
            connection.drop("stopped")
