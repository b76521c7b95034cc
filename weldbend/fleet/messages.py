"""What fronts say to each other, and its coding. Lengths are bounded before anything is decoded. No I/O.

Messages are tagged arrays in MessagePack (by msgspec, which checks every type as it decodes); a body of a
newer version that this one does not know fails the decoding and is dropped and counted.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from weldbend.fleet.settings import LONGEST_NAME

DATAGRAM = 1400  # bytes of a sealed datagram at most
FRAME = 1 << 17  # bytes of a sealed message on a link at most
MOST_RUMOURS = 24  # in one datagram
MOST_OPS = 1024  # in one frame
LAST = (1 << 53) - 1

Name = Annotated[str, Meta(min_length=1, max_length=LONGEST_NAME)]
Text = Annotated[str, Meta(max_length=LONGEST_NAME)]
Count = Annotated[int, Meta(ge=0, le=LAST)]
Seconds = Annotated[float, Meta(ge=0.0, le=1e9)]


class Body(msgspec.Struct, frozen=True, array_like=True, tag_field="t", forbid_unknown_fields=True):
    pass


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What somebody believes of a member. `state` is one of members.State by its number."""

    name: Name
    epoch: Count
    incarnation: Count
    state: Annotated[int, Meta(ge=0, le=3)]
    by: Name  # who first said so: voices are counted by it


MemberUpdates = Annotated[list[MemberUpdate], Meta(max_length=MOST_RUMOURS)]


class Probe(Body, tag=1, frozen=True, array_like=True):
    number: Count
    rumours: MemberUpdates = []


class Ack(Body, tag=2, frozen=True, array_like=True):
    number: Count
    rumours: MemberUpdates = []


class Ask(Body, tag=3, frozen=True, array_like=True):
    """Probe `target` in my place."""

    number: Count
    target: Name
    rumours: MemberUpdates = []


class Nack(Body, tag=4, frozen=True, array_like=True):
    """I am here and have asked it, but nothing came yet (Lifeguard, section IV-A)."""

    number: Count


class StaleEpoch(Body, tag=5, frozen=True, array_like=True):
    """You say an epoch that your name has passed already."""

    epoch: Count


class Leaving(Body, tag=6, frozen=True, array_like=True):
    """I stop in an orderly way."""

    rumours: MemberUpdates = []


# Shares of limits, lent and given back (see shares).

Limit = Annotated[str, Meta(min_length=1, max_length=96)]
Parts = Annotated[int, Meta(ge=0, le=10_000)]


class AcquireLease(Body, tag=7, frozen=True, array_like=True):
    """Lend me so many parts in all, in place of what I have from you."""

    limit: Limit
    number: Count
    parts: Parts


class GrantLease(Body, tag=8, frozen=True, array_like=True):
    """The answer to the asking of that run and number; `spare` is what could be had yet."""

    limit: Limit
    epoch: Count
    number: Count
    parts: Parts
    spare: Parts = 0


class ReleaseLease(Body, tag=9, frozen=True, array_like=True):
    """I spend no more of that loan; `unspent`: nor have I spent anything in the last window."""

    limit: Limit
    number: Count
    unspent: bool = False


# What goes over links: replicated state. Ages, not moments, cross: clocks may be apart.


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """One change of one writer; `value` is read by its kind's own rule (copies.RULES)."""

    writer: Name
    epoch: Count
    number: Count  # from 1 in each epoch, without gaps
    kind: Annotated[str, Meta(max_length=12)]
    key: Annotated[str, Meta(max_length=96)]
    value: Annotated[list[int | float | Annotated[str, Meta(max_length=2048)]], Meta(max_length=8)]
    age: Seconds  # since the writer said it


Operations = Annotated[list[Operation], Meta(max_length=MOST_OPS)]
Run = Annotated[str, Meta(min_length=3, max_length=LONGEST_NAME + 20)]  # name/epoch of a writer
Vector = Annotated[dict[Run, Count], Meta(max_length=1024)]


class Hello(Body, tag=20, frozen=True, array_like=True):
    """First on a link, from both ends: versions spoken, and this end's part of the session."""

    least: Count
    most: Count
    drawn: Annotated[bytes, Meta(min_length=16, max_length=16)]  # at random, for this link alone
    zone: Text = ""


class Summary(Body, tag=21, frozen=True, array_like=True):
    """What the sender holds of every writer, a checksum over it, and whether it has caught up itself."""

    vector: Vector
    digest: Count
    whole: bool
    number: Count = 0  # of the sender's comparisons on this link
    seen: Count = 0  # the number of the other end's last one that had come: how old this one may be


class Delta(Body, tag=22, frozen=True, array_like=True):
    ops: Operations


class SnapshotRequest(Body, tag=23, frozen=True, array_like=True):
    """Send a snapshot from this place on; `after` is the last key had, empty from the start."""

    after: Annotated[str, Meta(max_length=120)] = ""


class SnapshotChunk(Body, tag=24, frozen=True, array_like=True):
    """Part of a snapshot, in order of its keys. A donor's first says in `vector` what it held by then."""

    ops: Operations
    after: Annotated[str, Meta(max_length=120)]  # the last key in this piece
    last: bool
    vector: Vector


class SnapshotRefusal(Body, tag=25, frozen=True, array_like=True):
    """No snapshot from here: the asked one has not caught up itself, or serves others."""

    why: Annotated[str, Meta(max_length=32)]


Shared = AcquireLease | GrantLease | ReleaseLease
Datagram = Probe | Ack | Ask | Nack | StaleEpoch | Leaving | Shared
Linked = Hello | Summary | Delta | SnapshotRequest | SnapshotChunk | SnapshotRefusal
Any_ = Datagram | Linked

_encoder = msgspec.msgpack.Encoder()
_datagrams = msgspec.msgpack.Decoder(Datagram)
_linked = msgspec.msgpack.Decoder(Linked)


class InvalidPeerMessageError(ValueError):
    """Bytes that are no message of this version."""


def encode(body: Any_) -> bytes:
    return _encoder.encode(body)


def read_datagram(data: bytes) -> Datagram:
    """One message of a probe's port; raises BadBody."""
    if len(data) > DATAGRAM:
        raise InvalidPeerMessageError("too long for a datagram")
    return _read(_datagrams, data)


def read_linked(data: bytes) -> Linked:
    """One message of a link; raises BadBody."""
    if len(data) > FRAME:
        raise InvalidPeerMessageError("too long for a link")
    return _read(_linked, data)


def _read(decoder: msgspec.msgpack.Decoder, data: bytes):  # type: ignore[no-untyped-def]
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, OverflowError) as wrong:
        raise InvalidPeerMessageError(str(wrong)[:80]) from None
