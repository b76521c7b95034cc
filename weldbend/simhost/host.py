"""Framing: batches in, one reply each, and the instances they are for."""

import traceback
from collections.abc import Iterator
from typing import TextIO

from weldbend.routing.events import Event
from weldbend.routing.router import Router
from weldbend.simhost import wire


class Front:
    """One instance: its door, its decisions and the events that wait for them."""

    def __init__(self, rest: str) -> None:
        self.door = wire.Door(rest)
        self.router = Router(self.door.seed, self.door.settings)
        self.waiting: list[Event] = []

    def answer(self, now: float) -> list[str]:
        events, self.waiting = self.waiting, []
        try:
            return [wire.action_text(action) for action in self.router.handle(now, events)]
        except Exception as bug:  # a bug in the decisions is reported, never swallowed
            return ["panic " + "".join(traceback.format_exception(bug)).replace("\n", " | ")]


class Host:
    """All instances of this process, and the reader of their batches."""

    def __init__(self, lines: TextIO) -> None:
        self.lines = lines
        self.number = 0
        self.fronts: dict[int, Front] = {}

    def read(self) -> Iterator[tuple[str, str]]:
        for line in self.lines:
            self.number += 1
            yield wire.split(line)

    def need(self) -> tuple[str, str]:
        for part in self.read():
            return part
        raise wire.MalformedLineError("input ended inside a batch")

    def front(self, who: int | None) -> Front:
        if who not in self.fronts:
            raise wire.MalformedLineError(f"event for unknown instance {who}")
        return self.fronts[who]

    def batch(self, now: float) -> str:
        """Read one batch to its end and answer it, each instance in the order of its first event."""
        who: int | None = None
        replies: dict[int, list[str]] = {}
        while (part := self.need())[0] != "over_to_you":
            head, rest = part
            match head:
                case "for":
                    who = wire.whole(rest)
                case "provision" if who is not None:
                    self.fronts[who] = Front(rest)
                    replies[who] = []
                case "retire":
                    self.front(who)
                    del self.fronts[who]
                    replies.pop(who, None)
                case "view":
                    front = self.front(who)
                    count = wire.whole(wire.values(head, rest, 3)[2])
                    front.waiting.append(
                        front.door.listed(rest, [" ".join(self.need()) for _ in range(count)])
                    )
                    replies.setdefault(who, [])
                case _:
                    front = self.front(who)
                    front.waiting.append(front.door.event(head, rest))
                    replies.setdefault(who, [])
        for who, reply in replies.items():
            reply += self.fronts[who].answer(now)
        texts = [
            f"source {who}\n" + "".join(f"{line}\n" for line in reply)
            for who, reply in replies.items()
            if reply
        ]
        return "".join(texts) + "finished\n"


def serve(lines: TextIO, out: TextIO, err: TextIO) -> int:
    """Answer every batch until the input ends; 0, or 1 after a malformed line."""
    host = Host(lines)
    try:
        for head, rest in host.read():
            if head != "sync":
                raise wire.MalformedLineError(f"expected sync, got {head!r}")
            out.write(host.batch(wire.seconds(rest)))
            out.flush()
    except wire.MalformedLineError as wrong:
        print(f"line {host.number}: {wrong}", file=err)
        return 1
    return 0
