"""The keys of the installation file: their sections, checks, and what each sets. No I/O.

One line here makes a key: where a value may lie, what it sets, and what it is for. Later parts of weldbend
add their sections to `SECTIONS`; a section sets the fields of one frozen dataclass, whose defaults are what
holds where the file says nothing.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from weldbend.fleet import settings as fleet
from weldbend.idle_connections.policy import ConnectionSettings

UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
DURATION = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,6})?)\s*([A-Za-z]*)")
NUMBER = re.compile(r"[0-9]{1,9}")


class InvalidValueError(ValueError):
    """A value that a key cannot have; its text goes on after section and key."""


def seconds(least: float, most: float) -> Callable[[str], float]:
    """A check of durations such as `500 ms` or `4.5 s`; gives seconds."""

    def check(text: str) -> float:
        found = DURATION.fullmatch(text)
        if not found:
            raise InvalidValueError(
                f"{text!r:.40} is no duration such as '500 ms', '4.5 s', '2 min' or '1 h'"
            )
        figure, unit = found.groups()
        if not unit:
            raise InvalidValueError(f"{text!r:.40} lacks its unit (ms, s, min, h)")
        if unit not in UNITS:
            raise InvalidValueError(f"unit {unit!r:.20} is none of ms, s, min, h")
        value = float(figure) * UNITS[unit]
        if not least <= value <= most:
            raise InvalidValueError(f"{text} is not between {shown(least)} and {shown(most)}")
        return value

    return check


def whole(least: int, most: int, **words: int) -> Callable[[str], int]:
    """A check of counts; `words` are names that stand for a count, such as `auto`."""

    def check(text: str) -> int:
        if text in words:
            return words[text]
        if not NUMBER.fullmatch(text):
            named = "".join(f" or {word!r}" for word in words)
            raise InvalidValueError(f"{text!r:.40} is no whole number{named}")
        if not least <= int(text) <= most:
            raise InvalidValueError(f"{text} is not between {least} and {most}")
        return int(text)

    return check


def shown(value: float | int) -> str:
    """A duration in seconds as the file writes it."""
    unit = "ms" if 0 < value < 1 else "s"
    return f"{value / UNITS[unit]:g} {unit}"


@dataclass(frozen=True, slots=True)
class Key:
    name: str
    field: str
    check: Callable[[str], Any]
    show: Callable[[Any], str] = str


@dataclass(frozen=True, slots=True)
class Section:
    """`agree` looks at all values together and gives what is impossible about them, or nothing."""

    keys: tuple[Key, ...]
    defaults: Any
    agree: Callable[[Any], str | None] = lambda held: None


PEER = re.compile(r"([\w.-]{1,48})@([0-9.]{7,15}):([0-9]{1,5})(?:/([\w.-]{1,48}))?", re.ASCII)
WORD = re.compile(r"[\w.-]{1,48}", re.ASCII)


def ipv4(host: str) -> bool:
    parts = host.split(".")
    return len(parts) == 4 and all(part.isdigit() and len(part) < 4 and int(part) < 256 for part in parts)


def peers(text: str) -> tuple[fleet.Peer, ...]:
    """A check of lists such as `n1@127.0.0.1:7401/upper, n2@127.0.0.2:7401`; no names are looked up."""
    found: dict[str, fleet.Peer] = {}
    places = set()
    for part in filter(None, (part.strip() for part in word_or_none(text).split(","))):
        said = PEER.fullmatch(part)
        if not said or not ipv4(said[2]) or not 0 < int(said[3]) < 65536:
            raise InvalidValueError(f"{part!r:.60} is no peer such as 'n1@127.0.0.1:7401/zone'")
        peer = fleet.Peer(said[1], said[2], int(said[3]), said[4] or "")
        if peer.name in found:
            raise InvalidValueError(f"peer {peer.name} stands there twice")
        if (peer.host, peer.port) in places:
            raise InvalidValueError(f"{peer.host}:{peer.port} belongs to two peers")
        places.add((peer.host, peer.port))
        found[peer.name] = peer
    if len(found) > fleet.MOST_PEERS:
        raise InvalidValueError(f"{len(found)} peers, more than {fleet.MOST_PEERS}")
    return tuple(found.values())


def shown_peers(held: tuple[fleet.Peer, ...]) -> str:
    return ", ".join(f"{p.name}@{p.host}:{p.port}{'/' + p.zone if p.zone else ''}" for p in held) or "none"


def place(text: str) -> str:
    """A check of addresses to listen on, such as `127.0.0.1:7401`, or none."""
    text = word_or_none(text)
    host, _, port = text.rpartition(":")
    if text and not (ipv4(host) and port.isdigit() and 0 < int(port) < 65536):
        raise InvalidValueError(f"{text!r:.60} is no address such as '127.0.0.1:7401'")
    return text


def loopback(text: str) -> str:
    held = place(text)
    if held and not held.startswith("127."):
        raise InvalidValueError(f"{text} is not on loopback")
    return held


def word_or_none(text: str) -> str:
    return "" if text == "none" else text


def word(text: str) -> str:
    text = word_or_none(text)
    if text and not WORD.fullmatch(text):
        raise InvalidValueError(f"{text!r:.60} is no word of letters, digits, '.', '-' and '_'")
    return text


def switch(text: str) -> bool:
    if text not in ("on", "off"):
        raise InvalidValueError(f"{text!r:.40} is neither on nor off")
    return text == "on"


def percent(least: float, most: float) -> Callable[[str], float]:
    """A check of shares such as `1 %`; gives a fraction."""

    def check(text: str) -> float:
        found = re.fullmatch(r"([0-9]{1,3}(?:\.[0-9]{1,4})?)\s*%", text)
        if not found:
            raise InvalidValueError(f"{text!r:.40} is no share such as '1 %'")
        value = float(found[1]) / 100
        if not least <= value <= most:
            raise InvalidValueError(f"{text} is not between {least * 100:g} % and {most * 100:g} %")
        return value

    return check


def rates(text: str) -> tuple[tuple[str, float], ...]:
    """A check of lists such as `order=50, photo=400`: content types, and downloads a second."""
    found: dict[str, float] = {}
    for part in filter(None, (part.strip() for part in word_or_none(text).split(","))):
        name, _, figure = (one.strip() for one in part.partition("="))
        if not WORD.fullmatch(name) or not re.fullmatch(r"[0-9]{1,7}(\.[0-9]{1,3})?", figure):
            raise InvalidValueError(f"{part!r:.60} is no limit such as 'order=50'")
        if not 0.1 <= float(figure) <= 1e6:
            raise InvalidValueError(f"{part}: not between 0.1 and 1000000 a second")
        if name in found:
            raise InvalidValueError(f"{name} stands there twice")
        found[name] = float(figure)
    return tuple(found.items())


def shown_rates(held: tuple[tuple[str, float], ...]) -> str:
    return ", ".join(f"{name}={rate:g}" for name, rate in held) or "none"


def limits_agree(held: fleet.LimitSettings) -> str | None:
    both = {name for name, _ in held.strict} & {name for name, _ in held.soft}
    return f"{sorted(both)[0]} has a strict limit and a soft one" if both else None


def shown_switch(held: bool) -> str:
    return "on" if held else "off"


def path(text: str) -> str:
    return word_or_none(text)


def fleet_agrees(terms: fleet.Terms) -> str | None:
    if not terms.listen:
        return "peers without listen: this front has no place in the fleet" if terms.peers else None
    if not terms.keys:
        return "listen without keys: messages between fronts are sealed"
    if 2 * terms.timeout > terms.interval:
        return f"timeout ({shown(terms.timeout)}) must be at most half of interval ({shown(terms.interval)})"
    if terms.outbox < 1 << 18:
        return "outbox must hold two of the longest messages (262144)"
    return None


def clients_agree(settings: ConnectionSettings) -> str | None:
    if settings.pool_after and settings.pool_after >= settings.idle_timeout:
        delay, timeout = shown(settings.pool_after), shown(settings.idle_timeout)
        return f"park-after ({delay}) must be shorter than idle ({timeout})"
    return None


SECTIONS: dict[str, Section] = {
    "clients": Section(
        (
            Key("first-call", "request_timeout", seconds(0.1, 600.0), shown),
            Key("idle", "idle_timeout", seconds(0.5, 86_400.0), shown),
            Key("park-after", "pool_after", seconds(0.0, 3600.0), shown),
            Key("wake-batch", "wake_batch", whole(1, 4096)),
            Key("close-batch", "close_batch", whole(1, 65_536)),
            Key("accept-batch", "accept_batch", whole(1, 4096)),
            Key("most", "max_connections", whole(1, 1_000_000, auto=0), lambda held: str(held or "auto")),
        ),
        ConnectionSettings(),
        clients_agree,
    ),
    "fleet": Section(
        (
            Key("listen", "listen", place, lambda held: held or "none"),
            Key("name", "fleet", word),
            Key("zone", "zone", word, lambda held: held or "none"),
            Key("keys", "keys", path, lambda held: held or "none"),
            Key("peers", "peers", peers, shown_peers),
            Key("control", "control", loopback, lambda held: held or "none"),
            Key("interval", "interval", seconds(0.05, 60.0), shown),
            Key("timeout", "timeout", seconds(0.01, 30.0), shown),
            Key("helpers", "helpers", whole(1, 8)),
            Key("alone", "alone", seconds(0.2, 300.0), shown),
            Key("stalled", "stalled", seconds(0.2, 60.0), shown),
            Key("exchange", "exchange", seconds(0.1, 60.0), shown),
            Key("rate", "rate", whole(10_000, 100_000_000)),
            Key("outbox", "outbox", whole(65_536, 64_000_000)),
            Key("ops", "ops", whole(16, 65_536)),
            Key("popularity", "popularity", switch, shown_switch),
        ),
        fleet.Terms(),
        fleet_agrees,
    ),
    "limits": Section(
        (
            Key("lease", "lease", seconds(0.2, 60.0), shown),
            Key("drift", "drift", percent(0.0, 0.2), lambda held: f"{held * 100:g} %"),
            Key("cold", "cold", switch, shown_switch),
            Key("parents", "parents", switch, shown_switch),
            Key("verdicts", "verdicts", switch, shown_switch),
            Key("cast-for", "cast", seconds(1.0, 900.0), shown),
            Key("strict", "strict", rates, shown_rates),
            Key("soft", "soft", rates, shown_rates),
            Key("client", "client", lambda text: float(whole(0, 1_000_000)(text)), lambda held: f"{held:g}"),
        ),
        fleet.LimitSettings(),
        limits_agree,
    ),
}
