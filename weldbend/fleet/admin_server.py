"""The admin port of a front: JSON requests and answers, one object per line, over a loopback TCP port.

A request looks like `{"ask": "status"}`. The answer is `{"ok": ...}`, or `{"wrong": "..."}` with an error
message of one line. The request `set` writes an operators' setting for the whole fleet; other modules may
add requests that change state (`extra_handlers`).
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

MAX_CONNECTIONS = 4  # simultaneous connections
MAX_REQUEST_SIZE = 4096  # bytes per line
MAX_ERROR_LENGTH = 200  # characters
NOT_AN_OBJECT = "a question is one JSON object on one line"

MAX_NUMBER = 1e15  # upper bound of a number in a request
NUMBER_FIELDS = ("seconds", "version")  # numeric fields; all others are converted to strings

AdminHandler = Callable[[dict[str, Any]], Any]


class InvalidAdminRequestError(FleetError, ValueError):
    """A request that cannot be answered; the message is one line for the operator."""


class MissingFieldError(InvalidAdminRequestError):
    """A request without the required field `name`."""

    def __init__(self, name: str) -> None:
        super().__init__(f"the question lacks {name!r}")
        self.name = name


class InvalidFieldError(InvalidAdminRequestError):
    """A request whose field `name` has an invalid value."""

    def __init__(self, name: str, value: object, expected: str) -> None:
        super().__init__(f"{name!r} is {json.dumps(value):.40}, not {expected}")
        self.name = name


class AdminRequest(dict[str, Any]):
    """The fields of a request; only the numeric ones have been checked."""

    def __missing__(self, name: str) -> NoReturn:
        """Raise an error that names the missing field."""
        raise MissingFieldError(name)


def read_request(line: bytes) -> AdminRequest:
    """Parse one line into a request.

    Raises:
        InvalidAdminRequestError: the line is not a JSON object, or a numeric field is invalid.
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
    """Convert the value of a numeric field, which may be written as a string.

    Raises:
        InvalidFieldError: the value is not a number or out of bounds.
    """
    if isinstance(value, str):
        with contextlib.suppress(ValueError):
            value = float(value)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 <= cast(float, value) <= MAX_NUMBER:
        return cast(float, value)
    raise InvalidFieldError(name, value, f"a number from 0 to {MAX_NUMBER:.0e}")


class AdminConnection(LineOnlyReceiver):
    """A client connection to the admin port."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_REQUEST_SIZE

    def __init__(self, server: "AdminServer") -> None:
        self.server = server

    def connectionMade(self) -> None:
        """Count the connection, and close it if too many are open."""
        self.server.connections += 1
        if self.server.connections > MAX_CONNECTIONS:
            cast(StreamTransport, self.transport).loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Remove the connection from the count."""
        self.server.connections -= 1

    def lineReceived(self, line: bytes) -> None:
        """Answer one request; an invalid request gets an error message."""
        try:
            reply = {"ok": self.server.answer(read_request(line))}
        except ValueError as error:
            reply = {"wrong": str(error)[:MAX_ERROR_LENGTH]}
        self.sendLine(json.dumps(reply).encode())  # type: ignore[no-untyped-call]  # Twisted gives no types


class AdminServer(ServerFactory):
    """The admin port of one front.

    Attributes:
        fleet: this front's fleet, to which the requests refer.
        handlers: functions that answer requests, by the request's name.
        connections: number of open connections.
        port: the listening port, None before `listen`.
    """

    noisy = False

    def __init__(self, fleet: Fleet, extra_handlers: Mapping[str, AdminHandler]) -> None:
        """Create the server without opening its port.

        Args:
            fleet: this front's fleet.
            extra_handlers: handlers provided by other modules, by the request's name.
        """
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
        """Open the listening port."""
        host, port = split_address(self.fleet.settings.admin_address)
        self.port = reactor.listenTCP(port, self, interface=host)
        AcceptGuard(self.port, self.fleet.timers.after)

    def stop(self) -> None:
        """Close the listening port."""
        if self.port:
            self.port.stopListening()

    def buildProtocol(self, addr: IAddress | None) -> AdminConnection:
        """Create the protocol for a new connection."""
        return AdminConnection(self)

    def answer(self, request: AdminRequest) -> Any:  # noqa: ANN401 - what JSON can hold
        """Return the answer to a request.

        Raises:
            ValueError: the request is unknown, or a field is missing or invalid.
        """
        name = str(request["ask"])
        handler = self.handlers.get(name)
        if handler is None:
            problem = f"unknown question {name!r:.40}"
            raise InvalidAdminRequestError(problem)
        return handler(request)

    def _explain(self, request: dict[str, Any]) -> list[dict[str, Any]]:
        """Return all replicated items about one cache."""
        items = fleet_status.items(self.fleet)
        return [item for item in items if item["key"].partition("|")[0] == str(request["cache"])]

    def _set(self, request: dict[str, Any]) -> Value:
        """Write an operators' setting, and return its new version and value."""
        name = str(request["name"])
        version = int(request["version"])
        value = str(request["value"])
        current = self.fleet.store.items.get((SETTING, name))
        if current and version <= float(current.value[0]):
            problem = f"{name:.40} is at version {current.value[0]} already"
            raise InvalidAdminRequestError(problem)
        self.fleet.publish(SETTING, name, version, value)
        return self.fleet.store.items[SETTING, name].value
