"""Errors of the event bus: invalid streams, events and endpoint records."""

MAX_SHOWN = 80  # characters of invalid input in an error message


class EventBusError(Exception):
    """Base class of this package's errors."""


class InvalidEventError(EventBusError):
    """Input that is not a valid event of the bus.

    Attributes:
        raw: The input.
        reason: Description of the error.
    """

    def __init__(self, raw: object, reason: str) -> None:
        super().__init__(f"{reason} in {str(raw)[:MAX_SHOWN]!r}")
        self.raw = raw
        self.reason = reason


class InvalidRecordError(EventBusError):
    """An endpoint record with an invalid value.

    Attributes:
        field: Name of the field on the bus.
        value: The invalid value.
    """

    def __init__(self, field: str, value: object) -> None:
        super().__init__(f"invalid {field} {str(value)[:MAX_SHOWN]!r}")
        self.field = field
        self.value = value


class InvalidStreamError(EventBusError):
    """A stream that cannot be parsed any further because a line or an event is too long.

    Attributes:
        unit: The unit that is too long: "line" or "event".
        max_bytes: Its maximum length.
    """

    def __init__(self, unit: str, max_bytes: int) -> None:
        super().__init__(f"{unit} longer than {max_bytes} bytes")
        self.unit = unit
        self.max_bytes = max_bytes
