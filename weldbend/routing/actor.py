"""The form of a router's parts: each handles messages, and one loop hands them over."""

from collections import deque
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Actor(Generic[Message]):
    """One that handles messages, one after another."""

    def handle(self, message: Message) -> None:
        """Act on one message."""
        raise NotImplementedError


class Mailbox:
    """The messages that wait, in the order in which they came, and whom each is for.

    One queue for all: a queue for each cache would take most of its memory.
    """

    def __init__(self) -> None:
        self.receivers: deque[Actor[object]] = deque()
        self.messages: deque[object] = deque()

    def post(self, actor: Actor[Message], message: Message) -> None:
        """Have an actor handle a message after all that wait."""
        self.receivers.append(actor)  # type: ignore[arg-type]  # each actor only gets what it can handle
        self.messages.append(message)

    def deliver_all(self) -> None:
        """Hand over message by message until none is left."""
        while self.receivers:
            actor = self.receivers.popleft()
            actor.handle(self.messages.popleft())
