"""What can be wrong with bytes from a client.

The text of an `InvalidMessageError` goes to the client where its call can be answered at all.
"""


class ThriftError(Exception):
    """Bytes that break the protocol."""


class InvalidFrameError(ThriftError):
    """A length that no message of ours can have."""

    def __init__(self, length: int) -> None:
        super().__init__(f"frame of {length} bytes")
        self.length = length


class InvalidMessageError(ThriftError):
    """A frame that does not hold a message of the strict binary protocol."""


class TruncatedError(InvalidMessageError):
    """A value that is longer than the rest of its frame."""

    def __init__(self, wanted: int, available: int) -> None:
        super().__init__(f"{wanted} bytes wanted, {available} left")
        self.wanted = wanted
        self.available = available


class InvalidTextError(InvalidMessageError):
    """Bytes that are no text."""

    def __init__(self, is_in_map: bool = False) -> None:
        super().__init__("text that is not UTF-8" + (", or not all there" if is_in_map else ""))


class UnsupportedVersionError(InvalidMessageError):
    """A version of the protocol other than the strict one."""

    def __init__(self, version: int) -> None:
        super().__init__(f"version {version:#x}")
        self.version = version


class ElementCountError(InvalidMessageError):
    """More elements than what is left of the frame can hold."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} elements")
        self.count = count


class MapTypesError(InvalidMessageError):
    """A map whose keys and values are not both texts."""

    def __init__(self, types: tuple[int, int]) -> None:
        super().__init__(f"a map of kinds {types}")
        self.types = types


class NestingError(InvalidMessageError):
    """Values nested deeper than any of ours."""

    def __init__(self) -> None:
        super().__init__("nested too deep")


class UnknownTypeError(InvalidMessageError):
    """A type of value that the protocol does not have."""

    def __init__(self, type_id: int) -> None:
        super().__init__(f"kind {type_id}")
        self.type_id = type_id


class TrailingBytesError(InvalidMessageError):
    """Bytes between the end of a message and that of its frame."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} bytes after the message")
        self.count = count


class MissingArgumentError(InvalidMessageError):
    """A call without an argument that it needs."""

    def __init__(self, method: str, argument: str) -> None:
        super().__init__(f"{method} without {argument}")
        self.method = method
        self.argument = argument
