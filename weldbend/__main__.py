"""`python -m weldbend`: the command line."""

import gc
import sys

gc.disable()  # until a front serves: collections while loading are a tenth of the time that a restart takes

from weldbend import early_signals  # noqa: E402

if "serve" in sys.argv:
    early_signals.listen()

from weldbend.cli import main  # noqa: E402

main(prog_name="weldbend")
