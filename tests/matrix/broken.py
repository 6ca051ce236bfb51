"""Deliberately broken services, one per promise, that replace services of the same Protocol."""

import contextlib
import dataclasses

import msgspec
import trio
from tests.matrix import world as worlds

from cornelgrade.adapters import engine
from cornelgrade.services import ports


class _Delegate:
    """Delegates every attribute to the wrapped service."""

    def __init__(self, inner) -> None:
        self._inner = inner
        self.name = inner.name

    def __getattr__(self, name: str):
        return getattr(self._inner, name)


class AlwaysRunRecords(_Delegate):
    """Runs every attempt, whatever is recorded."""

    async def begin(self, claim: ports.Claim) -> ports.ClaimedRun:
        return ports.ClaimedRun(claim, nonce=claim.request_id)

    async def store(
        self, run: ports.ClaimedRun, response: ports.StoredResponse
    ) -> ports.StoredResponse:
        return response

    async def abandon(self, run: ports.ClaimedRun, ran) -> None:
        return None


class DiscardingRecords(_Delegate):
    """Reports that a response is stored without storing it."""

    async def store(
        self, run: ports.ClaimedRun, response: ports.StoredResponse
    ) -> ports.StoredResponse:
        return response


class _BrokenLinks(_Delegate):
    """Returns broken links to upstreams."""

    link: type

    def get(self, name: str) -> engine.Upstream:
        return self.link(self._inner.get(name))


class _MisreportingLink(_Delegate):
    """Reports every failed call as not sent."""

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call):
        try:
            async with self._inner.call(call) as response:
                yield response
        except engine.CallError as exc:
            raise engine.CallError(
                exc.message, step=exc.step, peer=exc.peer, progress=engine.Progress.NOT_SENT
            ) from exc


class MisreportingLinks(_BrokenLinks):
    """Links that report every failed call as not sent."""

    link = _MisreportingLink


@dataclasses.dataclass
class _TruncatedResponse:
    status: int
    headers: tuple[tuple[str, str], ...]
    inner: engine.Response

    async def chunks(self):
        """Yield an end marker after an aborted stream."""
        try:
            async for chunk in self.inner.chunks():
                yield chunk
        except engine.CallError:
            yield engine.END_MARKER


class _TruncatingLink(_Delegate):
    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call):
        async with self._inner.call(call) as response:
            yield _TruncatedResponse(response.status, response.headers, response)


class TruncatingLinks(_BrokenLinks):
    """Links whose aborted streams look complete."""

    link = _TruncatingLink


class StaleConfiguration(_Delegate):
    """Always returns the first manifest that the VM had."""

    def __init__(self, inner) -> None:
        super().__init__(inner)
        self._first: ports.AcceptedManifest | None = None

    def current(self) -> ports.AcceptedManifest | None:
        self._first = self._first or self._inner.current()
        return self._first


class IdleService(_Delegate):
    """Does nothing."""

    async def run(self, started) -> None:
        started()
        await trio.sleep_forever()


class CancelLosingStore(worlds.Store):
    """Discards updates that cancel a job."""

    async def update(self, kind, name, value, version, nonce=""):
        if kind == "job" and b"cancelling" in value:
            return msgspec.structs.replace(await self.get(kind, name), nonce=nonce)
        return await super().update(kind, name, value, version, nonce)


def replace_service(name: str, kind: type):
    """Replace the service called ``name`` by a broken one on every VM."""

    def change(world: worlds.World) -> None:
        world.service_replacements[name] = kind

    return change


def replace_store(kind: type[worlds.Store]):
    """Replace every VM's platform store by a broken one."""

    def change(world: worlds.World) -> None:
        world.store_kind = kind

    return change
