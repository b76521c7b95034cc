"""The wire's words and units, to and from the interface."""

import base64
import json
from typing import Any

from weldbend.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SendMessage,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from weldbend.routing.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointsListed,
    EndpointState,
    Event,
    FillHint,
    HealthCheckDone,
    ListScope,
    MessageReceived,
    ObjectsPurged,
    RequestCancelled,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from weldbend.site_settings import cache_roles, read_site_settings

STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}
SCALES = {
    "diff": ListScope.CHANGES,
    "snapshot": ListScope.COMPLETE,
    "disk": ListScope.REMEMBERED,
    "error": ListScope.FAILED,
}
RESULTS = dict(enumerate(AttemptResult, 1))
HINTS = dict(enumerate(FillHint))


class MalformedLineError(Exception):
    """A line that the wire does not allow."""


def split(line: str) -> tuple[str, str]:
    head, _, rest = line.rstrip("\n").partition(" ")
    return head, rest


def whole(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise MalformedLineError(f"not a whole number: {text!r}") from None


def number(text: str) -> float:
    try:
        return 0.0 if text == "-" else float(text)
    except ValueError:
        raise MalformedLineError(f"not a number: {text!r}") from None


def seconds(text: str) -> float:
    return 0.0 if text == "-" else whole(text) / 1e6


def micros(value: float) -> int:
    return int(value * 1e6 + 1e-3)


def values(name: str, rest: str, count: int) -> list[str]:
    found = rest.split(" ") if rest else []
    if len(found) < count:
        raise MalformedLineError(f"{name}: {len(found)} values, {count} wanted")
    return found


def known(name: str, table: dict[Any, Any], word: Any) -> Any:
    if word not in table:
        raise MalformedLineError(f"unknown {name}: {word!r}")
    return table[word]


class Door:
    """One instance's side of the wire: its facts, and what turns its events into ours."""

    def __init__(self, rest: str) -> None:
        seed, _, text = rest.partition(" ")
        try:
            conf = json.loads(text)
        except ValueError as wrong:
            raise MalformedLineError(f"provision: settings are not JSON: {wrong}") from None
        self.seed = whole(seed)
        try:
            self.settings = read_site_settings(conf)
            self.flow = conf["family_info"]["one_flow_kb_per_s"]
            self.roles = cache_roles(conf)
        except KeyError as missing:
            raise MalformedLineError(f"provision: settings lack {missing}") from None

    def listed(self, rest: str, lines: list[str]) -> EndpointsListed:
        scale = known("scope", SCALES, values("view", rest, 3)[0])
        return EndpointsListed(scale, tuple(self.entry(line) for line in lines))

    def entry(self, line: str) -> Endpoint:
        head, rest = split(line)
        if head != "cache":
            raise MalformedLineError(f"expected a list entry, got {head!r}")
        weight, zone, cache, started, kind, state, cell = values("cache", rest, 7)[:7]
        return Endpoint(
            id=whole(cache),
            weight=number(weight),
            zone=zone,
            cell=int(number(cell)),
            role=known("kind", self.roles, kind),
            state=known("lifecycle", STATES, state),
            started=seconds(started) or None,
        )

    def event(self, head: str, rest: str) -> Event:
        """Any event of a running instance but the list."""
        match head:
            case "call":
                name, key, flags, kind, group, _, part, size, until = values(head, rest, 9)[:9]
                known("class", self.settings.classes, kind)
                return RequestReceived(
                    id=name,
                    key=key,
                    part=int(number(part)),
                    group=int(number(group)),
                    class_name=kind,
                    work=number(size) / self.flow,
                    is_retry=bool(int(number(flags)) & 2),
                    deadline=seconds(until),
                )
            case "report_back":
                name, attempt, _, result, took, closed, hint, waited, load = values(head, rest, 9)[:9]
                return AttemptEnded(
                    id=name,
                    attempt=whole(attempt),
                    result=known("status", RESULTS, whole(result)),
                    duration=seconds(took),
                    request_closed=closed == "1",
                    fill_hint=known("info", HINTS, int(number(hint))),
                    waited=seconds(waited),
                    load=gauge(load),
                )
            case "established":
                name, attempt = values(head, rest, 4)[:2]
                return ResponseStarted(name, whole(attempt))
            case "dropped":
                return RequestCancelled(values(head, rest, 1)[0])
            case "timeout_fired":
                return TimerFired(values(head, rest, 1)[0])
            case "purged":
                key, age, group = values(head, rest, 3)[:3]
                return ObjectsPurged(None if not key.strip("0-") else key, int(number(group)), seconds(age))
            case "echo":
                cache, result, took, load = values(head, rest, 4)[:4]
                return HealthCheckDone(
                    whole(cache), known("status", RESULTS, whole(result)), seconds(took), gauge(load)
                )
            case "datagram":
                front, text = values(head, rest, 2)[:2]
                return MessageReceived(whole(front), b"" if text == "-" else base64.b64decode(text))
        raise MalformedLineError(f"unknown event {head!r}")


def gauge(text: str) -> dict[str, float] | None:
    if text == "-":
        return None
    pairs = [pair.partition(":") for pair in text.split(",")]
    return {name: number(value) for name, _, value in pairs}


def action_text(action: Action) -> str:
    match action:
        case SendAttempt(name, cache, None, _, _, patience):
            return f"place {name} {cache} {micros(patience)}"
        case SendAttempt():
            mode = (
                action.join_fill + 2 * action.only_cached + 4 * action.leave_no_copy + 8 * action.revalidate
            )
            age, patience = micros(action.max_age), micros(action.timeout)
            return f"obtain {action.id} {action.source} {action.rank} {age} {patience} {action.cache} {mode}"
        case CancelAttempt(name, attempt):
            return f"stop_attempt {name} {attempt}"
        case RejectRequest(name, wait):
            return f"say_no {name} {micros(wait)}"
        case FailRequest(name):
            return f"end_failed {name}"
        case SetTimer(delay, token):
            return f"wake_at {micros(delay)} {token}"
        case SendHealthCheck(cache):
            return f"ask_load {cache}"
        case SendMessage(front, text):
            return f"memo_to {-1 if front is None else front} {base64.b64encode(text).decode()}"
        case WatchEndpoints():
            return "tail 1"
        case WriteLog(text):
            return f"record {text}"
    raise TypeError(f"no action: {action!r}")
