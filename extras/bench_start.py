"""``make bench-start``: the CPU time of importing the relaying daemon.

It measures the CPU seconds of an interpreter that imports the daemon and exits, in variants that
each leave out one more thing. It prints the minimum of several runs, as other work on the machine
only adds to it, and the median.
"""

import argparse
import os
import resource
import statistics
import subprocess
import sys
from dataclasses import dataclass

EMPTY_PROGRAM = "pass"
IMPORT_LIBRARIES = "import aiohttp, blacksheep, uvicorn, msgspec, cbor2, xxhash, prometheus_client"
IMPORT_DAEMON = "import peridotdock.relay.daemon"
IMPORT_DAEMON_WITHOUT_GC = f"import gc; gc.disable(); {IMPORT_DAEMON}"
NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


@dataclass(frozen=True)
class Variant:
    """A way to start: the program, interpreter options and additional environment variables."""

    name: str
    code: str
    options: tuple[str, ...] = ()
    environ: tuple[tuple[str, str], ...] = ()


NO_CERTIFICATES_ENVIRON = tuple(NO_CERTIFICATES.items())
VARIANTS = (
    Variant("interpreter alone", EMPTY_PROGRAM),
    Variant("interpreter without the system's packages", EMPTY_PROGRAM, ("-S",)),
    Variant("libraries alone", IMPORT_LIBRARIES, ("-S",), NO_CERTIFICATES_ENVIRON),
    Variant("daemon", IMPORT_DAEMON),
    Variant("without the system's packages", IMPORT_DAEMON, ("-S",)),
    Variant("and without certificates", IMPORT_DAEMON, ("-S",), NO_CERTIFICATES_ENVIRON),
    Variant(
        "and without the collector, as it runs",
        IMPORT_DAEMON_WITHOUT_GC,
        ("-S",),
        NO_CERTIFICATES_ENVIRON,
    ),
)


def measure(variant: Variant) -> float:
    """Run one interpreter until it exits and return its CPU seconds."""
    environ = {**os.environ, **dict(variant.environ), "PYTHONPATH": os.pathsep.join(sys.path[1:])}
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, *variant.options, "-c", variant.code], env=environ, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def main() -> None:
    """Print the minimum and median CPU seconds of each variant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=8)
    runs = parser.parse_args().runs
    print(f"{'processor seconds':42}{'least':>20}{'median':>10}")
    # The variants run in turn, so that other load on the machine affects all of them equally.
    rounds = [[measure(variant) for variant in VARIANTS] for _ in range(runs)]
    for variant, seconds in zip(VARIANTS, zip(*rounds, strict=True), strict=True):
        print(f"{variant.name:42}{min(seconds):20.3f}{statistics.median(seconds):10.3f}")


if __name__ == "__main__":
    main()
