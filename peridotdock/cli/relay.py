"""``python -m peridotdock.cli.relay``: the daemon on the users' platform.

Imports take nearly all of the start time, in which callers can't connect to the host. So this
process is first set up for fast imports, and only then imports the daemon.
"""

import gc
import os
import signal
import sys
from collections.abc import MutableMapping


def speed_up_imports(environ: MutableMapping[str, str]) -> None:
    """Disable what slows imports down and isn't needed.

    aiohttp loads the system's certificates for TLS when it is imported, but this daemon opens no
    TLS connections. The garbage collector scans the objects that imports create, and finds hardly
    any garbage. ``make bench-start`` measures what each of the two saves.
    """
    environ.setdefault("SSL_CERT_FILE", os.devnull)
    environ.setdefault("SSL_CERT_DIR", os.devnull)
    gc.disable()


def main() -> None:
    """Run the daemon with the process's environment and streams, and exit with its status.

    A reload signal that comes before the daemon handles it would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    speed_up_imports(os.environ)
    from peridotdock.context import Streams
    from peridotdock.relay.daemon import run

    sys.exit(run(os.environ, Streams()))


if __name__ == "__main__":
    main()
