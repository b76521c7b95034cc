"""Fronts that know of each other: membership, connections, replicated state. The platform's run has none."""
