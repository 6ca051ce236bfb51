"""What the platform keeps of manifest versions and of engines' orders, as history steps."""

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
    """Tells operators of ``manifest/VERSION`` and ``UPSTREAM/order``.

    :param now_s: gives Unix time in seconds, the time of what is read as a state.
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
        """Give the steps, empty if the subject is of another kind or unknown."""
        first, _, rest = subject.partition("/")
        try:
            if first == _MANIFEST and rest.isdecimal():
                return await self._manifest(int(rest))
            if rest == _ORDER:
                return await self._order(first)
        except (platform.UnavailableError, errors.BadInputError, msgspec.DecodeError) as exc:
            return (self._now(f"What is recorded cannot be read: {exc}."),)
        return ()

    async def _manifest(self, version: int) -> tuple[ports.Step, ...]:
        stored = await self._store.get(_manifest_writer.KIND, _manifest_writer.NAME)
        if stored is None:
            return ()
        told = acceptance.history(_manifest_writer.kept(stored), stored.version)
        steps: list[ports.Step] = []
        for entry, became in told:
            if became == version:
                instead = f" in place of version {entry.based_on}" if entry.based_on else ""
                steps.append(self._step(entry.at_s, f"Accepted at {entry.vm}{instead}."))
            elif entry.based_on == version:
                steps.append(self._step(entry.at_s, f"Replaced by version {became}."))
        if stored.version == version:
            steps.append(self._now("It is the version that the platform holds."))
        return tuple(steps)

    async def _order(self, upstream: str) -> tuple[ports.Step, ...]:
        accepted = self._configuration.current()
        known = accepted.manifest.upstreams if accepted is not None else ()
        domains = [item.failure_domain for item in known if item.name == upstream]
        stored = await self._store.get(reconciler.KIND, domains[0]) if domains else None
        if stored is None:
            return ()
        told = msgspec.json.decode(stored.value, type=reconciler.Published)
        by = f"Orders are given by {told.holder} in epoch {told.epoch}"
        for item in told.differing:
            if item.upstream == upstream:
                return (self._now(f"{by}. Wanted: {item.wanted}. Seen: {item.seen}. {item.why}."),)
        return (self._now(f"{by}. It runs what manifest version {told.manifest_version} wants."),)

    def _now(self, sentence: str) -> ports.Step:
        return self._step(self._now_s(), sentence)

    @staticmethod
    def _step(at_s: float, sentence: str) -> ports.Step:
        return ports.Step(at_s, STEP, sentence, _PEER)
