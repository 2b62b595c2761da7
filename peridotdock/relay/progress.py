"""How far one relayed request has come."""

from dataclasses import dataclass, field


@dataclass
class Progress:
    """Where a request was sent, where it may have run, what it passed on.

    ``last_id`` is the id of the last event that the caller has from us.
    """

    service: str
    avoid: set[str] = field(default_factory=set)
    maybe_ran: int = 0
    refusals: int = 0
    sends: int = 0
    last_id: int | None = None
