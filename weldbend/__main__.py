"""Entry point of `python -m weldbend`: runs the command-line interface."""

import gc
import sys

gc.disable()  # until a front serves: garbage collection while loading takes a tenth of the restart time

from weldbend import early_signals  # noqa: E402 - after gc.disable

if "serve" in sys.argv:
    early_signals.install_handler()

from weldbend.cli import main  # noqa: E402 - after gc.disable

main(prog_name="weldbend")
