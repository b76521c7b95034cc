"""Who tells what to whom, and how one that was away gets the rest. No I/O; time is handed in.

Each change goes at once to the neighbours and on from them; a comparison of vectors every few seconds finds
what was lost on the way. One that lacks more than the others keep asks one donor for a snapshot, in pieces
at a bounded rate, and goes on where it broke off, with the next donor if that one is gone. Until it has
caught up, a front says so, gives nobody a snapshot, and its holder treats what it does not know as the
strict case.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

from weldbend.fleet import messages as m
from weldbend.fleet.membership import Membership, Send
from weldbend.fleet.replicated_store import RULES, Change, ReplicatedStore, run_of
from weldbend.fleet.settings import Terms
from weldbend.routing.random_source import RandomSource

MESH = 12  # fronts up to which each is linked to all others
BATCH = 256  # changes or items in one message
DONOR = 2.0  # seconds without a piece after which another donor is asked
VERSIONS = (1, 1)  # of what is said over links: the least and the most spoken here
DIFFER = 3  # comparisons in a row with equal vectors and other checksums, after which copies are joined whole


class Weight(IntEnum):
    """What goes first where an outbox is full: lower ones are dropped before higher ones."""

    COMPARISON = 0  # superseded by the next one
    SNAPSHOT = 1  # asked for again
    CHANGE = 2  # found missing by a comparison
    STRICT = 3  # purges, drains, starts and verdicts: dropped last


@dataclass(frozen=True, slots=True)
class Say:
    """One message to a linked peer."""

    to: str
    body: m.Linked
    weight: Weight


def neighbours(name: str, fronts: Iterable[str]) -> list[str]:
    """Whom a front is linked to: all of few, else those 1, 2, 4, ... places round a ring of hashes.

    Of N fronts each has up to 2 log2 N links (15 at 200) and a change crosses log2 N of them at most; a full
    mesh of 200 would cost each front 199 connections of its few hundred descriptors.
    """
    ring = sorted({*fronts, name}, key=lambda one: blake2b(one.encode(), digest_size=8).digest())
    if len(ring) <= MESH:
        return [one for one in ring if one != name]
    place, found, step = ring.index(name), {}, 1
    while step <= len(ring) // 2:
        for other in (ring[(place + step) % len(ring)], ring[place - step]):
            found[other] = None
        step *= 2
    found.pop(name, None)
    return list(found)


@dataclass(eq=False, slots=True)
class Link:
    """What is known of the other end of one link."""

    peer: str
    vector: dict[str, int] = field(default_factory=dict)
    whole: bool = False
    compared: float = -math.inf  # when its last comparison came
    tokens: float = 0.0  # bytes that may go now
    filled: float = 0.0
    serving: str | None = None  # the place behind which its snapshot goes on
    begun: bool = False  # its vector at the start of that was told
    differ: int = 0
    sent: int = 0  # comparisons sent
    got: int = 0  # the number of the last one that came
    asked: int = 1  # the first one sent since this front began to catch up: an answer to it is no old one
    replied: float = -math.inf  # when a comparison was last sent in answer to one


@dataclass(slots=True)
class Fetch:
    """The snapshot that is being had."""

    donor: str
    after: str = ""
    heard: float = 0.0
    floor: dict[str, int] | None = None  # what all its donors held when each began


class AntiEntropy:
    """Hand it what comes, and `turn(now)` when `due()` comes; carry out what both give back."""

    def __init__(
        self,
        name: str,
        copies: ReplicatedStore,
        terms: Terms,
        seed: int,
        changed: Callable[[Change], None],
        now: float,
    ) -> None:
        self.name, self.copies, self.terms, self.changed = name, copies, terms, changed
        self.chance = RandomSource(seed)
        self.links: dict[str, Link] = {}
        self.whole, self.since = False, now
        self.fetch: Fetch | None = None
        self.next = now
        self.refused: dict[str, float] = {}  # donors that would not, and until when not to ask them
        self.counts: Counter[str] = Counter()

    # Links.

    def up(self, peer: str, now: float) -> list[Say]:
        self.links[peer] = Link(peer, tokens=float(self.terms.rate), filled=now)
        return [self.have(peer, now)]

    def down(self, peer: str, now: float) -> list[Say]:
        self.links.pop(peer, None)
        if self.fetch and self.fetch.donor == peer:
            self.counts["donors lost"] += 1
            return self.ask_donor(now, self.fetch.after)
        return []

    def behindhand(self, now: float) -> None:
        """This process stood still: what it holds may be old, though nothing says so."""
        self.whole, self.since, self.fetch = False, now, None
        self.next = now
        for link in self.links.values():
            link.compared, link.asked = -math.inf, link.sent + 1

    def have(self, peer: str, now: float) -> Say:
        margin = 4 * self.terms.exchange
        link = self.links[peer]
        link.sent += 1
        digest = self.copies.digest(now, margin)
        body = m.Summary(self.copies.vector(), digest, self.whole, link.sent, link.got)
        return Say(peer, body, Weight.COMPARISON)

    # This front's own changes.

    def say(self, now: float, kind: str, key: str, *value: int | float | str) -> list[Say]:
        before = self.copies.number(self.copies.run)
        self.copies.say(now, kind, key, *value)
        log = self.copies.logs.get(self.copies.run)
        if log is None or log.number == before:
            return []
        return self.spread([log.ops[-1][0]], "")

    def spread(self, ops: list[m.Operation], but: str) -> list[Say]:
        if not ops:
            return []
        weight = (
            Weight.STRICT if any(op.kind in RULES and RULES[op.kind].strict for op in ops) else Weight.CHANGE
        )
        body = m.Delta(ops)
        return [Say(peer, body, weight) for peer in self.links if peer != but]

    # What comes.

    def hear(self, now: float, peer: str, body: m.Linked) -> list[Say]:
        link = self.links.get(peer)
        if link is None:
            return []
        match body:
            case m.Summary():
                return self.compare(link, body, now)
            case m.Delta(ops):
                return self.take(link, ops, now)
            case m.SnapshotRequest(after):
                if not self.whole:
                    return [Say(peer, m.SnapshotRefusal("not caught up"), Weight.SNAPSHOT)]
                if sum(one.serving is not None for one in self.links.values()) >= 2 and link.serving is None:
                    return [Say(peer, m.SnapshotRefusal("busy"), Weight.SNAPSHOT)]
                link.serving, link.begun = after, False
                self.counts["snapshots asked for"] += not after
                return self.serve(link, now)
            case m.SnapshotChunk():
                return self.piece(link, body, now)
            case m.SnapshotRefusal(why):
                return self.refusal(link, why, now)
        return []

    def take(self, link: Link, ops: list[m.Operation], now: float) -> list[Say]:
        news = []
        for op in ops:
            run = run_of(op.writer, op.epoch)
            if op.writer == self.name and op.epoch == self.copies.epoch:
                self.counts["own changes told back"] += 1
                continue
            link.vector[run] = max(link.vector.get(run, 0), op.number)
            before = (
                self.copies.number(run),
                len(self.copies.logs[run].early) if run in self.copies.logs else 0,
            )
            if change := self.copies.take(op, now):
                self.changed(change)
            log = self.copies.logs.get(run)
            if log and (log.number, len(log.early)) != before:
                news.append(op)
        return self.spread(news, link.peer)

    def compare(self, link: Link, told: m.Summary, now: float) -> list[Say]:
        first, link.got = link.compared == -math.inf, told.number
        if told.seen < link.asked:  # it may have lain here while this process stood still
            return [self.have(link.peer, now)] if first and self.reply(link, now) else []
        link.vector, link.whole, link.compared = dict(told.vector), told.whole, now
        out: list[Say] = []
        missing = self.copies.missing(link.vector, now, BATCH)
        if missing is None and not told.whole:
            pass  # it will ask for a snapshot
        elif missing:
            out += self.deltas(link, missing, now)
        if self.copies.behind(link.vector):
            if (first or not told.whole or self.fetch) and self.reply(link, now):
                out.append(self.have(link.peer, now))  # it sends what is missing, if it still can
            if not self.fetch and told.whole:
                out += self.ask_donor(now, "", link.peer) if self.far_behind(link) else []
            return out
        same = self.copies.digest(now, 4 * self.terms.exchange) == told.digest
        level = not missing and missing is not None
        link.differ = link.differ + 1 if level and not same else 0
        if link.differ >= DIFFER and told.whole and not self.fetch:
            link.differ = 0
            self.counts["copies that differed"] += 1
            return [*out, *self.ask_donor(now, "", link.peer)]
        if not self.whole and (told.whole or self.all_alike(now)):
            self.complete(now)
        return out

    def reply(self, link: Link, now: float) -> bool:
        """Whether a comparison may be answered by one: two that are each behind must not go on so."""
        if now - link.replied <= self.terms.exchange / 2:
            return False
        link.replied = now
        return True

    def far_behind(self, link: Link) -> bool:
        """More is missing than another keeps as changes, so only a snapshot will do."""
        gap = sum(max(n - self.copies.number(run), 0) for run, n in link.vector.items())
        return not self.whole or gap > self.terms.ops // 2

    def all_alike(self, now: float) -> bool:
        """Nobody has caught up, as when all were started at once: what all linked ones hold is all there is.

        Guards against a fleet that waits for a donor for ever. Should also cover one that is alone. Harm:
        with a single peer heard of so far, what a third knew is had a little later.
        """
        heard = [link for link in self.links.values() if now - link.compared < 2 * self.terms.exchange]
        settled = now - self.since > 2 * self.terms.exchange
        return settled and all(not link.whole and not self.copies.behind(link.vector) for link in heard)

    def complete(self, now: float) -> None:
        self.whole, self.fetch = True, None
        self.counts["caught up"] += 1

    def deltas(self, link: Link, ops: list[m.Operation], now: float) -> list[Say]:
        """As much as its rate allows; what is left over the next comparison finds."""
        out = []
        body = m.Delta(ops)
        if self.pay(link, len(m.encode(body)), now):
            for op in ops:
                run = run_of(op.writer, op.epoch)
                link.vector[run] = max(link.vector.get(run, 0), op.number)
            out.append(Say(link.peer, body, Weight.CHANGE))
        return out

    def pay(self, link: Link, size: int, now: float) -> bool:
        rate = self.terms.rate
        link.tokens = min(float(rate), link.tokens + (now - link.filled) * rate)
        link.filled = now
        if link.tokens < min(size, rate):
            return False
        link.tokens -= size
        return True

    # Snapshots.

    def ask_donor(self, now: float, after: str, but: str = "") -> list[Say]:
        """Ask one that has caught up itself and has not just refused; go on where the last one broke off."""
        fit = [
            link.peer
            for link in self.links.values()
            if link.whole and self.refused.get(link.peer, -math.inf) <= now
        ]
        if not fit:
            self.fetch = None
            return []
        donor = but if but in fit else fit[int(self.chance.random() * len(fit))]
        had = self.fetch if self.fetch and after else Fetch(donor)
        self.fetch = Fetch(donor, after, now, had.floor)
        return [Say(donor, m.SnapshotRequest(after), Weight.SNAPSHOT)]

    def serve(self, link: Link, now: float) -> list[Say]:
        """The next piece for one that asked, if its rate allows it now."""
        if link.serving is None:
            return []
        ops, after, last = next(self.copies.pieces(link.serving, now, BATCH))
        # what is changed meanwhile comes as changes: the snapshot amounts to what was held when it began
        body = m.SnapshotChunk(ops, after, last, {} if link.begun else self.copies.vector())
        if not self.pay(link, len(m.encode(body)), now):
            return []
        link.serving, link.begun = None if last else after, True
        return [Say(link.peer, body, Weight.SNAPSHOT)]

    def piece(self, link: Link, body: m.SnapshotChunk, now: float) -> list[Say]:
        if self.fetch is None or self.fetch.donor != link.peer:
            self.counts["pieces not asked for"] += 1
            return []
        for change in self.copies.load(body.ops, now):
            self.changed(change)
        self.fetch.after, self.fetch.heard = body.after, now
        if body.vector:
            floor = self.fetch.floor
            self.fetch.floor = (
                dict(body.vector)
                if floor is None
                else {run: min(n, body.vector[run]) for run, n in floor.items() if run in body.vector}
            )
        if body.last:
            self.copies.reach(self.fetch.floor or {}, now)
            self.fetch = None
            if not self.whole:
                self.complete(now)
            return [self.have(link.peer, now)]
        return []

    def refusal(self, link: Link, why: str, now: float) -> list[Say]:
        self.refused[link.peer] = now + DONOR
        if why == "not caught up":
            link.whole = False
        if self.fetch and self.fetch.donor == link.peer:
            return self.ask_donor(now, self.fetch.after)
        return []

    # Time.

    def due(self, now: float) -> float:
        if any(link.serving is not None for link in self.links.values()):
            return now + 0.05
        return min(self.next, self.fetch.heard + DONOR if self.fetch else math.inf)

    def turn(self, now: float) -> list[Say]:
        out: list[Say] = []
        for link in self.links.values():
            out += self.serve(link, now)
        if self.fetch and now - self.fetch.heard >= DONOR:
            self.counts["donors that fell silent"] += 1
            self.refused[self.fetch.donor] = now + 4 * DONOR
            out += self.ask_donor(now, self.fetch.after)
        if now >= self.next:
            self.next = now + self.terms.exchange * (0.75 + 0.5 * self.chance.random())
            self.copies.forget(now)
            out += [self.have(peer, now) for peer in self.links]
            if not self.whole and not self.links and now - self.since > 2 * self.terms.exchange:
                self.complete(now)  # alone: what it holds is all there is, and its view says that it is alone
        return out


def awake(members: Membership, exchange: AntiEntropy, now: float) -> list[Send]:
    """Called before anything that comes is acted on: a process that stood still finds out first.

    Guards against acting on what was known before, and on what lay in the sockets meanwhile. Harm: one
    comparison with each neighbour more.
    """
    if not members.stands_still(now):
        return []
    sends = members.turn(now)
    exchange.behindhand(now)
    return sends
