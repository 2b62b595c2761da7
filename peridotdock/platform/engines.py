"""Orders to engines and their reports, in the platform's form."""

from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.clients.engines import EngineOrder, EngineState, OrderAnswer
from peridotdock.errors import Failure, Kind, failed
from peridotdock.platform.endpoints import decode_report
from peridotdock.platform.wire import TARGET_HEADER
from peridotdock.relay.requests import EndpointEntry

ORDER_PATH = "/v1/order"
REPORT_PATH = "/v1/report"
# Seconds for either call: both are answered within some milliseconds, or not at all.
CALL_TIMEOUT_SECONDS = 0.35
ORDER_ANSWERS = {
    200: OrderAnswer.HOLDS_ALREADY,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.BUSY,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.WRONG_ENGINE,
    400: OrderAnswer.REFUSED,
}


class PlatformEngines:
    """The platform's engines, over the same connections as other small calls."""

    def __init__(self, endpoints: HttpEndpoints):
        self._endpoints = endpoints

    async def order(self, entry: EndpointEntry, order: EngineOrder) -> OrderAnswer | Failure:
        """Give an order. It names the engine's id, so that it can't reach another one.

        A later start of this one under the same id takes it, if the count of orders fits.
        """
        body = {
            "operation": order.action.value,
            "model": order.model,
            "expected": order.expected,
            "holder": order.holder,
            "fencing_token": order.term,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        headers = {TARGET_HEADER: entry.endpoint_id, "content-type": "application/json"}
        outcome = await self._endpoints.control_call(
            "POST", f"http://{entry.address}", ORDER_PATH, CALL_TIMEOUT_SECONDS, body, headers
        )
        if failed(outcome):
            return outcome
        found = ORDER_ANSWERS.get(outcome[0])
        return found or Failure(Kind.ENDPOINT_ERROR, f"status {outcome[0]}")

    async def report(self, entry: EndpointEntry) -> EngineState | Failure:
        """Read a report."""
        headers = {TARGET_HEADER: entry.endpoint_id}
        outcome = await self._endpoints.control_call(
            "GET", f"http://{entry.address}", REPORT_PATH, CALL_TIMEOUT_SECONDS, None, headers
        )
        if failed(outcome):
            return outcome
        status, raw = outcome
        if status != 200:
            return Failure(Kind.ENDPOINT_ERROR, f"status {status}")
        return decode_report(raw)
