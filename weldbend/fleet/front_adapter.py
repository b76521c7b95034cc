"""Between a front and its fleet: what this front knows goes out, what others know comes in, at the same door.

Whatever comes from a peer may make this front stricter at once and loosens nothing: a purge bounds the age of
copies, a drain or removal of a newer list than this front has read takes a cache out, a later start makes it
cold, a deduped download that may have run elsewhere is bound to its group and window. What the front's own
bus says of a cache holds again once it has read as far as the list that a peer spoke of. Evidence on caches
and counts of wishes are no rule's: the decisions weigh them with what the front sees itself.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from loguru import logger

from weldbend.event_bus.endpoint_registry import ENDPOINT_STATES
from weldbend.event_bus.events import EndpointListUpdate, Purge, SequencedEvent
from weldbend.fleet import health_reports, idempotency, popularity
from weldbend.fleet.admin_server import AdminServer
from weldbend.fleet.conservative_merge import STATES, PeerPurges, stricter_state
from weldbend.fleet.health_reports import HealthReport, HealthReporter
from weldbend.fleet.popularity import PopularityCounts, PopularitySlots
from weldbend.fleet.quota_service import QuotaService
from weldbend.fleet.replicated_items import ITEM_KINDS, NOWHERE
from weldbend.fleet.replicated_store import Change
from weldbend.fleet.service import Fleet, FleetConfigurationError
from weldbend.fleet.settings import Terms
from weldbend.routing.events import (
    ExecutedElsewhere,
    ObjectsPurged,
    PeerHealthReport,
    PeerKnowledge,
    PossibleExecution,
)
from weldbend.routing.random_source import RandomSource
from weldbend.routing.reports import health_counts
from weldbend.routing.settings import DeduplicationScope, Idempotency

HOLD = 0.3  # seconds for which decisions wait for the bus, or else for peers, after a standstill
SETTLE = 0.02  # and for what comes with the first word of them
TICK = 1.0  # seconds between two looks at what to say of caches and wishes, and at what others say


class FleetAdapter:
    """Made by a front that has a fleet; `loop` is its loop round the decisions."""

    def __init__(self, loop: Any, name: str, terms: Terms, reactor: Any, timers: Any, offset: int) -> None:
        self.loop, self.offset, self.timers = loop, offset, timers
        clock = loop.clock
        epoch = int(clock.unix() * 1000)
        self.fleet = Fleet(reactor, timers, name, terms, self.changed, epoch, clock.random_bytes)
        self.reactor = reactor
        self.hearings: Callable[[], int] = lambda: 0  # how often this front's bus was heard
        self.held = (-math.inf, 0)  # since when, at most, decisions wait after a standstill; hearings by then
        self.fresh = math.inf  # until when, once the bus or a peer was heard: for what came with it
        self.counts: Counter[str] = Counter()
        self.purges, self.teller, self.slots, self.wishes = (
            PeerPurges(),
            HealthReporter(),
            PopularitySlots(),
            PopularityCounts(),
        )
        self.number = 0  # of what this run says in its own words
        self.doubted: dict[int, tuple[float, float]] = {}  # the evidence that the decisions hold
        deduped = [
            t for t in loop.site.settings.classes.values() if t.idempotency is Idempotency.DEDUPLICATED
        ]
        self.doubt = idempotency.UnknownAttempts(max((t.deduplication_window for t in deduped), default=0.0))
        loop.join_fleet(self)
        self.sharing = QuotaService(
            loop, self.fleet, RandomSource(int.from_bytes(clock.random_bytes(4), "big"))
        )
        self.control = AdminServer(self.fleet, self.sharing.admin_handlers())

    def start(self, known: list[SequencedEvent]) -> None:
        self.fleet.start()
        if self.fleet.terms.control:
            self.control.listen(self.reactor)
        for numbered in known:
            self.told(numbered)
        self.timers.after(TICK, self.tick)

    def stop(self) -> None:
        self.fleet.stop()
        self.control.stop()

    def reload(self, terms: Terms) -> None:
        """SIGHUP: members and keys as the installation file has them; one that is wrong changes nothing."""
        try:
            self.fleet.reload(terms)
            self.sharing.members_changed()
        except FleetConfigurationError as wrong:
            logger.error("fleet: new installation not taken, the old one stays: {}", wrong)

    # What the front's own bus told, after the loop heard it.

    def told(self, numbered: SequencedEvent) -> None:
        self.offset = max(self.offset, numbered.offset)
        match numbered.event:
            case EndpointListUpdate(_, targets):
                for target in targets:
                    if target.state != "up" or ("drain", target.uid) in self.fleet.copies.items:
                        self.fleet.say("drain", target.uid, numbered.offset, STATES.index(target.state))
                    if target.started_at:
                        self.fleet.say("start", target.uid, round(target.started_at * 1000))
                    self.hold(target.uid)
                    if target.started_at:
                        self.sharing.cache_restarted(target.uid)
            case Purge(key, group, at):
                self.fleet.say("purge", f"k:{key}" if key else f"g:{group}", int(at * 1000))
        self.fleet.say("bus", self.fleet.name, self.offset)

    # What the front does, as its loop tells it.

    def count_request(self, type: str, key: str, part: int, repeat: bool) -> int:
        """A client's wish, counted here; how often other fronts of the zone had it lately."""
        if self.loop.site.settings.classes[type].origin_only or not self.fleet.terms.popularity:
            return 0
        name = popularity.object_hash(key, part)
        if not repeat:
            self.slots.add(name)
        return self.wishes.count_of(name)

    def holds_decisions(self, now: float) -> bool:
        """Whether decisions wait a moment: this process stood still, and what it knows is old.

        Guards against sending to what was drained or purged meanwhile, before that is read. Should also cover
        a machine frozen for minutes. Harm: the first downloads after it are late by `HOLD` at most.
        """
        self.fleet.wake(now)
        if self.fleet.woke != self.held[0]:
            self.held, self.fresh = (self.fleet.woke, self.hearings()), math.inf
        if self.fleet.exchange.is_caught_up or self.hearings() > self.held[1]:
            self.fresh = min(self.fresh, now + SETTLE)
        return now < min(self.held[0] + HOLD, self.fresh)

    def possible_executions(self, type: str, once: str, repeat: bool) -> tuple[PossibleExecution, ...]:
        """Earlier pulls of a deduped download, at any front, that may have run."""
        kind, now = self.loop.site.settings.classes[type], self.timers.now()
        if kind.idempotency is not Idempotency.DEDUPLICATED:
            return ()
        item = self.fleet.copies.items.get(("keyed", once))
        if item and item.is_live(ITEM_KINDS["keyed"], now):
            self.counts["downloads that may have run"] += 1
            return (idempotency.possible_execution(item.value, item.written_at, now, self.loop.clock.unix()),)
        members = self.fleet.members.members.values()
        unsure = self.doubt.may_exist(self.fleet.exchange.is_caught_up, self.fleet.lost, members, now)
        if repeat and kind.deduplication_scope is not DeduplicationScope.ALL and unsure:
            self.counts["repeats held for run, not knowing"] += 1
            return (PossibleExecution(NOWHERE, -1, now),)
        return ()

    def is_over_limit(self, type: str, client: str) -> bool:
        return self.sharing.exceeds_limit(type, client)

    def is_banned(self, client: str) -> bool:
        return self.sharing.is_banned(client)

    def report_ban(self, client: str) -> None:
        self.sharing.publish_ban(client)

    def attempt_sent(self, type: str, once: str, cache: int) -> None:
        """A pull of a deduped download goes out: others are told before its bytes leave."""
        kind, held = self.loop.site.settings.classes[type], self.loop.router.caches.get(cache)
        if kind.idempotency is Idempotency.DEDUPLICATED and held:
            group = idempotency.deduplication_group(kind.deduplication_scope, held.zone, held.cell)
            self.fleet.say("keyed", once, group, int(self.loop.clock.unix() * 1000))

    # What peers know.

    def changed(self, change: Change) -> None:
        match change.kind:
            case "purge":
                self.purged(change)
            case "drain" | "start":
                self.hold(change.key)
            case "keyed":
                self.ran_too(change)
            case "popular":
                self.wished(change)

    def purged(self, change: Change) -> None:
        clock = self.loop.clock
        at = self.purges.effective_from(change.value[0] / 1000, clock.now(), clock.unix())
        self.counts["purges not taken"] = self.purges.anomalies
        if at is None:
            return
        key, group = (change.key[2:], 0) if change.key.startswith("k:") else (None, int(change.key[2:]))
        self.counts["purges from peers"] += 1
        self.loop.post(ObjectsPurged(key, group, clock.age(at)))
        self.loop.pool.cancel_purged(key, group)

    def hold(self, uid: str) -> None:
        """Keep a cache as strictly as the newest list says that any front has read.

        Should also cover a list of this front's own that comes later but is older.
        """
        items, names = self.fleet.copies.items, self.loop.names
        if uid not in names.numbers:
            return
        drain, start = items.get(("drain", uid)), items.get(("start", uid))
        state = stricter_state(drain.value if drain else None, self.offset)
        state_known = ENDPOINT_STATES[state] if state else None
        started = None
        if start:
            started = names.start_time(uid, start.value[0] / 1000, self.loop.clock.now())
        if state_known is None and started is None:
            return
        number = names.numbers[uid]
        self.counts["caches held strictly"] += state_known is not None
        self.loop.post(PeerKnowledge(number, state_known, started))
        if started is not None:
            self.sharing.cache_restarted(uid)
        if state_known is not None:
            self.loop.pool.cancel_concerning({number})
            logger.bind(cache=uid).info(
                "fleet: {} is {} by event {}, which this front's bus has not told",
                uid,
                state_known.name,
                drain.value[0],
            )

    def ran_too(self, change: Change) -> None:
        now, unix = self.timers.now(), self.loop.clock.unix()
        for request in self.loop.requests.by_client_id.values():
            if request.parsed.idempotency_key == change.key:
                held = idempotency.possible_execution(change.value, now - change.age, now, unix)
                self.loop.post(ExecutedElsewhere(request.id, held))

    def wished(self, change: Change) -> None:
        """Fronts of the same zone ask the same edges; words of this name are those of an earlier run."""
        terms, writer = self.fleet.terms, change.key.rpartition("|")[2]
        zones = {peer.name: peer.zone for peer in terms.peers} | {self.fleet.name: terms.zone}
        if terms.popularity and zones.get(writer) == terms.zone:
            until = self.timers.now() + ITEM_KINDS["popular"].lifetime - change.age
            self.wishes.replace(change.key, str(change.value[2]), until)

    # Time.

    def tick(self) -> None:
        if self.fleet.stopped:
            return
        self.timers.after(TICK, self.tick)
        now = self.timers.now()
        self.wishes.discard_expired(now)
        if self.fleet.terms.popularity and (slot := self.slots.tick(now)):
            key = f"{slot[0] % popularity.SLOTS}|{self.fleet.name}"
            self.wishes.remove(key)  # of an earlier run of this front
            self.fleet.say("popular", key, self.fleet.copies.epoch, *slot)
        words = self.words(now)
        self.say_evidence(now, words)
        self.weigh(words)
        self.sharing.tick(now, self.with_own(now, words))

    def say_evidence(self, now: float, words: dict[str, list[HealthReport]]) -> None:
        uids, record = self.loop.names.uids, health_counts(self.loop.router, now)
        mine = {uids[n]: r for n, r in record.items() if n in uids}
        for uid, held in self.teller.due_reports(now, mine, words):
            self.number += 1
            self.fleet.say(
                "evidence", f"{uid}|{self.fleet.name}", self.fleet.copies.epoch, self.number, *held
            )

    def words(self, now: float) -> dict[str, list[HealthReport]]:
        """What other members say of each cache now."""
        said: dict[str, dict[str, tuple[float, tuple[float, float]]]] = defaultdict(dict)
        for (kind, key), item in self.fleet.copies.items.items():
            if kind == "evidence" and now - item.written_at < health_reports.SPAN:
                uid, _, writer = key.rpartition("|")
                said[uid][writer] = now - item.written_at, (float(item.value[2]), float(item.value[3]))
        terms = self.fleet.terms
        near = {peer.name: peer.zone == terms.zone for peer in terms.peers if peer.name != self.fleet.name}
        whole = {writer: record for writer, (_, record) in said.pop(health_reports.ALL_CACHES, {}).items()}
        return {
            uid: [
                HealthReport(writer, near[writer], age, record, whole.get(writer, record))
                for writer, (age, record) in sorted(words.items())
                if writer in near
            ]
            for uid, words in said.items()
        }

    def with_own(self, now: float, words: dict[str, list[HealthReport]]) -> dict[str, list[HealthReport]]:
        """The same with what this front has to say itself: a verdict goes by the words of all."""
        uids, record = self.loop.names.uids, health_counts(self.loop.router, now)
        whole = sum(good for good, _ in record.values()), sum(bad for _, bad in record.values())
        found = dict(words)
        for number, held in record.items():
            uid = uids.get(number)
            if uid and (uid in words or held[1]):
                found[uid] = [*words.get(uid, ()), HealthReport(self.fleet.name, True, 0.0, held, whole)]
        return found

    def weigh(self, words: dict[str, list[HealthReport]]) -> None:
        """Tell the decisions what others' evidence on each cache amounts to, where that has changed."""
        numbers = self.loop.names.numbers
        found = {numbers[uid]: health_reports.combined(said) for uid, said in words.items() if uid in numbers}
        held = {number: record for number, record in found.items() if record[1]}
        for number in {*held, *self.doubted}:
            record = held.get(number, (0.0, 0.0))
            if record != self.doubted.get(number, (0.0, 0.0)):
                self.loop.post(PeerHealthReport(number, *record))
        self.doubted = held
