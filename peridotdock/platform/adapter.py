"""The parts of the platform adapter, gathered in one object."""

from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.clients.store_time import StoreTime
from peridotdock.metrics import Metrics
from peridotdock.platform.documents import decode_deployment, hide_keys
from peridotdock.platform.endpoints import decode_endpoint
from peridotdock.platform.engines import PlatformEngines
from peridotdock.platform.entry import write_addresses
from peridotdock.platform.store import CONFIG_KEY, CONFIG_TABLE, ENDPOINT_TABLE, TableStore
from peridotdock.platform.wire import PlatformWire
from peridotdock.relay.settings import Address


class PlatformAdapter:
    """The users' platform: its formats, table names, engines and store."""

    wire = PlatformWire()
    config_table = CONFIG_TABLE
    config_key = CONFIG_KEY
    endpoint_table = ENDPOINT_TABLE
    decode_deployment = staticmethod(decode_deployment)
    decode_endpoint = staticmethod(decode_endpoint)
    write_addresses = staticmethod(write_addresses)

    def hide_keys(self, table: str, rows: dict[str, bytes | None]) -> dict[str, bytes | None]:
        """Return rows of a table with callers' keys replaced by their digests."""
        raw = rows.get(CONFIG_KEY) if table == CONFIG_TABLE else None
        return rows if raw is None else rows | {CONFIG_KEY: hide_keys(raw)}

    def open_engines(self, endpoints: HttpEndpoints) -> PlatformEngines:
        """Return a client for the platform's engines."""
        return PlatformEngines(endpoints)

    def open_store(self, address: Address, metrics: Metrics, time: StoreTime) -> TableStore:
        """Return a client for the platform's store, which records the store's time in ``time``."""
        return TableStore(address, metrics, time)
