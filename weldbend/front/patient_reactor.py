"""Twisted's reactor on epoll, which waits where the system cannot watch one more descriptor.

epoll_ctl fails with ENOMEM, or with ENOSPC at the user's bound on watches. Twisted lets that out of whatever
made it watch: a new connection is dropped, a timer that closes connections or reads the bus again ends for
good, an answer that is buffered counts as not sent.
"""

import errno
from typing import Any

from twisted.internet.epollreactor import EPollReactor

TRANSIENT_ERRORS = (errno.ENOMEM, errno.ENOSPC)  # errors of epoll_ctl that pass
RETRY_AFTER = 0.02  # seconds

Selectable = Any  # Twisted's interfaces have no types here


class RetryingEPollReactor(EPollReactor):
    """Goes on trying to watch what it could not, until that works or is no longer wanted.

    Guards connections, timers and the port against errors of epoll_ctl. Harm: bytes wait meanwhile.
    """

    def __init__(self) -> None:
        self.unwatched_readers: set[Selectable] = set()
        self.unwatched_writers: set[Selectable] = set()
        super().__init__()  # type: ignore[no-untyped-call]  # Twisted's

    def addReader(self, reader: Selectable) -> None:
        """Watch a descriptor for bytes, now or as soon as that is possible."""
        try:
            super().addReader(reader)  # type: ignore[no-untyped-call]  # Twisted's
        except OSError as error:
            self._retry_later(self.unwatched_readers, reader, error)

    def addWriter(self, writer: Selectable) -> None:
        """Watch a descriptor for room, now or as soon as that is possible."""
        try:
            super().addWriter(writer)  # type: ignore[no-untyped-call]  # Twisted's
        except OSError as error:
            self._retry_later(self.unwatched_writers, writer, error)

    def removeReader(self, reader: Selectable) -> None:
        """Watch a descriptor for bytes no longer."""
        self.unwatched_readers.discard(reader)
        super().removeReader(reader)  # type: ignore[no-untyped-call]  # Twisted's

    def removeWriter(self, writer: Selectable) -> None:
        """Watch a descriptor for room no longer."""
        self.unwatched_writers.discard(writer)
        super().removeWriter(writer)  # type: ignore[no-untyped-call]  # Twisted's

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
