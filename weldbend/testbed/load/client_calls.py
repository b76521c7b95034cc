"""The client's side of the Front service: encodes calls and parses answers. No I/O.

Answers are parsed with weldbend's own binary reader; this module adds their interpretation by a client.
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
OUTCOMES = {0: "fulfilled", 1: "throttled", 2: "abandoned"}  # by field number in the result


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """One answer of a front.

    Attributes:
        seqid: Sequence id of the call that is answered.
        outcome: One of the values of OUTCOMES, `probe` or `exception`.
        body: The object, or the text of an exception.
        fields: Additional fields by name.
        good: Whether the answer states that the front serves requests; False without this statement.
    """

    seqid: int
    outcome: str
    body: bytes
    fields: dict[str, str]
    good: bool


def message(kind: int, name: str, seqid: int, arguments: bytes = b"") -> bytes:
    """Return a framed message of the Front service."""
    return frame(binary.message_header(kind, name, seqid) + arguments + b"\x00")


def process(seqid: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a request as a framed message."""
    pairs = binary.field(binary.MAP, 1, binary.text_map(fields))
    return message(binary.CALL, "process", seqid, pairs + binary.field(binary.STRING, 2, binary.binary(body)))


def give_up(seqid: int) -> bytes:
    """Return the framed message that cancels the request sent with this seqid."""
    return message(binary.ONEWAY, "giveUp", 0, binary.field(binary.I32, 1, binary.i32(seqid)))


def probe(seqid: int) -> bytes:
    """Return a health check as a framed message."""
    return message(binary.CALL, "probe", seqid, binary.field(binary.BOOL, 1, b"\x01"))


def read_struct(reader: Reader) -> dict[int, Any]:
    """Parse a struct into its values by field number.

    Raises:
        InvalidMessageError: The struct is malformed.
    """
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
    """Parse the content of one frame as an answer.

    Raises:
        InvalidMessageError: The message is malformed.
        KeyError: A field is missing, or the field of the result is unknown.
        ValueError: The result does not have exactly one field.
    """
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
    """Add bytes to a ring, and yield each answer that they complete."""
    rest = memoryview(data)
    while rest:
        rest = rest[ring.write(rest) :]
        yield from read_answers(ring)


def read_answers(ring: Ring) -> Iterator[ClientAnswer]:
    """Yield all complete answers in a ring."""
    while data := next_frame(ring, LONGEST_ANSWER):
        yield read_answer(data)
