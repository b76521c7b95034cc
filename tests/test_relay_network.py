"""Relays between the fronts of a fleet of processes: a connection lost on one side is closed on the other.

A relay accepts a connection (near) and opens one to the front behind it (far).
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Connects to a relay, resets that connection (by closing it with a linger time of 0) before the far one is
# established, and waits up to 5 s until the far one is closed.
SCRIPT = """
import socket, struct
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from weldbend.testbed.fleet.relay_network import LinkRelay, RelayNetwork

class Far(Protocol):
    def connectionLost(self, reason):
        print("far side closed", flush=True)
        if reactor.running:
            reactor.stop()

factory = Factory.forProtocol(Far)
far = reactor.listenTCP(0, factory, interface="127.0.0.1").getHost().port
relay = LinkRelay(RelayNetwork(reactor, 1), (1, 2), far)
near = reactor.listenTCP(0, relay, interface="127.0.0.1").getHost().port
connection = socket.create_connection(("127.0.0.1", near))
connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
connection.close()
reactor.callLater(5, lambda: (print("far side left open", flush=True), reactor.stop()))
reactor.run()
"""


def test_the_far_connection_is_closed_if_the_near_one_was_reset_before_the_far_one_was_established():
    completed = subprocess.run(
        [sys.executable, "-c", SCRIPT], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.stdout == "far side closed\n", completed.stderr
