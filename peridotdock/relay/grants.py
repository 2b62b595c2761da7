"""Grants of the hub: when a prompt may be sent, and to which engine.

The hub receives the requests for all prompts, so it alone knows each engine's prefill backlog.
Serving does not depend on it: a host without a reply in time chooses an engine itself.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from peridotdock.averages import MovingAverage
from peridotdock.context import Context
from peridotdock.decisions.choice import Candidate
from peridotdock.decisions.pacing import (
    Denial,
    Grant,
    PaceControl,
    PaceLimit,
    Pacer,
    QueuedPrompt,
    limit_pace,
)
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.links import Link
from peridotdock.loop_iterations import LoopIterations
from peridotdock.relay.caller import Caller
from peridotdock.relay.endpoint import EndpointState, item_name
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import InferenceSpec, PromptPart, RelayRequest
from peridotdock.requests import Loss, RequestState, loss_failure
from peridotdock.schema.messages import Grant as GrantFrame
from peridotdock.schema.messages import GrantDropped, GrantWanted

# Timeout of the hub's first reply: seconds, plus iterations of this host's loop. Covers two trips
# between failure domains and one loop iteration of the hub.
GRANT_TIMEOUT_SECONDS = 0.03
GRANT_TIMEOUT_ITERATIONS = 3
# Seconds without calls to a hub that did not reply; doubles from the minimum to the maximum.
MIN_HUB_BACKOFF_SECONDS = 0.25
MAX_HUB_BACKOFF_SECONDS = 2.0
# Seconds between two checks that the host with the queued prompt is still the hub.
HUB_CHECK_SECONDS = 0.2
# Seconds from sending a prompt to its first token besides prefill: one engine step, the round trip
# to the engine, and the way to the caller.
FIRST_TOKEN_OVERHEAD_SECONDS = 0.03
# Minimum and maximum of retry-after in seconds for a denied prompt.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 4.0
# Jitter of retry-after, so that callers denied together do not retry together.
RETRY_JITTER_SHARE = 0.5

# Seconds over which queued prompt tokens are averaged, and the step in which they are reported.
QUEUED_AVERAGE_SECONDS = 2.0
QUEUED_STEP_TOKENS = 500

SendFrame = Callable[[str, GrantFrame], None]
# Returns the seconds until an endpoint's next permit and between permits, 0 without a limit.
PermitWaits = Callable[[EndpointState], tuple[float, float]]


@dataclass(frozen=True, slots=True)
class QueuedGrant:
    """A prompt in the hub's queue; the grant goes to ``host`` with ``number``."""

    host: str
    number: int
    service: str
    inference: InferenceSpec
    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class GrantedEndpoint:
    """The endpoint of a granted prompt, and the seconds of prefill ahead of it there.

    ``number`` is that of the grant, and ``hub`` the host that gave it.
    """

    endpoint: str
    ahead: float
    number: int
    hub: str


class GrantServer:
    """The hub's queues of all hosts' prompts, one per service."""

    def __init__(
        self, ctx: Context, fleet: RelayFleet, send: SendFrame, find_domain: Callable[[str], str]
    ):
        self._ctx = ctx
        self._fleet = fleet
        self._send = send
        self._find_domain = find_domain
        self._pacers: dict[str, Pacer] = {}
        self._queued_grants: dict[tuple[str, int], QueuedGrant] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._pauses: Mapping[str, float] = {}
        self._pace_controls: dict[str, PaceControl] = {}
        self._queued: dict[str, MovingAverage] = {}
        self.permit_waits: PermitWaits = lambda state: (0.0, 0.0)
        self.spend_permit: Callable[[EndpointState, str], None] = lambda state, host: None
        self.count_running: Callable[[EndpointState], int] = lambda state: 0

    def set_deployment(self, deployment: Deployment) -> None:
        """Set each service's allowed pause between stream events from a new configuration."""
        self._pauses = shortest_pauses(deployment)

    def limit(self, service: str) -> PaceLimit:
        """Return the pace limit of a service's engines; no limit without an allowed pause."""
        pause = self._pauses.get(service)
        if pause is None:
            return PaceLimit(0.0, math.inf)
        factor = self._control(service).factor
        return limit_pace(pause, self._fleet.event_seconds(service), factor)

    def _control(self, service: str) -> PaceControl:
        return self._pace_controls.setdefault(service, PaceControl())

    def record_gap(self, service: str, key: str, gap: float) -> None:
        """Adjust the pace by the seconds between two events of one of this host's streams."""
        pacer, pause = self._pacers.get(service), self._pauses.get(service)
        if pacer is not None and pause is not None:
            limit = self.limit(service)
            now = self._ctx.clock.monotonic()
            given = pacer.scheduled_seconds(key, now, limit)
            self._control(service).record_gap(now, gap, pause, given, limit)

    def enqueue(self, host: str, frame: GrantWanted) -> None:
        """Queue a host's prompt; reply at once, with the decision or that it is queued."""
        now = self._ctx.clock.monotonic()
        if len(frame.parts) != len(frame.part_tokens):
            self._ctx.timeline.add("bad_frame", "WARNING", detail=f"{host}: parts without tokens")
            return
        inference = read_inference(frame)
        key = host, frame.number
        self._queued_grants[key] = QueuedGrant(
            host, frame.number, frame.service, inference, frozenset(frame.avoid)
        )
        work = self._fleet.estimate_work(frame.service, inference)
        send_by = (
            now
            + frame.spare / 1000
            - work.tokens * work.seconds_per_token
            - FIRST_TOKEN_OVERHEAD_SECONDS
        )
        item = item_name(inference)
        stay_until = now + frame.stays / 1000
        pacer = self._pacers.setdefault(frame.service, Pacer(self._ctx.rng))
        pacer.add(QueuedPrompt(key, item, work, frame.rank, send_by, stay_until, bool(frame.avoid)))
        self._schedule(frame.service)
        if key in self._queued_grants:
            self._send(host, GrantFrame("grant", frame.number, "", 0))

    def drop(self, host: str, frame: GrantDropped) -> None:
        """Remove a prompt that its host no longer waits for, or that did not come to its end."""
        key = host, frame.number
        queued = self._queued_grants.pop(key, None)
        if queued is not None:
            self._pacers[queued.service].drop(key)
            return
        now = self._ctx.clock.monotonic()
        for service, pacer in self._pacers.items():
            if pacer.cancel(key, now):
                self._schedule(service)
                return

    def queued(self) -> dict[str, int]:
        """Return the queued prompt tokens by model, averaged over some seconds."""
        now = self._ctx.clock.monotonic()
        tokens: dict[str, int] = {}
        for queued in self._queued_grants.values():
            model = queued.inference.model
            tokens[model] = tokens.get(model, 0) + queued.inference.prompt_tokens
        for model in tokens:
            self._queued.setdefault(model, MovingAverage(QUEUED_AVERAGE_SECONDS))
        found = {}
        for model, average in list(self._queued.items()):
            value = average.update(tokens.get(model, 0), now)
            if value >= QUEUED_STEP_TOKENS:
                found[model] = int(value // QUEUED_STEP_TOKENS * QUEUED_STEP_TOKENS)
            elif model not in tokens:
                del self._queued[model]
        return found

    def _schedule(self, service: str) -> None:
        now = self._ctx.clock.monotonic()
        pacer = self._pacers[service]
        pacer.prune(self._fleet.states)
        decided, next_at = pacer.dispatch(now, self.limit(service), self._candidates)
        for row in decided:
            self._answer(row)
        timer = self._timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        if next_at < math.inf:
            loop = asyncio.get_running_loop()
            self._timers[service] = loop.call_later(
                max(0.0, next_at - now), self._schedule, service
            )

    def _answer(self, row: Grant | Denial) -> None:
        queued = self._queued_grants.pop(row.prompt.id)
        if isinstance(row, Denial):
            frame = GrantFrame("grant", queued.number, "", max(1, int(row.wait * 1000)))
        else:
            key = row.prediction.candidate.key
            state = self._fleet.states.get(key)
            if state is not None:
                state.add_cached_parts(queued.inference)
                self.spend_permit(state, queued.host)
            ahead = row.prediction.candidate.queued_tokens * row.prompt.work.seconds_per_token
            frame = GrantFrame("grant", queued.number, key, 0, int(1000 * ahead))
        self._send(queued.host, frame)

    def _candidates(self, req: QueuedPrompt) -> list[Candidate]:
        queued = self._queued_grants[req.id]
        states = self._fleet.grantable(queued.service, queued.inference)
        domain = self._find_domain(queued.host)
        rows = self._fleet.hub_candidates(states, queued.inference, queued.avoid, domain)
        return [self._with_permit(row) if row.needs_permit else row for row in rows]

    def _with_permit(self, row: Candidate) -> Candidate:
        """Return a candidate that needs permits, with its waits and places filled in."""
        state = self._fleet.states[row.key]
        wait, gap = self.permit_waits(state)
        running = max(row.running, self.count_running(state))
        return replace(row, permit_wait=wait, permit_interval=gap, running=running)


class GrantCall:
    """A call to the hub for a grant; replies report it as queued, granted or denied.

    ``link`` is the link that it went over, None where this host is the hub.
    """

    def __init__(self, hub: str, number: int, link: Link | None):
        self.hub = hub
        self.link = link
        self.number = number
        self._reply: asyncio.Future[GrantFrame] = asyncio.get_running_loop().create_future()

    def on_reply(self, reply: GrantFrame) -> None:
        """Store the hub's reply; a newer one replaces one that was not read yet."""
        if self._reply.done():
            self._reply = asyncio.get_running_loop().create_future()
        self._reply.set_result(reply)

    async def next_reply(self, caller: Caller, seconds: float) -> GrantFrame | None:
        """Return the next reply, or None after ``seconds`` or a disconnect of the caller."""
        if not self._reply.done():
            await asyncio.wait(
                {self._reply, caller.disconnected},
                timeout=seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not self._reply.done():
            return None
        reply = self._reply.result()
        self._reply = asyncio.get_running_loop().create_future()
        return reply


class Grants:
    """Requests grants from the hub and waits for its replies."""

    def __init__(
        self,
        ctx: Context,
        host: str,
        find_hub: Callable[[], str],
        send: Callable[[str, object], bool],
        fleet: RelayFleet,
        iterations: LoopIterations,
        find_domain: Callable[[str], str],
    ):
        self._ctx = ctx
        self._host = host
        self._find_hub = find_hub
        self._send = send
        self._iterations = iterations
        self.server = GrantServer(ctx, fleet, self._answer, find_domain)
        self._last_number = 0
        self._calls: dict[int, GrantCall] = {}
        self._backoff = MIN_HUB_BACKOFF_SECONDS
        self._backoff_until = 0.0
        # Called with the endpoint of a grant whose prompt is not sent.
        self.on_unused: Callable[[str], None] = lambda endpoint: None
        self.find_link: Callable[[str], Link | None] = lambda host: None
        self.is_up: Callable[[Link], bool] = lambda link: True

    def on_frame(self, host: str, frame: GrantWanted | GrantFrame | GrantDropped) -> None:
        """Handle a frame of another host."""
        if isinstance(frame, GrantWanted):
            self.server.enqueue(host, frame)
        elif isinstance(frame, GrantDropped):
            self.server.drop(host, frame)
        else:
            self._on_reply(frame)

    def _answer(self, host: str, frame: GrantFrame) -> None:
        if host == self._host:
            self._on_reply(frame)
        else:
            self._send(host, frame)

    def _on_reply(self, frame: GrantFrame) -> None:
        call = self._calls.get(frame.number)
        if call is not None:
            call.on_reply(frame)

    async def request_grant(
        self, req: RelayRequest, progress: Progress, avoid: frozenset[str], caller: Caller
    ) -> GrantedEndpoint | Failure | None:
        """Return the endpoint for a prompt, or None if this host must choose itself."""
        hub = self._find_hub()
        if hub != self._host and self._ctx.clock.monotonic() < self._backoff_until:
            return None
        self._last_number += 1
        call = GrantCall(hub, self._last_number, self.find_link(hub))
        self._calls[call.number] = call
        try:
            now = self._ctx.clock.monotonic()
            frame = write_wanted(call.number, req, progress, avoid, now)
            if not self._deliver(hub, frame):
                return None
            deadline = req.next_event_deadline(progress.last_event_at)
            reply = await self._wait_for_decision(call, deadline, caller)
        finally:
            del self._calls[call.number]
        if reply is None or caller.is_disconnected():
            self._deliver(hub, GrantDropped("grant_dropped", call.number))
        if caller.is_disconnected():
            if reply is not None and reply.endpoint:
                self.on_unused(reply.endpoint)
            return loss_failure(RequestState.ADMITTED, Loss.CALLER_GONE)
        if reply is None:
            return None
        if not reply.endpoint:
            return self._deny(reply.wait, frame.stays)
        return GrantedEndpoint(reply.endpoint, reply.ahead / 1000, call.number, hub)

    def give_back(self, hub: str, number: int) -> None:
        """Tell the hub that a granted prompt was refused, lost or not sent."""
        self._deliver(hub, GrantDropped("grant_dropped", number))

    def _deliver(self, hub: str, frame: GrantWanted | GrantDropped) -> bool:
        """Send a frame to the hub, which may be this host; false if it can't be reached."""
        if hub != self._host:
            return self._send(hub, frame)
        self.on_frame(hub, frame)
        return True

    async def _wait_for_decision(
        self, call: GrantCall, deadline: float, caller: Caller
    ) -> GrantFrame | None:
        """Return the hub's decision; None without a reply or if the hub or the link changes.

        Failure guarded against: a hub is silent for a second, the link to it is replaced, and the
        grant that it sent over the old one is waited for until the caller disconnects.

        ``deadline`` is the monotonic time until which the caller stays.
        """
        reply = await call.next_reply(
            caller,
            GRANT_TIMEOUT_SECONDS + GRANT_TIMEOUT_ITERATIONS * self._iterations.median_length(),
        )
        if reply is None:
            if not caller.is_disconnected():
                self._record_silence(call.hub)
            return None
        self._backoff = MIN_HUB_BACKOFF_SECONDS
        while not is_decided(reply):
            remaining = deadline - self._ctx.clock.monotonic()
            if remaining <= 0 or caller.is_disconnected() or self._is_lost(call):
                return None
            reply = await call.next_reply(caller, min(remaining, HUB_CHECK_SECONDS)) or reply
        return reply

    def _is_lost(self, call: GrantCall) -> bool:
        """Return whether the reply to a call may never arrive."""
        if call.hub != self._find_hub():
            return True
        return call.link is not None and not self.is_up(call.link)

    def _deny(self, wait: int, stays: int) -> Failure:
        """Refuse a prompt; retry-after covers the prefill of the prompts ahead of it.

        ``wait`` and ``stays``, the time until the caller disconnects, are in milliseconds.
        """
        spread = 1 + RETRY_JITTER_SHARE * (self._ctx.rng.random() - 0.5)
        seconds = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait / 1000 * spread))
        reason = f"a wait of {wait / 1000:.2f} s at all engines, {stays / 1000:.2f} allowed"
        return Failure(Kind.OVERLOADED, reason, seconds)

    def _record_silence(self, hub: str) -> None:
        """Back off from a hub that does not reply, so that prompts don't each wait in vain."""
        self._backoff_until = self._ctx.clock.monotonic() + self._backoff
        self._ctx.timeline.add(
            "hub_silent", "WARNING", detail=f"{hub}, not called for {self._backoff:.2f} s"
        )
        self._backoff = min(MAX_HUB_BACKOFF_SECONDS, 2 * self._backoff)


def is_decided(reply: GrantFrame) -> bool:
    """Whether a prompt is granted or denied, and not queued."""
    return bool(reply.endpoint) or reply.wait > 0


def write_wanted(
    number: int, req: RelayRequest, progress: Progress, avoid: frozenset[str], now: float
) -> GrantWanted:
    """Return the frame that requests a grant for a prompt."""
    inference = req.head.inference
    return GrantWanted(
        "grant_wanted",
        number,
        progress.service,
        inference.model,
        inference.adapter,
        inference.prompt_tokens,
        [part.id for part in inference.parts],
        [part.tokens for part in inference.parts],
        req.rank,
        int(1000 * (req.on_time_until(progress.last_event_at) - now)),
        int(1000 * (req.next_event_deadline(progress.last_event_at) - now)),
        sorted(avoid),
    )


def read_inference(frame: GrantWanted) -> InferenceSpec:
    """Return the model work that a grant request names."""
    rows = zip(frame.parts, frame.part_tokens, strict=True)
    parts = tuple(PromptPart(name, tokens) for name, tokens in rows)
    return InferenceSpec(frame.model, frame.adapter, frame.tokens, 0, parts)


def shortest_pauses(deployment: Deployment) -> dict[str, float]:
    """Return the smallest allowed pause between stream events of each service, in seconds."""
    found: dict[str, float] = {}
    for prefixes in deployment.routes.values():
        for route in prefixes.values():
            if route.streams and route.longest_pause > 0:
                for share in route.shares:
                    pause = min(found.get(share.service, math.inf), route.longest_pause)
                    found[share.service] = pause
    return found
