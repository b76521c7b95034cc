"""The fault injector: sits between two sockets and does to their traffic what a plan says, by seed."""
