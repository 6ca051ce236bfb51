"""The software versions that may have begun streams, kept in the platform's store.

Processes remember versions only in memory. If all of them restart, a version that has left would be
unknown; so each process compares what it has seen with one stored object, and writes what is
missing there. One that has run for long enough to know better also removes versions.
"""

import random
import time
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import logs
from cornelgrade.adapters import platform
from cornelgrade.policy import rendezvous, software_versions
from cornelgrade.services.edge import _notifier, peers, ports

KIND = "cornelgrade-versions"
NAME = "versions"
# All processes see a change of versions. One writes at once, and each later one after another such
# pause, so that it mostly finds the record written.
STAGGER_S = 0.25
MAX_STAGGER_S = 5.0
MAX_CREATION_DELAY_S = 1.0
# How often versions are looked for that no stream is taken up of any more.
EXPIRY_INTERVAL_S = 15.0
RETRY_PAUSE_S = 0.3
_MS_PER_S = 1000
_log = logs.Logger("version_records")
Origins = frozenset[software_versions.StreamOrigin]


class StoredVersions(msgspec.Struct, frozen=True):
    """What may have begun a stream that is still taken up.

    :param created_ms: Unix time at which the record was created; versions that left earlier may be
        missing.
    :param replaced: whether it was created in place of one that could not be read.
    """

    created_ms: ports.UnixMilliseconds
    origins: tuple[software_versions.StreamOrigin, ...]
    replaced: bool = False

    def is_older(self, age_s: float, unix_s: float) -> bool:
        """Return whether the record was created at least this long ago."""
        return unix_s - self.created_ms / _MS_PER_S >= age_s


class VersionRecords:
    """Keeps the record and a process's own history in step.

    :param is_behind: whether the process may have missed registrations; then it removes nothing.

    :ivar record: the record as it was last read or written, ``None`` before.
    """

    def __init__(
        self,
        store: platform.Platform,
        peer_service: peers.Peers,
        vm: str,
        is_behind: Callable[[], bool],
    ) -> None:
        self.record: StoredVersions | None = None
        self._store = store
        self._peers = peer_service
        self._vm = vm
        self._is_behind = is_behind
        self._rng = random.Random(vm)
        self._recorded: Origins = frozenset()

    async def run(
        self, history: software_versions.VersionHistory, observed: _notifier.Notifier
    ) -> None:
        """Add the record to a history, then keep the record until cancelled.

        :param observed: notified after each change of the history.
        """
        self._recorded = frozenset()
        while True:
            try:
                await self._restore(history)
                break
            except (platform.UnavailableError, platform.ConflictError) as exc:
                _log.info("versions_not_read", error=exc.format_message())
            await trio.sleep(RETRY_PAUSE_S)
        while True:
            if self._find_target(history, self._recorded) == self._recorded:
                with trio.move_on_after(EXPIRY_INTERVAL_S):
                    await observed.wait()
            else:
                await self._update(history)

    async def _restore(self, history: software_versions.VersionHistory) -> None:
        """Read the record, or create it.

        One that can't be read tells nothing, and is replaced by the next update.
        """
        stored = await self._store.get(KIND, NAME)
        if stored is None:
            # Of the processes that start together, few should create it.
            await trio.sleep(self._rng.uniform(0.0, MAX_CREATION_DELAY_S))
            stored = await self._store.get(KIND, NAME)
        if stored is None:
            await self._write(None, self._find_target(history, frozenset()))
        else:
            self._merge(history, stored)
        _log.info("versions_read", versions=_format(self._recorded), created=stored is None)

    async def _update(self, history: software_versions.VersionHistory) -> None:
        """Write what the record lacks, after the processes that are due before this one."""
        pause_s = min(self._find_turn() * STAGGER_S, MAX_STAGGER_S)
        await trio.sleep(pause_s)
        try:
            stored = await self._store.get(KIND, NAME, allow_stale=pause_s > 0)
            target = self._merge(history, stored)
            if pause_s > 0 and target != self._recorded:
                stored = await self._store.get(KIND, NAME)
                target = self._merge(history, stored)
            if target != self._recorded:
                await self._write(stored, target)
        except platform.ConflictError as exc:
            _log.debug("versions_changed", error=exc.format_message())
        except (platform.UnavailableError, platform.TooLargeError) as exc:
            _log.warning("versions_not_written", error=exc.format_message())
            await trio.sleep(RETRY_PAUSE_S)

    def _find_turn(self) -> int:
        """Return how many processes write before this one."""
        live = {vm for role in peers.Role for vm in self._peers.live_vms(role)}
        return rendezvous.pick_members(NAME, live, len(live)).index(self._vm)

    def _merge(
        self, history: software_versions.VersionHistory, stored: platform.StoredObject | None
    ) -> Origins:
        """Take the record into account; return what it should be."""
        record = _decode(stored) if stored is not None else None
        found = frozenset(record.origins) if record is not None else frozenset()
        if record is not None:
            self.record = record
        # Another process may have seen these before this one.
        history.restore(found - self._recorded, trio.current_time())
        target = self._find_target(history, found)
        self._recorded = found
        return target

    def _find_target(self, history: software_versions.VersionHistory, found: Origins) -> Origins:
        """Return a record with this process's origins, without those that it has seen expire."""
        now_s = trio.current_time()
        origins = history.list_all_origins(now_s)
        knows_all = history.is_complete(now_s) and not self._is_behind()
        expired = self._recorded - origins if knows_all else frozenset()
        return (found - expired) | origins

    async def _write(self, stored: platform.StoredObject | None, target: Origins) -> None:
        record = _make_record(self.record, target, replaced=stored is not None)
        value = msgspec.json.encode(record)
        if stored is None:
            await self._store.create(KIND, NAME, value)
        else:
            await self._store.update(KIND, NAME, value, stored.version)
        self.record, self._recorded = record, target
        _log.info("versions_written", versions=_format(target))


def _format(origins: Origins) -> str:
    return ",".join(sorted(f"{origin.service}:{origin.version}" for origin in origins))


def _make_record(
    before: StoredVersions | None, origins: Origins, *, replaced: bool
) -> StoredVersions:
    """Return a record of these origins.

    :param before: the record that it goes on, if any.
    :param replaced: whether it takes the place of one that could not be read, if none goes on.
    """
    ordered = tuple(sorted(origins, key=lambda origin: (origin.service, origin.version)))
    if before is not None:
        return msgspec.structs.replace(before, origins=ordered)
    return StoredVersions(int(time.time() * _MS_PER_S), ordered, replaced)


def _decode(stored: platform.StoredObject) -> StoredVersions | None:
    try:
        return msgspec.json.decode(stored.value, type=StoredVersions)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        _log.warning("versions_unreadable", name=stored.name, error=repr(exc))
        return None
