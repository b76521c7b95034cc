"""A download's fields between the two protocols and the decisions' events; nothing else knows their names."""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from weldbend import interface as face
from weldbend.caches.connection import Lost
from weldbend.lines.answers import Answer

RESULTS = {
    "DONE": face.Result.FULFILLED,
    "KEEP": face.Result.FULFILLED,
    "LACK": face.Result.MISS,
    "WAIT": face.Result.TURNED_AWAY,
    "BROKE": face.Result.ERROR,
    "PAST": face.Result.MOOT,
}
FITNESS = {"FIT": face.Result.FULFILLED, "UNFIT": face.Result.ERROR}
LOSSES = {
    Lost.UNREACHED: face.Result.UNREACHED,
    Lost.RESET: face.Result.RESET,
    Lost.WITHDRAWN: face.Result.MOOT,
}
HINTS = dict(zip("hfojsrblnx", list(face.Hint)[1:], strict=True))
HEX16, WORD = re.compile(r"[0-9a-fA-F]{16}"), re.compile(r"[\x21-\x2b\x2d-\x3c\x3e-\x7e]{1,128}")
LONGEST_BODY = 48_000
LONGEST_WAIT = 3600.0


class BadDownload(Exception):
    """Fields that no download can have."""


@dataclass(frozen=True, slots=True)
class Wish:
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


def read_wish(fields: Mapping[str, str], body: bytes, types: Mapping[str, face.ContentType]) -> Wish:
    try:
        wish = Wish(
            name=fields["id"],
            type=fields["class"],
            wait=float(fields["wait"][:20]) / 1000,
            repeat=fields.get("retry") == "1",
            key=fields["key"],
            part=int(fields.get("nth", "0")[:9]),
            group=int(fields.get("batch", "0")[:9]),
            kb=float(fields.get("kb", "0")[:20]),
            once=fields.get("once"),
            got=fields.get("got"),
            body=body,
        )
    except KeyError as missing:
        raise BadDownload(f"missing field {missing}") from None
    except ValueError:
        raise BadDownload("a field that is no number") from None
    if wish.type not in types:
        raise BadDownload("unknown content type")
    if types[wish.type].effect is face.Effect.DEDUPED and not wish.once:
        raise BadDownload("missing field 'once'")
    if not HEX16.fullmatch(wish.name) or not HEX16.fullmatch(wish.key):
        raise BadDownload("id and key are 16 hex digits")
    if not all(text is None or WORD.fullmatch(text) for text in (wish.once, wish.got)):
        raise BadDownload("a field that cannot be passed on")
    if (
        not 0 < wish.wait <= LONGEST_WAIT
        or wish.part < 0
        or not 0 <= wish.group <= 255
        or not 0 <= wish.kb < 1e9
    ):
        raise BadDownload("a number out of its bounds")
    if len(body) > LONGEST_BODY:
        raise BadDownload("a body too large")
    return wish


def order(wish: Wish, action: face.SendPull, source: str | None, left: float) -> dict[str, str]:
    """The fields of one pull; ages and waits are whole milliseconds, and none may become nothing."""
    mode = zip("jhnr", (action.join, action.only_held, action.leave_no_copy, action.renew), strict=True)
    modes = "+".join(letter for letter, on in mode if on)
    fields = {
        "queue": wish.type,
        "path": wish.key,
        "blk": str(wish.part),
        "budget": str(max(int(left * 1000), 1)),
        "uniq": wish.once,
        "from": source,
        "rank": str(action.rank) if action.rank else None,
        "oldest": str(max(int(action.age * 1000), 1)) if action.age else None,
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


def ended(name: str, pull: int, how: Answer | Lost | face.Result, took: float, closed: bool) -> face.Ended:
    """How a pull ended, as the decisions hear it."""
    if isinstance(how, Answer):
        fields = how.fields
        hint = HINTS.get(fields.get("detail", ""), face.Hint.NONE)
        waited = number(fields.get("waited", "0")) / 1000
        return face.Ended(name, pull, RESULTS[how.word], took, closed, hint, waited, load(fields.get("use")))
    result = LOSSES[how] if isinstance(how, Lost) else how
    return face.Ended(name, pull, result, took, closed, face.Hint.NONE, 0.0, None)
