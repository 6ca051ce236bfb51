"""The service ``configuration``: holds the manifest in force and accepts new ones.

The platform's object ``manifest/current`` is authoritative. A few VMs of each failure domain watch
it. The others learn of a new version through the membership and fetch it from a member, or from the
platform if no member can supply it.
"""

import random
from collections.abc import Callable

import trio

from cornelgrade import errors, logs, metrics, reports, settings
from cornelgrade.adapters import peer_manifest, platform
from cornelgrade.policy import watchers
from cornelgrade.services import _manifest_writer, ports

KIND = _manifest_writer.KIND
NAME = _manifest_writer.NAME
WATCH_TIMEOUT_S = 30.0
_WATCH_RETRY_S = 1.0
_WATCH_PAUSE_S = 0.1
_POLL_INTERVAL_S = 300.0
_MAX_CONFIRM_DELAY_S = 3.0
_FIRST_RETRY_S = 0.5
_MAX_RETRY_S = 30.0
_FETCH_RETRY_S = 0.3
_MAX_FETCH_RETRY_S = 5.0
_FETCH_JITTER_S = 0.3
_MAX_FETCH_SOURCES = 3
_SMALL_FLEET_VMS = 16


class Configuration:
    """Follows the manifest and never returns to a lower version.

    :param beside_gateway: this is the worker process, which asks its VM's gateway before the
        platform and doesn't watch the platform.
    :param open_uses: reads the names that open jobs use, which a new manifest must keep.
    """

    name = "configuration"

    def __init__(
        self,
        cfg: settings.Settings,
        store: platform.Platform,
        membership: ports.Membership,
        peers: peer_manifest.ManifestPeers,
        *,
        is_worker: bool = False,
        open_uses: _manifest_writer.ReadOpenUses | None = None,
        histories: ports.Histories | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._membership = membership
        self._announcements = membership.subscribe(ports.VersionAnnounced)
        self._peers = peers
        self._beside_gateway = is_worker
        self._histories = histories
        self._rng = rng or random.Random()
        self._log = logs.Logger("configuration")
        self._writer = _manifest_writer.Writer(cfg.vm, store, open_uses)
        self._current: ports.AcceptedManifest | None = None
        self._changed = trio.Event()
        self._requested_version = 0
        self._request_raised = trio.Event()
        self._gauge = metrics.gauge("cornelgrade_manifest_version", "Manifest version in force.")

    # Protocol

    def current(self) -> ports.AcceptedManifest | None:
        """Return the manifest in force, or ``None`` before the first one."""
        return self._current

    async def wait_newer(self, version: int) -> ports.AcceptedManifest:
        """Wait until a version later than ``version`` is in force and return it."""
        while self._current is None or self._current.version <= version:
            await self._changed.wait()
        return self._current

    async def put(self, raw: bytes, if_match: int | None) -> ports.AcceptedManifest:
        """Validate and accept a manifest.

        :param if_match: the version that it replaces, ``None`` for the first.
        :raises Refusal: ``BAD_REQUEST`` with every error, ``STALE`` with the difference,
            ``TOO_LARGE``, or ``UNAVAILABLE``. If the message of ``UNAVAILABLE`` says so, the same
            bytes may be sent again and don't create another version.
        """
        accepted = await self._writer.put(raw, if_match)
        if self._histories is not None:
            sentence = f"accepted by {self._cfg.vm}"
            self._histories.record(f"manifest/{accepted.version}", "accept", sentence)
        self._adopt(accepted, "submitted here")
        return accepted

    def report(self) -> reports.Report:
        """Return the version in force for the status page."""
        degraded = []
        if self._requested_version > self._current_version():
            degraded.append(
                reports.Degraded(f"manifest {self._requested_version} is known but not here yet")
            )
        fact = reports.Fact("manifest_version", str(self._current_version()))
        return reports.Report(degraded=tuple(degraded), facts=(fact,))

    # Service

    async def run(self, started: Callable[[], None]) -> None:
        """Follow the manifest until cancelled; starting doesn't wait for the first version."""
        async with trio.open_nursery() as nursery:
            if not self._beside_gateway:
                nursery.start_soon(self._watch_platform)
            nursery.start_soon(self._poll_manifest)
            nursery.start_soon(self._fetch_requested)
            started()
            async for message in self._announcements:
                self._request_version(message.version)

    def _current_version(self) -> int:
        return self._current.version if self._current is not None else 0

    def _adopt(self, candidate: ports.AcceptedManifest, source: str) -> None:
        previous = self._current
        if candidate.version < self._current_version():
            self._log.warning("older_manifest_ignored", version=candidate.version, source=source)
            return
        if previous is not None and candidate.version == previous.version:
            if candidate.confirmed and not previous.confirmed:
                self._current = candidate
            return
        self._current = candidate
        self._changed.set()
        self._changed = trio.Event()
        self._gauge.set({}, candidate.version)
        self._log.info(
            "manifest_in_force",
            version=candidate.version,
            confirmed=candidate.confirmed,
            source=source,
        )
        if self._histories is not None:
            sentence = f"in force at {self._cfg.vm}, {source}"
            self._histories.record(f"manifest/{candidate.version}", "in force", sentence)
        self._membership.set_version(candidate.version)

    def _adopt_stored(self, stored: platform.StoredObject, source: str) -> None:
        try:
            candidate = _manifest_writer.decode_accepted(stored)
        except errors.BadInputError as exc:
            self._log.error(
                "manifest_unreadable", version=stored.version, error=exc.format_message()
            )
            return
        self._adopt(candidate, source)

    # From the platform

    async def _read_platform(self) -> None:
        stored = await self._store.get(KIND, NAME)
        if stored is not None:
            self._adopt_stored(stored, "read from the platform")

    async def _watch_platform(self) -> None:
        after = 0
        while True:
            if not watchers.should_watch(self._membership.view()):
                await trio.sleep(_WATCH_RETRY_S)
                continue
            try:
                after = await self._watch_once(max(after, self._current_version()))
                await trio.sleep(_WATCH_PAUSE_S)
            except platform.UnavailableError as exc:
                await trio.sleep(exc.retry_after_s or _WATCH_RETRY_S)

    async def _watch_once(self, after: int) -> int:
        changes = await self._store.watch(KIND, NAME, after=after, wait_s=WATCH_TIMEOUT_S)
        for stored in changes.items:
            if stored.name == NAME:
                self._adopt_stored(stored, "watched at the platform")
        if changes.reset:
            await self._read_platform()
        return changes.version

    async def _poll_manifest(self) -> None:
        retry_s = _FIRST_RETRY_S
        while True:
            try:
                if not await self._fetch_from_gateway():
                    await self._read_platform()
                retry_s = _FIRST_RETRY_S
                await self._wait_next_poll()
            except platform.UnavailableError as exc:
                self._request_highest_version()
                retry_s = min(retry_s * 2, _MAX_RETRY_S)
                await trio.sleep(self._rng.uniform(0.5, 1.0) * max(retry_s, exc.retry_after_s or 0))

    async def _fetch_from_gateway(self) -> bool:
        """Return whether this VM's gateway supplied a confirmed manifest."""
        own_members = [m for m in self._membership.view().members if m.vm == self._cfg.vm]
        if not self._beside_gateway or not own_members:
            return False
        try:
            self._adopt(await self._peers.fetch(own_members[0]), "fetched from this VM's gateway")
        except errors.CornelgradeError as exc:
            self._log.info("manifest_fetch_failed", peer=self._cfg.vm, error=exc.format_message())
            return False
        return self._current is not None and self._current.confirmed

    async def _wait_next_poll(self) -> None:
        """Wait for the next poll, which comes early after an unconfirmed version."""
        with trio.move_on_after(self._rng.uniform(0.5, 1.0) * _POLL_INTERVAL_S):
            while True:
                await self.wait_newer(self._current_version())
                if self._current is not None and not self._current.confirmed:
                    await trio.sleep(self._rng.uniform(0.0, _MAX_CONFIRM_DELAY_S))
                    return

    # From other VMs

    def _request_version(self, version: int) -> None:
        if version > self._requested_version:
            self._requested_version = version
            self._request_raised.set()

    def _request_highest_version(self) -> None:
        versions = (m.manifest_version for m in self._membership.view().members)
        self._request_version(max(versions, default=0))

    async def _fetch_requested(self) -> None:
        while True:
            await self._request_raised.wait()
            self._request_raised = trio.Event()
            members = self._membership.view().members
            if len(members) > _SMALL_FLEET_VMS:
                await trio.sleep(self._rng.uniform(0.0, _FETCH_JITTER_S))
            retry_s = _FETCH_RETRY_S
            while not await self._fetch_version(self._requested_version):
                await trio.sleep(retry_s)
                retry_s = min(retry_s * 2, _MAX_FETCH_RETRY_S)

    async def _fetch_version(self, version: int) -> bool:
        if self._current_version() >= version:
            return True
        view = self._membership.view()
        for member in watchers.list_manifest_sources(view, version, self._rng)[:_MAX_FETCH_SOURCES]:
            try:
                self._adopt(await self._peers.fetch(member), f"fetched from {member.vm}")
            except errors.CornelgradeError as exc:
                self._log.info("manifest_fetch_failed", peer=member.vm, error=exc.format_message())
            if self._current_version() >= version:
                return True
        try:
            await self._read_platform()
        except platform.UnavailableError as exc:
            self._log.info("manifest_read_failed", error=exc.format_message())
        return self._current_version() >= version
