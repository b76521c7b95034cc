"""What fronts send to each other, and its coding. Lengths are bounded before anything is decoded. No I/O.

Messages are tagged arrays in MessagePack (by msgspec, which checks every type as it decodes): the order of
the fields and the tags are the wire format, their names are not. A body of a newer version that this one does
not know fails the decoding and is dropped and counted.
"""

from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from weldbend.fleet.errors import FleetError
from weldbend.fleet.settings import MAX_NAME_LENGTH

MAX_DATAGRAM_SIZE = 1400  # bytes of an authenticated datagram at most
MAX_FRAME_SIZE = 1 << 17  # bytes of an authenticated message on a connection at most
MAX_UPDATES = 24  # member updates in one datagram
MAX_OPERATIONS = 1024  # in one frame
MAX_COUNT = (1 << 53) - 1  # the largest integer that every JSON reader holds exactly
MAX_DECODE_ERROR_LENGTH = 80  # characters of a decoder's message that are passed on

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Text = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Seconds = Annotated[float, Meta(ge=0.0, le=1e9)]


Decoded = TypeVar("Decoded")


class InvalidPeerMessageError(FleetError):
    """Bytes that are no message of this version.

    Attributes:
        reason: what is wrong, in one line.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MessageTooLongError(InvalidPeerMessageError):
    """More bytes than a message may have on its path, a `datagram` or a `link`."""

    def __init__(self, path: str) -> None:
        super().__init__(f"too long for a {path}")
        self.path = path


class Body(msgspec.Struct, frozen=True, array_like=True, tag_field="t", forbid_unknown_fields=True):
    """Base of all messages: an array that begins with the message's tag."""


# Membership, by datagrams.


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What some front believes of a member; `state` is a `member_table.State`."""

    name: Name
    epoch: Count
    incarnation: Count
    state: Annotated[int, Meta(ge=0, le=3)]
    reporter: Name  # who first said so: a suspicion counts its reporters


MemberUpdates = Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)]


class Probe(Body, tag=1, frozen=True, array_like=True):
    """Asks for an `Ack` with the same number."""

    number: Count
    updates: MemberUpdates = []


class Ack(Body, tag=2, frozen=True, array_like=True):
    """Answers a probe."""

    number: Count
    updates: MemberUpdates = []


class IndirectProbe(Body, tag=3, frozen=True, array_like=True):
    """Asks to probe `target` on the sender's behalf."""

    number: Count
    target: Name
    updates: MemberUpdates = []


class Nack(Body, tag=4, frozen=True, array_like=True):
    """The helper is alive and has probed the target, but has no answer so far (Lifeguard, section IV-A)."""

    number: Count


class StaleEpoch(Body, tag=5, frozen=True, array_like=True):
    """The recipient sent under an epoch that its name has passed already; `epoch` is the latest known."""

    epoch: Count


class Leaving(Body, tag=6, frozen=True, array_like=True):
    """The sender stops in an orderly way."""

    updates: MemberUpdates = []


# Leases on limits, by datagrams (see lease_service). Amounts are parts of a limit.

Limit = Annotated[str, Meta(min_length=1, max_length=96)]
Parts = Annotated[int, Meta(ge=0, le=10_000)]


class AcquireLease(Body, tag=7, frozen=True, array_like=True):
    """Asks for a lease on so many parts in all, in place of the one that the recipient has granted."""

    limit: Limit
    number: Count
    parts: Parts


class GrantLease(Body, tag=8, frozen=True, array_like=True):
    """Answers the request of that epoch and number; `spare` is how much could be had besides."""

    limit: Limit
    epoch: Count
    number: Count
    parts: Parts
    spare: Parts = 0


class ReleaseLease(Body, tag=9, frozen=True, array_like=True):
    """The sender spends no more of that lease; `unspent`: nor has it spent anything in the last window."""

    limit: Limit
    number: Count
    unspent: bool = False


# Replicated state, by connections. Ages, not moments, cross: clocks may be apart.


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """One change of one writer; `value` is checked by its kind's own rule (`replicated_items.ITEM_KINDS`)."""

    writer: Name
    epoch: Count
    number: Count  # from 1 in each epoch, without gaps
    kind: Annotated[str, Meta(max_length=12)]
    key: Annotated[str, Meta(max_length=96)]
    value: Annotated[list[int | float | Annotated[str, Meta(max_length=2048)]], Meta(max_length=8)]
    age: Seconds  # since the writer published it


Operations = Annotated[list[Operation], Meta(max_length=MAX_OPERATIONS)]
Run = Annotated[str, Meta(min_length=3, max_length=MAX_NAME_LENGTH + 20)]  # name/epoch of a writer
Vector = Annotated[dict[Run, Count], Meta(max_length=1024)]


class Hello(Body, tag=20, frozen=True, array_like=True):
    """First on a connection, from both ends: versions spoken, and this end's part of the session."""

    min_version: Count
    max_version: Count
    nonce: Annotated[bytes, Meta(min_length=16, max_length=16)]  # at random, for this connection alone
    zone: Text = ""


class Summary(Body, tag=21, frozen=True, array_like=True):
    """What the sender has of every writer, a checksum over it, and whether it has caught up itself."""

    vector: Vector
    digest: Count
    is_caught_up: bool
    number: Count = 0  # of the sender's summaries on this connection
    last_received: Count = 0  # the number of the other end's last one that had come: how old this one may be


class Delta(Body, tag=22, frozen=True, array_like=True):
    """Changes that the recipient may lack."""

    operations: Operations


class SnapshotRequest(Body, tag=23, frozen=True, array_like=True):
    """Asks for a snapshot from this place on; `after` is the last key received, empty from the start."""

    after: Annotated[str, Meta(max_length=120)] = ""


class SnapshotChunk(Body, tag=24, frozen=True, array_like=True):
    """A chunk of a snapshot, in order of its keys. A donor's first says in `vector` what it had by then."""

    operations: Operations
    after: Annotated[str, Meta(max_length=120)]  # the last key in this chunk
    is_last: bool
    vector: Vector


class SnapshotRefusal(Body, tag=25, frozen=True, array_like=True):
    """No snapshot from here: the sender has not caught up itself, or serves others."""

    reason: Annotated[str, Meta(max_length=32)]


LeaseMessage = AcquireLease | GrantLease | ReleaseLease
Datagram = Probe | Ack | IndirectProbe | Nack | StaleEpoch | Leaving | LeaseMessage
ConnectionMessage = Hello | Summary | Delta | SnapshotRequest | SnapshotChunk | SnapshotRefusal
Message = Datagram | ConnectionMessage


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram that is to be sent to a member."""

    to: str
    body: Datagram


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
_connection_decoder: msgspec.msgpack.Decoder[ConnectionMessage] = msgspec.msgpack.Decoder(ConnectionMessage)


def encode(body: Message) -> bytes:
    """A message's bytes, before it is authenticated."""
    return _encoder.encode(body)


def read_datagram(data: bytes) -> Datagram:
    """Decode one message of a datagram.

    Raises:
        InvalidPeerMessageError: it is too long or no such message.
    """
    if len(data) > MAX_DATAGRAM_SIZE:
        raise MessageTooLongError("datagram")
    return _decode(_datagram_decoder, data)


def read_connection_message(data: bytes) -> ConnectionMessage:
    """Decode one message of a connection.

    Raises:
        InvalidPeerMessageError: it is too long or no such message.
    """
    if len(data) > MAX_FRAME_SIZE:
        raise MessageTooLongError("link")
    return _decode(_connection_decoder, data)


def _decode(decoder: msgspec.msgpack.Decoder[Decoded], data: bytes) -> Decoded:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, OverflowError) as error:
        raise InvalidPeerMessageError(str(error)[:MAX_DECODE_ERROR_LENGTH]) from None
