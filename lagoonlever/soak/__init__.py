"""A randomised soak: the real gateways as processes, faults from outside, promises checked."""
