"""A short session with the simulation host over its text protocol, and malformed input."""

import io
import json

import pytest

from weldbend.simhost.host import serve
from weldbend.testbed.emulator.configuration import SETTINGS

# The start of a session: time, instance number, settings, and the list of caches: edge 5 and origin 9.
START = f"""sync 1000000
for 3
provision 7 {json.dumps(SETTINGS)}
view disk 4 2
cache 5 z 1 - box ready 0
cache 9 h 2 - origin ready 0
over_to_you
"""


def run_session(text):
    out, err = io.StringIO(), io.StringIO()
    return serve(io.StringIO(text), out, err), out.getvalue(), err.getvalue()


def test_a_request_is_filled_from_the_origin_after_a_miss():
    # Times are in microseconds. The edge, cache 5, reports a miss, so it is filled from the origin, cache 9.
    request = "sync 2000000\nfor 3\ncall t/a ab 0 photo 3 - 0 640 8000000\nover_to_you\n"
    miss = "sync 2002000\nfor 3\nreport_back t/a 0 1 9 1000 0 - - -\nover_to_you\n"
    code, out, err = run_session(START + request + miss)
    assert (code, err) == (0, "")
    assert out.splitlines() == [
        "finished",
        "source 3", "wake_at 5996000 end:t/a",
        "obtain t/a 1 0 0 0 1 1", "wake_at 1250000 slow:t/a:0", "finished",
        "source 3", "obtain t/a 2 0 0 0 1 1", "wake_at 1250000 slow:t/a:1", "finished",
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("sync x\n", "line 1: not a whole number: 'x'"),
        (START + "sync 2\nfor 3\nbogus 1\n", "line 10: unknown event 'bogus'"),
        (START + "sync 2\nfor 4\ntimeout_fired sweep\n", "line 10: event for unknown instance 4"),
        (START + "sync 2\nfor 3\ncall t/a ab\n", "line 10: call: got 2 values, expected 9 or more"),
        (START.replace('"zones"', '"zonez"'), "line 3: provision: settings lack 'zones'"),
        (START + "sync 2\nfor 3\n", "line 9: input ended inside a batch"),
    ],
)
def test_malformed_input_is_reported_with_its_line(text, error):
    code, _, err = run_session(text)
    assert (code, err.strip()) == (1, error)
