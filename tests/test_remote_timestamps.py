"""Conversion of other machines' timestamps to the front's clock: the model alone, and in a front.

The last test steps the Unix clock of a front that runs as a process.
"""

import json
import math
import re
import signal
import socket
import subprocess
import sys
import time

import pytest
from fronts import KEY, FrontHarness, configuration, listing, process, target

from weldbend.event_bus.events import parse_event
from weldbend.event_bus.remote_timestamps import (
    MAX_CLOCK_DIFFERENCE,
    MAX_LIVE_DELAY,
    SHORT_OUTAGE,
    Receipt,
    RemoteTimestamps,
    StartInterval,
    receipts_of_known_events,
)
from weldbend.event_bus.stream_progress import CATCH_UP_GAP, FIRST_BYTE_TIMEOUT, StreamProgress
from weldbend.testbed.stepped_clock import STEP_MESSAGE

NOW = 500.0  # monotonic seconds
UNIX = 1_700_000_000.0  # the true Unix time at NOW
HOUR = 3600.0
# Seconds after which an operation on a socket, or the wait for the exit of the front's process, fails.
# Reading the front's log has no limit.
TIMEOUT = 20.0


def timestamps(clock_error=0.0, is_confirmed=False):
    """Return the timestamps of a front whose Unix clock is ahead by `clock_error` seconds."""
    remote_timestamps = RemoteTimestamps()
    remote_timestamps.set_unix_offset(UNIX + clock_error - NOW)
    remote_timestamps.is_confirmed = is_confirmed
    return remote_timestamps


# Receipts of events that arrived at NOW: of a new event, of one missed during an outage that is shorter than
# SHORT_OUTAGE, and of one missed during a longer outage.
LIVE = Receipt(NOW, NOW - 0.7, is_replay=False)
MISSED = Receipt(NOW, NOW - 8.0)
LONG_MISSED = Receipt(NOW, NOW - SHORT_OUTAGE - 50.0)


# Events received live.


def test_a_prompt_timestamp_is_used_exactly():
    age = 0.03125  # exact in binary, so that no sum is rounded
    assert timestamps().estimate_start(UNIX - age, LIVE) == StartInterval(NOW - age, NOW - age)
    assert timestamps().estimate_purge_time(UNIX - age, LIVE) == NOW - age


@pytest.mark.parametrize("clock_error", [-HOUR, -0.2, 0.2, 7.0, HOUR])
@pytest.mark.parametrize("is_confirmed", [False, True])
def test_an_implausible_timestamp_gives_a_cold_cache_and_a_purge_at_its_arrival(clock_error, is_confirmed):
    """The Unix clock of this front was wrong when the front read it, or the other machine's clock is wrong.

    The latest possible start of the cache is then the arrival of the event, so that the cache counts as cold.
    The time of the purge is the arrival of the event too.
    """
    remote_timestamps = timestamps(clock_error, is_confirmed)
    assert remote_timestamps.estimate_purge_time(UNIX, LIVE) == NOW
    interval = remote_timestamps.estimate_start(UNIX, LIVE)
    assert interval.latest == NOW and interval.earliest <= NOW


def test_an_event_dated_before_the_last_catch_up_or_in_the_future_counts_as_a_start_at_its_arrival():
    # One start is dated 5 s before the arrival, but by LIVE, the front had received all events 0.7 s
    # before it. The other is dated 9 s after the arrival.
    interval = timestamps(is_confirmed=True).estimate_start(UNIX - 5.0, LIVE)
    assert interval == StartInterval(NOW - 5.0, NOW)
    assert timestamps(is_confirmed=True).estimate_start(UNIX + 9.0, LIVE) == StartInterval(
        LIVE.caught_up_at, NOW
    )


# Events missed during an outage.


def test_a_missed_start_is_dated_by_its_timestamp_once_the_clock_is_confirmed():
    assert timestamps(is_confirmed=True).estimate_start(UNIX - 3.0, MISSED).latest == NOW - 3.0
    assert timestamps().estimate_start(UNIX - 3.0, MISSED).latest == NOW
    assert (
        timestamps(is_confirmed=True).estimate_start(UNIX - 9.0, MISSED).latest == NOW
    ), "the outage began 8 s ago; a start 9 s ago would have been received before it"


def test_a_missed_purge_counts_from_its_arrival_except_after_a_long_outage():
    confirmed = timestamps(is_confirmed=True)
    assert confirmed.estimate_purge_time(UNIX - 3.0, MISSED) == NOW
    assert confirmed.estimate_purge_time(UNIX - 30.0, LONG_MISSED) == NOW - 30.0
    assert (
        confirmed.estimate_purge_time(UNIX - HOUR, LONG_MISSED) == NOW
    ), "a purge missed during the outage cannot be older than the outage"
    assert timestamps().estimate_purge_time(UNIX - 30.0, LONG_MISSED) == NOW


# Events of the first read.


def receipts_of(*aged_events):
    """Return the receipts of starts and purges that have these ages in seconds, in the order of the bus."""
    events = [
        {"offset": n, "ban": {"tag": n, "ts": (UNIX - age) * 1000}}
        if kind == "purge"
        else listing(n, target(f"e{n}", boot=(UNIX - age) * 1000))
        for n, (kind, age) in enumerate(aged_events, 1)
    ]
    return receipts_of_known_events([parse_event(event) for event in events], NOW)


def test_the_first_read_uses_the_lower_of_two_estimated_ages():
    """One age is from this front's clock, the other from the latest timestamp of the same kind.

    The kinds are starts and purges. The latest is that of the event itself and the events read after it.
    The start of 100 s ago is at least 100 - 4 = 96 s old, because a start of 4 s ago was published after it.
    """
    first, second, third = receipts_of(("start", 100.0), ("purge", 60.0), ("start", 4.0))
    accurate = timestamps()
    assert accurate.estimate_start(UNIX - 100.0, first).latest == pytest.approx(NOW - 96.0)
    assert (
        accurate.estimate_start(UNIX - 4.0, third).latest == NOW
    ), "no later start is known, so the second age is 0 and the cache counts as cold"
    assert accurate.estimate_purge_time(UNIX - 60.0, second) == NOW
    fast = timestamps(HOUR)
    assert fast.estimate_start(UNIX - 100.0, first).latest == pytest.approx(NOW - 96.0)
    slow = timestamps(-HOUR)
    assert slow.estimate_start(UNIX - 100.0, first).latest == NOW
    # A clock of another machine was set back: the timestamp published last is an hour older.
    stepped_back = receipts_of(("start", 10.0), ("start", HOUR))[1]
    assert (
        accurate.estimate_start(UNIX - HOUR, stepped_back).latest == NOW
    ), "no later start is known, and an old timestamp alone proves no age"


def test_the_first_read_uses_start_timestamps_once_the_clock_is_confirmed():
    receipt = receipts_of(("start", 100.0))[0]
    assert (
        timestamps(is_confirmed=True).estimate_purge_time(UNIX - 5.0, Receipt(NOW)) == NOW
    ), "a purge counts from its arrival even so: the other machine's clock may have been stepped"
    assert timestamps(is_confirmed=True).estimate_start(UNIX - 100.0, receipt).latest == NOW - 100.0


@pytest.mark.parametrize("clock_error", [-HOUR, -1.0, 1.0, HOUR])
def test_a_wrong_clock_is_not_confirmed_by_fresh_timestamps_nor_a_fast_one_by_old_timestamps(clock_error):
    """A fast clock, one that is ahead, differs even more from an old timestamp than from a fresh one."""
    remote_timestamps = timestamps(clock_error)
    assert not remote_timestamps.confirm(UNIX, NOW)
    if clock_error > 0:
        assert not any(remote_timestamps.confirm(UNIX - age, NOW) for age in (0.1, 1.0, HOUR, 2 * HOUR))
    assert not remote_timestamps.is_confirmed


def test_a_right_clock_is_confirmed_once():
    remote_timestamps = timestamps(MAX_CLOCK_DIFFERENCE / 2)
    assert (
        remote_timestamps.confirm(UNIX, NOW)
        and remote_timestamps.is_confirmed
        and not remote_timestamps.confirm(UNIX, NOW)
    )


# Whether the stream is live.


def test_a_stream_is_live_after_a_quiet_period_until_its_connection_is_lost_or_silent_for_too_long():
    progress = StreamProgress()
    progress.connecting()
    progress.connected(0.9)
    progress.received(1.0)
    assert progress.receipt(1.0) == Receipt(1.0, -math.inf)
    progress.received(1.0 + CATCH_UP_GAP / 2)
    assert progress.receipt(1.1).is_first_read, "the stream still sends missed events"
    progress.received(2.0)
    assert progress.receipt(2.0) == Receipt(2.0, 1.0 + CATCH_UP_GAP / 2, is_replay=False)
    progress.connecting()
    progress.connecting()  # the first attempt to reconnect failed
    progress.received(7.0)
    assert progress.receipt(7.0) == Receipt(
        7.0, 2.0
    ), "the event may be any published after 2.0, when the lost connection last received bytes"
    progress.received(8.0)
    assert progress.receipt(8.0) == Receipt(8.0, 7.0, is_replay=False)
    progress.received(13.0)
    assert progress.receipt(
        13.0
    ).is_replay, "5 s without a byte: the event may have been delayed on the way or by a process pause"


def test_a_stream_whose_first_event_comes_long_after_its_response_had_no_backlog():
    progress = StreamProgress()
    progress.connecting()
    progress.connected(1.0)
    progress.received(1.0 + FIRST_BYTE_TIMEOUT)
    assert progress.receipt(1.6) == Receipt(1.6, 1.0, is_replay=False)


# A whole front in memory.


class UnconfirmedFrontHarness(FrontHarness):
    """A front that has read its first endpoint list, and whose Unix clock no other machine's has confirmed.

    The list has a cache `e9` that started `age` seconds before the list was read. The method `age` returns
    how long ago the cache started as far as the front knows.
    """

    def __init__(self, age):
        super().__init__()
        self.front.context.timestamps.is_confirmed = False
        start = (self.unix() - age) * 1000
        self.dispatcher.endpoints.handle(
            parse_event(listing(2, target("e9", boot=start))), Receipt(self.front.clock.now())
        )
        self.advance()

    def age(self):
        cache = self.dispatcher.router.context.caches[self.dispatcher.names.number("e9")]
        return self.front.clock.now() - cache.started


def test_a_cache_of_the_first_list_is_cold_until_a_copy_confirms_the_clock():
    harness = UnconfirmedFrontHarness(100.0)
    assert harness.age() == pytest.approx(0.0)
    # The creation time of a copy, in ms, does not confirm the clock if it is malformed or an hour old.
    harness.dispatcher.endpoints.observe_copy("x")
    harness.dispatcher.endpoints.observe_copy(str(int((harness.unix() - HOUR) * 1000)))
    harness.advance()
    assert harness.age() == pytest.approx(0.0)
    harness.dispatcher.endpoints.observe_copy(str(int((harness.unix() - 0.1) * 1000)))
    harness.advance()
    assert harness.age() == pytest.approx(100.0)


def test_a_warming_cache_is_redated_only_before_much_work_was_sent_to_it():
    # A copy confirms the clock `wait` seconds after the list with the cache's start arrived. Within 0.5 s,
    # the first quarter (`EARLY_FRACTION`) of the overload window of 2 s, this front can have sent little, and
    # the start is dated back by its 3 s (age 3 + 0.2); after 1 s it stays at the arrival of the list (age 1).
    for wait, age in ((0.2, 3.2), (1.0, 1.0)):
        harness = UnconfirmedFrontHarness(3.0)
        harness.advance(wait)
        harness.dispatcher.endpoints.observe_copy(str(int(harness.unix() * 1000)))
        harness.advance()
        assert harness.age() == pytest.approx(age), wait


# A real process.


def accept(server):
    connection = server.accept()[0]
    connection.settimeout(TIMEOUT)
    return connection


def serve_and_read_age_limit(cache):
    """Answer the cache's next request with a new copy; return the age limit in the request in ms, or None."""
    line = cache.readline()
    name = line.split()[1]
    assert cache.readline() == b"\r\n"
    age_limit = re.search(rb"oldest=([\d.]+)", line)
    cache.write(b"%b DONE born=%d,ver=1 2\r\nok\r\n" % (name, int(time.time() * 1000)))
    cache.flush()
    return float(age_limit[1]) if age_limit else None


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_purge_after_a_clock_step_of_the_front_limits_the_age_of_copies(tmp_path, step):
    with socket.create_server(("127.0.0.1", 0)) as cache, socket.create_server(("127.0.0.1", 0)) as bus:
        with socket.create_server(("127.0.0.1", 0)) as unused:  # finds a free port for the front
            address = unused.getsockname()
        path = tmp_path / "front.json"
        site = configuration(
            targets=(target("e1", port=cache.getsockname()[1]) | {"capacity_hint": 1000},),
            listen=f"127.0.0.1:{address[1]}",
            bus=f"127.0.0.1:{bus.getsockname()[1]}",
        )
        path.write_text(site)
        command = [sys.executable, "-m", "weldbend.testbed.stepped_clock", str(step)]
        front = subprocess.Popen(
            [*command, "serve", "--config", str(path)], stderr=subprocess.PIPE, text=True
        )
        try:
            cache.settimeout(TIMEOUT)
            bus.settimeout(TIMEOUT)
            stream = accept(bus)
            stream.recv(4096)
            stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n")
            assert any("serves on" in line for line in front.stderr)
            with socket.create_connection(address, TIMEOUT) as client:
                client.sendall(process(1))
                requests = accept(cache).makefile("rwb")
                assert serve_and_read_age_limit(requests) is None
                front.send_signal(signal.SIGUSR1)  # steps the front's Unix clock
                assert any(STEP_MESSAGE in line for line in front.stderr)
                event = {"offset": 99, "ban": {"url": KEY, "ts": int(time.time() * 1000)}}
                published = time.monotonic()
                stream.sendall(b": here\nid: 99\ndata: %b\n\n" % json.dumps(event).encode())
                limit = None
                number = 1
                # The event may arrive after a request sent later, since they use different connections;
                # repeat until it has taken effect.
                while limit is None:
                    number += 1
                    client.sendall(process(number))
                    limit = serve_and_read_age_limit(requests)
                assert 0 < limit <= (time.monotonic() - published + MAX_LIVE_DELAY) * 1000
        finally:
            front.kill()
            front.wait(TIMEOUT)
            front.stderr.close()
