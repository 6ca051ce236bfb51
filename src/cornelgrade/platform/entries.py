"""Decodes the entries that engines register themselves with to :class:`routes.Upstream`."""

import msgspec

from cornelgrade import logs, routes

KIND = "servers"
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
        host, _, port = entry.address.rpartition(":")
        if not host or not 0 < int(port) < 65_536 or entry.slots < 1:
            raise ValueError(entry.address)
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
