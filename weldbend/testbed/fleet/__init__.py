"""Fleets in the laboratory: virtual ones on one clock from one integer, and their auditor."""
