"""Adapter that runs the router under the simulator, with a line protocol on standard input and output."""
