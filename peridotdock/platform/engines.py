"""Orders to engines and their reports, over the platform's HTTP interface."""

from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.clients.engines import EngineOrder, EngineState, OrderAnswer
from peridotdock.errors import Failure, Kind, failed
from peridotdock.platform.endpoints import decode_report
from peridotdock.platform.wire import TARGET_HEADER
from peridotdock.relay.requests import EndpointEntry

ORDER_PATH = "/v1/order"
REPORT_PATH = "/v1/report"
# Seconds for an order or a report: an engine answers within some milliseconds or not at all.
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
    """Client for the platform's engines; it shares the connections of other control calls."""

    def __init__(self, endpoints: HttpEndpoints):
        self._endpoints = endpoints

    async def order(self, entry: EndpointEntry, order: EngineOrder) -> OrderAnswer | Failure:
        """Send an order. A header names the engine's id, so that no other engine accepts it.

        A later incarnation of the engine under the same id accepts the order if ``expected``
        matches the number of orders that it has accepted.
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
        """Read an engine's report."""
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
