"""The daemon from start to end: build, serve, stop gracefully, exit status."""

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
ANSWER_SECONDS = 0.1


class Daemon:
    """One running host with its HTTP side."""

    def __init__(self, ctx: Context):
        self.ctx = ctx
        self.host = Host(ctx)
        self.entry = Entry(self.host)
        app = make_application()
        self.entry.add_routes(app)
        Admin(self.host).add_routes(app)
        self.server = Server(app, ctx.cfg.entry_ip, ctx.cfg.entry_port)

    async def start(self) -> "Daemon":
        """Serve callers and join the other hosts."""
        await self.server.start()
        await self.host.start(self.server.address)
        self.ctx.timeline.add("started", detail=self.server.address)
        return self

    async def drain(self) -> bool:
        """Leave: out of the answers first, then closed to new work, then all streams ended.

        Callers keep an answer for its time to live, so this host goes on taking new work for that
        long after it has left the answers. True when nothing had to be cut off.
        """
        clock, cfg = self.ctx.clock, self.ctx.cfg
        began = clock.monotonic()
        self.ctx.timeline.add("leaving")
        self.host.membership.set_state("leaving")
        await self._wait(lambda: False, began + cfg.address_seconds)
        self.host.membership.set_state("gone")
        done = await self._wait(lambda: self.entry.in_work == 0, began + cfg.stop_seconds)
        self.ctx.timeline.add("drained", detail=f"{clock.monotonic() - began:.1f} s")
        return done

    async def _wait(self, done: Any, until: float) -> bool:
        while not done():
            if self.ctx.clock.monotonic() >= until:
                return False
            await self.ctx.clock.sleep(DRAIN_POLL_SECONDS)
        return True

    async def stop(self) -> None:
        """Close everything."""
        await self.host.stop()
        await self.ctx.clock.sleep(ANSWER_SECONDS)
        await self.server.stop()


async def serve(cfg: Settings, streams: Streams) -> ExitStatus:
    """Run a daemon until it is told to stop. A second signal does not cut anything off either."""
    daemon = Daemon(build_context(cfg))
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    try:
        await daemon.start()
    except OSError as exc:
        streams.err.write(f"peridotdockd: cannot listen: {exc}\n")
        return ExitStatus.ERROR
    streams.out.write(f"ready: {daemon.server.url}\n")
    streams.out.flush()
    gc.freeze()
    await told.wait()
    whole = await daemon.drain()
    await daemon.stop()
    return ExitStatus.OK if whole else ExitStatus.ERROR


def run_daemon(
    flags: Mapping[str, Any], environ: Mapping[str, str], streams: Streams
) -> ExitStatus:
    """Check the settings, run the daemon, and return its exit status."""
    cfg, errors = load_settings(flags, environ)
    if cfg is None:
        for error in errors:
            streams.err.write(f"peridotdockd: {error}\n")
        return ExitStatus.USAGE
    logs.set_up(cfg.log_level, streams.err, cfg.host_id)
    return asyncio.run(serve(cfg, streams))
