"""A randomized soak test of a fleet of real processes under injected faults."""
