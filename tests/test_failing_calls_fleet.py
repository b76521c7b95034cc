"""System calls that fail under the fleet's ports: a datagram or some time is lost, never port or peer."""

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
    """Real UDP ports on loopback, TCP in memory; what raises is drawn from `errors`."""

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
    """A UDP socket whose calls fail with these errors first."""

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


class Plain:
    """In place of the authentication: a message is its own proof."""

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
def datagrams(runtime):
    received, counts = [], Counter()
    opened = DatagramPort(runtime, Plain(), lambda now, header, body: received.append(body), counts)
    opened.listen("127.0.0.1", 0)
    opened.received, opened.itself = received, Peer("a", *opened.port.socket.getsockname(), "")
    yield opened
    opened.close()
    runtime.reactor.advance(0)


MESSAGE = m.Leaving()


@pytest.mark.parametrize(
    "number", [errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM, errno.EAGAIN, errno.EHOSTUNREACH, errno.ENOMEM]
)
def test_a_datagram_that_cannot_go_is_a_lost_one_and_the_next_goes(datagrams, number):
    datagrams.port.socket = FailingSocket(datagrams.port.socket, sendto=[number])
    datagrams.send(datagrams.itself, MESSAGE)
    datagrams.send(datagrams.itself, MESSAGE)
    datagrams.port.doRead()
    assert datagrams.counts["datagrams that could not go"] == 1 and datagrams.received == [MESSAGE]


def test_a_port_that_an_error_of_reading_closed_is_opened_again(datagrams, runtime):
    """As the reactor does it: what `doRead` raises closes the port."""
    for opened_anew in (1, 2):
        address, before = datagrams.itself.port, datagrams.port
        before.socket = FailingSocket(before.socket, recvfrom=[errno.ENOMEM])
        with pytest.raises(OSError, match="injected"):
            before.doRead()
        before.connectionLost()
        datagrams.send(datagrams.itself, MESSAGE)
        assert datagrams.counts["datagrams that could not go"] == opened_anew
        datagrams.address = ("127.0.0.1", address)
        runtime.reactor.advance(REOPEN_DELAY)
        datagrams.send(datagrams.itself, MESSAGE)
        datagrams.port.doRead()
        assert datagrams.port is not before and datagrams.received == [MESSAGE] * opened_anew


def test_a_port_that_is_closed_on_purpose_stays_closed(datagrams, runtime):
    before = datagrams.port
    datagrams.close()
    runtime.reactor.advance(2 * REOPEN_DELAY)
    assert datagrams.port is before and not before.connected


def test_connecting_to_a_peer_that_raises_is_tried_again_with_a_backoff(runtime):
    manager = PeerConnections(runtime, Plain(), SimpleNamespace(), None)
    runtime.reactor.errors = [errno.EMFILE, errno.ENETUNREACH]
    manager.set_members([Peer("b", "127.0.0.1", 7, "")], ["b"])
    assert not runtime.reactor.tcpClients
    for _ in range(2):
        runtime.reactor.advance(MAX_BACKOFF)
    assert len(runtime.reactor.tcpClients) == 1


def test_the_ports_of_fleet_and_operators_are_guarded_as_the_clients_is(runtime, monkeypatch):
    guarded = []
    for module in (peer_connections, admin_server):
        monkeypatch.setattr(
            module, "AcceptGuard", lambda port, after: guarded.append(AcceptGuard(port, after))
        )
    PeerConnections(runtime, Plain(), SimpleNamespace(), None).listen("127.0.0.1", 1)
    settings = SimpleNamespace(admin_address="127.0.0.1:2")
    AdminServer(SimpleNamespace(settings=settings, timers=runtime.timers), {}).listen(runtime.reactor)
    assert len(guarded) == 2 and all(guard.port for guard in guarded)
