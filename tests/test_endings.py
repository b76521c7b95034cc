"""Guards against lost answers and needless attempts when a client, cache, reload or shutdown interferes.

Such faults occur when a close, a cancellation or a signal arrives together with other input. On real sockets,
the tests suspend the front with SIGSTOP while its client or cache acts, so that the front finds all input at
once, or they let a client hold back bytes or read nothing. Each wait is for the effect of the previous step.
"""

import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import pytest
from fronts import KEY, FrontHarness, configuration, give_up, probe, process
from test_process import TIMEOUT, FrontProcess, connect_and_send, read_answer, read_commands, site

from weldbend.caches.stall_detector import STALL_TIMEOUT
from weldbend.front.configuration import read_site
from weldbend.invariants import anomalies

__all__ = ["site"]
LARGE_BODY = b"x" * 200_000


@pytest.fixture
def running_front(site):
    path, address, cache = site
    program = FrontProcess(path)
    yield program, address, cache
    program.kill_and_wait()


@pytest.fixture
def front_with_long_latency_objective(site):
    """A front whose latency objective of 9 s is longer than the deadline of 6 s.

    It therefore sends no second attempt for a slow one and cancels none before the deadline, so an `undo` at
    the cache means that the client cancelled or left.
    """
    path, address, cache = site
    path.write_text(re.sub(r'"goal_time_us": 500000\b', '"goal_time_us": 9000000', path.read_text()))
    program = FrontProcess(path)
    yield program, address, cache
    program.kill_and_wait()


class SuspendedProcess:
    """A context manager that suspends the front's process with SIGSTOP, as an overloaded machine may."""

    def __init__(self, program):
        self.process = program.process

    def __enter__(self):
        self.process.send_signal(signal.SIGSTOP)
        state = Path(f"/proc/{self.process.pid}/stat")
        while state.read_text().rpartition(")")[2].split()[0] != "T":
            time.sleep(0.001)

    def __exit__(self, *_):
        self.process.send_signal(signal.SIGCONT)


def connect(address):
    return socket.create_connection(address, TIMEOUT)


def accept_cache_connection(cache):
    connection = cache.accept()[0]
    connection.settimeout(TIMEOUT)
    return connection, connection.makefile("rb")


def cache_answer(number, body=b"ok"):
    return b"%016x DONE - %d\r\n%b\r\n" % (number, len(body), body)


def open_idle_cache_connection(address, cache):
    """Return a connection of the front to the cache with no attempt in flight, and its stream."""
    with connect_and_send(address, process(90)) as first:
        connection, stream = accept_cache_connection(cache)
        assert read_commands(stream, 1) == [90]
        connection.sendall(cache_answer(90))
        assert read_answer(first) == "90 process: 'ok'"
    return connection, stream


def assert_a_request_is_served(address, connection, stream):
    """Send requests until one reaches the cache; right after a suspension the front may throttle them."""
    for number in range(200, 300):
        with connect_and_send(address, process(number)) as answers:
            if select.select([connection, answers], [], [], TIMEOUT)[0] == [connection]:
                assert read_commands(stream, 1) == [number], "the cache received another request first"
                connection.sendall(cache_answer(number))
                assert read_answer(answers) == f"{number} process: 'ok'"
                return
            assert "throttled" in read_answer(answers)
    raise AssertionError("all requests were throttled")


@pytest.mark.parametrize("departure", ["closes", "resets", "cancels"])
def test_a_client_that_left_while_the_front_was_suspended_causes_no_attempt(running_front, departure):
    """The front reads the request, then the close or cancellation; no attempt may start in between."""
    program, address, cache = running_front
    connection, stream = open_idle_cache_connection(address, cache)
    client = connect(address)
    with SuspendedProcess(program):
        client.sendall(process(1) + (give_up(1) if departure == "cancels" else b""))
        if departure == "resets":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if departure != "cancels":
            client.close()
    assert_a_request_is_served(address, connection, stream)
    for resource in (client, connection, stream):
        resource.close()


def test_a_client_that_left_while_its_request_waited_for_a_connect_causes_no_attempt(running_front):
    """The cache resets the connection that carries the attempt, and the client leaves at the same time.

    The attempt could be repeated once a new connection to the cache is open, but no client waits for it.
    """
    program, address, cache = running_front
    leaving_client = connect(address)
    leaving_client.sendall(process(1))
    connection, stream = accept_cache_connection(cache)
    assert read_commands(stream, 1) == [1]
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with SuspendedProcess(program):
        connection.close()  # with the linger time of 0 s this resets the connection
        stream.close()
        leaving_client.close()
    next_answers = connect_and_send(address, process(2))
    connection, stream = accept_cache_connection(cache)
    # The front may throttle request 2 after its suspension. A command that arrives is not for request 1.
    if select.select([connection], [], [], 1.0)[0]:
        assert read_commands(stream, 1) == [2]
    for resource in (next_answers, connection, stream):
        resource.close()


def connect_slow_reader(address, *frames):
    """Connect a client that reads no answers; these fill its receive buffer, then the front's buffers."""
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.settimeout(TIMEOUT)
    slow.connect(address)
    slow.sendall(b"".join(frames))
    return slow


def deliver_to_front(address, connection, stream, data):
    """Send data from a cache, and wait until the front has read it.

    The answer to one more request, 95, follows the data. Once its client has received that answer, the front
    has read the data.
    """
    with connect_and_send(address, process(95, key=f"{95:016x}")) as other_answers:
        assert read_commands(stream, 1) == [95]
        connection.sendall(data + cache_answer(95))
        assert read_answer(other_answers) == "95 process: 'ok'"


def slow_reader_with_pending_answers(address, cache):
    """Return a client that reads nothing, and the front's connection to the cache with its stream.

    Of the client's 32 open requests, the cache has answered 31, and the front buffers these answers. The last
    one, 50, is in flight.
    """
    slow = connect_slow_reader(address, *(process(n, key=f"{n:016x}") for n in range(1, 32)), process(50))
    connection, stream = accept_cache_connection(cache)
    assert read_commands(stream, 32) == [*range(1, 32), 50]
    connection.sendall(cache_answer(1, LARGE_BODY))  # frees one of the 32 streams for request 95
    deliver_to_front(address, connection, stream, b"".join(cache_answer(n, LARGE_BODY) for n in range(2, 32)))
    return slow, connection, stream


def read_until_undo(stream, number):
    """Return whether the `undo` of this request arrives; other commands may precede it."""
    while line := stream.readline():
        if line == b"undo %016x\r\n" % number:
            return True
    return False


def test_a_cancellation_takes_effect_while_its_client_reads_no_answers(front_with_long_latency_objective):
    _, address, cache = front_with_long_latency_objective
    slow, connection, stream = slow_reader_with_pending_answers(address, cache)
    started_at = time.monotonic()
    slow.sendall(process(51) + give_up(50) + give_up(51))
    assert read_until_undo(stream, 50) and time.monotonic() - started_at < 3.0
    answers = slow.makefile("rb")
    assert {read_answer(answers) for _ in range(31)} == {f"{n} process: '200000 bytes'" for n in range(1, 32)}
    slow.sendall(process(52))
    assert read_commands(stream, 1) == [52]  # request 51 was never sent to the cache
    for resource in (slow, answers, connection, stream):
        resource.close()


def test_a_close_is_detected_while_the_front_does_not_read_from_the_client(front_with_long_latency_objective):
    """While the front buffers answers for a client, it does not read from it.

    The client sends three large calls, and then closes its sending side.
    """
    _, address, cache = front_with_long_latency_objective
    slow, connection, stream = slow_reader_with_pending_answers(address, cache)
    started_at = time.monotonic()
    writes = {"class": "order", "once": "ab"}
    for n in range(60, 63):
        slow.sendall(process(n, b"w" * 47_000, **writes))
    slow.shutdown(socket.SHUT_WR)
    assert read_until_undo(stream, 50) and time.monotonic() - started_at < 3.0
    for resource in (slow, connection, stream):
        resource.close()


def test_closing_a_connection_with_unread_bytes_does_not_reset_answers_in_transit(running_front):
    """A slow reader violates the protocol and is disconnected while an answer is in transit to it.

    If the front closed its socket with bytes unread, the kernel would reset the connection and discard the
    answer.
    """
    _, address, cache = running_front
    slow = connect_slow_reader(address, process(1))
    connection, stream = accept_cache_connection(cache)
    assert read_commands(stream, 1) == [1]
    deliver_to_front(address, connection, stream, cache_answer(1, LARGE_BODY))
    slow.sendall(b"\xff" * 300_000)  # begins with a length that is longer than any call
    for _ in range(2):  # by the second answer, the front has read and discarded these bytes
        with connect_and_send(address, probe(7)) as other_answers:
            assert read_answer(other_answers) == "7 probe: good True"
    with slow.makefile("rb") as answers:
        assert read_answer(answers) == "1 process: '200000 bytes'" and answers.read() == b""
    for resource in (slow, connection, stream):
        resource.close()


def test_a_client_that_sends_on_after_the_front_has_closed_is_disconnected(running_front):
    _, address, _ = running_front
    client = connect(address)
    with client.makefile("rb") as answers:
        client.sendall(b"\xff" * 100)
        assert answers.read() == b""
        started_at = time.monotonic()
        with pytest.raises(OSError):  # once the front has disconnected, a send is answered by a reset
            while time.monotonic() - started_at < TIMEOUT:
                client.sendall(b"x")
                time.sleep(0.02)
    client.close()


def test_a_request_accepted_by_the_kernel_while_the_front_shuts_down_is_answered(running_front):
    """The port closes 0.7 s after SIGTERM; a connection made before that is found by the front afterwards."""
    program, address, cache = running_front
    connection, stream = open_idle_cache_connection(address, cache)
    program.process.send_signal(signal.SIGTERM)
    program.wait_for_log("shutdown requested")
    with SuspendedProcess(program):
        client = connect_and_send(address, process(1, **{"class": "none"}))  # answered without a cache
        time.sleep(0.8)  # longer than 0.7 s: the first check whether the front can exit is due
    assert read_answer(client) == "1 exception 7: unknown content type" and client.read() == b""
    assert program.process.wait(TIMEOUT) == 0
    for resource in (client, connection, stream):
        resource.close()


def test_a_partial_request_at_sigterm_can_be_completed_and_a_second_sigterm_has_no_effect(running_front):
    program, address, cache = running_front
    connection, stream = open_idle_cache_connection(address, cache)
    partial_client, idle_client = connect(address), connect(address)
    frame = process(1)
    partial_client.sendall(frame[:40])
    with idle_client.makefile("rb") as answers:
        idle_client.sendall(probe(1))
        assert read_answer(answers) == "1 probe: good True"
        with SuspendedProcess(program):
            program.process.send_signal(signal.SIGTERM)
            idle_client.sendall(process(2))
        program.wait_for_log("shutdown requested")
        program.process.send_signal(signal.SIGTERM)
        assert read_commands(stream, 1) == [2]
        connection.sendall(cache_answer(2))
        assert read_answer(answers) == "2 process: 'ok'"
        # 0.7 s after SIGTERM idle connections are closed, but none while this client's call is incomplete.
        time.sleep(0.9)
        partial_client.sendall(frame[40:])
        assert read_commands(stream, 1) == [1]
        connection.sendall(cache_answer(1))
        with partial_client.makefile("rb") as late_answers:
            assert read_answer(late_answers) == "1 process: 'ok'" and late_answers.read() == b""
        assert answers.read() == b""
    assert program.process.wait(TIMEOUT) == 0
    for resource in (partial_client, idle_client, connection, stream):
        resource.close()


def test_sigterm_before_the_first_endpoint_list_ends_the_front_cleanly(site):
    """The bus accepts the front's connection and sends nothing, so the front has not opened its port yet."""
    path, _, _ = site
    with socket.create_server(("127.0.0.1", 0)) as bus:
        bus.settimeout(TIMEOUT)
        text = re.sub(r'"bus": "[^"]*"', f'"bus": "127.0.0.1:{bus.getsockname()[1]}"', path.read_text())
        path.write_text(text)
        command = [sys.executable, "-O", "-m", "weldbend", "serve", "--config", str(path)]
        with subprocess.Popen(command, stderr=subprocess.DEVNULL) as front_process, bus.accept()[0]:
            front_process.send_signal(signal.SIGTERM)
            assert front_process.wait(TIMEOUT) == 0


def open_for_writing(pipe, reader):
    """Open a named pipe for writing as soon as `reader`, the process of a front, reads from it."""
    started_at = time.monotonic()
    while reader.poll() is None and time.monotonic() < started_at + TIMEOUT:
        with suppress(OSError):
            return open(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK), "w")
        time.sleep(0.002)
    raise AssertionError(f"the front did not open the pipe; its exit status is {reader.poll()}")


def test_sighup_while_loading_neither_ends_the_front_nor_is_lost(site, tmp_path):
    """SIGHUP arrives while the front loads its configuration, and the front then loads the changed one.

    The configuration file is a named pipe, which the front reads until this test closes it. The second load
    reads another pipe, whose configuration names another bus.
    """
    path, _, _ = site
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    command = [sys.executable, "-O", "-m", "weldbend", "serve", "--config", str(pipe)]
    with socket.create_server(("127.0.0.1", 0)) as bus:
        bus.settimeout(TIMEOUT)
        front_process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
        try:
            with open_for_writing(pipe, front_process) as first_write:
                front_process.send_signal(signal.SIGHUP)
                pipe.rename(tmp_path / "read")  # the front still reads it
                os.mkfifo(pipe)  # the second load reads another pipe
                first_write.write(path.read_text())
            new_bus = f'"bus": "127.0.0.1:{bus.getsockname()[1]}"'
            with open_for_writing(pipe, front_process) as second_write:
                second_write.write(re.sub(r'"bus": "[^"]*"', new_bus, path.read_text()))
            with bus.accept()[0] as bus_connection:
                assert bus_connection.recv(9) == b"GET /bus/"
            front_process.send_signal(signal.SIGTERM)
            assert front_process.wait(TIMEOUT) == 0
        finally:
            front_process.kill()
            front_process.wait(TIMEOUT)


def test_requests_are_served_while_idle_clients_use_all_descriptors_and_the_bus_is_down(site):
    """Connections to caches and to the bus, and clients with requests, still get descriptors.

    400 clients connect to a front with 256 descriptors, whose bus is down at first. The front neither spins
    nor disconnects a client with an open request. CPU time is read from /proc in clock ticks (user and system
    time, fields 14 and 15 of stat).
    """
    path, address, cache = site
    with socket.create_server(("127.0.0.1", 0)) as port_reservation:
        port = port_reservation.getsockname()[1]
    text = re.sub(r'"bus": "[^"]*"', f'"bus": "127.0.0.1:{port}"', path.read_text())
    path.write_text(text.replace('"sockets": 1024', '"sockets": 256'))
    program = FrontProcess(path)
    try:
        first_answers = connect_and_send(address, process(1))
        connection, stream = accept_cache_connection(cache)
        assert read_commands(stream, 1) == [1]
        idle_clients = [connect(address) for _ in range(400)]
        ticks_then = sum(map(int, Path(f"/proc/{program.process.pid}/stat").read_text().split()[13:15]))
        started_at = time.monotonic()
        with (
            connect_and_send(address, process(2)) as second_answers,
            socket.create_server(("127.0.0.1", port)) as bus,
        ):
            bus.settimeout(TIMEOUT)
            with bus.accept()[0]:  # the front reconnects although descriptors ran out
                assert read_commands(stream, 1) == [2]
                connection.sendall(cache_answer(2) + cache_answer(1))
                assert read_answer(second_answers) == "2 process: 'ok'"
                # not disconnected in favour of idle clients
                assert read_answer(first_answers) == "1 process: 'ok'"
        ticks = (
            sum(map(int, Path(f"/proc/{program.process.pid}/stat").read_text().split()[13:15])) - ticks_then
        )
        assert ticks / os.sysconf("SC_CLK_TCK") < 0.8 * (time.monotonic() - started_at) + 0.5
        assert len(list(Path(f"/proc/{program.process.pid}/fd").iterdir())) <= 256
        for resource in (*idle_clients, first_answers, connection, stream):
            resource.close()
    finally:
        program.kill_and_wait()


# Faults of the same kinds on a virtual clock, where the test decides which of two events comes first.


def test_an_answer_not_yet_read_when_its_connection_ends_is_delivered():
    """The front pauses reading from caches while it buffers too many bytes for clients that read slowly.

    Meanwhile the cache answers and closes its connection.
    """
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1, once="ab", **{"class": "order"}))
    harness.complete_connects()
    harness.front.gateway.buffered_changed(harness.front.site.max_unsent_bytes + 1)
    harness.answer("o1", 1, "DONE", "-", b"ok")
    harness.caches["o1", 0].transport.loseConnection()
    harness.advance()
    assert harness.trace[-1] == "client 0 < 1 process: 'ok'" and not harness.dispatcher.requests


def test_an_endless_answer_delays_no_request_past_its_deadline():
    """A cache sends one byte of an answer at a time, often enough that the answer does not count as stalled.

    Once request 1 is cancelled, this connection accepts no further attempts. It may end because it has no
    attempt in flight, or by the time limit on one answer; only the latter is counted as an anomaly.
    """
    harness, count_before = FrontHarness(), anomalies["cache answers over the time limit"]
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    connection = harness.caches["e2", 0]
    connection.dataReceived(b"%016x DONE - 200000\r\n" % 1)
    for _ in range(20):
        connection.dataReceived(b"x")
        harness.advance(STALL_TIMEOUT / 2)
    harness.send(client, give_up(1), process(2, key=KEY))
    assert connection.is_draining and not any(f"{2:016x}" in c.in_flight for c in [connection])
    while not connection.is_lost and harness.reactor.seconds() < 30:
        connection.dataReceived(b"x")
        harness.advance(STALL_TIMEOUT / 2)
    assert connection.is_lost and anomalies["cache answers over the time limit"] in (
        count_before,
        count_before + 1,
    )


def test_a_shutdown_takes_no_longer_than_the_deadlines_of_the_site_allow():
    """SIGKILL follows 0.7 s after the longest deadline of the site, and 3.7 s after SIGTERM at the latest.

    With deadlines of 1 s, SIGKILL follows after 1.7 s. This test allows 0.95 + 60 * 0.01 = 1.55 s.
    """
    harness = FrontHarness()
    request_classes = harness.front.site.settings.classes.values()
    for request_class in request_classes:
        object.__setattr__(request_class, "deadline_after", 1.0)
    client = harness.connect_client()
    harness.send(client, process(1, wait="1000"))
    harness.complete_connects()
    harness.front.terminate()
    harness.advance(0.95)
    # A connection with a partial call is closed only when the front aborts open requests, 1 + 0.4 s after
    # SIGTERM.
    harness.send(harness.connect_client(), probe(7), process(2)[:50])
    for _ in range(60):
        harness.advance(0.01)
    assert harness.reactor.hasStopped


def test_a_waiting_request_is_sent_only_after_all_input_of_the_same_iteration_is_read():
    """The same poll of the sockets finds that a connect to the cache has completed and that the client left.

    The waiting attempt must not be sent as soon as the connect is handled.
    """
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    (_, connector) = harness.pending_connects()[0]
    connection = connector.buildProtocol(None)
    harness.caches["e2", 0] = connection
    connection.transport = type(client.transport)()
    connection.transport.protocol = connection
    connection.connectionMade()
    client.transport.loseConnection()
    harness.advance()
    harness.assert_trace("")


def test_changed_settings_apply_to_new_requests_and_not_to_open_ones():
    """Each of the two classes has an open request when the configuration is reloaded.

    The class photo is renamed to clip, and writes of the class order may no longer be repeated.
    """
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1), process(2, once="ab", **{"class": "order"}))
    harness.complete_connects()
    harness.trace.clear()
    text = (
        configuration(max_streams=3).replace('"photo"', '"clip"').replace('"deduplicated"', '"at_most_once"')
    )
    harness.front.read_new_site = lambda: read_site(text)
    harness.front.reload()
    harness.advance()
    harness.send(
        client, process(3), process(4, **{"class": "clip"}), process(5, once="cd", **{"class": "order"})
    )
    harness.complete_connects()
    assert "client 0 < 3 exception 7: unknown content type" in harness.trace
    harness.trace.clear()
    harness.answer("e2", 1, "DONE", "-", b"old name")  # request 1 has the class name from before the reload
    for key in [key for key in harness.caches if key[0] == "o1"]:
        harness.caches[key].transport.loseConnection()  # both writes may have been executed
    harness.advance()
    harness.complete_connects()
    orders = [line for line in harness.trace if "o1/" in line]
    # only request 2 is repeated: it began with the old settings
    assert len(orders) == 1 and f"{2:016x}" in orders[0], harness.trace
    assert "client 0 < 5 abandoned" in harness.trace and "client 0 < 1 process: 'old name'" in harness.trace


@pytest.mark.parametrize("new_settings", ["{", None])
def test_a_reload_without_a_usable_configuration_changes_nothing(new_settings):
    """The configuration is malformed, or (None) its file is missing."""
    harness = FrontHarness()
    site_before = harness.front.site

    def read_new_site():
        if new_settings is None:
            raise FileNotFoundError("gone")
        return read_site(new_settings)

    harness.front.read_new_site = read_new_site
    harness.front.reload()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    assert harness.front.site is site_before and any("do 0000000000000001" in line for line in harness.trace)


def test_a_cache_connection_that_accepts_no_data_is_aborted():
    """The cache hangs: bytes written to it are never sent, so a close that waits for them never completes.

    The connection is therefore aborted 1 s after the close.
    """
    harness, calls = FrontHarness(), []
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    connection = harness.caches["e2", 0]
    connection.transport.loseConnection = lambda: calls.append("close")
    connection.transport.abortConnection = lambda: calls.append("abort")
    connection.drain()
    harness.advance(0.9)
    assert calls == ["close"]
    harness.advance(0.2)
    assert calls == ["close", "abort"]


@pytest.mark.parametrize("interruption", ["the cache's close", "the deadline", "a cancellation"])
@pytest.mark.parametrize("request_class", ["photo", "order", "print"])
def test_an_answer_interrupted_between_two_pieces_is_not_delivered(interruption, request_class):
    """A partial answer counts as no answer.

    After the cache's close, a photo and an order are requested again. The case "print" is an order in a
    configuration that allows one execution at most, so it is abandoned. After the deadline the client gets
    one answer, and after a cancellation none.
    """
    settings_text = (
        configuration().replace('"deduplicated"', '"at_most_once"')
        if request_class == "print"
        else configuration()
    )
    harness = FrontHarness()
    harness.dispatcher.apply_site(read_site(settings_text))
    client = harness.connect_client()
    order_fields = {} if request_class == "photo" else {"class": "order", "once": "ab"}
    harness.send(client, process(1, wait="2000", **order_fields))
    harness.complete_connects()
    (uid, index), connection = next(iter(harness.caches.items()))
    answer = b"%016x DONE - 5\r\nphoto\r\n" % 1
    connection.dataReceived(answer[:-4])  # without "to" and the line end
    harness.trace.clear()
    if interruption == "the cache's close":
        connection.transport.loseConnection()
    elif interruption == "the deadline":
        harness.advance(2.1)
    else:
        client.dataReceived(give_up(1))
    harness.advance()
    if not connection.is_lost:
        connection.dataReceived(answer[-4:])
    harness.complete_connects()
    harness.advance(0.05)
    answers = [line for line in harness.trace if "client" in line]
    commands = [line for line in harness.trace if "< do" in line]
    if interruption == "the cache's close":
        assert (len(commands), answers) == (
            (1, []) if request_class != "print" else (0, ["client 0 < 1 abandoned"])
        )
    else:
        assert not commands and len(answers) == (interruption == "the deadline"), harness.trace
        assert not harness.dispatcher.requests
    assert (uid, index) in harness.caches and "process" not in str(answers)


def test_a_reload_and_a_shutdown_while_many_clients_leave_at_once_end_cleanly():
    """Some clients close, some cancel, some were answered; afterwards nothing is open and the front exits."""
    harness = FrontHarness(max_streams=4)
    clients = [harness.connect_client() for _ in range(60)]
    for n, client in enumerate(clients, 1):
        harness.send(client, process(n, key=f"{n:016x}"))
    harness.complete_connects()
    answered = [  # ten of the requests in flight
        n for connection in harness.caches.values() for n in [int(name, 16) for name in connection.in_flight]
    ][:10]
    for (uid, index), connection in list(harness.caches.items()):
        for n in [n for n in answered if f"{n:016x}" in connection.in_flight]:
            harness.answer(uid, n, "DONE", "-", b"ok", number=index)
    for n, client in enumerate(clients, 1):
        if n % 2:
            client.dataReceived(give_up(n))  # including some already answered
        else:
            client.transport.loseConnection()
    harness.front.read_new_site = lambda: read_site(configuration(bus="127.0.0.1:9093", max_streams=4))
    harness.front.reload()
    harness.front.terminate()
    harness.trace.clear()
    harness.advance()
    while harness.pending_connects():
        harness.complete_connects()
    dispatcher = harness.dispatcher
    assert not any("< do" in line for line in harness.trace), harness.trace
    assert not (dispatcher.requests or dispatcher.requests.by_client_id or dispatcher.router.requests)
    assert not any(endpoint.waiting for endpoint in dispatcher.pool.endpoints.values())
    for _ in range(90):
        harness.advance(0.01)
    assert harness.reactor.hasStopped


def test_a_connect_completed_during_a_shutdown_is_used_and_one_completed_after_the_deadline_is_not():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.front.terminate()
    harness.advance(0.3)  # an attempt waits 0.4 s for its connection
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"
    harness.send(client, process(2, wait="300"))
    harness.complete_connects()
    harness.advance(0.4)
    harness.trace.clear()
    harness.complete_connects()
    assert not any("< do" in line for line in harness.trace)


def test_a_client_that_sends_too_much_after_the_front_has_closed_is_disconnected(running_front):
    """The front discards what a client sends after the front's close, up to a limit; then it disconnects."""
    _, address, _ = running_front
    client = connect(address)
    with pytest.raises(OSError):
        for _ in range(2000):
            client.sendall(b"\xff" * 65536)
    client.close()
    with connect_and_send(address, probe(1)) as other_answers:
        assert read_answer(other_answers) == "1 probe: good True"


def test_small_writes_are_sent_without_delay():
    """By default the kernel delays small writes to merge them (Nagle); a reset would discard them."""
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    assert client.transport.no_delay and all(
        connection.transport.no_delay for connection in harness.caches.values()
    )
