"""Guards against requests without an answer at the end of a shutdown, before SIGKILL.

SIGKILL follows SIGTERM after the longest deadline of the site, of which at most 3 s count, and 0.7 s more.
Clients send requests until their connections end, and each of these requests has to be answered.
"""

import socket
import subprocess
import sys
import threading
import time

import pytest
from fronts import TARGETS, FrontHarness, answer_text, process, target

from weldbend.buffers.ring import Ring
from weldbend.front.configuration import read_site
from weldbend.testbed.emulator.configuration import SETTINGS
from weldbend.testbed.emulator.configuration import configuration as emulated_configuration
from weldbend.thrift import messages
from weldbend.thrift.framing import next_frame

TIMEOUT = 20.0  # seconds after which a test gives up
REQUEST_INTERVAL = 0.02  # seconds between two requests of one client
MAX_OPEN_REQUESTS = 25  # requests of one client without an answer
RACE_WINDOW = 0.05  # seconds before a close; a request sent then may cross it, and a client would resend it


def harness_with_deadlines(seconds):
    """Return a front whose request classes all have a deadline of so many seconds."""
    harness = FrontHarness()
    for request_class in harness.front.site.settings.classes.values():
        object.__setattr__(request_class, "deadline_after", seconds)
    return harness


@pytest.mark.parametrize("longest_deadline", [0.1, 0.3, 1.0, 3.0, 9.0])
def test_requests_received_until_sigkill_are_answered_and_the_front_exits_before_it(longest_deadline):
    harness = harness_with_deadlines(longest_deadline)
    client = harness.connect_client()
    kill_at = min(longest_deadline, 3.0) + 0.7
    harness.front.terminate()
    sent = 0
    while not harness.reactor.hasStopped and harness.reactor.seconds() < kill_at + 1.0:
        if not client.transport.disconnecting:
            sent += 1
            harness.send(client, process(sent, wait="100"))
        harness.advance(0.01)
    stopped_at = harness.reactor.seconds()
    answered = {int(line.split()[3]) for line in harness.trace if line.startswith("client 0 <")}
    assert answered == set(range(1, sent + 1)) and sent > 20
    assert stopped_at < kill_at, "the front has to exit before SIGKILL"


def test_calls_queued_behind_a_slow_reader_are_answered_at_the_end_of_the_shutdown():
    harness = harness_with_deadlines(0.3)
    client = harness.connect_client()
    client.pauseProducing()
    # The first answer fills most of the ring for answers (256 KiB), so the second one waits in a queue.
    for seqid in (101, 102):
        client.writer.write(messages.success_reply("process", seqid, bytes(240_000), {}, True))
    harness.send(client, process(1, wait="300"), process(2, wait="300"))
    assert not client.open_requests and len(client.incoming)  # the calls are received and not handled yet
    harness.front.terminate()
    # Open requests are aborted 0.3 + 0.4 = 0.7 s after SIGTERM; checks for the exit are 0.02 s apart.
    harness.advance(0.7)
    harness.advance(0.03)
    assert not client.transport.disconnecting, "answers are still buffered for this client"
    client.resumeProducing()
    harness.advance(0.01)
    assert client.transport.disconnecting
    harness.assert_trace("""
        client 0 < 101 process: '240000 bytes'
        client 0 < 102 process: '240000 bytes'
        client 0 < 1 throttled {'after': '1000'}
        client 0 < 2 throttled {'after': '1000'}
    """)


class SendingClient(threading.Thread):
    """A thread that sends requests on one connection until the front closes it, and records the answers."""

    def __init__(self, address, number):
        super().__init__()
        self.address, self.number = address, number
        self.sent_at, self.answers, self.closed_at = {}, {}, 0.0

    def run(self):
        ring = Ring(1 << 20)
        with socket.create_connection(self.address, TIMEOUT) as connection:
            connection.settimeout(REQUEST_INTERVAL)
            while not self.closed_at:
                seqid = len(self.sent_at) + 1
                request_id = f"{self.number:08x}{seqid:08x}"
                try:
                    if len(self.sent_at) - len(self.answers) < MAX_OPEN_REQUESTS:
                        connection.sendall(process(seqid, wait="300", id=request_id))
                        self.sent_at[seqid] = time.monotonic()
                    ring.write(data := connection.recv(1 << 16))
                except TimeoutError:
                    continue
                except OSError:
                    data = b""
                if not data:
                    self.closed_at = time.monotonic()
                while frame := next_frame(ring, 1 << 20):
                    text = answer_text(frame)
                    self.answers[int(text.split()[0])] = text


def write_site_with_short_deadlines(tmp_path, cache, bus, listen):
    lanes = [lane | {"deadline_us": 300000, "goal_time_us": 200000} for lane in SETTINGS["lanes"]]
    cache_entry = target("e1", port=cache.getsockname()[1]) | {"capacity_hint": 1000}
    path = tmp_path / "front.json"
    path.write_text(
        emulated_configuration(
            (cache_entry,),
            settings=SETTINGS | {"lanes": lanes},
            listen=f"127.0.0.1:{listen}",
            bus=f"127.0.0.1:{bus.getsockname()[1]}",
        )
    )
    return path


def test_a_process_with_deadlines_of_300_ms_answers_every_request_and_exits_in_time(tmp_path):
    """The only cache accepts connections and answers nothing; clients send until they are disconnected.

    The front stops handling requests 0.3 + 0.4 = 0.7 s after SIGTERM, and SIGKILL would follow after
    0.3 + 0.7 = 1 s. The clients must not be disconnected before 0.6 s.
    """
    with (
        socket.create_server(("127.0.0.1", 0), backlog=64) as cache,
        socket.create_server(("127.0.0.1", 0)) as bus,
        socket.create_server(("127.0.0.1", 0)) as port_reservation,
    ):
        port = port_reservation.getsockname()[1]
        port_reservation.close()
        command = [sys.executable, "-O", "-m", "weldbend", "serve", "--config"]
        command.append(str(write_site_with_short_deadlines(tmp_path, cache, bus, port)))
        front = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        try:
            assert any("serves on" in line for line in front.stderr)
            clients = [SendingClient(("127.0.0.1", port), number) for number in range(1, 4)]
            for client in clients:
                client.start()
            time.sleep(0.3)
            terminated_at = time.monotonic()
            front.terminate()
            front.wait(TIMEOUT)
            duration = time.monotonic() - terminated_at
            for client in clients:
                client.join(TIMEOUT)
        finally:
            if front.poll() is None:
                front.kill()
            front.wait(TIMEOUT)
            front.stderr.close()
    assert duration < 1.0, "SIGKILL may follow 0.7 s after the longest deadline, which is 0.3 s"
    for client in clients:
        due = {  # requests that must have an answer
            seqid
            for seqid, sending_time in client.sent_at.items()
            if sending_time < client.closed_at - RACE_WINDOW
        }
        assert client.closed_at > terminated_at + 0.6, "the client was disconnected too early"
        assert len(due) > 20 and due <= set(client.answers), sorted(due - set(client.answers))


def test_a_reload_with_shorter_deadlines_during_a_shutdown_loses_no_open_request():
    """Requests keep the deadline with which they were accepted; the front must not exit before it."""
    harness = FrontHarness()  # deadlines of 6 and 9 s, of which a shutdown waits for 3 s
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.front.terminate()
    harness.advance(0.3)
    settings = SETTINGS | {"lanes": [lane | {"deadline_us": 500_000} for lane in SETTINGS["lanes"]]}
    document = emulated_configuration(TARGETS, settings=settings)
    harness.front.read_new_site = lambda: read_site(document)
    harness.front.reload()
    for _ in range(20):  # 2.0 s
        harness.advance(0.1)
    assert not harness.reactor.hasStopped
    harness.answer("e2", 1, "DONE", body=b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"
    harness.send(client, process(2, wait="500"))  # the new deadline applies to new requests
    for _ in range(30):
        harness.advance(0.1)
    assert harness.reactor.hasStopped
    assert sum(line.startswith("client 0 < 2 ") for line in harness.trace) == 1
