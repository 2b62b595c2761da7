"""``peridotdock``, the command-line tool for operators."""

import os
import sys
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any, BinaryIO, TextIO

import click

from peridotdock import __version__
from peridotdock.cli.calls import HostCaller, Refusal
from peridotdock.context import Environment, Streams
from peridotdock.manifest import diff
from peridotdock.output.writer import Writer
from peridotdock.publishing import check_all
from peridotdock.reasons import find_reasons
from peridotdock.status import ExitStatus

OUTPUT_FORMATS = click.Choice(["auto", "table", "json"])
CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "auto_envvar_prefix": "PERIDOTDOCK"}


class Tool:
    """State that all subcommands share: the client of a host and the output writer."""

    def __init__(self, env: Environment, host: str, token: str, form: str):
        self.caller = HostCaller(host, token)
        self.token = token
        self.writer = Writer(env.streams, form)

    def fetch(self, path: str) -> dict[str, Any]:
        """Read a path from the host; on a refusal, print it and exit with its status."""
        return self.expect(self.caller.get(path))

    def expect(self, outcome: dict[str, Any] | Refusal) -> dict[str, Any]:
        """Return a successful outcome; print a refusal and exit with its status."""
        if not isinstance(outcome, Refusal):
            return outcome
        self.writer.write_error(outcome.message)
        for error in outcome.errors:
            self.writer.write_error(error)
        raise click.exceptions.Exit(outcome.status)


pass_tool = click.make_pass_decorator(Tool)


@click.group(context_settings=CONTEXT_SETTINGS)
@click.version_option(__version__)
@click.option("--host", default="http://127.0.0.1:8080", help="URL of any host.", show_default=True)
@click.option("--operator-token", default="", help="Operators' token.", show_envvar=True)
@click.option(
    "--output",
    "form",
    type=OUTPUT_FORMATS,
    default="auto",
    help="auto: a table on a terminal, else JSON.",
)
@click.pass_context
def main(ctx: click.Context, host: str, operator_token: str, form: str) -> None:
    """Inspect and control a peridotdock deployment.

    Subcommands call one host, which has the state of all the others. Exit statuses: 0 done,
    1 error, 2 wrong use, 3 the manifest is invalid, 4 another manifest was published first or is
    newer, 5 the host or the platform cannot be reached, 6 it is not known whether a publication
    took effect (publish the same again), 7 not an operator.
    """
    env = ctx.obj or Environment(Streams(), os.environ)
    ctx.obj = Tool(env, host, operator_token, form)


@main.group()
def manifest() -> None:
    """Check, publish and compare manifests."""


@manifest.command()
@click.argument("file", type=click.File("rb"))
@pass_tool
def check(tool: Tool, file: BinaryIO) -> None:
    """Validate a manifest locally, without calling a host. Lists every error with its path."""
    checked = check_all(file.read())
    if checked.manifest is None:
        for error in checked.errors:
            tool.writer.write_error(error)
        raise click.exceptions.Exit(ExitStatus.INVALID)
    tool.writer.record({"status": "valid", "release": checked.manifest.release})


@manifest.command()
@click.argument("file", type=click.File("rb"))
@pass_tool
def publish(tool: Tool, file: BinaryIO) -> None:
    """Put a manifest in force. Publishing the same one again changes nothing."""
    tool.writer.record(tool.expect(tool.caller.post("manifest", file.read())))


@manifest.command()
@pass_tool
def show(tool: Tool) -> None:
    """Print the manifest in force, as JSON."""
    found = tool.fetch("manifest")
    tool.writer.record(found["manifest"])


@manifest.command("diff")
@click.argument("file", type=click.File("rb"))
@pass_tool
def compare(tool: Tool, file: BinaryIO) -> None:
    """Show what publishing a file would change."""
    checked = check_all(file.read())
    if checked.manifest is None:
        for error in checked.errors:
            tool.writer.write_error(error)
        raise click.exceptions.Exit(ExitStatus.INVALID)
    changes = diff(tool.fetch("manifest")["manifest"], checked.document)
    rows = [
        {"change": "set", "section": section, "id": row["id"]}
        for section, found in changes["set"].items()
        for row in found
    ]
    rows += [
        {"change": "removed", "section": section, "id": name}
        for section, found in changes["removed"].items()
        for name in found
    ]
    rows += [
        {"change": "set", "section": "", "id": name}
        for name in changes["fields"]
        if not name.startswith("order:")
    ]
    tool.writer.rows(rows)


@manifest.command()
@pass_tool
def status(tool: Tool) -> None:
    """Show the manifest in force on each host, and what of it is not yet applied, and why."""
    tool.writer.record(tool.fetch("status"))


def add_listing(name: str, path: str, text: str) -> None:
    """Add a subcommand that lists the rows that a host returns for ``path``."""

    @main.command(name, help=text)
    @pass_tool
    def listing(tool: Tool) -> None:
        tool.writer.rows(tool.fetch(path)["rows"])


add_listing("endpoints", "endpoints", "Show each endpoint: state, load, age of its report.")
add_listing("placement", "placement", "Show every reservation of accelerator memory.")
add_listing("hosts", "hosts", "Show the hosts: state, addresses, lease.")
add_listing("errors", "errors", "Explain every error kind: status, whether it ran, what to do.")


@main.command()
@click.option("--request", default="", help="Only events of this request.")
@click.option("--endpoint", default="", help="Only events of this endpoint.")
@click.option("--item", default="", help="Only events of this model or adapter, by its key.")
@click.option("--since", default=0, help="Only events from this stamp on.")
@pass_tool
def events(tool: Tool, request: str, endpoint: str, item: str, since: int) -> None:
    """Show the events of all hosts in causal order.

    The stamp is a hybrid logical clock, so an event that a message caused is listed after the
    sending of the message, even if the hosts' clocks differ.
    """
    query = f"events?request={request}&endpoint={endpoint}&item={item}&since={since}"
    rows = []
    for host in tool.fetch("hosts")["rows"]:
        found = HostCaller(f"http://{host['entry']}", tool.token).get(query)
        if isinstance(found, Refusal):
            tool.writer.write_error(f"{host['host']} is left out: {found.message}")
            continue
        rows += found["rows"]
    rows.sort(key=lambda row: (row["stamp"], row["host"]))
    tool.writer.rows([{"time": format_time(row["stamp"]), **row} for row in rows])


@main.command()
@click.argument("files", type=click.File("r"), nargs=-1, required=True)
@click.option("--since", default="", help="Only lines from this time on, as the log writes it.")
@click.option("--until", default="~", help="Only lines before this time.", show_default=False)
@pass_tool
def reasons(tool: Tool, files: Sequence[TextIO], since: str, until: str) -> None:
    """Show why callers were not served in time, from the logs of all hosts.

    Each request counts once, under the first cause that its lines name: a refusal with its reason,
    an answer that was cut off, a pause within a stream, or a late first token. No host is called.
    """
    lines = (line for file in files for line in file)
    tool.writer.rows(find_reasons(lines, since, until))


def format_time(stamp: int) -> str:
    """Return the UTC time of a stamp in ISO format; its bits from 16 up are Unix milliseconds."""
    return datetime.fromtimestamp((stamp >> 16) / 1000, UTC).isoformat(timespec="milliseconds")


def run(args: Sequence[str], env: Environment) -> int:
    """Run the command in this process and return its exit status."""
    try:
        status = main.main(list(args), "peridotdock", standalone_mode=False, obj=env)
    except click.UsageError as exc:
        env.streams.err.write(f"peridotdock: {exc.format_message()}\n")
        return ExitStatus.USAGE
    except click.ClickException as exc:
        env.streams.err.write(f"peridotdock: {exc.format_message()}\n")
        return ExitStatus.ERROR
    except click.Abort:
        return ExitStatus.ERROR
    return int(status or 0)


if __name__ == "__main__":
    sys.exit(main())
