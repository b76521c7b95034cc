"""Parsers: results do not depend on how input is split, lengths are bounded, invalid bytes give an error."""

import random
import struct
import sys
from contextlib import suppress

import pytest
from fronts import KEY, give_up, message, probe, process

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol import answers
from weldbend.event_bus import sse
from weldbend.event_bus.errors import InvalidEventError, InvalidStreamError
from weldbend.event_bus.events import EndpointListUpdate, Purge, read_event
from weldbend.thrift import binary, framing, messages
from weldbend.thrift.errors import InvalidFrameError, InvalidMessageError

CALLS = process(1, b"abc", got="4be0c1927d55a6f3") + give_up(1) + probe(2) + process(3)
ANSWERS = (
    b"a1 DONE ver=ab,born=17,detail=h 4\r\n\r\nx\n\r\na2 LACK - 0\r\n\r\na3 KEEP use=util:0.5;x1:2 0\r\n\r\n"
)
STREAM = (
    b"id: 41\ndata: one\n\n: still here\n\nid: 42\r\ndata: two\r\ndata: lines\r\n\r\nid: 43\n\ndata:x\n\n"
)


def read_calls(chunks):
    """Return the calls read from chunks of a client's bytes, and the number of bytes left unread."""
    ring, calls = Ring(1 << 16), []
    for chunk in chunks:
        ring.write(chunk)
        while (data := framing.next_frame(ring, 1 << 15)) is not None:
            calls.append(messages.read_call(data))
    return calls, len(ring)


def read_answers(chunks):
    """Return the answers read from chunks of a cache's bytes, and the number of bytes left unread."""
    ring = Ring(1 << 16)
    parser, read = answers.AnswerParser(ring), []
    for chunk in chunks:
        ring.write(chunk)
        while answer := parser.next():
            read.append(answer)
    return read, len(ring)


def read_stream(chunks):
    """Return the messages read from chunks of the bus's stream, and 0: what is left unread is not counted."""
    parser = sse.Parser(1 << 10)
    return [message for chunk in chunks for message in parser.feed(chunk)], 0


@pytest.mark.parametrize(
    ("read", "data", "count"),
    [(read_calls, CALLS, 4), (read_answers, ANSWERS, 3), (read_stream, STREAM, 3)],
)
def test_any_split_of_the_input_gives_the_same_messages(read, data, count):
    whole, unread = read([data])
    assert len(whole) == count and not unread
    for split in range(1, len(data)):
        assert read([data[:split], data[split:]]) == (whole, 0), split
    assert read([data[split : split + 1] for split in range(len(data))]) == (whole, 0)


def test_messages_are_read_with_their_fields():
    (first, give_up_call, probe_call, _), _ = read_calls([CALLS])
    assert (first.seqid, first.body, first.fields["key"], first.fields["got"]) == (
        1,
        b"abc",
        KEY,
        "4be0c1927d55a6f3",
    )
    assert (give_up_call, probe_call) == (messages.GiveUp(1), messages.Probe(2))
    # The third answer, KEEP, means that the copy that the client has is current.
    (done, miss, current), _ = read_answers([ANSWERS])
    assert (done.name, done.fields, done.body) == (
        "a1",
        {"ver": "ab", "born": "17", "detail": "h"},
        b"\r\nx\n",
    )
    assert (miss.status, miss.fields, current.fields) == ("LACK", {}, {"use": "util:0.5;x1:2"})
    assert read_stream([STREAM])[0] == [("41", "one"), ("42", "two\nlines"), ("43", "x")]


@pytest.mark.parametrize(
    "line",
    [
        b"a1 DONE - 240001\r\n",  # one byte more than the longest body
        b"a1 DONE - -1\r\n",
        b"a1 WHAT - 0\r\n\r\n",
        b"a1 DONE 0\r\n",
        b"a1 DONE novalue 0\r\n\r\n",
        b"a1 DONE - 2\r\nabcd",
        b"\xff\xfe DONE - 0\r\n",
        b"x" * (answers.LONGEST_LINE + 1),  # no line end within the longest line
    ],
)
def test_a_malformed_answer_is_an_error(line):
    with pytest.raises(answers.InvalidAnswerError):
        read_answers([line])


def test_invalid_frames_and_messages_are_errors():
    for length in (0, -1, 1 << 15 | 1, 2**31 - 1):  # `read_calls` allows up to 1 << 15
        with pytest.raises(InvalidFrameError):
            read_calls([struct.pack(">i", length)])
    valid = process(1)[4:]
    invalid = {
        "old version": b"\x00" + valid[1:],
        "name too long": valid[:4] + struct.pack(">i", 1 << 30) + valid[8:],
        "truncated header": valid[:10],
        "truncated oneway call": give_up(1)[4:-4],
    }
    for data in invalid.values():
        with pytest.raises(InvalidMessageError):
            messages.read_call(data)


def test_an_invalid_call_with_a_readable_header_gives_its_seqid_and_the_problem():
    # 40 levels are more than binary.MAX_DEPTH (16). No frame has room for 1 << 30 elements of a map, here one
    # whose keys and values are strings (type 11).
    deep_nesting = b"".join(binary.field(binary.STRUCT, 1, b"") for _ in range(40)) + b"\x00" * 41
    many_elements = binary.field(binary.MAP, 1, bytes((11, 11)) + struct.pack(">i", 1 << 30))
    calls = {
        "unknown method 'fetch'": message(binary.CALL, "fetch", 7),
        "message kind 4": message(binary.ONEWAY, "process", 7),
        "process without fields": message(binary.CALL, "process", 7),
        "nested too deep": message(binary.CALL, "process", 7, deep_nesting),
        f"{1 << 30} elements": message(binary.CALL, "process", 7, many_elements),
        # Thrift type 8 is an integer, 11 a string; the fields of a request are a map of strings to strings.
        "a map of kinds (8, 11)": message(
            binary.CALL, "process", 7, binary.field(binary.MAP, 1, bytes((8, 11)) + b"\0\0\0\1" + b"\0" * 8)
        ),
        "1 bytes after the message": framing.frame(message(binary.CALL, "probe", 7)[4:] + b"x"),
    }
    for reason, call in calls.items():
        invalid_call = messages.read_call(call[4:])
        assert (invalid_call.seqid, invalid_call.reason) == (7, reason)


def call_count(function, *arguments):
    """Return how many functions and methods, also built-in ones, a call of `function` calls in all."""
    count = 0

    def profile(_, event, __):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        function(*arguments)
    finally:
        sys.setprofile(None)
    return count


def container(kind, elements, count, size):
    """Return an unknown field: a container of `count` elements, of which only `size` bytes follow."""
    return bytes((kind, 0, 9)) + bytes(elements) + struct.pack(">i", count) + b"\0" * size


ARGUMENTS = process(7)[4:]
LONGEST = 60_000  # bytes of arguments, a little less than the longest frame


MAX_WORK = 20 * binary.MAX_VALUES  # calls of functions


@pytest.mark.parametrize(
    "extra",
    [
        pytest.param(container(binary.LIST, (binary.STRUCT,), LONGEST, LONGEST - 1), id="truncated list"),
        pytest.param(container(binary.LIST, (binary.STRUCT,), LONGEST, LONGEST), id="list of structs"),
        pytest.param(container(binary.SET, (binary.STRING,), LONGEST // 4, LONGEST), id="set of strings"),
        pytest.param(container(binary.MAP, (binary.STRING, binary.BYTE), LONGEST // 5, LONGEST), id="map"),
        pytest.param(container(binary.MAP, (binary.BOOL, binary.STRUCT), LONGEST // 2, LONGEST), id="map 2"),
        pytest.param(container(binary.LIST, (binary.LIST,), LONGEST // 5, LONGEST), id="list of lists"),
        pytest.param(binary.field(binary.BOOL, 9, b"\1") * (LONGEST // 4), id="fields"),
        pytest.param(binary.field(binary.STRUCT, 9, b"\0") * (LONGEST // 4), id="fields of empty structs"),
    ],
)
def test_the_work_to_decode_a_call_is_bounded_whatever_its_shape(extra):
    """Skipping 60 kB of empty structs took 50 ms, so a hundred clients stopped a front for seconds."""
    call = ARGUMENTS[:-1] + extra + b"\0"
    assert isinstance(messages.read_call(call), messages.InvalidCall)
    assert call_count(messages.read_call, call) < MAX_WORK


def test_the_work_to_decode_the_fields_of_a_request_is_bounded_as_well():
    """A client sent requests with thousands of short fields."""
    many = {f"{number:04x}": "" for number in range(LONGEST // 12)}
    call = process(7, **many)[4:]
    assert messages.read_call(call).reason == f"more than {binary.MAX_VALUES} values"
    assert call_count(messages.read_call, call) < MAX_WORK


@pytest.mark.parametrize(
    "extra",
    [
        pytest.param(container(binary.LIST, (binary.I64,), LONGEST // 8, LONGEST), id="numbers"),
        pytest.param(container(binary.MAP, (binary.I32, binary.I32), LONGEST // 8, LONGEST), id="map"),
        pytest.param(container(binary.LIST, (binary.STRING,), 10, 40), id="strings"),
        pytest.param(binary.field(binary.STRUCT, 9, binary.field(binary.BYTE, 1, b"x") + b"\0"), id="struct"),
    ],
)
def test_unknown_fields_of_a_moderate_number_of_values_are_skipped(extra):
    call = ARGUMENTS[:-1] + extra + b"\0"
    assert messages.read_call(call) == messages.read_call(ARGUMENTS)
    assert call_count(messages.read_call, call) < MAX_WORK


def test_valid_input_with_random_bytes_changed_raises_only_the_errors_of_invalid_input():
    rng = random.Random(5)
    for _ in range(3000):
        data = bytearray(process(1, b"abc")[4:])
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        with suppress(InvalidMessageError):
            messages.read_call(bytes(data))
        line = bytearray(ANSWERS)
        line[rng.randrange(len(line))] = rng.randrange(256)
        with suppress(answers.InvalidAnswerError):
            read_answers([bytes(line)])


@pytest.mark.parametrize("line_ending", [b"\n", b"\r\n", b"\r"])
def test_stream_lines_may_end_in_any_line_ending_of_the_specification(line_ending):
    """A stream whose lines end in CR alone was never read, and its comments kept the connection open."""
    data = STREAM.replace(b"\r\n", b"\n").replace(b"\n", line_ending)
    messages, _ = read_stream([STREAM])
    for split in range(len(data)):
        assert read_stream([data[:split], data[split:]]) == (messages, 0), split
    assert read_stream([data[split : split + 1] for split in range(len(data))]) == (messages, 0)


def test_overlong_stream_lines_and_events_are_errors():
    # `read_stream` limits lines and events to 1 << 10 bytes: one line of 2006, and 60 lines of 30 bytes each.
    for data in (b"data: " + b"x" * 2000, b"data: xxxxxxxxxxxxxxxxxxxxxxxx\n" * 60):
        with pytest.raises(InvalidStreamError):
            read_stream([data])


def test_bus_events_are_read_and_validated():
    valid_record = {
        "uid": "s-1",
        "endpoint": "127.0.0.1:7",
        "az": "z",
        "model": "box",
        "state": "up",
        "capacity_hint": 4,
    }
    text = str({"offset": 4, "topology": {"rev": 1, "all": False, "targets": [valid_record]}}).replace(
        "'", '"'
    )
    read = read_event(text.replace("False", "true"))
    assert (
        isinstance(read.event, EndpointListUpdate)
        and read.event.is_complete
        and read.event.records[0].port == 7
    )
    assert read_event('{"offset":5,"ban":{"url":"ab","ts":1500}}').event == Purge("ab", 0, 1.5)
    assert read_event('{"offset":6,"ban":{"tag":17,"ts":1500}}').event == Purge(None, 17, 1.5)
    purge_with_nan = '{"offset":7,"ban":{"tag":17,"ts":NaN}}'
    for invalid in (
        purge_with_nan,
        "{",
        "[]",
        "7",
        '{"offset":"x"}',
        '{"offset":1}',
        '{"offset":1,"ban":{"ts":1}}',
        "[" * 9999,  # nested deeper than the JSON parser can recurse
    ):
        with pytest.raises(InvalidEventError):
            read_event(invalid)
    violations = (
        {"endpoint": "127.0.0.1:99999"},
        {"endpoint": "cache.example:7"},
        {"capacity_hint": -1},
        {"uid": "a b,c=d"},
        {"state": "new"},
    )
    for violation in violations:  # an invalid record does not affect the others
        invalid = valid_record | violation
        raw = str(
            {"offset": 4, "topology": {"rev": 1, "all": 0, "targets": [invalid, valid_record]}}
        ).replace("'", '"')
        assert [record.port for record in read_event(raw).event.records] == [7]


def test_the_ring_behaves_like_plain_bytes():
    rng, ring, expected = random.Random(3), Ring(10_000), b""
    for _ in range(4000):
        if rng.random() < 0.5:
            data = rng.randbytes(rng.randrange(3000))
            written = ring.write(data)
            expected += data[:written]
            assert written == len(data) or ring.free() == 0
        else:
            count = rng.randrange(len(expected) + 1)
            assert ring.read(count) == expected[:count]
            expected = expected[count:]
        # The search ends at offset 9000, short of the ring's capacity of 10,000 bytes.
        start = rng.randrange(len(expected) + 1)
        assert len(ring) == len(expected) and ring.find(b"\n\r", start, 9000) == expected[:9000].find(
            b"\n\r", start
        )


def test_a_search_of_a_ring_whose_content_wraps_around_copies_only_the_bytes_at_the_wrap(monkeypatch):
    """Each search copied all of the rest, so many short lines took time in proportion to their square."""
    copied = 0
    peek = Ring.peek

    def counting_peek(ring, count, start=0):
        nonlocal copied
        copied += count
        return peek(ring, count, start)

    ring = Ring(1 << 16, 1 << 16)
    ring.write(b"x" * (1 << 16))
    ring.skip(1 << 15)
    ring.write(b"data\n" * 6000)
    ring.skip(1 << 14)
    monkeypatch.setattr(Ring, "peek", counting_peek)
    offsets = []
    while (end := ring.find(b"\n", 0, len(ring))) >= 0:
        offsets.append(end)
        ring.skip(end + 1)
    assert offsets == [(1 << 14) + 4] + [4] * 5999
    assert copied <= 6000
