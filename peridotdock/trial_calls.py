"""Calls between hosts about trials: a host asks the coordinator, which allows one at a time."""

from collections.abc import Callable

from peridotdock.context import Context
from peridotdock.decisions.poison import describe
from peridotdock.hub_calls import HubCalls
from peridotdock.loop_iterations import LoopIterations
from peridotdock.mesh import Mesh, TrialFrame
from peridotdock.schema.messages import TrialDropped, TrialGiven, TrialWanted
from peridotdock.trials import Trials


class TrialCalls:
    """Connects a host's trials to those of the coordinator, whose id ``find_coordinator`` returns.

    The id is empty while there is none.
    """

    def __init__(
        self,
        ctx: Context,
        mesh: Mesh,
        find_coordinator: Callable[[], str],
        iterations: LoopIterations,
        trials: Trials,
    ):
        self._ctx = ctx
        self._mesh = mesh
        self._find_coordinator = find_coordinator
        self._trials = trials
        self._calls: HubCalls[TrialGiven] = HubCalls(iterations)
        trials.ask = self._ask
        trials.on_dropped = self._send_dropped
        mesh.on_trial = self.on_frame

    def on_frame(self, host: str, frame: TrialFrame) -> None:
        """Handle a frame of another host."""
        if isinstance(frame, TrialWanted):
            given = self._trials.reserve(frame.content)
            reply = TrialGiven("trial_given", frame.number, frame.content, given)
            self._mesh.send_to(host, reply)
        elif isinstance(frame, TrialDropped):
            self._trials.end(frame.content, self._ctx.clock.monotonic())
        elif not self._calls.on_reply(frame.number, frame) and frame.given:
            # The request has been rejected meanwhile: the coordinator may allow another trial.
            self._send_dropped(frame.content)

    async def _ask(self, content: str) -> bool:
        coordinator = self._find_coordinator()

        def send(number: int) -> bool:
            return self._mesh.send_to(coordinator, TrialWanted("trial_wanted", number, content))

        reply = await self._calls.call(send)
        if reply is None:
            detail = f"{coordinator}, on a trial of {describe(content)}"
            self._ctx.timeline.add("hub_silent", "WARNING", detail=detail)
        return reply is not None and reply.given

    def _send_dropped(self, content: str) -> None:
        self._mesh.send_to(self._find_coordinator(), TrialDropped("trial_dropped", content))
