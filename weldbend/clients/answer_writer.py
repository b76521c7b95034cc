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
        transport_bytes: Bytes of the write that filled the transport's buffer; 0 while it accepts more.
    """

    __slots__ = ("account", "is_paused", "queue", "ring", "transport", "transport_bytes")

    def __init__(self, account: BufferAccount) -> None:
        self.account = account
        self.transport: ClientTransport | None = None
        self.ring = Ring(OUTGOING_CAPACITY)
        self.queue: list[bytes] = []  # a deque would take 700 bytes more while it is empty
        self.is_paused = False
        self.transport_bytes = 0

    def has_pending(self) -> bool:
        """Return whether any byte of an answer waits for the transport."""
        return bool(self.ring or self.queue)

    def pending_bytes(self) -> int:
        """Return the number of bytes that are counted as buffered."""
        return len(self.ring) + sum(map(len, self.queue)) + self.transport_bytes

    def pause(self) -> None:
        """Stop passing bytes to the transport, whose buffer is full or which has ended."""
        self.is_paused = True

    def resume(self) -> None:
        """Pass bytes on again, since the transport has sent all that it had."""
        self.is_paused = False
        self.account.buffered_changed(-self.transport_bytes)
        self.transport_bytes = 0
        self.write_pending()

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

    def _send(self, transport: ClientTransport, data: bytes) -> None:
        """Pass bytes to the transport, and abort a connection that cannot be registered for writing.

        If they fill the transport's buffer, they count as buffered until it has been sent. An answer may be
        several times as long as the buffer, so hundreds of slow readers would otherwise hold a multiple of
        the limit on buffered answers.

        The transport has buffered the bytes when the registration fails. If the exception were passed on, the
        dispatcher would treat the request as unanswered and try to answer it once more, as failed.
        Aborting the connection prevents that.
        """
        try:
            transport.write(data)
        except OSError:
            transport.abortConnection()
        if self.is_paused:  # set by `pause`, which the transport calls while it is being written to
            self.transport_bytes += len(data)
            self.account.buffered_changed(len(data))

    def discard(self) -> None:
        """Remove pending answers from the account and clear the queue, since the connection has ended.

        The ring keeps its bytes.
        """
        self.account.buffered_changed(-self.pending_bytes())
        self.transport_bytes = 0
        self.queue.clear()
