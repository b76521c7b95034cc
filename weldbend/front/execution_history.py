"""Attempts with an idempotency key that may have been executed, for the client's next retry. No I/O.

A client sends a request again under another id, but with the same idempotency key. Its new request must not
be executed at a cache that does not know of the earlier one, or no longer does.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from weldbend.routing.events import PossibleExecution
from weldbend.routing.settings import Idempotency, RequestClass

UNKNOWN_CELL = -1


class CacheLocation(Protocol):
    """The zone and the cell of a cache, which determine the caches that know its idempotency keys."""

    zone: str
    cell: int


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Identifier of an attempt: the front's id of its request, and its index among the request's attempts."""

    request: str
    number: int


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt that is about to be sent.

    Attributes:
        id: identifier of the attempt.
        cache: number of the cache that it is sent to.
        at: time at which it is sent, in seconds of the front's clock.
        is_retry: whether the client marked the request as a retry.
    """

    id: AttemptId
    cache: int
    at: float
    is_retry: bool


@dataclass(slots=True)
class KeyRecord:
    """The attempts under one idempotency key.

    Attributes:
        includes_first_attempt: whether the first attempt that any front made is among them.
        expires_at: time after which no client retries the request.
        executions: attempts that may have been executed, the earliest first.
    """

    includes_first_attempt: bool
    expires_at: float = 0.0
    executions: dict[AttemptId, PossibleExecution] = field(default_factory=dict)


class PastAttempts(NamedTuple):
    """What this front knows of the attempts under one idempotency key.

    Attributes:
        executions: attempts that may have been executed, the earliest first.
        includes_first_attempt: whether the first attempt that any front made is among them.
    """

    executions: tuple[PossibleExecution, ...] = ()
    includes_first_attempt: bool = False


class ExecutionHistory:
    """The attempts that this front has sent and that may have been executed, by class and idempotency key."""

    def __init__(self, caches: Mapping[int, CacheLocation]) -> None:
        self._caches = caches
        self._records: dict[str, dict[str, KeyRecord]] = {}  # by class and key, the earliest to expire first

    def __len__(self) -> int:
        return sum(len(records) for records in self._records.values())

    def record(self, request_class: RequestClass, key: str, sent: SentAttempt) -> None:
        """Record an attempt; must be called before its first byte is sent."""
        self._remove_expired(sent.at)
        if request_class.idempotency is not Idempotency.DEDUPLICATED:
            return
        location = self._caches.get(sent.cache)
        zone, cell = (location.zone, location.cell) if location else ("", UNKNOWN_CELL)
        records = self._records.setdefault(request_class.name, {})
        record = records.pop(key, None) or KeyRecord(includes_first_attempt=not sent.is_retry)
        record.expires_at = sent.at + max(request_class.deadline_after, request_class.deduplication_window)
        record.executions[sent.id] = PossibleExecution(zone, cell, sent.at)
        records[key] = record

    def withdraw(self, class_name: str, key: str, attempt: AttemptId) -> None:
        """Remove an attempt that was provably not executed."""
        records = self._records.get(class_name, {})
        if record := records.get(key):
            record.executions.pop(attempt, None)
            if not record.executions:
                del records[key]

    def past_attempts(self, class_name: str, key: str, now: float) -> PastAttempts:
        """Return the attempts under a key that may have been executed."""
        self._remove_expired(now)
        record = self._records.get(class_name, {}).get(key)
        if record is None:
            return PastAttempts()
        return PastAttempts(tuple(record.executions.values()), record.includes_first_attempt)

    def _remove_expired(self, now: float) -> None:
        for records in self._records.values():
            while records and next(iter(records.values())).expires_at < now:
                del records[next(iter(records))]
