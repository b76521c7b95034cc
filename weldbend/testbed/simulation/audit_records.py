"""What the auditor keeps of a run: the site's rules, requests with their attempts, and violations."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from weldbend.testbed.load.client_calls import ClientAnswer

UNEXECUTED_STATUSES = ("LACK", "WAIT", "PAST")  # answers of a cache that did not execute the command


class Idempotency(Enum):
    """What repeating a request of some class may do."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "idempotent with an idempotency key, within its window"
    AT_MOST_ONCE = "non-idempotent"


class Rule(StrEnum):
    """The rules that are checked, by their published names."""

    ONE_ANSWER = "one answer"  # one final answer to each request, before its deadline
    NO_DOUBLE_EFFECT = "no effect twice"  # nothing is executed twice, and no two attempts are in flight
    DRAINS = "drains kept"  # nothing goes to a cache that is draining, nor takes it as a source
    PURGES = "purges kept"  # no copy older than a purge is served
    SLOW_START_WORK = "cold not pushed over"  # a cache that warms up gets no more than its budget
    SLOW_START_CALLS = "cold calls counted"  # nor more calls than it bears, from all fronts together
    CLIENT_CLOSED = "nothing for gone clients"  # no attempt for a client that has closed or cancelled
    CLOSED_UNANSWERED = "no close without an answer"  # of a connection with a request that was taken
    DEADLINE = "deadline passed on"  # a cache is told no more time than the client has left


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """How much may be sent to a kind of cache that has started."""

    initial_fraction: float  # of its weight, at its start
    duration: float  # seconds until it takes all
    budget_multiple: float  # of what it bears, that it may be sent within `Rules.slow_start_window`


@dataclass(frozen=True, slots=True)
class Rules:
    """The site's figures. Times are in seconds."""

    idempotency_by_class: dict[str, Idempotency]  # by request class
    deduplication_windows: dict[str, float]  # of deduplication, by request class
    slow_start_rules: dict[str, SlowStartRule] = field(default_factory=dict)  # by kind of cache
    slow_start_window: float = 2.0  # over which a cold start's budget is counted
    flow_kb_per_second: float = 1000.0  # KB that one flow sends in a second
    max_drain_delay: float = 0.5  # until a drain has to be in effect
    max_purge_delay: float = 0.5  # until a purge has to be in effect
    max_start_delay: float = 0.5  # until a cache's start has to be in effect


@dataclass(frozen=True, slots=True)
class SlowStartAttempt:
    """An attempt at a cache that warms up, or with it as a source."""

    at: float
    request_class: str
    is_notified: bool  # whether its front had had time to know of the start


@dataclass(slots=True)
class CacheStart:
    """A cache that has started, and what was sent to it since."""

    published_at: float  # when the event bus published it
    started_at: float
    weight: float
    kind: str
    sent_attempts: deque[SlowStartAttempt] = field(default_factory=deque)  # within a window


@dataclass(frozen=True, slots=True)
class Purge:
    """A purge of one key, or of a group where there is no key."""

    published_at: float  # when the event bus published it
    key: str | None
    group: int
    issued_ms: int  # virtual milliseconds; copies made before are purged


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule, with the messages that prove it."""

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
    outcome: str = ""  # how it ended: an answer's word, `undone` or `reset`
    made_ms: int | None = None  # virtual milliseconds at which the copy that it brought was made

    def is_possibly_executed(self) -> bool:
        """Whether its command may have been executed."""
        return self.outcome not in UNEXECUTED_STATUSES

    def __str__(self) -> str:
        state = f"{self.outcome} at {self.ended:.4f}" if self.ended is not None else "in flight"
        return f"attempt at {self.cache} at {self.at:.4f} ({state})"


@dataclass(slots=True)
class RequestRecord:
    """One request at one front."""

    name: str
    request_class: str
    key: str
    group: int
    link: int
    seqid: int
    received: float
    deadline: float
    work: float  # seconds that one flow takes to send its result
    answers: list[tuple[float, ClientAnswer]] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    is_read: bool = False  # whether its front's process has read its last byte
    abandoned_at: float | None = None  # when its client cancelled it or closed
    has_crossed_close: bool = False  # its front's close of an idle connection: its client sends it again
    answer_by: float = 0.0  # the deadline, or the end of a standstill of its front, if that is later
    excuse: str = ""  # why it needs no answer

    def is_awaited(self) -> bool:
        """Whether an answer is owed and has not come."""
        return not (self.answers or self.excuse or self.has_crossed_close or self.abandoned_at is not None)

    def is_unanswered(self, slack: float, end: float) -> bool:
        """Whether its client still waited when the answer was due, that is over, and nothing excuses it."""
        is_cancelled_early = self.abandoned_at is not None and self.abandoned_at <= self.answer_by + slack
        is_answer_due = not (self.answers or self.excuse or self.has_crossed_close or is_cancelled_early)
        return is_answer_due and self.answer_by + slack < end
