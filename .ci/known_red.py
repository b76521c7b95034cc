"""Runs the whole suite, but for the tests that KNOWN-RED.txt lists: those have to fail, and are printed.

A line is `test id | cause | issue`, three lines at most. A listed test that passes or does not exist, and a
file that cannot be read so, fail the run: the list must say what is red, no less and no more.
"""

import subprocess
import sys
from pathlib import Path

MOST = 3
FAILED = 1  # pytest's exit status where tests ran and some failed


class InvalidListError(Exception):
    """A list that does not hold to its form; its text is one line for people."""


def listed(path: Path) -> list[tuple[str, str, str]]:
    """Test, cause and issue of each line; none where there is no file. Raises BadList."""
    lines = path.read_text("utf-8").splitlines() if path.exists() else []
    if len(lines) > MOST:
        raise InvalidListError(f"{path.name} has {len(lines)} lines, {MOST} are the most")
    found = []
    for number, line in enumerate(lines, 1):
        test, cause, issue = (
            parts if len(parts := [part.strip() for part in line.split("|")]) == 3 else ("",) * 3
        )
        if not (test and cause and issue) or "::" not in test or test.startswith("-"):
            raise InvalidListError(f"{path.name}, line {number}: not of the form `test id | cause | issue`")
        found.append((test, cause, issue))
    if len({test for test, _, _ in found}) < len(found):
        raise InvalidListError(f"{path.name} lists a test twice")
    return found


def pytest(*options: str, show: bool = False) -> int:
    command = [sys.executable, "-m", "pytest", "-q", *options]
    return subprocess.run(command, capture_output=not show, check=False).returncode


def main(path: Path) -> int:
    try:
        red = listed(path)
    except InvalidListError as wrong:
        print(wrong)
        return 2
    wrong = 0
    for test, cause, issue in red:
        status = pytest(test)
        print(f"known red: {test} | {cause} | {issue}")
        if status != FAILED:
            wrong = 1
            found = "passes" if status == 0 else f"cannot be run (pytest exits with {status})"
            print(f"but it {found}: mend the list")
    return pytest(*(f"--deselect={test}" for test, _, _ in red), show=True) or wrong


if __name__ == "__main__":
    sys.exit(main(Path("KNOWN-RED.txt")))
