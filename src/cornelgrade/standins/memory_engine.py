"""The engine stand-in as an upstream in the same process, for tests on a virtual clock."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import _reading, engine_model, engine_wire
from cornelgrade.standins import engine as engine_standin

CONTROL_TIMEOUT_S = 5.0
_JSON = (("content-type", "application/json"),)
_EVENTS = (("content-type", "text/event-stream"),)


@dataclasses.dataclass(slots=True)
class MemoryAnswer:
    """Implements :class:`cornelgrade.adapters.engine.Answer`."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]

    def chunks(self) -> AsyncIterator[bytes]:
        """Give the body as it arrives."""
        return self.body


class MemoryEngine:
    """Implements :class:`cornelgrade.adapters.engine.Upstream` on an engine in this process.

    :param held: the engine; its :meth:`Engine.run` must be running.
    """

    def __init__(self, held: engine_standin.Engine) -> None:
        self.name = held.name
        self.engine = held
        self._silenced = trio.Event()
        held.on_silence = self._silence

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call) -> AsyncIterator[engine.Answer]:
        """Send a call; entering waits for the first token, or for a whole answer's end."""
        await trio.lowlevel.checkpoint()
        silenced = self._silenced
        try:
            completion = engine_wire.decode(call.body)
            with self._bounded(call.first_byte_timeout_s, engine.Progress.SENT):
                await self.engine.thawed()
                sequence = self.engine.submit(call.stream_id, completion, call.resume_from)
        except engine_standin.DownError as exc:
            raise self._error("refused connection", "connect", engine.Progress.NOT_SENT) from exc
        except engine_standin.RefusedError as exc:
            yield _refusal(exc.status, exc.code, str(exc))
            return
        except msgspec.MsgspecError as exc:
            yield _refusal(400, "bad_request", str(exc))
            return
        try:
            answering = _Answering(self, call, sequence, silenced)
            yield await answering.head()
        finally:
            if not silenced.is_set():
                self.engine.abandon(sequence)

    async def cancel(self, stream_id: str) -> engine.Cancelled:
        """Stop a running call."""
        await self._answers("cancel")
        return self.engine.cancel(stream_id)

    async def load(self) -> engine.Load:
        """Read the load report."""
        await self._answers("load")
        return self.engine.load()

    async def state(self) -> engine.EngineState:
        """Read what the engine runs."""
        await self._answers("state")
        return self.engine.state()

    async def order(self, order: engine.Order) -> engine.EngineState:
        """Give an order."""
        await self._answers("order")
        try:
            return await self.engine.order(order)
        except engine_standin.RefusedError as exc:
            raise self._error(str(exc), "order", engine.Progress.ANSWERED) from exc
        except engine_standin.DownError as exc:
            raise self._error("connection broke", "order", engine.Progress.SENT) from exc

    async def cache_events(self, after: int) -> tuple[engine.CacheEvent, ...]:
        """Read cache events later than ``after``."""
        await self._answers("cache_events")
        return self.engine.cache_events(after)

    async def _answers(self, step: str) -> None:
        await trio.lowlevel.checkpoint()
        with self._bounded(CONTROL_TIMEOUT_S, engine.Progress.SENT, step):
            await self.engine.thawed()
        if not self.engine.up:
            raise self._error("refused connection", step, engine.Progress.NOT_SENT)

    def _silence(self) -> None:
        self._silenced.set()
        self._silenced = trio.Event()

    @contextlib.contextmanager
    def _bounded(self, timeout_s: float, progress: engine.Progress, step: str = "answer"):
        with trio.move_on_after(timeout_s) as scope:
            yield
        if scope.cancelled_caught:
            raise self._error("said nothing in time", step, progress, silent=True)

    def _error(
        self, message: str, step: str, progress: engine.Progress, *, silent: bool = False
    ) -> engine.CallError:
        return engine.CallError(
            message, step=step, peer=self.name, progress=progress, silent=silent
        )


class _Answering:
    """Reads one sequence on behalf of one call."""

    def __init__(
        self,
        upstream: MemoryEngine,
        call: engine.Call,
        sequence: engine_model.Sequence,
        silenced: trio.Event,
    ) -> None:
        self._upstream = upstream
        self._call = call
        self._sequence = sequence
        self._silenced = silenced
        self._chat = call.path.startswith(engine_wire.CHAT_PATH)

    async def head(self) -> MemoryAnswer:
        stream = self._sequence.completion.stream
        until = 1 if stream else self._sequence.end + 1
        await self._wait(until, self._call.first_byte_timeout_s, engine.Progress.SENT)
        if stream:
            return MemoryAnswer(200, _EVENTS, self._events())
        return self._whole()

    def _whole(self) -> MemoryAnswer:
        state = self._sequence.state
        if state is engine_model.State.CANCELLED:
            return _refusal(499, "cancelled", "cancelled")
        if state is engine_model.State.TRUNCATED:
            raise self._broke(engine.Progress.PART_ANSWERED)
        if state is engine_model.State.BROKEN:
            raise self._broke(engine.Progress.SENT)
        body = _reading.whole_answer(self._sequence, chat=self._chat)
        return MemoryAnswer(200, _JSON, once(body))

    async def _events(self) -> AsyncIterator[bytes]:
        sent = 0
        while True:
            count = len(self._sequence.words)
            if count > sent:
                yield _reading.events(self._sequence, sent, count, chat=self._chat)
                sent = count
            elif self._sequence.ended:
                break
            else:
                await self._wait(sent + 1, self._call.gap_timeout_s, engine.Progress.PART_ANSWERED)
        if self._sequence.state is engine_model.State.BROKEN:
            raise self._broke(engine.Progress.PART_ANSWERED)
        if self._sequence.state is engine_model.State.DONE:
            yield engine.END_MARKER

    async def _wait(self, count: int, timeout_s: float, progress: engine.Progress) -> None:
        with self._upstream._bounded(timeout_s, progress):
            await _reading.wait(self._sequence, count)
            if self._silenced.is_set():
                await trio.sleep_forever()
        if self._sequence.state is engine_model.State.BROKEN and not self._sequence.words:
            raise self._broke(progress)

    def _broke(self, progress: engine.Progress) -> engine.CallError:
        return self._upstream._error("connection broke", "answer", progress)


async def once(body: bytes) -> AsyncIterator[bytes]:
    """Give a body as its only chunk."""
    yield body


def _refusal(status: int, code: str, message: str) -> MemoryAnswer:
    return MemoryAnswer(status, _JSON, once(engine_wire.error(code, message)))
