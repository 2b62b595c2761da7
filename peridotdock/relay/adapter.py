"""The interface that a platform adapter implements for a relaying host."""

from typing import Any, Protocol

from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.clients.engines import Engines
from peridotdock.clients.store_time import StoreTime
from peridotdock.clients.tables import Tables
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure
from peridotdock.metrics import Metrics
from peridotdock.relay.requests import EndpointEntry
from peridotdock.relay.settings import Address
from peridotdock.relay.wire import Wire


class Adapter(Protocol):
    """Table names, wire format and store and engine clients of one platform."""

    wire: Wire
    config_table: str
    config_key: str
    endpoint_table: str

    def open_store(self, address: Address, metrics: Metrics, time: StoreTime) -> Tables | Any:
        """Return a client for the platform's table store at ``address``."""

    def decode_deployment(self, raw: bytes) -> Deployment | Failure:
        """Decode the configuration row that the operators write."""

    def hide_keys(self, table: str, rows: dict[str, bytes | None]) -> dict[str, bytes | None]:
        """Return table rows for other hosts, with callers' keys replaced by digests."""

    def decode_endpoint(self, endpoint_id: str, raw: bytes) -> EndpointEntry | Failure:
        """Decode an endpoint's entry; return a failure if it does not describe an endpoint."""

    def open_engines(self, endpoints: HttpEndpoints) -> Engines:
        """Return a client for the engines' control calls."""

    def write_addresses(self, addresses: list[str], seconds: float) -> bytes:
        """Encode the response body that lists host addresses, valid for ``seconds``."""
