"""Authentication of all messages between fronts. No I/O.

An authenticated message consists of (sizes in bytes)

    version 1 | key id 4 | MAC 16 | header length 2 | header | body

The MAC is keyed BLAKE2b (RFC 7693, section 2.9) over the version, the key id and everything after the MAC.
The header contains the fleet's name (messages of other fleets are dropped), the sender and the recipient
(reflected and misdirected messages are dropped), and the sender's epoch with a message number that increases
within the epoch (replayed messages are dropped). Each drop is counted by its cause. A message that fails
authentication is never answered.
"""

import hmac
import re
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

import msgspec

from weldbend.fleet.errors import FleetError
from weldbend.fleet.messages import MAX_FRAME_SIZE, Count, Name

VERSION = 1
KEY_ID_SIZE = 4  # bytes
MAC_SIZE = 16  # bytes
PREFIX_SIZE = 1 + KEY_ID_SIZE + MAC_SIZE + 2  # bytes before the header
MAX_MESSAGE_SIZE = MAX_FRAME_SIZE + 512  # bytes of an authenticated message
REPLAY_WINDOW = 1024  # numbers, up to the highest received one, that reordered datagrams may still have
MAX_KEYS = 8  # per key file
MAX_EPOCHS = 4  # epochs per sender and transport for which received message numbers are remembered
KEY_LINE = re.compile(r"([0-9a-f]{8})\s+([0-9a-f]{64})")


class DropCause(StrEnum):
    """The cause for which a message is dropped; the values are keys of the admin protocol."""

    TOO_SHORT = "too short"
    TOO_LONG = "too long"
    OTHER_VERSION = "another version of the seal"
    UNKNOWN_KEY = "unknown key"
    WRONG_MAC = "wrong MAC"
    UNREADABLE_HEADER = "unreadable header"
    OTHER_FLEET = "of another fleet"
    REFLECTED = "reflected"
    OTHER_RECIPIENT = "meant for another"
    OTHER_TRANSPORT = "of the other kind of path"
    EXPIRED_EPOCH = "of a run long gone"
    REPLAYED = "replayed"


class AuthenticationError(FleetError):
    """A message that failed authentication and is dropped.

    Attributes:
        cause: cause under which the drop is counted.
    """

    def __init__(self, cause: DropCause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class InvalidKeyFileError(FleetError):
    """An invalid key file; the message is one line."""


class MalformedKeyError(InvalidKeyFileError):
    """A malformed line in a key file; `line` is its number, counted from 1."""

    def __init__(self, line: int) -> None:
        super().__init__(f"line {line}: not an id of 8 and a secret of 64 hex digits")
        self.line = line


class DuplicateKeyError(InvalidKeyFileError):
    """A key id that is listed twice; `line` is the number of the second line, counted from 1."""

    def __init__(self, line: int, key_id: str) -> None:
        super().__init__(f"line {line}: key {key_id} is listed twice")
        self.line = line
        self.key_id = key_id


class KeyCountError(InvalidKeyFileError):
    """A key file without keys, or with too many."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} keys, not 1 to {MAX_KEYS}")
        self.count = count


class Header(msgspec.Struct, frozen=True, array_like=True):
    """The header of a message, which is authenticated together with the body."""

    fleet: Name
    sender: Name
    recipient: Name
    epoch: Count
    number: Count
    over_connection: bool = False  # whether the message was sent over a connection, not as a datagram


@dataclass(frozen=True, slots=True)
class AuthenticatedMessage:
    """A message that has passed all checks; `body` is still encoded."""

    header: Header
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Header)


def read_keys(text: str) -> dict[bytes, bytes]:
    """Parse a key file: one key per line, as an id (8 hex digits) and a secret (64), with `#` for comments.

    Sent messages are authenticated with the first key; received messages may use any of them. To rotate keys,
    add the new key at the end of the file at every front, then move it to the top at every front, then remove
    the old one.

    Raises:
        InvalidKeyFileError: the file has no key, too many keys, a duplicate or a malformed line.
    """
    keys: dict[bytes, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        content = line.split("#", 1)[0].strip()
        if not content:
            continue
        if not (match := KEY_LINE.fullmatch(content)):
            raise MalformedKeyError(number)
        key_id = bytes.fromhex(match[1])
        if key_id in keys:
            raise DuplicateKeyError(number, match[1])
        keys[key_id] = bytes.fromhex(match[2])
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeyCountError(len(keys))
    return keys


class ReplayWindow:
    """An anti-replay window over the message numbers of one epoch (as in RFC 4303, section 3.4.3).

    Each number is accepted once, and none below the window.
    """

    __slots__ = ("bits", "highest")

    def __init__(self) -> None:
        self.highest = -1
        self.bits = 0

    def accept(self, number: int) -> bool:
        """Return whether a number is new, and mark it as received."""
        if number > self.highest:
            shift = min(number - self.highest, REPLAY_WINDOW)
            self.bits = ((self.bits << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = number
            return True
        offset = self.highest - number
        if offset >= REPLAY_WINDOW or self.bits >> offset & 1:
            return False
        self.bits |= 1 << offset
        return True


class MessageAuthenticator:
    """The authenticator of a front's sent messages, and verifier of its received ones.

    Attributes:
        fleet: the fleet's name.
        name: this front's name.
        epoch: this front's epoch.
        keys: secrets by key id; the first one authenticates sent messages.
        number: number of the last message sent.
        windows: anti-replay windows by epoch, for each sender and kind of transport.
        dropped: number of dropped messages by cause.
    """

    def __init__(self, fleet: str, name: str, epoch: int, keys: Mapping[bytes, bytes]) -> None:
        self.fleet = fleet
        self.name = name
        self.epoch = epoch
        self.keys = dict(keys)
        self.number = 0
        self.windows: dict[tuple[str, bool], dict[int, ReplayWindow]] = {}
        self.dropped: Counter[str] = Counter()

    def set_keys(self, keys: Mapping[bytes, bytes]) -> None:
        """Replace the keys."""
        self.keys = dict(keys)

    def authenticate(
        self, recipient: str, body: bytes, over_connection: bool = False, session: bytes = b""
    ) -> bytes:
        """Return an authenticated message to a member.

        Args:
            recipient: the member's name.
            body: the encoded message.
            over_connection: whether the message is sent over a connection, not as a datagram.
            session: the connection's session id, made of random bytes of both ends, so that a recorded
                message is invalid on any other connection.
        """
        self.number += 1
        header = _encoder.encode(
            Header(self.fleet, self.name, recipient, self.epoch, self.number, over_connection)
        )
        key_id, secret = next(iter(self.keys.items()))
        content = len(header).to_bytes(2, "big") + header + body
        return bytes((VERSION,)) + key_id + mac(secret, key_id, content, session) + content

    def verify(
        self, data: bytes, over_connection: bool = False, session: bytes = b""
    ) -> AuthenticatedMessage:
        """Verify a message and mark its number as received.

        Args:
            data: the received bytes.
            over_connection: whether the message came over a connection, not as a datagram.
            session: the connection's session id.

        Raises:
            AuthenticationError: the message is invalid; the drop has been counted by its cause.
        """
        try:
            content = self._check_mac(data, session)
            length = int.from_bytes(content[:2], "big")
            header = self._read_header(content[2 : 2 + length])
            self._check_header(header, over_connection)
        except AuthenticationError as error:
            self.dropped[error.cause.value] += 1
            raise
        return AuthenticatedMessage(header, content[2 + length :])

    def _check_mac(self, data: bytes, session: bytes) -> bytes:
        """Verify the MAC, and return the authenticated bytes after it."""
        if len(data) < PREFIX_SIZE:
            raise AuthenticationError(DropCause.TOO_SHORT)
        if len(data) > MAX_MESSAGE_SIZE:
            raise AuthenticationError(DropCause.TOO_LONG)
        if data[0] != VERSION:
            raise AuthenticationError(DropCause.OTHER_VERSION)
        mac_start = 1 + KEY_ID_SIZE
        content_start = mac_start + MAC_SIZE
        key_id = data[1:mac_start]
        content = data[content_start:]
        secret = self.keys.get(key_id)
        if secret is None:
            raise AuthenticationError(DropCause.UNKNOWN_KEY)
        if not hmac.compare_digest(data[mac_start:content_start], mac(secret, key_id, content, session)):
            raise AuthenticationError(DropCause.WRONG_MAC)
        return content

    def _read_header(self, data: bytes) -> Header:
        try:
            return _decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            raise AuthenticationError(DropCause.UNREADABLE_HEADER) from None

    def _check_header(self, header: Header, over_connection: bool) -> None:
        if header.fleet != self.fleet:
            raise AuthenticationError(DropCause.OTHER_FLEET)
        if header.sender == self.name and header.epoch == self.epoch:
            raise AuthenticationError(DropCause.REFLECTED)
        if header.recipient != self.name:
            raise AuthenticationError(DropCause.OTHER_RECIPIENT)
        if header.over_connection is not over_connection:
            raise AuthenticationError(DropCause.OTHER_TRANSPORT)
        if not self._window(header).accept(header.number):
            raise AuthenticationError(DropCause.REPLAYED)

    def _window(self, header: Header) -> ReplayWindow:
        """Return the anti-replay window of the sender's epoch.

        Only the windows of the latest `MAX_EPOCHS` epochs of a sender are remembered. A message of an epoch
        before all of these is dropped: it could be a replay of a message whose number is no longer
        remembered.
        """
        epochs = self.windows.setdefault((header.sender, header.over_connection), {})
        if header.epoch not in epochs:
            if epochs and header.epoch < min(epochs) and len(epochs) >= MAX_EPOCHS:
                raise AuthenticationError(DropCause.EXPIRED_EPOCH)
            epochs[header.epoch] = ReplayWindow()
            if len(epochs) > MAX_EPOCHS:
                del epochs[min(epochs)]
        return epochs[header.epoch]


def mac(secret: bytes, key_id: bytes, content: bytes, session: bytes = b"") -> bytes:
    """Return the message authentication code of a content within a session."""
    state = blake2b(bytes((VERSION,)) + key_id, digest_size=MAC_SIZE, key=secret, person=b"weldbend")
    state.update(len(session).to_bytes(1, "big") + session + content)
    return state.digest()
