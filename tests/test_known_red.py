"""Guards against a list of known failures that hides other failures, or that still lists a repaired test.

The list is KNOWN-RED.txt. The script `.ci/known_red.py` runs the listed tests one by one and then all
others. It fails if a test fails that is not listed, or if a test passes that is listed as failing always.
"""

import importlib.util
import os
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"
# A suite with a test that passes, two that fail, and one that fails at the first run in a directory only.
SUITE = """
from pathlib import Path

def test_good():
    pass

def test_bad():
    assert False

def test_worse():
    raise RuntimeError

def test_alternating():
    marker = Path("ran-before")
    existed = marker.exists()
    marker.touch()
    assert existed
"""
# The last fields of an entry: command, seed, what was seen, and the number of the issue.
DETAILS = "pytest -q | - | an assertion failed | 1"
BAD = f"test_suite.py::test_bad | always | {DETAILS}"
WORSE = f"test_suite.py::test_worse | always | {DETAILS}"
ALTERNATING = f"test_suite.py::test_alternating | sometimes | {DETAILS}"


def run(folder, *lines):
    """Run the script on a small suite with a list of these lines; return the exit status and the output."""
    (folder / "test_suite.py").write_text(SUITE)
    if lines:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    environment = os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}  # the small suite needs no plugins
    command = [sys.executable, str(SCRIPT)]
    result = subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True)
    return result.returncode, result.stdout


def test_listed_tests_are_deselected_and_printed(tmp_path):
    status, output = run(tmp_path, BAD, WORSE, ALTERNATING)
    assert status == 0 and "1 passed, 3 deselected" in output
    for test in ("test_bad", "test_worse"):
        assert f"known red, fails always, failed now: test_suite.py::{test}" in output
    assert "command: pytest -q; seed: -; seen: an assertion failed; issue: 1" in output


def test_a_test_that_fails_sometimes_may_fail_or_pass(tmp_path):
    first_status, first_output = run(tmp_path, BAD, WORSE, ALTERNATING)
    second_status, second_output = run(tmp_path, BAD, WORSE, ALTERNATING)
    assert (first_status, second_status) == (0, 0)
    assert "fails sometimes, failed now" in first_output
    assert "fails sometimes, passed now" in second_output


def test_the_list_may_have_any_number_of_lines(tmp_path):
    specification = importlib.util.spec_from_file_location("known_red", SCRIPT)
    known_red = importlib.util.module_from_spec(specification)
    sys.modules["known_red"] = known_red
    specification.loader.exec_module(known_red)
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("".join(f"test_suite.py::test[{n}] | sometimes | {DETAILS}\n" for n in range(50)))
    assert len(known_red.read_entries(path)) == 50


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ((), "3 failed"),
        ((BAD, ALTERNATING), "1 failed"),
        ((BAD, WORSE, ALTERNATING, f"test_suite.py::test_good | always | {DETAILS}"), "correct the list"),
        ((BAD, WORSE, ALTERNATING, f"test_suite.py::test_gone | sometimes | {DETAILS}"), "cannot be run"),
        ((BAD, WORSE, ALTERNATING, f"test_suite.py::test_gone | always | {DETAILS}"), "cannot be run"),
        ((BAD, WORSE, f"test_suite.py | always | {DETAILS}"), "line 3: not of the form"),
        ((BAD, f"test_suite.py::test_worse | often | {DETAILS}"), "line 2: not of the form"),
        ((BAD, "test_suite.py::test_worse | always | pytest -q | - | no issue |"), "line 2: not of the form"),
        ((BAD, "test_suite.py::test_worse | broken | 2"), "line 2: not of the form"),
        ((BAD, "", WORSE), "line 2: not of the form"),
        ((BAD, BAD, WORSE), "twice"),
    ],
)
def test_a_list_that_is_malformed_or_differs_from_the_tests_that_fail_is_an_error(tmp_path, lines, message):
    status, output = run(tmp_path, *lines)
    assert status != 0 and message in output, output
