"""`weldbend lab`: the testbed's commands."""

from weldbend.testbed.commands import (  # noqa: F401 - they register commands
    faults,
    fleet,
    idle,
    scale,
    simulation,
    site,
)
from weldbend.testbed.commands.group import lab

__all__ = ["lab"]
