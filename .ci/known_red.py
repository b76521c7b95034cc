"""Runs the whole suite, but for the tests that KNOWN-RED.txt lists: those have to fail, and are printed.

A line is `test id | cause | issue`, three lines at most. A listed test that passes or does not exist, and a
file that cannot be read so, fail the run: the list must name what is red, no less and no more.
"""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

MAX_ENTRIES = 3
FIELDS = 3
TESTS_FAILED = 1  # pytest's exit status where tests ran and some failed
LIST_IS_INVALID = 2  # exit status of this script where the list cannot be used


class InvalidListError(Exception):
    """A list that does not have its form; its text is one line for people."""


class TooManyEntriesError(InvalidListError):
    """More tests are listed than may be red at once."""

    def __init__(self, path: Path, count: int) -> None:
        super().__init__(f"{path.name} has {count} lines, {MAX_ENTRIES} are the most")


class InvalidEntryError(InvalidListError):
    """A line that is no entry."""

    def __init__(self, path: Path, number: int) -> None:
        super().__init__(f"{path.name}, line {number}: not of the form `test id | cause | issue`")


class RepeatedEntryError(InvalidListError):
    """A test that is listed twice."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path.name} lists a test twice")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails for a known cause, and the issue that is to mend it."""

    test: str
    cause: str
    issue: str


def read_entries(path: Path) -> list[KnownRed]:
    """The entries of the list; none where there is no file.

    Raises:
        InvalidListError: The file does not have the form that this module describes.
    """
    lines = path.read_text("utf-8").splitlines() if path.exists() else []
    if len(lines) > MAX_ENTRIES:
        raise TooManyEntriesError(path, len(lines))
    entries = [read_entry(path, number, line) for number, line in enumerate(lines, 1)]
    if len({entry.test for entry in entries}) < len(entries):
        raise RepeatedEntryError(path)
    return entries


def read_entry(path: Path, number: int, line: str) -> KnownRed:
    """One line of the list.

    Raises:
        InvalidEntryError: A field is missing, or the first one is no test id.
    """
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != FIELDS or not all(fields):
        raise InvalidEntryError(path, number)
    entry = KnownRed(*fields)
    if "::" not in entry.test or entry.test.startswith("-"):
        raise InvalidEntryError(path, number)
    return entry


def run_pytest(*options: str, shows_output: bool = False) -> int:
    """Run pytest, and return its exit status."""
    command = [sys.executable, "-m", "pytest", "-q", *options]
    return subprocess.run(command, capture_output=not shows_output, check=False).returncode


def is_red(entry: KnownRed) -> bool:
    """Run a listed test, print its entry, and say what is wrong with the list where it does not fail."""
    status = run_pytest(entry.test)
    print(f"known red: {entry.test} | {entry.cause} | {entry.issue}")
    if status == TESTS_FAILED:
        return True
    finding = "passes" if status == 0 else f"cannot be run (pytest exits with {status})"
    print(f"but it {finding}: mend the list")
    return False


def main(path: Path) -> int:
    """Run the listed tests, then all others; the exit status is 0 where only listed tests fail."""
    try:
        entries = read_entries(path)
    except InvalidListError as error:
        print(error)
        return LIST_IS_INVALID
    list_is_true = all([is_red(entry) for entry in entries])
    status = run_pytest(*(f"--deselect={entry.test}" for entry in entries), shows_output=True)
    return status or int(not list_is_true)


if __name__ == "__main__":
    sys.exit(main(Path("KNOWN-RED.txt")))
