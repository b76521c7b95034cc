"""Answers operators' questions about the fleet: one JSON object a line over a loopback port.

A request is `{"ask": "status"}` and so on; an answer is `{"ok": ...}` or `{"wrong": "one line"}`. What is
changed here is an operators' setting for the whole fleet: `set`, and what other modules add
(`extra_handlers`).
"""

import contextlib
import json
from collections.abc import Callable, Mapping
from typing import Any, NoReturn, cast

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from weldbend.accept_guard import AcceptGuard
from weldbend.fleet import fleet_status
from weldbend.fleet.errors import FleetError
from weldbend.fleet.replicated_items import SETTING, Value
from weldbend.fleet.runtime import ListeningPort, Reactor, StreamTransport
from weldbend.fleet.service import Fleet
from weldbend.fleet.settings import split_address

MAX_CONNECTIONS = 4  # open at once
MAX_REQUEST_SIZE = 4096  # bytes of one line
MAX_ERROR_LENGTH = 200  # characters of an answer that says what is wrong
NOT_AN_OBJECT = "a question is one JSON object on one line"

MAX_NUMBER = 1e15  # a number in a question is at most so large
NUMBER_FIELDS = ("seconds", "version")  # fields that are numbers; all others are taken as text

AdminHandler = Callable[[dict[str, Any]], Any]


class InvalidAdminRequestError(FleetError, ValueError):
    """A question that cannot be answered; its text is one line for people."""


class MissingFieldError(InvalidAdminRequestError):
    """A question lacks the field `name`."""

    def __init__(self, name: str) -> None:
        super().__init__(f"the question lacks {name!r}")
        self.name = name


class InvalidFieldError(InvalidAdminRequestError):
    """The field `name` of a question has a value that it cannot have."""

    def __init__(self, name: str, value: object, expected: str) -> None:
        super().__init__(f"{name!r} is {json.dumps(value):.40}, not {expected}")
        self.name = name


class AdminRequest(dict[str, Any]):
    """A question's fields, as it came; its numbers are checked."""

    def __missing__(self, name: str) -> NoReturn:
        """Say which field is missing."""
        raise MissingFieldError(name)


def read_request(line: bytes) -> AdminRequest:
    """Read a question.

    Raises:
        InvalidAdminRequestError: It is no JSON object, or a number in it is none.
    """
    try:
        fields = json.loads(line)
    except (ValueError, RecursionError):
        raise InvalidAdminRequestError(NOT_AN_OBJECT) from None
    if not isinstance(fields, dict):
        raise InvalidAdminRequestError(NOT_AN_OBJECT)
    numbers = {name: read_number(name, fields[name]) for name in NUMBER_FIELDS if name in fields}
    return AdminRequest(fields | numbers)


def read_number(name: str, value: object) -> int | float:
    """Read a field that is a number, perhaps written as text.

    Raises:
        InvalidFieldError: It is none, or out of bounds.
    """
    if isinstance(value, str):
        with contextlib.suppress(ValueError):
            value = float(value)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 <= cast(float, value) <= MAX_NUMBER:
        return cast(float, value)
    raise InvalidFieldError(name, value, f"a number from 0 to {MAX_NUMBER:.0e}")


class AdminConnection(LineOnlyReceiver):
    """One operator's connection."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_REQUEST_SIZE

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
            reply = {"ok": self.server.answer(read_request(line))}
        except ValueError as error:
            reply = {"wrong": str(error)[:MAX_ERROR_LENGTH]}
        self.sendLine(json.dumps(reply).encode())  # type: ignore[no-untyped-call]  # Twisted gives no types


class AdminServer(ServerFactory):
    """The admin port of one front; `extra_handlers` are answered by other modules, by their names."""

    noisy = False

    def __init__(self, fleet: Fleet, extra_handlers: Mapping[str, AdminHandler]) -> None:
        self.fleet = fleet
        self.handlers: dict[str, AdminHandler] = {
            "status": lambda request: fleet_status.status(fleet),
            "state": lambda request: fleet_status.items(fleet),
            "explain": self._explain,
            "set": self._set,
            **extra_handlers,
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

    def answer(self, request: AdminRequest) -> Any:  # noqa: ANN401 - what JSON can hold
        """Answer a question.

        Raises:
            ValueError: there is no such question, or a field is missing or has a wrong value.
        """
        name = str(request["ask"])
        handler = self.handlers.get(name)
        if handler is None:
            problem = f"unknown question {name!r:.40}"
            raise InvalidAdminRequestError(problem)
        return handler(request)

    def _explain(self, request: dict[str, Any]) -> list[dict[str, Any]]:
        """All items about one cache."""
        items = fleet_status.items(self.fleet)
        return [item for item in items if item["key"].partition("|")[0] == str(request["cache"])]

    def _set(self, request: dict[str, Any]) -> Value:
        """Write an operators' setting; its value from now on."""
        name = str(request["name"])
        version = int(request["version"])
        value = str(request["value"])
        current = self.fleet.store.items.get((SETTING, name))
        if current and version <= float(current.value[0]):
            problem = f"{name:.40} is at version {current.value[0]} already"
            raise InvalidAdminRequestError(problem)
        self.fleet.publish(SETTING, name, version, value)
        return self.fleet.store.items[SETTING, name].value
