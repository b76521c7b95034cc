"""The list of tests that are red for a known cause: what it passes over, and what it does not."""

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"
SUITE = """
def test_good():
    pass

def test_bad():
    assert False

def test_worse():
    raise RuntimeError
"""
BAD, WORSE = ("test_suite.py::test_bad | never held | 1", "test_suite.py::test_worse | broken | 2")


def run(folder, *lines, suite=SUITE):
    (folder / "test_suite.py").write_text(suite)
    if lines:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    done = subprocess.run([sys.executable, str(SCRIPT)], cwd=folder, capture_output=True, text=True)
    return done.returncode, done.stdout


def test_what_is_listed_is_passed_over_and_printed(tmp_path):
    status, told = run(tmp_path, BAD, WORSE)
    assert status == 0 and "1 passed" in told
    assert f"known red: {BAD}" in told and f"known red: {WORSE}" in told


@pytest.mark.parametrize(
    ("lines", "says"),
    [
        ((), "2 failed"),
        ((BAD,), "1 failed"),
        ((BAD, WORSE, "test_suite.py::test_good | mended | 3"), "passes"),
        ((BAD, WORSE, "test_suite.py::test_gone | gone | 3"), "cannot be run"),
        ((BAD, WORSE, "test_suite.py | a whole file | 3"), "line 3: not of the form"),
        ((BAD, "test_suite.py::test_worse | no issue |"), "line 2: not of the form"),
        ((BAD, "", WORSE), "line 2: not of the form"),
        ((BAD, BAD, WORSE), "twice"),
        ((BAD, WORSE, *(f"test_suite.py::test_{n} | more | 3" for n in (1, 2))), "3 are the most"),
    ],
)
def test_a_list_that_says_less_or_more_than_is_red_fails(tmp_path, lines, says):
    status, told = run(tmp_path, *lines)
    assert status != 0 and says in told, told
