"""The listening port: accepts while descriptors last, and rests at their bound."""

from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from weldbend.clients.connection import Client, Taker

BACKLOG = 1024


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

    def buildProtocol(self, addr: IAddress | None) -> Client:
        return Client(self.taker)

    def opened(self, client: Client) -> None:
        self.clients.add(client)
        if len(self.clients) >= self.most:
            for spare in [other for other in self.clients if other is not client and other.idle()]:
                spare.close()
            self.rest(len(self.clients) >= self.most)

    def closed(self, client: Client) -> None:
        self.clients.discard(client)
        self.rest(len(self.clients) >= self.most)

    def rest(self, resting: bool) -> None:
        if self.port and resting is not self.resting:
            self.resting = resting
            (self.port.pauseProducing if resting else self.port.resumeProducing)()
