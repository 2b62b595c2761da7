"""Statuses that promise callers something, and which answers of endpoints may carry them."""

# A request that is answered with one of them has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def may_pass_on(status: int, repeatable: bool) -> bool:
    """Return whether a caller may get the status of an endpoint that may have run its request.

    Failure guarded against: an endpoint runs a request that may run once and fails with a status
    that promises the caller that it has not run. The caller sends it again, and it runs twice.
    """
    return repeatable or status not in NOT_RUN_STATUSES
