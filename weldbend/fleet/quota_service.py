"""What this front shares of limits and verdicts with others, between its loop, its copies and the choices.

Strict limits: the budgets of cold caches and the operators' rates, in books of shares (`limits`). Soft ones:
what is out at the parents and the operators' other rates, by need (`needs`). Verdicts on caches
(`verdicts.Court`), clients that are cast out, starts that no list told. The bridge asks and tells; nothing
here does I/O.
"""

import math
import re
import zlib
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from weldbend.fleet import outlier_detection
from weldbend.fleet.demand_share import DemandEstimate, part
from weldbend.fleet.health_reports import HealthReport
from weldbend.fleet.lease_ledger import PARTS, LeaseTimes
from weldbend.fleet.lease_policy import Use
from weldbend.fleet.lease_service import LeaseService, Rate
from weldbend.fleet.membership import Reachability
from weldbend.fleet.replicated_store import RULES
from weldbend.fleet.service import Fleet
from weldbend.routing.events import EjectionUpdate, ParentQuota, PeerKnowledge, SlowStartQuota
from weldbend.routing.random_source import RandomSource
from weldbend.routing.reports import slow_start_demand
from weldbend.routing.settings import Role

SECOND = 1.0  # window of the operators' rates
HEAVY = 8  # clients of which this front tells, those that ask most
NAMED = 10.0  # seconds after which a front says again whom its file names
CLIENT = re.compile(r"[0-9a-fA-F.:]{2,45}")
PARENTS = "parents"  # the name of that need


@dataclass(slots=True)
class Cold:
    """A cold cache, as the spender of its budget."""

    sharing: "QuotaService"
    uid: str
    number: int
    cover: float  # the part of the fronts that may send to it which share by leases

    def use(self, now: float) -> Use:
        router = self.sharing.loop.router
        if self.number not in router.caches:  # it has left the list
            return Use(0.0, 0.0)
        demand = slow_start_demand(router, self.number, now)
        whole = demand.fleet_budget * self.cover
        if not 0 < whole < math.inf:
            return Use(0.0, 0.0)
        sent, wanted, work = demand.sent, demand.wanted, demand.attempt_work
        return Use(sent / whole * PARTS, wanted / whole * PARTS, work / whole * PARTS)

    def holds(self, kept: int, borrowed: int, until: float) -> None:
        """First of all that waits: what is decided from now on goes by it."""
        cover = self.cover / PARTS
        share = SlowStartQuota(self.number, True, kept * cover, borrowed * cover, until)
        self.sharing.loop.post(share, first=True)


@dataclass(slots=True)
class Soft:
    """A rate that is divided by need: this front's part of it in each second."""

    most: float
    need: DemandEstimate = field(default_factory=DemandEstimate)
    part: float = 1.0
    taken: deque[float] = field(default_factory=deque)

    def take(self, now: float) -> bool:
        self.need.add()
        while self.taken and self.taken[0] <= now - SECOND:
            self.taken.popleft()
        if len(self.taken) + 1 > max(self.most * self.part, 1.0):
            return False
        self.taken.append(now)
        return True


class QuotaService:
    """Made by the bridge of a front that has a fleet."""

    def __init__(self, loop: Any, fleet: Fleet, chance: RandomSource) -> None:
        self.loop, self.fleet, self.chance = loop, fleet, chance
        self.counts: Counter[str] = Counter()
        now, terms = loop.clock.now(), fleet.terms.limits
        longest = max(loop.site.settings.edge_overload_window, SECOND)
        quiet = LeaseTimes(terms.lease, longest, terms.drift).quiet
        self.limits = fleet.limits = LeaseService(
            fleet.name, fleet.members.epoch, chance, now + quiet, self.opens, loop.clock.unix
        )
        self.limits.newcomer = bool(fleet.members.members)
        self.rates: dict[str, Rate] = {}
        self.softs: dict[str, Soft] = {name: Soft(rate) for name, rate in terms.soft}
        self.parents = DemandEstimate()
        self.part = 0.0
        self.colds: dict[str, Cold] = {}  # by limit
        self.court = outlier_detection.OutlierDetector(fleet.name)
        self.parts: dict[int, float] = {}  # of their work that caches may have, as the decisions hold it
        self.clients: Counter[str] = Counter()  # that asked since the last tick
        self.rated: dict[str, float] = {}  # and a second, as a running mean
        self.barred: dict[str, float] = {}  # clients cast out by the fleet, and until when
        self.broke: dict[str, float] = {}  # what this front said of caches that broke off
        self.number = 0
        self.names, self.named_at = 0, -math.inf
        for name, rate in terms.strict:
            times = self.times(SECOND)
            self.rates[name] = Rate(rate * SECOND, times)
            self.limits.open(f"type:{name}", self.everybody(), rate * SECOND, times, self.rates[name], now)

    # Names.

    def times(self, window: float) -> LeaseTimes:
        terms = self.fleet.terms.limits
        return LeaseTimes(terms.lease, window, terms.drift)

    def everybody(self) -> list[str]:
        return sorted({peer.name for peer in self.fleet.terms.peers} | {self.fleet.name})

    def zones(self) -> dict[str, str]:
        terms = self.fleet.terms
        return {peer.name: peer.zone for peer in terms.peers} | {self.fleet.name: terms.zone}

    def owners(self, limit: str) -> list[str]:
        """Who owns a limit: of a cold edge the fronts of its zone, else all."""
        cold = self.colds.get(limit)
        cache = self.loop.router.caches.get(cold.number) if cold else None
        if cache is None or cache.role is not Role.EDGE:
            return self.everybody()
        zones = self.zones()
        return [name for name in self.everybody() if zones[name] == zones[self.fleet.name]]

    # Cold caches.

    def opens(self, limit: str) -> None:
        """Another front spends from it: so may this one, where it knows of the same start."""
        uid, at, _ = limit.removeprefix("cold:").rpartition("@")
        if limit.startswith("cold:") and at:
            self.cold(uid)

    def restarted(self, uid: str) -> None:
        """A cache may have started: nothing is sent on a share of it until its book is open, a turn later."""
        cache = self.loop.names.numbers.get(uid)
        limits = self.fleet.terms.limits
        if cache is not None and limits.cold and self.loop.site.settings.weighted:
            self.loop.post(SlowStartQuota(cache, True))
            self.loop.timers.after(0.0, lambda: self.cold(uid))

    def cold(self, uid: str) -> None:
        """A cache has started, as this front knows: its budget is shared from now on."""
        names, item = self.loop.names, self.fleet.copies.items.get(("start", uid))
        cache = self.loop.router.caches.get(names.numbers.get(uid, -1))
        if not (self.fleet.terms.limits.cold and item and cache and self.loop.site.settings.weighted):
            return
        limit = f"cold:{uid}@{int(item.value[0])}"
        if limit in self.colds:
            return
        if cache.role is Role.ORIGIN or cache.is_warm():
            self.loop.post(SlowStartQuota(cache.id))
            return
        for older in [one for one in self.colds if one.startswith(f"cold:{uid}@")]:
            self.close(older)
        settings = self.loop.site.settings
        cold = self.colds[limit] = Cold(self, uid, cache.id, 1.0)
        owners = self.owners(limit)
        sharers = settings.zone_fronts if cache.role is Role.EDGE else settings.fronts
        cold.cover = min(1.0, len(owners) / sharers)
        parent = cache.role is Role.PARENT
        least = (
            settings.parent_start_capacity * settings.parent_overload_factor
            if parent
            else settings.edge_start_capacity * settings.edge_overload_factor
        )
        work = max(kind.latency_objective for kind in settings.classes.values() if not kind.origin_only)
        attempts = (
            least * settings.edge_overload_window * cache.weight / work
        )  # of its budget when it has just started
        now = self.loop.clock.now()
        if not self.limits.open(
            limit, owners, attempts, self.times(settings.edge_overload_window), cold, now
        ):
            self.close(limit)

    def close(self, limit: str) -> None:
        cold = self.colds.pop(limit)
        self.limits.close(limit)
        self.loop.post(SlowStartQuota(cold.number), first=True)

    def warm(self) -> None:
        """Let go of what is warm by now, or gone."""
        for limit, cold in list(self.colds.items()):
            cache = self.loop.router.caches.get(cold.number)
            if cache is None or cache.is_warm():
                self.close(limit)
        for kind, uid in list(self.fleet.copies.items):
            if kind == "start":
                self.cold(uid)

    # At the door.

    def over(self, type: str, client: str) -> bool:
        """Whether a download is beyond a limit of the fleet's; what is not counts from now on."""
        now = self.loop.clock.now()
        if not self.loop.site.settings.classes[type].origin_only:
            self.parents.add()
        if self.fleet.terms.limits.client:
            self.clients[client] += 1
            if self.excess(client):
                self.counts["downloads over a client's limit"] += 1
                return True
        rate = self.rates.get(type) or self.softs.get(type)
        if rate is not None and not rate.take(now):
            self.counts[f"downloads over the limit of {type}"] += 1
            return True
        return False

    def excess(self, client: str) -> bool:
        """By chance, as much as one client asks of all fronts beyond its limit."""
        most, total = self.fleet.terms.limits.client, self.rated.get(client, 0.0) + self.elsewhere(client)
        return total > most and self.chance.random() >= most / total

    def elsewhere(self, client: str) -> float:
        return sum(need for _, need in self.said("heavy", client).values())

    def casts(self, client: str) -> None:
        """This front has cast a client out."""
        self.say("cast", client, 0.0)

    def bars(self, client: str) -> bool:
        """Whether the fleet has cast a client out, or an operator."""
        now, unix = self.loop.clock.now(), self.loop.clock.unix()
        item = self.fleet.copies.items.get(("setting", f"cast/{client}"))
        if item and isinstance(item.value[1], str):
            word, _, until = item.value[1].partition(" ")
            if word == "pardon" and (client not in self.barred or item.said >= self.since(client)):
                return False
            if word == "until" and until.isdigit() and unix < int(until):
                return True
        barred = now < self.barred.get(client, -math.inf)
        self.counts["connections of clients cast out"] += barred
        return barred

    def since(self, client: str) -> float:
        """When the last word of a front came that has cast a client out."""
        items = self.fleet.copies.items.items()
        return max(
            (item.said for (kind, key), item in items if kind == "cast" and key.startswith(f"{client}|")),
            default=-math.inf,
        )

    # What is said and heard.

    def say(self, kind: str, subject: str, figure: float) -> None:
        self.number += 1
        key = f"{subject}|{self.fleet.name}"
        self.fleet.say(kind, key, self.fleet.copies.epoch, self.number, figure)

    def said(self, kind: str, subject: str) -> dict[str, tuple[float, float]]:
        """What others say of a subject: writer -> age in seconds, figure."""
        now, found = self.loop.clock.now(), {}
        for peer in self.fleet.terms.peers:
            item = self.fleet.copies.items.get((kind, f"{subject}|{peer.name}"))
            if item and peer.name != self.fleet.name and item.live(RULES[kind], now):
                found[peer.name] = now - item.said, float(item.value[2])
        return found

    # Time: once a second.

    def tick(self, now: float, words: dict[str, list[HealthReport]]) -> None:
        here = self.fleet.here()
        self.confirm(now)
        self.warm()
        self.share_parents(now, here)
        for name, soft in self.softs.items():
            need = soft.need.turn(now)
            self.say("need", f"type:{name}", round(need, 2))
            soft.part = part(self.fleet.name, need, self.said("need", f"type:{name}"), here)
        self.tell_heavy()
        if self.fleet.terms.limits.verdicts:
            self.judge(now, words, here)
            self.cast_out(now)
            self.unlisted_starts(now)

    def confirm(self, now: float) -> None:
        """Guards against shares of two sets of members, or of two limits, which add up to more than one.

        A newcomer owns nothing until all that are heard of name the same members; one that hears nobody has
        its fixed share. Harm: a start waits for the next word of the others, at most `NAMED`.
        """
        names = zlib.crc32(f"{self.everybody()} {self.fleet.terms.limits.strict}".encode())
        if names != self.names or now - self.named_at >= NAMED:
            self.names, self.named_at = names, now
            self.say("names", "", float(names))
        if not self.limits.newcomer:
            return
        said = self.said("names", "")
        alike = bool(said) and all(int(figure) == names for _, figure in said.values())
        alone = self.fleet.members.sight(now) is Reachability.ALONE and now >= self.limits.quiet_until
        if alike or alone or not self.fleet.members.members:
            self.limits.rename(self.owners, False, now)

    def renamed(self) -> None:
        """SIGHUP: other members. Where there are fewer, shares grow only once all name the same."""
        now = self.loop.clock.now()
        for name, rate in self.fleet.terms.limits.strict:
            if name in self.rates:
                self.rates[name].most = rate * SECOND
        names = set(self.everybody())
        before = {name for book in self.limits.books.values() for name in book.names}
        if names >= before:
            self.limits.rename(self.owners, self.limits.newcomer, now)
        else:
            self.limits.newcomer = True  # until the others have read their files as well
        self.named_at = -math.inf

    def share_parents(self, now: float, here: list[str]) -> None:
        """Soft: what is out at all parents is divided by need."""
        if not self.fleet.terms.limits.parents:
            return
        need, settings = self.parents.turn(now), self.loop.site.settings
        self.say("need", PARENTS, round(need, 2))
        cover = min(1.0, len(self.everybody()) / settings.fronts)
        found = round(part(self.fleet.name, need, self.said("need", PARENTS), here) * cover, 4)
        if abs(found - self.part) > 0.02 * self.part:
            self.part = found
            self.loop.post(ParentQuota(found))

    def tell_heavy(self) -> None:
        most = self.fleet.terms.limits.client
        if not most:
            return
        for client in set(self.clients) | set(self.rated):
            held = 0.5 * self.rated.get(client, 0.0) + 0.5 * self.clients[client]
            if held < 0.05:
                self.rated.pop(client, None)
            else:
                self.rated[client] = held
        self.clients.clear()
        least = most / (2 * (len(self.fleet.terms.peers) + 1))
        told = sorted(self.rated, key=lambda one: self.rated[one], reverse=True)[:HEAVY]
        for client in told:
            if self.rated[client] >= least:
                self.say("heavy", client, round(self.rated[client], 1))

    # Verdicts.

    def judge(self, now: float, words: dict[str, list[HealthReport]], here: Iterable[str]) -> None:
        caches, uids = self.loop.router.caches, self.loop.names.uids
        kinds = {uids[n]: f"{c.role.name} {c.zone}" for n, c in caches.items() if n in uids}
        found = self.court.turn(now, words, kinds, self.zones(), here)
        numbers = self.loop.names.numbers
        parts = {numbers[uid]: part for uid, part in found.items() if part < 1 and uid in numbers}
        for number in {*parts, *self.parts}:
            if parts.get(number, 1.0) != self.parts.get(number, 1.0):
                self.loop.post(EjectionUpdate(number, parts.get(number, 1.0)))
        self.parts = parts
        for uid, before, stand, case in self.court.said():
            self.counts[f"verdicts: {stand.name.lower()}"] += 1
            logger.bind(cache=uid, stand=stand.name, voices=case.voices, zone=case.zone).info(
                "fleet: verdict on {}: {} after {}, by {}{}",
                uid, stand.name, before.name, ", ".join(case.voices) or "nobody",
                f", in zone {case.zone}" if case.zone else "",
            )  # fmt: skip

    def cast_out(self, now: float) -> None:
        words: dict[str, list[tuple[str, float]]] = {}
        for (kind, key), item in self.fleet.copies.items.items():
            if kind == "cast" and item.live(RULES["cast"], now):
                client, _, writer = key.rpartition("|")
                words.setdefault(client, []).append((writer, item.said - float(item.value[2])))
        found = outlier_detection.cast_out(words, self.fleet.terms.limits.cast, now)
        for client in set(found) - set(self.barred):
            logger.bind(client=client).warning(
                "fleet: client {} is cast out by {}", client, ", ".join(sorted(w for w, _ in words[client]))
            )
        self.barred = found

    def unlisted_starts(self, now: float) -> None:
        """Caches that broke off, told to others; and what two have seen, taken for a start."""
        numbers, caches = self.loop.names.numbers, self.loop.router.caches
        for uid, number in numbers.items():
            cache = caches.get(number)
            at = cache.breaks.unreachable_at if cache else -math.inf
            if at > self.broke.get(uid, -math.inf) and now - at < outlier_detection.TOGETHER:
                self.broke[uid] = at
                self.say("broke", uid, round(now - at, 3))
        breaks: list[tuple[str, str, float]] = [(u, self.fleet.name, at) for u, at in self.broke.items()]
        for (kind, key), item in self.fleet.copies.items.items():
            uid, _, writer = key.rpartition("|")
            if kind == "broke" and item.live(RULES["broke"], now) and writer != self.fleet.name:
                breaks.append((uid, writer, item.said - float(item.value[2])))
        for uid, at in outlier_detection.started(outlier_detection.by_cache(breaks)).items():
            cache = caches.get(numbers.get(uid, -1))
            if cache and (cache.started is None or at > cache.started + outlier_detection.TOGETHER):
                self.counts["starts that no list told"] += 1
                self.loop.post(PeerKnowledge(cache.id, None, at))
        self.broke = {uid: at for uid, at in self.broke.items() if uid in numbers}

    # For people.

    def questions(self) -> dict[str, Callable[[dict[str, Any]], Any]]:
        """What the control port can be asked of this."""
        return {
            "limits": lambda asked: self.shown_limits(),
            "verdicts": lambda asked: self.shown_verdicts(),
            "cast": lambda asked: self.word_on(
                str(asked["client"]), f"until {int(self.loop.clock.unix() + float(asked['seconds']))}"
            ),
            "pardon": lambda asked: self.word_on(str(asked["client"]), "pardon"),
        }

    def word_on(self, client: str, word: str) -> str:
        """An operator's word on a client, for the whole fleet: the latest version holds."""
        if not CLIENT.fullmatch(client):
            raise ValueError(f"{client!r:.40} is no address of a client")
        held = self.fleet.copies.items.get(("setting", f"cast/{client}"))
        version = int(held.value[0]) + 1 if held else 1
        self.fleet.say("setting", f"cast/{client}", version, word)
        return word

    def shown_limits(self) -> list[dict[str, Any]]:
        now = self.loop.clock.now()
        rows = [row | {"kind": "strict", "newcomer": self.limits.newcomer} for row in self.limits.rows(now)]
        for name, soft in sorted(self.softs.items()):
            rows.append({
                "limit": f"type:{name}", "kind": "soft", "most": soft.most, "part": round(soft.part, 3),
                "need": round(soft.need.mean, 2), "others": self.shown_said("need", f"type:{name}"),
            })  # fmt: skip
        if self.fleet.terms.limits.parents:
            rows.append({
                "limit": PARENTS, "kind": "soft", "part": self.part, "need": round(self.parents.mean, 2),
                "others": self.shown_said("need", PARENTS),
            })  # fmt: skip
        return rows

    def shown_said(self, kind: str, subject: str) -> dict[str, list[float]]:
        return {name: [round(age, 2), figure] for name, (age, figure) in self.said(kind, subject).items()}

    def shown_verdicts(self) -> list[dict[str, Any]]:
        now = self.loop.clock.now()
        rows: list[dict[str, Any]] = [
            {
                "cache": uid, "stand": case.stand.name, "for": round(now - case.since, 1),
                "ends in": round(case.until - now, 1) if case.until < math.inf else None,
                "voices": list(case.voices), "zone": case.zone or None, "relapses": case.relapses,
                "part": self.parts.get(self.loop.names.numbers.get(uid, -1), 1.0),
            }
            for uid, case in sorted(self.court.cases.items())
        ]  # fmt: skip
        rows += [{"client": c, "ends in": round(until - now, 1)} for c, until in sorted(self.barred.items())]
        return rows
