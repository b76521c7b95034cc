"""A front's place in its fleet: datagrams by UDP, connections by TCP, and the parts that they serve.

It is made where an installation file names a fleet, and never otherwise. It hands the front what has become
stricter, and publishes what the front knows; it is asked nothing and holds up nothing.
"""

import math
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from weldbend.fleet import messages as m
from weldbend.fleet.anti_entropy import AntiEntropy, PeerMessage, resume_after_pause
from weldbend.fleet.datagram_port import DatagramPort
from weldbend.fleet.errors import FleetError
from weldbend.fleet.lease_service import LeaseService
from weldbend.fleet.member_table import State
from weldbend.fleet.membership import Membership
from weldbend.fleet.membership_view import MembershipView, Reachability
from weldbend.fleet.message_authentication import (
    Header,
    InvalidKeyFileError,
    MessageAuthenticator,
    read_keys,
)
from weldbend.fleet.messages import Send
from weldbend.fleet.peer_connections import PeerConnections
from weldbend.fleet.replicated_store import Change, ReplicatedStore
from weldbend.fleet.runtime import Runtime
from weldbend.fleet.settings import FleetSettings, split_address
from weldbend.fleet.topology import neighbours

TICK_INTERVAL = 0.05  # seconds between two ticks at most, so that a pause of the process shows
REPORT_INTERVAL = 10.0  # seconds between two lines of counters
FIXED_SETTINGS = ("listen", "fleet", "zone")  # only a restart changes them


class FleetConfigurationError(FleetError):
    """Settings from which a fleet cannot be started or reloaded; the text is one line for people."""


class KeyFileError(FleetConfigurationError):
    """The key file at `path` cannot be read or used."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"key file {path}: {problem}")
        self.path = path
        self.problem = problem


class FixedSettingsError(FleetConfigurationError):
    """A reload that changes what only a restart can change; `names` are keys of `[fleet]`."""

    def __init__(self, names: list[str]) -> None:
        super().__init__(f"[fleet] {', '.join(names)}: changed by a restart only")
        self.names = names


def load_keys(path: str) -> dict[bytes, bytes]:
    """Read the key file.

    Raises:
        FleetConfigurationError: it cannot be read or used.
    """
    try:
        return read_keys(Path(path).read_text("ascii"))
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(path, f"cannot be read: {error}") from None
    except InvalidKeyFileError as error:
        raise KeyFileError(path, str(error)) from None


class Fleet:
    """This front's membership, replicated store and their transports.

    Attributes:
        settings: as the installation file has them; a reload replaces them.
        membership: who belongs to the fleet and who is alive.
        store: the replicated state.
        anti_entropy: keeps the store alike to those of others.
        connections: connections to neighbours.
        authenticator: authenticates all messages.
        datagrams: the UDP port.
        counts: datagrams, by what became of them.
        resumed_at: when this process last went on after a pause; minus infinity for never.
        connection_lost_at: when the connection to each peer was last lost.
        lease_service: strict limits shared with others, None where there are none.
    """

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        settings: FleetSettings,
        on_change: Callable[[Change], None],
        epoch: int,
    ) -> None:
        """Make it; nothing is sent or received before `start`.

        Args:
            runtime: the reactor, timers and random bytes.
            name: this front's name.
            settings: its installation's settings.
            on_change: is called with every item that has become stricter.
            epoch: the Unix millisecond of this start; where the clock went back, those who know a later epoch
                say so.

        Raises:
            FleetConfigurationError: the key file cannot be read or used.
        """
        self.runtime = runtime
        self.timers = runtime.timers
        self.name = name
        self.settings = settings
        seed = int.from_bytes(runtime.random_bytes(4), "big")
        now = self.timers.now()
        peers = [peer.name for peer in settings.peers]
        self.counts: Counter[str] = Counter()
        self.authenticator = MessageAuthenticator(settings.fleet, name, epoch, load_keys(settings.key_file))
        self.membership = Membership(name, epoch, settings, peers, seed, now)
        self.store = ReplicatedStore(name, epoch, settings.retained_operations)
        self.anti_entropy = AntiEntropy(self.store, settings, seed + 1, on_change, now)
        self.connections = PeerConnections(runtime, self.authenticator, settings, self)
        self.datagrams = DatagramPort(runtime, self.authenticator, self.datagram_received, self.counts)
        self.resumed_at = -math.inf
        self.connection_lost_at: dict[str, float] = {}
        self.logged_reachability = Reachability.WAKING
        self.is_stopped = False
        self.lease_service: LeaseService | None = None

    # Start, stop, reload.

    def start(self) -> None:
        """Open both ports and begin to probe and connect."""
        host, port = split_address(self.settings.listen)
        self.connections.listen(host, port)
        self.datagrams.listen(host, port)
        self._set_neighbours()
        self.timers.after(0.0, self.tick)
        self.timers.after(REPORT_INTERVAL, self.report)
        logger.info(
            "fleet {}: {} of {} members, epoch {}",
            self.settings.fleet,
            self.name,
            len(self.settings.peers) + 1,
            self.membership.epoch,
        )

    def _set_neighbours(self) -> None:
        peers = [peer for peer in self.settings.peers if peer.name != self.name]
        self.connections.set_members(peers, neighbours(self.name, [peer.name for peer in peers]))

    def reload(self, settings: FleetSettings) -> None:
        """Go by these settings, members and keys from now on.

        Raises:
            FleetConfigurationError: only a restart can change that, or the keys cannot be used; nothing has
                changed then.
        """
        keys = load_keys(settings.key_file)
        fixed = [name for name in FIXED_SETTINGS if getattr(settings, name) != getattr(self.settings, name)]
        if fixed:
            raise FixedSettingsError(fixed)
        self.authenticator.set_keys(keys)
        self.settings = settings
        self.anti_entropy.settings = settings
        self.connections.settings = settings
        self.membership.reconfigure(settings, self.timers.now())
        self._set_neighbours()
        logger.info("fleet: {} members named now, {} keys", len(settings.peers) + 1, len(keys))

    def stop(self) -> None:
        """Leave the fleet and close all sockets."""
        if self.is_stopped:
            return
        self.is_stopped = True
        self._send_datagrams(self.membership.leave())
        self.connections.stop()
        self.datagrams.close()

    # Time.

    def tick(self) -> None:
        """Do all that is due."""
        if self.is_stopped:
            return
        self.timers.after(TICK_INTERVAL, self.tick)  # first: a fault in one part must not end the others
        now = self.timers.now()
        self.detect_pause(now)
        self._send_datagrams(self.membership.advance(now))
        self._log_changes(now)
        self._propagate_own_epoch()
        self._send_messages(self.anti_entropy.tick(now))
        if self.lease_service:
            self._send_datagrams(self.lease_service.tick(now, self.live_members()))
        self.connections.drop_silent()

    def detect_pause(self, now: float) -> None:
        """Before anything is acted on: find out whether this process was paused, and what it knows is old."""
        if self.membership.was_paused(now):
            seconds = now - self.membership.last_advance
            logger.warning("fleet: this process was paused for {:.1f} s; catching up", seconds)
            self.resumed_at = now
            self._send_datagrams(resume_after_pause(self.membership, self.anti_entropy, now))

    def _log_changes(self, now: float) -> None:
        for name, before, after, reason in self.membership.drain_changes():
            logger.bind(member=name, before=before.name, state=after.name).info(
                "fleet: {} was {}, is {}: {}", name, before.name, after.name, reason
            )
        reachability = self.membership.reachability(now)
        if reachability is not self.logged_reachability:
            logger.info(
                "fleet: own reachability was {}, is {}", self.logged_reachability.name, reachability.name
            )
            self.logged_reachability = reachability

    def _propagate_own_epoch(self) -> None:
        """Have all that goes by this front's epoch go by the membership's, which others may have raised."""
        epoch = self.membership.epoch
        if epoch == self.authenticator.epoch:
            return
        logger.warning("fleet: own epoch raised from {} to {}", self.authenticator.epoch, epoch)
        self.authenticator.epoch = epoch  # this clock went back, or there is a double
        self.store.set_epoch(epoch)
        if self.lease_service:
            self.lease_service.set_epoch(epoch)

    def report(self) -> None:
        """Log all counters, every `REPORT_INTERVAL`."""
        if self.is_stopped:
            return
        view = self.view()
        fields = {
            "alive": len(view.alive()),
            "named": len(view.members),
            "reachability": view.reachability.name,
            "health": view.health,
            "caught_up": self.anti_entropy.is_caught_up,
            "items": len(self.store.items),
            "connections": len(self.connections.established_by_peer),
            "counts": dict(self.membership.counts + self.anti_entropy.counts + self.counts),
            "connection_counts": dict(self.connections.counts),
            "dropped": dict(self.authenticator.dropped),
        }
        logger.bind(**fields).info(
            "fleet: {alive} of {named} others alive, reachability {reachability}, health {health}, "
            "caught up {caught_up}, {items} items, {connections} connections; {counts}; "
            "{connection_counts}; dropped {dropped}",
            **fields,
        )
        self.timers.after(REPORT_INTERVAL, self.report)

    # Datagrams.

    def _send_datagrams(self, sends: list[Send]) -> None:
        for send in sends:
            if peer := self.connections.members.get(send.to):
                self.datagrams.send(peer, send.body)

    def datagram_received(self, now: float, header: Header, body: m.Datagram) -> None:
        """An authenticated datagram has come."""
        self.detect_pause(now)
        if isinstance(body, m.LeaseMessage):
            self._lease_message_received(now, header, body)
            return
        self._send_datagrams(self.membership.receive(now, header.sender, header.epoch, body))
        self._log_changes(now)
        self._propagate_own_epoch()

    def _lease_message_received(self, now: float, header: Header, body: m.LeaseMessage) -> None:
        """About a strict limit: only of a member, in the epoch that is known of it."""
        member = self.membership.members.get(header.sender)
        is_known = member is not None and member.epoch == header.epoch and not self.membership.is_contested
        if self.lease_service is None or not is_known:
            self.counts["shares of nobody known"] += 1
            return
        self._send_datagrams(self.lease_service.handle(now, header.sender, header.epoch, body))

    def live_members(self) -> list[str]:
        """Names of members that are believed alive and not suspected."""
        return [one.name for one in self.membership.members.values() if one.state is State.ALIVE]

    # Connections (`ConnectionHandler`).

    def connection_up(self, peer: str, epoch: int) -> None:
        """A connection to a neighbour can be used."""
        self._send_messages(self.anti_entropy.peer_connected(peer, self.timers.now()))

    def connection_down(self, peer: str) -> None:
        """The connection to a neighbour has ended."""
        self.connection_lost_at[peer] = self.timers.now()
        self._send_messages(self.anti_entropy.peer_disconnected(peer, self.timers.now()))

    def message_received(self, peer: str, epoch: int, body: m.ConnectionMessage) -> None:
        """An authenticated message has come over a connection."""
        now = self.timers.now()
        self.detect_pause(now)
        self._send_messages(self.anti_entropy.handle(now, peer, body))

    def _send_messages(self, messages: list[PeerMessage]) -> None:
        for message in messages:
            self.connections.send(message)

    # What the front uses.

    def publish(self, kind: str, key: str, *value: int | float | str) -> None:
        """Write an item of the replicated state; kinds and values are in `replicated_items.ITEM_KINDS`."""
        self._send_messages(self.anti_entropy.write(self.timers.now(), kind, key, *value))

    def view(self) -> MembershipView:
        """What is believed of the members now."""
        return self.membership.view(self.timers.now())
