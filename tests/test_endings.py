"""Whatever ends something while something is still owed, on real sockets, with the crossing forced.

The front is stopped by the system (SIGSTOP) while the other side acts, so that it finds both at once; or a
side holds back bytes, or reads nothing. Each wait is for what the step before causes.
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
from test_process import LONG, Program, ask, commands, heard, site

from weldbend.caches.stall_detector import STALL_TIMEOUT
from weldbend.front.configuration import read_site
from weldbend.invariants import anomalies

__all__ = ["site"]
BODY = b"x" * 200_000


@pytest.fixture
def front(site):
    path, address, cache = site
    program = Program(path)
    yield program, address, cache
    program.end()


@pytest.fixture
def patient(site):
    """A front that doubts no pull before its expiry, six seconds on: whatever is undone, its client left."""
    path, address, cache = site
    path.write_text(re.sub(r'"goal_time_us": 500000\b', '"goal_time_us": 9000000', path.read_text()))
    program = Program(path)
    yield program, address, cache
    program.end()


class Stopped:
    """The front stands still meanwhile, as on a machine that is held up."""

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
    return socket.create_connection(address, LONG)


def linked(cache):
    link = cache.accept()[0]
    link.settimeout(LONG)
    return link, link.makefile("rb")


def done(number, body=b"ok"):
    return b"%016x DONE - %d\r\n%b\r\n" % (number, len(body), body)


def settled(address, cache):
    """A connection to the cache that is up, with nothing out on it."""
    with ask(address, process(90)) as first:
        link, stream = linked(cache)
        assert commands(stream, 1) == [90]
        link.sendall(done(90))
        assert heard(first) == "90 process: 'ok'"
    return link, stream


def served(address, link, stream):
    """Ask until a request gets through to the cache: right after a standstill the front may throttle it."""
    for number in range(200, 300):
        with ask(address, process(number)) as answers:
            if select.select([link, answers], [], [], LONG)[0] == [link]:
                assert commands(stream, 1) == [number], "something else came before"
                link.sendall(done(number))
                assert heard(answers) == f"{number} process: 'ok'"
                return
            assert "throttled" in heard(answers)
    raise AssertionError("all were throttled")


@pytest.mark.parametrize("how", ["closes", "resets", "cancels"])
def test_a_client_that_left_while_the_front_stood_still_is_sent_nowhere(front, how):
    """Its request and its leaving are read one after the other: nothing may go out between."""
    program, address, cache = front
    link, stream = settled(address, cache)
    gone = connect(address)
    with Stopped(program):
        gone.sendall(process(1) + (give_up(1) if how == "cancels" else b""))
        if how == "resets":
            gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how != "cancels":
            gone.close()
    served(address, link, stream)
    for each in (gone, link, stream):
        each.close()


def test_a_client_that_left_while_its_request_waited_for_a_connect_is_not_sent_on(front):
    """Connect and close are noticed in the same look at the sockets."""
    program, address, cache = front
    leaves = connect(address)
    leaves.sendall(process(1))
    link, stream = linked(cache)
    assert commands(stream, 1) == [1]
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with Stopped(program):
        link.close()  # what was out may go out again, over a connection that must come up first
        stream.close()
        leaves.close()
    again = ask(address, process(2))
    link, stream = linked(cache)
    if select.select([link], [], [], 1.0)[0]:
        assert commands(stream, 1) == [2]  # and 1 was not sent anew
    for each in (again, link, stream):
        each.close()


def reads_nothing(address, *frames):
    """A client whose answers stay with the system, and then with the front."""
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.settimeout(LONG)
    slow.connect(address)
    slow.sendall(b"".join(frames))
    return slow


def heard_by(address, link, stream, data):
    """Have the front take what a cache sends: the answer to a later request comes right behind it."""
    with ask(address, process(95, key=f"{95:016x}")) as other:
        assert commands(stream, 1) == [95]
        link.sendall(data + done(95))
        assert heard(other) == "95 process: 'ok'"


def behind(address, cache):
    """A client that reads nothing, so that answers wait for it, with request 50 out at the cache."""
    slow = reads_nothing(address, *(process(n, key=f"{n:016x}") for n in range(1, 32)), process(50))
    link, stream = linked(cache)
    assert commands(stream, 32) == [*range(1, 32), 50]
    link.sendall(done(1, BODY))  # a stream is free for what comes last
    heard_by(address, link, stream, b"".join(done(n, BODY) for n in range(2, 32)))
    return slow, link, stream


def undone(stream, number):
    """Reads on until this pull is given up; others may be as well."""
    while line := stream.readline():
        if line == b"undo %016x\r\n" % number:
            return True
    return False


def test_a_withdrawal_is_heeded_while_its_client_reads_no_answers(patient):
    _, address, cache = patient
    slow, link, stream = behind(address, cache)
    since = time.monotonic()
    slow.sendall(process(51) + give_up(50) + give_up(51))
    assert undone(stream, 50) and time.monotonic() - since < 3.0
    buffer = slow.makefile("rb")
    assert {heard(buffer) for _ in range(31)} == {f"{n} process: '200000 bytes'" for n in range(1, 32)}
    slow.sendall(process(52))
    assert commands(stream, 1) == [52]  # and 51 was never sent
    for each in (slow, buffer, link, stream):
        each.close()


def test_an_end_is_noticed_while_its_client_is_not_read(patient):
    """As much has come as the front takes in while answers wait for its client, and then the end."""
    _, address, cache = patient
    slow, link, stream = behind(address, cache)
    since = time.monotonic()
    writes = {"class": "order", "once": "ab"}
    for n in range(60, 63):
        slow.sendall(process(n, b"w" * 47_000, **writes))
    slow.shutdown(socket.SHUT_WR)
    assert undone(stream, 50) and time.monotonic() - since < 3.0
    for each in (slow, link, stream):
        each.close()


def test_a_close_over_unread_bytes_resets_no_answer_that_was_just_written(front):
    """An answer is still on its way to a slow reader when it is cast out in the middle of what it sends."""
    _, address, cache = front
    slow = reads_nothing(address, process(1))
    link, stream = linked(cache)
    assert commands(stream, 1) == [1]
    heard_by(address, link, stream, done(1, BODY))
    slow.sendall(b"\xff" * 300_000)
    for _ in range(2):  # by the second, the front has read and thrown away what lay there
        with ask(address, probe(7)) as other:
            assert heard(other) == "7 probe: good True"
    with slow.makefile("rb") as answers:
        assert heard(answers) == "1 process: '200000 bytes'" and answers.read() == b""
    for each in (slow, link, stream):
        each.close()


def test_a_client_that_ignores_the_close_is_let_go(front):
    _, address, _ = front
    client = connect(address)
    with client.makefile("rb") as answers:
        client.sendall(b"\xff" * 100)
        assert answers.read() == b""
        since = time.monotonic()
        with pytest.raises(OSError):  # closed at last, a send is reset
            while time.monotonic() - since < LONG:
                client.sendall(b"x")
                time.sleep(0.02)
    client.close()


def test_a_request_that_the_system_accepted_while_the_front_ended_is_answered(front):
    """The port is closed 0.7 s after SIGTERM; the connection is made before, and found after that."""
    program, address, cache = front
    link, stream = settled(address, cache)
    program.process.send_signal(signal.SIGTERM)
    program.told("shutdown requested")
    with Stopped(program):
        client = ask(address, process(1, **{"class": "none"}))  # its answer hangs on nothing else
        time.sleep(0.8)  # by now it is time to close the port
    assert heard(client) == "1 exception 7: unknown content type" and client.read() == b""
    assert program.process.wait(LONG) == 0
    for each in (client, link, stream):
        each.close()


def test_half_a_request_at_sigterm_is_heard_out_and_a_second_sigterm_changes_nothing(front):
    program, address, cache = front
    link, stream = settled(address, cache)
    half, resting = connect(address), connect(address)
    whole = process(1)
    half.sendall(whole[:40])
    with resting.makefile("rb") as answers:
        resting.sendall(probe(1))
        assert heard(answers) == "1 probe: good True"
        with Stopped(program):
            program.process.send_signal(signal.SIGTERM)
            resting.sendall(process(2))
        program.told("shutdown requested")
        program.process.send_signal(signal.SIGTERM)
        assert commands(stream, 1) == [2]
        link.sendall(done(2))
        assert heard(answers) == "2 process: 'ok'"
        time.sleep(0.9)  # past the moment in which all that is quiet is closed
        half.sendall(whole[40:])
        assert commands(stream, 1) == [1]
        link.sendall(done(1))
        with half.makefile("rb") as late:
            assert heard(late) == "1 process: 'ok'" and late.read() == b""
        assert answers.read() == b""
    assert program.process.wait(LONG) == 0
    for each in (half, resting, link, stream):
        each.close()


def test_sigterm_before_the_first_list_ends_it_cleanly(site):
    """The bus takes the connection and says nothing; the port is not open yet."""
    path, _, _ = site
    with socket.create_server(("127.0.0.1", 0)) as bus:
        bus.settimeout(LONG)
        text = re.sub(r'"bus": "[^"]*"', f'"bus": "127.0.0.1:{bus.getsockname()[1]}"', path.read_text())
        path.write_text(text)
        command = [sys.executable, "-O", "-m", "weldbend", "serve", "--config", str(path)]
        with subprocess.Popen(command, stderr=subprocess.DEVNULL) as started, bus.accept()[0]:
            started.send_signal(signal.SIGTERM)
            assert started.wait(LONG) == 0


def opened(pipe, reader):
    """The pipe, once its reader has opened it."""
    since = time.monotonic()
    while reader.poll() is None and time.monotonic() < since + LONG:
        with suppress(OSError):
            return open(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK), "w")
        time.sleep(0.002)
    raise AssertionError(f"nobody reads; the front ended with {reader.poll()}")


def test_sighup_while_loading_neither_ends_the_front_nor_is_lost(site, tmp_path):
    """The configuration is a pipe, so that the front is at it when the signal comes; then it has changed."""
    path, _, _ = site
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    command = [sys.executable, "-O", "-m", "weldbend", "serve", "--config", str(pipe)]
    with socket.create_server(("127.0.0.1", 0)) as bus:
        bus.settimeout(LONG)
        started = subprocess.Popen(command, stderr=subprocess.DEVNULL)
        try:
            with opened(pipe, started) as first:
                started.send_signal(signal.SIGHUP)
                pipe.rename(tmp_path / "read")
                os.mkfifo(pipe)  # what is read the second time is another
                first.write(path.read_text())
            moved = f'"bus": "127.0.0.1:{bus.getsockname()[1]}"'
            with opened(pipe, started) as second:
                second.write(re.sub(r'"bus": "[^"]*"', moved, path.read_text()))
            with bus.accept()[0] as link:
                assert link.recv(9) == b"GET /bus/"
            started.send_signal(signal.SIGTERM)
            assert started.wait(LONG) == 0
        finally:
            started.kill()
            started.wait(LONG)


def test_idle_clients_fill_the_descriptors_while_the_bus_is_away(site):
    """Caches, the watch and waiting requests still get theirs, and the front neither spins nor casts out."""
    path, address, cache = site
    with socket.create_server(("127.0.0.1", 0)) as spare:
        port = spare.getsockname()[1]
    text = re.sub(r'"bus": "[^"]*"', f'"bus": "127.0.0.1:{port}"', path.read_text())
    path.write_text(text.replace('"sockets": 1024', '"sockets": 256'))
    program = Program(path)
    try:
        busy = ask(address, process(1))
        link, stream = linked(cache)
        assert commands(stream, 1) == [1]
        idle = [connect(address) for _ in range(400)]
        used = sum(map(int, Path(f"/proc/{program.process.pid}/stat").read_text().split()[13:15]))
        since = time.monotonic()
        with ask(address, process(2)) as waits, socket.create_server(("127.0.0.1", port)) as bus:
            bus.settimeout(LONG)
            with bus.accept()[0]:  # the return of the bus is noticed, though descriptors were full
                assert commands(stream, 1) == [2]
                link.sendall(done(2) + done(1))
                assert heard(waits) == "2 process: 'ok'"
                assert heard(busy) == "1 process: 'ok'"  # it was not put out for an idle one
        ticks = sum(map(int, Path(f"/proc/{program.process.pid}/stat").read_text().split()[13:15])) - used
        assert ticks / os.sysconf("SC_CLK_TCK") < 0.8 * (time.monotonic() - since) + 0.5
        assert len(list(Path(f"/proc/{program.process.pid}/fd").iterdir())) <= 256
        for each in (*idle, busy, link, stream):
            each.close()
    finally:
        program.end()


# The same on a virtual clock, where the crossing is a matter of the order of calls.


def test_an_answer_that_lies_unread_when_its_connection_ends_is_taken():
    """Held back since slow readers hold too much: the cache has answered, and closes or resets."""
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1, once="ab", **{"class": "order"}))
    harness.complete_connects()
    harness.front.gateway.buffered_changed(harness.front.site.max_unsent_bytes + 1)
    harness.answer("o1", 1, "DONE", "-", b"ok")
    harness.caches["o1", 0].transport.loseConnection()
    harness.advance()
    assert harness.trace[-1] == "client 0 < 1 process: 'ok'" and not harness.dispatcher.requests


def test_an_answer_that_never_ends_holds_up_nobody_for_longer_than_an_expiry():
    harness, before = FrontHarness(), anomalies["cache answers over the time limit"]
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    link = harness.caches["e2", 0]
    link.dataReceived(b"%016x DONE - 200000\r\n" % 1)
    for _ in range(20):
        link.dataReceived(b"x")
        harness.advance(STALL_TIMEOUT / 2)
    harness.send(client, give_up(1), process(2, key=KEY))
    assert link.is_draining and not any(f"{2:016x}" in c.in_flight for c in [link])
    while not link.is_lost and harness.reactor.seconds() < 30:
        link.dataReceived(b"x")
        harness.advance(STALL_TIMEOUT / 2)
    assert link.is_lost and anomalies["cache answers over the time limit"] in (before, before + 1)


def test_a_stop_lasts_no_longer_than_the_sites_own_expiries_allow():
    """SIGKILL comes 0.7 s after the longest of them, or after 3 s: a site with short ones is killed early."""
    harness = FrontHarness()
    kinds = harness.front.site.settings.classes.values()
    for kind in kinds:
        object.__setattr__(kind, "deadline_after", 1.0)
    client = harness.connect_client()
    harness.send(client, process(1, wait="1000"))
    harness.complete_connects()
    harness.front.terminate()
    harness.advance(0.95)
    harness.send(
        harness.connect_client(), probe(7), process(2)[:50]
    )  # half a call keeps it from ending in quiet
    for _ in range(60):
        harness.advance(0.01)
    assert harness.reactor.hasStopped


def test_what_waits_goes_only_after_all_that_came_in_the_same_moment_was_heard():
    """A connection comes up, and then its client's end is read: both had come before either was looked at."""
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    (_, dial) = harness.pending_connects()[0]
    connection = dial.buildProtocol(None)
    harness.caches["e2", 0] = connection
    connection.transport = type(client.transport)()
    connection.transport.protocol = connection
    connection.connectionMade()
    client.transport.loseConnection()
    harness.advance()
    harness.assert_trace("")


def test_settings_that_change_hold_for_what_comes_and_not_for_what_is_open():
    """One content type is renamed, the other may be repeated no more; each has one download open."""
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
    harness.answer("e2", 1, "DONE", "-", b"old name")
    for at in [at for at in harness.caches if at[0] == "o1"]:
        harness.caches[at].transport.loseConnection()  # both orders may have run
    harness.advance()
    harness.complete_connects()
    sent = [line for line in harness.trace if "o1/" in line]
    assert len(sent) == 1 and f"{2:016x}" in sent[0], harness.trace  # by the settings that it began under
    assert "client 0 < 5 abandoned" in harness.trace and "client 0 < 1 process: 'old name'" in harness.trace


@pytest.mark.parametrize("again", ["{", None])
def test_settings_that_cannot_be_used_change_nothing(again):
    harness = FrontHarness()
    before = harness.front.site

    def read():
        if again is None:
            raise FileNotFoundError("gone")
        return read_site(again)

    harness.front.read_new_site = read
    harness.front.reload()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    assert harness.front.site is before and any("do 0000000000000001" in line for line in harness.trace)


def test_a_connection_that_takes_nothing_is_let_go():
    """Its cache hangs: what was written never leaves, and a close that waits for that would wait for good."""
    harness, ended = FrontHarness(), []
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    link = harness.caches["e2", 0]
    link.transport.loseConnection = lambda: ended.append("asked")
    link.transport.abortConnection = lambda: ended.append("let go")
    link.drain()
    harness.advance(0.9)
    assert ended == ["asked"]
    harness.advance(0.2)
    assert ended == ["asked", "let go"]


@pytest.mark.parametrize("between", ["the cache's close", "the expiry", "a withdrawal"])
@pytest.mark.parametrize("kind", ["photo", "order", "print"])
def test_an_answer_in_two_pieces_with_an_end_between(between, kind):
    """Half an answer is none: what may be repeated is, what may not is abandoned, and nobody hears twice."""
    lanes = (
        configuration().replace('"deduplicated"', '"at_most_once"') if kind == "print" else configuration()
    )
    harness = FrontHarness()
    harness.dispatcher.apply_site(read_site(lanes))
    client = harness.connect_client()
    wish = {} if kind == "photo" else {"class": "order", "once": "ab"}
    harness.send(client, process(1, wait="2000", **wish))
    harness.complete_connects()
    (uid, at), link = next(iter(harness.caches.items()))
    text = b"%016x DONE - 5\r\nphoto\r\n" % 1
    link.dataReceived(text[:-4])
    harness.trace.clear()
    if between == "the cache's close":
        link.transport.loseConnection()
    elif between == "the expiry":
        harness.advance(2.1)
    else:
        client.dataReceived(give_up(1))
    harness.advance()
    if not link.is_lost:
        link.dataReceived(text[-4:])
    harness.complete_connects()
    harness.advance(0.05)
    answers = [line for line in harness.trace if "client" in line]
    again = [line for line in harness.trace if "< do" in line]
    if between == "the cache's close":
        assert (len(again), answers) == ((1, []) if kind != "print" else (0, ["client 0 < 1 abandoned"]))
    else:
        assert not again and len(answers) == (between == "the expiry"), harness.trace
        assert not harness.dispatcher.requests
    assert (uid, at) in harness.caches and "process" not in str(answers)


def test_a_burst_of_clients_who_leave_together_with_a_reload_and_a_stop_among_them():
    """Some close, some withdraw, some were answered; then nothing is owed to anybody, and it ends."""
    harness = FrontHarness(max_streams=4)
    clients = [harness.connect_client() for _ in range(60)]
    for n, client in enumerate(clients, 1):
        harness.send(client, process(n, key=f"{n:016x}"))
    harness.complete_connects()
    answered = [n for link in harness.caches.values() for n in [int(name, 16) for name in link.in_flight]][
        :10
    ]
    for (uid, at), link in list(harness.caches.items()):
        for n in [n for n in answered if f"{n:016x}" in link.in_flight]:
            harness.answer(uid, n, "DONE", "-", b"ok", number=at)
    for n, client in enumerate(clients, 1):
        if n % 2:
            client.dataReceived(give_up(n))  # of some that are answered as well
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
    assert not any(lane.waiting for lane in dispatcher.pool.endpoints.values())
    for _ in range(90):
        harness.advance(0.01)
    assert harness.reactor.hasStopped


def test_a_connect_that_comes_up_after_the_stop_was_told_still_serves_and_one_after_the_end_does_not():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.front.terminate()
    harness.advance(0.3)
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"
    harness.send(client, process(2, wait="300"))
    harness.complete_connects()
    harness.advance(0.4)
    harness.trace.clear()
    harness.complete_connects()
    assert not any("< do" in line for line in harness.trace)


def test_a_flood_after_the_close_is_cut_off(front):
    """It is thrown away up to a bound, not for as long as it comes."""
    _, address, _ = front
    client = connect(address)
    with pytest.raises(OSError):
        for _ in range(2000):
            client.sendall(b"\xff" * 65536)
    client.close()
    with ask(address, probe(1)) as other:
        assert heard(other) == "1 probe: good True"


def test_small_writes_are_held_back_by_nobody():
    """The system would wait for more before it sends, and a reset would take along what it holds."""
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    assert client.transport.no_delay and all(link.transport.no_delay for link in harness.caches.values())
