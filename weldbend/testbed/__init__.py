"""The testbed: emulated sites, load, faults and simulations on loopback or in memory.

No front ever imports it.
"""
