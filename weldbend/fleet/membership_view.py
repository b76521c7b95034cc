"""Snapshots of a front's beliefs about its fleet, for operators and other modules. No I/O."""

from dataclasses import dataclass
from enum import IntEnum

from weldbend.fleet.member_table import State


class Reachability(IntEnum):
    """The reliability of a front's view of the fleet. `weldbend fleet` shows the names."""

    CLEAR = 0
    WAKING = 1  # the front has started or resumed, and has not yet received from enough other members
    ALONE = 2  # the front receives from no other member, and judges none


@dataclass(frozen=True, slots=True)
class MemberView:
    """A member within a view.

    Attributes:
        name: the member's name.
        state: state that the member is believed to be in.
        epoch: Unix milliseconds of the member's start, 0 if unknown.
        incarnation: number that the member raises in that epoch to refute beliefs that it is not alive.
        state_age: seconds since the belief about it was last updated.
        message_age: seconds since its last message, infinite if there was none.
        suspected_by: names of the fronts that suspect it.
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
    """A front's beliefs about its fleet at one time, with their ages and reliability.

    Attributes:
        at: time at which the view was made, in seconds.
        reachability: how far the front can rely on the view.
        health: the local health multiplier; 0 is healthy.
        is_contested: whether another process runs under this front's name.
        members: all other members, sorted by name.
    """

    at: float
    reachability: Reachability
    health: int
    is_contested: bool
    members: tuple[MemberView, ...]

    def alive(self) -> tuple[str, ...]:
        """Return the names of members that are alive or suspected; a suspicion alone proves no death."""
        return tuple(one.name for one in self.members if one.state in (State.ALIVE, State.SUSPECT))
