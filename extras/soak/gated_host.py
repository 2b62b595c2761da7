"""A relaying host as a process, whose endpoints are behind the gates of the soak.

``PERIDOTDOCK_SOAK_GATES`` is the IP address of its gates.
"""

import os
import sys

from extras.soak.gates import GatedAdapter
from peridotdock.context import Streams
from peridotdock.relay import daemon

GATES_VARIABLE = "PERIDOTDOCK_SOAK_GATES"


def main() -> None:
    """Run the daemon with endpoints behind gates, and exit with its status."""
    daemon.PlatformAdapter = lambda: GatedAdapter(os.environ[GATES_VARIABLE])
    sys.exit(daemon.run(os.environ, Streams()))


if __name__ == "__main__":
    main()
