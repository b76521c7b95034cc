"""Signals that come while a front is still loading.

Guards against a SIGHUP in that time: unheeded it would end the process, and ignored it would leave a front
that has read its configuration already at a bus that has moved. Harm: none known.
"""

import signal

hangups: list[int] = []  # one entry for each SIGHUP that came before the front could heed it


def listen() -> None:
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
