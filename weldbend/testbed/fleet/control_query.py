"""Client of a front's admin port, for a single query."""

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.protocols.basic import LineOnlyReceiver

from weldbend.testbed.reactor import ProcessReactor

CONNECT_TIMEOUT = 2  # seconds
ANSWER_TIMEOUT = 3.0  # seconds, counted from the start of the connection attempt
MAX_ANSWER_BYTES = 1 << 24

Answer = dict[str, Any]  # a JSON object


class ControlConnection(LineOnlyReceiver):
    """A connection that sends one question and passes the answer to a callback."""

    transport: Any = None  # Twisted's interfaces are not typed here
    delimiter = b"\n"
    MAX_LENGTH = MAX_ANSWER_BYTES

    def __init__(self, question: dict[str, object], on_answer: Callable[[Answer], None]) -> None:
        self.question = question
        self.on_answer = on_answer

    def connectionMade(self) -> None:
        """Send the question."""
        self.sendLine(json.dumps(self.question).encode())  # type: ignore[no-untyped-call]  # Twisted's

    def lineReceived(self, line: bytes) -> None:
        """Pass on the answer, and close the connection."""
        self.on_answer(json.loads(line))
        if self.transport:
            self.transport.loseConnection()


def send_query(
    reactor: ProcessReactor,
    address: str,
    question: dict[str, object],
    on_answer: Callable[[Answer | None], None],
) -> None:
    """Send one question to an address; `on_answer` gets None if it fails or times out."""
    host, _, port = address.rpartition(":")
    is_answered = False

    def answer_once(answer: Answer | None) -> None:
        nonlocal is_answered
        if not is_answered:
            is_answered = True
            on_answer(answer)

    endpoint = TCP4ClientEndpoint(reactor, host, int(port), timeout=CONNECT_TIMEOUT)
    connection = ControlConnection(question, answer_once)
    connected = connectProtocol(endpoint, connection)  # type: ignore[no-untyped-call]  # Twisted's
    connected.addErrback(lambda _: answer_once(None))
    reactor.callLater(ANSWER_TIMEOUT, answer_once, None)
