"""Signals that come while a front is still loading.

Guards against a SIGHUP in that time: without a handler it would end the process, and ignored it would leave
a front that has read its configuration already with a bus that has moved. Harm: none known.
"""

import signal

hangups: list[int] = []  # one entry for each SIGHUP that came before the front could handle it


def install_handler() -> None:
    """Collect SIGHUP in `hangups` until the front installs its own handler."""
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
