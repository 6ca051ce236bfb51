"""The HTTP face of the engine stand-in; the wire protocol stands in ``adapters.engine``."""

import functools
from collections.abc import Awaitable, Callable

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import _http_server, _reading, engine_model, engine_wire
from cornelgrade.standins import engine as engine_standin

LEAVING_HEADER = "engine-leaving"
STREAMS_PREFIX = "/v1/streams/"
_EVENTS = (("content-type", "text/event-stream"),)
_JSON = (("content-type", "application/json"),)
_View = Callable[[_http_server.Exchange], Awaitable[None]]


class EngineServer:
    """Serves one engine stand-in over HTTP.

    :param held: the engine; :meth:`serve` runs it.
    """

    def __init__(self, held: engine_standin.Engine) -> None:
        self.engine = held
        self._server = _http_server.Server(self._handle)
        held.on_crash = self._crash
        held.on_silence = self._server.silence
        self._views: dict[tuple[str, str], _View] = {
            ("POST", engine_wire.COMPLETION_PATH): functools.partial(self._complete, chat=False),
            ("POST", engine_wire.CHAT_PATH): functools.partial(self._complete, chat=True),
            ("GET", "/v1/load"): self._load,
            ("GET", "/v1/models"): self._models,
            ("GET", "/v1/cache/events"): self._cache_events,
            ("POST", "/v1/orders"): self._order,
            ("PUT", "/v1/switches"): self._switch,
            ("GET", "/v1/counters"): self._counters,
        }

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the engine and serve until cancelled; reports the bound ``IP:port``."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.engine.run)
            task_status.started(await nursery.start(self._server.serve, address))

    def _crash(self) -> None:
        self._server.crash(self.engine.switches.restart_s)

    async def _handle(self, req: _http_server.Exchange) -> None:
        view = self._views.get((req.method, req.path))
        if view is None and req.method == "DELETE" and req.path.startswith(STREAMS_PREFIX):
            view = self._cancel
        if view is None:
            await req.answer(404, engine_wire.error("not_found", req.path))
            return
        if view not in (self._switch, self._counters):
            await self.engine.thawed()
        try:
            await view(req)
        except engine_standin.RefusedError as exc:
            await req.answer(exc.status, engine_wire.error(exc.code, str(exc)))
        except (msgspec.MsgspecError, ValueError) as exc:
            await req.answer(400, engine_wire.error("bad_request", str(exc)))
        except engine_standin.DownError as exc:
            raise _http_server.BrokenOffError from exc

    async def _complete(self, req: _http_server.Exchange, *, chat: bool) -> None:
        completion = engine_wire.decode(req.body)
        resume_from = int(req.headers.get(engine.RESUME_HEADER, "0"))
        stream_id = req.headers.get(engine.STREAM_ID_HEADER, "")
        sequence = self.engine.submit(stream_id, completion, resume_from)
        try:
            if completion.stream:
                await self._stream(req, sequence, chat=chat)
            else:
                await self._whole(req, sequence, chat=chat)
        finally:
            self.engine.abandon(sequence)

    async def _whole(
        self, req: _http_server.Exchange, sequence: engine_model.Sequence, *, chat: bool
    ) -> None:
        await _reading.wait(sequence, sequence.end + 1)
        if sequence.state is engine_model.State.CANCELLED:
            await req.answer(499, engine_wire.error("cancelled", "cancelled"))
            return
        if sequence.state is engine_model.State.BROKEN:
            raise _http_server.BrokenOffError
        body = _reading.whole_answer(sequence, chat=chat)
        if sequence.state is engine_model.State.TRUNCATED:
            await req.cut_short(200, body[: len(body) // 2])
            return
        await req.answer(200, body, _JSON + self._leaving())

    async def _stream(
        self, req: _http_server.Exchange, sequence: engine_model.Sequence, *, chat: bool
    ) -> None:
        await _reading.wait(sequence, 1)
        sent = len(sequence.words)
        first = _reading.events(sequence, 0, sent, chat=chat)
        await req.start(200, _EVENTS + self._leaving(), first)
        while True:
            await _reading.wait(sequence, sent + 1)
            count = len(sequence.words)
            if count == sent:
                break
            await req.chunk(_reading.events(sequence, sent, count, chat=chat))
            sent = count
        if sequence.state is engine_model.State.BROKEN:
            raise _http_server.BrokenOffError
        done = sequence.state is engine_model.State.DONE
        await req.end(engine.END_MARKER if done else b"")

    def _leaving(self) -> _http_server.Headers:
        return ((LEAVING_HEADER, "1"),) if self.engine.switches.leaving else ()

    async def _cancel(self, req: _http_server.Exchange) -> None:
        cancelled = self.engine.cancel(req.path.removeprefix(STREAMS_PREFIX))
        await req.answer(200, msgspec.json.encode(cancelled))

    async def _load(self, req: _http_server.Exchange) -> None:
        await req.answer(200, msgspec.json.encode(self.engine.load()))

    async def _models(self, req: _http_server.Exchange) -> None:
        await req.answer(200, msgspec.json.encode(self.engine.state()))

    async def _cache_events(self, req: _http_server.Exchange) -> None:
        events = self.engine.cache_events(int(req.query.get("after", "0")))
        await req.answer(200, msgspec.json.encode(events))

    async def _order(self, req: _http_server.Exchange) -> None:
        state = await self.engine.order(msgspec.json.decode(req.body, type=engine.Order))
        await req.answer(200, msgspec.json.encode(state))

    async def _switch(self, req: _http_server.Exchange) -> None:
        switches = msgspec.json.decode(req.body, type=engine_standin.Switches)
        await req.answer(200, msgspec.json.encode(switches))
        self.engine.switch(switches)

    async def _counters(self, req: _http_server.Exchange) -> None:
        await req.answer(200, msgspec.json.encode(self.engine.counters()))
