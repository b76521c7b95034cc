"""Runner of the test suite that runs the tests listed in KNOWN-RED.txt one by one, and then all others.

Each line of the list is

    test id | always or sometimes | command | seed | what was seen | issue

The result of each listed test is printed. A test listed as `always` has to fail: if it passes, the whole run
fails, so that an entry is removed once its test is repaired. A test listed as `sometimes` may pass or fail.
The seed is `-` for a test without one. A listed test that cannot be run, or a line that does not have this
form, fails the run.
"""

import subprocess
import sys
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

FIELD_COUNT = 6
TESTS_PASSED = 0  # pytest's exit status
TESTS_FAILED = 1  # pytest's exit status if tests ran and at least one failed
INVALID_LIST_STATUS = 2  # exit status of this script if the list cannot be used


class InvalidListError(Exception):
    """The list does not have the documented form; the text of the error is one line for people."""


class InvalidEntryError(InvalidListError):
    """A line of the list does not have the documented form."""

    def __init__(self, path: Path, number: int) -> None:
        form = "test id | always or sometimes | command | seed | what was seen | issue"
        super().__init__(f"{path.name}, line {number}: not of the form `{form}`")


class RepeatedEntryError(InvalidListError):
    """The list contains a test more than once."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path.name} lists a test twice")


class Frequency(Enum):
    """Frequency with which a listed test fails."""

    ALWAYS = "always"
    SOMETIMES = "sometimes"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is known to fail, and the open issue about it.

    Attributes:
        test: Identifier of the test in pytest.
        frequency: Frequency with which the test fails.
        command: Command of the run that failed.
        seed: Seed of the run that failed; `-` for a test without one.
        observation: Description of the failure.
        issue: Identifier of the open issue.
    """

    test: str
    frequency: Frequency
    command: str
    seed: str
    observation: str
    issue: str


def read_entries(path: Path) -> list[KnownFailure]:
    """Return the entries of the list, which is empty if the file does not exist.

    Raises:
        InvalidListError: The file does not have the documented form.
    """
    lines = path.read_text("utf-8").splitlines() if path.exists() else []
    entries = [read_entry(path, number, line) for number, line in enumerate(lines, 1)]
    if len({entry.test for entry in entries}) < len(entries):
        raise RepeatedEntryError(path)
    return entries


def read_entry(path: Path, number: int, line: str) -> KnownFailure:
    """Parse the line with this number.

    Raises:
        InvalidEntryError: A field is missing or empty, the first is not a test id, or the second is not a
            frequency.
    """
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise InvalidEntryError(path, number)
    test, frequency, *rest = fields
    if "::" not in test or test.startswith("-"):
        raise InvalidEntryError(path, number)
    try:
        return KnownFailure(test, Frequency(frequency), *rest)
    except ValueError:
        raise InvalidEntryError(path, number) from None


def run_pytest(*options: str, shows_output: bool = False) -> int:
    """Run pytest and return its exit status."""
    command = [sys.executable, "-m", "pytest", "-q", *options]
    return subprocess.run(command, capture_output=not shows_output, check=False).returncode


def has_listed_result(entry: KnownFailure) -> bool:
    """Run a listed test, print its entry and result, and return whether the result agrees with the entry."""
    status = run_pytest(entry.test)
    results = {TESTS_PASSED: "passed", TESTS_FAILED: "failed"}
    result = results.get(status, f"cannot be run (pytest exits with {status})")
    print(f"known red, fails {entry.frequency.value}, {result} now: {entry.test}")
    print(f"  command: {entry.command}; seed: {entry.seed}; seen: {entry.observation}; issue: {entry.issue}")
    if entry.frequency is Frequency.SOMETIMES:
        return status in results
    return status == TESTS_FAILED


def main(path: Path) -> int:
    """Run the listed tests and then all others.

    Returns:
        The exit status: 0 if all listed tests agree with their entries and all others pass.
    """
    try:
        entries = read_entries(path)
    except InvalidListError as error:
        print(error)
        return INVALID_LIST_STATUS
    incorrect_entries = [entry.test for entry in entries if not has_listed_result(entry)]
    for test in incorrect_entries:
        print(f"{path.name} does not describe the result of {test}: correct the list")
    status = run_pytest(*(f"--deselect={entry.test}" for entry in entries), shows_output=True)
    return status or int(bool(incorrect_entries))


if __name__ == "__main__":
    sys.exit(main(Path("KNOWN-RED.txt")))
