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

LONGEST_ANSWER = 1 << 20  # bytes
OUTCOMES = {0: "fulfilled", 1: "throttled", 2: "abandoned"}  # by the number of the field of the result


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """One answer. `outcome` is one of OUTCOMES' values, `probe` or `exception`."""

    seqid: int
    outcome: str
    body: bytes
    fields: dict[str, str]
    good: bool


def message(kind: int, name: str, seqid: int, arguments: bytes = b"") -> bytes:
    """A message of the Front service in its frame."""
    return frame(binary.message_header(kind, name, seqid) + arguments + b"\x00")


def process(seqid: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """A request."""
    pairs = binary.field(binary.MAP, 1, binary.text_map(fields))
    return message(binary.CALL, "process", seqid, pairs + binary.field(binary.STRING, 2, binary.binary(body)))


def give_up(seqid: int) -> bytes:
    """The cancellation of the request that was sent with this seqid."""
    return message(binary.ONEWAY, "giveUp", 0, binary.field(binary.I32, 1, binary.i32(seqid)))


def probe(seqid: int) -> bytes:
    """A health check."""
    return message(binary.CALL, "probe", seqid, binary.field(binary.BOOL, 1, b"\x01"))


def read_struct(reader: Reader) -> dict[int, Any]:
    """A struct as number -> value; raises InvalidMessageError where it cannot be read."""
    values: dict[int, Any] = {}
    for kind, number in reader.fields():
        match kind:
            case binary.STRUCT:
                values[number] = read_struct(reader)
            case binary.MAP:
                values[number] = reader.text_map()
            case binary.STRING:
                values[number] = reader.binary()
            case binary.BOOL:
                values[number] = reader.byte() == 1
            case binary.I32:
                values[number] = reader.i32()
            case _:
                reader.skip(kind)
    return values


def read_answer(data: bytes) -> ClientAnswer:
    """One frame as an answer; raises InvalidMessageError, KeyError or ValueError for what is none."""
    reader = Reader(data)
    head = reader.message_header()
    result = read_struct(reader)
    if reader.position != len(data):
        problem = "bytes after the answer"
        raise InvalidMessageError(problem)
    if head.kind == binary.EXCEPTION:
        return ClientAnswer(head.seqid, "exception", result[1], {"kind": str(result[2])}, False)
    ((number, struct),) = result.items()
    if number:
        return ClientAnswer(head.seqid, OUTCOMES[number], b"", struct[1], False)
    outcome = "probe" if head.name == "probe" else OUTCOMES[0]
    return ClientAnswer(head.seqid, outcome, struct[1], struct[2], struct[3])


def feed_answers(ring: Ring, data: bytes) -> Iterator[ClientAnswer]:
    """Add bytes to a ring; yields each answer that they complete."""
    rest = memoryview(data)
    while rest:
        rest = rest[ring.write(rest) :]
        yield from read_answers(ring)


def read_answers(ring: Ring) -> Iterator[ClientAnswer]:
    """All answers that are complete."""
    while data := next_frame(ring, LONGEST_ANSWER):
        yield read_answer(data)
