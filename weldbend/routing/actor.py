"""The form of the decisions' parts: each has an inbox, and one loop hands it what lies there."""

from collections import deque
from typing import Any


class Actor:
    """One that takes notes from its inbox; `router` is the door that all of them share."""

    def __init__(self, router: Any) -> None:
        self.router = router
        self.inbox: deque[Any] = deque()

    def take(self, note: Any) -> None:
        raise NotImplementedError
