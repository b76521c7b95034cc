"""Signals that arrive while a front is still loading.

A SIGHUP asks a front to reload its configuration. If one arrives while the front is loading and no handler is
installed, it ends the process. If it were ignored, a front that has already read its configuration would keep
the old address of an event bus that has moved. Collecting the signals for later has no known drawback.
"""

import signal

hangups: list[int] = []  # one entry for each SIGHUP that arrived before the front could handle it


def install_handler() -> None:
    """Collect SIGHUP in `hangups` until the front installs its own handler."""
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
