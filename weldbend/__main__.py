"""`python -m weldbend`: runs the command line."""

import gc
import sys

gc.disable()  # until a front serves: collections while loading take a tenth of the time of a restart

from weldbend import early_signals  # noqa: E402 - after gc.disable

if "serve" in sys.argv:
    early_signals.install_handler()

from weldbend.cli import main  # noqa: E402 - after gc.disable

main(prog_name="weldbend")
