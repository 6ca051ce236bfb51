"""Decodes the entries that engines register themselves with to :class:`routes.Upstream`."""

import msgspec

from cornelgrade import addresses, logs, routes
from cornelgrade.platform import calls

KIND = "servers"
# Beyond what one engine can have; shares of slots are sent to peers in 32 bits.
MAX_SLOTS = 1_000_000
# The largest integer that all JSON encoders keep exactly; starts are sent to peers in 64 bits.
MAX_STARTED_MS = 2**53 - 1
_log = logs.Logger("entries")
_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    # Start of the engine in Unix milliseconds; tells apart restarts under the same name.
    born: int = 0
    # Version of the engine's software, unlike ``Versions`` in responses, which is of the weights.
    version: str = ""


def decode(name: str, value: bytes) -> routes.Upstream | None:
    """Decode an engine's entry, ``None`` if it is invalid."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        leaving = _LEAVING_BY_STATE[entry.state]
        _check(name, entry)
    except (msgspec.DecodeError, KeyError, ValueError, RecursionError) as exc:
        _log.warning("entry_unusable", upstream=name, error=repr(exc))
        return None
    return routes.Upstream(
        name=name,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        leaving=leaving,
        started_ms=entry.born,
        version=entry.version,
    )


def _check(name: str, entry: _Entry) -> None:
    """Check what requests to an engine and messages about it contain.

    :raises ValueError: if one of them can't be sent.
    """
    if not name or not calls.is_field_value(name):
        raise ValueError("its name can't be sent in a header")
    if not 1 <= entry.slots <= MAX_SLOTS or not 0 <= entry.born <= MAX_STARTED_MS:
        raise ValueError("slots or start out of range")
    if not addresses.is_ip_and_port(entry.address):
        raise ValueError("its address is no IP address with a port")
