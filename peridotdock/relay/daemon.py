"""The relaying daemon, from checked settings to its end."""

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

# Links of a host to others. Eight join up to nine hosts directly; among more, each fact takes a
# second or third hop, and few hosts hear it more often than they must.
PEER_DEGREE = 8


def run(environ: Mapping[str, str], streams: Streams) -> ExitStatus:
    """Check the settings, serve until told to stop, and return the exit status."""
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
    """Run a host until it is told to stop."""
    await RelayHost(build_context(cfg), settings, PlatformAdapter()).run()


def configure_gc() -> None:
    """Look for unused objects from now on, but not among those that the imports made.

    They stay for the life of the process, and each full look would go through all of them.
    """
    gc.freeze()
    gc.enable()
