"""One request of a client, and the one answer that it gets."""

from dataclasses import dataclass
from typing import Protocol

from weldbend.invariants import check_invariant
from weldbend.thrift import messages

MILLISECONDS_PER_SECOND = 1000  # in a second; Retry-After travels in whole milliseconds


class RequestSource(Protocol):
    """The connection that a request came on, as far as others need to know it."""

    def finish_request(self, request: "ClientRequest", answer: bytes) -> None:
        """Send the answer to a request, unless it was cancelled meanwhile."""

    def count_invalid_call(self) -> None:
        """Count a call that was answered as invalid."""

    def ban(self, reason: str) -> None:
        """End the connection for what its client did; `reason` names the anomaly counter."""

    def host(self) -> str:
        """The address that the client comes from."""


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One request as its client sent it.

    Exactly one of the `answer_*` methods is called for it, unless it is cancelled. A request is open from its
    last byte until its answer is handed to the connection, or until it is cancelled.

    Attributes:
        client: The connection that it came on and that its answer goes to.
        seqid: The sequence id of the Thrift call, unique among the open requests of a connection.
        fields: The text fields of the request.
        body: The payload, passed on to caches as it is.
        read_delay: Seconds for which its bytes lay unread while other connections were resumed.
        received_at: When its last byte came, at the earliest (seconds of the front's clock).
        is_answered: Whether it was answered or cancelled.
        request_id: The handler's name for it; empty until the handler has accepted it.
    """

    client: RequestSource
    seqid: int
    fields: dict[str, str]
    body: bytes
    read_delay: float = 0.0
    received_at: float = 0.0
    is_answered: bool = False
    request_id: str = ""

    def answer_served(self, body: bytes, is_not_modified: bool) -> None:
        """Answer with the object, or with the statement that the client's copy is current.

        Args:
            body: The object; empty where it was not modified.
            is_not_modified: Whether the client's own copy is still current.
        """
        fields = {"ok304": "1"} if is_not_modified else {}
        self._answer(messages.answer("process", self.seqid, body, fields, True))

    def answer_rejected(self, retry_after: float) -> None:
        """Reject it for overload; a `retry_after` (seconds) above zero tells the client when to retry."""
        fields = {"after": str(int(retry_after * MILLISECONDS_PER_SECOND))} if retry_after > 0 else {}
        self._answer(messages.overloaded(self.seqid, fields))

    def answer_failed(self) -> None:
        """Answer that it failed, with no hint whether to retry."""
        self._answer(messages.internal(self.seqid))

    def answer_invalid(self, reason: str) -> None:
        """Answer that it cannot be processed as it is, and count it against its client."""
        invalid_call = messages.InvalidCall("process", self.seqid, messages.PROTOCOL_ERROR, reason)
        self._answer(messages.application_exception(invalid_call))
        self.client.count_invalid_call()

    def _answer(self, answer: bytes) -> None:
        if check_invariant(not self.is_answered, "a request has one answer"):
            self.is_answered = True
            self.client.finish_request(self, answer)
