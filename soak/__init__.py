"""Randomised soak tests: real nodes as processes, injected faults, checked invariants."""
