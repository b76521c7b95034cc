"""The form of a router's parts: each has an inbox, and one loop hands it what lies there."""

from collections import deque
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Actor(Generic[Message]):
    """One that handles messages from its inbox, one after another."""

    def handle(self, message: Message) -> None:
        """Act on one message."""
        raise NotImplementedError


class Mailbox:
    """The inboxes that hold something, in the order in which their messages came.

    An inbox exists only while it holds a message: one kept for each cache would take most of its memory.

    Attributes:
        inboxes: the messages that wait for each actor.
        waiting: whom each waiting message is for, in the order in which they came.
    """

    def __init__(self) -> None:
        self.inboxes: dict[Actor[object], deque[object]] = {}
        self.waiting: deque[Actor[object]] = deque()

    def post(self, actor: Actor[Message], message: Message) -> None:
        """Put a message into an actor's inbox."""
        receiver: Actor[object] = actor  # type: ignore[assignment]  # each actor only gets what it can handle
        inbox = self.inboxes.get(receiver)
        if inbox is None:
            inbox = self.inboxes[receiver] = deque()
        inbox.append(message)
        self.waiting.append(receiver)

    def deliver_all(self) -> None:
        """Hand over message by message until every inbox is empty."""
        while self.waiting:
            actor = self.waiting.popleft()
            inbox = self.inboxes[actor]
            message = inbox.popleft()
            if not inbox:
                del self.inboxes[actor]
            actor.handle(message)
