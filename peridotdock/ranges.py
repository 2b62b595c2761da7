"""Ranges of the values that other writers send, as types for msgspec's decoders.

Failure guarded against: JSON has no largest number. Another writer leaves one that no float can
hold, every request that computes with it raises, and no request of the service is served. So a
value out of its range makes its row invalid where the row is decoded, and nothing behind a decoder
has to expect it. The ranges are far above what deployments have, and far below what floats, clocks
and the machine's memory can hold.
"""

from ipaddress import IPv4Address
from typing import Annotated, Any

import msgspec

from peridotdock.clients.versions import NUMBER_MASK

# The largest integer that all JSON readers hold exactly.
MAX_COUNTER = 2**53 - 1
# The last millisecond of the year 9999, since 1970.
MAX_UNIX_MS = 253_402_300_799_999
# Requests that an endpoint processes at once.
MAX_SLOTS = 100_000
# Thirty days in milliseconds.
MAX_DURATION_MS = 30 * 86_400_000
# Places for adapters at an engine, or connections to an endpoint.
MAX_PLACES = 1_000_000
# Adapters of a model, each of which is planned for.
MAX_ADAPTERS = 10_000
# The lowest priority, and the attempts that a request may take.
MAX_RANK = 1_000
MAX_SENDS = 1_000
# Bytes that a request of a caller may have, a terabyte.
MAX_BYTES = 2**40
# Megabytes, tokens, requests a second, or a share's weight: sums of these stay exact enough.
MAX_AMOUNT = 1e15
# Hosts of one deployment.
MAX_HOSTS = 100_000
# Seconds for which a new holder of the lease may have to wait with orders.
MAX_HANDOVER_SECONDS = 60.0
# Seconds of a clock, either of a time of day or since a machine's start.
MAX_CLOCK_SECONDS = MAX_UNIX_MS / 1000
# Characters of a host name or a path.
MAX_URL_PART_LENGTH = 4_096
# Characters of a name, such as that of a model, a zone or a software version.
MAX_NAME_LENGTH = 512
# Characters of the longest IP:PORT of IPv4.
MAX_ADDRESS_LENGTH = len("255.255.255.255:65535")
MAX_PORT = 65_535

# A number that only increases, as of orders, heartbeats or versions.
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
# A version in the answers of a store, which has as many bits as are left for it beside the era.
StoreNumber = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MASK)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
# A time that is left; a writer may go on counting when it has passed.
RemainingMs = Annotated[float, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
DurationSeconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS / 1000)]
PlaceCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_PLACES)]
AdapterCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_ADAPTERS)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=MAX_RANK)]
SendCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SENDS)]
ByteCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_BYTES)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
HostCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_HOSTS)]
HandoverSeconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_HANDOVER_SECONDS)]
ClockSeconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_CLOCK_SECONDS)]
AgeSeconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS / 1000)]
UrlPart = Annotated[str, msgspec.Meta(max_length=MAX_URL_PART_LENGTH)]
# An id that is a header's value as it is.
Id = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"\A[!-~]+\Z")]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]

# What decoding may raise for a row of another writer: msgspec's errors are ValueErrors, a number
# too large for a float raises OverflowError, an ArithmeticError, and deep nesting RecursionError.
ROW_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)


def read_value(value: Any, kind: Any) -> Any:
    """Return a decoded value as one of the types above; raises ValueError if it is out of range.

    Numbers may be written as text.
    """
    return msgspec.convert(value, kind, strict=False)


def check_endpoint_address(text: str) -> None:
    """Raise ValueError unless ``text`` is the IP:PORT of one machine, in the usual notation.

    It becomes part of URLs: a user, a path or a line break would be sent to another place.
    """
    if len(text) > MAX_ADDRESS_LENGTH:
        raise ValueError("address too long")
    ip, _, port = text.rpartition(":")
    number = int(port) if port.isascii() and port.isdigit() else 0
    if str(number) != port or not 1 <= number <= MAX_PORT:
        raise ValueError(f"no port from 1 to {MAX_PORT}")
    found = IPv4Address(ip)
    if found.is_unspecified or found.is_multicast or found.is_reserved:
        raise ValueError("not the address of one machine")


def check_text(text: str) -> None:
    """Raise ValueError if a text has a lone surrogate, so that no frame can hold it."""
    text.encode()
