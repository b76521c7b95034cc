"""Splits the streams of a connection into messages, reads their fields and rewrites them. No I/O.

Message boundaries and fields are determined by weldbend's own parsers. Bytes that cannot be parsed are passed
on unchanged, as one message: the injector must not repair or hide malformed input.
"""

import json
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import LONGEST_LINE
from weldbend.cache_protocol.commands import format_fields
from weldbend.testbed.errors import TestbedError
from weldbend.thrift import binary
from weldbend.thrift.binary import Reader
from weldbend.thrift.errors import InvalidMessageError
from weldbend.thrift.framing import LENGTH

MAX_MESSAGE_SIZE = 1 << 19  # bytes of one message
LINE_END = b"\r\n"
MAX_LENGTH_DIGITS = 6  # digits of the body length at the end of a line
SHORT_LINE_TOKENS = 2  # tokens of undo, ping and top: word and name
FULL_LINE_TOKENS = 4  # tokens of do and of an answer: word, name (or the reverse), fields and length

Fields = dict[str, str]


class FieldNotFoundError(TestbedError):
    """Raised for a field that a message does not have."""

    def __init__(self, field: str) -> None:
        self.field = field
        super().__init__(f"no field {field}")


@dataclass(frozen=True, slots=True)
class Message:
    """A message: its original bytes, and its fields or None if it could not be parsed."""

    raw: bytes
    fields: Fields | None = None

    def has_field(self, name: str, value: str) -> bool:
        """Return whether the message has a field with this value; `*` matches any value."""
        found = (self.fields or {}).get(name)
        return found is not None and value in ("*", found)


class Splitter:
    """Splits a stream into messages and buffers the bytes of an incomplete one."""

    def __init__(self, framing: str) -> None:
        self.framing = framing
        self.ring = Ring(MAX_MESSAGE_SIZE)
        self.is_unparsable = False  # the rest of the stream cannot be split

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes; yield the messages that they complete."""
        rest = memoryview(data)
        while rest:
            rest = rest[self.ring.write(rest) :]
            yield from self._split()
            if not self.ring.free():  # longer than any message: pass on the buffered bytes
                self.is_unparsable = True

    def _split(self) -> Iterator[Message]:
        while len(self.ring):
            if self.is_unparsable or self.framing == "raw":
                yield Message(self.ring.read(len(self.ring)))
                return
            length = LENGTHS[self.framing](self.ring)
            if length < 0:
                self.is_unparsable = True
            elif not length or length > len(self.ring):
                return
            else:
                raw = self.ring.read(length)
                yield Message(raw, READERS[self.framing](raw))

    def rest(self) -> bytes:
        """Return the bytes of the incomplete message, when the stream has ended."""
        return self.ring.read(len(self.ring))


def thrift_length(ring: Ring) -> int:
    """Return the length of the message at the head; 0 if not known yet, -1 if it is no valid message."""
    if len(ring) < LENGTH.size:
        return 0
    (length,) = LENGTH.unpack(ring.peek(LENGTH.size))
    return LENGTH.size + length if 0 < length <= MAX_MESSAGE_SIZE - LENGTH.size else -1


def line_length(ring: Ring) -> int:
    """Return the length of a command or an answer of the line protocol; 0 and -1 as in `thrift_length`."""
    end = ring.find(LINE_END, 0, LONGEST_LINE)
    if end < 0:
        return -1 if len(ring) >= LONGEST_LINE else 0
    tokens = ring.peek(end).split(b" ")
    if len(tokens) == SHORT_LINE_TOKENS:
        return end + len(LINE_END)
    body = tokens[-1]
    if not body.isdigit() or len(body) > MAX_LENGTH_DIGITS:
        return -1
    return end + len(LINE_END) + int(body) + len(LINE_END)


def event_length(ring: Ring) -> int:
    """Return the length of a server-sent event; 0 if not known yet."""
    end = ring.find(b"\n\n", 0, len(ring))
    return end + 2 if end >= 0 else 0


LENGTHS: dict[str, Callable[[Ring], int]] = {
    "thrift": thrift_length,
    "commands": line_length,
    "answers": line_length,
    "sse": event_length,
}


def read_thrift(raw: bytes) -> Fields | None:
    """Return `message.name`, `seqid` and `message.kind` of a message, with the fields of its first map."""
    reader = Reader(raw[LENGTH.size :])
    try:
        head = reader.message_header()
        fields = {"message.name": head.name, "seqid": str(head.seqid), "message.kind": str(head.kind)}
        return fields | (first_map(reader) or {})
    except InvalidMessageError:
        return None


def first_map(reader: Reader) -> Fields | None:
    """Return the first map of strings in a struct or its nested structs; None if there is none."""
    for kind, _ in reader.fields():
        if kind == binary.MAP:
            return reader.text_map()
        if kind == binary.STRUCT:
            if (fields := first_map(reader)) is not None:
                return fields
        else:
            reader.skip(kind)
    return None


def split_pairs(text: str) -> Fields:
    """Parse the fields of a line: `name=value` separated by commas, or `-` for none."""
    return dict(pair.partition("=")[::2] for pair in text.split(",")) if text != "-" else {}


def read_line(raw: bytes) -> Fields | None:
    """Return `id` and `word` of a command or an answer, its `length`, and its fields."""
    tokens = raw.partition(LINE_END)[0].decode("latin-1").split(" ")
    if len(tokens) == SHORT_LINE_TOKENS:
        return {"word": tokens[0], "id": tokens[1]}
    if len(tokens) != FULL_LINE_TOKENS:
        return None
    first, second, fields, length = tokens
    word, name = (first, second) if first == "do" else (second, first)
    return {"word": word, "id": name, "length": length} | split_pairs(fields)


def read_event(raw: bytes) -> Fields | None:
    """Return the lines of a server-sent event, by name."""
    fields = {}
    for line in raw.decode("utf-8", "replace").split("\n"):
        name, colon, value = line.partition(":")
        if colon and name:
            fields[name] = value.removeprefix(" ")
    return fields


READERS: dict[str, Callable[[bytes], Fields | None]] = {
    "thrift": read_thrift,
    "commands": read_line,
    "answers": read_line,
    "sse": read_event,
}


def rewrite(framing: str, message: Message, name: str, to: str | None) -> bytes:
    """Return a message with one field set to `to`, or removed if `to` is None.

    A message without this field is returned unchanged. The result is complete and can be parsed: lengths and
    frames are adjusted.
    """
    if message.fields is None:
        return message.raw
    try:
        return WRITERS[framing](message, name, to)
    except (InvalidMessageError, FieldNotFoundError, ValueError, KeyError, struct.error):
        return message.raw


def rewrite_thrift(message: Message, name: str, to: str | None) -> bytes:
    """Return a thrift message with its `seqid`, its `body`, or a field of its map replaced."""
    data = message.raw[LENGTH.size :]
    if name == "seqid" and to is not None:
        # offset after version, kind and name
        at = 4 + len(binary.binary(Reader(data).message_header().name.encode()))
        data = data[:at] + binary.i32(int(to)) + data[at + 4 :]
    elif name == "body":
        data = replace_body(data, (to or "").encode())
    elif message.fields and name in message.fields:
        old = binary.binary(name.encode()) + binary.binary(message.fields[name].encode())
        if to is not None:
            data = data.replace(old, binary.binary(name.encode()) + binary.binary(to.encode()), 1)
        else:
            data = remove_entry(data, data.find(old), len(old))
    return LENGTH.pack(len(data)) + data


def remove_entry(data: bytes, at: int, size: int) -> bytes:
    """Remove the entry at a given offset from a map of strings."""
    types = bytes((binary.STRING, binary.STRING))
    start = data.rfind(types, 0, at) + len(types)  # offset of the map's entry count
    count = struct.unpack(">i", data[start : start + 4])[0] - 1
    return data[:start] + binary.i32(count) + data[start + 4 : at] + data[at + size :]


def replace_body(data: bytes, body: bytes) -> bytes:
    """Return an answer with its body replaced."""
    reader = Reader(data)
    reader.message_header()
    for kind, _ in reader.fields():
        if kind != binary.STRUCT:
            reader.skip(kind)
            continue
        for inner, number in reader.fields():
            if inner == binary.STRING and number == 1:
                start = reader.position
                reader.binary()
                return data[:start] + binary.binary(body) + data[reader.position :]
            reader.skip(inner)
    raise FieldNotFoundError("body")


def rewrite_line(message: Message, name: str, to: str | None) -> bytes:
    """Return a command or an answer with `id`, `word` (answers only), `length` or a field replaced."""
    line, _, rest = message.raw.partition(LINE_END)
    tokens = line.decode("latin-1").split(" ")
    if len(tokens) != FULL_LINE_TOKENS:
        return message.raw
    is_command = tokens[0] == "do"
    if name == "id" and to is not None:
        tokens[1 if is_command else 0] = to
    elif name == "word" and to is not None and not is_command:
        tokens[1] = to
    elif name == "length" and to is not None:  # truncate the body, so that the message stays complete
        body = rest[: min(int(to), len(rest) - len(LINE_END))]
        tokens[3] = str(len(body))
        rest = body + LINE_END
    else:
        fields = split_pairs(tokens[2])
        if to is None:
            fields.pop(name, None)
        else:
            fields[name] = to
        tokens[2] = format_fields(fields)
    return " ".join(tokens).encode("latin-1") + LINE_END + rest


def rewrite_event(message: Message, name: str, to: str | None) -> bytes:
    """Return an event with a line replaced, or a key of its JSON data if the name begins with `data.`."""
    top, _, path = name.partition(".")
    lines = []
    for line in message.raw.decode("utf-8", "replace").split("\n"):
        if not line.startswith(f"{top}:"):
            lines.append(line)
        elif path:
            document = json.loads(line.partition(":")[2])
            set_key(document, path.split("."), to)
            lines.append(f"{top}: {json.dumps(document)}")
        elif to is not None:
            lines.append(f"{top}: {to}")
    return "\n".join(lines).encode()


def set_key(document: dict[str, object], path: list[str], to: str | None) -> None:
    """Set a key within a document to a JSON value, or remove it; raises FieldNotFoundError."""
    for step in path[:-1]:
        inner = document[step]
        if not isinstance(inner, dict):
            raise FieldNotFoundError(step)
        document = inner
    if to is None:
        document.pop(path[-1], None)
    else:
        document[path[-1]] = json.loads(to)


WRITERS: dict[str, Callable[[Message, str, str | None], bytes]] = {
    "thrift": rewrite_thrift,
    "commands": rewrite_line,
    "answers": rewrite_line,
    "sse": rewrite_event,
}
