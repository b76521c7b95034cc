"""The messages of the Front service: calls read, answers written."""

from collections.abc import Mapping
from dataclasses import dataclass

from weldbend.thrift import binary
from weldbend.thrift.binary import MAP, REPLY, STRING, STRUCT, MessageHeader, Reader
from weldbend.thrift.errors import InvalidMessageError, MissingArgumentError, TrailingBytesError
from weldbend.thrift.framing import LENGTH, frame

# Types of Thrift's application exception.
UNKNOWN_METHOD = 1
INVALID_MESSAGE_TYPE = 2
PROTOCOL_ERROR = 7

MESSAGE_TYPES = {"process": binary.CALL, "giveUp": binary.ONEWAY, "probe": binary.CALL}
MAX_METHOD_NAME_LENGTH = 100  # characters of a method's name that are sent back
STOP = bytes((binary.STOP,))


@dataclass(frozen=True, slots=True)
class Process:
    """A request."""

    seqid: int
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The cancellation of the request with this sequence id."""

    seqid: int


@dataclass(frozen=True, slots=True)
class Probe:
    """A client's health check."""

    seqid: int


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """A call that cannot be understood, but can be answered.

    Attributes:
        name: The method that was called.
        seqid: The call's sequence id.
        kind: The type of application exception that answers it.
        reason: What is wrong with it, in words for people.
    """

    name: str
    seqid: int
    kind: int
    reason: str


Call = Process | GiveUp | Probe | InvalidCall


def read_call(data: bytes) -> Call:
    """Read the content of one frame as a call.

    Raises:
        InvalidMessageError: Not even its head can be read, or it is a oneway call, which has no answer.
    """
    reader = Reader(data)
    header = reader.message_header()
    if header.name not in MESSAGE_TYPES:
        reason = f"unknown method {header.name!r}"[:MAX_METHOD_NAME_LENGTH]
        return InvalidCall(header.name, header.seqid, UNKNOWN_METHOD, reason)
    if header.kind != MESSAGE_TYPES[header.name]:
        return InvalidCall(header.name, header.seqid, INVALID_MESSAGE_TYPE, f"message kind {header.kind}")
    try:
        return read_arguments(reader, header)
    except InvalidMessageError as error:
        if header.kind == binary.ONEWAY:
            raise
        return InvalidCall(header.name, header.seqid, PROTOCOL_ERROR, str(error))


def read_arguments(reader: Reader, header: MessageHeader) -> Process | GiveUp | Probe:
    """Read the rest of a call whose head was read; raises `InvalidMessageError`."""
    fields: dict[str, str] | None = None
    body = b""
    cancelled_seqid = None
    for kind, number in reader.fields():
        match header.name, kind, number:
            case "process", binary.MAP, 1:
                fields = reader.text_map()
            case "process", binary.STRING, 2:
                body = reader.binary()
            case "giveUp", binary.I32, 1:
                cancelled_seqid = reader.i32()
            case _:
                reader.skip(kind)
    if reader.position != len(reader.data):
        raise TrailingBytesError(len(reader.data) - reader.position)
    if header.name == "probe":
        return Probe(header.seqid)
    if header.name == "giveUp":
        if cancelled_seqid is None:
            raise MissingArgumentError(header.name, "a seqid")
        return GiveUp(cancelled_seqid)
    if fields is None:
        raise MissingArgumentError(header.name, "fields")
    return Process(header.seqid, fields, body)


# Parts of every answer, written out once.
SUCCESS = binary.field(STRUCT, 0, b"")
BODY = binary.field(STRING, 1, b"")
NO_FIELDS = binary.field(MAP, 2, binary.text_map({}))


def success_reply(name: str, seqid: int, body: bytes, fields: Mapping[str, str], is_ok: bool) -> bytes:
    """An answer of a method that went well, as a frame.

    It is joined once, since a body may be long: each further copy of it would cost.

    Args:
        name: The method.
        seqid: The sequence id of the call.
        body: The object that was asked for; empty for a probe.
        fields: Further texts of the answer.
        is_ok: The answer's flag: whether the front serves.
    """
    head = binary.message_header(REPLY, name, seqid) + SUCCESS + BODY + binary.i32(len(body))
    encoded_fields = binary.field(MAP, 2, binary.text_map(fields)) if fields else NO_FIELDS
    tail = encoded_fields + binary.field(binary.BOOL, 3, bytes((is_ok,))) + STOP + STOP
    return b"".join((LENGTH.pack(len(head) + len(body) + len(tail)), head, body, tail))


def declared_exception(number: int, seqid: int, fields: Mapping[str, str]) -> bytes:
    """A reply to `process` with the declared exception of this field id, as a frame."""
    struct = binary.field(MAP, 1, binary.text_map(fields)) + STOP
    return frame(binary.message_header(REPLY, "process", seqid) + binary.field(STRUCT, number, struct) + STOP)


def overloaded_reply(seqid: int, fields: Mapping[str, str]) -> bytes:
    """The answer to a request that was rejected for overload, as a frame."""
    return declared_exception(1, seqid, fields)


def internal_error_reply(seqid: int) -> bytes:
    """The answer to a request that failed, as a frame."""
    return declared_exception(2, seqid, {})


def application_exception(call: InvalidCall) -> bytes:
    """The answer to a call that cannot be understood, as a frame."""
    text = binary.field(STRING, 1, binary.binary(call.reason.encode()))
    struct = text + binary.field(binary.I32, 2, binary.i32(call.kind)) + STOP
    return frame(
        binary.message_header(binary.EXCEPTION, call.name[:MAX_METHOD_NAME_LENGTH], call.seqid) + struct
    )
