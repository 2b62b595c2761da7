"""The requests of one host that wait for units of workspaces' quotas."""

import asyncio
from dataclasses import dataclass, field

from peridotdock.relay.caller import Caller


def _new_future() -> asyncio.Future[str]:
    return asyncio.get_running_loop().create_future()


@dataclass(frozen=True, slots=True, eq=False)
class WaitingRequest:
    """A request that takes ``cost`` units and waits ``since`` a time in monotonic seconds.

    The result of ``granted`` is the host that granted the units which it got from a later request.
    """

    cost: float
    since: float
    granted: asyncio.Future[str] = field(default_factory=_new_future)


class QuotaWaits:
    """The waiting requests by workspace.

    Each asks again and again for units. Without an order, later requests that ask at the right
    moment get the units as they accrue, and a request waits in vain while others are admitted.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, list[WaitingRequest]] = {}

    async def wait(
        self, name: str, request: WaitingRequest, caller: Caller, seconds: float
    ) -> str | None:
        """Wait for some seconds, or until the caller disconnects.

        Return at once the host whose units are passed on, if any are.
        """
        rows = self._waiting.setdefault(name, [])
        rows.append(request)
        try:
            waits = {request.granted, caller.disconnected}
            await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        finally:
            rows.remove(request)
        return request.granted.result() if request.granted.done() else None

    def pass_on(self, name: str, request: WaitingRequest, by: str) -> WaitingRequest | None:
        """Pass the units that a host granted to a request on to the one that waits for longest.

        Return None if none that takes no more waits for longer than this one.
        """
        earlier = [
            row
            for row in self._waiting.get(name, ())
            if row.since < request.since and row.cost <= request.cost and not row.granted.done()
        ]
        if not earlier:
            return None
        first = min(earlier, key=lambda row: row.since)
        first.granted.set_result(by)
        return first
