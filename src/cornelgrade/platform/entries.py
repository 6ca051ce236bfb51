"""Reads the entries under which engines register themselves into :class:`routes.Upstream`."""

import msgspec

from cornelgrade import logs, routes

KIND = "servers"
_log = logs.Logger("entries")
_STATES = {"ready": False, "draining": True}


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    # Unix milliseconds of its start; the name may be that of an earlier start.
    born: int = 0


def read(name: str, value: bytes) -> routes.Upstream | None:
    """Decode an entry; ``None`` if it names no engine that can be used."""
    try:
        got = msgspec.json.decode(value, type=_Entry)
        leaving = _STATES[got.state]
        host, _, port = got.address.rpartition(":")
        if not host or not 0 < int(port) < 65_536 or got.slots < 1:
            raise ValueError(got.address)
    except (msgspec.DecodeError, UnicodeDecodeError, KeyError, ValueError) as exc:
        _log.warning("entry_unusable", upstream=name, error=repr(exc))
        return None
    return routes.Upstream(
        name=name,
        service=got.service,
        address=got.address,
        failure_domain=got.zone,
        slots=got.slots,
        leaving=leaving,
        started_ms=got.born,
    )
