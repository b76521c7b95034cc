"""Translation between lines of the simulator's protocol and the router's events and actions.

Times in these lines are integers in microseconds; an absent value is written as `-`.
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
    RetireConnection,
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
# results by their numbers in the protocol, from 1; the protocol has no number for LOCAL_FAULT
RESULTS = dict(enumerate((r for r in AttemptResult if r is not AttemptResult.LOCAL_FAULT), 1))
# fill hints by their numbers in the protocol, from 0
FILL_HINTS = dict(enumerate(FillHint))
MICROSECONDS_PER_SECOND = 1e6
ROUNDING_MARGIN = 1e-3  # microseconds; added before rounding down so that floating-point error loses none
LIST_ENTRY = "a list entry"  # a line of the endpoint list, as error messages call it
RETRY_FLAG = 2  # bit in the flags of a request that marks it as a retry

Key = TypeVar("Key")
Value = TypeVar("Value")


def split(line: str) -> tuple[str, str]:
    """Split a line into its first word and the rest."""
    head, _, rest = line.rstrip("\n").partition(" ")
    return head, rest


def integer(text: str) -> int:
    """Parse an integer.

    Raises:
        MalformedLineError: The text is not an integer.
    """
    try:
        return int(text)
    except ValueError:
        raise InvalidNumberError(text, is_integer=True) from None


def number(text: str) -> float:
    """Parse a number; an absent number (`-`) is 0.

    Raises:
        MalformedLineError: The text is not a number.
    """
    try:
        return 0.0 if text == "-" else float(text)
    except ValueError:
        raise InvalidNumberError(text) from None


def seconds(text: str) -> float:
    """Parse a time or duration in microseconds and return it in seconds; an absent value (`-`) is 0.

    Raises:
        MalformedLineError: The text is not an integer.
    """
    return 0.0 if text == "-" else integer(text) / MICROSECONDS_PER_SECOND


def to_microseconds(value: float) -> int:
    """Convert seconds to whole microseconds, rounded down."""
    return int(value * MICROSECONDS_PER_SECOND + ROUNDING_MARGIN)


def values(name: str, rest: str, count: int) -> list[str]:
    """Return all values of a line, of which there must be at least `count`.

    Raises:
        MalformedLineError: The line has fewer values.
    """
    found = rest.split(" ") if rest else []
    if len(found) < count:
        raise MissingValuesError(name, len(found), count)
    return found


def look_up(name: str, table: Mapping[Key, Value], key: Key) -> Value:
    """Return the meaning of a word or number according to a table.

    Raises:
        MalformedLineError: The table does not contain it.
    """
    if key not in table:
        raise UnknownValueError(name, key)
    return table[key]


def load(text: str) -> dict[str, float] | None:
    """Parse a load report such as `inflight:7,util:0.61`; return None for an absent one."""
    if text == "-":
        return None
    pairs = [pair.partition(":") for pair in text.split(",")]
    return {name: number(value) for name, _, value in pairs}


class InstanceCodec:
    """Settings of one instance, and the parser of its events.

    Attributes:
        seed: Seed of the router's random choices.
        settings: Settings of the site.
        flow_rate: Maximum rate of a client in kB per second; sizes in kB are divided by it to get the work.
        roles: Role of each kind of cache.
    """

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
        """Return the event for an endpoint list, whose entries are `lines`.

        Raises:
            MalformedLineError: A line violates the protocol.
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
            started=seconds(started) or None,  # absent or 0: the cache started long ago
        )

    def event(self, head: str, rest: str) -> Event:
        """Return the event that a line describes.

        The endpoint list has several lines; `endpoints_listed` parses it.

        Raises:
            MalformedLineError: The event is unknown, or its values violate the protocol.
        """
        translate = self._events.get(head)
        if translate is None:
            raise UnknownEventError(head)
        return translate(rest)

    def _request(self, rest: str) -> Event:
        # `name` is the identifier of the request, as in the events and actions below
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
        is_group = not key.strip("0-")  # `-` or a key of zeros: the whole group
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
    # one bit for each flag
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


def action_text(action: Action) -> str | None:
    """Format an action as a line of the protocol; None if the simulator has nothing that corresponds."""
    match action:
        case SendAttempt():
            return _send_attempt_text(action)
        case CancelAttempt(name, attempt):
            return f"stop_attempt {name} {attempt}"
        case RejectRequest(name, retry_after, _):
            return f"say_no {name} {to_microseconds(retry_after)}"
        case FailRequest(name, _):
            return f"end_failed {name}"
        case RetireConnection():
            return None
        case _:
            return _other_action_text(action)
