"""A soak test that runs the daemons, injects faults and checks the guarantees to callers."""
