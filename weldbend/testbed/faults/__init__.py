"""Fault injector between two sockets: injects the faults of a plan into their traffic, by a seed."""

from weldbend.testbed.faults.engine import Injector
from weldbend.testbed.faults.plan import Direction, InvalidPlanError, Plan, parse_plan, read_plan

__all__ = ["Direction", "Injector", "InvalidPlanError", "Plan", "parse_plan", "read_plan"]
