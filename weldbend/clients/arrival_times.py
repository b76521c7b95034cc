"""Arrival times of the bytes in a connection's ring; a request's deadline counts from its last byte."""

MAX_MARKS = 64  # reads recorded separately; bytes of further reads get the time of the last recorded read


class ArrivalTimes:
    """Arrival times (seconds of the front's clock) of the bytes that were read and not yet taken."""

    __slots__ = ("_marks", "_read", "_taken")

    def __init__(self) -> None:
        self._marks: list[tuple[int, float]] = []  # for each read: (total bytes read so far, arrival time)
        self._read = 0
        self._taken = 0

    def add(self, count: int, moment: float) -> None:
        """Record that `count` bytes were read, which arrived at `moment`."""
        self._read += count
        if len(self._marks) >= MAX_MARKS:
            moment = self._marks.pop()[1]
        self._marks.append((self._read, moment))

    def take(self, count: int) -> float:
        """Take the next `count` bytes, and return the arrival time of the last of them."""
        self._taken += count
        while len(self._marks) > 1 and self._marks[0][0] < self._taken:
            self._marks.pop(0)
        return self._marks[0][1]

    def forget_incomplete(self) -> None:
        """Discard all arrival times but the last, since the remaining bytes are those of an incomplete call.

        A call's time is that of its final byte, which has not arrived yet.
        """
        del self._marks[:-1]
