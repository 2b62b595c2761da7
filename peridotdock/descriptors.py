"""How many connections a process may have with the descriptors that its machine allows."""

import resource

# Share of the descriptors for connections of callers. Each of their requests may need another
# connection to an endpoint; the rest is for links to hosts, the store and files.
CALLERS_SHARE = 3 / 8
# Share for connections that may be links of other hosts and have not proved it.
UNPROVED_SHARE = 1 / 10


def read_descriptors() -> float:
    """Return how many descriptors this process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if soft == resource.RLIM_INFINITY else soft


def count_connections(descriptors: float) -> float:
    """Return how many connections of callers a process may have."""
    return CALLERS_SHARE * descriptors


def count_unproved(descriptors: float) -> float:
    """Return how many connections may wait to prove that they are links of other hosts."""
    return UNPROVED_SHARE * descriptors
