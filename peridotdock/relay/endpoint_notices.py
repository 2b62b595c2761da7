"""Exchanges between hosts what endpoints announce in their answers: rate limits and draining.

An endpoint announces it to single hosts, at different times. Hosts publish it to the hub, the hub
publishes it to all, and the newest notice on a start of an endpoint counts.
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

# Topics of the notices that hosts publish to the hub, and that the hub publishes to all hosts.
RECEIVED_TOPIC = "heard_words"
PUBLISHED_TOPIC = "words"
# Maximum age in seconds that a notice states for a limit; an endpoint without a limit has this age.
MAX_LIMIT_AGE_SECONDS = 3600.0


class EndpointNotices:
    """The known notices of endpoints on one host, which may be the hub."""

    def __init__(self, ctx: Context, host: str, peers: Peers, fleet: RelayFleet):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._fleet = fleet
        peers.facts.listen(self._on_changed)

    def record_answer(
        self, req: RelayRequest, state: EndpointState, head: AnswerHead, sent: float
    ) -> None:
        """Apply what an answer announces on its endpoint, and publish a change to the hub.

        ``sent`` is when the answer's request was sent (monotonic seconds).
        """
        now = self._ctx.clock.monotonic()
        if state.update_limit(head.rate_limit, sent, now):
            rate = state.limit.rate
            event = "rate_limit_ended" if rate == math.inf else "rate_limit_named"
            detail = f"{rate:.2f} requests a second"
            self._ctx.timeline.add(event, request=req.id, endpoint=state.key, detail=detail)
            self.publish()
        if state.update_refusal_limit(head.refusal_limit, sent, now):
            event = "refusal_limit_named" if state.brittle else "refusal_limit_ended"
            detail = f"{state.refusal_limit.rate:.2f} refusals a second"
            self._ctx.timeline.add(event, request=req.id, endpoint=state.key, detail=detail)
            self.publish()
        if head.draining and not state.announced_leaving:
            state.announced_leaving = True
            self._ctx.timeline.add("endpoint_said_leaving", request=req.id, endpoint=state.key)
            self.publish()
        if head.backoff and now + head.backoff > state.backoff_until:
            state.backoff_until = now + head.backoff
            detail = f"backoff of {head.backoff:.2f} s requested"
            self._ctx.timeline.add(
                "endpoint_rests", request=req.id, endpoint=state.key, detail=detail
            )

    def publish(self) -> None:
        """Publish what the hub has not published; on the hub, publish all notices to all hosts.

        Notices on endpoints whose entries arrived later are applied in this call. A host that is no
        longer the hub withdraws what it published: a new link would present it as new.
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
                round(1000 * limit_age(state.limit, now)),
                state.announced_leaving,
                state.refusal_limit.rate,
                round(1000 * limit_age(state.refusal_limit, now)),
            )
            for state in states
        ]

    def _publish_rows(self, topic: str, rows: list[EndpointWord]) -> None:
        """Publish rows that differ from the last ones in more than their ages."""
        known = self._peers.facts.get(self._host, topic)
        before = known.fact.rows if known is not None else []
        if list(map(notice_key, before)) != list(map(notice_key, rows)):
            self._peers.facts.publish(topic, WordsFact(rows))

    def _on_changed(self, slots: list[Slot]) -> None:
        """Apply another host's notices at once, and on the hub publish a change to all hosts."""
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
        """Apply notices newer than what this host knows; return whether anything changed."""
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
            refusals = AnnouncedLimit(row.refusals, known.at - row.refusals_age / 1000)
            if row.refusals >= 0 and refusals.as_of > state.refusal_limit.as_of:
                changed = changed or refusals.rate != state.refusal_limit.rate
                state.set_refusal_limit(refusals)
        return changed


def has_notice(state: EndpointState) -> bool:
    """Return whether a start of an endpoint has announced anything that other hosts should know."""
    return state.announced_leaving or state.limit_announced


def limit_age(limit: AnnouncedLimit, now: float) -> float:
    """Return the seconds since a limit was announced, as a notice states them."""
    return min(MAX_LIMIT_AGE_SECONDS, max(0.0, now - limit.as_of))


def notice_key(row: EndpointWord) -> tuple[str, int, float, bool, float]:
    """Return the content of a row without its ages."""
    return row.endpoint, row.born, row.rate, row.leaving, row.refusals
