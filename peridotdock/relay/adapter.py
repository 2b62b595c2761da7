"""What a relaying host needs of a platform's adapter."""

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
    """One platform's names, formats and calls."""

    wire: Wire
    config_table: str
    config_key: str
    endpoint_table: str

    def open_store(self, address: Address, metrics: Metrics, time: StoreTime) -> Tables | Any:
        """Return the platform's store."""

    def decode_deployment(self, raw: bytes) -> Deployment | Failure:
        """Read the operators' configuration."""

    def hide_keys(self, table: str, rows: dict[str, bytes | None]) -> dict[str, bytes | None]:
        """Return rows of a table as other hosts are told them: callers' keys as digests."""

    def decode_endpoint(self, incarnation: str, raw: bytes) -> EndpointEntry | Failure:
        """Read an endpoint's entry; a failure for one that names no endpoint."""

    def open_engines(self, endpoints: HttpEndpoints) -> Engines:
        """Return the platform's engines."""

    def write_addresses(self, addresses: list[str], seconds: float) -> bytes:
        """Return the answer to where to connect."""
