"""How changes spread over the fleet, and how a front that was away catches up. No I/O; time is handed in.

Each change goes at once to the neighbours and on from them; a comparison of version vectors every few seconds
finds what was lost on the way (anti-entropy). A front that lacks more than the others keep requests a
snapshot from one donor, in chunks at a bounded rate, and goes on where it broke off, with the next donor if
that one is down. Until it has caught up, a front says so, gives nobody a snapshot, and its owner treats what
it does not know as the strict case.
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

BATCH_SIZE = 256  # changes or items in one message
DONOR_TIMEOUT = 2.0  # seconds without a chunk after which another donor is chosen
SILENT_DONOR_BACKOFF = 8.0  # seconds for which a donor that timed out is not chosen again
PROTOCOL_VERSIONS = (1, 1)  # of connections between fronts: the least and the most spoken here
MAX_DIGEST_MISMATCHES = 3  # summaries in a row with equal vectors and other checksums before a merge
MAX_CONCURRENT_SNAPSHOTS = 2  # served at a time
CHUNK_INTERVAL = 0.05  # seconds between two chunks
DIGEST_MARGIN_INTERVALS = 4  # summary intervals for which an item must stay live to be in the checksum
SETTLING_INTERVALS = 2  # intervals after which nobody is waited for any more
# Reasons of a refusal, as they are sent.
NOT_CAUGHT_UP = "not caught up"
BUSY = "busy"


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """One message to send to a connected peer."""

    to: str
    body: m.ConnectionMessage
    priority: Priority


@dataclass(eq=False, slots=True)
class Link:
    """What is known of the other end of one connection.

    Attributes:
        peer: its name.
        tokens: bytes that may be sent to it now, at `tokens_at` seconds.
        tokens_at: when `tokens` were counted.
        vector: what it holds.
        is_caught_up: whether it says that it has caught up.
        summary_received_at: when its last comparison came.
        serving_after: the place behind which its snapshot goes on; None where it gets none.
        has_snapshot_vector: whether the vector at the start of that snapshot was sent.
        mismatches: comparisons in a row with an equal vector and another checksum.
        last_sent: number of the last comparison sent.
        last_received: number of the last one that came.
        first_valid: the first one sent since this front began to catch up: an answer to it is no old one.
        replied_at: when a comparison was last sent in answer to one.
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
        """Take so many bytes of what may be sent at a rate (bytes a second); False where they may not yet."""
        self.tokens = min(float(rate), self.tokens + (now - self.tokens_at) * rate)
        self.tokens_at = now
        if self.tokens < min(size, rate):
            return False
        self.tokens -= size
        return True

    def record_operation(self, op: m.Operation) -> None:
        """Note that the other end has a change, and those before it."""
        run = run_name(op.writer, op.epoch)
        self.vector[run] = max(self.vector.get(run, 0), op.number)


@dataclass(slots=True)
class SnapshotTransfer:
    """The snapshot that this front receives.

    Attributes:
        donor: who sends it.
        after: the place behind which it goes on.
        received_at: when the last chunk came, or was requested.
        floor: what all its donors held when each began; None before the first chunk.
    """

    donor: str
    after: str = ""
    received_at: float = 0.0
    floor: VersionVector | None = None

    def lower_floor(self, vector: VersionVector) -> None:
        """Note what one more donor held when it began."""
        if self.floor is None:
            self.floor = dict(vector)
        else:
            self.floor = {run: min(n, vector[run]) for run, n in self.floor.items() if run in vector}


class AntiEntropy:
    """Spreads changes, and catches up; its owner sends the messages that its methods return.

    Attributes:
        store: this front's replica.
        settings: of the fleet.
        links: connections, by peer.
        is_caught_up: whether this front has caught up.
        transfer: the snapshot that it receives; None where it receives none.
        counts: counters.
    """

    def __init__(
        self,
        store: ReplicatedStore,
        settings: FleetSettings,
        seed: int,
        on_change: Callable[[Change], None],
        now: float,
    ) -> None:
        """Make it without connections; `on_change` is called with every item that becomes stricter."""
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
        """A connection to a peer is up: send a comparison first."""
        self.links[peer] = Link(peer, tokens=float(self.settings.peer_rate), tokens_at=now)
        return [self.next_summary(peer, now)]

    def peer_disconnected(self, peer: str, now: float) -> list[PeerMessage]:
        """A connection to a peer is down."""
        self.links.pop(peer, None)
        if self.transfer and self.transfer.donor == peer:
            self.counts["snapshot donors lost"] += 1
            return self._request_snapshot(now, self.transfer.after)
        return []

    def set_lagging(self, now: float) -> None:
        """This process stood still: what it holds may be old, though nothing says so."""
        self.is_caught_up = False
        self._lagging_since = now
        self.transfer = None
        self._next_summary_at = now
        for link in self.links.values():
            link.summary_received_at = -math.inf
            link.first_valid = link.last_sent + 1

    def set_caught_up(self, now: float) -> None:
        """This front holds all there is."""
        self.is_caught_up = True
        self.transfer = None
        self.counts["caught up"] += 1

    def next_summary(self, peer: str, now: float) -> PeerMessage:
        """Return the next comparison to send to a peer."""
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
        """Make a change of this front's own, and spread it."""
        before = self.store.last_number(self.store.run)
        self.store.write(now, kind, key, *value)
        log = self.store.logs.get(self.store.run)
        if log is None or log.number == before:
            return []
        return self._broadcast([log.operations[-1].operation], "")

    def _broadcast(self, ops: list[m.Operation], sender: str) -> list[PeerMessage]:
        """Changes to all connected peers but the one that sent them."""
        if not ops:
            return []
        is_critical = any(op.kind in ITEM_KINDS and ITEM_KINDS[op.kind].is_critical for op in ops)
        priority = Priority.CRITICAL if is_critical else Priority.CHANGE
        body = m.Delta(ops)
        return [PeerMessage(peer, body, priority) for peer in self.links if peer != sender]

    # Messages.

    def handle(self, now: float, peer: str, body: m.ConnectionMessage) -> list[PeerMessage]:
        """Handle a message of a connected peer."""
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
        """How far the log of a change's run has come, and how many changes after a gap it has."""
        log = self.store.logs.get(run_name(op.writer, op.epoch))
        return (log.number, len(log.early)) if log else (0, 0)

    def _handle_summary(self, link: Link, summary: m.Summary, now: float) -> list[PeerMessage]:
        is_first = link.summary_received_at == -math.inf
        link.last_received = summary.number
        if summary.last_received < link.first_valid:  # it may have waited here while this process stood still
            return [self.next_summary(link.peer, now)] if is_first and self._may_reply(link, now) else []
        link.vector = dict(summary.vector)
        link.is_caught_up = summary.is_caught_up
        link.summary_received_at = now
        missing = self.store.changes_after(link.vector, now, BATCH_SIZE)
        outgoing = self._send_changes(link, missing, now) if missing else []  # None: it requests a snapshot
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
        """Get what the other end has and this front lacks."""
        outgoing = []
        if (is_first or not link.is_caught_up or self.transfer) and self._may_reply(link, now):
            outgoing.append(self.next_summary(link.peer, now))  # it sends what is missing, if it still can
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
        """Whether a comparison may be answered by one: two that are each behind must not go on so."""
        if now - link.replied_at <= self.settings.summary_interval / 2:
            return False
        link.replied_at = now
        return True

    def _requires_snapshot(self, link: Link) -> bool:
        """Whether more is missing than another keeps as changes, so only a snapshot will do."""
        gap = sum(max(n - self.store.last_number(run), 0) for run, n in link.vector.items())
        return not self.is_caught_up or gap > self.settings.retained_operations // 2

    def _is_past_settling_time(self, now: float) -> bool:
        return now - self._lagging_since > SETTLING_INTERVALS * self.settings.summary_interval

    def _all_peers_equal(self, now: float) -> bool:
        """Whether what all connected ones hold is all there is, as when all were started at once.

        Guards against a fleet that waits for a donor for ever. Should also cover one that is alone. Harm:
        with a single peer compared with so far, what a third knew comes a little later.
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
        """As much as its rate allows; what is left over the next comparison finds."""
        body = m.Delta(ops)
        if not link.consume(len(m.encode(body)), self.settings.peer_rate, now):
            return []
        for op in ops:
            link.record_operation(op)
        return [PeerMessage(link.peer, body, Priority.CHANGE)]

    # Snapshots.

    def _request_snapshot(self, now: float, after: str, preferred: str = "") -> list[PeerMessage]:
        """Request one of a peer that has caught up and did not just refuse.

        Goes on where the last one broke off (`after`).
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
        """The next chunk for a peer that requested one, if its rate allows it now."""
        if link.serving_after is None:
            return []
        chunk = next(self.store.snapshot_chunks(link.serving_after, now, BATCH_SIZE))
        # what is changed meanwhile comes as changes: the snapshot amounts to what was held when it began
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
        """Return when `tick` is to be called next, in seconds."""
        if any(link.serving_after is not None for link in self.links.values()):
            return now + CHUNK_INTERVAL
        timeout = self.transfer.received_at + DONOR_TIMEOUT if self.transfer else math.inf
        return min(self._next_summary_at, timeout)

    def tick(self, now: float) -> list[PeerMessage]:
        """Return chunks, requests and comparisons that are due."""
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
                self.set_caught_up(now)  # alone: what it holds is all there is, and its view says so
        return outgoing


def resume_after_pause(members: Membership, exchange: AntiEntropy, now: float) -> list[Send]:
    """Find out first whether this process stood still, before anything that comes is acted on.

    Guards against acting on what was known before, and on what waited in the sockets meanwhile. Harm: one
    comparison with each neighbour more.

    Returns:
        What to send; nothing where it did not stand still.
    """
    if not members.was_paused(now):
        return []
    sends = members.advance(now)
    exchange.set_lagging(now)
    return sends
