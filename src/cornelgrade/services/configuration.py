"""The service ``configuration``: holds the manifest in force and accepts new ones.

The platform's object ``manifest/current`` decides. A few VMs of each failure domain watch it; the
others hear of a version from members and fetch it from one of them, the platform as fallback.
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
WATCH_S = 30.0
_WATCH_RECHECK_S = 1.0
_WATCH_PAUSE_S = 0.1
_POLL_S = 300.0
_CONFIRM_S = 3.0
_FIRST_RETRY_S = 0.5
_MAX_RETRY_S = 30.0
_FETCH_RETRY_S = 0.3
_MAX_FETCH_RETRY_S = 5.0
_FETCH_SPREAD_S = 0.3
_FETCH_SOURCES = 3
_SMALL_FLEET = 16


class Configuration:
    """Follows the manifest and never goes back to a lower version.

    :param beside_gateway: this is the worker process, which asks its VM's gateway before the
        platform and holds no watch.
    :param open_uses: reads what open jobs use, which a new manifest must keep.
    """

    name = "configuration"

    def __init__(
        self,
        cfg: settings.Settings,
        store: platform.Platform,
        membership: ports.Membership,
        peers: peer_manifest.Peers,
        *,
        beside_gateway: bool = False,
        open_uses: _manifest_writer.OpenUses | None = None,
        histories: ports.Histories | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._membership = membership
        self._heard = membership.subscribe(ports.VersionAnnounced)
        self._peers = peers
        self._beside_gateway = beside_gateway
        self._histories = histories
        self._rng = rng or random.Random()
        self._log = logs.Logger("configuration")
        self._writer = _manifest_writer.Writer(cfg.vm, store, open_uses)
        self._current: ports.AcceptedManifest | None = None
        self._changed = trio.Event()
        self._wanted = 0
        self._wanted_more = trio.Event()
        self._gauge = metrics.gauge("cornelgrade_manifest_version", "Manifest version in force.")

    # The Protocol -----------------------------------------------------------------------

    def current(self) -> ports.AcceptedManifest | None:
        """Give the manifest in force, ``None`` before the first one."""
        return self._current

    async def wait_newer(self, version: int) -> ports.AcceptedManifest:
        """Wait for a manifest later than ``version``."""
        while self._current is None or self._current.version <= version:
            await self._changed.wait()
        return self._current

    async def put(self, raw: bytes, if_match: int | None) -> ports.AcceptedManifest:
        """Check and accept a manifest.

        :param if_match: the version that it replaces, ``None`` for the first.
        :raises Refusal: ``BAD_REQUEST`` with every error, ``STALE`` with the difference,
            ``TOO_LARGE``, or ``UNAVAILABLE``; after one that says so, the same bytes may be
            sent again and are the same acceptance.
        """
        accepted = await self._writer.put(raw, if_match)
        if self._histories is not None:
            sentence = f"accepted by {self._cfg.vm}"
            self._histories.record(f"manifest/{accepted.version}", "accept", sentence)
        self._adopt(accepted, "submitted here")
        return accepted

    def report(self) -> reports.Report:
        """Give the version in force for the status page."""
        degraded = []
        if self._wanted > self._version():
            degraded.append(reports.Degraded(f"manifest {self._wanted} is known but not here yet"))
        fact = reports.Fact("manifest_version", str(self._version()))
        return reports.Report(degraded=tuple(degraded), facts=(fact,))

    # The service ------------------------------------------------------------------------

    async def run(self, started: Callable[[], None]) -> None:
        """Follow the manifest until cancelled; nothing waits for the first one."""
        async with trio.open_nursery() as nursery:
            if not self._beside_gateway:
                nursery.start_soon(self._watch)
            nursery.start_soon(self._poll)
            nursery.start_soon(self._fetch_wanted)
            started()
            async for message in self._heard:
                self._want(message.version)

    def _version(self) -> int:
        return self._current.version if self._current is not None else 0

    def _adopt(self, found: ports.AcceptedManifest, source: str) -> None:
        before = self._current
        if found.version < self._version():
            self._log.warning("older_manifest_ignored", version=found.version, source=source)
            return
        if before is not None and found.version == before.version:
            if found.confirmed and not before.confirmed:
                self._current = found
            return
        self._current = found
        self._changed.set()
        self._changed = trio.Event()
        self._gauge.set({}, found.version)
        self._log.info(
            "manifest_in_force", version=found.version, confirmed=found.confirmed, source=source
        )
        if self._histories is not None:
            sentence = f"in force at {self._cfg.vm}, {source}"
            self._histories.record(f"manifest/{found.version}", "in force", sentence)
        self._membership.set_version(found.version)

    def _adopt_stored(self, stored: platform.Stored, source: str) -> None:
        try:
            found = _manifest_writer.accepted(stored)
        except errors.BadInputError as exc:
            self._log.error(
                "manifest_unreadable", version=stored.version, error=exc.format_message()
            )
            return
        self._adopt(found, source)

    # From the platform ------------------------------------------------------------------

    async def _read(self) -> None:
        stored = await self._store.get(KIND, NAME)
        if stored is not None:
            self._adopt_stored(stored, "read from the platform")

    async def _watch(self) -> None:
        after = 0
        while True:
            if not watchers.holds_watch(self._membership.view()):
                await trio.sleep(_WATCH_RECHECK_S)
                continue
            try:
                after = await self._watch_once(max(after, self._version()))
                await trio.sleep(_WATCH_PAUSE_S)
            except platform.UnavailableError as exc:
                await trio.sleep(exc.retry_after_s or _WATCH_RECHECK_S)

    async def _watch_once(self, after: int) -> int:
        changes = await self._store.watch(KIND, NAME, after=after, wait_s=WATCH_S)
        for stored in changes.items:
            if stored.name == NAME:
                self._adopt_stored(stored, "watched at the platform")
        if changes.reset:
            await self._read()
        return changes.version

    async def _poll(self) -> None:
        retry_s = _FIRST_RETRY_S
        while True:
            try:
                if not await self._ask_gateway():
                    await self._read()
                retry_s = _FIRST_RETRY_S
                await self._rest()
            except platform.UnavailableError as exc:
                self._want_highest()
                retry_s = min(retry_s * 2, _MAX_RETRY_S)
                await trio.sleep(self._rng.uniform(0.5, 1.0) * max(retry_s, exc.retry_after_s or 0))

    async def _ask_gateway(self) -> bool:
        """Tell whether this VM's gateway gave a manifest that needs no confirmation."""
        own = [m for m in self._membership.view().members if m.vm == self._cfg.vm]
        if not self._beside_gateway or not own:
            return False
        try:
            self._adopt(await self._peers.fetch(own[0]), "fetched from this VM's gateway")
        except errors.CornelgradeError as exc:
            self._log.info("manifest_not_fetched", peer=self._cfg.vm, error=exc.format_message())
            return False
        return self._current is not None and self._current.confirmed

    async def _rest(self) -> None:
        """Wait until the next poll, which comes soon if the version is unconfirmed by then."""
        with trio.move_on_after(self._rng.uniform(0.5, 1.0) * _POLL_S):
            while True:
                await self.wait_newer(self._version())
                if self._current is not None and not self._current.confirmed:
                    await trio.sleep(self._rng.uniform(0.0, _CONFIRM_S))
                    return

    # From other VMs ---------------------------------------------------------------------

    def _want(self, version: int) -> None:
        if version > self._wanted:
            self._wanted = version
            self._wanted_more.set()

    def _want_highest(self) -> None:
        versions = (m.manifest_version for m in self._membership.view().members)
        self._want(max(versions, default=0))

    async def _fetch_wanted(self) -> None:
        while True:
            await self._wanted_more.wait()
            self._wanted_more = trio.Event()
            members = self._membership.view().members
            if len(members) > _SMALL_FLEET:
                await trio.sleep(self._rng.uniform(0.0, _FETCH_SPREAD_S))
            retry_s = _FETCH_RETRY_S
            while not await self._fetch_once(self._wanted):
                await trio.sleep(retry_s)
                retry_s = min(retry_s * 2, _MAX_FETCH_RETRY_S)

    async def _fetch_once(self, version: int) -> bool:
        if self._version() >= version:
            return True
        view = self._membership.view()
        for member in watchers.sources(view, version, self._rng)[:_FETCH_SOURCES]:
            try:
                self._adopt(await self._peers.fetch(member), f"fetched from {member.vm}")
            except errors.CornelgradeError as exc:
                self._log.info("manifest_not_fetched", peer=member.vm, error=exc.format_message())
            if self._version() >= version:
                return True
        try:
            await self._read()
        except platform.UnavailableError as exc:
            self._log.info("manifest_not_read", error=exc.format_message())
        return self._version() >= version
