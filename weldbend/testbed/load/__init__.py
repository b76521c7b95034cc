"""The load: open-loop requests, many idle connections, and what they cost.

The modules are not re-exported here: the generator needs a library that simulations do without.
"""
