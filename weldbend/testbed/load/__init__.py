"""Load generators: open-loop requests, many idle connections, and measurements of the cost to fronts.

The modules are not re-exported here, because the generator needs a library that simulations do not need.
"""
