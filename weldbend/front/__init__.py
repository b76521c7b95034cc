"""The running front: clock, timers, the loop round the decisions, start and stop."""
