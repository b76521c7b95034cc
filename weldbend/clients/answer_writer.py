"""Writer of answers to one client; answers are buffered while the client does not read them."""

from weldbend.buffers.ring import Ring
from weldbend.clients.interfaces import BufferAccount, ClientTransport

OUTGOING_CAPACITY = 1 << 18  # bytes; holds the longest answer
WRITE_SIZE = 1 << 16  # bytes passed to the transport at once


class AnswerWriter:
    """The sending direction of a client connection.

    An answer is passed to the transport at once if none is pending before it. Otherwise it is buffered in a
    bounded ring, and beyond the ring's capacity in a queue of complete answers. While this queue is not
    empty, the connection reads no further calls.

    Attributes:
        account: Receiver of each change in the number of pending bytes.
        ring: Bytes to pass to the transport next.
        queue: Complete answers for which the ring has no capacity, a few tens at most.
        is_paused: Whether the transport accepts no bytes at present.
        transport: Transport of the connection; None before it is made and once it has become idle.
    """

    __slots__ = ("account", "is_paused", "queue", "ring", "transport")

    def __init__(self, account: BufferAccount) -> None:
        self.account = account
        self.transport: ClientTransport | None = None
        self.ring = Ring(OUTGOING_CAPACITY)
        self.queue: list[bytes] = []  # a deque would take 700 bytes more while it is empty
        self.is_paused = False

    def has_pending(self) -> bool:
        """Return whether any byte of an answer waits for the transport."""
        return bool(self.ring or self.queue)

    def pending_bytes(self) -> int:
        """Return the number of bytes that wait for the transport."""
        return len(self.ring) + sum(map(len, self.queue))

    def write(self, answer: bytes) -> None:
        """Send one complete answer after all pending ones."""
        if not (self.is_paused or self.queue or self.ring) and self.transport is not None:
            self._send(self.transport, answer)
            return
        self.queue.append(answer)
        self.account.buffered_changed(len(answer))
        self.write_pending()

    def write_pending(self) -> None:
        """Move queued answers into the ring, and send the ring's bytes while the transport accepts them."""
        while True:
            while self.queue and len(self.queue[0]) <= self.ring.free():
                self.ring.write(self.queue.pop(0))
            if self.is_paused or not self.ring or self.transport is None:
                break
            data = self.ring.read(min(len(self.ring), WRITE_SIZE))
            self.account.buffered_changed(-len(data))
            self._send(self.transport, data)

    @staticmethod
    def _send(transport: ClientTransport, data: bytes) -> None:
        """Pass bytes to the transport, and abort a connection that cannot be registered for writing.

        The transport has buffered the bytes when the registration fails. If the exception were passed on, the
        dispatcher would treat the request as unanswered and try to answer it once more, as failed.
        Aborting the connection prevents that.
        """
        try:
            transport.write(data)
        except OSError:
            transport.abortConnection()

    def discard(self) -> None:
        """Remove pending answers from the account and clear the queue, since the connection has ended.

        The ring keeps its bytes.
        """
        self.account.buffered_changed(-self.pending_bytes())
        self.queue.clear()
