"""``peridotdockd``: every setting of the schema is a flag and a variable."""

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
    """Give a command one option for each setting. Values are checked later, all at once."""
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

    Settings come from flags, then from variables. All errors in them are shown at once, and the
    exit status is then 2. SIGTERM stops the host gracefully: it leaves the answers to callers,
    goes on until running requests have ended, hands over its roles and exits with status 0.
    """
    sys.exit(run_daemon(flags, os.environ, Streams()))


if __name__ == "__main__":
    main()
