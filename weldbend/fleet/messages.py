"""Messages between fronts, and their encoding. Lengths are checked before anything is decoded. No I/O.

Messages are tagged arrays in MessagePack, which msgspec type-checks while decoding. The tags and the order of
the fields are part of the wire format, the fields' names are not. A message that only a newer version knows
fails to decode, and is counted and dropped.
"""

from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from weldbend.fleet.errors import FleetError
from weldbend.fleet.settings import MAX_NAME_LENGTH

MAX_DATAGRAM_SIZE = 1400  # bytes of an authenticated datagram
MAX_FRAME_SIZE = 1 << 17  # bytes of an encoded message on a connection
MAX_UPDATES = 24  # member updates per datagram
MAX_OPERATIONS = 1024  # per frame
MAX_COUNT = (1 << 53) - 1  # largest integer that every JSON parser represents exactly
MAX_DECODE_ERROR_LENGTH = 80  # characters of the decoder's error message that are kept

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Text = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Seconds = Annotated[float, Meta(ge=0.0, le=1e9)]


Decoded = TypeVar("Decoded")


class InvalidPeerMessageError(FleetError):
    """Bytes that are not a message of this version.

    Attributes:
        reason: the error, in one line.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MessageTooLongError(InvalidPeerMessageError):
    """A message that exceeds the size limit of its transport; `path` is `datagram` or `link`."""

    def __init__(self, path: str) -> None:
        super().__init__(f"too long for a {path}")
        self.path = path


class Body(msgspec.Struct, frozen=True, array_like=True, tag_field="t", forbid_unknown_fields=True):
    """The base class of all messages, which are arrays that begin with the message's tag."""


# Membership, sent as datagrams.


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A front's belief about a member; `state` is a `member_table.State`."""

    name: Name
    epoch: Count
    incarnation: Count
    state: Annotated[int, Meta(ge=0, le=3)]
    reporter: Name  # front from which the belief originates; a suspicion with more reporters ends sooner


MemberUpdates = Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)]


class Probe(Body, tag=1, frozen=True, array_like=True):
    """A request for an `Ack` with the same number."""

    number: Count
    updates: MemberUpdates = []


class Ack(Body, tag=2, frozen=True, array_like=True):
    """The answer to a probe."""

    number: Count
    updates: MemberUpdates = []


class IndirectProbe(Body, tag=3, frozen=True, array_like=True):
    """A request to probe `target` on the sender's behalf."""

    number: Count
    target: Name
    updates: MemberUpdates = []


class Nack(Body, tag=4, frozen=True, array_like=True):
    """A helper's notice that it has probed the target without an answer so far (Lifeguard, section IV-A)."""

    number: Count


class StaleEpoch(Body, tag=5, frozen=True, array_like=True):
    """A notice that the recipient's epoch is out of date; `epoch` is the latest known for its name."""

    epoch: Count


class Leaving(Body, tag=6, frozen=True, array_like=True):
    """A notice that the sender is shutting down in an orderly way."""

    updates: MemberUpdates = []


# Leases on limits, sent as datagrams (see lease_service). Amounts are parts of a limit.

Limit = Annotated[str, Meta(min_length=1, max_length=96)]
Parts = Annotated[int, Meta(ge=0, le=10_000)]


class AcquireLease(Body, tag=7, frozen=True, array_like=True):
    """A request for a lease of `parts` parts in total, in place of the recipient's earlier lease."""

    limit: Limit
    number: Count
    parts: Parts


class GrantLease(Body, tag=8, frozen=True, array_like=True):
    """The answer to the lease request of an epoch and number; `spare` is what the sender could grant more."""

    limit: Limit
    epoch: Count
    number: Count
    parts: Parts
    spare: Parts = 0


class ReleaseLease(Body, tag=9, frozen=True, array_like=True):
    """The return of a lease; `unspent` states that the sender spent nothing in the last window."""

    limit: Limit
    number: Count
    unspent: bool = False


# Replicated state, sent over connections. Ages are sent in place of times, since clocks may differ.


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """A change by one writer; `value` is validated by its kind (`replicated_items.ITEM_KINDS`)."""

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
    """The first message from either end of a connection: supported versions, and a part of the session id."""

    min_version: Count
    max_version: Count
    nonce: Annotated[bytes, Meta(min_length=16, max_length=16)]  # random, used for this connection only
    zone: Text = ""


class Summary(Body, tag=21, frozen=True, array_like=True):
    """The sender's version vector, a checksum of its items, and whether it has caught up."""

    vector: Vector
    digest: Count
    is_caught_up: bool
    number: Count = 0  # sequence number of the sender's summaries on this connection
    # Number of the last summary received from the other end, which shows that this one was sent after it.
    last_received: Count = 0


class Delta(Body, tag=22, frozen=True, array_like=True):
    """Changes that may be new to the recipient."""

    operations: Operations


class SnapshotRequest(Body, tag=23, frozen=True, array_like=True):
    """A request for a snapshot; `after` is the last key received, empty to start from the beginning."""

    after: Annotated[str, Meta(max_length=120)] = ""


class SnapshotChunk(Body, tag=24, frozen=True, array_like=True):
    """A chunk of a snapshot, in key order; a donor's first chunk contains its version vector at the start."""

    operations: Operations
    after: Annotated[str, Meta(max_length=120)]  # last key in this chunk
    is_last: bool
    vector: Vector


class SnapshotRefusal(Body, tag=25, frozen=True, array_like=True):
    """A refused snapshot request: the sender has not caught up itself, or is serving other fronts."""

    reason: Annotated[str, Meta(max_length=32)]


LeaseMessage = AcquireLease | GrantLease | ReleaseLease
Datagram = Probe | Ack | IndirectProbe | Nack | StaleEpoch | Leaving | LeaseMessage
ConnectionMessage = Hello | Summary | Delta | SnapshotRequest | SnapshotChunk | SnapshotRefusal
Message = Datagram | ConnectionMessage


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram to be sent to a member."""

    to: str
    body: Datagram


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
_connection_decoder: msgspec.msgpack.Decoder[ConnectionMessage] = msgspec.msgpack.Decoder(ConnectionMessage)


def encode(body: Message) -> bytes:
    """Encode a message, without authentication."""
    return _encoder.encode(body)


def read_datagram(data: bytes) -> Datagram:
    """Decode the message of a datagram.

    Raises:
        InvalidPeerMessageError: the data is too long or not such a message.
    """
    if len(data) > MAX_DATAGRAM_SIZE:
        raise MessageTooLongError("datagram")
    return _decode(_datagram_decoder, data)


def read_connection_message(data: bytes) -> ConnectionMessage:
    """Decode a message received over a connection.

    Raises:
        InvalidPeerMessageError: the data is too long or not such a message.
    """
    if len(data) > MAX_FRAME_SIZE:
        raise MessageTooLongError("link")
    return _decode(_connection_decoder, data)


def _decode(decoder: msgspec.msgpack.Decoder[Decoded], data: bytes) -> Decoded:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, OverflowError) as error:
        raise InvalidPeerMessageError(str(error)[:MAX_DECODE_ERROR_LENGTH]) from None
