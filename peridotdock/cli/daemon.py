"""``peridotdockd``, the daemon: each setting of the schema is an option and a variable."""

import os
import sys
from collections.abc import Callable
from typing import Any

import click

from peridotdock import __version__
from peridotdock.config import ENV_PREFIX, load_schema
from peridotdock.context import Streams
from peridotdock.core import run_daemon


def add_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add an option for each setting. The values are validated later, all together."""
    properties = load_schema("settings")["properties"]
    for name, rule in reversed(properties.items()):
        default = f" Default: {rule['default']}." if rule.get("default") not in (None, "") else ""
        text = f"{rule['description']}{default} [{ENV_PREFIX}{name.upper()}]"
        flag = "--" + name.replace("_", "-")
        command = click.option(flag, name, default=None, metavar="VALUE", help=text)(command)
    return command


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
@add_options
def main(**flags: Any) -> None:
    """Serve callers on this host, together with the other hosts.

    Settings come from options, then from environment variables. All invalid ones are listed
    together, and the exit status is then 2. SIGTERM stops the host gracefully: its address is no
    longer given to callers, requests in progress complete, its roles are handed over, and it exits
    with status 0.
    """
    sys.exit(run_daemon(flags, os.environ, Streams()))


if __name__ == "__main__":
    main()
