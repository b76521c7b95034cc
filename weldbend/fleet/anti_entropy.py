"""Replication of changes across the fleet, and recovery of a front that is behind.

Each change is sent at once to the neighbours, which forward it. Every few seconds, neighbours exchange
summaries and compare their version vectors, which reveals changes lost on the way (anti-entropy). A front
that has not caught up, or lacks many changes that the others may no longer retain, requests a snapshot from
one peer, the donor. The snapshot is sent in chunks at a bounded rate; if the donor fails, the transfer
continues with another donor after the last key received. While a front has not caught up, it reports this in
its summaries and serves no snapshots, and its owner assumes the most restrictive case for missing
information.

This module does no I/O, and callers pass in the time.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from weldbend.fleet import messages as m
from weldbend.fleet.membership import Membership
from weldbend.fleet.messages import Send
from weldbend.fleet.outbox import Priority
from weldbend.fleet.replicated_items import ITEM_KINDS
from weldbend.fleet.replicated_store import Change, ReplicatedStore, VersionVector, run_name
from weldbend.fleet.settings import FleetSettings
from weldbend.routing.random_source import RandomSource

BATCH_SIZE = 256  # changes or items per message
DONOR_TIMEOUT = 2.0  # seconds without a chunk after which another donor is selected
SILENT_DONOR_BACKOFF = 8.0  # seconds for which a donor that timed out is not selected again
PROTOCOL_VERSIONS = (1, 1)  # lowest and highest supported version of the protocol on connections
MAX_DIGEST_MISMATCHES = 3  # consecutive summaries, with equal vectors but other checksums, before a snapshot
MAX_CONCURRENT_SNAPSHOTS = 2  # snapshots served at the same time
CHUNK_INTERVAL = 0.05  # seconds between two chunks
DIGEST_MARGIN_INTERVALS = 4  # summary intervals for which an item must remain valid to be in the checksum
SETTLING_INTERVALS = 2  # summary intervals that a front waits for a caught-up peer after a start or a pause

# Reasons for refusing a snapshot, as sent on the wire.
NOT_CAUGHT_UP = "not caught up"
BUSY = "busy"


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message to be sent to a connected peer."""

    to: str
    body: m.ConnectionMessage
    priority: Priority


@dataclass(eq=False, slots=True)
class Link:
    """The state of the replication with a connected peer; all times are in seconds.

    Attributes:
        peer: the peer's name.
        tokens: number of bytes that could be sent to the peer at `tokens_at` (token bucket).
        tokens_at: time at which `tokens` was updated.
        vector: version vector of the peer's replica, as far as this front knows.
        is_caught_up: whether the peer reports that it has caught up.
        summary_received_at: time at which the peer's last valid summary was received.
        serving_after: key after which the snapshot served to the peer continues; None if none is served.
        has_snapshot_vector: whether the version vector at the start of that snapshot has been sent.
        mismatches: number of consecutive summaries with an equal vector but a different checksum.
        last_sent: number of the last summary sent.
        last_received: number of the last summary received.
        first_valid: number of the first summary that this front has sent on the connection, or since its last
            pause if that was later. A received summary that acknowledges only an earlier one may have been
            sent before that, and is not evaluated.
        replied_at: time at which a summary was last sent in reply to one.
    """

    peer: str
    tokens: float = 0.0
    tokens_at: float = 0.0
    vector: VersionVector = field(default_factory=dict)
    is_caught_up: bool = False
    summary_received_at: float = -math.inf
    serving_after: str | None = None
    has_snapshot_vector: bool = False
    mismatches: int = 0
    last_sent: int = 0
    last_received: int = 0
    first_valid: int = 1
    replied_at: float = -math.inf

    def consume(self, size: int, rate: int, now: float) -> bool:
        """Take `size` bytes from the token bucket, or return False if it has too few.

        The bucket is filled at `rate` bytes per second, up to the bytes of one second. A message that is
        larger than this is sent when the bucket is full, and makes `tokens` negative.
        """
        self.tokens = min(float(rate), self.tokens + (now - self.tokens_at) * rate)
        self.tokens_at = now
        if self.tokens < min(size, rate):
            return False
        self.tokens -= size
        return True

    def record_operation(self, op: m.Operation) -> None:
        """Record that the peer has a change; its predecessors in the same run count as present there too."""
        run = run_name(op.writer, op.epoch)
        self.vector[run] = max(self.vector.get(run, 0), op.number)


@dataclass(slots=True)
class SnapshotTransfer:
    """The transfer of a snapshot to this front.

    Attributes:
        donor: name of the peer that sends the snapshot.
        after: key after which the transfer continues.
        received_at: time at which the last chunk was received, or the snapshot was requested.
        floor: version vector of the changes that every donor so far had when it began to send; None before
            the first chunk.
    """

    donor: str
    after: str = ""
    received_at: float = 0.0
    floor: VersionVector | None = None

    def lower_floor(self, vector: VersionVector) -> None:
        """Limit the floor to the changes that a further donor had when it began to send."""
        if self.floor is None:
            self.floor = dict(vector)
        else:
            self.floor = {run: min(n, vector[run]) for run, n in self.floor.items() if run in vector}


class AntiEntropy:
    """The replication protocol of a front; its owner sends the messages that the methods return.

    Attributes:
        store: this front's replica.
        settings: the fleet's settings.
        links: states of the replication by the name of the connected peer.
        is_caught_up: whether this front has caught up.
        transfer: transfer of a snapshot to this front, None if there is none.
        counts: counters of events of the protocol.
    """

    def __init__(
        self,
        store: ReplicatedStore,
        settings: FleetSettings,
        seed: int,
        on_change: Callable[[Change], None],
        now: float,
    ) -> None:
        """Create the protocol without connections.

        Args:
            store: this front's replica.
            settings: the fleet's settings.
            seed: seed of the random choices.
            on_change: function that is called with every item that becomes more restrictive.
            now: current time in seconds.
        """
        self.store = store
        self.settings = settings
        self.links: dict[str, Link] = {}
        self.is_caught_up = False
        self.transfer: SnapshotTransfer | None = None
        self.counts: Counter[str] = Counter()
        self._on_change = on_change
        self._random = RandomSource(seed)
        self._lagging_since = now
        self._next_summary_at = now
        self._refused_until: dict[str, float] = {}  # by donor

    # Connections.

    def peer_connected(self, peer: str, now: float) -> list[PeerMessage]:
        """Register a connection to a peer, and return a summary to send first."""
        self.links[peer] = Link(peer, tokens=float(self.settings.peer_rate), tokens_at=now)
        return [self.next_summary(peer, now)]

    def peer_disconnected(self, peer: str, now: float) -> list[PeerMessage]:
        """Unregister a connection to a peer, and select another donor if the peer was the donor."""
        self.links.pop(peer, None)
        if self.transfer and self.transfer.donor == peer:
            self.counts["snapshot donors lost"] += 1
            return self._request_snapshot(now, self.transfer.after)
        return []

    def set_lagging(self, now: float) -> None:
        """Mark this front as behind after a pause of its process, since its replica may be out of date."""
        self.is_caught_up = False
        self._lagging_since = now
        self.transfer = None
        self._next_summary_at = now
        for link in self.links.values():
            link.summary_received_at = -math.inf
            link.first_valid = link.last_sent + 1

    def set_caught_up(self, now: float) -> None:
        """Mark this front as caught up, and end a transfer."""
        self.is_caught_up = True
        self.transfer = None
        self.counts["caught up"] += 1

    def next_summary(self, peer: str, now: float) -> PeerMessage:
        """Return the next summary to send to a peer."""
        link = self.links[peer]
        link.last_sent += 1
        body = m.Summary(
            self.store.vector(), self._digest(now), self.is_caught_up, link.last_sent, link.last_received
        )
        return PeerMessage(peer, body, Priority.COMPARISON)

    def _digest(self, now: float) -> int:
        return self.store.digest(now, DIGEST_MARGIN_INTERVALS * self.settings.summary_interval)

    # This front's own changes.

    def write(self, now: float, kind: str, key: str, *value: int | float | str) -> list[PeerMessage]:
        """Write an item, and return the messages that replicate the change."""
        before = self.store.last_number(self.store.run)
        self.store.write(now, kind, key, *value)
        log = self.store.logs.get(self.store.run)
        if log is None or log.number == before:
            return []
        return self._broadcast([log.operations[-1].operation], "")

    def _broadcast(self, ops: list[m.Operation], sender: str) -> list[PeerMessage]:
        """Return messages with changes for all connected peers except the one that sent them."""
        if not ops:
            return []
        is_critical = any(op.kind in ITEM_KINDS and ITEM_KINDS[op.kind].is_critical for op in ops)
        priority = Priority.CRITICAL if is_critical else Priority.CHANGE
        body = m.Delta(ops)
        return [PeerMessage(peer, body, priority) for peer in self.links if peer != sender]

    # Messages.

    def handle(self, now: float, peer: str, body: m.ConnectionMessage) -> list[PeerMessage]:
        """Handle a message of a connected peer, and return the messages to send."""
        link = self.links.get(peer)
        if link is None:
            return []
        outgoing: list[PeerMessage] = []
        match body:
            case m.Summary():
                outgoing = self._handle_summary(link, body, now)
            case m.Delta(ops):
                outgoing = self._handle_delta(link, ops, now)
            case m.SnapshotRequest(after):
                outgoing = self._handle_snapshot_request(link, after, now)
            case m.SnapshotChunk():
                outgoing = self._handle_chunk(link, body, now)
            case m.SnapshotRefusal(reason):
                outgoing = self._handle_refusal(link, reason, now)
        return outgoing

    def _handle_delta(self, link: Link, ops: list[m.Operation], now: float) -> list[PeerMessage]:
        new = []
        for op in ops:
            if op.writer == self.store.name and op.epoch == self.store.epoch:
                self.counts["own changes returned"] += 1
                continue
            link.record_operation(op)
            before = self._progress(op)
            if change := self.store.apply(op, now):
                self._on_change(change)
            if self._progress(op) != before:
                new.append(op)
        return self._broadcast(new, link.peer)

    def _progress(self, op: m.Operation) -> tuple[int, int]:
        """Return the number up to which the run of a change is complete, and its count of early changes."""
        log = self.store.logs.get(run_name(op.writer, op.epoch))
        return (log.number, len(log.early)) if log else (0, 0)

    def _handle_summary(self, link: Link, summary: m.Summary, now: float) -> list[PeerMessage]:
        is_first = link.summary_received_at == -math.inf
        link.last_received = summary.number
        if summary.last_received < link.first_valid:  # queued here during a pause of this front, perhaps
            return [self.next_summary(link.peer, now)] if is_first and self._may_reply(link, now) else []
        link.vector = dict(summary.vector)
        link.is_caught_up = summary.is_caught_up
        link.summary_received_at = now
        missing = self.store.changes_after(link.vector, now, BATCH_SIZE)
        # If `missing` is None, some changes that the peer lacks are not retained; it requests a snapshot.
        outgoing = self._send_changes(link, missing, now) if missing else []
        if self.store.is_behind(link.vector):
            return outgoing + self._catch_up(link, is_first, now)
        self._compare_digests(link, summary, missing, now)
        if link.mismatches >= MAX_DIGEST_MISMATCHES and summary.is_caught_up and not self.transfer:
            link.mismatches = 0
            self.counts["replicas that differed"] += 1
            return outgoing + self._request_snapshot(now, "", link.peer)
        if not self.is_caught_up and (summary.is_caught_up or self._all_peers_equal(now)):
            self.set_caught_up(now)
        return outgoing

    def _catch_up(self, link: Link, is_first: bool, now: float) -> list[PeerMessage]:
        """Return the messages that request the changes which the peer has and this front lacks."""
        outgoing = []
        if (is_first or not link.is_caught_up or self.transfer) and self._may_reply(link, now):
            outgoing.append(self.next_summary(link.peer, now))  # the peer replies with the changes it retains
        if not self.transfer and link.is_caught_up and self._requires_snapshot(link):
            outgoing += self._request_snapshot(now, "", link.peer)
        return outgoing

    def _compare_digests(
        self, link: Link, summary: m.Summary, missing: list[m.Operation] | None, now: float
    ) -> None:
        is_same = self._digest(now) == summary.digest
        has_equal_vector = not missing and missing is not None
        link.mismatches = link.mismatches + 1 if has_equal_vector and not is_same else 0

    def _may_reply(self, link: Link, now: float) -> bool:
        """Return whether to reply to a summary with a summary now, and record the reply.

        At most one reply per half a summary interval prevents endless mutual replies.
        """
        if now - link.replied_at <= self.settings.summary_interval / 2:
            return False
        link.replied_at = now
        return True

    def _requires_snapshot(self, link: Link) -> bool:
        """Return whether this front needs a snapshot from a peer.

        It does until it has caught up, and afterwards if it lacks so many changes (half of those retained per
        run) that the peer may not retain all of them.
        """
        gap = sum(max(n - self.store.last_number(run), 0) for run, n in link.vector.items())
        return not self.is_caught_up or gap > self.settings.retained_operations // 2

    def _is_past_settling_time(self, now: float) -> bool:
        return now - self._lagging_since > SETTLING_INTERVALS * self.settings.summary_interval

    def _all_peers_equal(self, now: float) -> bool:
        """Return whether this front may count as caught up although none of its connected peers has.

        This is the case after the settling time if no peer with a recent summary has caught up, and this
        front is behind none of them. Without this rule, fronts that start at the same time would wait for a
        donor for ever. It also covers a front without peers. As a side effect, a front that has compared
        summaries with a single peer so far may count as caught up before it receives the items of a third
        front.
        """
        recent = [
            link
            for link in self.links.values()
            if now - link.summary_received_at < SETTLING_INTERVALS * self.settings.summary_interval
        ]
        return self._is_past_settling_time(now) and all(
            not link.is_caught_up and not self.store.is_behind(link.vector) for link in recent
        )

    def _send_changes(self, link: Link, ops: list[m.Operation], now: float) -> list[PeerMessage]:
        """Return a message with changes if the peer's rate allows it; else a later summary finds them."""
        body = m.Delta(ops)
        if not link.consume(len(m.encode(body)), self.settings.peer_rate, now):
            return []
        for op in ops:
            link.record_operation(op)
        return [PeerMessage(link.peer, body, Priority.CHANGE)]

    # Snapshots.

    def _request_snapshot(self, now: float, after: str, preferred: str = "") -> list[PeerMessage]:
        """Return a request for a snapshot to a peer that has caught up and did not refuse or fail recently.

        Args:
            now: current time in seconds.
            after: key after which an interrupted transfer continues, empty for a new one.
            preferred: name of the donor to use if it is available.
        """
        donors = [
            link.peer
            for link in self.links.values()
            if link.is_caught_up and self._refused_until.get(link.peer, -math.inf) <= now
        ]
        if not donors:
            self.transfer = None
            return []
        donor = preferred if preferred in donors else donors[int(self._random.random() * len(donors))]
        floor = self.transfer.floor if self.transfer and after else None
        self.transfer = SnapshotTransfer(donor, after, now, floor)
        return [PeerMessage(donor, m.SnapshotRequest(after), Priority.SNAPSHOT)]

    def _handle_snapshot_request(self, link: Link, after: str, now: float) -> list[PeerMessage]:
        if not self.is_caught_up:
            return [PeerMessage(link.peer, m.SnapshotRefusal(NOT_CAUGHT_UP), Priority.SNAPSHOT)]
        served = sum(one.serving_after is not None for one in self.links.values())
        if served >= MAX_CONCURRENT_SNAPSHOTS and link.serving_after is None:
            return [PeerMessage(link.peer, m.SnapshotRefusal(BUSY), Priority.SNAPSHOT)]
        link.serving_after = after
        link.has_snapshot_vector = False
        if not after:
            self.counts["snapshots requested"] += 1
        return self._serve_snapshot(link, now)

    def _serve_snapshot(self, link: Link, now: float) -> list[PeerMessage]:
        """Return the next chunk for a peer that has requested a snapshot, if the peer's rate allows it."""
        if link.serving_after is None:
            return []
        chunk = next(self.store.snapshot_chunks(link.serving_after, now, BATCH_SIZE))
        # Changes made during the transfer are sent separately, so the snapshot corresponds to the version
        # vector at its start.
        vector = {} if link.has_snapshot_vector else self.store.vector()
        body = m.SnapshotChunk(chunk.operations, chunk.after, chunk.is_last, vector)
        if not link.consume(len(m.encode(body)), self.settings.peer_rate, now):
            return []
        link.serving_after = None if chunk.is_last else chunk.after
        link.has_snapshot_vector = True
        return [PeerMessage(link.peer, body, Priority.SNAPSHOT)]

    def _handle_chunk(self, link: Link, body: m.SnapshotChunk, now: float) -> list[PeerMessage]:
        transfer = self.transfer
        if transfer is None or transfer.donor != link.peer:
            self.counts["snapshot chunks not requested"] += 1
            return []
        for change in self.store.load_snapshot(body.operations, now):
            self._on_change(change)
        transfer.after = body.after
        transfer.received_at = now
        if body.vector:
            transfer.lower_floor(body.vector)
        if not body.is_last:
            return []
        self.store.advance_to(transfer.floor or {}, now)
        self.transfer = None
        if not self.is_caught_up:
            self.set_caught_up(now)
        return [self.next_summary(link.peer, now)]

    def _handle_refusal(self, link: Link, reason: str, now: float) -> list[PeerMessage]:
        self._refused_until[link.peer] = now + DONOR_TIMEOUT
        if reason == NOT_CAUGHT_UP:
            link.is_caught_up = False
        if self.transfer and self.transfer.donor == link.peer:
            return self._request_snapshot(now, self.transfer.after)
        return []

    # Time.

    def next_due(self, now: float) -> float:
        """Return the time at which `tick` is due next, in seconds."""
        if any(link.serving_after is not None for link in self.links.values()):
            return now + CHUNK_INTERVAL
        timeout = self.transfer.received_at + DONOR_TIMEOUT if self.transfer else math.inf
        return min(self._next_summary_at, timeout)

    def tick(self, now: float) -> list[PeerMessage]:
        """Return the chunks, requests and summaries that are due."""
        outgoing: list[PeerMessage] = []
        for link in self.links.values():
            outgoing += self._serve_snapshot(link, now)
        if self.transfer and now - self.transfer.received_at >= DONOR_TIMEOUT:
            self.counts["snapshot donors timed out"] += 1
            self._refused_until[self.transfer.donor] = now + SILENT_DONOR_BACKOFF
            outgoing += self._request_snapshot(now, self.transfer.after)
        if now >= self._next_summary_at:
            self._next_summary_at = now + self.settings.summary_interval * (
                0.75 + 0.5 * self._random.random()
            )
            self.store.discard_expired(now)
            outgoing += [self.next_summary(peer, now) for peer in self.links]
            if not self.is_caught_up and not self.links and self._is_past_settling_time(now):
                # Without connected peers there is nothing to receive; the view shows which members are heard.
                self.set_caught_up(now)
        return outgoing


def resume_after_pause(members: Membership, exchange: AntiEntropy, now: float) -> list[Send]:
    """Reset membership and replication if this process was paused.

    It must be called before any received message is handled. It prevents actions on outdated data and on
    messages that were queued in the sockets during the pause. As a side effect, one more summary is exchanged
    with each neighbour.

    Returns:
        Datagrams to send; none if this process was not paused.
    """
    if not members.was_paused(now):
        return []
    sends = members.advance(now)
    exchange.set_lagging(now)
    return sends
