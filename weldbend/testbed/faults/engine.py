"""What a plan does to one direction of one connection: bytes in, fault actions out. No I/O, no own clock.

Which message a fault is injected into depends on plan, seed, connection and message alone, never on how the
bytes were split on their way or how fast they came (the trigger `after` excepted): the same seed injects the
same.
"""

import zlib
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

from weldbend.testbed.faults.messages import Message, Splitter, rewrite
from weldbend.testbed.faults.plan import FRAMINGS, Direction, Fault, FaultKind, Plan

THROTTLE_SLICE = 0.02  # seconds of a throttled stream that are handed on in one piece
CORRUPTION_MASK = 0x55  # of a byte that is corrupted


class ActionKind(Enum):
    """What is to be done towards the receiver."""

    DATA = auto()
    END = auto()  # shut down the writing side
    RESET = auto()  # end both sides at once, as a process that died
    CLOSE = auto()  # end both sides, after what was written


@dataclass(frozen=True, slots=True)
class FaultAction:
    """One thing to be done towards the receiver."""

    at: float  # seconds of the caller's clock; never before the action ahead of it
    kind: ActionKind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Injection:
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
    injections: list[Injection] = field(default_factory=list)
    injected: Counter[str] = field(default_factory=Counter)  # how often, by the fault's name

    def stream(self, connection: int, direction: Direction, now: float) -> "Stream":
        """One direction of a connection (numbered from 1) that has come up now."""
        return Stream(self, connection, direction, now)

    def draw(self, *labels: object) -> float:
        """A figure from 0 to 1 that depends on the seed and these labels only."""
        return zlib.crc32("/".join(map(str, (self.seed, *labels))).encode()) / 2**32

    def inject(self, fault: Fault, stream: "Stream") -> bool:
        """Count an injection into the present message; false where the fault's `times` are used up."""
        if self.injected[fault.name] >= fault.times:
            return False
        self.injected[fault.name] += 1
        self.injections.append(
            Injection(
                fault.name, stream.connection, stream.direction.value, stream.message_count, stream.offset
            )
        )
        return True


@dataclass
class MessageEffects:
    """What the faults that are injected into one message make of it."""

    raw: bytes
    delay: float = 0.0  # seconds
    copies: int = 1
    is_reordered: bool = False  # it changes place with the next
    interruption: Fault | None = None  # one that stops the stream within the message


class Stream:
    """One direction of one connection."""

    def __init__(self, injector: Injector, connection: int, direction: Direction, now: float) -> None:
        self.injector = injector
        self.connection = connection
        self.direction = direction
        self.faults = [
            fault
            for fault in injector.plan.faults
            if fault.direction is direction and fault.connection in (0, connection)
        ]
        self.framing = FRAMINGS[injector.plan.framing][direction is Direction.TO_CLIENT]
        self.splitter = Splitter(self.framing)
        self.opened_at = now
        self.last_action_at = now  # when all actions so far are done
        self.message_count = 0
        self.offset = 0  # bytes of the stream before the present message
        self.rate = 0  # bytes a second; 0 for no bound
        self.added_delay = 0.0  # seconds that growing delays have come to
        self.reordered = b""  # a message that lets the next go first
        self.is_finished = False
        self.connection_draws: dict[
            str, bool
        ] = {}  # on raw streams chance is drawn once a connection, by fault

    def feed(self, now: float, data: bytes) -> list[FaultAction]:
        """Bytes that came; what is to be done about them, and when."""
        actions: list[FaultAction] = []
        for message in self.splitter.feed(data):
            if self.is_finished:
                break
            self.message_count += 1
            self._process_message(now, message, actions)
            self.offset += len(message.raw)
        return actions

    def end(self, now: float) -> list[FaultAction]:
        """The sender has shut down its side: so is the receiver's, after all that went before."""
        actions: list[FaultAction] = []
        if not self.is_finished:
            self._emit(now, self.reordered + self.splitter.rest(), actions)
            self._finish(now, ActionKind.END, actions)
        return actions

    # One message.

    def _injected_faults(self, now: float, message: Message) -> list[Fault]:
        return [
            fault
            for fault in self.faults
            if self._is_triggered(now, fault, message) and self.injector.inject(fault, self)
        ]

    def _is_triggered(self, now: float, fault: Fault, message: Message) -> bool:
        if fault.message not in (0, self.message_count) or now < self.opened_at + fault.after:
            return False
        if fault.byte is not None and not self.offset <= fault.byte < self.offset + len(message.raw):
            return False
        if fault.field is not None and not message.has_field(*fault.field):
            return False
        if fault.chance >= 1:
            return True
        if self.framing == "raw":
            drawn = self.injector.draw(fault.name, self.connection)
            return self.connection_draws.setdefault(fault.name, drawn < fault.chance)
        return self.injector.draw(fault.name, self.connection, self.message_count) < fault.chance

    def _process_message(self, now: float, message: Message, actions: list[FaultAction]) -> None:
        effects = MessageEffects(message.raw)
        for fault in self._injected_faults(now, message):
            self._apply(fault, message, effects)
        if effects.interruption:
            self._interrupt(now + effects.delay, effects.interruption, effects.raw, actions)
            return
        if effects.is_reordered and not self.reordered:
            self.reordered = effects.raw
            return
        self._emit(now + effects.delay, effects.raw * effects.copies, actions)
        reordered = self.reordered
        self.reordered = b""
        self._emit(now, reordered, actions)

    def _apply(self, fault: Fault, message: Message, effects: MessageEffects) -> None:
        match fault.kind:
            case FaultKind.DELAY:
                effects.delay += self._drawn_delay(fault)
            case FaultKind.THROTTLE:
                self.rate = fault.rate
            case FaultKind.DROP:
                effects.copies = 0
            case FaultKind.DUPLICATE:
                effects.copies = 2
            case FaultKind.REORDER:
                effects.is_reordered = True
            case FaultKind.CORRUPT:
                effects.raw = corrupt(effects.raw, self._position(fault), fault.bytes)
            case FaultKind.REWRITE:
                changed = Message(effects.raw, message.fields)
                effects.raw = rewrite(self.framing, changed, fault.set_field, fault.to)
            case FaultKind.STALL | FaultKind.HANG | FaultKind.CUT | FaultKind.HALF_CLOSE:
                effects.interruption = effects.interruption or fault

    def _drawn_delay(self, fault: Fault) -> float:
        self.added_delay += fault.growth
        drawn = self.injector.draw(fault.name, self.connection, self.message_count, "jitter")
        return fault.duration + self.added_delay + fault.jitter * drawn

    def _position(self, fault: Fault) -> int:
        """Where in the message a fault is injected: at its byte of the stream, or so far inside."""
        return fault.byte - self.offset if fault.byte is not None else fault.inside or 0

    def _interrupt(self, now: float, fault: Fault, raw: bytes, actions: list[FaultAction]) -> None:
        """Part of a message, then a standstill or an end."""
        position = min(self._position(fault), len(raw))
        self._emit(now, raw[:position], actions)
        match fault.kind:
            case FaultKind.STALL:
                self.last_action_at = max(self.last_action_at, now) + fault.duration
                self._emit(now, raw[position:], actions)
            case FaultKind.HANG:
                self.is_finished = True
            case FaultKind.HALF_CLOSE:
                self._finish(now, ActionKind.END, actions)
            case _:
                self._finish(now, ActionKind.RESET if fault.how == "reset" else ActionKind.CLOSE, actions)

    def _emit(self, at: float, data: bytes, actions: list[FaultAction]) -> None:
        """Hand bytes on, not before the time given and not before what went ahead."""
        if not data:
            return
        self.last_action_at = max(self.last_action_at, at)
        size = max(int(self.rate * THROTTLE_SLICE), 1) if self.rate else len(data)
        for start in range(0, len(data), size):
            piece = data[start : start + size]
            self.last_action_at += len(piece) / self.rate if self.rate else 0.0
            actions.append(FaultAction(self.last_action_at, ActionKind.DATA, piece))

    def _finish(self, at: float, kind: ActionKind, actions: list[FaultAction]) -> None:
        self.is_finished = True
        self.last_action_at = max(self.last_action_at, at)
        actions.append(FaultAction(self.last_action_at, kind))


def corrupt(raw: bytes, position: int, count: int) -> bytes:
    """Flip bits in so many bytes from a place on."""
    corrupted = bytes(byte ^ CORRUPTION_MASK for byte in raw[position : position + count])
    return raw[:position] + corrupted + raw[position + len(corrupted) :]
