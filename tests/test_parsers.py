"""Parsers: the same whatever the split, bounded, and never more than an error for bad bytes."""

import random
import struct
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
    ring, found = Ring(1 << 16), []
    for chunk in chunks:
        ring.write(chunk)
        while (data := framing.next_frame(ring, 1 << 15)) is not None:
            found.append(messages.read_call(data))
    return found, len(ring)


def read_answers(chunks):
    ring = Ring(1 << 16)
    parser, found = answers.AnswerParser(ring), []
    for chunk in chunks:
        ring.write(chunk)
        while answer := parser.next():
            found.append(answer)
    return found, len(ring)


def read_stream(chunks):
    parser = sse.Parser(1 << 10)
    return [message for chunk in chunks for message in parser.feed(chunk)], 0


@pytest.mark.parametrize(
    ("read", "data", "count"),
    [(read_calls, CALLS, 4), (read_answers, ANSWERS, 3), (read_stream, STREAM, 3)],
)
def test_every_split_reads_the_same(read, data, count):
    whole, left = read([data])
    assert len(whole) == count and not left
    for at in range(1, len(data)):
        assert read([data[:at], data[at:]]) == (whole, 0), at
    assert read([data[at : at + 1] for at in range(len(data))]) == (whole, 0)


def test_what_is_read():
    (first, left, live, _), _ = read_calls([CALLS])
    assert (first.seqid, first.body, first.fields["key"], first.fields["got"]) == (
        1,
        b"abc",
        KEY,
        "4be0c1927d55a6f3",
    )
    assert (left, live) == (messages.GiveUp(1), messages.Probe(2))
    (done, lack, keep), _ = read_answers([ANSWERS])
    assert (done.name, done.fields, done.body) == (
        "a1",
        {"ver": "ab", "born": "17", "detail": "h"},
        b"\r\nx\n",
    )
    assert (lack.status, lack.fields, keep.fields) == ("LACK", {}, {"use": "util:0.5;x1:2"})
    assert read_stream([STREAM])[0] == [("41", "one"), ("42", "two\nlines"), ("43", "x")]


@pytest.mark.parametrize(
    "line",
    [
        b"a1 DONE - 240001\r\n",
        b"a1 DONE - -1\r\n",
        b"a1 WHAT - 0\r\n\r\n",
        b"a1 DONE 0\r\n",
        b"a1 DONE novalue 0\r\n\r\n",
        b"a1 DONE - 2\r\nabcd",
        b"\xff\xfe DONE - 0\r\n",
        b"x" * (answers.LONGEST_LINE + 1),
    ],
)
def test_no_answer(line):
    with pytest.raises(answers.InvalidAnswerError):
        read_answers([line])


def test_no_frame_and_no_message():
    for length in (0, -1, 1 << 15 | 1, 2**31 - 1):
        with pytest.raises(InvalidFrameError):
            read_calls([struct.pack(">i", length)])
    good = process(1)[4:]
    wrong = {
        "old version": b"\x00" + good[1:],
        "name too long": good[:4] + struct.pack(">i", 1 << 30) + good[8:],
        "cut in its head": good[:10],
        "a oneway that is cut": give_up(1)[4:-4],
    }
    for data in wrong.values():
        with pytest.raises(InvalidMessageError):
            messages.read_call(data)


def test_calls_that_can_be_answered_though_wrong():
    deep = b"".join(binary.field(binary.STRUCT, 1, b"") for _ in range(40)) + b"\x00" * 41
    many = binary.field(binary.MAP, 1, bytes((11, 11)) + struct.pack(">i", 1 << 30))
    calls = {
        "unknown method 'fetch'": message(binary.CALL, "fetch", 7),
        "message kind 4": message(binary.ONEWAY, "process", 7),
        "process without fields": message(binary.CALL, "process", 7),
        "nested too deep": message(binary.CALL, "process", 7, deep),
        f"{1 << 30} elements": message(binary.CALL, "process", 7, many),
        "a map of kinds (8, 11)": message(
            binary.CALL, "process", 7, binary.field(binary.MAP, 1, bytes((8, 11)) + b"\0\0\0\1" + b"\0" * 8)
        ),
        "1 bytes after the message": framing.frame(message(binary.CALL, "probe", 7)[4:] + b"x"),
    }
    for why, call in calls.items():
        read = messages.read_call(call[4:])
        assert (read.seqid, read.reason) == (7, why)


def test_random_bytes_are_errors_at_most():
    chance = random.Random(5)
    for _ in range(3000):
        data = bytearray(process(1, b"abc")[4:])
        for _ in range(chance.randrange(1, 4)):
            data[chance.randrange(len(data))] = chance.randrange(256)
        with suppress(InvalidMessageError):
            messages.read_call(bytes(data))
        line = bytearray(ANSWERS)
        line[chance.randrange(len(line))] = chance.randrange(256)
        with suppress(answers.InvalidAnswerError):
            read_answers([bytes(line)])


def test_stream_is_bounded():
    for data in (b"data: " + b"x" * 2000, b"data: xxxxxxxxxxxxxxxxxxxxxxxx\n" * 60):
        with pytest.raises(InvalidStreamError):
            read_stream([data])


def test_events():
    held = {
        "uid": "s-1",
        "endpoint": "127.0.0.1:7",
        "az": "z",
        "model": "box",
        "state": "up",
        "capacity_hint": 4,
    }
    text = str({"offset": 4, "topology": {"rev": 1, "all": False, "targets": [held]}}).replace("'", '"')
    read = read_event(text.replace("False", "true"))
    assert (
        isinstance(read.event, EndpointListUpdate)
        and read.event.is_complete
        and read.event.records[0].port == 7
    )
    assert read_event('{"offset":5,"ban":{"url":"ab","ts":1500}}').event == Purge("ab", 0, 1.5)
    assert read_event('{"offset":6,"ban":{"tag":17,"ts":1500}}').event == Purge(None, 17, 1.5)
    nan = '{"offset":7,"ban":{"tag":17,"ts":NaN}}'
    for bad in (
        nan,
        "{",
        "[]",
        "7",
        '{"offset":"x"}',
        '{"offset":1}',
        '{"offset":1,"ban":{"ts":1}}',
        "[" * 9999,
    ):
        with pytest.raises(InvalidEventError):
            read_event(bad)
    violations = (
        {"endpoint": "127.0.0.1:99999"},
        {"endpoint": "cache.example:7"},
        {"capacity_hint": -1},
        {"uid": "a b,c=d"},
        {"state": "new"},
    )
    for wrong in violations:  # one bad entry hides no other
        bad = held | wrong
        raw = str({"offset": 4, "topology": {"rev": 1, "all": 0, "targets": [bad, held]}}).replace("'", '"')
        assert [record.port for record in read_event(raw).event.records] == [7]


def test_ring_against_a_plain_list_of_bytes():
    chance, ring, plain = random.Random(3), Ring(10_000), b""
    for _ in range(4000):
        if chance.random() < 0.5:
            data = chance.randbytes(chance.randrange(3000))
            taken = ring.write(data)
            plain += data[:taken]
            assert taken == len(data) or ring.free() == 0
        else:
            count = chance.randrange(len(plain) + 1)
            assert ring.read(count) == plain[:count]
            plain = plain[count:]
        start = chance.randrange(len(plain) + 1)
        assert len(ring) == len(plain) and ring.find(b"\n\r", start, 9000) == plain[:9000].find(
            b"\n\r", start
        )
