"""The client's side of the Front service: calls written, answers read. No I/O.

Answers are read through the product's own binary reader; what a client makes of them stands here.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from weldbend.buffers.ring import Ring
from weldbend.thrift import binary
from weldbend.thrift.binary import Reader
from weldbend.thrift.errors import InvalidMessageError
from weldbend.thrift.framing import frame, next_frame

LONGEST = 1 << 20  # bytes of one answer
OUTCOMES = {0: "fulfilled", 1: "throttled", 2: "abandoned"}


@dataclass(frozen=True, slots=True)
class Heard:
    """One answer. `outcome` is one of OUTCOMES' values, `probe` or `exception`."""

    seqid: int
    outcome: str
    body: bytes
    fields: dict[str, str]
    good: bool


def message(kind: int, name: str, seqid: int, arguments: bytes = b"") -> bytes:
    return frame(binary.head(kind, name, seqid) + arguments + b"\x00")


def process(seqid: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    pairs = binary.field(binary.MAP, 1, binary.text_map(fields))
    return message(binary.CALL, "process", seqid, pairs + binary.field(binary.STRING, 2, binary.binary(body)))


def give_up(seqid: int) -> bytes:
    return message(binary.ONEWAY, "giveUp", 0, binary.field(binary.I32, 1, binary.i32(seqid)))


def probe(seqid: int) -> bytes:
    return message(binary.CALL, "probe", seqid, binary.field(binary.BOOL, 1, b"\x01"))


def read_struct(reader: Reader) -> dict[int, Any]:
    """A struct as number -> value; raises BadMessage where it cannot be read."""
    found: dict[int, Any] = {}
    for kind, number in reader.fields():
        match kind:
            case binary.STRUCT:
                found[number] = read_struct(reader)
            case binary.MAP:
                found[number] = reader.text_map()
            case binary.STRING:
                found[number] = reader.binary()
            case binary.BOOL:
                found[number] = reader.byte() == 1
            case binary.I32:
                found[number] = reader.i32()
            case _:
                reader.skip(kind)
    return found


def read_answer(data: bytes) -> Heard:
    """One frame as an answer; raises BadMessage, KeyError or ValueError for what is none."""
    reader = Reader(data)
    head = reader.head()
    held = read_struct(reader)
    if reader.position != len(data):
        raise InvalidMessageError("bytes after the answer")
    if head.kind == binary.EXCEPTION:
        return Heard(head.seqid, "exception", held[1], {"kind": str(held[2])}, False)
    ((number, struct),) = held.items()
    if number:
        return Heard(head.seqid, OUTCOMES[number], b"", struct[1], False)
    outcome = "probe" if head.name == "probe" else OUTCOMES[0]
    return Heard(head.seqid, outcome, struct[1], struct[2], struct[3])


def feed(ring: Ring, data: bytes) -> Iterator[Heard]:
    """Take a chunk in; gives each answer that it completes."""
    rest = memoryview(data)
    while rest:
        rest = rest[ring.write(rest) :]
        yield from answers(ring)


def answers(ring: Ring) -> Iterator[Heard]:
    """All answers that have come whole."""
    while data := next_frame(ring, LONGEST):
        yield read_answer(data)
