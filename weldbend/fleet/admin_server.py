"""What people ask a running front of its fleet: one JSON object a line over a loopback port, and the answers.

`{"ask": "status"}` and so on; an answer is `{"ok": ...}` or `{"wrong": "one line"}`. What is changed here is
an operators' setting for the whole fleet: `set`, and what parts of the fleet add (`more`).
"""

import json
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineOnlyReceiver

from weldbend.fleet.service import Fleet
from weldbend.fleet.settings import split

MOST = 4  # askers at once


class Asked(LineOnlyReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 4096

    def __init__(self, control: "AdminServer") -> None:
        self.control = control

    def connectionMade(self) -> None:
        self.control.open += 1
        if self.control.open > MOST:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.control.open -= 1

    def lineReceived(self, line: bytes) -> None:
        try:
            asked = json.loads(line)
            answer = {"ok": self.control.answer(asked)}
        except (ValueError, RecursionError, KeyError, TypeError, AttributeError) as wrong:
            answer = {"wrong": f"{type(wrong).__name__}: {wrong}"[:200]}
        self.sendLine(json.dumps(answer).encode())


class AdminServer(ServerFactory):
    noisy = False

    def __init__(self, fleet: Fleet, more: Mapping[str, Callable[[dict[str, Any]], Any]]) -> None:
        self.fleet, self.more, self.open = fleet, more, 0
        self.port: Any = None

    def listen(self, reactor: Any) -> None:
        host, port = split(self.fleet.terms.control)
        self.port = reactor.listenTCP(port, self, interface=host)

    def stop(self) -> None:
        if self.port:
            self.port.stopListening()

    def buildProtocol(self, addr: IAddress | None) -> Asked:
        return Asked(self)

    def answer(self, asked: dict[str, Any]) -> Any:
        if asked["ask"] in self.more:
            return self.more[asked["ask"]](asked)
        match asked["ask"]:
            case "status":
                return self.fleet.status()
            case "state":
                return self.fleet.state()
            case "explain":
                return [
                    one for one in self.fleet.state() if one["key"].partition("|")[0] == str(asked["cache"])
                ]
            case "set":
                name, version, value = str(asked["name"]), int(asked["version"]), str(asked["value"])
                held = self.fleet.copies.items.get(("setting", name))
                if held and version <= held.value[0]:
                    raise ValueError(f"{name} is at version {held.value[0]} already")
                self.fleet.say("setting", name, version, value)
                return self.fleet.copies.items["setting", name].value
        raise ValueError(f"unknown question {str(asked['ask'])!r:.40}")
