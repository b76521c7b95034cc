"""Cooperation of several fronts as a fleet: membership, connections and replicated state.

A front whose installation file names no fleet, or that has no such file, runs without one.
"""
