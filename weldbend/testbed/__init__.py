"""Testbed: emulated sites, load generators, fault injection and simulations, on loopback or in memory.

The code of a front never imports it.
"""
