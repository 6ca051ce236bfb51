"""Deliberately broken services, one for each promise, put in through the services' Protocols."""

import contextlib
import dataclasses

import trio
from tests.matrix import world as worlds

from cornelgrade.adapters import engine
from cornelgrade.services import ports


class _Wrapped:
    """Passes everything on to the service that it stands before."""

    def __init__(self, inner) -> None:
        self._inner = inner
        self.name = inner.name

    def __getattr__(self, name: str):
        return getattr(self._inner, name)


class ForgetfulRecords(_Wrapped):
    """Lets every attempt run, whatever is recorded."""

    async def begin(self, claim: ports.Claim) -> ports.ClaimedRun:
        return ports.ClaimedRun(claim, nonce=claim.request_id)

    async def store(self, run: ports.ClaimedRun, answer: ports.StoredAnswer) -> ports.StoredAnswer:
        return answer

    async def abandon(self, run: ports.ClaimedRun, ran) -> None:
        return None


class ForgettingAnswers(_Wrapped):
    """Says that an answer is recorded and keeps none."""

    async def store(self, run: ports.ClaimedRun, answer: ports.StoredAnswer) -> ports.StoredAnswer:
        return answer


class _BrokenLinks(_Wrapped):
    """Gives broken links to upstreams."""

    link: type

    def get(self, name: str) -> engine.Upstream:
        return self.link(self._inner.get(name))


class _LyingLink(_Wrapped):
    """Says of each failed call that nothing of it was sent."""

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call):
        try:
            async with self._inner.call(call) as answer:
                yield answer
        except engine.CallError as exc:
            raise engine.CallError(
                exc.message, step=exc.step, peer=exc.peer, progress=engine.Progress.NOT_SENT
            ) from exc


class LyingLinks(_BrokenLinks):
    """Upstreams whose failures always look as if nothing had been sent."""

    link = _LyingLink


@dataclasses.dataclass
class _CutShort:
    status: int
    headers: tuple[tuple[str, str], ...]
    inner: engine.Answer

    async def chunks(self):
        """Pass a broken stream off as whole."""
        try:
            async for chunk in self.inner.chunks():
                yield chunk
        except engine.CallError:
            yield engine.END_MARKER


class _CarelessLink(_Wrapped):
    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call):
        async with self._inner.call(call) as answer:
            yield _CutShort(answer.status, answer.headers, answer)


class CarelessLinks(_BrokenLinks):
    """Upstreams whose broken streams look whole."""

    link = _CarelessLink


class StuckConfiguration(_Wrapped):
    """Keeps the first manifest for ever on one VM."""

    def __init__(self, inner) -> None:
        super().__init__(inner)
        self._first: ports.AcceptedManifest | None = None

    def current(self) -> ports.AcceptedManifest | None:
        self._first = self._first or self._inner.current()
        return self._first


class IdleService(_Wrapped):
    """Does nothing."""

    async def run(self, started) -> None:
        started()
        await trio.sleep_forever()


class DeafStore(worlds.Store):
    """Loses the cancelling of jobs."""

    async def update(self, kind, name, value, version, nonce=""):
        if kind == "job" and b"cancelling" in value:
            return dataclasses.replace(await self.get(kind, name), nonce=nonce)
        return await super().update(kind, name, value, version, nonce)


def replace(name: str, kind: type):
    """Put a broken service in the place of the one called ``name``, on every VM."""

    def change(world: worlds.World) -> None:
        world.replaced[name] = kind

    return change


def store(kind: type[worlds.Store]):
    """Give every VM a broken way to the platform."""

    def change(world: worlds.World) -> None:
        world.store_kind = kind

    return change
