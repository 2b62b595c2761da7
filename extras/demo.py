"""``make run``: runs a complete deployment on loopback until Ctrl-C."""

import argparse
import signal
import sys

from extras.fleet_processes import Deployment
from extras.samples import SHAPES, TOKEN

HOST_OPTIONS = ["--address-seconds", "1", "--stop-seconds", "10", "--poll-seconds", "0.3"]


def main() -> int:
    """Start a deployment, publish its manifest, print its token and URL, and wait."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--shape", choices=sorted(SHAPES), default="haneul")
    shape = SHAPES[parser.parse_args().shape]
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    deployment = Deployment(shape, host_options=HOST_OPTIONS)
    try:
        deployment.start()
        published = deployment.publish(deployment.manifest())
        deployment.wait_converged(published["generation"])
        print(f"token: {TOKEN}", flush=True)
        print(f"ready: {next(iter(deployment.hosts.values())).url}", flush=True)
        signal.pause()
    except KeyboardInterrupt:
        pass
    finally:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        deployment.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
