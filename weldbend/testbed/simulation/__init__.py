"""The deterministic laboratory: whole fronts on a virtual clock and network, a run from one integer."""
