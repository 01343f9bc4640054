"""A randomized soak: real nodes as processes, faults from outside, promises checked meanwhile."""
