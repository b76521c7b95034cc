"""What passes between a door and the decisions: events in, actions out, and the facts of a site.

A door (today `weldbend.simhost`) turns its protocol into these types and back. Times are float seconds,
ages and waits too; sizes are in units of one second of sending at a client's top pace (`work`).
"""

from dataclasses import dataclass
from enum import Enum, auto


class Effect(Enum):
    """What a second run of a download would do."""

    RETRIABLE = auto()
    DEDUPED = auto()
    NON_RETRIABLE = auto()


class Scope(Enum):
    """Which caches drop the repeats of a deduped download."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Role(Enum):
    """What a listed cache is for."""

    EDGE = auto()
    PARENT = auto()
    ORIGIN = auto()


class Phase(Enum):
    """The state the list gives a cache."""

    READY = auto()
    DRAINING = auto()
    GONE = auto()


class Scale(Enum):
    """How a list replaces the one held before."""

    CHANGES = auto()
    WHOLE = auto()
    REMEMBERED = auto()
    FAILED = auto()


class Result(Enum):
    """How a pull ended."""

    FULFILLED = auto()
    ERROR = auto()
    TURNED_AWAY = auto()
    TIMED_OUT = auto()
    UNREACHED = auto()
    RESET = auto()
    CALLED_OFF = auto()
    MOOT = auto()
    MISS = auto()
    SPOILT = auto()  # its connection brought what is no answer: it may have run


class Hint(Enum):
    """What an answer tells of its fill, where a site tells it."""

    NONE = auto()
    HIT = auto()
    FILLED = auto()
    FROM_ORIGIN = auto()
    JOINED = auto()
    OLD = auto()
    SOURCE_REFUSED = auto()
    SOURCE_BROKE = auto()
    SOURCE_LACKS = auto()
    NO_PLACE = auto()
    ORIGIN_FAILED = auto()


@dataclass(frozen=True, slots=True)
class ContentType:
    """What a site says of one type of content."""

    name: str
    effect: Effect
    scope: Scope
    window: float
    expiry: float
    target: float
    stretch: float
    benefit: float
    fresh: float
    at_origin: bool


@dataclass(frozen=True, slots=True)
class SiteFacts:
    """What a front is told once, when it starts."""

    zone: str
    hub: str
    fronts: int
    zone_fronts: int
    hub_fronts: int
    types: dict[str, ContentType]
    tick: float
    ask_within: float
    subscribes: bool
    weighted: bool
    second_copies: bool
    calls_off: bool
    most_pulls: int
    longest_wait: float
    direct: bool
    joins: bool
    cold_floor: float
    cold_time: float
    cold_multiple: float
    cold_window: float
    parent_floor: float
    parent_time: float
    parent_multiple: float
    purge_slack: float
    purge_done: float


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the list of caches."""

    id: int
    weight: float
    zone: str
    cell: int
    role: Role
    phase: Phase
    started: float | None


@dataclass(frozen=True, slots=True)
class Listed:
    scale: Scale
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Ran:
    """A pull of the same deduped download that another front sent and that may have run: where, and when."""

    zone: str
    cell: int
    sent: float

    @property
    def cache(self) -> "Ran":
        """What of its cache is known: the group that drops repeats."""
        return self


@dataclass(frozen=True, slots=True)
class Asked:
    id: str
    key: str
    part: int
    group: int
    type: str
    work: float
    repeat: bool
    until: float
    waited: float = 0.0  # for which it lay at the door while others that had come before were read
    ran: tuple[Ran, ...] = ()  # at other fronts, of an earlier try of it
    elsewhere: int = 0  # times that other fronts were asked for the object lately
    over: bool = False  # beyond a limit that holds for the whole fleet


@dataclass(frozen=True, slots=True)
class Began:
    id: str
    pull: int


@dataclass(frozen=True, slots=True)
class Ended:
    id: str
    pull: int
    result: Result
    took: float
    closed: bool
    hint: Hint
    waited: float
    load: dict[str, float] | None


@dataclass(frozen=True, slots=True)
class Left:
    id: str


@dataclass(frozen=True, slots=True)
class Purged:
    key: str | None
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class Woke:
    token: str
    silent: bool = False  # the connection of the pull that it is about has brought nothing since it went out


@dataclass(frozen=True, slots=True)
class Reached:
    """A connection to a cache has come up."""

    cache: int


@dataclass(frozen=True, slots=True)
class Known:
    """What other fronts know of a cache: it can only make this one stricter. Nothing is said by None."""

    cache: int
    phase: Phase | None
    started: float | None


@dataclass(frozen=True, slots=True)
class RanToo:
    """News of a download that is open: another front may have had it run."""

    id: str
    ran: Ran


@dataclass(frozen=True, slots=True)
class Evidence:
    """How pulls at a cache ended at other fronts lately, weighed: answers that it counts as, good and bad."""

    cache: int
    good: float
    bad: float


@dataclass(frozen=True, slots=True)
class Share:
    """This front's part of what all fronts together may send a cold cache: kept, and lent until a moment.

    Parts of the whole budget; `shared` is false where each has the fixed share again.
    """

    cache: int
    shared: bool = False
    kept: float = 0.0
    lent: float = 0.0
    until: float = 0.0


@dataclass(frozen=True, slots=True)
class Part:
    """This front's part, by its need, of what all fronts together may have out at the parents."""

    part: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """The part of its work that a cache may have from here, by the fleet's verdict: 0 none, 1 all."""

    cache: int
    part: float


@dataclass(frozen=True, slots=True)
class Probed:
    cache: int
    result: Result
    took: float
    load: dict[str, float] | None


@dataclass(frozen=True, slots=True)
class Pressed:
    """How long what comes to this front waits for its turn, since the front has more to do than it can."""

    late: float


@dataclass(frozen=True, slots=True)
class Changed:
    """Other facts of the site hold from now on; what is open goes on under those it began with."""

    facts: SiteFacts


@dataclass(frozen=True, slots=True)
class Told:
    front: int
    text: bytes


OfCache = Reached | Known | Evidence | Share | Verdict  # what concerns one cache, and goes to it
Event = (
    Listed | Asked | Began | Ended | Left | Purged | Woke | Reached | Known | RanToo | Evidence | Share | Part
    | Verdict | Probed | Pressed | Changed | Told
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class SendPull:
    id: str
    cache: int
    source: int | None
    rank: int
    age: float
    patience: float
    join: bool
    only_held: bool
    leave_no_copy: bool
    renew: bool


@dataclass(frozen=True, slots=True)
class CallOff:
    id: str
    pull: int


@dataclass(frozen=True, slots=True)
class Throttle:
    id: str
    wait: float


@dataclass(frozen=True, slots=True)
class Abandon:
    id: str


@dataclass(frozen=True, slots=True)
class Wake:
    delay: float
    token: str
    id: str = ""  # the download that it is for: need not be told once that has ended
    pull: int = -1  # and the pull


@dataclass(frozen=True, slots=True)
class Probe:
    cache: int


@dataclass(frozen=True, slots=True)
class Tell:
    front: int | None
    text: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the list."""


@dataclass(frozen=True, slots=True)
class Remark:
    text: str


Action = SendPull | CallOff | Throttle | Abandon | Wake | Probe | Tell | Watch | Remark
