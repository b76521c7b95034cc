"""Tests of the program as an operator runs it: start, shutdown, kill, and a start that fails.

The front is a process of its own; its clients and its cache are blocking sockets in the test's process. Each
step waits for the effect of the previous one.
"""

import json
import re
import selectors
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from fronts import answer_text, configuration, probe, process, target

TIMEOUT = 20.0  # seconds after which a test gives up


class FrontProcess:
    """A front that runs as a separate process."""

    def __init__(self, path, *options):
        command = [sys.executable, "-O", "-m", "weldbend", "serve", "--config", str(path), *options]
        self.process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        self.wait_for_log("serves on")

    def wait_for_log(self, text):
        """Return the next log line that contains this text; fail if the process ends without one."""
        for line in self.process.stderr:
            if text in line:
                return line
        raise AssertionError(f"the front ended without logging {text!r}")

    def kill_and_wait(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(TIMEOUT)
        self.process.stderr.close()


@pytest.fixture
def site(tmp_path):
    """A configuration on free loopback ports, the front's address, and the socket of the cache it lists."""
    with socket.create_server(("127.0.0.1", 0)) as cache, socket.create_server(("127.0.0.1", 0)) as bus:
        cache.settimeout(TIMEOUT)
        with socket.create_server(("127.0.0.1", 0)) as spare:
            address = spare.getsockname()
        listen = f"127.0.0.1:{address[1]}"
        path = tmp_path / "front.json"
        path.write_text(
            configuration(
                targets=(target("e1", port=cache.getsockname()[1]) | {"capacity_hint": 1000},),
                listen=listen,
                bus=f"127.0.0.1:{bus.getsockname()[1]}",
            )
        )
        yield path, address, cache


def connect_and_send(address, *frames):
    """Send frames on a new connection, and return the stream of its answers."""
    with socket.create_connection(address, TIMEOUT) as client:
        client.sendall(b"".join(frames))
        return client.makefile("rb")


def read_answer(client):
    return answer_text(client.read(int.from_bytes(client.read(4))))


def read_commands(stream, count):
    """Read the next commands that a cache receives, and return the ids of their requests."""
    names = []
    for _ in range(count):
        names.append(int(re.match(rb"do (\w{16}) .* 0\r\n", stream.readline())[1], 16))
        assert stream.readline() == b"\r\n"
    return names


def test_sigterm_under_load_loses_no_answer(site):
    path, address, cache = site
    program = FrontProcess(path)
    try:
        first_client = connect_and_send(address, process(1), process(2), probe(3))
        assert read_answer(first_client) == "3 probe: good True"
        program.process.send_signal(signal.SIGHUP)
        program.wait_for_log("new configuration")
        path.write_text("{")  # a reload with an unusable configuration
        program.process.send_signal(signal.SIGHUP)
        program.wait_for_log("the current one stays in use")
        connection = cache.accept()[0]
        stream = connection.makefile("rb")
        assert read_commands(stream, 2) == [1, 2]
        started_at = time.monotonic()
        program.process.send_signal(signal.SIGTERM)
        program.wait_for_log("shutdown requested")
        second_client = connect_and_send(address, process(9), probe(1))
        assert read_answer(second_client) == "1 probe: good False"
        assert read_commands(stream, 1) == [9]
        body = b"x" * 200_000
        for number in (9, 2, 1):
            connection.sendall(b"%016x DONE - %d\r\n%b\r\n" % (number, len(body), body))
        assert read_answer(second_client) == "9 process: '200000 bytes'"
        assert {read_answer(first_client), read_answer(first_client)} == {
            f"{n} process: '200000 bytes'" for n in (1, 2)
        }
        # no exit within 0.7 s of SIGTERM, as clients still send requests
        assert program.process.wait(TIMEOUT) == 0 and time.monotonic() - started_at >= 0.7
        assert first_client.read() == second_client.read() == b""
        for resource in (first_client, second_client, connection, stream):
            resource.close()
    finally:
        program.kill_and_wait()


def test_a_front_started_after_a_kill_needs_no_state_of_the_killed_one(site):
    path, address, cache = site
    for _ in range(2):
        program = FrontProcess(path)
        try:
            client = connect_and_send(address, process(1))
            connection = cache.accept()[0]
            stream = connection.makefile("rb")
            assert read_commands(stream, 1) == [1]
            connection.sendall(b"%016x DONE - 2\r\nok\r\n" % 1)
            assert read_answer(client) == "1 process: 'ok'"
            program.process.kill()
            program.process.wait(TIMEOUT)
            assert client.read() == b""
            for resource in (client, connection, stream):
                resource.close()
        finally:
            program.kill_and_wait()


def test_memory_and_descriptors_stay_within_limits_with_341_connections_and_slow_readers(site):
    """Two of 341 clients send 32 requests each, the limit, and read nothing until the cache has sent all."""
    path, address, cache = site
    program = FrontProcess(path)
    try:
        clients = [connect_and_send(address, probe(1)) for _ in range(339)]
        assert {read_answer(client) for client in clients} == {"1 probe: good True"}
        request_frames = [
            [process(n, key=f"{n:016x}") for n in range(32 * k + 1, 32 * k + 33)]
            for k in (0, 1)  # one list for each slow client
        ]
        slow = [connect_and_send(address, *frames) for frames in request_frames]
        connections = [cache.accept()[0] for _ in slow]
        streams = [connection.makefile("rb") for connection in connections]
        body = b"x" * 240_000
        for connection, names in [
            (connection, read_commands(stream, 32))
            for connection, stream in zip(connections, streams, strict=True)
        ]:
            for number in names:
                connection.sendall(b"%016x DONE - %d\r\n%b\r\n" % (number, len(body), body))
        process_directory = f"/proc/{program.process.pid}"
        for client, frames in zip(slow, request_frames, strict=True):
            assert len({read_answer(client) for _ in frames}) == 32
        assert len(list(Path(process_directory, "fd").iterdir())) < 400
        peak = re.search(r"VmHWM:\s+(\d+) kB", Path(process_directory, "status").read_text())
        assert int(peak[1]) < 150_000
        for resource in (*clients, *slow, *connections, *streams):
            resource.close()
    finally:
        program.kill_and_wait()


def test_a_start_with_an_unusable_configuration_or_port_fails_with_a_message(site, tmp_path):
    """A configuration that cannot be used gives one line of output."""
    path, address, _ = site
    text = path.read_text()
    unusable_files = {
        "cannot be read": None,
        "cannot be used": "{",
        "lacks 'bus'": text.replace('"bus"', '"buss"'),
        "lacks 'lanes'": text.replace('"lanes"', '"lanez"'),
    }
    for message, content in unusable_files.items():
        other_path = tmp_path / "other.json"
        other_path.unlink(missing_ok=True)
        if content is not None:
            other_path.write_text(content)
        command = [sys.executable, "-m", "weldbend", "serve", "--config", str(other_path)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT)
        assert (
            result.returncode != 0 and message in result.stderr and result.stderr.count("\n") == 1
        ), result.stderr
    with socket.create_server(address):
        command = [sys.executable, "-m", "weldbend", "serve", "--config", str(path)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT)
        assert result.returncode == 1 and "cannot listen" in result.stderr


def test_parked_connections_are_reattached_and_a_shutdown_with_hundreds_of_them_ends_in_time(site, tmp_path):
    """300 clients are parked as idle; 100 of them leave, 100 new ones come, and the other 200 send a call.

    A parked connection has no object of its own, and is reattached to one when bytes arrive. The counters
    call this a wakeup.
    """
    path, address, cache = site
    installation_path = tmp_path / "weldbend.ini"
    installation_path.write_text("[clients]\nidle = 1 h\npark-after = 100 ms\n")
    program = FrontProcess(path, "--installation", str(installation_path), "--log-form", "json")
    try:
        clients = [connect_and_send(address, probe(1)) for _ in range(300)]
        assert {read_answer(client) for client in clients} == {"1 probe: good True"}
        descriptors = Path(f"/proc/{program.process.pid}/fd")
        time.sleep(0.5)  # they are parked after 0.1 s; the counters below show whether that happened
        for client in clients[:100]:
            client.close()
        new_clients = [connect_and_send(address, probe(1)) for _ in range(100)]
        assert {read_answer(client) for client in new_clients} == {"1 probe: good True"}
        for client in clients[100:]:
            client.raw._sock.sendall(probe(2))
        assert {read_answer(client) for client in clients[100:]} == {"2 probe: good True"}
        clients[100].raw._sock.sendall(process(3))
        connection = cache.accept()[0]
        stream = connection.makefile("rb")
        assert read_commands(stream, 1) == [3]
        assert len(list(descriptors.iterdir())) < 340
        started_at = time.monotonic()
        program.process.send_signal(signal.SIGTERM)
        connection.sendall(b"%016x DONE - 2\r\nok\r\n" % 3)
        assert read_answer(clients[100]) == "3 process: 'ok'"
        counters = json.loads(program.wait_for_log('"message": "counters'))
        assert program.process.wait(TIMEOUT) == 0 and time.monotonic() - started_at < 3.4
        assert (
            counters["idle_wakeups"] >= 200
            and counters["max_idle_connections"] >= 290
            and not counters["violations"]
        )
        assert all(client.read() == b"" for client in (*new_clients, *clients[100:]))
        for resource in (*new_clients, *clients[100:], connection, stream):
            resource.close()
    finally:
        program.kill_and_wait()


def send_all(address, frames_of_clients):
    """Send frames on one connection for each client, all at once, and return the streams of the answers."""
    selector = selectors.DefaultSelector()
    clients = []
    for frames in frames_of_clients:
        clients.append(socket.create_connection(address, TIMEOUT))
        clients[-1].setblocking(False)
        selector.register(clients[-1], selectors.EVENT_WRITE, memoryview(b"".join(frames)))
    while selector.get_map():
        for key, _ in selector.select(TIMEOUT):
            rest = key.data[key.fileobj.send(key.data) :]
            if rest:
                selector.modify(key.fileobj, selectors.EVENT_WRITE, rest)
            else:
                selector.unregister(key.fileobj)
    for client in clients:
        client.settimeout(TIMEOUT)
    return [client.makefile("rb") for client in clients]


def anonymous_memory(process_id):
    """Return the bytes of memory of a process that belong to no file."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"RssAnon:\s+(\d+) kB", status)[1]) * 1024


def test_a_burst_of_writes_that_stay_open_keeps_the_process_within_its_memory_limit(site):
    """60 clients send 31 writes of 48,000 bytes each, 89 MB in all, and the origin does not answer."""
    path, address, cache = site
    memory_limit = 64 << 20  # bytes
    origin = target("o1", "origin", "h", port=cache.getsockname()[1])
    listen = f"127.0.0.1:{address[1]}"
    limits = {"cores": 1.0, "memory_mb": memory_limit >> 20, "sockets": 256}
    bus = json.loads(path.read_text())["bus"]
    path.write_text(configuration((origin,), limits=limits, listen=listen, bus=bus, open_cap=20_000))
    program = FrontProcess(path)
    try:
        order = {"class": "order", "once": "ab"}
        frames = [
            [*(process(n, b"x" * 48_000, id=f"{31 * k + n:016x}", **order) for n in range(1, 32)), probe(32)]
            for k in range(60)
        ]
        for client in send_all(address, frames):
            while read_answer(client) != "32 probe: good True":  # the front has handled all calls before it
                pass
        assert anonymous_memory(program.process.pid) < memory_limit
    finally:
        program.kill_and_wait()
