"""What a front believes of its fleet at one moment, for people and for other modules. No I/O."""

from dataclasses import dataclass
from enum import IntEnum

from weldbend.fleet.member_table import State


class Reachability(IntEnum):
    """How much a front's view is worth, by its own judgement. The names are shown by `weldbend fleet`."""

    CLEAR = 0
    WAKING = 1  # it has just started or was paused, and has not received from most of the others since
    ALONE = 2  # it receives from nobody: it judges nobody


@dataclass(frozen=True, slots=True)
class MemberView:
    """One member in a view.

    `state_age` and `message_age` are seconds since its state began and since its last message came; infinite
    where that never happened. `suspected_by` names the reporters of a suspicion.
    """

    name: str
    state: State
    epoch: int
    incarnation: int
    state_age: float
    message_age: float
    suspected_by: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MembershipView:
    """What a front believed at a time; never a bare yes or no.

    Attributes:
        at: the moment of the view.
        reachability: how much it is worth.
        health: the local health multiplier; 0 is healthy.
        is_contested: another process runs under this front's name.
        members: all other members by name.
    """

    at: float
    reachability: Reachability
    health: int
    is_contested: bool
    members: tuple[MemberView, ...]

    def alive(self) -> tuple[str, ...]:
        """Members that are not known dead: those suspected count until it is certain."""
        return tuple(one.name for one in self.members if one.state in (State.ALIVE, State.SUSPECT))
