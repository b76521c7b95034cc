"""Errors of the installation file: each text is one line for people."""

MAX_SHOWN = 60  # characters of a bad value that an error's text contains


class InstallationError(Exception):
    """An installation file that cannot be used.

    Attributes:
        path: The file.
        section: The section that is wrong, empty if the problem isn't in one.
        problem: What is wrong.
    """

    def __init__(self, path: str, problem: str, section: str = "") -> None:
        super().__init__(f"{path}: [{section}] {problem}" if section else f"{path}: {problem}")
        self.path = path
        self.section = section
        self.problem = problem


class InvalidValueError(ValueError):
    """A value that a key cannot have; its text follows section and key."""


class MalformedValueError(InvalidValueError):
    """A value that is not written as its key requires.

    Attributes:
        value: The value as written.
        problem: What it is not, as the rest of a sentence.
    """

    def __init__(self, value: str, problem: str) -> None:
        super().__init__(f"{value!r:.{MAX_SHOWN}} {problem}")
        self.value = value
        self.problem = problem


class ValueRangeError(InvalidValueError):
    """A value outside its limits, all three as the file writes them."""

    def __init__(self, value: str, least: str, most: str) -> None:
        super().__init__(f"{value} is not between {least} and {most}")
        self.value = value
        self.least = least
        self.most = most


class DuplicateValueError(InvalidValueError):
    """A list that contains a value twice."""

    def __init__(self, value: str) -> None:
        super().__init__(f"{value} is listed twice")
        self.value = value


class UnknownUnitError(InvalidValueError):
    """A duration in a unit that does not exist."""

    def __init__(self, unit: str, units: tuple[str, ...]) -> None:
        super().__init__(f"unit {unit!r:.{MAX_SHOWN}} is none of {', '.join(units)}")
        self.unit = unit
        self.units = units


class SharedAddressError(InvalidValueError):
    """Two peers with one address."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(f"{host}:{port} belongs to two peers")
        self.host = host
        self.port = port


class TooManyPeersError(InvalidValueError):
    """More peers than a fleet can have."""

    def __init__(self, count: int, most: int) -> None:
        super().__init__(f"{count} peers, more than {most}")
        self.count = count
        self.most = most
