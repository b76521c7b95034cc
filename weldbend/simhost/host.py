"""Framing of the simulator's protocol: each batch of events gets one reply.

A batch may contain events for several simulated fronts, which are called instances.
"""

import traceback
from collections.abc import Iterator
from typing import TextIO

from weldbend.routing.events import Event
from weldbend.routing.router import Router
from weldbend.simhost import wire
from weldbend.simhost.errors import (
    MalformedLineError,
    TruncatedBatchError,
    UnexpectedLineError,
    UnknownInstanceError,
)


class Instance:
    """One simulated front: its codec, its router, and its events in the batch that is being read.

    Attributes:
        codec: Settings of the instance, and the parser of its events.
        router: Router that handles the events.
        events: Events of the current batch, in the order of the input.
    """

    def __init__(self, line_rest: str) -> None:
        self.codec = wire.InstanceCodec(line_rest)
        self.router = Router(self.codec.seed, self.codec.settings)
        self.events: list[Event] = []

    def process_events(self, now: float) -> list[str]:
        """Pass the events of the batch to the router, and return the lines of the reply.

        These are its actions or, if it raised an exception, one line with the traceback.
        """
        events = self.events
        self.events = []
        try:
            texts = (wire.action_text(action) for action in self.router.handle(now, events))
            return [text for text in texts if text is not None]
        except Exception as error:  # noqa: BLE001 - any error is reported to the simulator
            return ["panic " + "".join(traceback.format_exception(error)).replace("\n", " | ")]


class Host:
    """The instances of this process, and the reader of batches.

    Attributes:
        line_number: Number of the last line read, counted from 1.
    """

    def __init__(self, lines: TextIO) -> None:
        self.line_number = 0
        self._lines = lines
        self._instances: dict[int, Instance] = {}
        self._current_number: int | None = None  # number of the instance to which the next lines apply
        self._replies: dict[int, list[str]] = {}  # lines by instance, in the order of the first event of each

    def read(self) -> Iterator[tuple[str, str]]:
        """Yield each line, split into its first word and the rest."""
        for line in self._lines:
            self.line_number += 1
            yield wire.split(line)

    def _next_line(self) -> tuple[str, str]:
        for parts in self.read():
            return parts
        raise TruncatedBatchError

    def _instance(self) -> tuple[int, Instance]:
        if self._current_number is None or self._current_number not in self._instances:
            raise UnknownInstanceError(self._current_number)
        return self._current_number, self._instances[self._current_number]

    def batch(self, head: str, rest: str) -> str:
        """Read one batch to its end and return the reply.

        Args:
            head: First word of the batch's first line.
            rest: Rest of that line, which is the time of the batch.

        Raises:
            MalformedLineError: A line violates the protocol.
        """
        if head != "sync":
            raise UnexpectedLineError("sync", head)
        now = wire.seconds(rest)
        self._current_number = None
        self._replies = {}
        while (parts := self._next_line())[0] != "over_to_you":
            self._handle_line(*parts)
        for number, reply in self._replies.items():
            reply += self._instances[number].process_events(now)
        texts = [
            f"source {number}\n" + "".join(f"{line}\n" for line in reply)
            for number, reply in self._replies.items()
            if reply
        ]
        return "".join(texts) + "finished\n"

    def _handle_line(self, head: str, rest: str) -> None:
        if head == "for":
            self._current_number = wire.integer(rest)
        elif head == "provision" and self._current_number is not None:
            self._instances[self._current_number] = Instance(rest)
            self._replies[self._current_number] = []
        elif head == "retire":
            number, _ = self._instance()
            del self._instances[number]
            self._replies.pop(number, None)
        else:
            number, instance = self._instance()
            instance.events.append(self._event(instance.codec, head, rest))
            self._replies.setdefault(number, [])

    def _event(self, codec: wire.InstanceCodec, head: str, rest: str) -> Event:
        if head != "view":
            return codec.event(head, rest)
        count = wire.integer(wire.values(head, rest, 3)[2])
        return codec.endpoints_listed(rest, [" ".join(self._next_line()) for _ in range(count)])


def serve(lines: TextIO, out: TextIO, err: TextIO) -> int:
    """Reply to every batch until the input ends; return the exit status: 0, or 1 after a malformed line."""
    host = Host(lines)
    try:
        for head, rest in host.read():
            out.write(host.batch(head, rest))
            out.flush()
    except MalformedLineError as error:
        print(f"line {host.line_number}: {error}", file=err)
        return 1
    return 0
