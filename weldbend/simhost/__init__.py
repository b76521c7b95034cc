"""The simulator's adapter: its line protocol on standard input and output, in front of the router."""
