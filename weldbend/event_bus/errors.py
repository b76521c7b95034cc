"""Errors of the event bus: what cannot be read from its stream or from one of its events."""

MAX_SHOWN = 80  # characters of bad input that an error's text contains


class EventBusError(Exception):
    """Base of this package's errors."""


class InvalidEventError(EventBusError):
    """Input that is not an event of the bus.

    Attributes:
        raw: The input.
        reason: What is wrong with it.
    """

    def __init__(self, raw: object, reason: str) -> None:
        super().__init__(f"{reason} in {str(raw)[:MAX_SHOWN]!r}")
        self.raw = raw
        self.reason = reason


class InvalidRecordError(EventBusError):
    """An endpoint record with a value that cannot be used.

    Attributes:
        field: The record's field (its name on the bus).
        value: The value.
    """

    def __init__(self, field: str, value: object) -> None:
        super().__init__(f"invalid {field} {str(value)[:MAX_SHOWN]!r}")
        self.field = field
        self.value = value


class InvalidStreamError(EventBusError):
    """A stream that cannot be read any further, since a line or an event is too long.

    Attributes:
        unit: What is too long: "line" or "event".
        max_bytes: The limit.
    """

    def __init__(self, unit: str, max_bytes: int) -> None:
        super().__init__(f"{unit} longer than {max_bytes} bytes")
        self.unit = unit
        self.max_bytes = max_bytes
