"""Actors, which are the parts of a router, and the mailbox that delivers their messages."""

from collections import deque
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Actor(Generic[Message]):
    """A part of a router that processes messages from its inbox one at a time."""

    def handle(self, message: Message) -> None:
        """Process one message."""
        raise NotImplementedError


class Mailbox:
    """The non-empty inboxes of all actors, and the order in which their messages were posted.

    An inbox exists only while it contains a message, because a permanent inbox would use most of the memory
    that the router uses for each cache.

    Attributes:
        inboxes: pending messages of each actor.
        waiting: receiver of each pending message, in the order in which they were posted.
    """

    def __init__(self) -> None:
        self.inboxes: dict[Actor[object], deque[object]] = {}
        self.waiting: deque[Actor[object]] = deque()

    def post(self, actor: Actor[Message], message: Message) -> None:
        """Append a message to the inbox of an actor."""
        receiver: Actor[object] = actor  # type: ignore[assignment]  # callers post only what it can handle
        inbox = self.inboxes.get(receiver)
        if inbox is None:
            inbox = self.inboxes[receiver] = deque()
        inbox.append(message)
        self.waiting.append(receiver)

    def deliver_all(self) -> None:
        """Deliver messages until all inboxes are empty."""
        while self.waiting:
            actor = self.waiting.popleft()
            inbox = self.inboxes[actor]
            message = inbox.popleft()
            if not inbox:
                del self.inboxes[actor]
            actor.handle(message)
