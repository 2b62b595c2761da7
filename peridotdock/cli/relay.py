"""``python -m peridotdock.cli.relay``: the daemon on the users' platform.

Nearly all of a start is imports, and while hosts start their callers find nobody. So the process is
made ready for them first, and the daemon is imported after that.
"""

import gc
import os
import sys
from collections.abc import MutableMapping


def speed_up_imports(environ: MutableMapping[str, str]) -> None:
    """Do without what makes imports slow and what this daemon never uses.

    aiohttp reads the system's certificates when it is imported, for connections with TLS, of which
    this daemon opens none. The collector looks for unused objects among those that imports make,
    and finds hardly any. ``make bench-start`` shows what each saves.
    """
    environ.setdefault("SSL_CERT_FILE", os.devnull)
    environ.setdefault("SSL_CERT_DIR", os.devnull)
    gc.disable()


def main() -> None:
    """Run with the process's environment and streams."""
    speed_up_imports(os.environ)
    from peridotdock.context import Streams
    from peridotdock.relay.daemon import run

    sys.exit(run(os.environ, Streams()))


if __name__ == "__main__":
    main()
