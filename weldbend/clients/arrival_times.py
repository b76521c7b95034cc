"""When the bytes in a connection's ring came: a request's time counts from its last byte."""

MAX_MARKS = 64  # reads that are told apart; those beyond count as if they had come with the one before


class ArrivalTimes:
    """The moments (seconds of the front's clock) of the bytes that were read and not yet taken."""

    __slots__ = ("_marks", "_read", "_taken")

    def __init__(self) -> None:
        self._marks: list[tuple[int, float]] = []  # (bytes read up to its end, when they came) of each read
        self._read = 0
        self._taken = 0

    def add(self, count: int, moment: float) -> None:
        """Note that `count` bytes were read, which came at a moment."""
        self._read += count
        if len(self._marks) >= MAX_MARKS:
            moment = self._marks.pop()[1]
        self._marks.append((self._read, moment))

    def take(self, count: int) -> float:
        """Take the next `count` bytes, and return when the last of them came."""
        self._taken += count
        while len(self._marks) > 1 and self._marks[0][0] < self._taken:
            self._marks.pop(0)
        return self._marks[0][1]

    def forget_incomplete(self) -> None:
        """Forget the bytes of an incomplete call: when its last byte comes is all that counts."""
        del self._marks[:-1]
