"""Twisted's epoll reactor, extended to retry when the system cannot register one more descriptor.

epoll_ctl fails with ENOMEM, or with ENOSPC at the user's limit on watches. Twisted lets the exception escape
from the operation that registered the descriptor. As a result, a new connection is dropped; a periodic timer
whose call raised the exception (it closes connections or reconnects to the bus) is never scheduled again; and
an answer that the transport has buffered counts as not sent.
"""

import errno
from typing import Any

from twisted.internet.epollreactor import EPollReactor

TRANSIENT_ERRORS = (errno.ENOMEM, errno.ENOSPC)  # temporary errors of epoll_ctl
RETRY_AFTER = 0.02  # seconds

Selectable = Any  # Twisted's interfaces have no type hints


class RetryingEPollReactor(EPollReactor):
    """Reactor that retries failed registrations until they succeed or are no longer needed.

    This guards connections, timers and the listening port against errors of epoll_ctl. Its side effect is
    that bytes on a descriptor that is not registered wait until a retry succeeds.

    Attributes:
        unwatched_readers: descriptors whose registration for reading will be retried.
        unwatched_writers: descriptors whose registration for writing will be retried.
    """

    def __init__(self) -> None:
        self.unwatched_readers: set[Selectable] = set()
        self.unwatched_writers: set[Selectable] = set()
        super().__init__()  # type: ignore[no-untyped-call]  # no hints

    def addReader(self, reader: Selectable) -> None:
        """Watch a descriptor for reading, now or as soon as possible."""
        try:
            super().addReader(reader)  # type: ignore[no-untyped-call]  # no hints
        except OSError as error:
            self._retry_later(self.unwatched_readers, reader, error)

    def addWriter(self, writer: Selectable) -> None:
        """Watch a descriptor for writing, now or as soon as possible."""
        try:
            super().addWriter(writer)  # type: ignore[no-untyped-call]  # no hints
        except OSError as error:
            self._retry_later(self.unwatched_writers, writer, error)

    def removeReader(self, reader: Selectable) -> None:
        """Stop watching a descriptor for reading."""
        self.unwatched_readers.discard(reader)
        super().removeReader(reader)  # type: ignore[no-untyped-call]  # no hints

    def removeWriter(self, writer: Selectable) -> None:
        """Stop watching a descriptor for writing."""
        self.unwatched_writers.discard(writer)
        super().removeWriter(writer)  # type: ignore[no-untyped-call]  # no hints

    def _retry_later(self, unwatched: set[Selectable], selectable: Selectable, error: OSError) -> None:
        if error.errno not in TRANSIENT_ERRORS:
            raise error
        if not (self.unwatched_readers or self.unwatched_writers):
            self.callLater(RETRY_AFTER, self._retry_pending)
        unwatched.add(selectable)

    def _retry_pending(self) -> None:
        readers = self.unwatched_readers
        self.unwatched_readers = set()
        writers = self.unwatched_writers
        self.unwatched_writers = set()
        for reader in readers:
            self.addReader(reader)
        for writer in writers:
            self.addWriter(writer)
