"""Finds what crashes endpoints, by what was running on each when it ended.

A cause is a whole request, by its content id, or a part of a prompt that many requests may hold.

Load patterns: one request ends every endpoint that starts it, within a tenth of a second. Its
caller repeats it every second or two, several attempts at a time, at any host. Up to sixty other
requests are on each endpoint when it ends; some of them are retried and are on the next one, too.
Or requests of which no two are alike share a prompt part that ends every endpoint; they share other
parts with harmless requests, which are at every end as well.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

# Ended endpoints from which a cause is blamed. Two may be a coincidence: a request from a failed
# endpoint is sent to another, which may fail as well. At each end an engine loses all that it holds
# and every stream on it, so the bound is as low as certainty allows.
MIN_CRASHES = 3
# Ended endpoints from which another prompt part is an explanation too.
MIN_RIVAL_CRASHES = 2
# A part's cause is this and its id; a content id consists of hexadecimal digits.
PART_PREFIX = "part "


@dataclass(frozen=True, slots=True)
class Verdict:
    """Causes that must not be sent; ``doubtful`` are those of them that may be harmless.

    ``rivals`` has for each doubtful cause the others that would explain the same ends: a request
    that holds none of them tells whether the cause is harmless.
    """

    blocked: frozenset[str] = frozenset()
    doubtful: frozenset[str] = frozenset()
    rivals: Mapping[str, frozenset[str]] = field(default_factory=dict)


def part_cause(part: str) -> str:
    """Return the cause that stands for a prompt part."""
    return PART_PREFIX + part


def is_part(cause: str) -> bool:
    """Return whether a cause is a prompt part."""
    return cause.startswith(PART_PREFIX)


def describe(cause: str) -> str:
    """Return a cause as log lines name it."""
    return cause if is_part(cause) else f"content {cause}"


def find_poison(crashes: Iterable[frozenset[str]]) -> Verdict:
    """Return the causes that explain why endpoints ended.

    ``crashes`` has for each ended endpoint the causes that it had just started. The cause with the
    most ended endpoints is blamed for these, which then count against no other cause. Causes with
    equally many are blocked together; they are doubtful if no endpoint had just one of them. One
    more ended endpoint, or an answer, tells them apart. A part is doubtful too if other parts
    explain all of its ends: harmless parts are shared by requests that hold different bad ones.
    What a doubtful part is blamed for counts against other parts as before.
    """
    ends = list(crashes)
    blocked: set[str] = set()
    rivals: dict[str, frozenset[str]] = {}
    while True:
        open_ends = [without_blamed(end, blocked) for end in ends]
        counts = Counter(cause for end in open_ends for cause in end)
        most = max(counts.values(), default=0)
        if most < MIN_CRASHES:
            return Verdict(frozenset(blocked), frozenset(rivals), rivals)
        blamed = {cause for cause, count in counts.items() if count == most}
        alone = [end & blamed for end in open_ends if len(end & blamed) == 1]
        doubtful = blamed.difference(*alone)
        rivals |= {cause: frozenset(blamed - {cause}) for cause in doubtful}
        for part in filter(is_part, blamed):
            others = find_rivals(part, ends)
            if others:
                rivals[part] = rivals.get(part, frozenset()) | others
        blocked |= blamed
        explaining = {cause for cause in blamed if not is_part(cause) or cause not in rivals}
        ends = [end for end in ends if not end & explaining]


def without_blamed(end: frozenset[str], blocked: Collection[str]) -> frozenset[str]:
    """Return what an end still counts against, where a doubtful part is blamed for it."""
    if end.isdisjoint(blocked):
        return end
    return frozenset(cause for cause in end if is_part(cause) and cause not in blocked)


def find_rivals(part: str, crashes: Sequence[frozenset[str]]) -> frozenset[str]:
    """Return the other parts that together explain all ends of a part, empty if they don't."""
    counts = Counter(cause for end in crashes for cause in end)
    ends = [end for end in crashes if part in end]
    others = frozenset(
        other
        for end in ends
        for other in end
        if other != part and is_part(other) and counts[other] >= MIN_RIVAL_CRASHES
    )
    return others if all(end & others for end in ends) else frozenset()
