"""Records of the auditor: rules of the site, requests with their attempts, and violations."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from weldbend.testbed.load.client_calls import ClientAnswer

UNEXECUTED_STATUSES = ("LACK", "WAIT", "PAST")  # statuses of a cache that did not execute the command


class Idempotency(Enum):
    """Idempotency of the requests of a class."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "idempotent with an idempotency key, within its window"
    AT_MOST_ONCE = "non-idempotent"


class Rule(StrEnum):
    """Rules that the auditor checks; the values are their published names."""

    ONE_ANSWER = "one answer"  # each request gets one final answer, before its deadline
    NO_DOUBLE_EFFECT = "no effect twice"  # no command is executed twice, no two attempts are in flight
    DRAINS = "drains kept"  # a draining cache gets no attempts and is not used as a source
    PURGES = "purges kept"  # no copy made before its purge is served
    SLOW_START_WORK = "cold not pushed over"  # a cache in slow start gets no more work than its budget
    SLOW_START_CALLS = "cold calls counted"  # nor more calls from all fronts together than it can handle
    CLIENT_CLOSED = "nothing for gone clients"  # no attempt starts after its client closed or cancelled
    CLOSED_UNANSWERED = "no close without an answer"  # fronts close no connection with an unanswered request
    DEADLINE = "deadline passed on"  # no cache gets a timeout above the client's remaining time


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """Load that may be sent to a cache of some kind in slow start."""

    initial_fraction: float  # fraction of its weight that it gets at its start
    duration: float  # seconds until it gets its full weight
    budget_multiple: float  # work that may be sent, as a multiple of its current capacity


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the rules on a site. Times are in seconds."""

    idempotency_by_class: dict[str, Idempotency]  # by request class
    deduplication_windows: dict[str, float]  # by request class
    slow_start_rules: dict[str, SlowStartRule] = field(default_factory=dict)  # by kind of cache
    slow_start_window: float = 2.0  # time over which the budget in slow start is counted
    flow_kb_per_second: float = 1000.0  # KB per second that one flow transfers
    max_drain_delay: float = 0.5  # from its publication until a drain has to be in effect
    max_purge_delay: float = 0.5  # from its publication until a purge has to be in effect
    max_start_delay: float = 0.5  # from its publication until a cache's start has to be in effect


@dataclass(frozen=True, slots=True)
class SlowStartAttempt:
    """Attempt at a cache in slow start, or with it as the source."""

    at: float
    request_class: str
    is_notified: bool  # whether its front had time to learn of the start


@dataclass(slots=True)
class CacheStart:
    """Start of a cache, and the attempts sent to it since."""

    published_at: float  # when the event bus published it
    started_at: float  # when the cache started
    weight: float
    kind: str
    sent_attempts: deque[SlowStartAttempt] = field(default_factory=deque)  # those within the last window


@dataclass(frozen=True, slots=True)
class Purge:
    """Purge of one key, or of a group if there is no key."""

    published_at: float  # when the event bus published it
    key: str | None
    group: int
    issued_ms: int  # virtual milliseconds; copies made earlier are purged


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a rule, with the messages that prove it."""

    rule: Rule
    request: str
    at: float
    proof: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.rule}: request {self.request} at {self.at:.4f}: {'; '.join(self.proof)}"


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at a cache."""

    at: float
    cache: str
    link: int
    source: str | None
    ended: float | None = None
    outcome: str = ""  # status of the answer, `undone` if cancelled, or `reset`
    made_ms: int | None = None  # virtual milliseconds at which the copy in its answer was made

    def is_possibly_executed(self) -> bool:
        """Return whether its command may have been executed."""
        return self.outcome not in UNEXECUTED_STATUSES

    def __str__(self) -> str:
        state = f"{self.outcome} at {self.ended:.4f}" if self.ended is not None else "in flight"
        return f"attempt at {self.cache} at {self.at:.4f} ({state})"


@dataclass(slots=True)
class RequestRecord:
    """Request of a client at one front."""

    name: str
    request_class: str
    key: str
    group: int
    link: int
    seqid: int
    received: float
    deadline: float
    work: float  # seconds that one flow takes to transfer its result
    answers: list[tuple[float, ClientAnswer]] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    is_read: bool = False  # whether the front has read its last byte
    abandoned_at: float | None = None  # when its client cancelled it or closed the connection
    has_crossed_close: bool = False  # sent while its front closed the connection; its client resends it
    answer_by: float = 0.0  # the deadline, or the time at which its frozen front resumed, if later
    excuse: str = ""  # reason for which no answer is required; empty if one is

    def is_awaited(self) -> bool:
        """Return whether the request still requires an answer."""
        return not (self.answers or self.excuse or self.has_crossed_close or self.abandoned_at is not None)

    def is_unanswered(self, slack: float, end: float) -> bool:
        """Return whether a required answer is missing although its time limit has passed.

        Args:
            slack: seconds by which an answer may be late.
            end: end of the run, in seconds.
        """
        is_cancelled_early = self.abandoned_at is not None and self.abandoned_at <= self.answer_by + slack
        is_answer_due = not (self.answers or self.excuse or self.has_crossed_close or is_cancelled_early)
        return is_answer_due and self.answer_by + slack < end
