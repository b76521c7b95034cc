"""What waits for one peer: bounded, and by weight. No I/O.

A peer that reads slowly or not at all costs this front a bounded number of bytes and nothing else. Where
that bound is met, what is superseded or can be asked for again goes first, purges, drains and verdicts last;
a comparison later finds whatever was dropped.
"""

from collections import Counter, deque

from weldbend.fleet.anti_entropy import Weight


class Outbox:
    def __init__(self, most: int) -> None:
        self.most = most
        self.size = 0
        self.queues: dict[Weight, deque[bytes]] = {weight: deque() for weight in Weight}
        self.dropped: Counter[str] = Counter()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def put(self, data: bytes, weight: Weight) -> bool:
        """Queue it; false where it was dropped itself, because all that waits weighs as much or more."""
        if weight is Weight.COMPARISON:  # only the newest is worth anything
            self.drop(weight, len(self.queues[weight]))
        while self.size + len(data) > self.most:
            lighter = next((w for w in Weight if w < weight and self.queues[w]), None)
            if lighter is None:
                if weight is Weight.STRICT and self.queues[weight]:
                    lighter = weight  # the oldest of its kind: the newest holds more
                else:
                    self.dropped[weight.name] += 1
                    return False
            self.drop(lighter, 1)
        self.queues[weight].append(data)
        self.size += len(data)
        return True

    def drop(self, weight: Weight, count: int) -> None:
        for _ in range(count):
            self.size -= len(self.queues[weight].popleft())
            self.dropped[weight.name] += 1

    def take(self) -> bytes | None:
        """The next to go: the heaviest first, in their order."""
        for weight in reversed(Weight):
            if self.queues[weight]:
                data = self.queues[weight].popleft()
                self.size -= len(data)
                return data
        return None
