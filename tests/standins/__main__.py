"""Run a stand-in as a process: ``python -m tests.standins engine --name e1 --capacity 100``."""

import argparse
import asyncio
import signal

from tests.standins.engine import EngineStandin, ServiceStandin
from tests.standins.platform import PlatformStandin


def parse():
    parser = argparse.ArgumentParser(prog="tests.standins")
    kinds = parser.add_subparsers(dest="kind", required=True)
    platform = kinds.add_parser("platform")
    platform.add_argument("--loads-per-second", type=float, default=50.0)
    platform.add_argument("--parallel", type=int, default=5)
    engine = kinds.add_parser("engine")
    engine.add_argument("--name", default="e1")
    engine.add_argument("--capacity", type=int, nargs="+", default=[100, 100])
    engine.add_argument("--fencing", action="store_true")
    engine.add_argument("--batch-limit", type=int, default=8)
    engine.add_argument("--knee", type=int, default=4)
    engine.add_argument("--prefill-rate", type=float, default=20000.0)
    engine.add_argument("--step", type=float, default=0.005)
    engine.add_argument("--cache-blocks", type=int, default=2000)
    engine.add_argument("--load-seconds", type=float, default=0.01)
    engine.add_argument("--report-lag", type=float, default=0.0)
    engine.add_argument("--weights-url", default="")
    kinds.add_parser("service")
    for command in kinds.choices.values():
        command.add_argument("--port", type=int, default=0)
    return parser.parse_args()


async def main():
    options = vars(parse())
    kinds = {"platform": PlatformStandin, "engine": EngineStandin, "service": ServiceStandin}
    standin = await kinds[options.pop("kind")](**options).start()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    print(f"ready: {standin.server.url}", flush=True)
    await stop_requested.wait()
    await standin.stop()


asyncio.run(main())
