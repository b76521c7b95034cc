"""The command group `weldbend lab` with all of its commands."""

from weldbend.testbed.commands import (  # noqa: F401 - imported because they register commands
    faults,
    fleet,
    idle,
    scale,
    simulation,
    site,
)
from weldbend.testbed.commands.group import lab

__all__ = ["lab"]
