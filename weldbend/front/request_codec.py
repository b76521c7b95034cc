"""A download's fields between the two protocols and the decisions' events; nothing else knows their names."""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from weldbend.cache_protocol.answers import Answer
from weldbend.caches.connection import Lost
from weldbend.routing.actions import SendAttempt
from weldbend.routing.events import AttemptEnded, AttemptResult, FillHint
from weldbend.routing.settings import Idempotency, RequestClass

RESULTS = {
    "DONE": AttemptResult.SERVED,
    "KEEP": AttemptResult.SERVED,
    "LACK": AttemptResult.MISS,
    "WAIT": AttemptResult.REJECTED,
    "BROKE": AttemptResult.ERROR,
    "PAST": AttemptResult.SUPERSEDED,
}
FITNESS = {"FIT": AttemptResult.SERVED, "UNFIT": AttemptResult.ERROR}
LOSSES = {
    Lost.UNREACHABLE: AttemptResult.UNREACHABLE,
    Lost.RESET: AttemptResult.RESET,
    Lost.MALFORMED: AttemptResult.MALFORMED,
    Lost.WITHDRAWN: AttemptResult.SUPERSEDED,
}
HINTS = dict(zip("hfojsrblnx", list(FillHint)[1:], strict=True))
HEX16, HEX = re.compile(r"[0-9a-f]{16}"), re.compile(r"[0-9a-f]{1,64}")
WHOLE_NUMBER = re.compile(r"0|[1-9][0-9]{0,8}")  # as it is passed on, letter for letter
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
LONGEST_BODY = 48_000
LARGEST = 1e8  # KB of one part
LAST_PART = 99_999
SLACK = 0.05  # seconds by which a client may round its wait up


class InvalidRequestError(Exception):
    """Fields that no download can have."""


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """What a client asks for."""

    name: str
    type: str
    wait: float
    repeat: bool
    key: str
    part: int
    group: int
    kb: float
    once: str | None
    got: str | None
    body: bytes


def read_request(fields: Mapping[str, str], body: bytes, types: Mapping[str, RequestClass]) -> ParsedRequest:
    """What a client asks for; raises BadDownload.

    Guards caches, and what the decisions learn, against figures and names that no client of ours sends.
    """
    name, kind, key = (text(fields, field) for field in ("id", "class", "key"))
    once, got = fields.get("once"), fields.get("got")
    if kind not in types:
        raise InvalidRequestError("unknown content type")
    if types[kind].idempotency is Idempotency.DEDUPLICATED and not once:
        raise InvalidRequestError("missing field 'once'")
    if not HEX16.fullmatch(name) or not HEX16.fullmatch(key):
        raise InvalidRequestError("id and key are 16 hex digits")
    if not all(mark is None or HEX.fullmatch(mark) for mark in (once, got)):
        raise InvalidRequestError("a field that cannot be passed on")
    wait = float(figure(fields, "wait", DECIMAL)) / 1000
    part, group = (
        int(figure(fields, "nth", WHOLE_NUMBER, "0")),
        int(figure(fields, "batch", WHOLE_NUMBER, "0")),
    )
    kb = float(figure(fields, "kb", DECIMAL, "0"))
    if not 0 < wait <= types[kind].deadline_after + SLACK or group > 255 or kb > LARGEST or part > LAST_PART:
        raise InvalidRequestError("a number out of its bounds")
    if len(body) > LONGEST_BODY:
        raise InvalidRequestError("a body too large")
    return ParsedRequest(name, kind, wait, fields.get("retry") == "1", key, part, group, kb, once, got, body)


def text(fields: Mapping[str, str], name: str) -> str:
    if name not in fields:
        raise InvalidRequestError(f"missing field {name!r}")
    return fields[name]


def figure(fields: Mapping[str, str], name: str, form: re.Pattern[str], absent: str | None = None) -> str:
    value = text(fields, name) if absent is None else fields.get(name, absent)
    if not form.fullmatch(value):
        raise InvalidRequestError("a field that is no number")
    return value


def order(wish: ParsedRequest, action: SendAttempt, source: str | None, left: float) -> dict[str, str]:
    """The fields of one pull; ages and waits are whole milliseconds, and none may become nothing."""
    mode = zip(
        "jhnr", (action.join_fill, action.only_cached, action.leave_no_copy, action.revalidate), strict=True
    )
    modes = "+".join(letter for letter, on in mode if on)
    fields = {
        "queue": wish.type,
        "path": wish.key,
        "blk": str(wish.part),
        "budget": str(max(int(left * 1000), 1)),
        "uniq": wish.once,
        "from": source,
        "rank": str(action.rank) if action.rank else None,
        "oldest": str(max(int(action.max_age * 1000), 1)) if action.max_age else None,
        "mode": modes or None,
        "seen": wish.got,
    }
    return {name: value for name, value in fields.items() if value is not None}


def number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) else 0.0


def load(text: str | None) -> dict[str, float] | None:
    """A load report, as in `inflight:7;util:0.61`."""
    if not text:
        return None
    return {name: number(value) for name, _, value in (pair.partition(":") for pair in text.split(";"))}


def ended(
    name: str, attempt: int, how: Answer | Lost | AttemptResult, took: float, closed: bool
) -> AttemptEnded:
    """How a pull ended, as the decisions hear it."""
    if isinstance(how, Answer):
        fields = how.fields
        hint = HINTS.get(fields.get("detail", ""), FillHint.NONE)
        waited = number(fields.get("waited", "0")) / 1000
        return AttemptEnded(
            name, attempt, RESULTS[how.word], took, closed, hint, waited, load(fields.get("use"))
        )
    result = LOSSES[how] if isinstance(how, Lost) else how
    return AttemptEnded(name, attempt, result, took, closed, FillHint.NONE, 0.0, None)
