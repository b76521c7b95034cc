"""For how long an operator's ban of a client holds, by the monotonic clock. No I/O.

The ban itself (setting `cast/CLIENT`) names a Unix second, which fronts of earlier versions compare with
their wall clocks. Beside it goes a setting `cast-for/CLIENT` with that second and the ban's span, which those
fronts do not look at. Where it is there, the ban ends so long after it was written, by any wall clock.
"""

from weldbend.fleet.replicated_store import Item

SPAN_PREFIX = "cast-for/"  # of the names of these settings


def format_span(until: int, seconds: float) -> str:
    """Return the value of the setting for a ban until a Unix second that lasts so many seconds."""
    return f"{until} {seconds:g}"


def parse_span(setting: Item | None, until: int) -> float | None:
    """Return the span, in seconds, of the ban until a Unix second; None where the setting is of none such."""
    if setting is None or not isinstance(setting.value[1], str):
        return None
    named, _, seconds = setting.value[1].partition(" ")
    try:
        return float(seconds) if int(named) == until else None
    except ValueError:
        return None


def is_ban_active(ban: Item, until: int, setting: Item | None, now: float, unix: float) -> bool:
    """Whether a ban still holds.

    Args:
        ban: the replicated item that names it.
        until: its Unix second.
        setting: the item with its span, None where there is none.
        now: seconds of the monotonic clock.
        unix: the same moment as Unix time, for bans without a span.
    """
    span = parse_span(setting, until)
    return unix < until if span is None else now < ban.first_written_at + span
