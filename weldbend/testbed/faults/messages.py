"""What crosses a connection as whole messages: cut from the stream, looked into, and written anew. No I/O.

The product's own readers say where a message ends and what its fields are. What they cannot read passes on
unchanged, as one message: the injector must not mend or hide what is broken already.
"""

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import LONGEST_LINE
from weldbend.cache_protocol.commands import fields_text
from weldbend.thrift import binary
from weldbend.thrift.binary import Reader
from weldbend.thrift.errors import InvalidMessageError
from weldbend.thrift.framing import LENGTH

LONGEST = 1 << 19
BREAK = b"\r\n"


@dataclass(frozen=True, slots=True)
class Message:
    """Its bytes as they came, and what was read of it; none where it could not be read."""

    raw: bytes
    fields: dict[str, str] | None = None


class Splitter:
    """Cuts a stream into messages; bytes of one that is not whole wait."""

    def __init__(self, framing: str) -> None:
        self.framing, self.ring = framing, Ring(LONGEST)
        self.lost = False  # what follows cannot be cut any more

    def feed(self, data: bytes) -> Iterator[Message]:
        rest = memoryview(data)
        while rest:
            rest = rest[self.ring.write(rest) :]
            yield from self.cut()
            if not self.ring.free():  # a message longer than any: pass on what there is
                self.lost = True

    def cut(self) -> Iterator[Message]:
        while len(self.ring):
            if self.lost or self.framing == "raw":
                yield Message(self.ring.read(len(self.ring)))
                return
            length = LENGTHS[self.framing](self.ring)
            if length < 0:
                self.lost = True
            elif not length or length > len(self.ring):
                return
            else:
                raw = self.ring.read(length)
                yield Message(raw, READERS[self.framing](raw))

    def rest(self) -> bytes:
        """What waits for its end; it will not come."""
        return self.ring.read(len(self.ring))


def thrift_length(ring: Ring) -> int:
    """Bytes of the message at the head; 0 if that is not known yet, -1 where it can be none."""
    if len(ring) < LENGTH.size:
        return 0
    (length,) = LENGTH.unpack(ring.peek(LENGTH.size))
    return LENGTH.size + length if 0 < length <= LONGEST - LENGTH.size else -1


def line_length(ring: Ring) -> int:
    end = ring.find(BREAK, 0, LONGEST_LINE)
    if end < 0:
        return -1 if len(ring) >= LONGEST_LINE else 0
    last = ring.peek(end).rpartition(b" ")[2]
    words = ring.peek(end).count(b" ")
    if words == 1:  # undo, ping, top
        return end + 2
    return end + 2 + int(last) + 2 if last.isdigit() and len(last) < 7 else -1


def event_length(ring: Ring) -> int:
    end = ring.find(b"\n\n", 0, len(ring))
    return end + 2 if end >= 0 else 0


LENGTHS = {"thrift": thrift_length, "commands": line_length, "answers": line_length, "sse": event_length}


def read_thrift(raw: bytes) -> dict[str, str] | None:
    """`name`, `seqid` and `kind` of a call or an answer, and the fields of its first map."""
    reader = Reader(raw[LENGTH.size :])
    try:
        head = reader.head()
        fields = {"message.name": head.name, "seqid": str(head.seqid), "message.kind": str(head.kind)}
        found = first_map(reader)
        return fields | found if found else fields
    except InvalidMessageError:
        return None


def first_map(reader: Reader) -> dict[str, str] | None:
    for kind, _ in reader.fields():
        if kind == binary.MAP:
            return reader.text_map()
        if kind == binary.STRUCT:
            if (found := first_map(reader)) is not None:
                return found
        else:
            reader.skip(kind)
    return None


def read_line(raw: bytes) -> dict[str, str] | None:
    """`id` and `word` of a command or an answer, its `length`, and its fields."""
    words = raw.partition(BREAK)[0].decode("latin-1").split(" ")
    if len(words) == 2:
        return {"word": words[0], "id": words[1]}
    if len(words) != 4:
        return None
    first, second, fields, length = words
    word, name = (first, second) if first == "do" else (second, first)
    held = dict(pair.partition("=")[::2] for pair in fields.split(",")) if fields != "-" else {}
    return {"word": word, "id": name, "length": length} | held


def read_event(raw: bytes) -> dict[str, str] | None:
    found = {}
    for line in raw.decode("utf-8", "replace").split("\n"):
        name, colon, value = line.partition(":")
        if colon and name:
            found[name] = value.removeprefix(" ")
    return found


READERS = {"thrift": read_thrift, "commands": read_line, "answers": read_line, "sse": read_event}


def rewrite(framing: str, message: Message, name: str, to: str | None) -> bytes:
    """The message with one field set, or left out where `to` is none; unchanged where it has no such field.

    The result is whole and parses: lengths and frames fit again.
    """
    if message.fields is None:
        return message.raw
    try:
        return WRITERS[framing](message, name, to)
    except (InvalidMessageError, ValueError, KeyError, struct.error):
        return message.raw


def rewrite_thrift(message: Message, name: str, to: str | None) -> bytes:
    data = message.raw[LENGTH.size :]
    if name == "seqid" and to is not None:
        at = 4 + len(binary.binary(Reader(data).head().name.encode()))
        data = data[:at] + binary.i32(int(to)) + data[at + 4 :]
    elif name == "body":
        return rewrite_body(data, (to or "").encode())
    elif message.fields and name in message.fields:
        old = binary.binary(name.encode()) + binary.binary(message.fields[name].encode())
        if to is not None:
            data = data.replace(old, binary.binary(name.encode()) + binary.binary(to.encode()), 1)
        else:
            at = data.find(old)
            start = map_start(data, at)
            count = struct.unpack(">i", data[start : start + 4])[0] - 1
            data = data[:start] + binary.i32(count) + data[start + 4 : at] + data[at + len(old) :]
    return LENGTH.pack(len(data)) + data


def map_start(data: bytes, at: int) -> int:
    """Where the count of the map of texts stands that has an entry at `at`."""
    mark = bytes((binary.STRING, binary.STRING))
    return data.rfind(mark, 0, at) + len(mark)


def rewrite_body(data: bytes, body: bytes) -> bytes:
    """An answer with another body: shorter, or of another download, in a frame that fits."""
    reader = Reader(data)
    reader.head()
    for kind, _ in reader.fields():
        if kind != binary.STRUCT:
            reader.skip(kind)
            continue
        for inner, number in reader.fields():
            if inner == binary.STRING and number == 1:
                start = reader.position
                reader.binary()
                data = data[:start] + binary.binary(body) + data[reader.position :]
                return LENGTH.pack(len(data)) + data
            reader.skip(inner)
    raise ValueError("no body")


def rewrite_line(message: Message, name: str, to: str | None) -> bytes:
    line, _, rest = message.raw.partition(BREAK)
    words = line.decode("latin-1").split(" ")
    if len(words) != 4:
        return message.raw
    command = words[0] == "do"
    if name == "id" and to is not None:
        words[1 if command else 0] = to
    elif name == "word" and to is not None and not command:
        words[1] = to
    elif name == "length" and to is not None:  # shorter, and whole: the body is cut to fit
        body = rest[: min(int(to), len(rest) - 2)]
        words[3], rest = str(len(body)), body + BREAK
    else:
        held = dict(pair.partition("=")[::2] for pair in words[2].split(",")) if words[2] != "-" else {}
        if to is None:
            held.pop(name, None)
        else:
            held[name] = to
        words[2] = fields_text(held)
    return " ".join(words).encode("latin-1") + BREAK + rest


def rewrite_event(message: Message, name: str, to: str | None) -> bytes:
    """A line of the event, or with `data.` before it a key of the object in its data."""
    lines = message.raw.decode("utf-8", "replace").split("\n")
    top, _, path = name.partition(".")
    found = []
    for line in lines:
        if not line.startswith(f"{top}:"):
            found.append(line)
        elif path:
            held = json.loads(line.partition(":")[2])
            set_key(held, path.split("."), to)
            found.append(f"{top}: {json.dumps(held)}")
        elif to is not None:
            found.append(f"{top}: {to}")
    return "\n".join(found).encode()


def set_key(held: dict[str, object], path: list[str], to: str | None) -> None:
    for step in path[:-1]:
        inner = held[step]
        if not isinstance(inner, dict):
            raise ValueError("no such key")
        held = inner
    if to is None:
        held.pop(path[-1], None)
    else:
        held[path[-1]] = json.loads(to)


WRITERS = {
    "thrift": rewrite_thrift,
    "commands": rewrite_line,
    "answers": rewrite_line,
    "sse": rewrite_event,
}
