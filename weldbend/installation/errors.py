"""Errors in the installation file; the text of each is one line for the operator."""

MAX_SHOWN = 60  # characters of an invalid value that are shown in an error


class InstallationError(Exception):
    """An installation file that cannot be used.

    Attributes:
        path: Path of the file.
        section: Name of the section with the problem; empty if the problem is not in a section.
        problem: Description of the problem.
    """

    def __init__(self, path: str, problem: str, section: str = "") -> None:
        super().__init__(f"{path}: [{section}] {problem}" if section else f"{path}: {problem}")
        self.path = path
        self.section = section
        self.problem = problem


class InvalidValueError(ValueError):
    """A value that a key cannot have; the error for the operator shows this text after section and key."""


class MalformedValueError(InvalidValueError):
    """A value whose text does not have the format that its key requires.

    Attributes:
        value: Text of the value.
        problem: Description of the problem, as the predicate of a sentence about the value.
    """

    def __init__(self, value: str, problem: str) -> None:
        super().__init__(f"{value!r:.{MAX_SHOWN}} {problem}")
        self.value = value
        self.problem = problem


class ValueRangeError(InvalidValueError):
    """A value outside its limits.

    Attributes:
        value: The value, in the format of the file.
        least: Smallest valid value, in the same format.
        most: Largest valid value, in the same format.
    """

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
    """A duration with an unknown unit."""

    def __init__(self, unit: str, units: tuple[str, ...]) -> None:
        super().__init__(f"unit {unit!r:.{MAX_SHOWN}} is not one of {', '.join(units)}")
        self.unit = unit
        self.units = units


class SharedAddressError(InvalidValueError):
    """Two peers with the same address."""

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
