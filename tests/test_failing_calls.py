"""Guards against system calls that fail for accepted connections, idle connections and logs.

An unhandled error of accept(2), epoll_ctl, epoll_wait, close(2) or a write to the log can make the front
spin, stop accepting, exit, or lose clients other than the one whose call failed.
"""

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
    """A listening socket whose first accepts fail, one for each given error; later ones are real."""

    def __init__(self, listening_socket, errors):
        self.listening_socket, self.errors, self.calls = listening_socket, errors, 0

    def accept(self):
        self.calls += 1
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return self.listening_socket.accept()

    def __getattr__(self, name):
        return getattr(self.listening_socket, name)


class PortHarness:
    """A real Twisted port on loopback, a reactor in memory, and one client in the port's kernel queue.

    With `is_guarded`, an `AcceptGuard` of its own pauses the port while accepting fails.
    """

    def __init__(self, errors, is_guarded=True):
        self.reactor, self.accepted = MemoryReactorClock(), []
        factory = Factory()
        factory.protocol = Protocol
        factory.buildProtocol = lambda addr: self.accepted.append(addr) or Protocol()
        self.port = tcp.Port(0, factory, interface="127.0.0.1", reactor=self.reactor)
        self.port.startListening()
        self.listening_socket = self.port.socket
        self.port.socket = FailingSocket(self.listening_socket, errors)
        self.failing_socket = self.port.socket
        self.guard = AcceptGuard(self.port, self.reactor.callLater) if is_guarded else None
        self.client = socket.create_connection(self.listening_socket.getsockname())

    def is_watched(self):
        return self.port in self.reactor.readers

    def advance(self, seconds):
        """Advance the clock in steps of 1 ms, in each of which the port accepts if it is registered."""
        for _ in range(round(seconds * 1000)):
            if self.is_watched():
                self.port.doRead()
            self.reactor.advance(0.001)

    def close(self):
        self.client.close()
        self.listening_socket.close()


@pytest.fixture
def log_events():
    events = []
    globalLogPublisher.addObserver(events.append)
    yield events
    globalLogPublisher.removeObserver(events.append)


@pytest.mark.parametrize(
    "error_number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINVAL]
)
def test_a_failing_accept_pauses_the_port_and_the_client_is_accepted_afterwards(error_number, log_events):
    port_harness = PortHarness([error_number] * 20)
    port_harness.advance(0.25)
    calls = port_harness.failing_socket.calls
    # The pauses double from 10 ms to 100 ms: calls after 0, 10, 30, 70, 150 and 250 ms. Without pauses there
    # would be 250, one in each step of 1 ms.
    assert not port_harness.accepted and 4 <= calls <= 8, calls
    port_harness.failing_socket.errors.clear()
    port_harness.advance(MAX_PAUSE + 0.01)
    assert (
        len(port_harness.accepted) == 1
        and port_harness.is_watched()
        and port_harness.guard.consecutive_faults == 0
    )
    assert not [event for event in log_events if event.get("isError")]
    port_harness.close()


@pytest.mark.parametrize(
    "error_number",
    [errno.ECONNABORTED, errno.EPROTO, errno.EINTR, errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH],
)
def test_a_connection_aborted_before_accept_does_not_delay_the_next(error_number, log_events):
    """After these errors accept(2) may be called again at once, so accepting is not paused."""
    port_harness = PortHarness([error_number] * 3)
    port_harness.advance(0.001)
    assert len(port_harness.accepted) == 1 and port_harness.is_watched()
    assert not [event for event in log_events if event.get("isError")]
    port_harness.close()


def test_many_aborted_connections_in_a_row_do_not_block_the_reactor():
    port_harness = PortHarness([errno.ECONNABORTED] * 40)
    port_harness.advance(0.001)
    # accepting is paused after 16 such errors in a row
    assert port_harness.failing_socket.calls == 16 and not port_harness.is_watched()
    port_harness.advance(MIN_PAUSE + 0.2)  # two pauses, of 10 and 20 ms: 40 errors are 16 + 16 + 8
    assert len(port_harness.accepted) == 1
    port_harness.close()


def test_a_port_that_cannot_be_registered_after_a_pause_pauses_again():
    """Without a retry, one failed epoll_ctl ends accepting permanently (seed 23 of the socket trials)."""
    port_harness = PortHarness([errno.ENFILE])
    add_reader, failures = port_harness.reactor.addReader, [errno.ENOMEM, errno.ENOSPC]

    def refuse_twice(reader):
        if failures:
            raise OSError(failures.pop(), "injected")
        add_reader(reader)

    port_harness.advance(0.002)  # the failing accept pauses the port
    port_harness.reactor.addReader = refuse_twice
    port_harness.advance(0.15)  # pauses of 10, 20 and 40 ms, as the registration fails twice
    assert not failures and len(port_harness.accepted) == 1
    port_harness.close()


def test_the_port_of_a_front_that_cannot_be_registered_after_a_pause_pauses_again():
    """The front's listener decides here whether the port is paused, instead of the guard itself."""
    harness = FrontHarness()
    listener = harness.front.listener
    port_harness = PortHarness([errno.ENFILE], is_guarded=False)
    listener.port, listener.port.factory = port_harness.port, listener
    listener.accept_guard = AcceptGuard(
        port_harness.port, harness.reactor.callLater, listener.update_accepting
    )
    port_harness.advance(0.001)
    add_reader = port_harness.reactor.addReader

    def refuse_once(reader):
        port_harness.reactor.addReader = add_reader
        raise OSError(errno.ENOMEM, "injected")

    port_harness.reactor.addReader = refuse_once
    harness.advance(MIN_PAUSE)
    assert listener.is_paused and not port_harness.is_watched()
    harness.advance(MAX_PAUSE)
    assert not listener.is_paused and port_harness.is_watched()
    port_harness.close()


def test_a_front_that_cannot_accept_does_not_exit_while_clients_wait():
    """Otherwise clients in the port's kernel queue get no answer (three in seed 4 of the socket trials)."""
    harness, stopped = FrontHarness(), []
    harness.reactor.stop = lambda: stopped.append(True)
    harness.front.listener.stop = lambda: False  # the port cannot be closed yet, since accepting fails
    harness.front.terminate()
    harness.advance(0.8)  # an idle front exits 0.7 s after SIGTERM
    assert not stopped
    harness.front.listener.stop = lambda: True
    harness.advance(0.05)
    assert stopped


def test_a_client_that_cannot_be_registered_for_writing_gets_no_second_answer():
    """The transport has taken the answer when registering its socket with epoll fails."""
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    write, aborts = client.transport.write, []

    def write_and_fail(data):
        write(data)
        raise OSError(errno.ENOMEM, "injected")

    client.transport.write, client.transport.abortConnection = write_and_fail, lambda: aborts.append(1)
    harness.answer("e2", 1, "DONE", "-", b"photo")
    harness.assert_trace("""
        e2/0 < do 0000000000000001 queue=photo,path=7f3a9c21e0b4d655,blk=0,budget=6000,mode=j 0
        client 0 < 1 process: 'photo'
    """)
    assert aborts


def test_only_the_cache_connections_that_cannot_be_registered_are_aborted():
    """Resuming to read fails on one of two connections, which alone is aborted; then writing on the other."""
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1), process(2, key="a" * 16), process(3, key="5" * 16))
    harness.complete_connects()
    assert len(harness.caches) == 2
    harness.dispatcher.pool.pause_reading(True)
    first, second = harness.caches["e1", 0], harness.caches["e2", 0]

    def refuse(*args):
        raise OSError(errno.ENOMEM, "injected")

    first.transport.resumeProducing = refuse
    harness.dispatcher.pool.pause_reading(False)
    assert first.is_aborted and not second.is_aborted and not second.is_read_paused
    second.transport.write = refuse
    second.write(b"ping p1\r\n")
    assert second.is_aborted


def test_a_client_whose_reading_cannot_be_resumed_is_aborted():
    harness = FrontHarness()
    client, aborts = harness.connect_client(), []

    def refuse():
        raise OSError(errno.ENOMEM, "injected")

    client.transport.resumeProducing, client.transport.abortConnection = refuse, lambda: aborts.append(1)
    client._pause_reading(True)
    client._pause_reading(False)
    assert aborts


def test_a_front_that_cannot_accept_keeps_its_port_open_while_clients_wait():
    harness = FrontHarness()
    listener = harness.front.listener
    port_harness = PortHarness([errno.ENFILE], is_guarded=False)
    listener.port = port_harness.port
    listener.port.factory = listener
    listener.accept_guard = AcceptGuard(
        port_harness.port, harness.reactor.callLater, listener.update_accepting
    )
    assert not listener.stop() and listener.is_paused  # the first accept fails
    assert not listener.stop() and port_harness.failing_socket.calls == 1  # no second call during the pause
    harness.advance(MIN_PAUSE)
    assert not listener.stop() and listener.connection_count() == 1  # the client is accepted
    assert listener.stop() and listener.port is None  # the queue is empty, so the port is closed
    port_harness.close()


@pytest.mark.parametrize("error_number", [errno.EADDRINUSE, errno.ENOMEM, errno.ENOSPC])
def test_a_front_whose_port_cannot_be_opened_exits(error_number):
    """Twisted raises errors of listen(2) and epoll_ctl as they are; the front must not run without a port."""
    reactor, stopped = MemoryReactorClock(), []
    front = Front(reactor, read_site(configuration()))
    front.clock.now = reactor.seconds

    def refuse(*args, **kwargs):
        raise OSError(error_number, "injected")

    reactor.listenTCP = refuse
    reactor.stop = lambda: stopped.append(True)
    front.start()
    reactor.advance(1.0)
    assert stopped and not front.is_open


# Idle connections. A client's connection that is parked in the idle set has no transport; only its descriptor
# is watched, by an epoll object of the set. A connection whose bytes are not read is watched for its hangup.


class FailingEpoll:
    """An epoll object whose methods fail with the errors in `errors`, by the name of the method."""

    def __init__(self, epoll):
        self.epoll, self.errors = epoll, {}

    def raise_injected_error(self, name):
        if name in self.errors:
            raise OSError(self.errors[name], "injected")

    def poll(self, *args):
        self.raise_injected_error("poll")
        return self.epoll.poll(*args)

    def register(self, *args):
        self.raise_injected_error("register")
        return self.epoll.register(*args)

    def modify(self, *args):
        self.raise_injected_error("modify")
        return self.epoll.modify(*args)

    def __getattr__(self, name):
        return getattr(self.epoll, name)


@pytest.fixture
def pair():
    """The front's transport for an accepted connection, its reactor, and the client's socket."""
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        client = socket.create_connection(listening_socket.getsockname())
        accepted, address = listening_socket.accept()
        accepted.setblocking(False)
        reactor = MemoryReactorClock()
        transport = tcp.Server(accepted, Protocol(), address, None, 0, reactor)
        transport.protocol.makeConnection(transport)
        yield transport, reactor, client
        client.close()


def test_a_signal_during_a_poll_neither_raises_nor_loses_readable_connections(pair):
    transport, reactor, client = pair
    idle_set = EpollSet(reactor)
    idle_set.epoll = FailingEpoll(idle_set.epoll)
    fd = idle_set.detach(transport)
    client.sendall(b"call")
    idle_set.epoll.errors["poll"] = errno.EINTR
    assert idle_set.poll_readable(9) == []
    idle_set.epoll.errors.clear()
    assert idle_set.poll_readable(9) == [fd] and idle_set.read(fd) == b"call"
    idle_set.close(fd)
    idle_set.close_set()


def test_a_signal_during_a_poll_for_hangups_is_no_error(pair):
    transport, reactor, client = pair
    watcher, hangups = HangupWatcher(reactor), []
    watcher.watch(transport, lambda: hangups.append(1))
    watcher.epoll = FailingEpoll(watcher.epoll)
    client.close()
    watcher.epoll.errors["poll"] = errno.EINTR
    watcher.doRead()
    watcher.epoll.errors.clear()
    watcher.doRead()
    assert hangups == [1]


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.ENOMEM])
def test_a_connection_that_the_idle_set_cannot_register_stays_with_the_reactor(pair, error_number):
    transport, reactor, client = pair
    idle_set = EpollSet(reactor)
    idle_set.epoll = FailingEpoll(idle_set.epoll)
    idle_set.epoll.errors["register"] = error_number
    assert idle_set.detach(transport) is None
    assert transport.connected and transport in reactor.readers
    client.sendall(b"call")
    assert transport.socket.recv(9) == b"call"
    transport.socket.close()


@pytest.mark.parametrize("error_number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
def test_a_client_whose_hangup_cannot_be_watched_stays_connected(pair, error_number, monkeypatch):
    transport, reactor, _ = pair

    def refuse():
        raise OSError(error_number, "injected")

    monkeypatch.setattr(epoll_set.select, "epoll", refuse)
    before = anomalies[epoll_set.UNWATCHED_CLIENTS]
    watcher = HangupWatcher(reactor)
    watcher.watch(transport, lambda: None)
    assert (
        anomalies[epoll_set.UNWATCHED_CLIENTS] == before + 1 and not watcher.callbacks and transport.connected
    )
    transport.socket.close()


def test_a_reattached_connection_that_the_reactor_cannot_register_is_closed(pair):
    transport, reactor, client = pair
    idle_set = EpollSet(reactor)
    fd = idle_set.detach(transport)

    def refuse(reader):
        raise OSError(errno.ENOSPC, "injected")

    reactor.addReader = refuse
    with pytest.raises(OSError, match="injected"):
        idle_set.attach(fd, Protocol())
    client.settimeout(5)
    assert client.recv(1) == b""
    idle_set.close_set()


def harness_with_parked_clients(count):
    """Return a front in memory with the given number of clients, all of them parked in the idle set."""
    harness = FrontHarness(parking=True)
    for _ in range(count):
        harness.connect_client().dataReceived(probe(1))
    for _ in range(100):  # 1 s; idle connections are parked after 0.5 s
        harness.reactor.advance(0.01)
    harness.record_output()
    harness.trace.clear()
    assert harness.front.listener.idle_count() == count
    return harness


def test_only_the_idle_connection_that_cannot_be_reattached_is_closed():
    harness = harness_with_parked_clients(3)
    attach = harness.epoll_set.attach

    def attach_all_but_one(fd, protocol):
        if harness.epoll_set.client_indexes[fd] == 1:
            raise OSError(errno.ENOSPC, "injected")
        return attach(fd, protocol)

    harness.epoll_set.attach = attach_all_but_one
    for client_index in range(3):
        harness.epoll_set.deliver(client_index, probe(2))
    harness.front.listener.idle_pool.doRead()
    harness.advance(0.05)
    assert sorted(harness.trace) == [f"client {n} < 2 probe: good True" for n in (0, 2)]


def test_only_the_idle_connection_that_cannot_be_rearmed_is_closed():
    """A parked connection is reported as readable once, and has to be rearmed if it stays parked."""
    harness = harness_with_parked_clients(2)
    harness.epoll_set.read = lambda fd: None  # reported readable, with nothing to read

    def refuse(fd):
        raise OSError(errno.ENOMEM, "injected")

    harness.epoll_set.rearm = refuse
    harness.epoll_set.deliver(0, b"")
    harness.front.listener.idle_pool.doRead()
    assert harness.epoll_set.closed == [0] and harness.front.listener.idle_count() == 1


def test_a_connection_that_upkeep_finds_readable_before_the_reactor_is_reattached():
    """Otherwise its call stays unread: of twelve clients for over 1 s in seed 19 of the socket trials.

    Upkeep is the periodic round of checks of client connections, which also polls the idle set.
    """
    harness = harness_with_parked_clients(2)
    harness.epoll_set.deliver(0, probe(2))  # readable in the set; the reactor has not polled since
    harness.advance(0.11)  # upkeep runs every 0.1 s
    harness.advance()
    assert harness.trace == ["client 0 < 2 probe: good True"]


def test_an_error_of_close_still_frees_the_descriptor(pair, monkeypatch):
    transport, reactor, client = pair
    idle_set = EpollSet(reactor)
    fd = idle_set.detach(transport)
    close = os.close

    def interrupted(descriptor):
        close(descriptor)
        raise OSError(errno.EINTR, "injected")

    monkeypatch.setattr(epoll_set.os, "close", interrupted)
    idle_set.close(fd)
    assert client.recv(1) == b""
    idle_set.close_set()


# Logs.

# Arguments: the log format, and what is wrong with the target of the log (standard error).
LOGGING_PROGRAM = """
import os, sys
from loguru import logger
from weldbend import logs

log_format, log_target = sys.argv[1:]
if log_target == "closed pipe":
    reading, writing = os.pipe()
    os.dup2(writing, 2)
    os.close(reading)
elif log_target == "full disk":
    os.dup2(os.open("/dev/full", os.O_WRONLY), 2)
logs.start("info", log_format)
if log_target == "closed meanwhile":
    sys.stderr.close()
for number in range(200):
    logger.info("line {} {}", number, "x" * 100)
print("goes on")
"""


@pytest.mark.parametrize("log_format", ["text", "json"])
@pytest.mark.parametrize("log_target", ["closed pipe", "full disk", "closed meanwhile", "closed before"])
def test_a_broken_log_target_does_not_stop_the_program(log_format, log_target):
    # "closed before": the shell closes standard error (2>&-) before the program starts
    command = f'exec "$0" -c "$1" {log_format} "{log_target}"' + (
        " 2>&-" if log_target == "closed before" else ""
    )
    result = subprocess.run(
        ["sh", "-c", command, sys.executable, LOGGING_PROGRAM], capture_output=True, timeout=60
    )
    assert (result.returncode, result.stdout) == (0, b"goes on\n")


def test_json_log_lines_are_written_whole():
    lines = subprocess.run(
        [sys.executable, "-c", LOGGING_PROGRAM, "json", "nothing"],
        capture_output=True,
        timeout=60,
        check=True,
    ).stderr.splitlines()
    assert len(lines) == 200 and json.loads(lines[7])["message"] == "line 7 " + "x" * 100


def test_a_front_whose_log_reader_exits_keeps_serving_and_exits_on_sigterm(tmp_path):
    """With its log pipe closed, the front answers probes, reloads, and exits with status 0 on SIGTERM."""
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
                front.send_signal(signal.SIGHUP)  # logs a line; the unreachable bus causes others
                client.sendall(probe(number))
                answer = answer_text(stream.read(int.from_bytes(stream.read(4))))
                assert answer == f"{number} probe: good True"
            front.send_signal(signal.SIGTERM)
            assert stream.read() == b""
        assert front.wait(20) == 0
    finally:
        front.kill()
        front.wait(20)
