"""The auditor: checks the rules from what crossed the sockets and what the event bus published only.

It shares no code with the decisions. Checked are the rules of `audit_records.Rule`, those on caches that
warm up in `slow_start_audit`. A front that is killed without notice owes no answer to what it had then, and
one that the system suspends answers late what became due meanwhile; nothing else excuses a request.
"""

from collections import defaultdict
from typing import Any

from weldbend.cache_protocol.answers import Answer
from weldbend.testbed.emulator.cache_commands import Command
from weldbend.testbed.load.client_calls import ClientAnswer
from weldbend.testbed.simulation.audit_records import (
    Attempt,
    CacheStart,
    Idempotency,
    Purge,
    RequestRecord,
    Rule,
    Rules,
    SlowStartRule,
    Violation,
)
from weldbend.testbed.simulation.observer import ConnectionEvent, ObservedMessage, RequestRead
from weldbend.testbed.simulation.slow_start_audit import SlowStartAudit
from weldbend.thrift.messages import GiveUp, Process

SLACK = 0.05  # seconds that a time limit is longer on sockets
CLOSED_SLACK = 0.1  # seconds after its client's end or cancellation in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds that a cache may be told beyond what the client has left
# Seconds before a front's close within which a request crosses it: its client sends it again.
CLOSE_CROSSING_WINDOW = 0.05

__all__ = ["Auditor", "Idempotency", "Rule", "Rules", "SlowStartRule", "Violation"]


class Auditor:
    """Receives messages and events in their order; `verdict` is called at the end."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.requests: dict[tuple[str, str], RequestRecord] = {}  # by front and the request's id
        self.requests_by_call: dict[tuple[int, int], RequestRecord] = {}  # by link and seqid
        # Requests with an attempt in flight on a link.
        self.in_flight: dict[int, set[tuple[str, str]]] = defaultdict(set)
        self.requests_by_link: dict[int, list[RequestRecord]] = defaultdict(list)
        self.ended_links: set[int] = set()  # clients' connections that one side has ended
        self.down_fronts: set[str] = set()
        self.slow_start_audit = SlowStartAudit(rules)
        self.draining: dict[str, float] = {}  # uid -> when the event bus published it
        self.purges: list[Purge] = []
        self.copy_times_ms: dict[tuple[str, str], int] = {}  # by cache and request: when the copy was made
        self.violations: list[Violation] = []
        self.counts = self.slow_start_audit.counts
        # (since, until) for which nothing could reach a front.
        self.unreachable_spans: dict[str, list[tuple[float, float]]] = defaultdict(list)

    # What the event bus publishes, and what happens to fronts.

    def on_bus_event(self, at: float, unix: float, event: dict[str, Any]) -> None:
        """An event of the bus, at a moment of the run that is `unix` seconds by the clock of the caches."""
        for target in event.get("topology", {}).get("targets", ()):
            if target["state"] == "up" and target["boot_ms"]:
                started_at = at - (unix - target["boot_ms"] / 1000)
                start = CacheStart(at, started_at, target["capacity_hint"], target["model"])
                self.slow_start_audit.starts[target["uid"]] = start
            if target["state"] == "up":
                self.draining.pop(target["uid"], None)
            else:
                self.draining.setdefault(target["uid"], at)
        if ban := event.get("ban"):
            self.purges.append(Purge(at, ban.get("url"), ban.get("tag", 0), int(at * 1000)))

    def on_copy_served(self, cache: str, request: str, made_ms: int | None) -> None:
        """A cache has executed an attempt, with a copy made at a virtual millisecond; None without one.

        What the answer says of it (`born`) may be changed on its way, and is a stamp of a clock that steps.
        """
        if made_ms is not None:
            self.copy_times_ms[cache, request] = made_ms

    def on_front_killed(self, front: str) -> None:
        """A front died: what it had not answered is excused."""
        self.down_fronts.add(front)
        for (name, _), request in self.requests.items():
            if name == front and not request.answers:
                request.excuse = request.excuse or "its front was killed"

    def on_front_stopping(self, front: str) -> None:
        """A front is told to stop: it owes an answer to all that it takes until its connections end."""
        open_requests = [r for (name, _), r in self.requests.items() if name == front and r.is_awaited()]
        self.counts["requests open at a shutdown"] += len(open_requests)

    def on_front_started(self, front: str) -> None:
        """A front is up."""
        self.down_fronts.discard(front)

    def on_front_unreachable(self, front: str, since: float, until: float, is_frozen: bool) -> None:
        """Nothing could be announced to a front for a time; frozen, it answers late what became due."""
        self.unreachable_spans[front].append((since, until))
        for (name, _), request in self.requests.items() if is_frozen else ():
            if name == front and not request.answers and request.deadline > since:
                request.answer_by = max(request.answer_by, until)

    def earliest_notice(self, front: str, published_at: float) -> float:
        """When a front could first know what was published at a moment."""
        for since, until in sorted(self.unreachable_spans[front]):
            if since <= published_at < until:
                published_at = until
        return published_at

    # What crosses the sockets.

    def on_message(self, observed: ObservedMessage) -> None:
        """One message, or the end of a connection."""
        match observed.message:
            case Process() as call:
                self._on_request(observed, call)
            case GiveUp(seqid):
                if request := self.requests_by_call.get((observed.link, seqid)):
                    self._on_cancelled(observed.at, request)
            case RequestRead(seqid):
                if request := self.requests_by_call.get((observed.link, seqid)):
                    request.is_read = True
            case ClientAnswer() as answer:
                self._on_client_answer(observed, answer)
            case Command() as command:
                self._on_command(observed, command)
            case Answer() as answer:
                self._on_cache_answer(observed, answer)
            case ConnectionEvent() as event:
                self._on_connection_event(observed, event)

    def _on_connection_event(self, observed: ObservedMessage, event: ConnectionEvent) -> None:
        match event:
            case ConnectionEvent.CLIENT_ENDED:
                self._on_ended_by_client(observed)
            case ConnectionEvent.FRONT_ENDED:
                self._on_ended_by_front(observed)
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
            work=float(fields["kb"]) / self.rules.flow_kb_per_second,
        )
        request.answer_by = request.deadline
        request.excuse = "its front was down" if observed.front in self.down_fronts else ""
        request.has_crossed_close = observed.link in self.ended_links
        self.slow_start_audit.on_request(request.request_class, request.work)
        self.requests[observed.front, request.name] = request
        self.requests_by_call[observed.link, call.seqid] = request
        self.requests_by_link[observed.link].append(request)
        self.counts["downloads"] += 1

    def _on_client_answer(self, observed: ObservedMessage, answer: ClientAnswer) -> None:
        if answer.outcome == "probe":
            return
        at = observed.at
        request = self.requests_by_call.get((observed.link, answer.seqid))
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
        if at > request.answer_by + SLACK and not request.excuse:
            self._add_violation(
                Rule.ONE_ANSWER, request, at, f"{answer.outcome} after its deadline {request.deadline:.4f}"
            )
        executed = [attempt for attempt in request.attempts if attempt.is_possibly_executed()]
        idempotency = self.rules.idempotency_by_class[request.request_class]
        if answer.outcome == "throttled" and executed and idempotency is Idempotency.AT_MOST_ONCE:
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
            enforced_from = (
                self.earliest_notice(front, purge.published_at) + self.rules.max_purge_delay + SLACK
            )
            is_late = attempt.at > enforced_from
            if is_hit and is_late and attempt.made_ms is not None and attempt.made_ms < purge.issued_ms:
                self._add_violation(
                    Rule.PURGES,
                    request,
                    at,
                    f"purge published at {purge.published_at:.4f}",
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
            self._on_attempt(observed, request, command)

    def _on_attempt(self, observed: ObservedMessage, request: RequestRecord, command: Command) -> None:
        self.counts["pulls"] += 1
        attempt = Attempt(observed.at, observed.peer, observed.link, command.fields.get("from"))
        self._check_client(attempt, request)
        self._check_deadline(observed.at, request, int(command.fields["budget"]) / 1000)
        self._check_effects(observed.at, request)
        self._check_drains(attempt, request, observed.front)
        for uid in {attempt.cache: None, attempt.source: None}:
            if uid in self.slow_start_audit.starts:
                self._check_slow_start(observed, request, uid)
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
        idempotency = self.rules.idempotency_by_class[request.request_class]
        if idempotency is Idempotency.AT_MOST_ONCE:
            self._add_violation(Rule.NO_DOUBLE_EFFECT, request, at, f"retried, despite {executed[0]}")
        if idempotency is Idempotency.DEDUPLICATED:
            window = self.rules.deduplication_windows[request.request_class]
            if at > executed[0].at + window + SLACK:
                self._add_violation(
                    Rule.NO_DOUBLE_EFFECT, request, at, f"retried past the window of {executed[0]}"
                )

    def _check_drains(self, attempt: Attempt, request: RequestRecord, front: str) -> None:
        at = attempt.at
        for uid, role in ((attempt.cache, "cache"), (attempt.source, "source")):
            if uid not in self.draining:
                continue
            published_at = self.draining[uid]
            if at > self.earliest_notice(front, published_at) + self.rules.max_drain_delay + SLACK:
                self._add_violation(
                    Rule.DRAINS, request, at, f"{uid} draining since {published_at:.4f}", f"attempt as {role}"
                )

    def _check_slow_start(self, observed: ObservedMessage, request: RequestRecord, uid: str) -> None:
        start = self.slow_start_audit.starts[uid]
        notified_at = self.earliest_notice(observed.front, start.published_at) + self.rules.max_start_delay
        is_notified = observed.at >= notified_at
        violation = self.slow_start_audit.on_attempt(observed.at, uid, request.request_class, is_notified)
        if violation:
            rule, proof = violation
            self._add_violation(rule, request, observed.at, f"{uid} began at {start.started_at:.4f}", proof)

    def _check_client(self, attempt: Attempt, request: RequestRecord) -> None:
        """Nothing begins for a client that has closed or cancelled."""
        if request.abandoned_at is None:
            return
        self.counts["attempts for clients just gone"] += 1
        if attempt.at > request.abandoned_at + CLOSED_SLACK:
            self._add_violation(
                Rule.CLIENT_CLOSED,
                request,
                attempt.at,
                f"its client left at {request.abandoned_at:.4f}",
                f"attempt at {attempt.cache}",
            )

    def _check_deadline(self, at: float, request: RequestRecord, attempt_timeout: float) -> None:
        """A cache is told no more time than the client has left."""
        remaining = request.deadline - at
        self.counts["deadlines told late"] += at > request.received + DEADLINE_SLACK
        if attempt_timeout > remaining + DEADLINE_SLACK:
            self._add_violation(
                Rule.DEADLINE,
                request,
                at,
                f"{attempt_timeout:.3f} s told, {remaining:.3f} s left",
                f"of {request.received:.4f}",
            )

    def _on_cache_answer(self, observed: ObservedMessage, answer: Answer) -> None:
        request = self.requests.get((observed.front, answer.name))
        if request is None:
            return
        for attempt in self._end_attempts(request, observed, answer.status):
            attempt.made_ms = self.copy_times_ms.get((observed.peer, answer.name))

    def _on_cancelled(self, at: float, request: RequestRecord) -> None:
        """A client waits for a request no more."""
        self.counts["requests left open by clients"] += request.is_awaited()
        if request.abandoned_at is None:
            request.abandoned_at = at

    def _on_ended_by_client(self, observed: ObservedMessage) -> None:
        """A client closes or resets its connection: it waits for nothing on it."""
        if observed.link not in self.ended_links:
            self.ended_links.add(observed.link)
            for request in self.requests_by_link[observed.link]:
                self._on_cancelled(observed.at, request)

    def _on_ended_by_front(self, observed: ObservedMessage) -> None:
        """A front closes or resets a client's connection, on which nothing that it has taken may be open."""
        if observed.link in self.ended_links:
            return
        self.ended_links.add(observed.link)
        self.counts["connections ended by fronts"] += 1
        for request in self.requests_by_link[observed.link]:
            if request.is_awaited():
                self._check_close(observed.at, request)

    def _check_close(self, at: float, request: RequestRecord) -> None:
        if not request.is_read and at <= request.received + CLOSE_CROSSING_WINDOW:
            request.has_crossed_close = True
            self.counts["requests that crossed a close"] += 1
            return
        state = "read" if request.is_read else "unread"
        self._add_violation(
            Rule.CLOSED_UNANSWERED, request, at, f"sent at {request.received:.4f}, {state}, and closed"
        )
        request.excuse = "reported as closed"

    def _on_closed(self, observed: ObservedMessage) -> None:
        """A connection has ended for the front: attempts on it are over."""
        for key in sorted(self.in_flight.pop(observed.link, ())):
            self._end_attempts(self.requests[key], observed, "reset")

    def verdict(self, end: float) -> list[Violation]:
        """All violations, at the end of the run."""
        for request in self.requests.values():
            if request.is_unanswered(SLACK, end):
                proof = [f"received at {request.received:.4f}", *map(str, request.attempts)]
                self._add_violation(
                    Rule.ONE_ANSWER, request, request.deadline, "none before its deadline", *proof
                )
        return self.violations
