"""Duration of an operator's ban of a client by the monotonic clock. No I/O.

The ban itself (setting `cast/CLIENT`) contains the Unix time of its end, which fronts of earlier versions
compare with their wall clocks. A second setting, `cast-for/CLIENT`, contains that time and the duration
(span) of the ban; fronts of earlier versions ignore this setting. If it exists, the ban ends one span after
it was first written, independently of any wall clock.
"""

from weldbend.fleet.replicated_store import Item

SPAN_PREFIX = "cast-for/"  # of the names of these settings


def format_span(until: int, seconds: float) -> str:
    """Return the value of the span setting for a ban that ends at a Unix time and lasts `seconds`."""
    return f"{until} {seconds:g}"


def parse_span(setting: Item | None, until: int) -> float | None:
    """Return the span in seconds of the ban that ends at `until`; None if the setting is for another ban."""
    if setting is None or not isinstance(setting.value[1], str):
        return None
    named, _, seconds = setting.value[1].partition(" ")
    try:
        return float(seconds) if int(named) == until else None
    except ValueError:
        return None


def is_ban_active(ban: Item, until: int, setting: Item | None, now: float, unix: float) -> bool:
    """Return whether a ban is still in force.

    Args:
        ban: replicated item with the ban.
        until: Unix time of the ban's end in seconds.
        setting: replicated item with the span of the ban; None if there is none.
        now: time of the monotonic clock in seconds.
        unix: Unix time of the same moment in seconds, for bans without a span.
    """
    span = parse_span(setting, until)
    return unix < until if span is None else now < ban.first_written_at + span
