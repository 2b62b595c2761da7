"""Entry point of the relaying daemon: load the settings, then run a host until it is stopped."""

import asyncio
import gc
from collections.abc import Mapping

from peridotdock import logs
from peridotdock.context import Streams, build_context
from peridotdock.errors import failed
from peridotdock.loop_iterations import MeasuredLoop
from peridotdock.platform.adapter import PlatformAdapter
from peridotdock.platform.settings import load_settings
from peridotdock.relay.host import RelayHost
from peridotdock.relay.settings import HostSettings
from peridotdock.schema.settings import Settings
from peridotdock.status import ExitStatus

# Links of a host to others. Eight links join up to nine hosts directly; with more hosts, each fact
# takes a second or third hop, and few hosts receive a fact more often than needed.
PEER_DEGREE = 8


def run(environ: Mapping[str, str], streams: Streams) -> ExitStatus:
    """Load the settings from the environment, serve until stopped, and return the exit status."""
    found = load_settings(environ)
    if failed(found):
        streams.err.write(f"peridotdock: {found.reason}\n")
        return ExitStatus.USAGE
    cfg = Settings(
        host_id=found.host,
        domain=found.domain,
        platform_url=f"http://{found.store}",
        cluster_key=f"peridotdock at {found.store}",
        peer_ip=found.listen.peers.ip,
        peer_port=found.listen.peers.port,
        peer_degree=PEER_DEGREE,
    )
    logs.set_up(cfg.log_level, streams.out, cfg.host_id)
    configure_gc()
    with asyncio.Runner(loop_factory=MeasuredLoop) as runner:
        runner.run(serve(cfg, found))
    return ExitStatus.OK


async def serve(cfg: Settings, settings: HostSettings) -> None:
    """Run a host until it receives a stop signal."""
    await RelayHost(build_context(cfg), settings, PlatformAdapter()).run()


def configure_gc() -> None:
    """Enable garbage collection without scanning the objects that the imports created.

    These objects live as long as the process, and each full collection would traverse all of them.
    """
    gc.freeze()
    gc.enable()
