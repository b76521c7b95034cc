"""Tests of the testbed (`weldbend lab`): its emulated site alone, and that site with a real front under load.

The caches of the site are the edge e1, the parent p1 and the origin o1. LACK is a miss. The field `detail` of
an answer is the source of its object: h is a copy at the cache itself, f a fill from a copy at the parent,
o a fill from the origin, and j a fill in progress that the command joined.
"""

import json
import random
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol import commands
from weldbend.testbed.emulator.cache_commands import Command, InvalidCommandError, Parser, encode_answer
from weldbend.testbed.emulator.cache_model import EmulatedCache, EmulatedCaches
from weldbend.testbed.emulator.objects import PartSizes, body, object_key
from weldbend.testbed.load.generator import LoadPlan

KEY = object_key(1)


def small_site(capacity=1 << 20):
    caches = [
        EmulatedCache("e1", "box", capacity),
        EmulatedCache("p1", "parent", capacity),
        EmulatedCache("o1", "origin", 0),
    ]
    return EmulatedCaches(caches, PartSizes(), edge_rate=1e6, edge_delay=0.01)


def lookup_fields(**fields):
    return {"queue": "photo", "path": KEY, "blk": "0", "budget": "6000"} | fields


def test_the_emulated_site_fills_caches_over_slow_links_and_joins_fills_in_progress():
    caches, size = small_site(), PartSizes().part_size(KEY, 0)
    answer_words = [caches.execute("e1", lookup_fields(), 0.0, 100.0).word]
    first = caches.execute("e1", lookup_fields(**{"from": "p1", "rank": "1", "mode": "j"}), 0.0, 100.0)
    second = caches.execute("e1", lookup_fields(**{"from": "p1", "mode": "j"}), 0.0, 100.0)
    assert answer_words == ["LACK"] and first.fields["detail"] == "o" and second.fields["detail"] == "j"
    assert first.body == body(KEY, 0, size) and first.due_at > 0.01 + size / 1e6
    # The times are those of the steady clock and of the Unix clock: the copy, of 0 s, was born at 100 s.
    hit = caches.execute("e1", lookup_fields(), 9.0, 109.0)
    assert hit.fields["detail"] == "h" and hit.due_at < 9.01 and hit.fields["born"] == "100000"
    # the copy is 9 s old, and may be 5000 ms old at most
    assert caches.execute("e1", lookup_fields(oldest="5000"), 9.0, 109.0).word == "LACK"
    caches.by_uid["e1"].purge(KEY)  # the parent keeps its copy, from which the last fill is made
    assert caches.execute("e1", lookup_fields(), 9.0, 109.0).word == "LACK"
    assert (
        caches.execute("e1", lookup_fields(**{"from": "p1", "mode": "h"}), 9.0, 109.0).fields["detail"] == "f"
    )


def test_a_write_with_an_idempotency_key_is_executed_once_in_the_emulated_site():
    caches = small_site()
    # The key is remembered for 8 s: the write at 3 s is a repeat, the one at 20 s is executed again.
    for now in (0.0, 3.0, 20.0):
        assert caches.execute("o1", lookup_fields(queue="order", uniq="ab"), now, now).word == "DONE"
    assert caches.by_uid["o1"].counts["effects"] == 2 and caches.by_uid["o1"].counts["repeats dropped"] == 1


def test_beyond_the_capacity_the_lowest_rank_is_evicted_first():
    """Object 1 (rank 1) is older than all objects of rank 0, and stays; so does the last object of rank 1."""
    caches = small_site(capacity=100_000)
    for rank, object_number in [
        ("1", 1),
        *(("0", n) for n in range(2, 40)),
        *(("1", n) for n in range(40, 43)),
    ]:
        fields = lookup_fields(path=object_key(object_number), rank=rank, **{"from": "p1"})
        caches.execute("e1", fields, float(object_number), float(object_number))
    cached = caches.by_uid["e1"].copies
    assert caches.by_uid["e1"].used == sum(c.size for c in cached.values()) <= 100_000
    assert (KEY, 0) in cached and (object_key(42), 0) in cached


@given(st.integers(0, 1 << 32))
def test_commands_are_parsed_however_their_bytes_are_split(seed):
    rng = random.Random(seed)
    data = commands.do("a1", {"queue": "x", "blk": "0"}, b"two\r\nlines") + commands.undo("a1")
    data += commands.ping("t1") + commands.do("b2", {}, b"")
    ring = Ring(1 << 12)
    parser, parsed = Parser(ring), []
    while data:
        cut = rng.randint(1, len(data))
        ring.write(data[:cut])
        data = data[cut:]
        parsed += parser.all()
    assert parsed == [
        Command("do", "a1", {"queue": "x", "blk": "0"}, b"two\r\nlines"),
        Command("undo", "a1", {}),
        Command("ping", "t1", {}),
        Command("do", "b2", {}),
    ]
    assert encode_answer("b2", "DONE", {"ver": "1"}, b"x") == b"b2 DONE ver=1 1\r\nx\r\n"


@pytest.mark.parametrize("invalid_command", [b"do a - 99999\r\n", b"do a - x\r\n", b"get\r\n", b"x" * 4096])
def test_an_invalid_command_is_an_error(invalid_command):
    ring = Ring(1 << 13)
    ring.write(invalid_command)
    with pytest.raises(InvalidCommandError):
        Parser(ring).next()


def test_the_same_seed_draws_the_same_load():
    plan = LoadPlan(rate=50, seconds=4, seed=9)
    assert plan.arrivals() == plan.arrivals() != LoadPlan(rate=50, seconds=4, seed=8).arrivals()
    # 50 requests per second for 4 s are 200 on average
    assert 130 < len(plan.arrivals()) < 270 and all(0 < a.at < 4 for a in plan.arrivals())


def lab(*arguments):
    command = [sys.executable, "-m", "weldbend", "lab", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=120)


def test_the_demo_sends_requests_to_a_real_front_and_reports_their_outcomes(tmp_path):
    path = tmp_path / "demo.json"
    result = lab("demo", "--rate", "40", "--seconds", "2", "--json", str(path))
    assert result.returncode == 0, result.stderr
    report = json.loads(path.read_text())
    counts = report["counts"]
    # Of the 40 * 2 = 80 requests on average, more than half have to be fulfilled.
    assert counts["fulfilled"] > 40 and counts["asked"] == counts["fulfilled"] + counts.get("throttled", 0)
    assert not counts.get("spoilt") and not counts["lost"] and not counts["unanswered"]
    assert report["boxes"]["box asked"] >= counts["fulfilled"] * 0.9 and "p99, ms" in result.stdout


def test_many_idle_connections_wake_at_once_in_a_real_front(tmp_path):
    """All of 600 idle clients (share 1.0) send a call for a photo at once, beside a load of 20 per second.

    `woken` has the results of these calls, `busy` those of the load.
    """
    path = tmp_path / "idle.json"
    options = ("--connections", "600", "--pairs", "0", "--busy-rate", "20", "--json", str(path))
    result = lab("idle", *options, "--wake", "1.0", "--wake-with", "photo")
    assert result.returncode == 0, result.stderr
    wake, final = json.loads(path.read_text())["wakes"]
    assert final["front"]["max_idle_connections"] >= 600 and not final["front"]["violations"]
    woken, counts = wake["woken"], wake["busy"]["counts"]
    assert woken["woken"] == 600 and not woken["unanswered"] and not woken["closed"]
    outcomes = woken["outcomes"]
    assert outcomes["fulfilled"] + outcomes.get("throttled", 0) + outcomes.get("abandoned", 0) == 600
    assert "second answers" not in outcomes and "throttled without a time" not in outcomes
    assert not counts["lost"] and not counts["unanswered"] and counts["fulfilled"] > 100


def test_load_is_sent_to_loopback_only():
    result = lab("load", "--front", "10.0.0.1:80")
    assert result.returncode == 1 and "loopback only" in result.stderr and result.stderr.count("\n") == 1
