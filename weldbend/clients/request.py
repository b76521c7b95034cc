"""One request of a client and its single answer."""

from dataclasses import dataclass
from typing import Protocol

from weldbend.invariants import check_invariant
from weldbend.thrift import messages

MILLISECONDS_PER_SECOND = 1000  # the Retry-After hint is in whole milliseconds


class RequestSource(Protocol):
    """The interface of the connection on which a request was received.

    Attributes:
        reserved_memory: Bytes that its requests hold.
    """

    reserved_memory: int

    def finish_request(self, request: "ClientRequest", answer: bytes) -> None:
        """Send the answer to a request, unless the request was cancelled."""

    def count_invalid_call(self) -> None:
        """Count a call that was answered as invalid."""

    def ban(self, reason: str) -> None:
        """Ban the client and end the connection; `reason` is the name of the anomaly counter to increment."""

    def host(self) -> str:
        """Return the client's address."""


@dataclass(eq=False, slots=True)
class ClientRequest:
    """Handle of one request of a client, which takes its answer.

    Exactly one of the `answer_*` methods is called for each request, unless it is cancelled. A request is
    open from its last byte until its answer is passed to the connection, or until it is cancelled. The handle
    does not hold the request's fields and body, which take far more memory than it does.

    Attributes:
        client: Connection on which it was received and on which it is answered.
        seqid: Sequence id of the Thrift call, unique among the open requests of a connection.
        read_delay: Seconds for which its bytes remained unread while other idle connections were woken first.
        received_at: Earliest possible arrival time of its last byte (seconds of the front's clock). The exact
            time is unknown: if the process was delayed, the byte waited unread in the socket.
        is_answered: Whether it was answered or cancelled.
        request_id: Identifier within the front, assigned by admission control (`weldbend.front.admission`)
            when it accepts the request; empty before.
    """

    client: RequestSource
    seqid: int
    read_delay: float = 0.0
    received_at: float = 0.0
    is_answered: bool = False
    request_id: str = ""

    def answer_served(self, body: bytes, is_not_modified: bool) -> None:
        """Answer with the object, or report that the client's copy is current.

        Args:
            body: The object; empty if it was not modified.
            is_not_modified: Whether the client's copy is still current.
        """
        fields = {"ok304": "1"} if is_not_modified else {}
        self._answer(messages.success_reply("process", self.seqid, body, fields, True))

    def answer_rejected(self, retry_after: float) -> None:
        """Reject the request because of overload.

        Args:
            retry_after: Seconds after which the client should retry; 0 or less to send no such hint.
        """
        fields = {"after": str(int(retry_after * MILLISECONDS_PER_SECOND))} if retry_after > 0 else {}
        self._answer(messages.overloaded_reply(self.seqid, fields))

    def answer_failed(self) -> None:
        """Answer that the request failed, without a hint whether to retry."""
        self._answer(messages.internal_error_reply(self.seqid))

    def answer_invalid(self, reason: str) -> None:
        """Answer that the request is invalid, and count this as a protocol violation by its client."""
        invalid_call = messages.InvalidCall("process", self.seqid, messages.PROTOCOL_ERROR, reason)
        self._answer(messages.application_exception(invalid_call))
        self.client.count_invalid_call()

    def _answer(self, answer: bytes) -> None:
        if check_invariant(not self.is_answered, "a request has one answer"):
            self.is_answered = True
            self.client.finish_request(self, answer)
