"""Settings of a relaying host: its failure domain, its addresses and its limits.

All times are seconds. The platform's settings file is read by :mod:`peridotdock.platform`.
"""

from dataclasses import dataclass

from peridotdock.decisions.quotas import Tolerance

# Minimum link and cores of a hub; slower links are left to callers' traffic.
HUB_MIN_LINK_MBPS = 50.0
HUB_MIN_CORES = 1.0
# Memory and descriptors of a host whose settings name none.
DEFAULT_MEMORY_BYTES = 300_000_000
DEFAULT_DESCRIPTORS = 4100


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return IP:PORT."""
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse IP:PORT; raises ValueError for anything else."""
    ip, colon, port = text.rpartition(":")
    if not (colon and ip and port.isdigit() and 0 <= int(port) <= 65535):
        raise ValueError(f"{text!r} is not IP:PORT")
    return Address(ip, int(port))


@dataclass(frozen=True, slots=True)
class Listen:
    """Listening addresses for callers, readiness checks, the host directory and other hosts.

    ``relay`` is for requests that other hosts forward, None if this host takes none.
    """

    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    relay: Address | None = None


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits that the deployment's operators set.

    ``drain`` is how long an endpoint still accepts requests after it announced that it drains,
    ``config`` how soon an accepted configuration must be in force on all hosts.
    ``retry_share`` and ``retry_extra`` limit retries to a service in ``retry_window`` seconds over
    all hosts: a share of the requests plus a fixed number. ``order_lease`` is how long one host
    must have been the only one to order an engine before another may. ``loads_window`` and
    ``loads_over`` limit loads from the weight store. If ``revoke_strict`` is set, hosts that are
    disconnected from the store refuse a revoked key within ``revoke`` seconds too. ``quota`` is by
    how much workspaces' quotas may be exceeded.
    """

    drain: float
    config: float
    stopping: float
    retry_share: float
    retry_extra: float
    retry_window: float
    order_lease: float
    loads_window: float
    loads_over: float
    address_ttl: float
    revoke: float = 0.0
    revoke_strict: bool = False
    quota: Tolerance = Tolerance(window=1.0, over=0.0, units=0.0)


@dataclass(frozen=True, slots=True)
class HostSettings:
    """All settings of one relaying host; ``cores`` is its number of processor cores.

    ``memory_bytes`` is how much memory its process may use, ``descriptors`` how many it may have
    open.

    ``first_start`` is true if no host of the deployment has served before.
    """

    host: str
    domain: str
    listen: Listen
    seeds: tuple[Address, ...]
    store: Address
    bounds: Bounds
    metrics: Address | None = None
    link_mbps: float = HUB_MIN_LINK_MBPS
    cores: float = 1.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS
    first_start: bool = True

    @property
    def can_be_hub(self) -> bool:
        """Whether the link and the cores suffice to pass facts on to all other hosts."""
        return self.link_mbps >= HUB_MIN_LINK_MBPS and self.cores >= HUB_MIN_CORES
