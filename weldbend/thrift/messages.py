"""Messages of the Front service: decoding of calls, and encoding of replies."""

from collections.abc import Mapping
from dataclasses import dataclass

from weldbend.thrift import binary
from weldbend.thrift.binary import MAP, REPLY, STRING, STRUCT, MessageHeader, Reader
from weldbend.thrift.errors import (
    InvalidMessageError,
    LongCallError,
    MissingArgumentError,
    TrailingBytesError,
)
from weldbend.thrift.framing import LENGTH, frame

# Types of Thrift's application exception.
UNKNOWN_METHOD = 1
INVALID_MESSAGE_TYPE = 2
PROTOCOL_ERROR = 7

MESSAGE_TYPES = {"process": binary.CALL, "giveUp": binary.ONEWAY, "probe": binary.CALL}
# Maximum number of characters of a method's name in a reply, or of the reason that quotes the name of an
# unknown method.
MAX_METHOD_NAME_LENGTH = 100
STOP = bytes((binary.STOP,))


@dataclass(frozen=True, slots=True)
class Process:
    """A request for an object.

    Attributes:
        seqid: Sequence id of the call.
        fields: Fields of the request.
        body: Body of the request.
    """

    seqid: int
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The cancellation of an earlier request.

    Attributes:
        seqid: Sequence id of the request that is cancelled.
    """

    seqid: int


@dataclass(frozen=True, slots=True)
class Probe:
    """A client's health check.

    Attributes:
        seqid: Sequence id of the call.
    """

    seqid: int


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """A call of which only the header can be used, which suffices for a reply.

    Attributes:
        name: Name of the method that was called.
        seqid: Sequence id of the call.
        kind: Type of the application exception that is the reply.
        reason: Description of the problem, for people.
    """

    name: str
    seqid: int
    kind: int
    reason: str


@dataclass(frozen=True, slots=True)
class DiscardedCall:
    """A request that was received but not buffered, except for its header.

    Attributes:
        seqid: Sequence id of the call.
        length: Length of its frame's content in bytes.
    """

    seqid: int
    length: int


Call = Process | GiveUp | Probe | InvalidCall


def read_discarded_call(head: bytes, length: int) -> DiscardedCall:
    """Decode the header of a request whose other bytes are discarded.

    Args:
        head: The first bytes of the frame's content.
        length: Length of the whole content in bytes.

    Raises:
        InvalidMessageError: These bytes do not begin a request. Calls of other methods are never long.
    """
    header = Reader(head).message_header()
    if header.name != "process" or header.kind != MESSAGE_TYPES[header.name]:
        raise LongCallError(header.name, length)
    return DiscardedCall(header.seqid, length)


def read_call(data: bytes) -> Call:
    """Decode the content of one frame as a call.

    Raises:
        InvalidMessageError: The header is invalid, or the call is oneway, thus has no reply, and its
            arguments are invalid.
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
    """Decode the arguments of a call, which follow its header.

    Raises:
        InvalidMessageError: An argument is missing or invalid, or bytes follow the message.
    """
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


# Constant parts of all replies, encoded once.
SUCCESS = binary.field(STRUCT, 0, b"")
BODY = binary.field(STRING, 1, b"")
NO_FIELDS = binary.field(MAP, 2, binary.text_map({}))


def success_reply(name: str, seqid: int, body: bytes, fields: Mapping[str, str], is_ok: bool) -> bytes:
    """Return the frame of the reply to a call that succeeded.

    The parts are joined only once, since a body may be long and each further copy would take time.

    Args:
        name: Name of the method.
        seqid: Sequence id of the call.
        body: The requested object; empty for a probe.
        fields: Fields of the reply.
        is_ok: Flag in the reply: for a probe, whether the front accepts requests; true for an object.
    """
    head = binary.message_header(REPLY, name, seqid) + SUCCESS + BODY + binary.i32(len(body))
    encoded_fields = binary.field(MAP, 2, binary.text_map(fields)) if fields else NO_FIELDS
    tail = encoded_fields + binary.field(binary.BOOL, 3, bytes((is_ok,))) + STOP + STOP
    return b"".join((LENGTH.pack(len(head) + len(body) + len(tail)), head, body, tail))


def declared_exception(number: int, seqid: int, fields: Mapping[str, str]) -> bytes:
    """Return the frame of a reply to `process` with the declared exception whose field id is `number`."""
    struct = binary.field(MAP, 1, binary.text_map(fields)) + STOP
    return frame(binary.message_header(REPLY, "process", seqid) + binary.field(STRUCT, number, struct) + STOP)


def overloaded_reply(seqid: int, fields: Mapping[str, str]) -> bytes:
    """Return the frame of the reply to a request that was rejected because of overload."""
    return declared_exception(1, seqid, fields)


def internal_error_reply(seqid: int) -> bytes:
    """Return the frame of the reply to a request that failed."""
    return declared_exception(2, seqid, {})


def application_exception(call: InvalidCall) -> bytes:
    """Return the frame of the reply to an invalid call."""
    text = binary.field(STRING, 1, binary.binary(call.reason.encode()))
    struct = text + binary.field(binary.I32, 2, binary.i32(call.kind)) + STOP
    return frame(
        binary.message_header(binary.EXCEPTION, call.name[:MAX_METHOD_NAME_LENGTH], call.seqid) + struct
    )
