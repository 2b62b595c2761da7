"""What endpoints say of themselves in answers, and what hosts tell each other of it.

An endpoint says it to single hosts, and to each at another time. Hosts tell the hub, the hub tells
all, and the newest word on a start of an endpoint counts.
"""

import math
from collections.abc import Iterable

from peridotdock.board import Known, Slot
from peridotdock.context import Context
from peridotdock.relay.asks import AnswerHead, RelayAsk
from peridotdock.relay.endpoint import EndpointState, LimitWord
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.schema.messages import EndpointWord, WordsFact

# What hosts have heard, and what the hub tells all of them.
HEARD = "heard_words"
TOLD = "words"
# Seconds that a word on a limit is told to be old at most: where none was named, it is that old.
OLDEST_SECONDS = 3600.0


class EndpointWords:
    """What is known on one host, which may be the hub, of what endpoints said."""

    def __init__(self, ctx: Context, host: str, peers: Peers, fleet: RelayFleet):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._fleet = fleet
        peers.board.listen(self._changed)

    def note_answer(
        self, ask: RelayAsk, state: EndpointState, head: AnswerHead, sent: float
    ) -> None:
        """Take in what an answer says of its endpoint, and tell the hub of a change.

        ``sent`` is when the answer's request was sent (monotonic seconds).
        """
        now = self._ctx.clock.monotonic()
        if state.note_limit(head.rate_limit, sent, now):
            rate = state.limit.rate
            event = "rate_limit_ended" if rate == math.inf else "rate_limit_named"
            detail = f"{rate:.2f} requests a second"
            self._ctx.timeline.add(event, request=ask.id, endpoint=state.key, detail=detail)
            self.tell()
        if head.leaving and not state.said_leaving:
            state.said_leaving = True
            self._ctx.timeline.add("endpoint_said_leaving", request=ask.id, endpoint=state.key)
            self.tell()
        if head.rest and now + head.rest > state.rests_until:
            state.rests_until = now + head.rest
            detail = f"wants nothing for {head.rest:.2f} s"
            self._ctx.timeline.add(
                "endpoint_rests", request=ask.id, endpoint=state.key, detail=detail
            )

    def tell(self) -> None:
        """Tell what the hub has not said; as the hub, tell all hosts what is known.

        Endpoints whose entries came after a word on them are found here. A host that is not the hub
        any more takes back what it told: a new link would give it out as new.
        """
        for topic in (HEARD, TOLD):
            for known in self._peers.board.on(topic).values():
                self._merge(known)
        said = [state for state in self._fleet.states.values() if has_said(state)]
        if self._peers.is_hub():
            self._publish(TOLD, self._rows(said))
            self._publish(HEARD, [])
            return
        known = self._peers.board.get(self._peers.hub(), TOLD)
        told = set(map(describe, known.fact.rows)) if known is not None else set()
        self._publish(HEARD, [row for row in self._rows(said) if describe(row) not in told])
        self._publish(TOLD, [])

    def _rows(self, states: Iterable[EndpointState]) -> list[EndpointWord]:
        now = self._ctx.clock.monotonic()
        return [
            EndpointWord(
                state.key,
                state.entry.born,
                state.limit.rate,
                round(1000 * min(OLDEST_SECONDS, max(0.0, now - state.limit.at))),
                state.said_leaving,
            )
            for state in states
        ]

    def _publish(self, topic: str, rows: list[EndpointWord]) -> None:
        """Publish rows that say something else than the last ones, whatever their ages."""
        known = self._peers.board.get(self._host, topic)
        before = known.fact.rows if known is not None else []
        if list(map(describe, before)) != list(map(describe, rows)):
            self._peers.board.publish(topic, WordsFact(rows))

    def _changed(self, slots: list[Slot]) -> None:
        """Take in another host's words at once, and as the hub tell all hosts of a change."""
        words = [slot for slot in slots if slot[1] in (HEARD, TOLD) and slot[0] != self._host]
        known = [self._peers.board.get(*slot) for slot in words]
        changed = [self._merge(row) for row in known if row is not None]
        if any(changed) and self._peers.is_hub():
            self.tell()

    def _merge(self, known: Known) -> bool:
        """Take in words that are newer than what this host knows, and tell of a change."""
        changed = False
        for row in known.fact.rows:
            state = self._fleet.states.get(row.endpoint)
            if state is None or state.entry.born != row.born:
                continue
            state.named_limit = True
            changed = changed or row.leaving > state.said_leaving
            state.said_leaving = state.said_leaving or row.leaving
            word = LimitWord(row.rate, known.at - row.age / 1000)
            if word.at > state.limit.at:
                changed = changed or word.rate != state.limit.rate
                state.take_limit(word)
        return changed


def has_said(state: EndpointState) -> bool:
    """Tell whether a start of an endpoint has said anything that other hosts should know."""
    return state.said_leaving or state.named_limit


def describe(row: EndpointWord) -> tuple[str, int, float, bool]:
    """Return what a row says but for its age."""
    return row.endpoint, row.born, row.rate, row.leaving
