"""The caches' side of the line protocol: commands taken whole from a ring, answers written. No I/O."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import LONGEST_LINE, read_fields
from weldbend.cache_protocol.commands import fields_text

LONGEST_BODY = 48_000


class InvalidCommandError(Exception):
    """Bytes that are no command."""


@dataclass(frozen=True, slots=True)
class Command:
    """`word` is do, undo, ping or top; `name` the id of a download or the tag of a probe."""

    word: str
    name: str
    fields: dict[str, str]
    body: bytes = b""


class Parser:
    """Takes commands from a ring, in any split; raises BadCommand."""

    def __init__(self, ring: Ring) -> None:
        self.ring = ring
        self.head: list[str] | None = None

    def all(self) -> Iterator[Command]:
        while command := self.next():
            yield command

    def next(self) -> Command | None:
        if self.head is None:
            end = self.ring.find(b"\r\n", 0, LONGEST_LINE)
            if end < 0:
                if len(self.ring) >= LONGEST_LINE:
                    raise InvalidCommandError("a line too long")
                return None
            self.head = self.ring.read(end).decode("ascii", "replace").split(" ")
            self.ring.skip(2)
        head = self.head
        if head[0] in ("undo", "ping", "top") and len(head) == 2:
            self.head = None
            return Command(head[0], head[1], {})
        if head[0] != "do" or len(head) != 4 or not head[3].isdigit() or int(head[3]) > LONGEST_BODY:
            raise InvalidCommandError(f"line {' '.join(head)[:80]!r}")
        length = int(head[3])
        if len(self.ring) < length + 2:
            return None
        data = self.ring.read(length)
        if self.ring.read(2) != b"\r\n":
            raise InvalidCommandError("a body that does not end where it should")
        self.head = None
        return Command("do", head[1], read_fields(head[2]), data)


def answer(name: str, word: str, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    line = f"{name} {word} {fields_text(fields)} {len(body)}\r\n".encode()
    return b"".join((line, body, b"\r\n"))
