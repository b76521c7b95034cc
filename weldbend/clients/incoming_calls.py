"""The bytes received from one client, and the calls that they contain. No I/O.

A call is buffered until it is complete. If there is no memory for the rest of a long call, the call is
discarded as it arrives, except for its header, which suffices to reject the request.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

from weldbend.buffers.ring import Ring
from weldbend.clients.arrival_times import ArrivalTimes
from weldbend.invariants import check_invariant
from weldbend.thrift import messages
from weldbend.thrift.framing import LENGTH_SIZE, frame_length, next_frame, peek_small_frame

READ_SIZE = 1 << 16  # bytes; the most that one read of a socket returns
MAX_FRAME_SIZE = 48_000 + (1 << 14)  # bytes; the longest body and the fields of its call
CAPACITY = MAX_FRAME_SIZE + LENGTH_SIZE + 2 * READ_SIZE  # bytes
MAX_CANCELLATION_SIZE = 64  # bytes; large enough for any giveUp call, too small for any process call
HEADER_SIZE = 32  # bytes; more than the header of a process call takes


ReceivedCall = messages.Call | messages.DiscardedCall


class Reservation(Protocol):
    """Memory that was reserved for a call."""

    def release(self) -> None:
        """Return the memory."""


class IncomingCalls:
    """The receiving side of a client connection.

    Attributes:
        ring: Bytes received and not yet parsed.
        arrivals: Arrival times of the bytes that belong to no call that was returned.
        received_at: Earliest possible arrival time of the last byte of the latest call.
    """

    def __init__(self) -> None:
        self.ring = Ring(CAPACITY)
        self.arrivals = ArrivalTimes()
        self.received_at = 0.0
        self._reservation: Reservation | None = None  # for the incomplete call in the ring
        self._discarded_call: messages.DiscardedCall | None = None
        self._undiscarded_bytes = 0  # bytes of the discarded call that have not arrived
        self._scanned_bytes = 0  # bytes of the ring already searched for cancellations

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self.ring)

    def is_empty(self) -> bool:
        """Return whether no byte of a call that was not returned has been received."""
        return not (self.ring or self._discarded_call)

    def has_capacity(self) -> bool:
        """Return whether the bytes of another read fit into the buffer."""
        return self.ring.free() >= READ_SIZE

    def write(self, data: bytes, arrived_at: float) -> None:
        """Add the bytes of one read.

        Args:
            data: The bytes, for which the buffer must have capacity.
            arrived_at: Earliest possible arrival time of these bytes.
        """
        self.arrivals.add(len(data), arrived_at)
        discarded = min(len(data), self._undiscarded_bytes)
        self._undiscarded_bytes -= discarded
        rest = memoryview(data)[discarded:]
        check_invariant(self.ring.write(rest) == len(rest), "a client's ring has capacity for a read")

    def next(self, reserve: Callable[[int], Reservation | None]) -> ReceivedCall | None:
        """Return the next complete call, or None if there is none.

        Args:
            reserve: Function that reserves memory for an incomplete call of so many bytes, or returns None if
                there is not enough.

        Raises:
            ThriftError: The bytes violate the protocol.
        """
        if self._discarded_call:
            return self._next_discarded(self._discarded_call)
        data = next_frame(self.ring, MAX_FRAME_SIZE)
        if data is None:
            self._prepare_for_rest(reserve)
            return None
        self._release_reservation()
        size = LENGTH_SIZE + len(data)
        self._scanned_bytes = max(self._scanned_bytes - size, 0)
        self.received_at = self.arrivals.take(size)
        return messages.read_call(data)

    def _next_discarded(self, call: messages.DiscardedCall) -> messages.DiscardedCall | None:
        if self._undiscarded_bytes:
            self.arrivals.forget_incomplete()
            return None
        self._discarded_call = None
        self.received_at = self.arrivals.take(LENGTH_SIZE + call.length)
        return call

    def _prepare_for_rest(self, reserve: Callable[[int], Reservation | None]) -> None:
        """Reserve memory for the incomplete call in the ring, or begin to discard it.

        This guards the process against being killed for exceeding its memory limit by hundreds of clients
        that stop in the middle of a call. Side effect: a request is rejected before its fields are known, so
        one that is invalid as well is not reported as invalid.
        """
        self.arrivals.forget_incomplete()
        length = frame_length(self.ring)
        if length and self._reservation is None and len(self.ring) >= LENGTH_SIZE + HEADER_SIZE:
            self._reservation = reserve(length)
            if self._reservation is None:
                self._begin_discarding(length)
        self.ring.trim()

    def _begin_discarding(self, length: int) -> None:
        header = self.ring.peek(HEADER_SIZE, LENGTH_SIZE)
        self._discarded_call = messages.read_discarded_call(header, length)
        self._undiscarded_bytes = LENGTH_SIZE + length - len(self.ring)
        self._skip_all()

    def cancellations(self) -> Iterator[messages.GiveUp]:
        """Yield the cancellations among buffered calls that were not yielded before; the calls stay buffered.

        Raises:
            ThriftError: The bytes violate the protocol.
        """
        while found := peek_small_frame(self.ring, self._scanned_bytes, MAX_CANCELLATION_SIZE):
            self._scanned_bytes, data = found
            if data is not None and isinstance(call := messages.read_call(data), messages.GiveUp):
                yield call

    def clear(self) -> None:
        """Drop all bytes, and return the memory reserved for them."""
        self._release_reservation()
        self._discarded_call = None
        self._undiscarded_bytes = 0
        self._skip_all()

    def _skip_all(self) -> None:
        self.ring.skip(len(self.ring))
        self._scanned_bytes = 0

    def _release_reservation(self) -> None:
        if self._reservation:
            self._reservation.release()
            self._reservation = None
