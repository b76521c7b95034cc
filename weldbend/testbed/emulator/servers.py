"""The emulated site on sockets: caches, parents and origin, and the event bus. Loopback only."""

import json
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import InvalidAnswerError
from weldbend.testbed.emulator.cache_commands import Command, InvalidCommandError, Parser, answer
from weldbend.testbed.emulator.cache_model import Box, World
from weldbend.testbed.emulator.configuration import listing

IN = 1 << 18
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class BoxConnection(Connection):
    """One connection of a front to an emulated cache."""

    def __init__(self, host: "BoxServer") -> None:
        self.host, self.ring = host, Ring(IN)
        self.parser = Parser(self.ring)
        self.out: dict[str, Any] = {}  # delayed answers by name

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self.ring.write(rest) :]
                for command in self.parser.all():
                    self.take(command)
        except (InvalidCommandError, InvalidAnswerError):
            self.close()

    def take(self, command: Command) -> None:
        box = self.host.box
        match command.word:
            case "do":
                self.do(command, box)
            case "undo":
                if late := self.out.pop(command.name, None):
                    late.cancel()
                    box.open -= 1
                    box.count("undone")
            case _:
                self.write(answer(command.name, "FIT", {"use": f"inflight:{box.open};util:0.1"}))

    def do(self, command: Command, box: Box) -> None:
        now = self.host.now()
        try:
            told = self.host.world.do(box.uid, command.fields, now, self.host.unix())
        except (KeyError, ValueError):
            self.write(answer(command.name, "BROKE", {}))
            return
        box.open += 1

        def tell() -> None:
            box.open -= 1
            self.out.pop(command.name, None)
            self.write(answer(command.name, told.word, told.fields, told.body))

        self.out[command.name] = self.host.reactor.callLater(max(told.at - now, 0.0), tell)

    def write(self, data: bytes) -> None:
        if self.transport:
            self.transport.write(data)

    def close(self) -> None:
        if self.transport:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        for late in self.out.values():
            late.cancel()
            self.host.box.open -= 1
        self.out.clear()


class BoxServer(Factory):
    noisy = False

    def __init__(
        self,
        reactor: Any,
        world: World,
        box: Box,
        now: Callable[[], float] = time.monotonic,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.reactor, self.world, self.box, self.now, self.unix = reactor, world, box, now, unix

    def buildProtocol(self, addr: IAddress | None) -> BoxConnection:
        return BoxConnection(self)


class BusConnection(Connection):
    """One reader of the bus: what it has not seen, then what comes, and a comment each second."""

    def __init__(self, bus: "BusServer") -> None:
        self.bus, self.asked, self.serving = bus, b"", False

    def dataReceived(self, data: bytes) -> None:
        if self.serving:
            return
        self.asked += data[: 1 << 14]
        if b"\r\n\r\n" not in self.asked or not self.transport:
            return
        self.serving = True
        lines = self.asked.decode("latin-1").split("\r\n")
        last = next((line[14:].strip() for line in lines if line.lower().startswith("last-event-id:")), "0")
        self.transport.write(HEAD)
        for event in self.bus.events:
            if event["offset"] > (int(last) if last.isdigit() else 0):
                self.tell(event)
        self.bus.readers[self] = None

    def tell(self, event: dict[str, Any]) -> None:
        if self.transport:
            self.transport.write(f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode())

    def comment(self) -> None:
        if self.transport:
            self.transport.write(b": here\n")

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        self.bus.readers.pop(self, None)


class BusServer(Factory):
    noisy = False

    def __init__(self, reactor: Any, targets: list[dict[str, Any]]) -> None:
        self.reactor, self.readers = reactor, dict[BusConnection, None]()
        self.events = [listing(1, *targets, whole=True)]
        self.beat()

    def beat(self) -> None:
        for reader in list(self.readers):
            reader.comment()
        self.reactor.callLater(1.0, self.beat)

    def tell(self, **event: Any) -> None:
        """Publish one event, numbered after the last: `topology={...}` or `ban={...}`."""
        held = {"offset": self.events[-1]["offset"] + 1} | event
        self.events.append(held)
        for reader in list(self.readers):
            reader.tell(held)

    def buildProtocol(self, addr: IAddress | None) -> BusConnection:
        return BusConnection(self)
