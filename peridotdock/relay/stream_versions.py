"""Finds the software version that began a stream which a caller takes up at this host.

Each host remembers the streams that its callers have begun to receive and tells the hub of them,
which tells the host that would replace it. A host that does not know a stream asks the hub.
"""

from collections.abc import Callable, Collection, Mapping
from math import inf
from typing import Literal

import xxhash

from peridotdock.context import Context
from peridotdock.decisions.stream_versions import (
    MAX_LIST_AGE_SECONDS,
    UNKNOWN_SOFTWARE,
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
    make_binding,
)
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.hub_calls import HubCalls
from peridotdock.links import Link
from peridotdock.loop_iterations import LoopIterations
from peridotdock.mesh import StreamFrame
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.clocks import UptimeClock
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest
from peridotdock.schema.messages import StreamFound, StreamGroup, StreamsBegun, StreamWanted

# Seconds between two notices to the hub of new streams, beside those of the periodic work. One
# that is sent at once keeps the time short in which a stream is lost with its host.
TELL_PAUSE_SECONDS = 0.15
# Seconds between two calls to the hub for a stream that it does not know.
ASK_PAUSE_SECONDS = 0.1
# Seconds after which a stream stays unknown: hosts tell the hub of new ones in less than that.
UNKNOWN_SECONDS = 0.3
# The same while the hub does not answer, or has not been told by all hosts yet: the time in which
# another one takes the place of a silent hub. Callers wait for a first event for longer.
LOST_HUB_SECONDS = 1.5
# Seconds without a frame of a host, three times the interval of its pings, after which the hub may
# not know of its newest streams.
MAX_SILENCE_SECONDS = 1.0
# Seconds between two checks whether this host stood still, after which it counts as having done so,
# and for which it may read what others sent before it went on.
AWAKE_CHECK_SECONDS = 0.2
STANDSTILL_SECONDS = 0.6
BACKLOG_SECONDS = 0.3
# Seconds after which a host that hears most others has heard of what it missed.
RETURN_SECONDS = 3.0
# Part of the time in which the first event must arrive that is left for serving the request.
SERVING_SECONDS = 0.5
NO_SERVICES: frozenset[str] = frozenset()
# How the hub knows of a stream, in its replies.
REPLY_SOURCES: dict[Source, Literal["told", "earlier", "unknown"]] = {
    Source.TOLD: "told",
    Source.EARLIER: "earlier",
    Source.UNKNOWN: "unknown",
}


class StreamVersions:
    """Remembers the software versions of streams on one host, which may be the hub.

    ``list_age`` returns the age in seconds of this host's list of endpoints, and ``uptime`` counts
    the time for which the machine stood still. Streams are remembered for ``seconds`` at least.
    """

    def __init__(
        self,
        ctx: Context,
        host: str,
        peers: Peers,
        fleet: RelayFleet,
        iterations: LoopIterations,
        list_age: Callable[[], float],
        uptime: UptimeClock,
    ):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._fleet = fleet
        self._list_age = list_age
        self._uptime = uptime
        self._checked_at = uptime.seconds()
        self._awake_since = -inf
        self._calls: HubCalls[StreamFound] = HubCalls(iterations)
        now = ctx.clock.monotonic()
        self.seconds = kept_seconds(())
        self._history = VersionHistory()
        self._observed_at = inf
        self._own = StreamTable(now)
        self._told = StreamTable(now)
        # Streams not told to the hub yet, and the link over which it was told of the others.
        self._untold: dict[int, Binding] = {}
        self._told_over: Link | None = None
        self._told_at = -inf
        self._hub_since: float | None = None
        self._told_by: set[str] = set()
        # When some known host was out of touch with this one, for the last time.
        self._apart_at = -inf
        self._mixed = NO_SERVICES
        # Streams that are not in the store yet, on the hub.
        self._unwritten: dict[int, Binding] = {}
        # Whether the store's rows are still to be read; they are then being read.
        self.needs_rows: Callable[[], bool] = lambda: False
        # Whether the versions that the store names from before this host began are known.
        self._knows_recorded = False
        peers.mesh.on_stream = self.on_frame

    # What this host sees

    def set_deployment(self, deployment: Deployment) -> None:
        """Remember streams for as long as callers of the deployment's routes go on.

        Callers of earlier streams go on by the configuration of that time.
        """
        routes = [row for rows in deployment.routes.values() for row in rows.values()]
        kept = kept_seconds(row.timeout for row in routes if row.streams)
        self.seconds = max(self.seconds, kept)

    def observe(self) -> None:
        """Record the software versions in the list of endpoints, after a change of it."""
        now = self._ctx.clock.monotonic()
        self._observed_at = min(self._observed_at, now)
        self._check_touch(now)
        rows = self._fleet.by_service.items()
        self._history.observe(
            {service: {state.entry.software for state in states} for service, states in rows}, now
        )

    def has_versions(self, service: str) -> bool:
        """Return whether endpoints of several software versions may serve a service."""
        now = self._ctx.clock.monotonic()
        if len(self._history.versions(service, now, self.seconds)) > 1:
            return True
        return any(state.superseded for state in self._fleet.by_service.get(service, ()))

    def record(self, req: RelayRequest, progress: Progress) -> None:
        """Remember the version of a stream whose first events go to the caller now.

        A forwarded stream is remembered by its caller's host alone, which may have replaced it.
        """
        if progress.software is None or progress.forwarded:
            return
        stream = find_stream(req)
        binding = make_binding(progress.service, progress.software)
        self._own.record(stream, binding, self._ctx.clock.monotonic(), self.seconds)
        self._add_unwritten(stream, binding)
        self._add_untold(stream, binding)
        # Hosts that see one version let the stream go on there until the hub tells them.
        urgent = binding.software == UNKNOWN_SOFTWARE
        may_tell = self._ctx.clock.monotonic() - self._told_at >= TELL_PAUSE_SECONDS
        if urgent or (may_tell and binding.service in self._mixed):
            self.publish()

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
        software = None if verdict.software == UNKNOWN_SOFTWARE else verdict.software
        detail += f", software {software}, {verdict.source}"
        self._ctx.timeline.add("stream_taken_up", request=req.id, detail=detail)
        if software is None:
            return Failure(Kind.NO_ENDPOINT, "software of the stream unknown")
        if verdict.service in [share.service for share in req.route.shares]:
            progress.service = verdict.service
        progress.software = software
        return None

    async def _find(self, req: RelayRequest, caller: CallerConnection, service: str) -> Verdict:
        self._check_awake()
        now, stream = self._ctx.clock.monotonic(), find_stream(req)
        versions = self._history.versions(service, now, self.seconds)
        sure = self._list_is_new() and now - self._observed_at >= self.seconds
        alone = self._peers.host_count() <= 1
        verdict = judge_alone(self._find_binding(stream), service, versions, sure and alone)
        return verdict or await self._find_with_hub(req, caller, service, sure)

    def _find_binding(self, stream: int) -> Binding | None:
        now = self._ctx.clock.monotonic()
        return self._own.find(stream, now, self.seconds) or self._told.find(
            stream, now, self.seconds
        )

    async def _find_with_hub(
        self, req: RelayRequest, caller: CallerConnection, service: str, sure: bool
    ) -> Verdict:
        """Ask the hub until it knows, or will not know any more.

        Without its reply the only version in this host's list counts if the list is ``sure``, and
        was found to match the store since the caller came. With one, the hub may know of another.
        Failure guarded against: this host is cut off from the others, or stood still, and the first
        endpoint of another version joined meanwhile.
        """
        clock, stream = self._ctx.clock, find_stream(req)
        began = clock.monotonic()
        while True:
            reply = await self._ask(stream, caller, service)
            now = clock.monotonic()
            versions = self._history.versions(service, now, self.seconds)
            verdict = judge_replied(service, versions, reply, self._in_touch())
            replied = reply is not None and (self._peers.hub() != self._host or self._hears_most())
            known = replied or (sure and self._list_is_newer(began))
            if not known and verdict.source is Source.SINGLE:
                verdict = Verdict(Source.UNKNOWN, service)
            if verdict.source in (Source.TOLD, Source.SINGLE):
                return verdict
            complete = reply is not None and reply.complete
            until = began + (UNKNOWN_SECONDS if complete else LOST_HUB_SECONDS)
            until = min(until, req.next_event_deadline(None) - SERVING_SECONDS)
            if now + ASK_PAUSE_SECONDS > until or caller.is_disconnected():
                return verdict
            await clock.sleep(ASK_PAUSE_SECONDS)

    async def _ask(self, stream: int, caller: CallerConnection, service: str) -> Reply | None:
        """Return the hub's reply on a stream, None without one in time."""
        hub = self._peers.hub()
        if hub == self._host:
            return self._reply(stream, service)
        if not self._takes_streams(hub):
            # A hub of an earlier version knows nothing, now or later.
            return Reply(Verdict(Source.UNKNOWN, service), True, frozenset())

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

    def _list_is_newer(self, than: float) -> bool:
        """Return whether the list of endpoints matched the store at some time after another."""
        as_of = self._ctx.clock.monotonic() - self._list_age()
        return as_of >= max(than, self._awake_since + BACKLOG_SECONDS)

    def _knows_list(self) -> bool:
        """Return whether this host would have heard of endpoints that joined while it stood still.

        Failure guarded against: the store is away after the hub stood still, so nothing confirms
        its list, and it refuses all streams of services with one version. Hosts that have a newer
        list say so within that time.
        """
        stood_at = self._awake_since + RETURN_SECONDS
        returned = self._ctx.clock.monotonic() > stood_at and self._hears_most()
        return returned or self._list_is_newer(-inf)

    def _in_touch(self) -> bool:
        """Return whether this host would hear of an endpoint of another version.

        Failure guarded against: a host cut off from the store and from the other hosts knows one
        version, and goes on there with a stream that began at a newer one.
        """
        peers = self._peers
        return self._list_is_new() or len(peers.live_hosts()) > 1 or peers.host_count() <= 1

    # Telling the hub

    def publish(self) -> None:
        """Tell the hub of new streams; of all of them where the hub or the link to it is new.

        Failure guarded against: a host stands still while the first endpoint of a second version
        joins. What it has not told by then can't be told from streams of the second version.
        """
        now = self._ctx.clock.monotonic()
        mixed = self._history.mixed(now, self.seconds) | self._fleet.restarted_services()
        self._refresh_role(now, mixed)
        target = self._find_target()
        link = self._peers.mesh.find_link(target) if self._takes_streams(target) else None
        if link is None:
            self._told_over, self._untold = None, {}
            return
        whole = link is not self._told_over
        streams = self._all_to_tell(now) if whole else self._untold
        if whole or streams:
            frame = StreamsBegun("streams_begun", whole, group_streams(streams))
            self._peers.mesh.send_to(target, frame)
            self._told_at = now
        self._told_over, self._untold = link, {}

    def _find_target(self) -> str:
        """Return the host to tell: the hub; the hub itself tells the host that would replace it.

        Failure guarded against: the hub is lost while a host stands still that has told it alone.
        """
        hub = self._peers.hub()
        if hub != self._host:
            return hub
        return next(iter(self._peers.rank(self._peers.live_hosts() - {self._host})), "")

    def _all_to_tell(self, now: float) -> dict[int, Binding]:
        """Return the streams of this host, and as the hub also those that it was told of."""
        told = self._told.items(now, self.seconds) if self._hub_since is not None else ()
        return dict(told) | dict(self._own.items(now, self.seconds))

    def _add_untold(self, stream: int, binding: Binding) -> None:
        """Have a stream told with the next notice; a notice over a new link names all."""
        if self._told_over is not None:
            self._untold[stream] = binding

    def _takes_streams(self, host: str) -> bool:
        """Return whether another host takes frames on streams.

        A host of an earlier version would end the link.
        """
        member = self._peers.membership.members().get(host)
        return host != self._host and member is not None and member.fact.streams

    async def check_awake(self) -> None:
        """Note if this host stood still, as often as that shows its length."""
        self._check_awake()

    def _check_awake(self) -> None:
        """Note if this host stood still: what it knows is as old as that, whatever its clock says.

        Failure guarded against: the machine was suspended, which the steady clock does not count.
        The host takes its list of endpoints for new, and itself for the hub, while another host has
        become the hub and streams have begun at another version.
        """
        before, self._checked_at = self._checked_at, self._uptime.seconds()
        if self._checked_at - before > STANDSTILL_SECONDS:
            self._awake_since = self._ctx.clock.monotonic()
            self._ctx.timeline.add("stood_still", detail=f"{self._checked_at - before:.2f} s")

    # On the hub

    def _refresh_role(self, now: float, mixed: frozenset[str]) -> None:
        known, self._mixed = self._mixed, mixed
        began = self._hub_since is None
        self._hub_since = (now if began else self._hub_since) if self._peers.is_hub() else None
        self._check_touch(now)
        self._told_by &= self._peers.mesh.peers()
        if self._hub_since is None:
            self._unwritten = {}
        elif began:
            # What served before is read at once: callers are back as soon as this host is.
            self.needs_rows()
            # The host that would replace this one is told of all hosts' streams from now on.
            self._told_over = None
        if self._hub_since is not None and (began or mixed - known):
            for table in (self._told, self._own):
                for stream, binding in table.items(now, self.seconds):
                    self._add_unwritten(stream, binding)

    def _add_unwritten(self, stream: int, binding: Binding) -> None:
        if self._hub_since is not None and binding.service in self._mixed:
            self._unwritten[stream] = binding

    def take_unwritten(self) -> dict[int, Binding]:
        """Return the streams to write to the store, which count as written from now on."""
        streams, self._unwritten = self._unwritten, {}
        return streams

    def restore_unwritten(self, streams: Mapping[int, Binding]) -> None:
        """Take back streams that could not be written."""
        for stream, binding in streams.items():
            self._add_unwritten(stream, binding)

    def find_recorded(self) -> dict[str, list[str]] | None:
        """Return the versions of each service to record in the store, None if it is not the hub.

        A host that has not read yet what served before it would record too few, so it reads that
        again if it could not at first.
        """
        if self._hub_since is None:
            return None
        if not self._knows_recorded:
            self.needs_rows()
            return None
        return self._history.serving(self._ctx.clock.monotonic(), self.seconds)

    def add_recorded(self, serving: Mapping[str, Collection[str]]) -> None:
        """Remember the versions that the store names, where they served before this host did.

        Failure guarded against: the last endpoint of a version leaves just before all hosts are
        lost, and hosts that have just started take its streams, of which the last are in no row,
        for streams of the version that they see.
        """
        now = self._ctx.clock.monotonic()
        if not self._knows_recorded and now - self._observed_at < self.seconds:
            self._history.add_recorded(serving, now)
        self._knows_recorded = True

    def add_stored(self, streams: Mapping[int, Binding]) -> None:
        """Remember streams that the store's rows name."""
        now = self._ctx.clock.monotonic()
        for stream, binding in streams.items():
            self._told.record(stream, binding, now, self.seconds)

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
                REPLY_SOURCES[found.source],
                reply.complete,
                sorted(reply.versions),
            )
            self._peers.mesh.send_to(host, answer)

    def _add_told(self, host: str, frame: StreamsBegun) -> None:
        """Remember streams of another host; the hub passes them on."""
        now = self._ctx.clock.monotonic()
        back = self._told_over is not None and self._told_over.peer.host == host
        pass_on = self._hub_since is not None and not back
        for group in frame.streams:
            binding = make_binding(group.service, group.software)
            for stream in group.ids:
                self._add_told_stream(stream, binding, now, pass_on)
        if frame.whole:
            self._told_by.add(host)

    def _add_told_stream(self, stream: int, binding: Binding, now: float, pass_on: bool) -> None:
        """Remember a stream; only a new one is passed on.

        Two hosts that both take themselves for the hub would else tell each other without end.
        """
        known = self._told.find(stream, now, self.seconds)
        self._told.record(stream, binding, now, self.seconds)
        self._add_unwritten(stream, binding)
        if pass_on and known != self._told.find(stream, now, self.seconds):
            self._add_untold(stream, binding)

    def _reply(self, stream: int, service: str) -> Reply:
        """Return what this host knows of a stream as the hub."""
        self._check_awake()
        now = self._ctx.clock.monotonic()
        periods = self._history.versions(service, now, self.seconds)
        self._check_touch(now)
        binding, told_since = self._find_binding(stream), self._told_since()
        verdict = judge_as_hub(binding, service, periods, told_since, now, self.seconds)
        complete = self._is_told_by(self._peers.live_hosts())
        versions = frozenset(periods)
        # All endpoints of a version may have ended before this host first saw a list.
        seen_all = now - self._observed_at >= self.seconds
        doubtful = verdict.source is not Source.TOLD and (len(versions) > 1 or not seen_all)
        if doubtful and self._may_lack_streams(now):
            unread = self.needs_rows()
            if unread or not (seen_all or self._knows_recorded):
                verdict, complete = Verdict(Source.UNKNOWN, service), False
                versions |= {UNKNOWN_SOFTWARE}
        if verdict.source is not Source.TOLD and not self._knows_list():
            verdict, complete = Verdict(Source.UNKNOWN, service), False
            versions |= {UNKNOWN_SOFTWARE}
        return Reply(verdict, complete, versions)

    def _is_told_by(self, hosts: set[str]) -> bool:
        return self._hub_since is not None and hosts - {self._host} <= self._told_by

    def _told_since(self) -> float:
        """Return since when this host has been told of all streams, infinite if it has not.

        Failure guarded against: a host cut off from the others takes itself for the hub, which no
        other host tells of its streams, and takes all that it does not know for old ones. Or a host
        is cut off from the hub, and begins streams at a new version meanwhile.
        """
        live = self._peers.live_hosts()
        most = 2 * len(live) > self._peers.host_count()
        if self._hub_since is None or not most or not self._is_told_by(live):
            return inf
        return max(self._hub_since, self._apart_at, self._told.evicted_at)

    def _check_touch(self, now: float) -> None:
        """Note if a host that may serve can't tell this one of its streams at present.

        A host that stood still may see another version late, which has served meanwhile.
        """
        others = set(self._peers.known_hosts()) - {self._host}
        apart = bool(others - self._heard(now)) or not self._knows_list()
        if apart or self._peers.host_count() > len(others) + 1:
            self._apart_at = now

    def _heard(self, now: float) -> set[str]:
        """Return the hosts of which frames have come lately."""
        oldest = now - MAX_SILENCE_SECONDS
        links = self._peers.mesh.links()
        return {link.peer.host for link in links if link.received_at >= oldest}

    def _hears_most(self) -> bool:
        """Return whether frames of most hosts have come lately, this one included."""
        heard = self._heard(self._ctx.clock.monotonic()) - {self._host}
        return 2 * (len(heard) + 1) > self._peers.host_count()

    def _may_lack_streams(self, now: float) -> bool:
        """Return whether streams that still go on may have been told to another hub alone.

        Failure guarded against: hosts that have just started do not agree on the hub, and one that
        is asked, but is not the hub by its own view, replies without the store.
        """
        if self._hub_since is None:
            return True
        new = now - self._hub_since < self.seconds
        return new or self._peers.host_count() > len(self._peers.live_hosts())


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
