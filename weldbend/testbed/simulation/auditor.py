"""Auditor of a run: checks the rules using only messages on sockets and events published by the event bus.

It shares no code with the routing decisions. It checks the rules of `audit_records.Rule`; those on caches in
slow start are in `slow_start_audit`. A front that is killed without notice need not answer its open requests,
and a front that is suspended may answer late the requests that became due meanwhile. There are no other
exceptions.
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

SLACK = 0.05  # seconds of tolerance added to each time limit, as it is observed on sockets
CLOSED_SLACK = 0.1  # seconds after a client's close or cancellation in which attempts may still start
DEADLINE_SLACK = 0.15  # seconds by which a cache's timeout may exceed the client's remaining time
# Seconds before a front's close within which a sent request may go unread; its client resends it.
CLOSE_CROSSING_WINDOW = 0.05

__all__ = ["Auditor", "Idempotency", "Rule", "Rules", "SlowStartRule", "Violation"]


class Auditor:
    """Checks messages and events, received in order; `verdict` returns the violations at the end."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.requests: dict[tuple[str, str], RequestRecord] = {}  # by front and request id
        self.requests_by_call: dict[tuple[int, int], RequestRecord] = {}  # by link and seqid
        # Keys in `requests` of those with an attempt in flight, by link.
        self.in_flight: dict[int, set[tuple[str, str]]] = defaultdict(set)
        self.requests_by_link: dict[int, list[RequestRecord]] = defaultdict(list)
        self.ended_links: set[int] = set()  # client connections that one side has ended
        self.down_fronts: set[str] = set()
        self.slow_start_audit = SlowStartAudit(rules)
        self.draining: dict[str, float] = {}  # time of publication, by uid
        self.purges: list[Purge] = []
        # Virtual milliseconds at which a served copy was made, by cache and request.
        self.copy_times_ms: dict[tuple[str, str], int] = {}
        self.violations: list[Violation] = []
        self.counts = self.slow_start_audit.counts
        # Periods (since, until) in which no event could reach a front, by front.
        self.unreachable_spans: dict[str, list[tuple[float, float]]] = defaultdict(list)

    # Events of the bus and state changes of fronts.

    def on_bus_event(self, at: float, unix: float, event: dict[str, Any]) -> None:
        """Process an event published by the bus; `unix` is the current Unix time by the caches' clock."""
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
        """Record that a cache executed an attempt, and when its copy was made; None without a copy.

        The timestamp in the answer (`born`) is not used, because faults may change it and the cache's clock
        may step.
        """
        if made_ms is not None:
            self.copy_times_ms[cache, request] = made_ms

    def on_front_killed(self, front: str) -> None:
        """Excuse the unanswered requests of a front that was killed."""
        self.down_fronts.add(front)
        for (name, _), request in self.requests.items():
            if name == front and not request.answers:
                request.excuse = request.excuse or "its front was killed"

    def on_front_stopping(self, front: str) -> None:
        """Count the open requests of a front that gets SIGTERM; it still has to answer them."""
        open_requests = [r for (name, _), r in self.requests.items() if name == front and r.is_awaited()]
        self.counts["requests open at a shutdown"] += len(open_requests)

    def on_front_started(self, front: str) -> None:
        """Record that a front has started."""
        self.down_fronts.discard(front)

    def on_front_unreachable(self, front: str, since: float, until: float, is_frozen: bool) -> None:
        """Record a period in which no event reached a front; if frozen, it may answer due requests late."""
        self.unreachable_spans[front].append((since, until))
        for (name, _), request in self.requests.items() if is_frozen else ():
            if name == front and not request.answers and request.deadline > since:
                request.answer_by = max(request.answer_by, until)

    def earliest_notice(self, front: str, published_at: float) -> float:
        """Return the earliest time at which a front could receive an event published at a given time."""
        for since, until in sorted(self.unreachable_spans[front]):
            if since <= published_at < until:
                published_at = until
        return published_at

    # Messages on sockets.

    def on_message(self, observed: ObservedMessage) -> None:
        """Process a message or a connection event."""
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
            self._add_violation(Rule.ONE_ANSWER, f"seqid {answer.seqid}", at, "answer without a request")
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
            self._add_violation(Rule.ONE_ANSWER, request, at, "fulfilled, but no attempt ended with DONE")
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
                self._add_violation(Rule.ONE_ANSWER, command.name, at, "attempt without a client's request")
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
        """Mark the request's attempts in flight on a link as ended, and return them."""
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
            self._add_violation(rule, request, observed.at, f"{uid} started at {start.started_at:.4f}", proof)

    def _check_client(self, attempt: Attempt, request: RequestRecord) -> None:
        """Check that no attempt starts after the client has closed or cancelled."""
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
        """Check that the timeout sent to a cache does not exceed the client's remaining time."""
        remaining = request.deadline - at
        self.counts["deadlines told late"] += at > request.received + DEADLINE_SLACK
        if attempt_timeout > remaining + DEADLINE_SLACK:
            self._add_violation(
                Rule.DEADLINE,
                request,
                at,
                f"{attempt_timeout:.3f} s timeout, {remaining:.3f} s left",
                f"received at {request.received:.4f}",
            )

    def _on_cache_answer(self, observed: ObservedMessage, answer: Answer) -> None:
        request = self.requests.get((observed.front, answer.name))
        if request is None:
            return
        for attempt in self._end_attempts(request, observed, answer.status):
            attempt.made_ms = self.copy_times_ms.get((observed.peer, answer.name))

    def _on_cancelled(self, at: float, request: RequestRecord) -> None:
        """Record that a client no longer waits for a request."""
        self.counts["requests left open by clients"] += request.is_awaited()
        if request.abandoned_at is None:
            request.abandoned_at = at

    def _on_ended_by_client(self, observed: ObservedMessage) -> None:
        """Process the close or reset of a connection by its client, which waits for no more answers."""
        if observed.link not in self.ended_links:
            self.ended_links.add(observed.link)
            for request in self.requests_by_link[observed.link]:
                self._on_cancelled(observed.at, request)

    def _on_ended_by_front(self, observed: ObservedMessage) -> None:
        """Check a client connection that its front closes or resets: no request on it may be unanswered."""
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
        """End the attempts on a connection that has ended for its front."""
        for key in sorted(self.in_flight.pop(observed.link, ())):
            self._end_attempts(self.requests[key], observed, "reset")

    def verdict(self, end: float) -> list[Violation]:
        """Check for unanswered requests at the end of the run, and return all violations."""
        for request in self.requests.values():
            if request.is_unanswered(SLACK, end):
                proof = [f"received at {request.received:.4f}", *map(str, request.attempts)]
                self._add_violation(
                    Rule.ONE_ANSWER, request, request.deadline, "no answer before its deadline", *proof
                )
        return self.violations
