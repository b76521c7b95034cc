"""A front's place in its fleet: probes by UDP, links by TCP, the cores between them, on its own reactor.

It is made where an installation file names a fleet, and never otherwise. It hands the front what has become
stricter, and takes from it what the bus told; it is asked nothing and holds up nothing.
"""

import math
import os
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

from weldbend.fleet import messages as m
from weldbend.fleet.anti_entropy import AntiEntropy, PeerMessage, resume_after_standstill
from weldbend.fleet.lease_service import LeaseService
from weldbend.fleet.membership import Membership, Reachability, Send, State, View
from weldbend.fleet.message_authentication import (
    AuthenticationError,
    InvalidKeyFileError,
    MessageAuthenticator,
    read_keys,
)
from weldbend.fleet.peer_connections import PeerConnections, Timers
from weldbend.fleet.replicated_store import Change, ReplicatedStore
from weldbend.fleet.settings import Peer, Terms, split
from weldbend.fleet.topology import neighbours

TURN = 0.05  # seconds between two turns at most, so that a standstill shows
MOST_DATAGRAMS = 2000  # heard in a second; more are dropped unread
REPORT = 10.0


class FleetConfigurationError(Exception):
    """A fleet that cannot be started from; one line for people."""


def keys_of(path: str) -> dict[bytes, bytes]:
    try:
        return read_keys(Path(path).read_text("ascii"))
    except (OSError, UnicodeDecodeError) as wrong:
        raise FleetConfigurationError(f"key file {path}: cannot be read: {wrong}") from None
    except InvalidKeyFileError as wrong:
        raise FleetConfigurationError(f"key file {path}: {wrong}") from None


class Ear(DatagramProtocol):
    """The probes' port."""

    noisy = False

    def __init__(self, told: Callable[[bytes, tuple[str, int]], None]) -> None:
        self.told = told

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.told(datagram, addr)


class Fleet:
    """`changed` is told of every item that has become stricter.

    `epoch` is the Unix millisecond of this start; a clock that went back is told so by those who know a later
    one. `drawn` gives bytes at random.
    """

    def __init__(
        self,
        reactor: Any,
        timers: Timers,
        name: str,
        terms: Terms,
        changed: Callable[[Change], None],
        epoch: int,
        drawn: Callable[[int], bytes] = os.urandom,
    ) -> None:
        self.reactor, self.timers, self.name, self.terms, self.changed = reactor, timers, name, terms, changed
        seed = int.from_bytes(drawn(4), "big")
        self.sealer = MessageAuthenticator(terms.fleet, name, epoch, keys_of(terms.keys))
        now = timers.now()
        peers = [peer.name for peer in terms.peers]
        self.members = Membership(name, epoch, terms, peers, seed, now)
        self.copies = ReplicatedStore(name, epoch, terms.ops)
        self.exchange = AntiEntropy(self.copies, terms, seed + 1, changed, now)
        self.links = PeerConnections(reactor, timers, self.sealer, terms, self, drawn)
        self.ear = Ear(self.datagram)
        self.udp: Any = None
        self.counts: Counter[str] = Counter()
        self.second, self.heard_in_it = 0, 0
        self.woke = -math.inf  # when this process last went on after a standstill
        self.lost: dict[str, float] = {}  # when each peer's link was lost last
        self.sight = Reachability.WAKING
        self.stopped = False
        self.limits: LeaseService | None = None  # strict limits shared with others, where there are some

    # Start, stop, change.

    def start(self) -> None:
        host, port = split(self.terms.listen)
        self.links.listen(host, port)
        self.udp = self.reactor.listenUDP(port, self.ear, interface=host, maxPacketSize=65_535)
        self.rename()
        self.timers.after(0.0, self.turn)
        self.timers.after(REPORT, self.report)
        logger.info(
            "fleet {}: {} of {} members, epoch {}",
            self.terms.fleet,
            self.name,
            len(self.terms.peers) + 1,
            self.members.epoch,
        )

    def rename(self) -> None:
        peers = [peer for peer in self.terms.peers if peer.name != self.name]
        self.links.wanted(peers, neighbours(self.name, [peer.name for peer in peers]))

    def reload(self, terms: Terms) -> None:
        """Peers and keys as the installation file has them now; raises BadFleet and changes nothing."""
        keys = keys_of(terms.keys)
        fixed = [f for f in ("listen", "fleet", "zone") if getattr(terms, f) != getattr(self.terms, f)]
        if fixed:
            raise FleetConfigurationError(f"[fleet] {', '.join(fixed)}: changed by a restart only")
        self.sealer.rekey(keys)
        self.terms = self.members.terms = self.exchange.settings = self.links.terms = terms
        self.members.rename([peer.name for peer in terms.peers], self.timers.now())
        self.rename()
        logger.info("fleet: {} members named now, {} keys", len(terms.peers) + 1, len(keys))

    def stop(self) -> None:
        if self.stopped:
            return
        self.stopped = True
        self.send(self.members.leave())
        self.links.stop()
        if self.udp:
            self.udp.stopListening()

    # Time.

    def turn(self) -> None:
        if self.stopped:
            return
        self.timers.after(TURN, self.turn)  # first: a fault in one part must not end the others
        now = self.timers.now()
        self.wake(now)
        self.send(self.members.turn(now))
        self.settle(now)
        self.carry(self.exchange.tick(now))
        if self.limits:
            self.send(self.limits.tick(now, self.here()))
        self.links.look()

    def wake(self, now: float) -> None:
        if self.members.stands_still(now):
            gap = now - self.members.last
            logger.warning("fleet: this front stood still for {:.1f} s; catching up", gap)
            self.woke = now
            self.send(resume_after_standstill(self.members, self.exchange, now))

    def settle(self, now: float) -> None:
        """Log what has changed in the view."""
        for name, before, state, why in self.members.end_of_round():
            logger.bind(member=name, before=before.name, state=state.name).info(
                "fleet: {} was {}, is {}: {}", name, before.name, state.name, why
            )
        if (sight := self.members.sight(now)) is not self.sight:
            logger.info("fleet: own sight was {}, is {}", self.sight.name, sight.name)
            self.sight = sight
        if self.members.epoch != self.sealer.epoch:  # its clock went back, or it has a double
            logger.warning("fleet: own epoch raised from {} to {}", self.sealer.epoch, self.members.epoch)
            self.sealer.epoch = self.members.epoch
            if self.limits:
                self.limits.set_epoch(self.members.epoch)

    def report(self) -> None:
        if self.stopped:
            return
        view = self.members.view(self.timers.now())
        fields = {
            "alive": len(view.alive()),
            "named": len(view.members),
            "sight": view.sight.name,
            "health": view.health,
            "caught_up": self.exchange.is_caught_up,
            "items": len(self.copies.items),
            "links": len(self.links.up),
            "counts": dict(self.members.counts + self.exchange.counts + self.counts),
            "link_counts": dict(self.links.counts),
            "dropped": dict(self.sealer.dropped),
        }
        logger.bind(**fields).info(
            "fleet: {alive} of {named} others alive, sight {sight}, health {health}, caught up {caught_up}, "
            "{items} items, {links} links; {counts}; {link_counts}; dropped {dropped}",
            **fields,
        )
        self.timers.after(REPORT, self.report)

    # Datagrams.

    def send(self, sends: list[Send]) -> None:
        for send in sends:
            if send.to in self.links.named and self.udp:
                self.datagram_to(self.links.named[send.to], send)

    def datagram_to(self, at: Peer, send: Send) -> None:
        data = self.sealer.seal(send.to, m.encode(send.body))
        self.counts["datagrams out"] += 1
        self.counts["datagram bytes out"] += len(data)
        try:
            self.ear.transport.write(data, (at.host, at.port))
        except OSError:  # a full buffer or no path: a lost datagram, as any other
            self.counts["datagrams that could not go"] += 1

    def datagram(self, data: bytes, addr: tuple[str, int]) -> None:
        now = self.timers.now()
        if int(now) != self.second:
            self.second, self.heard_in_it = int(now), 0
        self.heard_in_it += 1
        if self.heard_in_it > MOST_DATAGRAMS or len(data) > m.DATAGRAM:
            self.counts["datagrams dropped unread"] += 1
            return
        try:
            opened = self.sealer.open(data)
            body = m.read_datagram(opened.body)
        except AuthenticationError:
            return  # counted by its cause
        except m.InvalidPeerMessageError:
            self.counts["messages that cannot be read"] += 1
            return
        self.wake(now)
        header = opened.header
        if isinstance(body, m.Shared):
            self.shared(now, header.sender, header.epoch, body)
            return
        self.send(self.members.hear(now, header.sender, header.epoch, body))
        self.settle(now)

    def shared(self, now: float, sender: str, epoch: int, body: m.Shared) -> None:
        """About a strict limit: only of a member, in the run that is known of it."""
        member = self.members.members.get(sender)
        if self.limits is None or member is None or member.epoch != epoch or self.members.contested:
            self.counts["shares of nobody known"] += 1
            return
        self.send(self.limits.handle(now, sender, epoch, body))

    def here(self) -> list[str]:
        """Members that may answer."""
        return [one.name for one in self.members.members.values() if one.state is State.ALIVE]

    # Links.

    def link_up(self, peer: str, epoch: int) -> None:
        self.carry(self.exchange.peer_connected(peer, self.timers.now()))

    def link_down(self, peer: str) -> None:
        self.lost[peer] = self.timers.now()
        self.carry(self.exchange.peer_disconnected(peer, self.timers.now()))

    def link_heard(self, peer: str, epoch: int, body: m.Linked) -> None:
        now = self.timers.now()
        self.wake(now)
        self.carry(self.exchange.handle(now, peer, body))

    def carry(self, says: list[PeerMessage]) -> None:
        for say in says:
            self.links.say(say)

    # What the front tells.

    def say(self, kind: str, key: str, *value: int | float | str) -> None:
        self.carry(self.exchange.write(self.timers.now(), kind, key, *value))

    # What people ask.

    def view(self) -> View:
        return self.members.view(self.timers.now())

    def status(self) -> dict[str, Any]:
        """All that is believed, with ages, for the control port."""
        now, view = self.timers.now(), self.view()
        return {
            "name": self.name,
            "fleet": self.terms.fleet,
            "epoch": self.members.epoch,
            "sight": view.sight.name,
            "health": view.health,
            "contested": view.contested,
            "caught_up": self.exchange.is_caught_up,
            "members": [
                {
                    "name": one.name,
                    "state": State(one.state).name,
                    "epoch": one.epoch,
                    "incarnation": one.incarnation,
                    "since": round(one.since, 3) if one.since < 1e9 else None,
                    "heard": round(one.heard, 3) if one.heard < 1e9 else None,
                    "voices": list(one.voices),
                    "linked": one.name in self.links.up,
                }
                for one in view.members
            ],
            "items": len(self.copies.items),
            "digest": f"{self.copies.digest(now, 1.0, True):012x}",
            "vector": self.copies.vector(),
            "dropped": dict(self.sealer.dropped),
            "counts": dict(self.members.counts + self.exchange.counts + self.counts + self.links.counts),
        }

    def state(self) -> list[dict[str, Any]]:
        now = self.timers.now()
        return [
            {"kind": kind, "key": key, "value": list(item.value), "age": round(now - item.written_at, 3)}
            for (kind, key), item in sorted(self.copies.items.items())
        ]
