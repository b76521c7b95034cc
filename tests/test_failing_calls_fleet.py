"""System calls that fail in the fleet's ports.

A failed call may lose a datagram or delay a connection, but must not leave the port closed or the peer
unconnected.
"""

import errno
from collections import Counter
from types import SimpleNamespace

import pytest
from twisted.internet import udp
from twisted.internet.testing import MemoryReactorClock

from weldbend.accept_guard import AcceptGuard
from weldbend.fleet import admin_server, peer_connections
from weldbend.fleet import messages as m
from weldbend.fleet.admin_server import AdminServer
from weldbend.fleet.datagram_port import REOPEN_DELAY, DatagramPort
from weldbend.fleet.peer_connections import MAX_BACKOFF, PeerConnections
from weldbend.fleet.runtime import Runtime
from weldbend.fleet.settings import Peer


class FleetReactor(MemoryReactorClock):
    """A reactor with real UDP ports on loopback and TCP in memory.

    The first connects fail, one for each error number in `errors`.
    """

    errors = ()

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192):
        opened = udp.Port(port, protocol, interface, maxPacketSize, self)
        opened.startListening()
        return opened

    def connectTCP(self, *args, **kwargs):
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return super().connectTCP(*args, **kwargs)


class FailingSocket:
    """A UDP socket whose first calls of a method fail, with the error numbers given under its name."""

    def __init__(self, opened, **errors):
        self.opened, self.errors = opened, errors

    def fail(self, name):
        if self.errors.get(name):
            raise OSError(self.errors[name].pop(0), "injected")

    def recvfrom(self, *args):
        self.fail("recvfrom")
        return self.opened.recvfrom(*args)

    def sendto(self, *args):
        self.fail("sendto")
        return self.opened.sendto(*args)

    def __getattr__(self, name):
        return getattr(self.opened, name)


class PassThroughAuthenticator:
    """An authenticator that accepts each message and adds nothing to it."""

    name = "a"

    def authenticate(self, peer, body):
        return body

    def verify(self, datagram):
        return SimpleNamespace(header="header", body=datagram)


@pytest.fixture
def runtime():
    reactor = FleetReactor()
    timers = SimpleNamespace(now=reactor.seconds, after=reactor.callLater)
    return Runtime(reactor, timers, lambda count: b"x" * count)


@pytest.fixture
def datagram_port(runtime):
    received, counts = [], Counter()
    opened = DatagramPort(
        runtime, PassThroughAuthenticator(), lambda now, header, body: received.append(body), counts
    )
    opened.listen("127.0.0.1", 0)
    # The tests send datagrams to the port itself, as a peer.
    opened.received, opened.own_peer = received, Peer("a", *opened.port.socket.getsockname(), "")
    yield opened
    opened.close()
    runtime.reactor.advance(0)


MESSAGE = m.Leaving()


@pytest.mark.parametrize(
    "error_number",
    [errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM, errno.EAGAIN, errno.EHOSTUNREACH, errno.ENOMEM],
)
def test_a_send_error_loses_one_datagram_and_the_next_is_sent(datagram_port, error_number):
    datagram_port.port.socket = FailingSocket(datagram_port.port.socket, sendto=[error_number])
    datagram_port.send(datagram_port.own_peer, MESSAGE)
    datagram_port.send(datagram_port.own_peer, MESSAGE)
    datagram_port.port.doRead()
    assert datagram_port.counts["datagrams that could not go"] == 1 and datagram_port.received == [MESSAGE]


def test_a_datagram_port_closed_by_a_read_error_is_reopened(datagram_port, runtime):
    """The test closes the port itself, as the reactor does when `doRead` raises."""
    for reopenings in (1, 2):  # number of times that the port has been reopened at the end of the pass
        address, closed_port = datagram_port.own_peer.port, datagram_port.port
        closed_port.socket = FailingSocket(closed_port.socket, recvfrom=[errno.ENOMEM])
        with pytest.raises(OSError, match="injected"):
            closed_port.doRead()
        closed_port.connectionLost()
        datagram_port.send(datagram_port.own_peer, MESSAGE)
        assert datagram_port.counts["datagrams that could not go"] == reopenings
        datagram_port.address = ("127.0.0.1", address)  # reopen with the number of the closed port
        runtime.reactor.advance(REOPEN_DELAY)
        datagram_port.send(datagram_port.own_peer, MESSAGE)
        datagram_port.port.doRead()
        assert datagram_port.port is not closed_port and datagram_port.received == [MESSAGE] * reopenings


def test_a_datagram_port_closed_by_close_stays_closed(datagram_port, runtime):
    closed_port = datagram_port.port
    datagram_port.close()
    runtime.reactor.advance(2 * REOPEN_DELAY)
    assert datagram_port.port is closed_port and not closed_port.connected


def test_a_failed_connect_to_a_peer_is_retried_with_backoff(runtime):
    manager = PeerConnections(runtime, PassThroughAuthenticator(), SimpleNamespace(), None)
    runtime.reactor.errors = [errno.EMFILE, errno.ENETUNREACH]
    manager.set_members([Peer("b", "127.0.0.1", 7, "")], ["b"])
    assert not runtime.reactor.tcpClients
    for _ in range(2):  # the second attempt fails, too, and the third one succeeds
        runtime.reactor.advance(MAX_BACKOFF)
    assert len(runtime.reactor.tcpClients) == 1


def test_the_fleet_port_and_the_admin_port_have_accept_guards(runtime, monkeypatch):
    guarded = []
    for module in (peer_connections, admin_server):
        monkeypatch.setattr(
            module, "AcceptGuard", lambda port, after: guarded.append(AcceptGuard(port, after))
        )
    PeerConnections(runtime, PassThroughAuthenticator(), SimpleNamespace(), None).listen("127.0.0.1", 1)
    settings = SimpleNamespace(admin_address="127.0.0.1:2")
    AdminServer(SimpleNamespace(settings=settings, timers=runtime.timers), {}).listen(runtime.reactor)
    assert len(guarded) == 2 and all(guard.port for guard in guarded)
