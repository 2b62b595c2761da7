"""Finds the software version that began a stream which a caller takes up at this host.

Each host remembers the streams that its callers have begun to receive. While a service has several
versions, it tells the hub of them, and a host that does not know a stream asks the hub.
"""

from collections.abc import Callable, Mapping

import xxhash

from peridotdock.context import Context
from peridotdock.decisions.stream_versions import (
    MAX_LIST_AGE_SECONDS,
    Binding,
    Reply,
    Source,
    StreamTable,
    Verdict,
    VersionHistory,
    judge_alone,
    judge_as_hub,
    judge_replied,
    kept_seconds,
)
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.hub_calls import HubCalls
from peridotdock.links import Link
from peridotdock.loop_iterations import LoopIterations
from peridotdock.mesh import StreamFrame
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest
from peridotdock.schema.messages import StreamFound, StreamGroup, StreamsBegun, StreamWanted

# Seconds between two calls to the hub for a stream that it does not know.
ASK_PAUSE_SECONDS = 0.1
# Seconds after which a stream stays unknown: hosts tell the hub of new ones in less than that.
UNKNOWN_SECONDS = 0.3
# The same while the hub does not answer, or has not been told by all hosts yet: the time in which
# another one takes the place of a silent hub. Callers wait for a first event for longer.
LOST_HUB_SECONDS = 1.5
# Part of the time in which the first event must arrive that is left for serving the request.
SERVING_SECONDS = 0.5
# Services whose streams are told of, and where each goes: nothing while none has two versions.
NO_SERVICES: frozenset[str] = frozenset()


class StreamVersions:
    """Remembers the software versions of streams on one host, which may be the hub.

    ``list_age`` returns the age in seconds of this host's list of endpoints.
    """

    def __init__(
        self,
        ctx: Context,
        host: str,
        peers: Peers,
        fleet: RelayFleet,
        iterations: LoopIterations,
        list_age: Callable[[], float],
    ):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._fleet = fleet
        self._list_age = list_age
        self._calls: HubCalls[StreamFound] = HubCalls(iterations)
        now = ctx.clock.monotonic()
        self._seconds = kept_seconds(())
        self._history = VersionHistory()
        self._observed_at = float("inf")
        self._own = StreamTable(now)
        self._told = StreamTable(now)
        # Streams not told to the hub yet, the link over which it was told, and of which services.
        self._untold: dict[int, Binding] = {}
        self._told_over: Link | None = None
        self._told_services = NO_SERVICES
        self._hub_since: float | None = None
        self._told_by: set[str] = set()
        peers.mesh.on_stream = self.on_frame

    # What this host sees

    def set_deployment(self, deployment: Deployment) -> None:
        """Remember streams for as long as callers of the deployment's routes go on."""
        routes = [row for rows in deployment.routes.values() for row in rows.values()]
        self._seconds = kept_seconds(row.timeout for row in routes if row.streams)

    def observe(self) -> None:
        """Record the software versions in the list of endpoints, after a change of it."""
        now = self._ctx.clock.monotonic()
        self._observed_at = min(self._observed_at, now)
        rows = self._fleet.by_service.items()
        self._history.observe(
            {service: {state.entry.software for state in states} for service, states in rows}, now
        )

    def record(self, req: RelayRequest, progress: Progress) -> None:
        """Remember the version of a stream whose first events go to the caller now."""
        if progress.software is None:
            return
        stream = find_stream(req)
        binding = Binding(progress.service, progress.software)
        self._own.record(stream, binding, self._ctx.clock.monotonic(), self._seconds)
        if binding.service in self._told_services:
            self._untold[stream] = binding

    # Streams that callers take up

    async def bind(
        self, req: RelayRequest, caller: CallerConnection, progress: Progress
    ) -> Failure | None:
        """Bind a stream that a caller takes up to its version; return a failure if none is known.

        The failure says at once that the request has not run, so that the caller can begin anew.
        """
        verdict = await self._find(req, caller, progress.service)
        self._ctx.metrics.streams_taken_up.labels(verdict.source.value).inc()
        detail = f"after event {req.head.resume_after} of attempt {req.head.resumed_attempt}"
        detail += f", software {verdict.software}, {verdict.source}"
        self._ctx.timeline.add("stream_taken_up", request=req.id, detail=detail)
        if verdict.software is None:
            return Failure(Kind.NO_ENDPOINT, "software of the stream unknown")
        if verdict.service in [share.service for share in req.route.shares]:
            progress.service = verdict.service
        progress.software = verdict.software
        return None

    async def _find(self, req: RelayRequest, caller: CallerConnection, service: str) -> Verdict:
        now, stream = self._ctx.clock.monotonic(), find_stream(req)
        versions = self._history.versions(service, now, self._seconds)
        sure = self._list_is_new() and now - self._observed_at >= self._seconds
        verdict = judge_alone(self._find_binding(stream), service, versions, sure)
        return verdict or await self._find_with_hub(req, caller, service)

    def _find_binding(self, stream: int) -> Binding | None:
        now = self._ctx.clock.monotonic()
        return self._own.find(stream, now, self._seconds) or self._told.find(
            stream, now, self._seconds
        )

    async def _find_with_hub(
        self, req: RelayRequest, caller: CallerConnection, service: str
    ) -> Verdict:
        """Ask the hub until it knows, or will not know any more."""
        clock, stream = self._ctx.clock, find_stream(req)
        began = clock.monotonic()
        while True:
            reply = await self._ask(stream, caller, service)
            now = clock.monotonic()
            versions = self._history.versions(service, now, self._seconds)
            verdict = judge_replied(service, versions, reply, self._in_touch())
            if reply is not None and verdict.source in (Source.TOLD, Source.SINGLE):
                return verdict
            complete = reply is not None and reply.complete
            until = began + (UNKNOWN_SECONDS if complete else LOST_HUB_SECONDS)
            until = min(until, req.first_event_deadline - SERVING_SECONDS)
            if now + ASK_PAUSE_SECONDS > until or caller.is_disconnected():
                return verdict
            await clock.sleep(ASK_PAUSE_SECONDS)

    async def _ask(self, stream: int, caller: CallerConnection, service: str) -> Reply | None:
        """Return the hub's reply on a stream, None without one in time."""
        hub = self._peers.hub()
        if hub == self._host:
            return self._reply(stream, service)
        if not self._takes_streams(hub):
            return None

        def send(number: int) -> bool:
            frame = StreamWanted("stream_wanted", number, stream, service)
            return self._peers.mesh.send_to(hub, frame)

        found = await self._calls.call(send, caller)
        if found is None:
            self._ctx.timeline.add("hub_silent", "WARNING", detail=f"{hub}, on a stream")
            return None
        source = Source(found.source)
        software = None if source is Source.UNKNOWN else found.software
        verdict = Verdict(source, found.service, software)
        return Reply(verdict, found.complete, frozenset(found.versions))

    def _list_is_new(self) -> bool:
        return self._list_age() <= MAX_LIST_AGE_SECONDS

    def _in_touch(self) -> bool:
        """Return whether this host would hear of an endpoint of another version.

        Failure guarded against: a host cut off from the store and from the other hosts knows one
        version, and goes on there with a stream that began at a newer one.
        """
        peers = self._peers
        return self._list_is_new() or len(peers.live_hosts()) > 1 or peers.host_count() <= 1

    # Telling the hub

    def publish(self) -> None:
        """Tell the hub of new streams; of all of them where the hub or the link to it is new."""
        now = self._ctx.clock.monotonic()
        self._refresh_role(now)
        mixed = self._history.mixed(now, self._seconds)
        target = self._find_target() if mixed else ""
        link = self._peers.mesh.find_link(target) if self._takes_streams(target) else None
        if link is None:
            self._told_over, self._told_services, self._untold = None, NO_SERVICES, {}
            return
        whole = link is not self._told_over or mixed != self._told_services
        streams = self._all_own(mixed, now) if whole else self._untold
        if whole or streams:
            frame = StreamsBegun("streams_begun", whole, group_streams(streams))
            self._peers.mesh.send_to(target, frame)
        self._told_over, self._told_services, self._untold = link, mixed, {}

    def _find_target(self) -> str:
        """Return the host to tell: the hub; the hub itself tells the host that would replace it."""
        hub = self._peers.hub()
        if hub != self._host:
            return hub
        return next(iter(self._peers.rank(self._peers.live_hosts() - {self._host})), "")

    def _all_own(self, services: frozenset[str], now: float) -> dict[int, Binding]:
        rows = self._own.items(now, self._seconds)
        return {stream: row for stream, row in rows if row.service in services}

    def _takes_streams(self, host: str) -> bool:
        """Return whether another host takes frames on streams.

        A host of an earlier version would end the link.
        """
        member = self._peers.membership.members().get(host)
        return host != self._host and member is not None and member.fact.streams

    # On the hub

    def _refresh_role(self, now: float) -> None:
        if not self._peers.is_hub():
            self._hub_since = None
        elif self._hub_since is None:
            self._hub_since = now
        self._told_by &= self._peers.mesh.peers()

    def on_frame(self, host: str, frame: StreamFrame) -> None:
        """Handle a frame of another host."""
        if isinstance(frame, StreamFound):
            self._calls.on_reply(frame.number, frame)
        elif isinstance(frame, StreamsBegun):
            self._add_told(host, frame)
        else:
            reply = self._reply(frame.stream, frame.service)
            found = reply.verdict
            answer = StreamFound(
                "stream_found",
                frame.number,
                found.service,
                found.software or "",
                found.source.value,
                reply.complete,
                sorted(reply.versions),
            )
            self._peers.mesh.send_to(host, answer)

    def _add_told(self, host: str, frame: StreamsBegun) -> None:
        now = self._ctx.clock.monotonic()
        for group in frame.streams:
            binding = Binding(group.service, group.software)
            for stream in group.ids:
                self._told.record(stream, binding, now, self._seconds)
        if frame.whole:
            self._told_by.add(host)

    def _reply(self, stream: int, service: str) -> Reply:
        """Return what this host knows of a stream as the hub."""
        now = self._ctx.clock.monotonic()
        periods = self._history.versions(service, now, self._seconds)
        others = self._peers.live_hosts() - {self._host}
        complete = self._hub_since is not None and others <= self._told_by
        told_since = self._hub_since if complete and self._hub_since is not None else float("inf")
        binding = self._find_binding(stream)
        verdict = judge_as_hub(binding, service, periods, told_since, now, self._seconds)
        return Reply(verdict, complete, frozenset(periods))


def find_stream(req: RelayRequest) -> int:
    """Return the id of a request's stream: a hash of the attempt that brought its first event."""
    return hash_attempt(req.head.resumed_attempt or req.id)


def hash_attempt(attempt: str) -> int:
    """Return an attempt's id as it is remembered and sent to other hosts."""
    return xxhash.xxh64_intdigest(attempt.encode())


def group_streams(streams: Mapping[int, Binding]) -> list[StreamGroup]:
    """Return streams grouped by their bindings."""
    groups: dict[Binding, list[int]] = {}
    for stream, binding in streams.items():
        groups.setdefault(binding, []).append(stream)
    return [StreamGroup(row.service, row.software, ids) for row, ids in groups.items()]
