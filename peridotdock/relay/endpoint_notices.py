"""What endpoints say of themselves in answers, and what hosts tell each other of it.

An endpoint says it to single hosts, and to each at another time. Hosts tell the hub, the hub tells
all, and the newest word on a start of an endpoint counts.
"""

import math
from collections.abc import Iterable

from peridotdock.context import Context
from peridotdock.fact_table import KnownFact, Slot
from peridotdock.relay.endpoint import AnnouncedLimit, EndpointState
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.relay.requests import AnswerHead, RelayRequest
from peridotdock.schema.messages import EndpointWord, WordsFact

# What hosts have heard, and what the hub tells all of them.
RECEIVED_TOPIC = "heard_words"
PUBLISHED_TOPIC = "words"
# Seconds that a word on a limit is told to be old at most: where none was named, it is that old.
MAX_LIMIT_AGE_SECONDS = 3600.0


class EndpointNotices:
    """What is known on one host, which may be the hub, of what endpoints said."""

    def __init__(self, ctx: Context, host: str, peers: Peers, fleet: RelayFleet):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._fleet = fleet
        peers.facts.listen(self._changed)

    def note_answer(
        self, req: RelayRequest, state: EndpointState, head: AnswerHead, sent: float
    ) -> None:
        """Take in what an answer says of its endpoint, and tell the hub of a change.

        ``sent`` is when the answer's request was sent (monotonic seconds).
        """
        now = self._ctx.clock.monotonic()
        if state.update_limit(head.rate_limit, sent, now):
            rate = state.limit.rate
            event = "rate_limit_ended" if rate == math.inf else "rate_limit_named"
            detail = f"{rate:.2f} requests a second"
            self._ctx.timeline.add(event, request=req.id, endpoint=state.key, detail=detail)
            self.publish()
        if head.draining and not state.announced_leaving:
            state.announced_leaving = True
            self._ctx.timeline.add("endpoint_said_leaving", request=req.id, endpoint=state.key)
            self.publish()
        if head.backoff and now + head.backoff > state.backoff_until:
            state.backoff_until = now + head.backoff
            detail = f"wants nothing for {head.backoff:.2f} s"
            self._ctx.timeline.add(
                "endpoint_rests", request=req.id, endpoint=state.key, detail=detail
            )

    def publish(self) -> None:
        """Tell what the hub has not said; as the hub, tell all hosts what is known.

        Endpoints whose entries came after a word on them are found here. A host that is not the hub
        any more takes back what it told: a new link would give it out as new.
        """
        for topic in (RECEIVED_TOPIC, PUBLISHED_TOPIC):
            for known in self._peers.facts.by_origin(topic).values():
                self._merge(known)
        announced = [state for state in self._fleet.states.values() if has_notice(state)]
        if self._peers.is_hub():
            self._publish_rows(PUBLISHED_TOPIC, self._rows(announced))
            self._publish_rows(RECEIVED_TOPIC, [])
            return
        known = self._peers.facts.get(self._peers.hub(), PUBLISHED_TOPIC)
        published = set(map(notice_key, known.fact.rows)) if known is not None else set()
        self._publish_rows(
            RECEIVED_TOPIC,
            [row for row in self._rows(announced) if notice_key(row) not in published],
        )
        self._publish_rows(PUBLISHED_TOPIC, [])

    def _rows(self, states: Iterable[EndpointState]) -> list[EndpointWord]:
        now = self._ctx.clock.monotonic()
        return [
            EndpointWord(
                state.key,
                state.entry.started_ms,
                state.limit.rate,
                round(1000 * min(MAX_LIMIT_AGE_SECONDS, max(0.0, now - state.limit.as_of))),
                state.announced_leaving,
            )
            for state in states
        ]

    def _publish_rows(self, topic: str, rows: list[EndpointWord]) -> None:
        """Publish rows that say something else than the last ones, whatever their ages."""
        known = self._peers.facts.get(self._host, topic)
        before = known.fact.rows if known is not None else []
        if list(map(notice_key, before)) != list(map(notice_key, rows)):
            self._peers.facts.publish(topic, WordsFact(rows))

    def _changed(self, slots: list[Slot]) -> None:
        """Take in another host's words at once, and as the hub tell all hosts of a change."""
        changed_slots = [
            slot
            for slot in slots
            if slot[1] in (RECEIVED_TOPIC, PUBLISHED_TOPIC) and slot[0] != self._host
        ]
        known = [self._peers.facts.get(*slot) for slot in changed_slots]
        changed = [self._merge(row) for row in known if row is not None]
        if any(changed) and self._peers.is_hub():
            self.publish()

    def _merge(self, known: KnownFact) -> bool:
        """Take in words that are newer than what this host knows, and tell of a change."""
        changed = False
        for row in known.fact.rows:
            state = self._fleet.states.get(row.endpoint)
            if state is None or state.entry.started_ms != row.born:
                continue
            state.limit_announced = True
            changed = changed or row.leaving > state.announced_leaving
            state.announced_leaving = state.announced_leaving or row.leaving
            limit = AnnouncedLimit(row.rate, known.at - row.age / 1000)
            if limit.as_of > state.limit.as_of:
                changed = changed or limit.rate != state.limit.rate
                state.set_limit(limit)
        return changed


def has_notice(state: EndpointState) -> bool:
    """Tell whether a start of an endpoint has said anything that other hosts should know."""
    return state.announced_leaving or state.limit_announced


def notice_key(row: EndpointWord) -> tuple[str, int, float, bool]:
    """Return what a row says but for its age."""
    return row.endpoint, row.born, row.rate, row.leaving
