"""Engine stand-in as an upstream in the same process, for tests on a virtual clock."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import _responses, engine_model, engine_wire
from cornelgrade.standins import engine as engine_standin

CONTROL_TIMEOUT_S = 5.0
_JSON_HEADERS = (("content-type", "application/json"),)
_EVENT_STREAM_HEADERS = (("content-type", "text/event-stream"),)


@dataclasses.dataclass(slots=True)
class MemoryResponse:
    """Implements :class:`cornelgrade.adapters.engine.Response`."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]

    def chunks(self) -> AsyncIterator[bytes]:
        """Return the body's chunks as they arrive."""
        return self.body


class MemoryEngine:
    """Implements :class:`cornelgrade.adapters.engine.Upstream` on an engine in this process.

    :param standin: the engine; its :meth:`Engine.run` must be running.
    """

    def __init__(self, standin: engine_standin.Engine) -> None:
        self.name = standin.name
        self.engine = standin
        self._silenced = trio.Event()
        standin.on_silence = self._silence

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call) -> AsyncIterator[engine.Response]:
        """Send a call; entering waits for the first token or, without streaming, the last."""
        await trio.lowlevel.checkpoint()
        silenced = self._silenced
        try:
            completion = engine_wire.decode_completion(call.body)
            with self._time_limit(call.first_byte_timeout_s, engine.Progress.SENT):
                await self.engine.wait_until_unfrozen()
                sequence = self.engine.submit(call.stream_id, completion, call.resume_from)
        except engine_standin.DownError as exc:
            raise self._make_error(
                "refused connection", "connect", engine.Progress.NOT_SENT
            ) from exc
        except engine_standin.RefusedError as exc:
            yield _make_refusal(exc.status, exc.code, str(exc))
            return
        except msgspec.MsgspecError as exc:
            yield _make_refusal(400, "bad_request", str(exc))
            return
        try:
            reader = _SequenceReader(self, call, sequence, silenced)
            yield await reader.wait_for_head()
        finally:
            if not silenced.is_set():
                self.engine.abandon(sequence)

    async def cancel(self, stream_id: str) -> engine.Cancelled:
        """Stop a running call."""
        await self._check_responsive("cancel")
        return self.engine.cancel(stream_id)

    async def load(self) -> engine.Load:
        """Read the load report."""
        await self._check_responsive("load")
        return self.engine.load()

    async def state(self) -> engine.EngineState:
        """Read the loaded models, role and fencing number."""
        await self._check_responsive("state")
        return self.engine.state()

    async def order(self, order: engine.Order) -> engine.EngineState:
        """Apply an order."""
        await self._check_responsive("order")
        try:
            return await self.engine.order(order)
        except engine_standin.RefusedError as exc:
            raise self._make_error(str(exc), "order", engine.Progress.ANSWERED) from exc
        except engine_standin.DownError as exc:
            raise self._make_error("connection broke", "order", engine.Progress.SENT) from exc

    async def cache_events(self, after: int) -> tuple[engine.CacheEvent, ...]:
        """Read cache events after ``after``."""
        await self._check_responsive("cache_events")
        return self.engine.cache_events(after)

    async def _check_responsive(self, step: str) -> None:
        await trio.lowlevel.checkpoint()
        with self._time_limit(CONTROL_TIMEOUT_S, engine.Progress.SENT, step):
            await self.engine.wait_until_unfrozen()
        if not self.engine.up:
            raise self._make_error("refused connection", step, engine.Progress.NOT_SENT)

    def _silence(self) -> None:
        self._silenced.set()
        self._silenced = trio.Event()

    @contextlib.contextmanager
    def _time_limit(self, timeout_s: float, progress: engine.Progress, step: str = "answer"):
        with trio.move_on_after(timeout_s) as scope:
            yield
        if scope.cancelled_caught:
            raise self._make_error("said nothing in time", step, progress, timed_out=True)

    def _make_error(
        self, message: str, step: str, progress: engine.Progress, *, timed_out: bool = False
    ) -> engine.CallError:
        return engine.CallError(
            message, step=step, peer=self.name, progress=progress, timed_out=timed_out
        )


class _SequenceReader:
    """Reads the tokens of one call's sequence."""

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

    async def wait_for_head(self) -> MemoryResponse:
        stream = self._sequence.completion.stream
        until = 1 if stream else self._sequence.end + 1
        await self._wait_for_tokens(until, self._call.first_byte_timeout_s, engine.Progress.SENT)
        if stream:
            return MemoryResponse(
                200, _EVENT_STREAM_HEADERS + self._upstream.engine.headers(), self._stream_events()
            )
        return self._make_response()

    def _make_response(self) -> MemoryResponse:
        state = self._sequence.state
        if state is engine_model.State.CANCELLED:
            return _make_refusal(499, "cancelled", "cancelled")
        if state is engine_model.State.TRUNCATED:
            raise self._make_broken_error(engine.Progress.PART_ANSWERED)
        if state is engine_model.State.BROKEN:
            raise self._make_broken_error(engine.Progress.SENT)
        body = _responses.encode_response(self._sequence, chat=self._chat)
        headers = _JSON_HEADERS + self._upstream.engine.headers()
        return MemoryResponse(200, headers, iter_single_chunk(body))

    async def _stream_events(self) -> AsyncIterator[bytes]:
        sent = 0
        while True:
            count = len(self._sequence.words)
            if count > sent:
                yield _responses.encode_events(self._sequence, sent, count, chat=self._chat)
                sent = count
            elif self._sequence.ended:
                break
            else:
                await self._wait_for_tokens(
                    sent + 1, self._call.gap_timeout_s, engine.Progress.PART_ANSWERED
                )
        if self._sequence.state is engine_model.State.BROKEN:
            raise self._make_broken_error(engine.Progress.PART_ANSWERED)
        if self._sequence.state is engine_model.State.DONE:
            yield engine.END_MARKER

    async def _wait_for_tokens(
        self, count: int, timeout_s: float, progress: engine.Progress
    ) -> None:
        with self._upstream._time_limit(timeout_s, progress):
            await _responses.wait_for_tokens(self._sequence, count)
            if self._silenced.is_set():
                await trio.sleep_forever()
        if self._sequence.state is engine_model.State.BROKEN and not self._sequence.words:
            raise self._make_broken_error(progress)

    def _make_broken_error(self, progress: engine.Progress) -> engine.CallError:
        return self._upstream._make_error("connection broke", "answer", progress)


async def iter_single_chunk(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body as a single chunk."""
    yield body


def _make_refusal(status: int, code: str, message: str) -> MemoryResponse:
    return MemoryResponse(
        status, _JSON_HEADERS, iter_single_chunk(engine_wire.encode_error(code, message))
    )
