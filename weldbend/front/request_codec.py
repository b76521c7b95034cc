"""Conversion between the fields of the client and cache protocols and the router's events.

The names of the fields of requests and of commands to caches are used only in this module. Some fields of
answers are also named in `attempts`, in `health_checks` and in `weldbend.clients.request`.
"""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from weldbend.cache_protocol.answers import Answer
from weldbend.caches.attempt import AttemptLoss
from weldbend.routing.actions import SendAttempt
from weldbend.routing.events import AttemptEnded, AttemptResult, FillHint
from weldbend.routing.settings import Idempotency, RequestClass

ANSWER_RESULTS = {
    "DONE": AttemptResult.SERVED,
    "KEEP": AttemptResult.SERVED,
    "LACK": AttemptResult.MISS,
    "WAIT": AttemptResult.REJECTED,
    "BROKE": AttemptResult.ERROR,
    "PAST": AttemptResult.SUPERSEDED,
}
HEALTH_RESULTS = {"FIT": AttemptResult.SERVED, "UNFIT": AttemptResult.ERROR}
LOSS_RESULTS = {
    AttemptLoss.UNREACHABLE: AttemptResult.UNREACHABLE,
    AttemptLoss.RESET: AttemptResult.RESET,
    AttemptLoss.MALFORMED: AttemptResult.MALFORMED,
    AttemptLoss.SUPERSEDED: AttemptResult.SUPERSEDED,
    AttemptLoss.LOCAL_FAULT: AttemptResult.LOCAL_FAULT,
}
# Hints by their letters on the wire, which are in the order of `FillHint` without its first member, NONE.
FILL_HINTS = dict(zip("hfojsrblnx", list(FillHint)[1:], strict=True))
# Patterns for values of fields; values of HEX and INTEGER are passed on to caches as they are.
HEX16 = re.compile(r"[0-9a-f]{16}")
HEX = re.compile(r"[0-9a-f]{1,64}")
INTEGER = re.compile(r"0|[1-9][0-9]{0,8}")  # without leading zeros
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
MAX_BODY = 48_000  # bytes
MAX_SIZE = 1e8  # maximum size of a part in kB
MAX_PART = 99_999
MAX_GROUP = 255
TIMEOUT_TOLERANCE = 0.05  # seconds by which a client's timeout may exceed its class's, due to rounding up


class InvalidRequestReason(Enum):
    """Reasons for which a request is invalid; the texts are part of the client protocol."""

    UNKNOWN_CLASS = "unknown content type"
    MISSING_FIELD = "missing field"
    MALFORMED_ID = "id and key are 16 hex digits"
    MALFORMED_TOKEN = "a field that cannot be passed on"
    MALFORMED_NUMBER = "a field that is no number"
    NUMBER_BEYOND_BOUNDS = "a number out of its bounds"
    BODY_TOO_LARGE = "a body too large"


class InvalidRequestError(Exception):
    """A request with invalid fields.

    Attributes:
        reason: reason for which the request is invalid.
        field: name of the missing field, "" for other reasons.
    """

    def __init__(self, reason: InvalidRequestReason, field: str = "") -> None:
        super().__init__(f"{reason.value} {field!r}" if field else reason.value)
        self.reason = reason
        self.field = field


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A client's request.

    Attributes:
        client_id: id chosen by the client, 16 hex digits, unique while the request is open.
        class_name: name of the request class.
        timeout: seconds for which the client waits.
        is_retry: whether the client marked the request as a retry.
        key: key of the object, 16 hex digits.
        part: number of the part of the object.
        group: number of the group of objects that may be purged together.
        size_kb: size of the part in kB; 0 if the client does not know it.
        idempotency_key: idempotency key; None if the client sent none.
        known_version: version of the client's copy; None if it has none.
    """

    client_id: str
    class_name: str
    timeout: float
    is_retry: bool
    key: str
    part: int
    group: int
    size_kb: float
    idempotency_key: str | None
    known_version: str | None


def read_request(
    fields: Mapping[str, str], body: bytes, classes: Mapping[str, RequestClass]
) -> ParsedRequest:
    """Parse and validate the fields of a client's request, and check the length of its body.

    The validation guards caches, and the router's estimates, against values that no supported client sends.

    Raises:
        InvalidRequestError: a field is missing or invalid, or the body is too long.
    """
    client_id, class_name, key = (_text(fields, name) for name in ("id", "class", "key"))
    idempotency_key = fields.get("once")
    known_version = fields.get("got")
    if class_name not in classes:
        raise InvalidRequestError(InvalidRequestReason.UNKNOWN_CLASS)
    if classes[class_name].idempotency is Idempotency.DEDUPLICATED and not idempotency_key:
        raise InvalidRequestError(InvalidRequestReason.MISSING_FIELD, "once")
    if not HEX16.fullmatch(client_id) or not HEX16.fullmatch(key):
        raise InvalidRequestError(InvalidRequestReason.MALFORMED_ID)
    if not all(text is None or HEX.fullmatch(text) for text in (idempotency_key, known_version)):
        raise InvalidRequestError(InvalidRequestReason.MALFORMED_TOKEN)
    request = ParsedRequest(
        client_id=client_id,
        class_name=class_name,
        timeout=float(_numeric(fields, "wait", DECIMAL)) / 1000,
        is_retry=fields.get("retry") == "1",
        key=key,
        part=int(_numeric(fields, "nth", INTEGER, "0")),
        group=int(_numeric(fields, "batch", INTEGER, "0")),
        size_kb=float(_numeric(fields, "kb", DECIMAL, "0")),
        idempotency_key=idempotency_key,
        known_version=known_version,
    )
    _check_bounds(request, classes[class_name].deadline_after)
    if len(body) > MAX_BODY:
        raise InvalidRequestError(InvalidRequestReason.BODY_TOO_LARGE)
    return request


def _check_bounds(request: ParsedRequest, max_timeout: float) -> None:
    is_within_bounds = (
        0 < request.timeout <= max_timeout + TIMEOUT_TOLERANCE
        and request.group <= MAX_GROUP
        and request.size_kb <= MAX_SIZE
        and request.part <= MAX_PART
    )
    if not is_within_bounds:
        raise InvalidRequestError(InvalidRequestReason.NUMBER_BEYOND_BOUNDS)


def _text(fields: Mapping[str, str], name: str) -> str:
    if name not in fields:
        raise InvalidRequestError(InvalidRequestReason.MISSING_FIELD, name)
    return fields[name]


def _numeric(fields: Mapping[str, str], name: str, form: re.Pattern[str], default: str | None = None) -> str:
    """Return the text of a numeric field, which is required if there is no default."""
    value = _text(fields, name) if default is None else fields.get(name, default)
    if not form.fullmatch(value):
        raise InvalidRequestError(InvalidRequestReason.MALFORMED_NUMBER)
    return value


def attempt_fields(
    request: ParsedRequest, action: SendAttempt, source: str | None, timeout: float
) -> dict[str, str]:
    """Return the fields of the command for one attempt.

    Ages and timeouts are sent in whole milliseconds, at least 1, since 0 means unlimited.

    Args:
        request: request of the client.
        action: decision of the router to send the attempt.
        source: uid of the other cache from which a miss is filled; None if there is no such cache.
        timeout: maximum duration of the attempt in seconds.
    """
    # The letters are the flags' names in the protocol of caches.
    flags = zip(
        "jhnr",
        (action.join_fill, action.only_if_cached, action.leave_no_copy, action.revalidate),
        strict=True,
    )
    mode = "+".join(letter for letter, is_set in flags if is_set)
    fields = {
        "queue": request.class_name,
        "path": request.key,
        "blk": str(request.part),
        "budget": str(max(int(timeout * 1000), 1)),
        "uniq": request.idempotency_key,
        "from": source,
        "rank": str(action.rank) if action.rank else None,
        "oldest": str(max(int(action.max_age * 1000), 1)) if action.max_age else None,
        "mode": mode or None,
        "seen": request.known_version,
    }
    return {name: value for name, value in fields.items() if value is not None}


def _finite(text: str) -> float:
    """Parse a number in a cache's report; return 0 if it is malformed or not finite."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) else 0.0


def parse_load(text: str | None) -> dict[str, float] | None:
    """Parse a load report such as `inflight:7;util:0.61`; return None if there is none."""
    if not text:
        return None
    return {name: _finite(value) for name, _, value in (pair.partition(":") for pair in text.split(";"))}


def attempt_ended(
    request_id: str,
    attempt: int,
    outcome: Answer | AttemptLoss | AttemptResult,
    duration: float,
    request_closed: bool,
) -> AttemptEnded:
    """Return the router's event for the end of an attempt."""
    if isinstance(outcome, Answer):
        fields = outcome.fields
        return AttemptEnded(
            id=request_id,
            attempt=attempt,
            result=ANSWER_RESULTS[outcome.status],
            duration=duration,
            request_closed=request_closed,
            fill_hint=FILL_HINTS.get(fields.get("detail", ""), FillHint.NONE),
            waited=_finite(fields.get("waited", "0")) / 1000,
            load=parse_load(fields.get("use")),
        )
    result = LOSS_RESULTS[outcome] if isinstance(outcome, AttemptLoss) else outcome
    return AttemptEnded(request_id, attempt, result, duration, request_closed, FillHint.NONE, 0.0, None)
