"""Signals that arrive while a front is still loading.

Guards against a SIGHUP during that time. Without a handler, the signal would end the process; if it were
ignored, a front that has already read its configuration would keep the old address of a moved event bus. No
side effect is known.
"""

import signal

hangups: list[int] = []  # one entry for each SIGHUP that arrived before the front could handle it


def install_handler() -> None:
    """Collect SIGHUP in `hangups` until the front installs its own handler."""
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
