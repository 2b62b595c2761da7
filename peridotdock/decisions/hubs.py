"""Which host is the hub, as one host sees it.

Load pattern: the hub is killed and starts again within a second, while the other hosts, which have
just lost their links to it, go on with the next one for some seconds. By its rank it would take
itself for the hub at once: it would wait in vain for the others, with its callers.
"""

from collections.abc import Callable, Collection
from typing import Any

# Seconds after a start for which a host leaves the role to another one that has it. The others pass
# over a host that they have lost for as long.
NEWCOMER_SECONDS = 3.0


def choose_hub(
    own: str,
    others: Collection[str],
    offering: Collection[str],
    started_for: float,
    weigh: Callable[[str], Any],
) -> str:
    """Return the hub: the host with the largest weight among this one and those it can link to.

    ``offering`` are the hosts among them that have the role now, as they see it.
    """
    if started_for < NEWCOMER_SECONDS and offering:
        return max(offering, key=weigh)
    return max([*others, own], key=weigh)
