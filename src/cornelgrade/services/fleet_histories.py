"""Histories of manifest versions and of engine orders, read from the platform."""

import time
from collections.abc import Callable

import msgspec

from cornelgrade import errors
from cornelgrade.adapters import platform
from cornelgrade.policy import acceptance
from cornelgrade.services import _manifest_writer, ports, reconciler

STEP = "record"
_PEER = "platform"
_MANIFEST = "manifest"
_ORDER = "order"


class FleetHistories:
    """Reads the histories of ``manifest/VERSION`` and ``UPSTREAM/order`` for operators.

    :param now_s: returns Unix time in seconds, the time of a step that describes current state.
    """

    def __init__(
        self,
        store: platform.Platform,
        configuration: ports.Configuration,
        now_s: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._now_s = now_s

    async def get_steps(self, subject: str) -> tuple[ports.Step, ...]:
        """Return the steps, empty if the subject is unknown or of another kind."""
        first, _, rest = subject.partition("/")
        try:
            if first == _MANIFEST and rest.isdecimal():
                return await self._get_manifest_steps(int(rest))
            if rest == _ORDER:
                return await self._get_order_steps(first)
        except (platform.UnavailableError, errors.BadInputError, msgspec.DecodeError) as exc:
            return (self._make_current_step(f"What is recorded cannot be read: {exc}."),)
        return ()

    async def _get_manifest_steps(self, version: int) -> tuple[ports.Step, ...]:
        stored = await self._store.get(_manifest_writer.KIND, _manifest_writer.NAME)
        if stored is None:
            return ()
        history = acceptance.list_acceptances(
            _manifest_writer.decode_stored(stored), stored.version
        )
        steps: list[ports.Step] = []
        for entry, version_made in history:
            if version_made == version:
                replaced = f" in place of version {entry.based_on}" if entry.based_on else ""
                steps.append(self._make_step(entry.at_s, f"Accepted at {entry.vm}{replaced}."))
            elif entry.based_on == version:
                steps.append(self._make_step(entry.at_s, f"Replaced by version {version_made}."))
        if stored.version == version:
            steps.append(self._make_current_step("It is the version that the platform holds."))
        return tuple(steps)

    async def _get_order_steps(self, upstream: str) -> tuple[ports.Step, ...]:
        accepted = self._configuration.current()
        upstreams = accepted.manifest.upstreams if accepted is not None else ()
        domains = [item.failure_domain for item in upstreams if item.name == upstream]
        stored = await self._store.get(reconciler.KIND, domains[0]) if domains else None
        if stored is None:
            return ()
        published = msgspec.json.decode(stored.value, type=reconciler.Published)
        source = f"Orders are given by {published.holder} in epoch {published.epoch}"
        for item in published.differing:
            if item.upstream == upstream:
                return (
                    self._make_current_step(
                        f"{source}. Wanted: {item.wanted}. Seen: {item.seen}. {item.why}."
                    ),
                )
        return (
            self._make_current_step(
                f"{source}. It runs what manifest version {published.manifest_version} wants."
            ),
        )

    def _make_current_step(self, sentence: str) -> ports.Step:
        return self._make_step(self._now_s(), sentence)

    @staticmethod
    def _make_step(at_s: float, sentence: str) -> ports.Step:
        return ports.Step(at_s, STEP, sentence, _PEER)
