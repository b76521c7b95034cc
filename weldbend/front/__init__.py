"""The running front: clock, timers, event queue, attempts to caches, client connections, start and stop."""
