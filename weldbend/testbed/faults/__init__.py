"""The fault injector: sits between two sockets and injects into their traffic what a plan states, by seed."""

from weldbend.testbed.faults.engine import Injector
from weldbend.testbed.faults.plan import Direction, InvalidPlanError, Plan, parse_plan, read_plan

__all__ = ["Direction", "Injector", "InvalidPlanError", "Plan", "parse_plan", "read_plan"]
