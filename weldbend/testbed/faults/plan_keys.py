"""What plans of faults and plans of fleets share: checks of keys, and the error of a plan. No I/O.

A table of keys maps a key of the INI file to a field of the dataclass that it sets, and to the check that
turns its text into the field's value.
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
    """A plan that cannot be played.

    Its text is one line: `location` (the file, and the section in brackets), the key where the problem is one
    of its value, and the problem.
    """

    def __init__(self, location: str, problem: str, key: str | None = None) -> None:
        self.location = location
        self.problem = problem
        self.key = key
        super().__init__(" ".join(filter(None, (location, f"{key}:" if key else "", problem))))


class UnknownChoiceError(InvalidValueError):
    """A value that is none of the words that a key allows."""

    def __init__(self, text: str, tokens: tuple[str, ...]) -> None:
        self.text = text
        self.tokens = tokens
        super().__init__(f"{text!r:.40} is none of {', '.join(tokens)}")


class InvalidFractionError(InvalidValueError):
    """A value that is no fraction above 0."""

    def __init__(self, text: str) -> None:
        self.text = text
        try:
            float(text)
        except ValueError:
            super().__init__(f"{text!r:.40} is no number")
        else:
            super().__init__(f"{text} is not above 0 and at most 1")


def one_of(kind: type[Enum]) -> Check:
    """A check that the text is the value of a member; gives the member."""

    def check(text: str) -> Enum:
        try:
            return kind(text)
        except ValueError:
            raise UnknownChoiceError(text, tuple(str(member.value) for member in kind)) from None

    return check


def choice(*tokens: str) -> Check:
    """A check that the text is one of some words."""

    def check(text: str) -> str:
        if text not in tokens:
            raise UnknownChoiceError(text, tokens)
        return text

    return check


def fraction(text: str) -> float:
    """A check of figures above 0 and at most 1."""
    try:
        value = float(text)
    except ValueError:
        raise InvalidFractionError(text) from None
    if not 0 < value <= 1:
        raise InvalidFractionError(text)
    return value


def read_values(section: Section, keys: KeyTable, location: str) -> dict[str, Any]:
    """The fields that a section sets; raises InvalidPlanError for the first key that is wrong."""
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
