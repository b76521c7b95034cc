"""The fault injector: validation of plans, effect and trigger of each fault, and injection between sockets.

The injected faults must depend on the plan and the seed alone, not on how the bytes arrive.
"""

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

ANSWERS = [messages.success_reply("process", n, b"%d" % n * 50, {}, True) for n in range(1, 6)]


def injector(seed=1, framing="thrift", **faults):
    """Return an injector; `faults` maps the name of each fault of the plan to the fault's fields."""
    return Injector(parse_plan({name: fields for name, fields in faults.items()}, framing), seed)


def play(fault_injector, pieces, direction=Direction.TO_CLIENT, now=0.0):
    """Return the actions for the bytes of one connection, received in `pieces`, up to its end."""
    stream = fault_injector.stream(1, direction, 0.0)
    fault_actions = [fault_action for piece in pieces for fault_action in stream.feed(now, piece)]
    return fault_actions + stream.end(now)


def joined(fault_actions):
    """Return all bytes that the actions pass on."""
    return b"".join(fault_action.data for fault_action in fault_actions)


@pytest.mark.parametrize(
    ("plan", "message"),
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
def test_an_invalid_plan_is_reported_with_its_section_and_key(plan, message):
    with pytest.raises(InvalidPlanError) as raised:
        parse_plan(plan, "thrift")
    assert message in str(raised.value)


def test_faults_that_require_messages_are_rejected_where_the_framing_has_none(tmp_path):
    # The direction `there`, to the event bus, is not divided into messages by the framing sse.
    with pytest.raises(InvalidPlanError, match="requires messages, but direction there is raw bytes"):
        parse_plan({"f": {"kind": "drop", "direction": "there"}}, "sse")
    path = tmp_path / "plan.ini"
    path.write_text("[one]\nkind = cut\nmessage = 2\n[two]\nkind = stall\nfor = 1 s\nfield = word=DONE\n")
    assert [fault.name for fault in read_plan(str(path), "lines").faults] == ["one", "two"]
    with pytest.raises(InvalidPlanError, match="cannot be read"):
        read_plan(str(tmp_path / "none"), "raw")


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from(["drop", "duplicate", "reorder", "corrupt", "cut", "delay"]))
def test_the_same_seed_injects_the_same_faults_for_any_split_of_the_bytes(seed, kind):
    rng, results = random.Random(seed), []
    fault = {"kind": kind, "chance": "0.4"} | ({"for": "10 ms"} if kind == "delay" else {})
    for _ in range(2):  # two different divisions of the same bytes
        fault_injector, data, pieces = injector(seed, x=fault), b"".join(ANSWERS), []
        while data:
            length = rng.randint(1, len(data))
            pieces.append(data[:length])
            data = data[length:]
        fault_actions = play(fault_injector, pieces)
        results.append(
            (
                joined(fault_actions),
                fault_injector.injections,
                [
                    fault_action.kind
                    for fault_action in fault_actions
                    if fault_action.kind is not ActionKind.DATA
                ],
            )
        )
    assert results[0] == results[1]


def test_each_kind_of_fault_has_its_documented_effect():
    # Each fault is injected at the second of three messages, except the last, which has no trigger and
    # applies to all.
    first, second, third = ANSWERS[:3]

    def play_fault(**fields):
        """Return the actions with one fault on the second message; `inside` is an offset in that message."""
        return play(injector(x={"message": "2"} | fields), ANSWERS[:3])

    assert joined(play_fault(kind="drop")) == first + third
    assert joined(play_fault(kind="duplicate")) == first + second * 2 + third
    assert joined(play_fault(kind="reorder")) == first + third + second
    corrupted = joined(play_fault(kind="corrupt", inside="9", bytes="2"))
    assert [n for n, (a, b) in enumerate(zip(corrupted, first + second + third, strict=True)) if a != b] == [
        len(first) + 9,
        len(first) + 10,
    ]
    half_closed = [(d.kind, d.data) for d in play_fault(kind="half-close", inside="7")]
    assert half_closed == [(ActionKind.DATA, first), (ActionKind.DATA, second[:7]), (ActionKind.END, b"")]
    assert [d.kind for d in play_fault(kind="cut")] == [ActionKind.DATA, ActionKind.RESET]
    assert play_fault(kind="cut", how="close", inside="3")[-1].kind is ActionKind.CLOSE
    assert joined(play_fault(kind="hang", inside="5")) == first + second[:5]
    assert [d.at for d in play_fault(kind="stall", **{"for": "2 s"}) if d.data] == [0.0, 2.0, 2.0]
    assert [d.at for d in play_fault(kind="delay", **{"for": "1 s"}) if d.data] == [0.0, 1.0, 1.0]
    throttled = play_fault(kind="throttle", rate="1000")
    assert throttled[-1].at == pytest.approx(len(second + third) / 1000) and len(throttled) > 10
    delayed = play(injector(x={"kind": "delay", "growth": "10 ms"}), ANSWERS[:3])
    assert [d.at for d in delayed if d.data] == pytest.approx([0.01, 0.02, 0.03])


def test_faults_are_triggered_by_byte_field_connection_time_and_count():
    data = b"".join(ANSWERS)
    cut_stream = play(injector(framing="raw", x={"kind": "cut", "byte": "100"}), [data[:60], data[60:]])
    assert joined(cut_stream) == data[:100] and cut_stream[-1].kind is ActionKind.RESET
    fault_injector = injector(x={"kind": "drop", "field": "seqid=3"})
    assert joined(play(fault_injector, ANSWERS)) == b"".join(ANSWERS[:2] + ANSWERS[3:])
    assert [(s.message, s.offset) for s in fault_injector.injections] == [(3, len(ANSWERS[0]) * 2)]
    fault_injector = injector(x={"kind": "drop", "connection": "2", "times": "1"})
    assert not [
        d for d in fault_injector.stream(1, Direction.TO_CLIENT, 0.0).feed(0.0, ANSWERS[0]) if not d.data
    ]
    second_stream = fault_injector.stream(2, Direction.TO_CLIENT, 0.0)
    assert not second_stream.feed(0.0, ANSWERS[0]) and second_stream.feed(0.0, ANSWERS[1])
    delayed = injector(x={"kind": "drop", "after": "1 s"}).stream(1, Direction.TO_CLIENT, 0.0)
    assert delayed.feed(0.9, ANSWERS[0]) and not delayed.feed(1.1, ANSWERS[1])


@pytest.mark.parametrize("field", ["seqid", "body"])
def test_a_rewritten_answer_still_parses(field):
    raw = messages.success_reply("process", 7, b"photo" * 9, {"ok304": "1"}, True)
    rewritten = rewrite("thrift", Message(raw, read_thrift(raw)), field, "12")
    answer = client_calls.read_answer(rewritten[4:])
    assert len(rewritten) == 4 + int.from_bytes(rewritten[:4])
    assert (answer.seqid, answer.body) == ((12, b"photo" * 9) if field == "seqid" else (7, b"12"))


@pytest.mark.parametrize("field", ["class", "id", "wait", "key", "nth", "batch", "kb"])
def test_a_call_rewritten_at_any_field_still_parses(field):
    raw = process(3, b"body")
    message = Message(raw, read_thrift(raw))
    assert message.fields["seqid"] == "3" and message.fields["message.name"] == "process"
    for value in ("17", None):
        call = read_call(rewrite("thrift", message, field, value)[4:])
        assert call.fields.get(field) == value and len(call.fields) == (7 if value else 6)
        assert (call.seqid, call.body) == (3, b"body")


def test_rewritten_lines_and_events_still_parse():
    raw = b"00aa DONE ver=x,born=17,use=util:0.5 5\r\nphoto\r\n"
    line_message = Message(raw, read_line(raw))
    for name, value, line in [
        ("id", "00bb", b"00bb DONE ver=x,born=17,use=util:0.5 5\r\nphoto\r\n"),
        ("born", "3", b"00aa DONE ver=x,born=3,use=util:0.5 5\r\nphoto\r\n"),
        ("ver", None, b"00aa DONE born=17,use=util:0.5 5\r\nphoto\r\n"),
        ("use", "util:99", b"00aa DONE ver=x,born=17,use=util:99 5\r\nphoto\r\n"),
        ("length", "2", b"00aa DONE ver=x,born=17,use=util:0.5 2\r\nph\r\n"),
        ("word", "LACK", b"00aa LACK ver=x,born=17,use=util:0.5 5\r\nphoto\r\n"),
    ]:
        assert rewrite("answers", line_message, name, value) == line
    event = b'id: 4\ndata: {"offset": 4, "ban": {"url": "7f", "ts": 9}}\n\n'
    (event_message,) = Splitter("sse").feed(event)
    (event_read,) = EventParser().feed(rewrite("sse", event_message, "data.ban.ts", "1"))
    assert json.loads(event_read.data)["ban"] == {"url": "7f", "ts": 1} and event_read.id == "4"


def test_bytes_that_form_no_message_pass_unchanged():
    for framing in ("thrift", "answers", "commands"):
        data = b"\xff" * 5000
        assert b"".join(m.raw for m in Splitter(framing).feed(data)) == data
    # Whole commands are split at their boundaries.
    parts = [commands.do("a", {"x": "1"}, b"\r\n"), commands.undo("a"), commands.ping("t")]
    assert [m.raw for m in Splitter("commands").feed(b"".join(parts))] == parts
    # An incomplete message is passed on at the end of the stream. The fault, on message 9, is never due.
    stream = injector(x={"kind": "drop", "message": "9"}).stream(1, Direction.TO_CLIENT, 0.0)
    assert stream.feed(0.0, ANSWERS[0][:9]) == []
    assert stream.end(0.0) == [
        FaultAction(0.0, ActionKind.DATA, ANSWERS[0][:9]),
        FaultAction(0.0, ActionKind.END),
    ]


def test_the_tool_half_closes_a_real_connection_in_the_middle_of_a_thrift_reply(tmp_path):
    path = tmp_path / "plan.ini"
    path.write_text("[half]\nkind = half-close\nfield = seqid=2\ninside = 9\n")
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        arguments = ["--listen", "127.0.0.1:0", "--to", f"127.0.0.1:{port}", "--plan", str(path)]
        command = [sys.executable, "-m", "weldbend", "lab", "fault", *arguments]
        tool = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        try:
            host, _, listening = json.loads(tool.stdout.readline())["listening"].partition(":")
            for _ in range(2):  # connections in succession; each gets the same fault
                with socket.create_connection((host, int(listening)), 20) as client:
                    client.sendall(process(1) + process(2))
                    connection, _ = server.accept()
                    connection.settimeout(20)
                    received = b""
                    while len(received) < len(process(1) + process(2)):
                        received += connection.recv(1 << 16)
                    connection.sendall(b"".join(ANSWERS[:3]))
                    assert client.makefile("rb").read() == ANSWERS[0] + ANSWERS[1][:9]
                    client.sendall(process(3))  # the other direction stays open
                    assert connection.recv(1 << 16) == process(3)
                    connection.close()
            injections = [json.loads(tool.stdout.readline()) for _ in range(2)]
            assert [(s["fault"], s["connection"], s["message"]) for s in injections] == [
                ("half", 1, 2),
                ("half", 2, 2),
            ]
        finally:
            tool.terminate()
            tool.wait(20)
            tool.stdout.close()


def test_the_tool_rejects_addresses_outside_loopback_and_unreadable_plans(tmp_path):
    for arguments, message in [
        (("--listen", "0.0.0.0:1", "--to", "127.0.0.1:2", "--plan", "x"), "no address of loopback"),
        (("--listen", "127.0.0.1:0", "--to", "127.0.0.1:2", "--plan", str(tmp_path)), "cannot be read"),
    ]:
        command = [sys.executable, "-m", "weldbend", "lab", "fault", *arguments]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert completed.returncode == 1 and message in completed.stderr and completed.stderr.count("\n") == 1
