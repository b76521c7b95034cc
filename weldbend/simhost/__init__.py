"""The simulator's wire before the decisions."""
