"""`python -m weldbend`: the command line."""

from weldbend.cli import main

main(prog_name="weldbend")
