"""The fault injector: plans that are checked, faults that depend on the seed alone, and sockets between."""

import json
import random
import socket
import subprocess
import sys

import pytest
from fronts import process
from hypothesis import given, settings
from hypothesis import strategies as st

from weldbend.cache_protocol import commands
from weldbend.event_bus.sse import Parser as EventParser
from weldbend.testbed.faults.engine import ActionKind, FaultAction, Injector
from weldbend.testbed.faults.messages import Message, Splitter, read_line, read_thrift, rewrite
from weldbend.testbed.faults.plan import Direction, InvalidPlanError, parse_plan, read_plan
from weldbend.testbed.load import client_calls
from weldbend.thrift import messages
from weldbend.thrift.messages import read_call

ANSWERS = [messages.answer("process", n, b"%d" % n * 50, {}, True) for n in range(1, 6)]


def injector(seed=1, framing="thrift", **faults):
    return Injector(parse_plan({name: held for name, held in faults.items()}, framing), seed)


def played(made, frames, direction=Direction.TO_CLIENT, now=0.0):
    stream = made.stream(1, direction, 0.0)
    fault_actions = [fault_action for frame in frames for fault_action in stream.feed(now, frame)]
    return fault_actions + stream.end(now)


def joined(fault_actions):
    return b"".join(fault_action.data for fault_action in fault_actions)


@pytest.mark.parametrize(
    ("held", "told"),
    [
        ({"f": {"kind": "explode"}}, "[f] kind: 'explode' is none of delay, throttle"),
        ({"f": {}}, "[f] lacks 'kind'"),
        ({"f": {"kind": "stall"}}, "[f] stall lacks 'for'"),
        ({"f": {"kind": "delay"}}, "[f] delay lacks 'for', 'jitter' or 'growth'"),
        ({"f": {"kind": "stall", "for": "5"}}, "[f] for: '5' lacks its unit"),
        ({"f": {"kind": "cut", "chance": "1.5"}}, "[f] chance: 1.5 is not above 0 and at most 1"),
        ({"f": {"kind": "cut", "rate": "5"}}, "[f] rate: does not apply to cut"),
        ({"f": {"kind": "cut", "at": "5"}}, "[f] unknown key 'at'"),
        (
            {"f": {"kind": "cut", "byte": "5", "message": "1"}},
            "[f] byte cannot be combined with message or field",
        ),
        ({"f": {"kind": "rewrite"}}, "[f] rewrite lacks 'set'"),
        ({"kind": "cut"}, "key 'kind' is outside of a section"),
        ({}, "plan has no faults"),
    ],
)
def test_a_plan_that_cannot_be_played_is_one_clear_line(held, told):
    with pytest.raises(InvalidPlanError) as wrong:
        parse_plan(held, "thrift")
    assert told in str(wrong.value)


def test_messages_are_no_triggers_where_there_are_only_bytes(tmp_path):
    with pytest.raises(InvalidPlanError, match="requires messages, but direction there is raw bytes"):
        parse_plan({"f": {"kind": "drop", "direction": "there"}}, "sse")
    path = tmp_path / "plan.ini"
    path.write_text("[one]\nkind = cut\nmessage = 2\n[two]\nkind = stall\nfor = 1 s\nfield = word=DONE\n")
    assert [fault.name for fault in read_plan(str(path), "lines").faults] == ["one", "two"]
    with pytest.raises(InvalidPlanError, match="cannot be read"):
        read_plan(str(tmp_path / "none"), "raw")


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from(["drop", "duplicate", "reorder", "corrupt", "cut", "delay"]))
def test_the_same_seed_injects_the_same_however_the_bytes_are_split(seed, kind):
    rng, results = random.Random(seed), []
    held = {"kind": kind, "chance": "0.4"} | ({"for": "10 ms"} if kind == "delay" else {})
    for _ in range(2):
        made, data, pieces = injector(seed, x=held), b"".join(ANSWERS), []
        while data:
            cut = rng.randint(1, len(data))
            pieces.append(data[:cut])
            data = data[cut:]
        fault_actions = played(made, pieces)
        results.append(
            (
                joined(fault_actions),
                made.injections,
                [d.kind for d in fault_actions if d.kind is not ActionKind.DATA],
            )
        )
    assert results[0] == results[1]


def test_each_kind_does_what_it_says():
    first, second, third = ANSWERS[:3]

    def run(**held):
        return played(injector(x={"message": "2"} | held), ANSWERS[:3])

    assert joined(run(kind="drop")) == first + third
    assert joined(run(kind="duplicate")) == first + second * 2 + third
    assert joined(run(kind="reorder")) == first + third + second
    bent = joined(run(kind="corrupt", inside="9", bytes="2"))
    assert [n for n, (a, b) in enumerate(zip(bent, first + second + third, strict=True)) if a != b] == [
        len(first) + 9,
        len(first) + 10,
    ]
    end = [(d.kind, d.data) for d in run(kind="half-close", inside="7")]
    assert end == [(ActionKind.DATA, first), (ActionKind.DATA, second[:7]), (ActionKind.END, b"")]
    assert [d.kind for d in run(kind="cut")] == [ActionKind.DATA, ActionKind.RESET]
    assert run(kind="cut", how="close", inside="3")[-1].kind is ActionKind.CLOSE
    assert joined(run(kind="hang", inside="5")) == first + second[:5]
    assert [d.at for d in run(kind="stall", **{"for": "2 s"}) if d.data] == [0.0, 2.0, 2.0]
    assert [d.at for d in run(kind="delay", **{"for": "1 s"}) if d.data] == [0.0, 1.0, 1.0]
    slow = run(kind="throttle", rate="1000")
    assert slow[-1].at == pytest.approx(len(second + third) / 1000) and len(slow) > 10
    grown = played(injector(x={"kind": "delay", "growth": "10 ms"}), ANSWERS[:3])
    assert [d.at for d in grown if d.data] == pytest.approx([0.01, 0.02, 0.03])


def test_triggers_by_byte_field_connection_time_and_number_of_times():
    data = b"".join(ANSWERS)
    cut = played(injector(framing="raw", x={"kind": "cut", "byte": "100"}), [data[:60], data[60:]])
    assert joined(cut) == data[:100] and cut[-1].kind is ActionKind.RESET
    made = injector(x={"kind": "drop", "field": "seqid=3"})
    assert joined(played(made, ANSWERS)) == b"".join(ANSWERS[:2] + ANSWERS[3:])
    assert [(s.message, s.offset) for s in made.injections] == [(3, len(ANSWERS[0]) * 2)]
    made = injector(x={"kind": "drop", "connection": "2", "times": "1"})
    assert not [d for d in made.stream(1, Direction.TO_CLIENT, 0.0).feed(0.0, ANSWERS[0]) if not d.data]
    other = made.stream(2, Direction.TO_CLIENT, 0.0)
    assert not other.feed(0.0, ANSWERS[0]) and other.feed(0.0, ANSWERS[1])
    late = injector(x={"kind": "drop", "after": "1 s"}).stream(1, Direction.TO_CLIENT, 0.0)
    assert late.feed(0.9, ANSWERS[0]) and not late.feed(1.1, ANSWERS[1])


@pytest.mark.parametrize("field", ["seqid", "body"])
def test_corruption_of_an_answer_that_still_parses(field):
    raw = messages.answer("process", 7, b"photo" * 9, {"ok304": "1"}, True)
    found = rewrite("thrift", Message(raw, read_thrift(raw)), field, "12")
    heard = client_calls.read_answer(found[4:])
    assert len(found) == 4 + int.from_bytes(found[:4])
    assert (heard.seqid, heard.body) == ((12, b"photo" * 9) if field == "seqid" else (7, b"12"))


@pytest.mark.parametrize("field", ["class", "id", "wait", "key", "nth", "batch", "kb"])
def test_corruption_of_a_call_that_still_parses_at_each_field(field):
    raw = process(3, b"body")
    held = Message(raw, read_thrift(raw))
    assert held.fields["seqid"] == "3" and held.fields["message.name"] == "process"
    for to in ("17", None):
        found = read_call(rewrite("thrift", held, field, to)[4:])
        assert found.fields.get(field) == to and len(found.fields) == (7 if to else 6)
        assert (found.seqid, found.body) == (3, b"body")


def test_corruption_of_lines_and_events_that_still_parses():
    raw = b"00aa DONE ver=x,born=17,use=util:0.5 5\r\nphoto\r\n"
    held = Message(raw, read_line(raw))
    for name, to, line in [
        ("id", "00bb", b"00bb DONE ver=x,born=17,use=util:0.5 5\r\nphoto\r\n"),
        ("born", "3", b"00aa DONE ver=x,born=3,use=util:0.5 5\r\nphoto\r\n"),
        ("ver", None, b"00aa DONE born=17,use=util:0.5 5\r\nphoto\r\n"),
        ("use", "util:99", b"00aa DONE ver=x,born=17,use=util:99 5\r\nphoto\r\n"),
        ("length", "2", b"00aa DONE ver=x,born=17,use=util:0.5 2\r\nph\r\n"),
        ("word", "LACK", b"00aa LACK ver=x,born=17,use=util:0.5 5\r\nphoto\r\n"),
    ]:
        assert rewrite("answers", held, name, to) == line
    event = b'id: 4\ndata: {"offset": 4, "ban": {"url": "7f", "ts": 9}}\n\n'
    (message,) = Splitter("sse").feed(event)
    (told,) = EventParser().feed(rewrite("sse", message, "data.ban.ts", "1"))
    assert json.loads(told.data)["ban"] == {"url": "7f", "ts": 1} and told.id == "4"


def test_what_cannot_be_cut_into_messages_passes_on_unchanged():
    for framing in ("thrift", "answers", "commands"):
        data = b"\xff" * 5000
        assert b"".join(m.raw for m in Splitter(framing).feed(data)) == data
    parts = [commands.do("a", {"x": "1"}, b"\r\n"), commands.undo("a"), commands.ping("t")]
    assert [m.raw for m in Splitter("commands").feed(b"".join(parts))] == parts
    half = injector(x={"kind": "drop", "message": "9"}).stream(1, Direction.TO_CLIENT, 0.0)
    assert half.feed(0.0, ANSWERS[0][:9]) == []
    assert half.end(0.0) == [
        FaultAction(0.0, ActionKind.DATA, ANSWERS[0][:9]),
        FaultAction(0.0, ActionKind.END),
    ]


def test_a_half_close_in_the_middle_of_a_thrift_reply_between_real_sockets(tmp_path):
    path = tmp_path / "plan.ini"
    path.write_text("[half]\nkind = half-close\nfield = seqid=2\ninside = 9\n")
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        words = ["--listen", "127.0.0.1:0", "--to", f"127.0.0.1:{port}", "--plan", str(path)]
        command = [sys.executable, "-m", "weldbend", "lab", "fault", *words]
        tool = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        try:
            host, _, listening = json.loads(tool.stdout.readline())["listening"].partition(":")
            for _ in range(2):  # the same on every connection
                with socket.create_connection((host, int(listening)), 20) as client:
                    client.sendall(process(1) + process(2))
                    held, _ = server.accept()
                    held.settimeout(20)
                    asked = b""
                    while len(asked) < len(process(1) + process(2)):
                        asked += held.recv(1 << 16)
                    held.sendall(b"".join(ANSWERS[:3]))
                    assert client.makefile("rb").read() == ANSWERS[0] + ANSWERS[1][:9]
                    client.sendall(process(3))  # the other direction goes on
                    assert held.recv(1 << 16) == process(3)
                    held.close()
            struck = [json.loads(tool.stdout.readline()) for _ in range(2)]
            assert [(s["fault"], s["connection"], s["message"]) for s in struck] == [
                ("half", 1, 2),
                ("half", 2, 2),
            ]
        finally:
            tool.terminate()
            tool.wait(20)
            tool.stdout.close()


def test_the_tool_refuses_what_is_not_loopback_or_no_plan(tmp_path):
    for words, told in [
        (("--listen", "0.0.0.0:1", "--to", "127.0.0.1:2", "--plan", "x"), "no address of loopback"),
        (("--listen", "127.0.0.1:0", "--to", "127.0.0.1:2", "--plan", str(tmp_path)), "cannot be read"),
    ]:
        command = [sys.executable, "-m", "weldbend", "lab", "fault", *words]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert done.returncode == 1 and told in done.stderr and done.stderr.count("\n") == 1
