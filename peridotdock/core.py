"""The life cycle of the daemon: start, serve, drain, stop and exit status."""

import asyncio
import gc
import signal
from collections.abc import Mapping
from typing import Any

from peridotdock import logs
from peridotdock.admin import Admin
from peridotdock.config import load_settings
from peridotdock.context import Context, Streams, build_context
from peridotdock.entry import Entry
from peridotdock.host import Host
from peridotdock.schema.settings import Settings
from peridotdock.serving import Server, make_application
from peridotdock.status import ExitStatus

DRAIN_POLL_SECONDS = 0.05
LAST_ANSWERS_SECONDS = 0.1


class Daemon:
    """One running host with its HTTP server."""

    def __init__(self, ctx: Context):
        self.ctx = ctx
        self.host = Host(ctx)
        self.entry = Entry(self.host)
        app = make_application()
        self.entry.add_routes(app)
        Admin(self.host).add_routes(app)
        self.server = Server(app, ctx.cfg.entry_ip, ctx.cfg.entry_port)

    async def start(self) -> "Daemon":
        """Start to serve callers and join the cluster."""
        await self.server.start()
        await self.host.start(self.server.address)
        self.ctx.timeline.add("started", detail=self.server.address)
        return self

    async def drain(self) -> bool:
        """Drain: leave the address lists, then refuse new work, then wait for all answers to end.

        Callers cache an address list for its time to live, so this host accepts new work for that
        long after it has left the lists. Their connections end with their next answers. True when
        no request had to be cut off.
        """
        clock, cfg = self.ctx.clock, self.ctx.cfg
        started_at = clock.monotonic()
        self.ctx.timeline.add("leaving")
        self.host.membership.set_state("leaving")
        self.server.announce_close()
        await self._wait_until(lambda: False, started_at + cfg.address_seconds)
        self.host.membership.set_state("gone")
        done = await self._wait_until(self._is_drained, started_at + cfg.stop_seconds)
        self.ctx.timeline.add("drained", detail=f"{clock.monotonic() - started_at:.1f} s")
        return done

    def _is_drained(self) -> bool:
        """Return whether nothing is owed to a caller: connections know more than the requests."""
        self.server.stop_listening()
        self.server.close_idle()
        return self.entry.in_flight == 0 and self.server.is_drained()

    async def _wait_until(self, condition: Any, deadline: float) -> bool:
        while not condition():
            if self.ctx.clock.monotonic() >= deadline:
                return False
            await self.ctx.clock.sleep(DRAIN_POLL_SECONDS)
        return True

    async def stop(self) -> None:
        """Stop the host, then the server, with a short wait for the last answers to be sent."""
        await self.host.stop()
        await self.ctx.clock.sleep(LAST_ANSWERS_SECONDS)
        await self.server.stop()


async def serve(cfg: Settings, streams: Streams) -> ExitStatus:
    """Run a daemon until SIGTERM or SIGINT; a second signal does not cut requests off either."""
    daemon = Daemon(build_context(cfg))
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    try:
        await daemon.start()
    except OSError as exc:
        streams.err.write(f"peridotdockd: cannot listen: {exc}\n")
        return ExitStatus.ERROR
    streams.out.write(f"ready: {daemon.server.url}\n")
    streams.out.flush()
    gc.freeze()
    await stop_requested.wait()
    drained = await daemon.drain()
    await daemon.stop()
    return ExitStatus.OK if drained else ExitStatus.ERROR


def run_daemon(
    flags: Mapping[str, Any], environ: Mapping[str, str], streams: Streams
) -> ExitStatus:
    """Validate the settings, run the daemon and return its exit status."""
    cfg, errors = load_settings(flags, environ)
    if cfg is None:
        for error in errors:
            streams.err.write(f"peridotdockd: {error}\n")
        return ExitStatus.USAGE
    logs.set_up(cfg.log_level, streams.err, cfg.host_id)
    return asyncio.run(serve(cfg, streams))
