"""Protocol errors in bytes received from a client.

If the header of a call is valid and the call has a reply, the text of an `InvalidMessageError` is sent in it.
"""


class ThriftError(Exception):
    """Bytes that violate the protocol."""


class InvalidFrameError(ThriftError):
    """A frame whose length is outside the limits for messages."""

    def __init__(self, length: int) -> None:
        super().__init__(f"frame of {length} bytes")
        self.length = length


class InvalidMessageError(ThriftError):
    """A frame whose content is not a message of the strict binary protocol."""


class TruncatedError(InvalidMessageError):
    """A value that extends beyond the end of its frame."""

    def __init__(self, wanted: int, available: int) -> None:
        super().__init__(f"{wanted} bytes wanted, {available} left")
        self.wanted = wanted
        self.available = available


class InvalidTextError(InvalidMessageError):
    """A string that is not valid UTF-8; in a map, it may also be truncated."""

    def __init__(self, is_in_map: bool = False) -> None:
        super().__init__("text that is not UTF-8" + (", or not all there" if is_in_map else ""))


class UnsupportedVersionError(InvalidMessageError):
    """A version of the protocol other than the strict one."""

    def __init__(self, version: int) -> None:
        super().__init__(f"version {version:#x}")
        self.version = version


class ElementCountError(InvalidMessageError):
    """A number of elements that is negative, or more than the rest of the frame can hold."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} elements")
        self.count = count


class MapTypesError(InvalidMessageError):
    """A map whose keys and values are not both strings."""

    def __init__(self, types: tuple[int, int]) -> None:
        super().__init__(f"a map of kinds {types}")
        self.types = types


class NestingError(InvalidMessageError):
    """Values that are nested deeper than the limit."""

    def __init__(self) -> None:
        super().__init__("nested too deep")


class TooManyValuesError(InvalidMessageError):
    """More values than any message of the service has."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"more than {limit} values")
        self.limit = limit


class UnknownTypeError(InvalidMessageError):
    """A value type that the protocol does not define."""

    def __init__(self, type_id: int) -> None:
        super().__init__(f"kind {type_id}")
        self.type_id = type_id


class TrailingBytesError(InvalidMessageError):
    """Bytes between the end of a message and the end of its frame."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} bytes after the message")
        self.count = count


class MissingArgumentError(InvalidMessageError):
    """A call without a required argument."""

    def __init__(self, method: str, argument: str) -> None:
        super().__init__(f"{method} without {argument}")
        self.method = method
        self.argument = argument


class LongCallError(InvalidMessageError):
    """A call of a method that has no long arguments, in a long frame."""

    def __init__(self, name: str, length: int) -> None:
        super().__init__(f"call of {name!r} with {length} bytes")
        self.name = name
        self.length = length
