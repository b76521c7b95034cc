"""What a plan does to one direction of one connection: bytes in, deeds out. No I/O, no clock of its own.

Which message is struck depends on plan, seed, connection and message alone, never on how the bytes were split
on their way or how fast they came (the trigger `after` excepted): the same seed strikes the same.
"""

import zlib
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

from weldbend.testbed.faults.messages import Message, Splitter, rewrite
from weldbend.testbed.faults.plan import FRAMINGS, Direction, Fault, Kind, Plan

SLICE = 0.02  # seconds of a throttled stream that are handed on in one piece
FLIP = 0x55


class What(Enum):
    """What is to be done towards the receiver."""

    DATA = auto()
    END = auto()  # tell it that nothing more comes
    RESET = auto()  # end both sides at once, as a process that died
    CLOSE = auto()  # end both sides, after what was written


ENDS = (What.END, What.RESET, What.CLOSE)


@dataclass(frozen=True, slots=True)
class FaultAction:
    at: float  # seconds of the caller's clock; never before the deed ahead of it
    what: What
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Strike:
    """One fault at work; `offset` is where the message began in its stream."""

    fault: str
    connection: int
    direction: str
    message: int
    offset: int


@dataclass
class Injector:
    """A plan at work over all connections of one run."""

    plan: Plan
    seed: int
    strikes: list[Strike] = field(default_factory=list)
    struck: Counter[str] = field(default_factory=Counter)

    def stream(self, connection: int, direction: Direction, now: float) -> "Stream":
        """One direction of a connection (numbered from 1) that has come up now."""
        return Stream(self, connection, direction, now)

    def drawn(self, *words: object) -> float:
        """A figure from 0 to 1 that depends on the seed and these words only."""
        return zlib.crc32("/".join(map(str, (self.seed, *words))).encode()) / 2**32


class Stream:
    def __init__(self, injector: Injector, connection: int, direction: Direction, now: float) -> None:
        self.injector, self.connection, self.direction = injector, connection, direction
        self.faults = [f for f in injector.plan.faults if f.direction is direction]
        self.faults = [f for f in self.faults if f.connection in (0, connection)]
        self.framing = FRAMINGS[injector.plan.framing][direction is Direction.BACK]
        self.splitter = Splitter(self.framing)
        self.began = self.clear = now  # when it came up, and when all deeds so far are done
        self.messages = self.offset = 0
        self.rate = 0
        self.late = 0.0  # seconds that growing delays have come to
        self.held = b""  # a message that lets the next go first
        self.over = False
        self.once: dict[str, bool] = {}  # on raw streams chance is drawn once a connection

    def feed(self, now: float, data: bytes) -> list[FaultAction]:
        """Bytes that came; what is to be done about them, and when."""
        fault_actions: list[FaultAction] = []
        for message in self.splitter.feed(data):
            if self.over:
                break
            self.messages += 1
            self.pass_on(now, message, fault_actions)
            self.offset += len(message.raw)
        return fault_actions

    def end(self, now: float) -> list[FaultAction]:
        """The sender says no more: so is the receiver told, after all that went before."""
        fault_actions: list[FaultAction] = []
        if not self.over:
            self.emit(now, self.held + self.splitter.rest(), fault_actions)
            self.finish(now, What.END, fault_actions)
        return fault_actions

    # One message.

    def strikes(self, now: float, message: Message) -> list[Fault]:
        found = []
        for fault in self.faults:
            if self.meets(now, fault, message) and self.injector.struck[fault.name] < fault.times:
                self.injector.struck[fault.name] += 1
                self.injector.strikes.append(
                    Strike(fault.name, self.connection, self.direction.value, self.messages, self.offset)
                )
                found.append(fault)
        return found

    def meets(self, now: float, fault: Fault, message: Message) -> bool:
        if fault.message not in (0, self.messages) or now < self.began + fault.after:
            return False
        if fault.byte is not None and not self.offset <= fault.byte < self.offset + len(message.raw):
            return False
        if fault.field is not None:
            name, value = fault.field
            held = (message.fields or {}).get(name)
            if held is None or value not in ("*", held):
                return False
        if fault.chance >= 1:
            return True
        if self.framing == "raw":
            drawn = self.injector.drawn(fault.name, self.connection)
            return self.once.setdefault(fault.name, drawn < fault.chance)
        return self.injector.drawn(fault.name, self.connection, self.messages) < fault.chance

    def pass_on(self, now: float, message: Message, fault_actions: list[FaultAction]) -> None:
        raw, wait, copies, swap = message.raw, 0.0, 1, False
        ends: Fault | None = None
        for fault in self.strikes(now, message):
            match fault.kind:
                case Kind.DELAY:
                    self.late += fault.growth
                    drawn = self.injector.drawn(fault.name, self.connection, self.messages, "jitter")
                    wait += fault.lasts + self.late + fault.jitter * drawn
                case Kind.THROTTLE:
                    self.rate = fault.rate
                case Kind.DROP:
                    copies = 0
                case Kind.DUPLICATE:
                    copies = 2
                case Kind.REORDER:
                    swap = True
                case Kind.CORRUPT:
                    raw = corrupt(raw, self.place(fault), fault.bytes)
                case Kind.REWRITE:
                    raw = rewrite(self.framing, Message(raw, message.fields), fault.set_field, fault.to)
                case Kind.STALL | Kind.HANG | Kind.CUT | Kind.HALF_CLOSE:
                    ends = ends or fault
        if ends:
            self.interrupt(now + wait, ends, raw, fault_actions)
            return
        if swap and not self.held:
            self.held = raw
            return
        self.emit(now + wait, raw * copies, fault_actions)
        held, self.held = self.held, b""
        self.emit(now, held, fault_actions)

    def place(self, fault: Fault) -> int:
        """Where in the message a fault strikes: at its byte of the stream, or so far inside."""
        return fault.byte - self.offset if fault.byte is not None else fault.inside or 0

    def interrupt(self, now: float, fault: Fault, raw: bytes, fault_actions: list[FaultAction]) -> None:
        """Part of a message, then a standstill or an end."""
        place = min(self.place(fault), len(raw))
        self.emit(now, raw[:place], fault_actions)
        match fault.kind:
            case Kind.STALL:
                self.clear = max(self.clear, now) + fault.lasts
                self.emit(now, raw[place:], fault_actions)
            case Kind.HANG:
                self.over = True
            case Kind.HALF_CLOSE:
                self.finish(now, What.END, fault_actions)
            case _:
                self.finish(now, What.RESET if fault.how == "reset" else What.CLOSE, fault_actions)

    def emit(self, at: float, data: bytes, fault_actions: list[FaultAction]) -> None:
        """Hand bytes on, not before the time given and not before what went ahead."""
        if not data:
            return
        self.clear = max(self.clear, at)
        size = max(int(self.rate * SLICE), 1) if self.rate else len(data)
        for start in range(0, len(data), size):
            piece = data[start : start + size]
            self.clear += len(piece) / self.rate if self.rate else 0.0
            fault_actions.append(FaultAction(self.clear, What.DATA, piece))

    def finish(self, at: float, what: What, fault_actions: list[FaultAction]) -> None:
        self.over = True
        self.clear = max(self.clear, at)
        fault_actions.append(FaultAction(self.clear, what))


def corrupt(raw: bytes, place: int, count: int) -> bytes:
    """Flip bits in so many bytes from a place on."""
    part = bytes(byte ^ FLIP for byte in raw[place : place + count])
    return raw[:place] + part + raw[place + len(part) :]
