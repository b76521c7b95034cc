"""Errors in lines of the simulator's protocol."""


class MalformedLineError(Exception):
    """A line that violates the protocol."""


class TruncatedBatchError(MalformedLineError):
    """The input ended inside a batch."""

    def __init__(self) -> None:
        super().__init__("input ended inside a batch")


class UnexpectedLineError(MalformedLineError):
    """A line whose first word is not the one that the protocol requires at this point."""

    def __init__(self, expected: str, found: str) -> None:
        super().__init__(f"expected {expected}, got {found!r}")
        self.expected = expected
        self.found = found


class UnknownInstanceError(MalformedLineError):
    """An event for an instance (simulated front) that was never started or has been removed."""

    def __init__(self, number: int | None) -> None:
        super().__init__(f"event for unknown instance {number}")
        self.number = number


class UnknownEventError(MalformedLineError):
    """An event whose name the protocol does not define."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown event {name!r}")
        self.name = name


class UnknownValueError(MalformedLineError):
    """A word or number that is not among the defined values of its field."""

    def __init__(self, name: str, value: object) -> None:
        super().__init__(f"unknown {name}: {value!r}")
        self.name = name
        self.value = value


class InvalidNumberError(MalformedLineError):
    """A value that is not a number, or not an integer where one is required."""

    def __init__(self, text: str, is_integer: bool = False) -> None:
        kind = "whole number" if is_integer else "number"
        super().__init__(f"not a {kind}: {text!r}")
        self.is_integer = is_integer
        self.text = text


class MissingValuesError(MalformedLineError):
    """A line with fewer values than its kind requires."""

    def __init__(self, name: str, found: int, wanted: int) -> None:
        super().__init__(f"{name}: got {found} values, expected {wanted} or more")
        self.name = name
        self.found = found
        self.wanted = wanted


class UnreadableSettingsError(MalformedLineError):
    """Settings of a new instance that are not valid JSON."""

    def __init__(self, cause: ValueError) -> None:
        super().__init__(f"provision: settings are not JSON: {cause}")
        self.cause = cause


class MissingSettingError(MalformedLineError):
    """Settings of a new instance without a required key, which the `KeyError` names."""

    def __init__(self, missing: KeyError) -> None:
        super().__init__(f"provision: settings lack {missing}")
        self.missing = missing
