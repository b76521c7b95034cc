"""Messages between the parts of a router, as plain data types."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, Union

from weldbend.routing.actions import AnswerReason
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
    """Outcome of an attempt, as counted for the cache that is responsible for it."""

    SUCCESS = auto()
    LATE = auto()
    FAILURE = auto()
    CONNECTION_LOST = auto()


@dataclass(frozen=True, slots=True)
class Popularity:
    """Request frequency of an object.

    `level` is at most the prefilter's highest level; `free_fraction` is the unused fraction of the
    prefilter's table of objects.
    """

    level: int
    free_fraction: float


@dataclass(frozen=True, slots=True)
class Blocked:
    """A planned attempt may not be sent; `cache` is the blocking cache, None if no other cache would help."""

    cache: "Cache | None"
    reason: AnswerReason


@dataclass(frozen=True, slots=True)
class Suspicion:
    """An attempt takes too long.

    `is_silent`: whether its connection has delivered no data since the attempt was sent.
    """

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
