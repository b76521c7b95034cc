"""Connections between fronts: one a pair of neighbours, sealed, framed, each with a bounded outbox.

The end whose name sorts first dials. Both say hello with a random part of the session; all that follows is
sealed with the whole session, so a recorded link fits no other. A peer that reads nothing fills its own
outbox; one that says nothing for some comparisons is dropped and dialled anew. Nothing here ever waits: a
download never does either.
"""

import os
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from twisted.internet.interfaces import IAddress, IPushProducer
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.buffers.ring import Ring
from weldbend.fleet import messages as m
from weldbend.fleet.anti_entropy import PROTOCOL_VERSIONS, PeerMessage
from weldbend.fleet.message_authentication import LONGEST, AuthenticationError, MessageAuthenticator
from weldbend.fleet.outbox import Outbox, Priority
from weldbend.fleet.settings import Peer, Terms

HELLO = 2.0  # seconds for the first message
SILENT = 4.0  # comparisons without a byte, after which a link is dropped
AGAIN, AGAIN_MOST = 0.2, 3.0  # seconds between dials
DIAL = 1.0
STRANGERS = 16  # accepted connections that have not said who they are


class Timers(Protocol):
    def now(self) -> float: ...
    def after(self, delay: float, call: Callable[[], object]) -> Any: ...


class Owner(Protocol):
    """Who hears of links."""

    def link_up(self, peer: str, epoch: int) -> None: ...
    def link_down(self, peer: str) -> None: ...
    def link_heard(self, peer: str, epoch: int, body: m.Linked) -> None: ...


@implementer(IPushProducer)
class PeerConnection(Connection):
    """One end of a link."""

    def __init__(self, links: "PeerConnections", peer: str = "") -> None:
        self.links, self.peer, self.dialled = links, peer, bool(peer)
        self.ring, self.outbox = Ring(2 * LONGEST + (1 << 17)), Outbox(links.terms.outbox)
        self.drawn, self.session = links.drawn(16), b""
        self.paused = self.lost = False
        self.heard = links.timers.now()
        self.length = -1  # of the frame that is coming
        self.reason = "closed by the other end"

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.links.timers.after(HELLO, self.greeted)
        if self.dialled:
            self.hello()

    def hello(self) -> None:
        body = m.encode(m.Hello(*PROTOCOL_VERSIONS, self.drawn, self.links.terms.zone))
        self.outbox.put(framed(self.links.sealer.seal(self.peer, body, True)), Priority.CRITICAL)
        self.pump()

    def greeted(self) -> None:
        if not self.session and not self.lost:
            self.drop("no hello")

    def say(self, say: PeerMessage) -> None:
        body = m.encode(say.body)
        if len(body) > m.FRAME:
            self.links.counts["too long to say"] += 1
            return
        self.outbox.put(framed(self.links.sealer.seal(self.peer, body, True, self.session)), say.priority)
        self.pump()

    def pump(self) -> None:
        while not (self.paused or self.lost) and (data := self.outbox.pop()) is not None:
            self.links.counts["bytes out"] += len(data)
            self.transport.write(data)

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        self.pump()

    def stopProducing(self) -> None:
        self.paused = True

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.links.timers.now()
        self.links.counts["bytes in"] += len(data)
        rest = memoryview(data)
        while rest and not self.lost:
            rest = rest[self.ring.write(rest) :]
            self.frames()

    def frames(self) -> None:
        while not self.lost:
            if self.length < 0:
                if len(self.ring) < 4:
                    return
                self.length = int.from_bytes(self.ring.read(4), "big")
                if not 0 < self.length <= LONGEST:
                    self.drop("a length out of bounds")
                    return
            if len(self.ring) < self.length:
                return
            data, self.length = bytes(self.ring.read(self.length)), -1
            self.frame(data)

    def frame(self, data: bytes) -> None:
        try:
            opened = self.links.sealer.open(data, True, self.session)
            body = m.read_linked(opened.body)
        except AuthenticationError as wrong:
            self.drop(f"seal: {wrong}")
            return
        except m.InvalidPeerMessageError:
            self.links.counts["messages that cannot be read"] += 1
            if not self.session:
                self.drop("no hello")
            return
        if not self.session:
            self.greet(opened.header.sender, opened.header.epoch, body)
        elif opened.header.sender != self.peer:
            self.drop("another speaks")
        else:
            self.links.owner.link_heard(self.peer, opened.header.epoch, body)

    def greet(self, sender: str, epoch: int, body: m.Linked) -> None:
        if not isinstance(body, m.Hello) or (self.dialled and sender != self.peer):
            self.drop("no hello")
            return
        if body.least > PROTOCOL_VERSIONS[1] or body.most < PROTOCOL_VERSIONS[0]:
            self.drop("no common version")
            return
        if not self.dialled:
            if sender not in self.links.named:
                self.drop("not a member")
                return
            self.peer = sender
            self.hello()
        one, other = (self.drawn, body.drawn) if self.dialled else (body.drawn, self.drawn)
        self.session = one + other
        self.links.came(self, epoch)

    def drop(self, why: str) -> None:
        """End it at once; what waits for it is found missing by a later comparison."""
        if not self.lost:
            self.reason = why
            self.links.counts[f"dropped: {why}"] += 1
            self.lost = True
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        self.lost = True
        self.links.went(self)


def framed(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data


class Dial(ClientFactory):
    noisy = False

    def __init__(self, links: "PeerConnections", peer: str) -> None:
        self.links, self.peer = links, peer

    def buildProtocol(self, addr: IAddress | None) -> PeerConnection:
        return self.links.end(self.peer)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.links.failed(self.peer)


class Accept(ServerFactory):
    noisy = False

    def __init__(self, links: "PeerConnections") -> None:
        self.links = links

    def buildProtocol(self, addr: IAddress | None) -> PeerConnection | None:
        if sum(not end.session for end in self.links.ends) >= STRANGERS:
            self.links.counts["strangers turned away"] += 1
            return None
        return self.links.end()


class PeerConnections:
    """All links of this front; `wanted` is told which peers it is to be linked to."""

    def __init__(
        self,
        reactor: Any,
        timers: Timers,
        sealer: MessageAuthenticator,
        terms: Terms,
        owner: Owner,
        drawn: Callable[[int], bytes] = os.urandom,
    ) -> None:
        self.reactor, self.timers, self.sealer, self.terms, self.owner = reactor, timers, sealer, terms, owner
        self.drawn = drawn
        self.named: dict[str, Peer] = {}
        self.near: set[str] = set()
        self.ends: dict[PeerConnection, None] = {}
        self.up: dict[str, PeerConnection] = {}
        self.dialling: set[str] = set()
        self.waits: dict[str, float] = {}
        self.counts: Counter[str] = Counter()
        self.port: Any = None
        self.stopped = False

    def listen(self, host: str, port: int) -> int:
        self.port = self.reactor.listenTCP(port, Accept(self), interface=host)
        return int(self.port.getHost().port)

    def wanted(self, named: Iterable[Peer], near: Iterable[str]) -> None:
        """Who is a member, and who of them is a neighbour; links to others end."""
        self.named = {peer.name: peer for peer in named}
        self.near = set(near) & set(self.named)
        for end in [end for end in self.ends if end.peer and end.peer not in self.near]:
            end.drop("no longer a neighbour")
        for peer in sorted(self.near):
            self.dial(peer)

    def dial(self, peer: str) -> None:
        mine = self.sealer.name < peer  # one of both dials, else there would be two links
        if not mine or peer in self.up or peer in self.dialling or peer not in self.near or self.stopped:
            return
        self.dialling.add(peer)
        at = self.named[peer]
        self.reactor.connectTCP(at.host, at.port, Dial(self, peer), DIAL)

    def failed(self, peer: str) -> None:
        self.dialling.discard(peer)
        wait = self.waits[peer] = min(max(self.waits.get(peer, 0.0) * 2, AGAIN), AGAIN_MOST)
        self.timers.after(wait, lambda: self.dial(peer))

    def end(self, peer: str = "") -> PeerConnection:
        end = PeerConnection(self, peer)
        self.ends[end] = None
        return end

    def came(self, end: PeerConnection, epoch: int) -> None:
        """Both have said hello. A newer link of the same pair takes the older one's place."""
        self.dialling.discard(end.peer)
        self.waits.pop(end.peer, None)
        if older := self.up.get(end.peer):
            older.drop("another link came up")
            self.went(older)
        self.up[end.peer] = end
        self.owner.link_up(end.peer, epoch)

    def went(self, end: PeerConnection) -> None:
        if self.ends.pop(end, False) is False:
            return
        if self.up.get(end.peer) is end:
            del self.up[end.peer]
            self.owner.link_down(end.peer)
        if end.dialled and end.peer not in self.up:
            self.failed(end.peer)

    def say(self, say: PeerMessage) -> None:
        if end := self.up.get(say.to):
            end.say(say)

    def look(self) -> None:
        """Drop links that have been silent: each end compares every few seconds, so the path is lost."""
        now = self.timers.now()
        for end in list(self.up.values()):
            if now - end.heard > SILENT * self.terms.exchange:
                end.drop("silent")

    def stop(self) -> None:
        self.stopped = True
        if self.port:
            self.port.stopListening()
        for end in list(self.ends):
            end.drop("stopped")
