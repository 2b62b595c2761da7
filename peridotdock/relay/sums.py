"""Adding up what hosts tell of themselves: work on endpoints, and what callers ask of them."""

from collections.abc import Iterable, Iterator, Mapping
from typing import TypeVar

from peridotdock.board import Board, Known
from peridotdock.columns import pack, unpack
from peridotdock.decisions.draft import Demand
from peridotdock.membership import Membership
from peridotdock.schema.messages import DemandFact, RunsFact, WantsFact, WorkFact

# Least change of a demand that is told, as a share of what was told last.
DEMAND_STEP = 0.25
T = TypeVar("T", int, float)
# Requests and prompt tokens that are not read yet, by endpoint.
Work = dict[str, tuple[int, int]]


def alive_facts(board: Board, membership: Membership, topic: str) -> Iterator[tuple[str, Known]]:
    """Give what is known on a topic, by origin, of the hosts that are alive."""
    members = membership.members()
    for origin, known in board.on(topic).items():
        if origin in members and members[origin].alive:
            yield origin, known


def write_work(rows: Mapping[str, tuple[int, int]]) -> WorkFact:
    """Pack requests and unread prompt tokens by endpoint."""
    return WorkFact(
        list(rows),
        pack("H", (running for running, _ in rows.values())),
        pack("I", (tokens for _, tokens in rows.values())),
    )


def read_work(fact: WorkFact) -> Work:
    """Unpack requests and unread prompt tokens by endpoint."""
    columns = zip(unpack("H", fact.running), unpack("I", fact.tokens), strict=True)
    return dict(zip(fact.endpoints, columns, strict=True))


def write_runs(rows: Mapping[tuple[str, str], int]) -> RunsFact:
    """Pack the requests that run by endpoint and item."""
    endpoints = list(dict.fromkeys(endpoint for endpoint, _ in rows))
    items = list(dict.fromkeys(item for _, item in rows))
    at = {name: place for place, name in enumerate(endpoints)}
    what = {name: place for place, name in enumerate(items)}
    return RunsFact(
        endpoints,
        items,
        pack("H", (at[endpoint] for endpoint, _ in rows)),
        pack("H", (what[item] for _, item in rows)),
        pack("H", rows.values()),
    )


def add_runs(total: dict[str, dict[str, int]], fact: RunsFact) -> None:
    """Add one host's requests by endpoint and item to the total of all."""
    columns = (unpack("H", column) for column in (fact.at, fact.what, fact.running))
    for at, what, count in zip(*columns, strict=True):
        items = total.setdefault(fact.endpoints[at], {})
        item = fact.items[what]
        items[item] = items.get(item, 0) + count


def add_load(total: Work, name: str, row: tuple[int, int]) -> None:
    """Add one host's work on an endpoint to the total."""
    running, tokens = total.get(name, (0, 0))
    total[name] = running + row[0], tokens + row[1]


def without(work: Work, mine: Work) -> Work:
    """Return the work of all hosts less one's own, where that is newer than the sum."""
    found = {}
    for name, (running, tokens) in work.items():
        less = mine.get(name, (0, 0))
        found[name] = max(0, running - less[0]), max(0, tokens - less[1])
    return found


def sum_demand(wants: Iterable[WantsFact], demands: Iterable[DemandFact]) -> dict[str, Demand]:
    """Return what is asked of each item: requests that wait, engine seconds a second."""
    waiting: dict[str, int] = {}
    rates: dict[str, float] = {}
    recent: dict[str, float] = {}
    queued: dict[str, int] = {}
    for fact in wants:
        add_up(waiting, fact.items)
        add_up(queued, fact.queued)
    for fact in demands:
        add_up(rates, fact.rates)
        add_up(recent, fact.recent)
    return {
        item: Demand(
            waiting.get(item, 0), rates.get(item, 0.0), recent.get(item, 0.0), queued.get(item, 0)
        )
        for item in waiting | rates | queued
    }


def add_up(total: dict[str, T], more: Mapping[str, T]) -> None:
    """Add one host's figures to the total of all."""
    for item, figure in more.items():
        total[item] = total.get(item, 0) + figure


def differs(old: Mapping[str, float], new: Mapping[str, float]) -> bool:
    """Tell whether a demand has changed enough to be told again."""
    for item in old.keys() | new.keys():
        before, after = old.get(item, 0.0), new.get(item, 0.0)
        if abs(after - before) > DEMAND_STEP * max(before, after, 0.01):
            return True
    return False
