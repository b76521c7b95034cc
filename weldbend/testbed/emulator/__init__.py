"""Emulated site: caches, parents, origin and event bus on loopback, and the objects that they serve."""

from weldbend.testbed.emulator.cache_model import EmulatedCache, EmulatedCaches, Link, TimedAnswer
from weldbend.testbed.emulator.objects import PartSizes

__all__ = [
    "EmulatedCache",
    "EmulatedCaches",
    "Link",
    "PartSizes",
    "TimedAnswer",
]
