"""The messages of the Front service: calls read, answers written."""

from collections.abc import Mapping
from dataclasses import dataclass

from weldbend.thrift import binary
from weldbend.thrift.binary import MAP, REPLY, STRING, STRUCT, Head, InvalidMessageError, Reader
from weldbend.thrift.framing import HEAD, frame

UNKNOWN_METHOD, WRONG_KIND, PROTOCOL_ERROR = 1, 2, 7  # kinds of application exception
KINDS = {"process": binary.CALL, "giveUp": binary.ONEWAY, "probe": binary.CALL}
STOP = bytes((binary.STOP,))


@dataclass(frozen=True, slots=True)
class Process:
    seqid: int
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class GiveUp:
    seqid: int


@dataclass(frozen=True, slots=True)
class Probe:
    seqid: int


@dataclass(frozen=True, slots=True)
class Wrong:
    """A call that cannot be understood, but can be answered."""

    name: str
    seqid: int
    kind: int
    why: str


def read_call(data: bytes) -> Process | GiveUp | Probe | Wrong:
    """One frame as a call; raises BadMessage where not even its head can be read."""
    reader = Reader(data)
    head = reader.head()
    if head.name not in KINDS:
        return Wrong(head.name, head.seqid, UNKNOWN_METHOD, f"unknown method {head.name!r}"[:100])
    if head.kind != KINDS[head.name]:
        return Wrong(head.name, head.seqid, WRONG_KIND, f"message kind {head.kind}")
    try:
        return arguments(reader, head)
    except InvalidMessageError as wrong:
        if head.kind == binary.ONEWAY:
            raise
        return Wrong(head.name, head.seqid, PROTOCOL_ERROR, str(wrong))


def arguments(reader: Reader, head: Head) -> Process | GiveUp | Probe:
    fields: dict[str, str] | None = None
    body, given_up = b"", None
    for kind, number in reader.fields():
        match head.name, kind, number:
            case "process", binary.MAP, 1:
                fields = reader.text_map()
            case "process", binary.STRING, 2:
                body = reader.binary()
            case "giveUp", binary.I32, 1:
                given_up = reader.i32()
            case _:
                reader.skip(kind)
    if reader.at != len(reader.data):
        raise InvalidMessageError(f"{len(reader.data) - reader.at} bytes after the message")
    if head.name == "probe":
        return Probe(head.seqid)
    if head.name == "giveUp":
        if given_up is None:
            raise InvalidMessageError("giveUp without a seqid")
        return GiveUp(given_up)
    if fields is None:
        raise InvalidMessageError("process without fields")
    return Process(head.seqid, fields, body)


SUCCESS, BODY = binary.field(STRUCT, 0, b""), binary.field(STRING, 1, b"")
PLAIN = binary.field(MAP, 2, binary.text_map({}))


def answer(name: str, seqid: int, body: bytes, fields: Mapping[str, str], good: bool) -> bytes:
    """Joined once, since a body may be long: each further copy of it would cost."""
    head = binary.head(REPLY, name, seqid) + SUCCESS + BODY + binary.i32(len(body))
    told = binary.field(MAP, 2, binary.text_map(fields)) if fields else PLAIN
    tail = told + binary.field(binary.BOOL, 3, bytes((good,))) + STOP + STOP
    return b"".join((HEAD.pack(len(head) + len(body) + len(tail)), head, body, tail))


def declared(number: int, seqid: int, fields: Mapping[str, str]) -> bytes:
    struct = binary.field(MAP, 1, binary.text_map(fields)) + STOP
    return frame(binary.head(REPLY, "process", seqid) + binary.field(STRUCT, number, struct) + STOP)


def overloaded(seqid: int, fields: Mapping[str, str]) -> bytes:
    return declared(1, seqid, fields)


def internal(seqid: int) -> bytes:
    return declared(2, seqid, {})


def application_exception(wrong: Wrong) -> bytes:
    text = binary.field(STRING, 1, binary.binary(wrong.why.encode()))
    struct = text + binary.field(binary.I32, 2, binary.i32(wrong.kind)) + STOP
    return frame(binary.head(binary.EXCEPTION, wrong.name[:100], wrong.seqid) + struct)
