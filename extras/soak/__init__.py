"""A fault soak: the real daemons as processes, faults from outside, promises checked meanwhile."""
