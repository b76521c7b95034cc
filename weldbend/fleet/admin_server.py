"""Answers operators' questions about the fleet: one JSON object a line over a loopback port.

A question is `{"ask": "status"}` and so on; an answer is `{"ok": ...}` or `{"wrong": "one line"}`. What is
changed here is an operators' setting for the whole fleet: `set`, and what other modules add (`questions`).
"""

import json
from collections.abc import Callable, Mapping
from typing import Any, cast

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from weldbend.accept_guard import AcceptGuard
from weldbend.fleet import fleet_status
from weldbend.fleet.replicated_items import SETTING, Value
from weldbend.fleet.runtime import ListeningPort, Reactor, StreamTransport
from weldbend.fleet.service import Fleet
from weldbend.fleet.settings import split_address

MAX_CONNECTIONS = 4  # open at once
MAX_QUESTION = 4096  # bytes of one line
MAX_ERROR = 200  # characters of an answer that says what is wrong

Question = dict[str, Any]  # as it came: each answer checks the fields that it uses
Answer = Callable[[Question], Any]


class AdminConnection(LineOnlyReceiver):
    """One operator's connection."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_QUESTION

    def __init__(self, server: "AdminServer") -> None:
        self.server = server

    def connectionMade(self) -> None:
        """Refuse it where too many are open."""
        self.server.connections += 1
        if self.server.connections > MAX_CONNECTIONS:
            cast(StreamTransport, self.transport).loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The connection has ended."""
        self.server.connections -= 1

    def lineReceived(self, line: bytes) -> None:
        """Answer one question; what cannot be answered is said in one line."""
        try:
            reply = {"ok": self.server.answer(json.loads(line))}
        except (ValueError, RecursionError, KeyError, TypeError, AttributeError) as error:
            reply = {"wrong": f"{type(error).__name__}: {error}"[:MAX_ERROR]}
        self.sendLine(json.dumps(reply).encode())  # type: ignore[no-untyped-call]  # Twisted gives no types


class AdminServer(ServerFactory):
    """The admin port of one front; `questions` are answered by other modules, by their names."""

    noisy = False

    def __init__(self, fleet: Fleet, questions: Mapping[str, Answer]) -> None:
        self.fleet = fleet
        self.answers: dict[str, Answer] = {
            "status": lambda question: fleet_status.status(fleet),
            "state": lambda question: fleet_status.items(fleet),
            "explain": self._explain,
            "set": self._set,
            **questions,
        }
        self.connections = 0
        self.port: ListeningPort | None = None

    def listen(self, reactor: Reactor) -> None:
        """Open the port."""
        host, port = split_address(self.fleet.settings.admin_address)
        self.port = reactor.listenTCP(port, self, interface=host)
        AcceptGuard(self.port, self.fleet.timers.after)

    def stop(self) -> None:
        """Close the port."""
        if self.port:
            self.port.stopListening()

    def buildProtocol(self, addr: IAddress | None) -> AdminConnection:
        """An operator connects."""
        return AdminConnection(self)

    def answer(self, question: Question) -> Any:  # noqa: ANN401 - what JSON can hold
        """Answer a question.

        Raises:
            ValueError: there is no such question, or a field has a wrong value.
            KeyError: a field is missing.
        """
        name = question["ask"]
        answer = self.answers.get(name)
        if answer is None:
            problem = f"unknown question {str(name)!r:.40}"
            raise ValueError(problem)
        return answer(question)

    def _explain(self, question: Question) -> list[dict[str, Any]]:
        """All items about one cache."""
        items = fleet_status.items(self.fleet)
        return [item for item in items if item["key"].partition("|")[0] == str(question["cache"])]

    def _set(self, question: Question) -> Value:
        """Write an operators' setting; its value from now on."""
        name, version, value = str(question["name"]), int(question["version"]), str(question["value"])
        current = self.fleet.store.items.get((SETTING, name))
        if current and version <= float(current.value[0]):
            problem = f"{name} is at version {current.value[0]} already"
            raise ValueError(problem)
        self.fleet.publish(SETTING, name, version, value)
        return self.fleet.store.items[SETTING, name].value
