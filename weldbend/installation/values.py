"""Parsers and formatters of the values of the installation file. No I/O.

A parser takes the text of a value, and raises `InvalidValueError` if the text is invalid. A function named
`..._between` returns a parser that accepts values within limits.
"""

import re
from collections.abc import Callable, Iterator

from weldbend.fleet import settings as fleet
from weldbend.installation.errors import (
    DuplicateValueError,
    MalformedValueError,
    SharedAddressError,
    TooManyPeersError,
    UnknownUnitError,
    ValueRangeError,
)

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
DURATION = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,6})?)\s*([A-Za-z]*)")
INTEGER = re.compile(r"[0-9]{1,9}")
PERCENTAGE = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,4})?)\s*%")
RATE = re.compile(r"[0-9]{1,7}(\.[0-9]{1,3})?")
NAME = re.compile(r"[\w.-]{1,48}", re.ASCII)
PEER = re.compile(r"([\w.-]{1,48})@([0-9.]{7,15}):([0-9]{1,5})(?:/([\w.-]{1,48}))?", re.ASCII)

NONE = "none"  # word in the file for an empty text or list
IPV4_OCTETS = 4
MAX_IPV4_DIGITS = 3  # digits in one octet
MAX_IPV4_OCTET = 255
MAX_PORT = 65535
MIN_RATE = 0.1  # requests per second
MAX_RATE = 1e6


def duration_between(least: float, most: float) -> Callable[[str], float]:
    """Return a parser of durations such as `500 ms` or `4.5 s`, which returns seconds."""

    def parse(text: str) -> float:
        match = DURATION.fullmatch(text)
        if not match:
            raise MalformedValueError(text, "is not a duration such as '500 ms', '4.5 s', '2 min' or '1 h'")
        number, unit = match.groups()
        if not unit:
            raise MalformedValueError(text, "lacks its unit (ms, s, min, h)")
        if unit not in SECONDS_PER_UNIT:
            raise UnknownUnitError(unit, tuple(SECONDS_PER_UNIT))
        seconds = float(number) * SECONDS_PER_UNIT[unit]
        if not least <= seconds <= most:
            raise ValueRangeError(text, format_duration(least), format_duration(most))
        return seconds

    return parse


def format_duration(seconds: float) -> str:
    """Return the text of a duration in the format of the file."""
    unit = "ms" if 0 < seconds < 1 else "s"
    return f"{seconds / SECONDS_PER_UNIT[unit]:g} {unit}"


def integer_between(least: int, most: int, **names: int) -> Callable[[str], int]:
    """Return a parser of integers.

    Args:
        least: Smallest valid integer.
        most: Largest valid integer.
        **names: Words such as `auto` that are valid as well, and the integer for each.
    """

    def parse(text: str) -> int:
        if text in names:
            return names[text]
        if not INTEGER.fullmatch(text):
            alternatives = "".join(f" or {name!r}" for name in names)
            raise MalformedValueError(text, f"is not an integer{alternatives}")
        if not least <= int(text) <= most:
            raise ValueRangeError(text, str(least), str(most))
        return int(text)

    return parse


def float_between(least: int, most: int) -> Callable[[str], float]:
    """Return a parser of integers that returns them as floating-point numbers."""
    parse_integer = integer_between(least, most)
    return lambda text: float(parse_integer(text))


def format_float(value: float) -> str:
    """Return the text of a floating-point number without trailing zeros."""
    return f"{value:g}"


def percentage_between(least: float, most: float) -> Callable[[str], float]:
    """Return a parser of percentages such as `1 %`, which returns fractions; the limits are fractions too."""

    def parse(text: str) -> float:
        match = PERCENTAGE.fullmatch(text)
        if not match:
            raise MalformedValueError(text, "is not a percentage such as '1 %'")
        fraction = float(match[1]) / 100
        if not least <= fraction <= most:
            raise ValueRangeError(text, format_percentage(least), format_percentage(most))
        return fraction

    return parse


def format_percentage(fraction: float) -> str:
    """Return the text of a fraction as a percentage."""
    return f"{fraction * 100:g} %"


def parse_switch(text: str) -> bool:
    """Parse a switch: return True for `on` and False for `off`."""
    if text not in ("on", "off"):
        raise MalformedValueError(text, "is neither 'on' nor 'off'")
    return text == "on"


def format_switch(value: bool) -> str:
    """Return the text of a switch."""
    return "on" if value else "off"


def parse_optional(text: str) -> str:
    """Parse a text such as a path; return an empty text for `none`."""
    return "" if text == NONE else text


def format_optional(value: object) -> str:
    """Return the text of a value; `none` for an empty one."""
    return str(value or NONE)


def parse_name(text: str) -> str:
    """Parse a name of letters, digits, `.`, `-` and `_`; return an empty text for `none`."""
    name = parse_optional(text)
    if name and not NAME.fullmatch(name):
        raise MalformedValueError(name, "is not a name of letters, digits, '.', '-' and '_'")
    return name


def is_ipv4(host: str) -> bool:
    """Return whether a host is an IPv4 address, rather than a host name."""
    octets = host.split(".")
    return len(octets) == IPV4_OCTETS and all(
        octet.isdigit() and len(octet) <= MAX_IPV4_DIGITS and int(octet) <= MAX_IPV4_OCTET for octet in octets
    )


def parse_address(text: str) -> str:
    """Parse an address to listen on, such as `127.0.0.1:7401`; return an empty text for `none`."""
    address = parse_optional(text)
    host, _, port = address.rpartition(":")
    if address and not (is_ipv4(host) and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise MalformedValueError(address, "is not an address such as '127.0.0.1:7401'")
    return address


def parse_loopback_address(text: str) -> str:
    """Parse an address of the loopback interface; return an empty text for `none`."""
    address = parse_address(text)
    if address and not address.startswith("127."):
        raise MalformedValueError(text, "is not a loopback address")
    return address


def list_items(text: str) -> Iterator[str]:
    """Return the items of a comma-separated list, without empty ones; `none` is an empty list."""
    return filter(None, (item.strip() for item in parse_optional(text).split(",")))


def parse_peers(text: str) -> tuple[fleet.Peer, ...]:
    """Parse a list of peers such as `n1@127.0.0.1:7401/upper, n2@127.0.0.2:7401`."""
    peers: dict[str, fleet.Peer] = {}
    addresses = set()
    for item in list_items(text):
        peer = parse_peer(item)
        if peer.name in peers:
            raise DuplicateValueError(peer.name)
        if (peer.host, peer.port) in addresses:
            raise SharedAddressError(peer.host, peer.port)
        addresses.add((peer.host, peer.port))
        peers[peer.name] = peer
    if len(peers) > fleet.MAX_PEERS:
        raise TooManyPeersError(len(peers), fleet.MAX_PEERS)
    return tuple(peers.values())


def parse_peer(text: str) -> fleet.Peer:
    """Parse a peer such as `n1@127.0.0.1:7401/zone`; the zone is optional."""
    match = PEER.fullmatch(text)
    if not match or not is_ipv4(match[2]) or not 0 < int(match[3]) <= MAX_PORT:
        raise MalformedValueError(text, "is not a peer such as 'n1@127.0.0.1:7401/zone'")
    return fleet.Peer(match[1], match[2], int(match[3]), match[4] or "")


def format_peers(peers: tuple[fleet.Peer, ...]) -> str:
    """Return the text of a list of peers."""
    return format_optional(
        ", ".join(f"{p.name}@{p.host}:{p.port}{'/' + p.zone if p.zone else ''}" for p in peers)
    )


def parse_rates(text: str) -> tuple[tuple[str, float], ...]:
    """Parse a list such as `order=50, photo=400`: request classes and their rates (requests per second)."""
    rates: dict[str, float] = {}
    for item in list_items(text):
        name, _, rate = (side.strip() for side in item.partition("="))
        if not NAME.fullmatch(name) or not RATE.fullmatch(rate):
            raise MalformedValueError(item, "is not a limit such as 'order=50'")
        if not MIN_RATE <= float(rate) <= MAX_RATE:
            raise ValueRangeError(item, f"{MIN_RATE:g}", f"{MAX_RATE:.0f} per second")
        if name in rates:
            raise DuplicateValueError(name)
        rates[name] = float(rate)
    return tuple(rates.items())


def format_rates(rates: tuple[tuple[str, float], ...]) -> str:
    """Return the text of a list of rates."""
    return format_optional(", ".join(f"{name}={rate:g}" for name, rate in rates))
