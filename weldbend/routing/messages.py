"""What the parts of a router tell each other. These types decide nothing."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, Union

from weldbend.routing.events import (
    AttemptEnded,
    CacheEvent,
    Endpoint,
    EndpointsListed,
    ExecutedElsewhere,
    LoopLagMeasured,
    ObjectsPurged,
    PeerKnowledge,
    RequestCancelled,
    RequestReceived,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
)

if TYPE_CHECKING:
    from weldbend.routing.cache_state import Cache
    from weldbend.routing.records import Attempt
    from weldbend.routing.requests import Request


class Outcome(Enum):
    """What a cache learns from the end of an attempt that speaks for it."""

    SUCCESS = auto()
    LATE = auto()
    FAILURE = auto()
    CONNECTION_LOST = auto()


@dataclass(frozen=True, slots=True)
class Popularity:
    """How often a request's object was asked for.

    `level` counts up to the prefilter's highest one; `free_fraction` is the part of its table that is free.
    """

    level: int
    free_fraction: float


@dataclass(frozen=True, slots=True)
class Blocked:
    """A planned attempt may not be sent; `cache` is what is in the way, where another would do."""

    cache: "Cache | None"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """An attempt takes too long; `is_silent`: nothing has come over its connection since it was sent."""

    attempt: "Attempt"
    is_silent: bool = False


CacheMessage = Union[Endpoint, CacheEvent, SettingsChanged, "Attempt", Outcome]
RequestMessage = Union[
    RequestReceived,
    RequestCancelled,
    ResponseStarted,
    ExecutedElsewhere,
    TimerFired,
    "Attempt",
    Popularity,
    Blocked,
    Suspicion,
]
PlacementMessage = Union["Request", EndpointsListed, PeerKnowledge, SettingsChanged]
AdmissionMessage = Union[
    RequestReceived, LoopLagMeasured, "Attempt", AttemptEnded, Suspicion, ObjectsPurged, "Request"
]
