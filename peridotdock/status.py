"""Exit statuses of ``peridotdock`` and ``peridotdockd``."""

from enum import IntEnum

from peridotdock.errors import Kind


class ExitStatus(IntEnum):
    """The exit statuses of both commands; part of the command-line interface."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    UNKNOWN = 6
    REFUSED = 7


STATUS_BY_KIND = {
    Kind.MANIFEST_INVALID: ExitStatus.INVALID,
    Kind.MANIFEST_CONFLICT: ExitStatus.CONFLICT,
    Kind.MANIFEST_STALE: ExitStatus.CONFLICT,
    Kind.PLATFORM_DOWN: ExitStatus.UNREACHABLE,
    Kind.NOT_READY: ExitStatus.UNREACHABLE,
    Kind.OUTCOME_UNKNOWN: ExitStatus.UNKNOWN,
    Kind.OPERATOR_REFUSED: ExitStatus.REFUSED,
}


def to_exit_status(kind: str) -> ExitStatus:
    """Map the error kind of a response to an exit status; ``ERROR`` for kinds without one."""
    return STATUS_BY_KIND.get(kind, ExitStatus.ERROR)
