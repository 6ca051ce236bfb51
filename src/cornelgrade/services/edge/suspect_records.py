"""Crashes of requests that are not quarantined yet, kept in the platform's store.

Processes remember such crashes only in memory. If all of them restart, a request that crashes
upstreams would begin from zero; so the crashes are stored once there are several of them, or one
that is attributed to the request. The object of a request is named by its fingerprint.
"""

import contextlib
import time

import msgspec

from cornelgrade import logs
from cornelgrade.adapters import platform
from cornelgrade.services import ports, quarantine
from cornelgrade.services.edge import ports as edge_ports

KIND = "cornelgrade-suspects"
_MS_PER_S = 1000
_log = logs.Logger("suspect_records")


class StoredSuspect(msgspec.Struct, frozen=True):
    """The crashes of one request.

    :param stored_ms: Unix time from which the ages of the crashes count back.
    """

    expires_ms: edge_ports.UnixMilliseconds
    stored_ms: edge_ports.UnixMilliseconds
    crashes: tuple[ports.CrashSighting, ...]


class SuspectRecords:
    """Stores and restores crashes of requests.

    Calls raise :class:`platform.UnavailableError` if the store is unavailable.
    """

    def __init__(self, store: platform.Platform, service: quarantine.Quarantine) -> None:
        self._store = store
        self._quarantine = service

    async def write(self, record: ports.SuspectRecord) -> None:
        """Store a request's crashes, or delete them after it completed."""
        if not record.sightings:
            await self._delete(record.fingerprint)
            return
        value = msgspec.json.encode(_encode_record(record))
        while True:
            try:
                stored = await self._store.get(KIND, record.fingerprint)
                if stored is None:
                    await self._store.create(KIND, record.fingerprint, value)
                elif not _knows_all(stored, record):
                    await self._store.update(KIND, record.fingerprint, value, stored.version)
                return
            except platform.ConflictError as exc:
                _log.debug("suspect_changed", fingerprint=record.fingerprint, error=exc.message)

    async def restore(self) -> None:
        """Read the stored crashes and delete those that have expired."""
        for stored in await self._store.list(KIND, limit=quarantine.MAX_ENTRIES):
            try:
                suspect = msgspec.json.decode(stored.value, type=StoredSuspect)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
                _log.warning("suspect_unreadable", fingerprint=stored.name, error=repr(exc))
                continue
            record = _decode_suspect(stored.name, suspect)
            if record.expires_s > 0:
                self._quarantine.restore_suspect(record)
            else:
                await self._delete(stored.name)

    async def _delete(self, fingerprint: str) -> None:
        stored = await self._store.get(KIND, fingerprint)
        if stored is not None:
            # On a conflict, the request was in flight at another crash.
            with contextlib.suppress(platform.ConflictError):
                await self._store.delete(KIND, fingerprint, stored.version)


def _knows_all(stored: platform.StoredObject, record: ports.SuspectRecord) -> bool:
    """Return whether another process has stored at least what this one knows."""
    with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        known = msgspec.json.decode(stored.value, type=StoredSuspect)
        attributed = sum(crash.attributed for crash in known.crashes)
        return len(known.crashes) >= len(record.sightings) and attributed >= sum(
            sighting.attributed for sighting in record.sightings
        )
    return False


def _encode_record(record: ports.SuspectRecord) -> StoredSuspect:
    now_ms = int(time.time() * _MS_PER_S)
    expires_ms = now_ms + int(record.expires_s * _MS_PER_S)
    return StoredSuspect(expires_ms, now_ms, record.sightings)


def _decode_suspect(fingerprint: str, suspect: StoredSuspect) -> ports.SuspectRecord:
    now_ms = time.time() * _MS_PER_S
    stored_s = max(0.0, now_ms - suspect.stored_ms) / _MS_PER_S
    crashes = (msgspec.structs.replace(c, age_s=c.age_s + stored_s) for c in suspect.crashes)
    return ports.SuspectRecord(
        fingerprint, (suspect.expires_ms - now_ms) / _MS_PER_S, tuple(crashes)
    )
