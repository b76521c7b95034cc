"""Validation of keys, shared by fault plans and fleet plans, and the error of an invalid plan. No I/O.

A key table maps a key of the INI file to the dataclass field that it sets, and to the check that converts its
text into the value of the field.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

from weldbend.installation.errors import InvalidValueError
from weldbend.testbed.errors import TestbedError

Check = Callable[[str], Any]
KeyTable = Mapping[str, tuple[str, Check]]
Section = Mapping[str, Any]


class InvalidPlanError(TestbedError):
    """Raised for an invalid plan.

    Its message is one line: `location` (the file, and the section in brackets), the key if the problem
    concerns the value of a key, and the problem.
    """

    def __init__(self, location: str, problem: str, key: str | None = None) -> None:
        self.location = location
        self.problem = problem
        self.key = key
        super().__init__(" ".join(filter(None, (location, f"{key}:" if key else "", problem))))


class UnknownChoiceError(InvalidValueError):
    """Raised for a value that is not among the allowed values of a key."""

    def __init__(self, text: str, tokens: tuple[str, ...]) -> None:
        self.text = text
        self.tokens = tokens
        super().__init__(f"{text!r:.40} is none of {', '.join(tokens)}")


class InvalidFractionError(InvalidValueError):
    """Raised for a value that is not a number above 0 and at most 1."""

    def __init__(self, text: str) -> None:
        self.text = text
        try:
            float(text)
        except ValueError:
            super().__init__(f"{text!r:.40} is not a number")
        else:
            super().__init__(f"{text} is not above 0 and at most 1")


def one_of(kind: type[Enum]) -> Check:
    """Return a check that converts the value of an enum member to the member."""

    def check(text: str) -> Enum:
        try:
            return kind(text)
        except ValueError:
            raise UnknownChoiceError(text, tuple(str(member.value) for member in kind)) from None

    return check


def choice(*tokens: str) -> Check:
    """Return a check that the text is one of the given words."""

    def check(text: str) -> str:
        if text not in tokens:
            raise UnknownChoiceError(text, tokens)
        return text

    return check


def fraction(text: str) -> float:
    """Parse a number above 0 and at most 1; raises InvalidFractionError."""
    try:
        value = float(text)
    except ValueError:
        raise InvalidFractionError(text) from None
    if not 0 < value <= 1:
        raise InvalidFractionError(text)
    return value


def read_values(section: Section, keys: KeyTable, location: str) -> dict[str, Any]:
    """Return the fields that a section sets; raises InvalidPlanError for the first invalid key."""
    values = {}
    for key, text in section.items():
        if key not in keys:
            raise InvalidPlanError(location, f"unknown key '{key}'; known: {', '.join(keys)}")
        field, check = keys[key]
        try:
            values[field] = check(str(text).strip())
        except InvalidValueError as error:
            raise InvalidPlanError(location, str(error), key) from None
    return values
