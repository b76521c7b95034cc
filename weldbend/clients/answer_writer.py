"""Writes answers to one client, with back-pressure: complete answers wait while the client reads none."""

from weldbend.buffers.ring import Ring
from weldbend.clients.interfaces import BufferAccount, ClientTransport

OUTGOING_CAPACITY = 1 << 18  # bytes; holds the longest answer
WRITE_SIZE = 1 << 16  # bytes handed to the transport at once


class AnswerWriter:
    """The sending direction of a client connection.

    An answer goes to the transport at once where nothing waits before it. Otherwise it waits: in a bounded
    ring, and beyond that in a queue of complete answers; while any is queued there, the connection reads no
    further calls.

    Attributes:
        ring: Bytes that are next for the transport.
        queue: Complete answers that the ring has no capacity for, a few tens at most.
        is_paused: Whether the transport accepts no bytes at present.
        transport: Where answers go; None before the connection is made and once it has become idle.
    """

    __slots__ = ("account", "is_paused", "queue", "ring", "transport")

    def __init__(self, account: BufferAccount) -> None:
        self.account = account
        self.transport: ClientTransport | None = None
        self.ring = Ring(OUTGOING_CAPACITY)
        self.queue: list[bytes] = []  # a deque would take 700 bytes more while it is empty
        self.is_paused = False

    def has_pending(self) -> bool:
        """Whether any answer, or a part of one, waits for the transport."""
        return bool(self.ring or self.queue)

    def pending_bytes(self) -> int:
        """How many bytes wait for the transport."""
        return len(self.ring) + sum(map(len, self.queue))

    def write(self, answer: bytes) -> None:
        """Send one complete answer, after all those that wait."""
        if not (self.is_paused or self.queue or self.ring) and self.transport is not None:
            self._send(self.transport, answer)
            return
        self.queue.append(answer)
        self.account.buffered_changed(len(answer))
        self.write_pending()

    def write_pending(self) -> None:
        """Move complete answers into the ring, and the ring's bytes on while the transport accepts them."""
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
        """Hand bytes on, and end a connection that cannot be watched for writing.

        Guards the client against a second answer in place of one that failed to be sent, and was buffered.
        """
        try:
            transport.write(data)
        except OSError:
            transport.abortConnection()

    def discard(self) -> None:
        """Give up what waits: the connection has ended."""
        self.account.buffered_changed(-self.pending_bytes())
        self.queue.clear()
