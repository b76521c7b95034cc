"""The time budget sent to a cache is at most the client's remaining time, wherever the request waited."""

import re

import pytest
from fronts import FrontHarness, process

from weldbend.clients.arrival_times import MAX_MARKS, ArrivalTimes
from weldbend.clients.incoming_calls import READ_SIZE
from weldbend.front.process_pause import ProcessPauseDetector
from weldbend.thrift import messages

SLACK = 0.15  # seconds by which the budget may exceed the client's remaining time; requests here have 6 s


def sent_budget(harness, number):
    """Return the time budget, in seconds, in the first command for a request."""
    lines = [line for line in harness.trace if f"do {number:016x}" in line]
    return int(re.search(r"budget=(\d+)", lines[0])[1]) / 1000


def running_harness():
    """Return a front with a connection to a cache, after its timers ran for 0.5 s, and one of its clients."""
    harness = FrontHarness()
    for _ in range(5):
        harness.advance(0.1)
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"one")
    return harness, client


def block_reading(client):
    """Let a client stop reading, with so many answers unsent that the front pauses reading its calls."""
    client.pauseProducing()
    for seqid in (101, 102):
        client.writer.write(messages.success_reply("process", seqid, bytes(240_000), {}, True))


def pass_time(harness, seconds):
    for _ in range(round(seconds / 0.1)):
        harness.advance(0.1)


def test_requests_buffered_in_the_ring_count_from_when_they_were_read():
    harness, client = running_harness()
    block_reading(client)
    harness.send(client, process(2))  # 3 s before the front takes it from the ring
    pass_time(harness, 2.0)
    harness.send(client, process(3))  # 1 s before
    pass_time(harness, 1.0)
    client.resumeProducing()
    harness.advance()
    assert 2.85 <= sent_budget(harness, 2) <= 3.0 + SLACK
    assert 4.85 <= sent_budget(harness, 3) <= 5.0 + SLACK


def test_requests_left_in_the_socket_count_from_when_reading_was_paused():
    harness, client = running_harness()
    block_reading(client)
    filler = process(2, body=bytes(40_000))
    while not client.is_read_paused:
        harness.send(client, filler)
    pass_time(harness, 2.0)
    # Mark the filler's request 2 as cancelled and drop the buffered filler calls: request 3 is read next.
    client.cancelled_early.add(2)
    client.incoming.clear()
    client.resumeProducing()
    harness.send(client, process(3))
    assert 3.85 <= sent_budget(harness, 3) <= 4.0 + SLACK


def test_after_a_full_read_the_next_read_keeps_the_earlier_arrival_time():
    harness, client = running_harness()
    harness.reactor.rightNow += 1.5  # a pause of the process: the time passes without any timer
    data = process(2, body=bytes(40_000)) + process(3, body=bytes(40_000))
    client.dataReceived(data[:READ_SIZE])  # a full read: more bytes may already have been in the socket
    pass_time(harness, 0.3)
    harness.send(client, data[READ_SIZE:])
    assert 3.9 <= sent_budget(harness, 3) <= 4.2 + SLACK
    harness.send(client, process(4))
    assert sent_budget(harness, 4) == 6.0, "the last read emptied the socket, so the request arrived after it"


@pytest.mark.parametrize("timers_first", [True, False])
def test_requests_that_arrived_during_a_process_pause_count_from_its_start(timers_first):
    harness, client = running_harness()
    harness.reactor.rightNow += 1.5  # a pause of the process: the time passes without any timer
    if timers_first:
        harness.front.gateway._run_maintenance()
    client.dataReceived(process(2))
    harness.advance()
    assert 4.35 <= sent_budget(harness, 2) <= 4.5 + SLACK
    pass_time(harness, 0.3)
    harness.send(client, process(3))
    assert sent_budget(harness, 3) == 6.0, "a request that arrives after the pause has its full time"


def test_a_process_pause_is_detected_between_two_heartbeats():
    """Heartbeats are due every 0.1 s (`HEARTBEAT_INTERVAL`), with a tolerance of 0.02 s."""
    detector = ProcessPauseDetector(10.0)
    assert not detector.record_heartbeat(10.11) and detector.earliest_arrival(10.2) == 10.2
    assert (
        detector.earliest_arrival(10.5) == 10.11
    ), "these bytes are read before the timers have noticed the pause"
    assert detector.record_heartbeat(10.6) and detector.earliest_arrival(10.6) == 10.11
    detector.mark_caught_up()
    assert detector.earliest_arrival(10.6) == 10.6


def test_arrival_times_of_a_bounded_number_of_reads_are_stored_and_later_reads_count_as_the_last_of_them():
    """Each read brings one byte; there are twice as many reads as can be stored (`MAX_MARKS`)."""
    times = ArrivalTimes()
    for number in range(2 * MAX_MARKS):
        times.add(1, float(number))
    assert [times.take(1) for _ in range(3)] == [0.0, 1.0, 2.0]
    assert times.take(2 * MAX_MARKS - 3) == MAX_MARKS - 1
    times.forget_incomplete()
    times.add(5, 200.0)  # bytes that arrive after all others were taken have their own time
    assert times.take(5) == 200.0
