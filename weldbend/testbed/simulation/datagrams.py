"""Datagrams on the virtual network, with loss, duplication, delay and reordering by path."""

from typing import TYPE_CHECKING

from twisted.internet.protocol import DatagramProtocol

from weldbend.testbed.simulation.network import DEFAULT_DUPLICATION, Address, AddressTakenError

if TYPE_CHECKING:  # for annotations only: a machine opens these ports
    from weldbend.testbed.simulation.machine import Machine


class DatagramPort:
    """UDP port of a machine; also the transport of the protocol that receives on it."""

    SOCKET_BUFFER = 64  # datagrams buffered while the process is frozen

    def __init__(self, machine: "Machine", host: str, port: int, protocol: DatagramProtocol) -> None:
        self.machine = machine
        self.network = machine.network
        self.address: Address = (host, port)
        self.protocol = protocol
        self.buffered = 0
        if self.address in self.network.datagram_ports:
            raise AddressTakenError(self.address)
        self.network.datagram_ports[self.address] = self
        protocol.transport = self  # type: ignore[assignment]  # has the methods that the protocols call

    def write(self, data: bytes, to: Address) -> None:
        """Send one datagram."""
        network = self.network
        path = (self.machine.host, to[0])
        network.record_bytes(f"datagram {self.machine.host}>{to[0]}:{to[1]}", data)
        if not network.is_open(*path) or network.random.random() < network.datagram_loss.get(path, 0.0):
            return
        is_duplicated = network.random.random() < network.datagram_duplication.get(path, DEFAULT_DUPLICATION)
        for _ in range(1 + is_duplicated):
            latency = network.draw_latency()
            delay = latency + network.extra_delay.get(path, 0.0) * (0.5 + network.random.random())
            network.events.schedule(delay, lambda: self._arrive(data, to))

    def _arrive(self, data: bytes, to: Address) -> None:
        receiver = self.network.datagram_ports.get(to)
        if receiver is None:
            return
        machine = receiver.machine
        if machine.is_frozen and receiver.buffered >= self.SOCKET_BUFFER:
            return
        receiver.buffered += machine.is_frozen
        machine.run_guarded(receiver.receive, data, (self.machine.host, self.address[1]))

    def receive(self, data: bytes, sender: Address) -> None:
        """Deliver a datagram to the protocol."""
        self.buffered = 0
        self.protocol.datagramReceived(data, sender)

    def stopListening(self) -> None:
        """Close the port."""
        self.network.datagram_ports.pop(self.address, None)
