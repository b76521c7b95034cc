"""Applies a fault plan to one direction of a connection: bytes in, fault actions out. No I/O, no clock.

Whether a fault is injected into a message depends only on the plan, the seed, the connection and the message,
not on how the bytes were split or when they arrived (except for the trigger `after`). The same seed therefore
injects the same faults.
"""

import zlib
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

from weldbend.testbed.faults.messages import Message, Splitter, rewrite
from weldbend.testbed.faults.plan import FRAMINGS, Direction, Fault, FaultKind, Plan

THROTTLE_SLICE = 0.02  # seconds of a throttled stream that are forwarded as one piece
CORRUPTION_MASK = 0x55  # bits that are flipped in a corrupted byte


class ActionKind(Enum):
    """Kinds of actions on the receiver's side of a connection."""

    DATA = auto()
    END = auto()  # half-close: send the end of the stream
    RESET = auto()  # reset both sides at once, as when a process dies
    CLOSE = auto()  # close both sides after sending what was written


@dataclass(frozen=True, slots=True)
class FaultAction:
    """One action on the receiver's side of a connection."""

    at: float  # seconds of the caller's clock; never earlier than the preceding action
    kind: ActionKind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Injection:
    """Record of one injected fault; `offset` is the position in the stream at which the message began."""

    fault: str
    connection: int
    direction: str
    message: int
    offset: int


@dataclass
class Injector:
    """Applies a plan to all connections of a run and records what was injected."""

    plan: Plan
    seed: int
    injections: list[Injection] = field(default_factory=list)
    injected: Counter[str] = field(default_factory=Counter)  # number of injections, by name of the fault

    def stream(self, connection: int, direction: Direction, now: float) -> "Stream":
        """Create the stream of one direction of a connection established now; connections count from 1."""
        return Stream(self, connection, direction, now)

    def draw(self, *labels: object) -> float:
        """Return a number from 0 to 1 that depends only on the seed and the labels."""
        return zlib.crc32("/".join(map(str, (self.seed, *labels))).encode()) / 2**32

    def inject(self, fault: Fault, stream: "Stream") -> bool:
        """Record an injection into the current message; return False if the fault's `times` are used up."""
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
    """Combined effects of the faults that are injected into one message."""

    raw: bytes
    delay: float = 0.0  # seconds
    copies: int = 1
    is_reordered: bool = False  # the message is sent after the next one
    interruption: Fault | None = None  # fault that interrupts the stream within the message


class Stream:
    """Fault injection state of one direction of a connection."""

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
        self.last_action_at = now  # time of the last action so far
        self.message_count = 0
        self.offset = 0  # bytes of the stream before the current message
        self.rate = 0  # bytes per second; 0 for unlimited
        self.added_delay = 0.0  # accumulated seconds of faults with `growth`
        self.reordered = b""  # message that is sent after the next one
        self.is_finished = False
        # Random decisions by fault; on raw streams `chance` is drawn once per connection.
        self.connection_draws: dict[str, bool] = {}

    def feed(self, now: float, data: bytes) -> list[FaultAction]:
        """Process received bytes; return the resulting actions with their times."""
        actions: list[FaultAction] = []
        for message in self.splitter.feed(data):
            if self.is_finished:
                break
            self.message_count += 1
            self._process_message(now, message, actions)
            self.offset += len(message.raw)
        return actions

    def end(self, now: float) -> list[FaultAction]:
        """Pass on the end of the sender's stream, after all earlier actions."""
        actions: list[FaultAction] = []
        if not self.is_finished:
            self._emit(now, self.reordered + self.splitter.rest(), actions)
            self._finish(now, ActionKind.END, actions)
        return actions

    # Processing of single messages.

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
        """Return the offset in the message at which a fault is injected, from its `byte` or its `inside`."""
        return fault.byte - self.offset if fault.byte is not None else fault.inside or 0

    def _interrupt(self, now: float, fault: Fault, raw: bytes, actions: list[FaultAction]) -> None:
        """Send the first part of a message, then stall, hang or end the stream."""
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
        """Append actions that forward bytes, at the earliest at the given time and after earlier actions."""
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
    """Return a message with bits flipped in `count` bytes from a position on."""
    corrupted = bytes(byte ^ CORRUPTION_MASK for byte in raw[position : position + count])
    return raw[:position] + corrupted + raw[position + len(corrupted) :]
