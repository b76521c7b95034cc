"""The listening port: accepts while descriptors last, and rests at their bound."""

import socket
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from weldbend.clients.connection import Client, Taker

BACKLOG = 1024
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
        """At the bound those go that have been idle longest, first those that never said anything.

        Guards the port against clients that connect in hundreds and stay. Harm: an idle usual one has to
        connect anew, when more are in use at once than the site has descriptors for.
        """
        self.clients.add(client)
        if len(self.clients) >= self.most:
            spare = [other for other in self.clients if other is not client and other.idle()]
            spare.sort(key=lambda other: (other.spoke, other.heard))
            for other in spare[: max(self.most // 16, 1)]:
                other.close()
            self.rest(len(self.clients) >= self.most)

    def look(self) -> None:
        now = self.taker.now()
        for client in list(self.clients):
            client.look(now)

    def closed(self, client: Client) -> None:
        self.clients.discard(client)
        self.rest(len(self.clients) >= self.most)

    def rest(self, resting: bool) -> None:
        if self.port and resting is not self.resting:
            self.resting = resting
            (self.port.pauseProducing if resting else self.port.resumeProducing)()
