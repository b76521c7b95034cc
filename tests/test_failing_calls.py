"""System calls that fail around accepted connections, idle ones and logs: nothing spins, stops or is lost."""

import errno
import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from fronts import FrontHarness, answer_text, configuration, probe, process
from twisted.internet import tcp
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import MemoryReactorClock
from twisted.logger import globalLogPublisher

from weldbend.accept_guard import MAX_PAUSE, MIN_PAUSE, AcceptGuard
from weldbend.front.configuration import read_site
from weldbend.front.server import Front
from weldbend.idle_connections import epoll_set
from weldbend.idle_connections.epoll_set import EpollSet, HangupWatcher
from weldbend.invariants import anomalies


class FailingSocket:
    """A listening socket whose accept fails with these errors first; accepted connections are real."""

    def __init__(self, listening, errors):
        self.listening, self.errors, self.calls = listening, errors, 0

    def accept(self):
        self.calls += 1
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return self.listening.accept()

    def __getattr__(self, name):
        return getattr(self.listening, name)


class Listening:
    """A real Twisted port on loopback, a reactor in the test's hands, and one client that waits."""

    def __init__(self, errors, is_guarded=True):
        self.reactor, self.accepted = MemoryReactorClock(), []
        factory = Factory()
        factory.protocol = Protocol
        factory.buildProtocol = lambda addr: self.accepted.append(addr) or Protocol()
        self.port = tcp.Port(0, factory, interface="127.0.0.1", reactor=self.reactor)
        self.port.startListening()
        self.socket = self.port.socket
        self.port.socket = FailingSocket(self.socket, errors)
        self.failing = self.port.socket
        self.guard = AcceptGuard(self.port, self.reactor.callLater) if is_guarded else None
        self.client = socket.create_connection(self.socket.getsockname())

    def is_watched(self):
        return self.port in self.reactor.readers

    def turn(self, seconds):
        """Let time pass in steps of a millisecond; the port is ready while its client waits."""
        for _ in range(round(seconds * 1000)):
            if self.is_watched():
                self.port.doRead()
            self.reactor.advance(0.001)

    def close(self):
        self.client.close()
        self.socket.close()


@pytest.fixture
def logged():
    events = []
    globalLogPublisher.addObserver(events.append)
    yield events
    globalLogPublisher.removeObserver(events.append)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINVAL])
def test_while_nothing_can_be_accepted_the_port_rests_and_the_client_waits(number, logged):
    listening = Listening([number] * 20)
    listening.turn(0.25)
    calls = listening.failing.calls
    assert not listening.accepted and 4 <= calls <= 8, calls  # without a pause it would be 250
    listening.failing.errors.clear()
    listening.turn(MAX_PAUSE + 0.01)
    assert len(listening.accepted) == 1 and listening.is_watched() and listening.guard.consecutive_faults == 0
    assert not [event for event in logged if event.get("isError")]
    listening.close()


@pytest.mark.parametrize(
    "number", [errno.ECONNABORTED, errno.EPROTO, errno.EINTR, errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH]
)
def test_a_connection_that_ended_before_it_was_accepted_costs_the_next_no_time(number, logged):
    listening = Listening([number] * 3)
    listening.turn(0.001)
    assert len(listening.accepted) == 1 and listening.is_watched()
    assert not [event for event in logged if event.get("isError")]
    listening.close()


def test_very_many_such_ends_in_a_row_are_no_loop():
    listening = Listening([errno.ECONNABORTED] * 40)
    listening.turn(0.001)
    assert listening.failing.calls == 16 and not listening.is_watched()
    listening.turn(MIN_PAUSE + 0.2)
    assert len(listening.accepted) == 1
    listening.close()


def test_a_port_that_cannot_be_watched_again_after_a_pause_rests_once_more():
    """Found by seed 23 of the trials: one failed epoll_ctl, and the front never accepted again."""
    listening = Listening([errno.ENFILE])
    add_reader, failures = listening.reactor.addReader, [errno.ENOMEM, errno.ENOSPC]

    def refuse_twice(reader):
        if failures:
            raise OSError(failures.pop(), "injected")
        add_reader(reader)

    listening.turn(0.002)
    listening.reactor.addReader = refuse_twice
    listening.turn(0.15)
    assert not failures and len(listening.accepted) == 1
    listening.close()


def test_the_clients_port_that_cannot_be_watched_again_rests_once_more():
    harness = FrontHarness()
    listener = harness.front.listener
    listening = Listening([errno.ENFILE], is_guarded=False)
    listener.port, listener.port.factory = listening.port, listener
    listener.accept_guard = AcceptGuard(listening.port, harness.reactor.callLater, listener.update_accepting)
    listening.turn(0.001)
    add_reader = listening.reactor.addReader

    def refuse_once(reader):
        listening.reactor.addReader = add_reader
        raise OSError(errno.ENOMEM, "injected")

    listening.reactor.addReader = refuse_once
    harness.advance(MIN_PAUSE)
    assert listener.is_paused and not listening.is_watched()
    harness.advance(MAX_PAUSE)
    assert not listener.is_paused and listening.is_watched()
    listening.close()


def test_a_front_that_cannot_accept_does_not_end_over_those_that_wait():
    """Found by seed 4 of the trials: three clients waited to be accepted, and the front ended."""
    harness, stopped = FrontHarness(), []
    harness.reactor.stop = lambda: stopped.append(True)
    harness.front.listener.stop = lambda: False  # accepting fails at present
    harness.front.terminate()
    harness.advance(0.8)
    assert not stopped
    harness.front.listener.stop = lambda: True
    harness.advance(0.05)
    assert stopped


def test_a_client_that_cannot_be_watched_for_writing_gets_no_second_answer():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    write, ended = client.transport.write, []

    def write_and_fail(data):
        write(data)
        raise OSError(errno.ENOMEM, "injected")

    client.transport.write, client.transport.abortConnection = write_and_fail, lambda: ended.append(1)
    harness.answer("e2", 1, "DONE", "-", b"photo")
    harness.assert_trace("""
        e2/0 < do 0000000000000001 queue=photo,path=7f3a9c21e0b4d655,blk=0,budget=6000,mode=j 0
        client 0 < 1 process: 'photo'
    """)
    assert ended


def test_caches_that_cannot_be_watched_end_alone():
    """One of two connections fails to be read again, and one to be written to: the other is not concerned."""
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1), process(2, key="a" * 16), process(3, key="5" * 16))
    harness.complete_connects()
    assert len(harness.caches) == 2
    harness.dispatcher.pool.pause_reading(True)
    broken, sound = harness.caches["e1", 0], harness.caches["e2", 0]

    def refuse(*args):
        raise OSError(errno.ENOMEM, "injected")

    broken.transport.resumeProducing = refuse
    harness.dispatcher.pool.pause_reading(False)
    assert broken.is_aborted and not sound.is_aborted and not sound.is_read_paused
    sound.transport.write = refuse
    sound.write(b"ping p1\r\n")
    assert sound.is_aborted


def test_a_client_that_cannot_be_read_again_ends():
    harness = FrontHarness()
    client, ended = harness.connect_client(), []

    def refuse():
        raise OSError(errno.ENOMEM, "injected")

    client.transport.resumeProducing, client.transport.abortConnection = refuse, lambda: ended.append(1)
    client._pause_reading(True)
    client._pause_reading(False)
    assert ended


def test_a_front_that_cannot_accept_does_not_close_its_port_over_those_that_wait():
    harness = FrontHarness()
    listener = harness.front.listener
    listening = Listening([errno.ENFILE], is_guarded=False)
    listener.port = listening.port
    listener.port.factory = listener
    listener.accept_guard = AcceptGuard(listening.port, harness.reactor.callLater, listener.update_accepting)
    assert not listener.stop() and listener.is_paused
    assert not listener.stop() and listening.failing.calls == 1  # it rests
    harness.advance(MIN_PAUSE)
    assert not listener.stop() and listener.connection_count() == 1  # one has come
    assert listener.stop() and listener.port is None
    listening.close()


@pytest.mark.parametrize("number", [errno.EADDRINUSE, errno.ENOMEM, errno.ENOSPC])
def test_a_front_whose_port_cannot_be_opened_says_so_and_ends(number):
    """It went on without a port where listen(2) or epoll_ctl failed, which Twisted does not translate."""
    reactor, stopped = MemoryReactorClock(), []
    front = Front(reactor, read_site(configuration()))
    front.clock.now = reactor.seconds

    def refuse(*args, **kwargs):
        raise OSError(number, "injected")

    reactor.listenTCP = refuse
    reactor.stop = lambda: stopped.append(True)
    front.start()
    reactor.advance(1.0)
    assert stopped and not front.is_open


# Idle connections.


class Interrupted:
    """An epoll set whose waits a signal interrupts, and that cannot watch more."""

    def __init__(self, epoll):
        self.epoll, self.errors = epoll, {}

    def fail(self, name):
        if name in self.errors:
            raise OSError(self.errors[name], "injected")

    def poll(self, *args):
        self.fail("poll")
        return self.epoll.poll(*args)

    def register(self, *args):
        self.fail("register")
        return self.epoll.register(*args)

    def modify(self, *args):
        self.fail("modify")
        return self.epoll.modify(*args)

    def __getattr__(self, name):
        return getattr(self.epoll, name)


@pytest.fixture
def pair():
    """A server transport on a connected socket, its reactor, and the client's end."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        client = socket.create_connection(listening.getsockname())
        accepted, address = listening.accept()
        accepted.setblocking(False)
        reactor = MemoryReactorClock()
        transport = tcp.Server(accepted, Protocol(), address, None, 0, reactor)
        transport.protocol.makeConnection(transport)
        yield transport, reactor, client
        client.close()


def test_a_signal_during_a_poll_neither_ends_the_pool_nor_loses_what_is_ready(pair):
    transport, reactor, client = pair
    idle = EpollSet(reactor)
    idle.epoll = Interrupted(idle.epoll)
    fd = idle.detach(transport)
    client.sendall(b"call")
    idle.epoll.errors["poll"] = errno.EINTR
    assert idle.poll_readable(9) == []
    idle.epoll.errors.clear()
    assert idle.poll_readable(9) == [fd] and idle.read(fd) == b"call"
    idle.close(fd)
    idle.close_set()


def test_a_signal_during_a_poll_for_hangups_is_no_error(pair):
    transport, reactor, client = pair
    watcher, ended = HangupWatcher(reactor), []
    watcher.watch(transport, lambda: ended.append(1))
    watcher.epoll = Interrupted(watcher.epoll)
    client.close()
    watcher.epoll.errors["poll"] = errno.EINTR
    watcher.doRead()
    watcher.epoll.errors.clear()
    watcher.doRead()
    assert ended == [1]


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.ENOMEM])
def test_a_connection_that_the_idle_set_cannot_watch_stays_as_it_is(pair, number):
    transport, reactor, client = pair
    idle = EpollSet(reactor)
    idle.epoll = Interrupted(idle.epoll)
    idle.epoll.errors["register"] = number
    assert idle.detach(transport) is None
    assert transport.connected and transport in reactor.readers
    client.sendall(b"call")
    assert transport.socket.recv(9) == b"call"
    transport.socket.close()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
def test_a_client_whose_end_cannot_be_watched_stays_connected(pair, number, monkeypatch):
    transport, reactor, _ = pair

    def refuse():
        raise OSError(number, "injected")

    monkeypatch.setattr(epoll_set.select, "epoll", refuse)
    before = anomalies[epoll_set.UNWATCHED_CLIENTS]
    watcher = HangupWatcher(reactor)
    watcher.watch(transport, lambda: None)
    assert (
        anomalies[epoll_set.UNWATCHED_CLIENTS] == before + 1 and not watcher.callbacks and transport.connected
    )
    transport.socket.close()


def test_a_woken_connection_that_the_reactor_cannot_watch_is_closed_and_the_others_stay(pair):
    transport, reactor, client = pair
    idle = EpollSet(reactor)
    fd = idle.detach(transport)

    def refuse(reader):
        raise OSError(errno.ENOSPC, "injected")

    reactor.addReader = refuse
    with pytest.raises(OSError, match="injected"):
        idle.attach(fd, Protocol())
    client.settimeout(5)
    assert client.recv(1) == b""
    idle.close_set()


def parked(count):
    harness = FrontHarness(parking=True)
    for _ in range(count):
        harness.connect_client().dataReceived(probe(1))
    for _ in range(100):
        harness.reactor.advance(0.01)
    harness.record_output()
    harness.trace.clear()
    assert harness.front.listener.idle_count() == count
    return harness


def test_one_idle_connection_that_cannot_be_woken_ends_alone():
    harness = parked(3)
    attach = harness.epoll_set.attach

    def attach_all_but_one(fd, protocol):
        if harness.epoll_set.client_indexes[fd] == 1:
            raise OSError(errno.ENOSPC, "injected")
        return attach(fd, protocol)

    harness.epoll_set.attach = attach_all_but_one
    for place in range(3):
        harness.epoll_set.deliver(place, probe(2))
    harness.front.listener.idle_pool.doRead()
    harness.advance(0.05)
    assert sorted(harness.trace) == [f"client {n} < 2 probe: good True" for n in (0, 2)]


def test_one_idle_connection_that_cannot_be_watched_again_is_closed_alone():
    harness = parked(2)
    harness.epoll_set.read = lambda fd: None  # reported readable, with nothing to read

    def refuse(fd):
        raise OSError(errno.ENOMEM, "injected")

    harness.epoll_set.rearm = refuse
    harness.epoll_set.deliver(0, b"")
    harness.front.listener.idle_pool.doRead()
    assert harness.epoll_set.closed == [0] and harness.front.listener.idle_count() == 1


def test_what_the_upkeep_finds_readable_before_the_reactor_does_is_woken():
    """Found by seed 19 of the trials: twelve idle clients' calls lay unread for over a second."""
    harness = parked(2)
    harness.epoll_set.deliver(0, probe(2))  # the reactor has not polled since
    harness.advance(0.11)  # a round of upkeep polls the set
    harness.advance()
    assert harness.trace == ["client 0 < 2 probe: good True"]


def test_an_error_of_close_frees_the_descriptor_all_the_same(pair, monkeypatch):
    transport, reactor, client = pair
    idle = EpollSet(reactor)
    fd = idle.detach(transport)
    close = os.close

    def interrupted(number):
        close(number)
        raise OSError(errno.EINTR, "injected")

    monkeypatch.setattr(epoll_set.os, "close", interrupted)
    idle.close(fd)
    assert client.recv(1) == b""
    idle.close_set()


# Logs.

LOGGING = """
import os, sys
from loguru import logger
from weldbend import logs

form, behind = sys.argv[1:]
if behind == "closed pipe":
    reading, writing = os.pipe()
    os.dup2(writing, 2)
    os.close(reading)
elif behind == "full disk":
    os.dup2(os.open("/dev/full", os.O_WRONLY), 2)
logs.start("info", form)
if behind == "closed meanwhile":
    sys.stderr.close()
for number in range(200):
    logger.info("line {} {}", number, "x" * 100)
print("goes on")
"""


@pytest.mark.parametrize("form", ["text", "json"])
@pytest.mark.parametrize("behind", ["closed pipe", "full disk", "closed meanwhile", "closed before"])
def test_what_is_behind_the_log_stops_nobody(form, behind):
    command = f'exec "$0" -c "$1" {form} "{behind}"' + (" 2>&-" if behind == "closed before" else "")
    done = subprocess.run(["sh", "-c", command, sys.executable, LOGGING], capture_output=True, timeout=60)
    assert (done.returncode, done.stdout) == (0, b"goes on\n")


def test_a_line_of_either_form_is_written_whole():
    shown = subprocess.run(
        [sys.executable, "-c", LOGGING, "json", "nothing"], capture_output=True, timeout=60, check=True
    ).stderr.splitlines()
    assert len(shown) == 200 and json.loads(shown[7])["message"] == "line 7 " + "x" * 100


def test_a_front_whose_log_breaks_serves_on_and_ends_as_told(tmp_path):
    """What reads its log ends: probes are answered, a reload is survived, and SIGTERM ends it with 0."""
    with socket.create_server(("127.0.0.1", 0)) as spare:
        address = spare.getsockname()
    path = tmp_path / "front.json"
    path.write_text(configuration(listen=f"127.0.0.1:{address[1]}", bus="127.0.0.1:1"))
    command = [sys.executable, "-O", "-m", "weldbend", "serve", "--config", str(path)]
    front = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    try:
        while "serves on" not in (line := front.stderr.readline()):
            assert line
        front.stderr.close()
        with socket.create_connection(address, 20) as client:
            stream = client.makefile("rb")
            for number in (1, 2):
                front.send_signal(signal.SIGHUP)  # logs, as the bus that cannot be reached does
                client.sendall(probe(number))
                answer = answer_text(stream.read(int.from_bytes(stream.read(4))))
                assert answer == f"{number} probe: good True"
            front.send_signal(signal.SIGTERM)
            assert stream.read() == b""
        assert front.wait(20) == 0
    finally:
        front.kill()
        front.wait(20)
