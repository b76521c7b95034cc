"""Lines of the simulator's protocol, to and from the router's events and actions.

Times on the wire are whole microseconds; `-` stands for a value that is not told.
"""

import base64
import json
from collections.abc import Callable, Mapping
from typing import TypeVar

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
from weldbend.simhost.errors import (
    InvalidNumberError,
    MissingSettingError,
    MissingValuesError,
    UnexpectedLineError,
    UnknownEventError,
    UnknownValueError,
    UnreadableSettingsError,
)
from weldbend.site_settings import cache_roles, read_site_settings

STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}
SCOPES = {
    "diff": ListScope.CHANGES,
    "snapshot": ListScope.COMPLETE,
    "disk": ListScope.REMEMBERED,
    "error": ListScope.FAILED,
}
RESULTS = dict(enumerate((r for r in AttemptResult if r is not AttemptResult.LOCAL_FAULT), 1))
FILL_HINTS = dict(enumerate(FillHint))
MICROSECONDS_PER_SECOND = 1e6  # in a second
ROUNDING_MARGIN = 1e-3  # microseconds: a time that is a whole number of them but for rounding is that number
LIST_ENTRY = "a list entry"  # what errors call a line of the endpoint list
RETRY_FLAG = 2  # in the flags of a request

Key = TypeVar("Key")
Value = TypeVar("Value")


def split(line: str) -> tuple[str, str]:
    """Return a line's first word and the rest."""
    head, _, rest = line.rstrip("\n").partition(" ")
    return head, rest


def integer(text: str) -> int:
    """Return an integer.

    Raises:
        MalformedLineError: for anything else.
    """
    try:
        return int(text)
    except ValueError:
        raise InvalidNumberError(text, is_integer=True) from None


def number(text: str) -> float:
    """Return a number, 0 for one that is not told.

    Raises:
        MalformedLineError: for anything else.
    """
    try:
        return 0.0 if text == "-" else float(text)
    except ValueError:
        raise InvalidNumberError(text) from None


def seconds(text: str) -> float:
    """Return a time or duration in seconds, 0 for one that is not told.

    Raises:
        MalformedLineError: for anything else.
    """
    return 0.0 if text == "-" else integer(text) / MICROSECONDS_PER_SECOND


def to_microseconds(value: float) -> int:
    """Return seconds as whole microseconds, rounded down."""
    return int(value * MICROSECONDS_PER_SECOND + ROUNDING_MARGIN)


def values(name: str, rest: str, count: int) -> list[str]:
    """Return the values of a line, at least `count` of them.

    Raises:
        MalformedLineError: where there are fewer.
    """
    found = rest.split(" ") if rest else []
    if len(found) < count:
        raise MissingValuesError(name, len(found), count)
    return found


def look_up(name: str, table: Mapping[Key, Value], key: Key) -> Value:
    """Return what a word or number stands for.

    Raises:
        MalformedLineError: for one that the table lacks.
    """
    if key not in table:
        raise UnknownValueError(name, key)
    return table[key]


def load(text: str) -> dict[str, float] | None:
    """Return a load report, as in `inflight:7,util:0.61`; None where there is none."""
    if text == "-":
        return None
    pairs = [pair.partition(":") for pair in text.split(",")]
    return {name: number(value) for name, _, value in pairs}


class InstanceCodec:
    """One instance's side of the protocol: its settings, and the translation of its events."""

    def __init__(self, line_rest: str) -> None:
        seed, _, text = line_rest.partition(" ")
        try:
            raw = json.loads(text)
        except ValueError as error:
            raise UnreadableSettingsError(error) from None
        self.seed = integer(seed)
        try:
            self.settings = read_site_settings(raw)
            self.flow_rate = raw["family_info"]["one_flow_kb_per_s"]
            self.roles = cache_roles(raw)
        except KeyError as missing:
            raise MissingSettingError(missing) from None
        self._events: dict[str, Callable[[str], Event]] = {
            "call": self._request,
            "report_back": self._attempt_ended,
            "established": self._response_started,
            "dropped": self._request_cancelled,
            "timeout_fired": self._timer_fired,
            "purged": self._objects_purged,
            "echo": self._health_check_done,
            "datagram": self._message_received,
        }

    def endpoints_listed(self, rest: str, lines: list[str]) -> EndpointsListed:
        """Return the event of an endpoint list and its lines.

        Raises:
            MalformedLineError: for what the protocol does not allow.
        """
        scope = look_up("scope", SCOPES, values("view", rest, 3)[0])
        return EndpointsListed(scope, tuple(self._endpoint(line) for line in lines))

    def _endpoint(self, line: str) -> Endpoint:
        head, rest = split(line)
        if head != "cache":
            raise UnexpectedLineError(LIST_ENTRY, head)
        weight, zone, cache, started, kind, state, cell = values("cache", rest, 7)[:7]
        return Endpoint(
            id=integer(cache),
            weight=number(weight),
            zone=zone,
            cell=int(number(cell)),
            role=look_up("kind", self.roles, kind),
            state=look_up("lifecycle", STATES, state),
            started=seconds(started) or None,
        )

    def event(self, head: str, rest: str) -> Event:
        """Return any event of a running instance but the endpoint list.

        Raises:
            MalformedLineError: for an unknown event, or values that the protocol does not allow.
        """
        translate = self._events.get(head)
        if translate is None:
            raise UnknownEventError(head)
        return translate(rest)

    def _request(self, rest: str) -> Event:
        name, key, flags, class_name, group, _, part, size, deadline = values("call", rest, 9)[:9]
        look_up("class", self.settings.classes, class_name)
        return RequestReceived(
            id=name,
            key=key,
            part=int(number(part)),
            group=int(number(group)),
            class_name=class_name,
            work=number(size) / self.flow_rate,
            is_retry=bool(int(number(flags)) & RETRY_FLAG),
            deadline=seconds(deadline),
        )

    @staticmethod
    def _attempt_ended(rest: str) -> Event:
        name, attempt, _, result, duration, closed, hint, waited, report = values("report_back", rest, 9)[:9]
        return AttemptEnded(
            id=name,
            attempt=integer(attempt),
            result=look_up("status", RESULTS, integer(result)),
            duration=seconds(duration),
            request_closed=closed == "1",
            fill_hint=look_up("info", FILL_HINTS, int(number(hint))),
            waited=seconds(waited),
            load=load(report),
        )

    @staticmethod
    def _response_started(rest: str) -> Event:
        name, attempt = values("established", rest, 4)[:2]
        return ResponseStarted(name, integer(attempt))

    @staticmethod
    def _request_cancelled(rest: str) -> Event:
        return RequestCancelled(values("dropped", rest, 1)[0])

    @staticmethod
    def _timer_fired(rest: str) -> Event:
        return TimerFired(values("timeout_fired", rest, 1)[0])

    @staticmethod
    def _objects_purged(rest: str) -> Event:
        key, age, group = values("purged", rest, 3)[:3]
        is_group = not key.strip("0-")  # a key of zeros, or none
        return ObjectsPurged(None if is_group else key, int(number(group)), seconds(age))

    @staticmethod
    def _health_check_done(rest: str) -> Event:
        cache, result, duration, report = values("echo", rest, 4)[:4]
        return HealthCheckDone(
            integer(cache), look_up("status", RESULTS, integer(result)), seconds(duration), load(report)
        )

    @staticmethod
    def _message_received(rest: str) -> Event:
        front, text = values("datagram", rest, 2)[:2]
        return MessageReceived(integer(front), b"" if text == "-" else base64.b64decode(text))


def _send_attempt_text(action: SendAttempt) -> str:
    timeout = to_microseconds(action.timeout)
    if action.source is None:
        return f"place {action.id} {action.cache} {timeout}"
    mode = action.join_fill + 2 * action.only_if_cached + 4 * action.leave_no_copy + 8 * action.revalidate
    age = to_microseconds(action.max_age)
    return f"obtain {action.id} {action.source} {action.rank} {age} {timeout} {action.cache} {mode}"


def _other_action_text(action: SetTimer | SendHealthCheck | SendMessage | WatchEndpoints | WriteLog) -> str:
    match action:
        case SetTimer(delay, token):
            return f"wake_at {to_microseconds(delay)} {token}"
        case SendHealthCheck(cache):
            return f"ask_load {cache}"
        case SendMessage(front, text):
            return f"memo_to {-1 if front is None else front} {base64.b64encode(text).decode()}"
        case WatchEndpoints():
            return "tail 1"
        case WriteLog(text):
            return f"record {text}"


def action_text(action: Action) -> str:
    """Return the line of an action."""
    match action:
        case SendAttempt():
            return _send_attempt_text(action)
        case CancelAttempt(name, attempt):
            return f"stop_attempt {name} {attempt}"
        case RejectRequest(name, retry_after):
            return f"say_no {name} {to_microseconds(retry_after)}"
        case FailRequest(name):
            return f"end_failed {name}"
        case _:
            return _other_action_text(action)
