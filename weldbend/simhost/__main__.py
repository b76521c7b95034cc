"""`python -m weldbend.simhost`: replies to the simulator until standard input ends."""

import sys

from weldbend.simhost.host import serve

sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
