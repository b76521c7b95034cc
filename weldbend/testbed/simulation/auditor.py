"""The auditor: checks the rules from what crossed the sockets and what the bus told, and from nothing else.

It shares no code with the decisions. Covered here: one final answer in time; no effect twice, and never two
pulls out; drains kept, sources included; cold budgets of edges and parents over all fronts together, by the
straight line from the least share to all (the real curve is not told); purges kept.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Any

from weldbend.cache_protocol.answers import Answer
from weldbend.testbed.emulator.cache_commands import Command
from weldbend.testbed.load.client_calls import Heard
from weldbend.testbed.simulation.observer import GiveUp, Process, Seen

SLACK = 0.05  # seconds that a time limit is longer on sockets
NEVER_RAN = ("LACK", "WAIT", "PAST")


@dataclass(frozen=True, slots=True)
class Rules:
    """The site's figures, in seconds; `effects` says retriable, deduped or non-retriable of each type.

    `cold` holds for each kind of cache its least share, the time until it is warm, and the multiple of what
    it bears that it may be sent within `window`; `flow` is KB that one flow sends in a second.
    """

    effects: dict[str, str]
    windows: dict[str, float]
    cold: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    window: float = 2.0
    flow: float = 1000.0
    drain: float = 0.5
    purge: float = 0.5
    start: float = 0.5


@dataclass(slots=True)
class Start:
    """A cache that started lately, and what was sent to it: (when, content type), each of mean work."""

    told: float
    began: float
    weight: float
    kind: str
    sent: deque[tuple[float, str]] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule, with the messages that prove it."""

    rule: str
    request: str
    at: float
    proof: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.rule}: download {self.request} at {self.at:.4f}: {'; '.join(self.proof)}"


@dataclass(slots=True)
class Attempt:
    at: float
    cache: str
    link: int
    source: str | None
    ended: float | None = None
    word: str = ""  # how it ended: an answer's word, `undone` or `reset`
    born: float | None = None  # Unix milliseconds of the copy that it brought

    def may_have_run(self) -> bool:
        return self.word not in NEVER_RAN


@dataclass(slots=True)
class Case:
    """One download at one front."""

    name: str
    type: str
    key: str
    group: int
    link: int
    seqid: int
    asked: float
    deadline_after: float
    work: float  # seconds that one flow takes to send it
    answers: list[tuple[float, Heard]] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    withdrawn: float | None = None  # when its client stopped waiting, or its connection ended
    excused: str = ""


class Auditor:
    """Told of messages in their order; gives its verdict at the end.

    `names` maps the address of a cache to its uid at that moment.
    """

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.cases: dict[tuple[str, str], Case] = {}  # by front and download's id
        self.by_call: dict[tuple[int, int], Case] = {}
        self.links: dict[int, set[tuple[str, str]]] = defaultdict(set)  # downloads with a pull out on a link
        self.down: set[str] = set()
        self.starts: dict[str, Start] = {}
        self.draining: dict[str, float] = {}  # uid -> when it counts as told
        self.purges: list[tuple[float, str | None, int, float]] = []  # told, key, group, Unix milliseconds
        self.breaches: list[Breach] = []
        self.counts: dict[str, int] = defaultdict(int)
        self.works: dict[
            str, tuple[float, int]
        ] = {}  # seconds of one flow that each type took, and how often
        self.worst = 0.0  # of a cold cache's budget that was used in any window
        self.deaf: dict[str, list[tuple[float, float]]] = defaultdict(
            list
        )  # when nothing could reach a front

    # What the bus tells, and what happens to fronts.

    def told(self, at: float, unix: float, event: dict[str, Any]) -> None:
        """An event of the bus, at a moment of the run that is `unix` seconds of the Unix clock."""
        for target in event.get("topology", {}).get("targets", ()):
            if target["state"] == "up" and target["boot_ms"]:
                began = at - (unix - target["boot_ms"] / 1000)
                weight = target["capacity_hint"]
                self.starts[target["uid"]] = Start(at, began, weight, target["model"])
            if target["state"] == "up":
                self.draining.pop(target["uid"], None)
            else:
                self.draining.setdefault(target["uid"], at)
        if ban := event.get("ban"):
            self.purges.append((at, ban.get("url"), ban.get("tag", 0), ban["ts"]))

    def killed(self, front: str) -> None:
        self.down.add(front)
        for (name, _), case in self.cases.items():
            if name == front and not case.answers:
                case.excused = case.excused or "its front was killed"

    def started(self, front: str) -> None:
        self.down.discard(front)

    def unreachable(self, front: str, since: float, until: float, frozen: bool) -> None:
        """Nothing could be told to it; frozen, it could not answer either."""
        self.deaf[front].append((since, until))
        for (name, _), case in self.cases.items() if frozen else ():
            if name == front and not case.answers and case.deadline_after > since:
                case.excused = case.excused or "its front was frozen"

    def knew(self, front: str, told: float) -> float:
        """When a front could first know what was told at a moment."""
        for since, until in sorted(self.deaf[front]):
            if since <= told < until:
                told = until
        return told

    # What crosses the sockets.

    def see(self, seen: Seen) -> None:
        match seen.what:
            case Process():
                self.ask(seen, seen.what)
            case GiveUp(seqid):
                if case := self.by_call.get((seen.link, seqid)):
                    case.withdrawn = seen.at
            case Heard():
                self.answer(seen, seen.what)
            case Command():
                self.command(seen, seen.what)
            case Answer():
                self.cache_answer(seen, seen.what)
            case "gone":
                self.gone(seen)

    def breach(self, rule: str, case: Case | str, at: float, *proof: str) -> None:
        name = case if isinstance(case, str) else case.name
        self.breaches.append(Breach(rule, name, at, proof))

    def ask(self, seen: Seen, call: Process) -> None:
        fields = call.fields
        case = Case(
            fields["id"], fields["class"], fields["key"], int(fields["batch"]), seen.link, call.seqid,
            seen.at, seen.at + int(fields["wait"]) / 1000, float(fields["kb"]) / self.rules.flow,
        )  # fmt: skip
        case.excused = "its front was down" if seen.front in self.down else ""
        total, count = self.works.get(case.type, (0.0, 0))
        self.works[case.type] = total + case.work, count + 1
        self.cases[seen.front, case.name] = self.by_call[seen.link, call.seqid] = case
        self.counts["downloads"] += 1

    def answer(self, seen: Seen, heard: Heard) -> None:
        if heard.outcome == "probe":
            return
        case = self.by_call.get((seen.link, heard.seqid))
        if case is None:
            self.breach("one answer", f"seqid {heard.seqid}", seen.at, "an answer to nothing asked")
            return
        self.counts[heard.outcome] += 1
        if case.answers:
            before, first = case.answers[0]
            self.breach("one answer", case, seen.at, f"{first.outcome} at {before:.4f}, then {heard.outcome}")
        case.answers.append((seen.at, heard))
        if seen.at > case.deadline_after + SLACK and not case.excused:
            self.breach(
                "one answer", case, seen.at, f"{heard.outcome} after its expiry {case.deadline_after:.4f}"
            )
        ran = [attempt for attempt in case.attempts if attempt.may_have_run()]
        if heard.outcome == "throttled" and ran and self.rules.effects[case.type] == "non-retriable":
            self.breach("no effect twice", case, seen.at, f"throttled, though {shown(ran[0])}")
        if heard.outcome == "fulfilled" and not heard.fields.get("ok304"):
            self.check_purges(seen.at, case, seen.front)

    def check_purges(self, at: float, case: Case, front: str) -> None:
        attempt = next((p for p in reversed(case.attempts) if p.word == "DONE"), None)
        if attempt is None:
            self.breach("one answer", case, at, "fulfilled, though no cache had made it")
            return
        for told, key, group, stamp in self.purges:
            hit = key == case.key if key else group == case.group
            late = attempt.at > self.knew(front, told) + self.rules.purge + SLACK
            if hit and late and attempt.born is not None and attempt.born < stamp:
                self.breach(
                    "purges kept", case, at, f"purge of {stamp} told at {told:.4f}",
                    f"copy born {attempt.born:.0f} served by {shown(attempt)}",
                )  # fmt: skip

    def command(self, seen: Seen, command: Command) -> None:
        case = self.cases.get((seen.front, command.name))
        if case is None:
            if command.word == "do":
                self.breach("one answer", command.name, seen.at, "a pull that no client asked for")
            return
        if command.word == "undo":
            for attempt in case.attempts:
                if attempt.ended is None and attempt.link == seen.link:
                    attempt.ended, attempt.word = seen.at, "undone"
            return
        if command.word != "do":
            return
        self.counts["pulls"] += 1
        attempt = Attempt(seen.at, seen.other, seen.link, command.fields.get("from"))
        self.check_effects(seen.at, case)
        self.check_drains(seen.at, case, attempt, seen.front)
        for uid in {attempt.cache: None, attempt.source: None}:
            if uid in self.starts:
                self.check_start(seen.at, case, uid, self.starts[uid], seen.front)
        case.attempts.append(attempt)
        self.links[seen.link].add((seen.front, case.name))

    def check_effects(self, at: float, case: Case) -> None:
        for attempt in case.attempts:
            if attempt.ended is None:
                self.breach("no effect twice", case, at, f"a second copy: {shown(attempt)} is still out")
        ran = [attempt for attempt in case.attempts if attempt.may_have_run()]
        effect = self.rules.effects[case.type]
        if ran and effect == "non-retriable":
            self.breach("no effect twice", case, at, f"pulled again, though {shown(ran[0])}")
        if ran and effect == "deduped" and at > ran[0].at + self.rules.windows[case.type] + SLACK:
            self.breach("no effect twice", case, at, f"pulled again past the window of {shown(ran[0])}")

    def check_drains(self, at: float, case: Case, attempt: Attempt, front: str) -> None:
        for uid, role in ((attempt.cache, "cache"), (attempt.source, "source")):
            if uid in self.draining and at > self.knew(front, self.draining[uid]) + self.rules.drain + SLACK:
                self.breach(
                    "drains kept",
                    case,
                    at,
                    f"{uid} told to drain at {self.draining[uid]:.4f}",
                    f"pull as {role}",
                )

    def check_start(self, at: float, case: Case, uid: str, start: Start, front: str) -> None:
        if start.kind not in self.rules.cold or at < self.knew(front, start.told) + self.rules.start:
            return
        least, warm, multiple = self.rules.cold[start.kind]
        share = least + (1 - least) * (at - start.began) / warm
        start.sent.append((at, case.type))
        while start.sent[0][0] < at - self.rules.window:
            start.sent.popleft()
        mean = {kind: total / count for kind, (total, count) in self.works.items()}
        sent = sum(mean[kind] for _, kind in start.sent)
        most = multiple * share * start.weight * self.rules.window
        self.counts["pulls to cold"] += share < 1
        if share < 1:
            self.worst = max(self.worst, (sent - mean[case.type]) / most)
        if share < 1 and sent > most + mean[case.type]:
            self.breach(
                "cold not pushed over", case, at, f"{uid} began at {start.began:.4f}",
                f"{sent:.2f} sent in {self.rules.window} s, {most:.2f} may be",
            )  # fmt: skip

    def cache_answer(self, seen: Seen, answer: Answer) -> None:
        case = self.cases.get((seen.front, answer.name))
        for attempt in case.attempts if case else ():
            if attempt.ended is None and attempt.link == seen.link:
                attempt.ended, attempt.word = seen.at, answer.status
                born = answer.fields.get("born", "")
                attempt.born = float(born) if born.isdigit() else None

    def gone(self, seen: Seen) -> None:
        """A connection has ended for the front: pulls on it are over, and so is waiting for answers on it."""
        for key in sorted(self.links.pop(seen.link, ())):
            for attempt in self.cases[key].attempts:
                if attempt.ended is None and attempt.link == seen.link:
                    attempt.ended, attempt.word = seen.at, "reset"
        for (link, _), case in self.by_call.items():
            if link == seen.link and case.withdrawn is None:
                case.withdrawn = seen.at

    def verdict(self, end: float) -> list[Breach]:
        """All breaches, once no download is open any more at `end`."""
        for case in self.cases.values():
            waited = case.withdrawn is None or case.withdrawn > case.deadline_after + SLACK
            if not case.answers and waited and not case.excused and case.deadline_after + SLACK < end:
                proof = [f"asked at {case.asked:.4f}", *map(shown, case.attempts)]
                self.breach("one answer", case, case.deadline_after, "none before its expiry", *proof)
        return self.breaches


def shown(attempt: Attempt) -> str:
    how = f"{attempt.word} at {attempt.ended:.4f}" if attempt.ended is not None else "out"
    return f"pull to {attempt.cache} at {attempt.at:.4f} ({how})"
