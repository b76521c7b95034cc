"""The seal on every message between fronts: who, to whom, epoch and number under a keyed MAC. No I/O.

A sealed message is

    version 1 | key id 4 | MAC 16 | header length 2 | header | body

The MAC is BLAKE2b with a key (RFC 7693, section 2.9) over all that follows it, and over version and key id.
The header names the fleet (one of another fleet is dropped), who speaks and to whom (one that is reflected,
or meant for another, is dropped), the run of the speaker and a number that only rises in it (one that is
replayed is dropped). Every drop is counted by its cause; nobody is answered on a message that is not sealed
well.
"""

import hmac
import re
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from weldbend.fleet.messages import FRAME, Count, Name

VERSION = 1
MAC = 16
WINDOW = (
    1024  # numbers below the highest one seen that may still come, each once: datagrams come in any order
)
KEY_LINE = re.compile(r"([0-9a-f]{8})\s+([0-9a-f]{64})")
HEAD = 1 + 4 + MAC + 2
LONGEST = FRAME + 512
MOST_RUNS = 4  # runs of one name whose numbers are remembered


class AuthenticationError(ValueError):
    """A message that is dropped; the text is the cause it is counted under."""


class InvalidKeyFileError(ValueError):
    """A key file that cannot be used, in one line."""


class Header(msgspec.Struct, frozen=True, array_like=True):
    fleet: Name
    sender: Name
    to: Name
    epoch: Count
    number: Count
    link: bool = False  # of a link, where numbers follow each other; else of a datagram


@dataclass(frozen=True, slots=True)
class AuthenticatedMessage:
    header: Header
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Header)


def read_keys(text: str) -> dict[bytes, bytes]:
    """A key file: a line a key, id (8 hex digits) and secret (64), `#` for comments; the first one seals.

    To change keys: add the new one last at every front, then move it first at every front, then take the old
    one out. Raises BadKeys.
    """
    keys: dict[bytes, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.split("#", 1)[0].strip()
        if not line:
            continue
        if not (found := KEY_LINE.fullmatch(line)):
            raise InvalidKeyFileError(f"line {number}: not an id of 8 and a secret of 64 hex digits")
        name = bytes.fromhex(found[1])
        if name in keys:
            raise InvalidKeyFileError(f"line {number}: key {found[1]} stands there twice")
        keys[name] = bytes.fromhex(found[2])
    if not 1 <= len(keys) <= 8:
        raise InvalidKeyFileError(f"{len(keys)} keys, not 1 to 8")
    return keys


class ReplayWindow:
    """The numbers of one run that have come: each once, and none below the window (as RFC 4303, 3.4.3)."""

    __slots__ = ("bits", "highest")

    def __init__(self) -> None:
        self.highest, self.bits = -1, 0

    def fresh(self, number: int) -> bool:
        if number > self.highest:
            self.bits = ((self.bits << min(number - self.highest, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return True
        back = self.highest - number
        if back >= WINDOW or self.bits >> back & 1:
            return False
        self.bits |= 1 << back
        return True


class MessageAuthenticator:
    """Seals what this run of a front says, and opens what is said to it."""

    def __init__(self, fleet: str, name: str, epoch: int, keys: Mapping[bytes, bytes]) -> None:
        self.fleet, self.name, self.epoch = fleet, name, epoch
        self.keys = dict(keys)
        self.number = 0
        self.seen: dict[tuple[str, bool], dict[int, ReplayWindow]] = {}
        self.dropped: Counter[str] = Counter()

    def rekey(self, keys: Mapping[bytes, bytes]) -> None:
        self.keys = dict(keys)

    def seal(self, to: str, body: bytes, link: bool = False, session: bytes = b"") -> bytes:
        """One message. `session` is what both ends of a link drew: what was recorded fits no other link."""
        self.number += 1
        header = _encoder.encode(Header(self.fleet, self.name, to, self.epoch, self.number, link))
        key, secret = next(iter(self.keys.items()))
        rest = len(header).to_bytes(2, "big") + header + body
        return bytes((VERSION,)) + key + mac(secret, key, rest, session) + rest

    def open(self, data: bytes, link: bool = False, session: bytes = b"") -> AuthenticatedMessage:
        """What a message holds; raises BadSeal, and counts the cause."""
        try:
            return self.opened(data, link, session)
        except AuthenticationError as wrong:
            self.dropped[str(wrong)] += 1
            raise

    def opened(self, data: bytes, link: bool, session: bytes) -> AuthenticatedMessage:
        if len(data) < HEAD:
            raise AuthenticationError("too short")
        if len(data) > LONGEST:
            raise AuthenticationError("too long")
        if data[0] != VERSION:
            raise AuthenticationError("another version of the seal")
        key, told, rest = data[1:5], data[5 : 5 + MAC], data[5 + MAC :]
        secret = self.keys.get(key)
        if secret is None:
            raise AuthenticationError("unknown key")
        if not hmac.compare_digest(told, mac(secret, key, rest, session)):
            raise AuthenticationError("wrong MAC")
        length = int.from_bytes(rest[:2], "big")
        try:
            header = _decoder.decode(rest[2 : 2 + length])
        except (msgspec.DecodeError, msgspec.ValidationError):
            raise AuthenticationError("unreadable header") from None
        if header.fleet != self.fleet:
            raise AuthenticationError("of another fleet")
        if header.sender == self.name and header.epoch == self.epoch:
            raise AuthenticationError("reflected")
        if header.to != self.name:
            raise AuthenticationError("meant for another")
        if header.link is not link:
            raise AuthenticationError("of the other kind of path")
        if not self.numbers(header).fresh(header.number):
            raise AuthenticationError("replayed")
        return AuthenticatedMessage(header, rest[2 + length :])

    def numbers(self, header: Header) -> ReplayWindow:
        """What has come of this run; of each name only the runs heard last are remembered.

        An older run than all of them is refused: its numbers would be new here, and it could be played back.
        """
        runs = self.seen.setdefault((header.sender, header.link), {})
        if header.epoch not in runs:
            if runs and header.epoch < min(runs) and len(runs) >= MOST_RUNS:
                raise AuthenticationError("of a run long gone")
            runs[header.epoch] = ReplayWindow()
            if len(runs) > MOST_RUNS:
                del runs[min(runs)]
        return runs[header.epoch]


def mac(secret: bytes, key: bytes, rest: bytes, session: bytes = b"") -> bytes:
    made = blake2b(bytes((VERSION,)) + key, digest_size=MAC, key=secret, person=b"weldbend")
    made.update(len(session).to_bytes(1, "big") + session + rest)
    return made.digest()
