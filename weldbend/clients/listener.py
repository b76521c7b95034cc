"""The listening port: accepts while descriptors last, and rests at their bound."""

import socket
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from weldbend.clients.connection import Client, Taker

BACKLOG = 1024
FRESH = 0.05  # seconds without a byte after which a client's call is hardly on its way
GONE = 60  # seconds without a sign of a client's machine, or of its reading, until it is held to be gone


class Listener(Factory):
    """Keeps the clients' connections, at most so many; those beyond wait in the kernel's queue."""

    noisy = False

    def __init__(self, taker: Taker, most: int) -> None:
        self.taker, self.most = taker, most
        self.clients: set[Client] = set()
        self.port: Any = None
        self.resting = False

    def listen(self, reactor: Any, host: str, port: int) -> None:
        self.port = reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
        self.watch()

    def stop(self) -> None:
        if self.port:
            self.port.stopListening()
            self.port = None

    def watch(self) -> None:
        """Have the system end connections of machines that vanished; what is accepted inherits it.

        Guards descriptors and the memory of answers that nobody will read. Harm: a client that reads nothing
        for a minute is cut off, long after its downloads are over.
        """
        listening: socket.socket = self.port.socket
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, GONE // 2)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, GONE // 4)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, GONE * 1000)

    def buildProtocol(self, addr: IAddress | None) -> Client:
        return Client(self.taker)

    def opened(self, client: Client) -> None:
        self.clients.add(client)
        self.make_room(client)

    def make_room(self, new: Client | None = None) -> None:
        """At the bound idle ones go: those that said nothing, then those that asked once, the longest first.

        Guards the port against clients that connect in hundreds and stay. Those heard of just now go last: a
        call may be on its way there. Harm: an idle usual one has to connect anew, when more are in use at
        once than the site has descriptors for.
        """
        if len(self.clients) >= self.most:
            fresh = self.taker.now() - FRESH
            spare = [other for other in self.clients if other.idle() and other is not new]
            spare.sort(key=lambda other: (other.heard > fresh, min(other.calls, 2), other.heard))
            for other in spare[: max(self.most // 16, 1)]:
                other.close()
        self.rest(len(self.clients) >= self.most)

    def look(self) -> None:
        now = self.taker.now()
        for client in list(self.clients):
            client.look(now)
        self.make_room()

    def closed(self, client: Client) -> None:
        self.clients.discard(client)
        self.rest(len(self.clients) >= self.most)

    def rest(self, resting: bool) -> None:
        if self.port and resting is not self.resting:
            self.resting = resting
            (self.port.pauseProducing if resting else self.port.resumeProducing)()
