"""Load on a front: the open-loop generator, idle connections, and what processes use meanwhile."""
