"""The auditor: checks the rules from what crossed the sockets and what the event bus published only.

It shares no code with the decisions. Checked are the rules of `audit_records.Rule`; the budgets of caches
that warm up hold over all fronts together, and grow along a straight line from the least fraction to all,
since the real curve is not published.
"""

from collections import defaultdict
from typing import Any

from weldbend.cache_protocol.answers import Answer
from weldbend.testbed.emulator.cache_commands import Command
from weldbend.testbed.load.client_calls import ClientAnswer
from weldbend.testbed.simulation.audit_records import (
    Attempt,
    CacheStart,
    Effect,
    Purge,
    RequestRecord,
    Rule,
    Rules,
    Violation,
    WarmUpRule,
)
from weldbend.testbed.simulation.observer import ConnectionEvent, ObservedMessage
from weldbend.thrift.messages import GiveUp, Process

SLACK = 0.05  # seconds that a time limit is longer on sockets

__all__ = ["Auditor", "Effect", "Rule", "Rules", "Violation", "WarmUpRule"]


class Auditor:
    """Receives messages and events in their order; `verdict` is called at the end."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.requests: dict[tuple[str, str], RequestRecord] = {}  # by front and the request's id
        self.by_call: dict[tuple[int, int], RequestRecord] = {}  # by link and seqid
        # Requests with an attempt in flight on a link.
        self.in_flight: dict[int, set[tuple[str, str]]] = defaultdict(set)
        self.down_fronts: set[str] = set()
        self.starts: dict[str, CacheStart] = {}
        self.draining: dict[str, float] = {}  # uid -> when the event bus published it
        self.purges: list[Purge] = []
        self.copies_given: dict[tuple[str, str], int] = {}  # by cache and request: when the copy was made
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = defaultdict(int)
        # Seconds of one flow that the requests of each class take together, and their number.
        self.work: dict[str, tuple[float, int]] = {}
        # (since, until) for which nothing could reach a front.
        self.unreachable_spans: dict[str, list[tuple[float, float]]] = defaultdict(list)

    # What the event bus publishes, and what happens to fronts.

    def on_bus_event(self, at: float, unix: float, event: dict[str, Any]) -> None:
        """An event of the bus, at a moment of the run that is `unix` seconds of the Unix clock."""
        for target in event.get("topology", {}).get("targets", ()):
            if target["state"] == "up" and target["boot_ms"]:
                began = at - (unix - target["boot_ms"] / 1000)
                self.starts[target["uid"]] = CacheStart(at, began, target["capacity_hint"], target["model"])
            if target["state"] == "up":
                self.draining.pop(target["uid"], None)
            else:
                self.draining.setdefault(target["uid"], at)
        if ban := event.get("ban"):
            self.purges.append(Purge(at, ban.get("url"), ban.get("tag", 0), int(at * 1000)))

    def on_copy_given(self, cache: str, request: str, made_ms: int | None) -> None:
        """A cache has executed an attempt, with a copy made at a virtual millisecond; None without one.

        What the answer says of it (`born`) may be changed on its way, and is a stamp of a clock that steps.
        """
        if made_ms is not None:
            self.copies_given[cache, request] = made_ms

    def on_front_killed(self, front: str) -> None:
        """A front died: what it had not answered is excused."""
        self.down_fronts.add(front)
        for (name, _), request in self.requests.items():
            if name == front and not request.answers:
                request.excuse = request.excuse or "its front was killed"

    def on_front_started(self, front: str) -> None:
        """A front is up."""
        self.down_fronts.discard(front)

    def on_front_unreachable(self, front: str, since: float, until: float, is_frozen: bool) -> None:
        """Nothing could be announced to a front for a time; frozen, it could not answer either."""
        self.unreachable_spans[front].append((since, until))
        for (name, _), request in self.requests.items() if is_frozen else ():
            if name == front and not request.answers and request.deadline > since:
                request.excuse = request.excuse or "its front was frozen"

    def known_since(self, front: str, announced: float) -> float:
        """When a front could first know what was announced at a moment."""
        for since, until in sorted(self.unreachable_spans[front]):
            if since <= announced < until:
                announced = until
        return announced

    # What crosses the sockets.

    def on_message(self, observed: ObservedMessage) -> None:
        """One message, or the end of a connection."""
        match observed.message:
            case Process() as call:
                self._on_request(observed, call)
            case GiveUp(seqid):
                if request := self.by_call.get((observed.link, seqid)):
                    request.cancelled = observed.at
            case ClientAnswer() as answer:
                self._on_client_answer(observed, answer)
            case Command() as command:
                self._on_command(observed, command)
            case Answer() as answer:
                self._on_cache_answer(observed, answer)
            case ConnectionEvent.CLOSED:
                self._on_closed(observed)

    def _add_violation(self, rule: Rule, request: RequestRecord | str, at: float, *proof: str) -> None:
        name = request if isinstance(request, str) else request.name
        self.violations.append(Violation(rule, name, at, proof))

    def _on_request(self, observed: ObservedMessage, call: Process) -> None:
        fields = call.fields
        request = RequestRecord(
            name=fields["id"],
            request_class=fields["class"],
            key=fields["key"],
            group=int(fields["batch"]),
            link=observed.link,
            seqid=call.seqid,
            received=observed.at,
            deadline=observed.at + int(fields["wait"]) / 1000,
            work=float(fields["kb"]) / self.rules.flow,
        )
        request.excuse = "its front was down" if observed.front in self.down_fronts else ""
        total, count = self.work.get(request.request_class, (0.0, 0))
        self.work[request.request_class] = total + request.work, count + 1
        self.requests[observed.front, request.name] = request
        self.by_call[observed.link, call.seqid] = request
        self.counts["downloads"] += 1

    def _on_client_answer(self, observed: ObservedMessage, answer: ClientAnswer) -> None:
        if answer.outcome == "probe":
            return
        at = observed.at
        request = self.by_call.get((observed.link, answer.seqid))
        if request is None:
            self._add_violation(Rule.ONE_ANSWER, f"seqid {answer.seqid}", at, "an answer to no request")
            return
        self.counts[answer.outcome] += 1
        if request.answers:
            before, first = request.answers[0]
            self._add_violation(
                Rule.ONE_ANSWER, request, at, f"{first.outcome} at {before:.4f}, then {answer.outcome}"
            )
        request.answers.append((at, answer))
        if at > request.deadline + SLACK and not request.excuse:
            self._add_violation(
                Rule.ONE_ANSWER, request, at, f"{answer.outcome} after its deadline {request.deadline:.4f}"
            )
        executed = [attempt for attempt in request.attempts if attempt.is_possibly_executed()]
        effect = self.rules.effects[request.request_class]
        if answer.outcome == "throttled" and executed and effect is Effect.AT_MOST_ONCE:
            self._add_violation(Rule.NO_DOUBLE_EFFECT, request, at, f"rejected, despite {executed[0]}")
        if answer.outcome == "fulfilled" and not answer.fields.get("ok304"):
            self._check_purges(at, request, observed.front)

    def _check_purges(self, at: float, request: RequestRecord, front: str) -> None:
        attempt = next((p for p in reversed(request.attempts) if p.outcome == "DONE"), None)
        if attempt is None:
            self._add_violation(Rule.ONE_ANSWER, request, at, "served, though no cache had made it")
            return
        for purge in self.purges:
            is_hit = purge.key == request.key if purge.key else purge.group == request.group
            in_effect = self.known_since(front, purge.announced) + self.rules.purge + SLACK
            is_late = attempt.at > in_effect
            if is_hit and is_late and attempt.made_ms is not None and attempt.made_ms < purge.issued_ms:
                self._add_violation(
                    Rule.PURGES,
                    request,
                    at,
                    f"purge published at {purge.announced:.4f}",
                    f"copy made at {attempt.made_ms / 1000:.3f} served by {attempt}",
                )

    def _on_command(self, observed: ObservedMessage, command: Command) -> None:
        at = observed.at
        request = self.requests.get((observed.front, command.name))
        if request is None:
            if command.word == "do":
                self._add_violation(Rule.ONE_ANSWER, command.name, at, "an attempt of no client's request")
        elif command.word == "undo":
            self._end_attempts(request, observed, "undone")
        elif command.word == "do":
            self._on_attempt(observed, request, command.fields.get("from"))

    def _on_attempt(self, observed: ObservedMessage, request: RequestRecord, source: str | None) -> None:
        self.counts["pulls"] += 1
        attempt = Attempt(observed.at, observed.peer, observed.link, source)
        self._check_effects(observed.at, request)
        self._check_drains(attempt, request, observed.front)
        for uid in {attempt.cache: None, attempt.source: None}:
            if uid in self.starts:
                self._check_warm_up(observed, request, uid, self.starts[uid])
        request.attempts.append(attempt)
        self.in_flight[observed.link].add((observed.front, request.name))

    @staticmethod
    def _end_attempts(request: RequestRecord, observed: ObservedMessage, outcome: str) -> list[Attempt]:
        """End those in flight on a link; returns them."""
        ended = [a for a in request.attempts if a.ended is None and a.link == observed.link]
        for attempt in ended:
            attempt.ended = observed.at
            attempt.outcome = outcome
        return ended

    def _check_effects(self, at: float, request: RequestRecord) -> None:
        for attempt in request.attempts:
            if attempt.ended is None:
                self._add_violation(Rule.NO_DOUBLE_EFFECT, request, at, f"a second attempt beside {attempt}")
        executed = [attempt for attempt in request.attempts if attempt.is_possibly_executed()]
        if not executed:
            return
        effect = self.rules.effects[request.request_class]
        if effect is Effect.AT_MOST_ONCE:
            self._add_violation(Rule.NO_DOUBLE_EFFECT, request, at, f"retried, despite {executed[0]}")
        if effect is Effect.DEDUPLICATED:
            window = self.rules.windows[request.request_class]
            if at > executed[0].at + window + SLACK:
                self._add_violation(
                    Rule.NO_DOUBLE_EFFECT, request, at, f"retried past the window of {executed[0]}"
                )

    def _check_drains(self, attempt: Attempt, request: RequestRecord, front: str) -> None:
        at = attempt.at
        for uid, role in ((attempt.cache, "cache"), (attempt.source, "source")):
            if uid not in self.draining:
                continue
            announced = self.draining[uid]
            if at > self.known_since(front, announced) + self.rules.drain + SLACK:
                self._add_violation(
                    Rule.DRAINS, request, at, f"{uid} draining since {announced:.4f}", f"attempt as {role}"
                )

    def _check_warm_up(
        self, observed: ObservedMessage, request: RequestRecord, uid: str, start: CacheStart
    ) -> None:
        at = observed.at
        rule = self.rules.warm_ups.get(start.kind)
        if rule is None or at < self.known_since(observed.front, start.announced) + self.rules.start:
            return
        fraction = rule.least_fraction + (1 - rule.least_fraction) * (at - start.began) / rule.warm_after
        start.sent.append((at, request.request_class))
        while start.sent[0][0] < at - self.rules.window:
            start.sent.popleft()
        self.counts["pulls to cold"] += fraction < 1
        if fraction >= 1:
            return
        mean = {name: total / count for name, (total, count) in self.work.items()}
        sent = sum(mean[name] for _, name in start.sent)
        budget = rule.multiple * fraction * start.weight * self.rules.window
        if sent > budget + mean[request.request_class]:
            self._add_violation(
                Rule.WARMING_UP,
                request,
                at,
                f"{uid} began at {start.began:.4f}",
                f"{sent:.2f} sent in {self.rules.window} s, {budget:.2f} may be",
            )

    def _on_cache_answer(self, observed: ObservedMessage, answer: Answer) -> None:
        request = self.requests.get((observed.front, answer.name))
        if request is None:
            return
        for attempt in self._end_attempts(request, observed, answer.status):
            attempt.made_ms = self.copies_given.get((observed.peer, answer.name))

    def _on_closed(self, observed: ObservedMessage) -> None:
        """A connection has ended for the front: attempts on it are over, and nobody waits on it."""
        for key in sorted(self.in_flight.pop(observed.link, ())):
            self._end_attempts(self.requests[key], observed, "reset")
        for (link, _), request in self.by_call.items():
            if link == observed.link and request.cancelled is None:
                request.cancelled = observed.at

    def verdict(self, end: float) -> list[Violation]:
        """All violations, at the end of the run."""
        for request in self.requests.values():
            if not request.answers and request.is_unanswered(SLACK, end):
                proof = [f"received at {request.received:.4f}", *map(str, request.attempts)]
                self._add_violation(
                    Rule.ONE_ANSWER, request, request.deadline, "none before its deadline", *proof
                )
        return self.violations
