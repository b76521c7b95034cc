"""The form of a router's parts: each has an inbox, and one loop hands it what lies there."""

from collections import deque
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Actor(Generic[Message]):
    """One that handles messages from its inbox, one after another."""

    def __init__(self) -> None:
        self.inbox: deque[Message] = deque()

    def handle(self, message: Message) -> None:
        """Act on one message."""
        raise NotImplementedError


class Mailbox:
    """The inboxes that hold something, in the order in which their messages came."""

    def __init__(self) -> None:
        self.waiting: deque[Actor[object]] = deque()

    def post(self, actor: Actor[Message], message: Message) -> None:
        """Put a message into an actor's inbox."""
        actor.inbox.append(message)
        self.waiting.append(actor)  # type: ignore[arg-type]  # each actor only gets what it can handle

    def deliver_all(self) -> None:
        """Hand over message by message until every inbox is empty."""
        while self.waiting:
            actor = self.waiting.popleft()
            actor.handle(actor.inbox.popleft())
