"""`python -m weldbend.simhost`: answers the simulator until its input ends."""

import sys

from weldbend.simhost.host import serve

sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
