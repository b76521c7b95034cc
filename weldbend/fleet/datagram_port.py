"""The UDP port on which a front sends and receives authenticated datagrams."""

from collections import Counter
from collections.abc import Callable
from typing import cast

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from weldbend.fleet import messages as m
from weldbend.fleet.message_authentication import AuthenticationError, Header, MessageAuthenticator
from weldbend.fleet.runtime import DatagramTransport, ListeningPort, Runtime
from weldbend.fleet.settings import Peer

MAX_DATAGRAMS_PER_SECOND = 2000  # received datagrams above this rate are dropped unread
MAX_PACKET_SIZE = 65_535  # bytes per read; above `MAX_DATAGRAM_SIZE`, so that oversized datagrams are seen
REOPEN_DELAY = 0.2  # seconds before a port that an error closed is opened again

Handler = Callable[[float, Header, m.Datagram], None]
"""A function that is called with the time of receipt, the header and the message."""


class DatagramPort(DatagramProtocol):
    """A UDP socket that passes valid messages to `handler`, and counts and drops all others.

    Attributes:
        counts: counters of sent, dropped and invalid datagrams.
        is_closed: whether `close` was called.
        counted_second: the second of the steady clock whose received datagrams are being counted.
        received_in_second: number of datagrams received in that second.
    """

    noisy = False

    def __init__(
        self, runtime: Runtime, authenticator: MessageAuthenticator, handler: Handler, counts: Counter[str]
    ) -> None:
        self.runtime = runtime
        self.authenticator = authenticator
        self.handler = handler
        self.counts = counts
        self.port: ListeningPort | None = None
        self.is_closed = False
        self.counted_second = 0
        self.received_in_second = 0

    def listen(self, host: str, port: int) -> None:
        """Open the port on a host and port number."""
        self.address = (host, port)
        self.port = self.runtime.reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_PACKET_SIZE)

    def close(self) -> None:
        """Close the port."""
        self.is_closed = True
        if self.port:
            self.port.stopListening()

    def stopProtocol(self) -> None:
        """Schedule reopening of the port unless `close` was called; Twisted closes it when a read fails.

        This keeps membership working after a failed read, for example when the system is short of memory.
        Reopening the port has no known drawback.
        """
        if not self.is_closed:
            self.counts["datagram ports that an error closed"] += 1
            self.runtime.timers.after(REOPEN_DELAY, self._reopen)

    def _reopen(self) -> None:
        if self.is_closed:
            return
        try:
            self.listen(*self.address)
        except (CannotListenError, OSError):
            self.runtime.timers.after(REOPEN_DELAY, self._reopen)

    def send(self, peer: Peer, body: m.Datagram) -> None:
        """Send a message if the port is open; as with any datagram, delivery is not guaranteed."""
        if self.port is None:
            return
        data = self.authenticator.authenticate(peer.name, m.encode(body))
        self.counts["datagrams out"] += 1
        self.counts["datagram bytes out"] += len(data)
        if self.transport is None or not self._write(data, (peer.host, peer.port)):
            self.counts["datagrams that could not go"] += 1

    def _write(self, data: bytes, to: tuple[str, int]) -> bool:
        """Write a datagram; return False if the system rejects it (full buffer, no route or a local rule)."""
        try:
            cast(DatagramTransport, self.transport).write(data, to)
        except OSError:
            return False
        return True

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Verify a datagram and pass it on; its sender is identified by the header, not by the address."""
        now = self.runtime.timers.now()
        if int(now) != self.counted_second:
            self.counted_second = int(now)
            self.received_in_second = 0
        self.received_in_second += 1
        if self.received_in_second > MAX_DATAGRAMS_PER_SECOND or len(datagram) > m.MAX_DATAGRAM_SIZE:
            self.counts["datagrams dropped unread"] += 1
            return
        try:
            message = self.authenticator.verify(datagram)
            body = m.read_datagram(message.body)
        except AuthenticationError:
            return  # the authenticator has counted the cause
        except m.InvalidPeerMessageError:
            self.counts["messages that cannot be read"] += 1
            return
        self.handler(now, message.header, body)
