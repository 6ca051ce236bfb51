"""HTTP server of the engine stand-in; ``adapters.engine`` defines the wire protocol."""

import functools
from collections.abc import Awaitable, Callable

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import _http_server, _responses, engine_model, engine_wire
from cornelgrade.standins import engine as engine_standin

LEAVING_HEADER = "engine-leaving"
STREAMS_PREFIX = "/v1/streams/"
_EVENT_STREAM_HEADERS = (("content-type", "text/event-stream"),)
_JSON_HEADERS = (("content-type", "application/json"),)
_View = Callable[[_http_server.Exchange], Awaitable[None]]


class EngineServer:
    """Serves one engine stand-in over HTTP.

    :param standin: the engine; :meth:`serve` runs it.
    """

    def __init__(self, standin: engine_standin.Engine) -> None:
        self.engine = standin
        self._server = _http_server.Server(self._handle)
        standin.on_crash = self._crash
        standin.on_silence = self._server.silence
        self._views: dict[tuple[str, str], _View] = {
            ("POST", engine_wire.COMPLETION_PATH): functools.partial(
                self._handle_completion, chat=False
            ),
            ("POST", engine_wire.CHAT_PATH): functools.partial(self._handle_completion, chat=True),
            ("GET", "/v1/load"): self._get_load,
            ("GET", "/v1/models"): self._get_models,
            ("GET", "/v1/cache/events"): self._get_cache_events,
            ("POST", "/v1/orders"): self._apply_order,
            ("PUT", "/v1/switches"): self._set_switches,
            ("GET", "/v1/counters"): self._get_counters,
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
            view = self._cancel_stream
        if view is None:
            await req.respond(404, engine_wire.encode_error("not_found", req.path))
            return
        if view not in (self._set_switches, self._get_counters):
            await self.engine.wait_until_unfrozen()
        try:
            await view(req)
        except engine_standin.RefusedError as exc:
            await req.respond(exc.status, engine_wire.encode_error(exc.code, str(exc)))
        except (msgspec.MsgspecError, ValueError) as exc:
            await req.respond(400, engine_wire.encode_error("bad_request", str(exc)))
        except engine_standin.DownError as exc:
            raise _http_server.AbortConnectionError from exc

    async def _handle_completion(self, req: _http_server.Exchange, *, chat: bool) -> None:
        completion = engine_wire.decode_completion(req.body)
        resume_from = int(req.headers.get(engine.RESUME_HEADER, "0"))
        stream_id = req.headers.get(engine.STREAM_ID_HEADER, "")
        sequence = self.engine.submit(stream_id, completion, resume_from)
        try:
            if completion.stream:
                await self._send_stream(req, sequence, chat=chat)
            else:
                await self._send_response(req, sequence, chat=chat)
        finally:
            self.engine.abandon(sequence)

    async def _send_response(
        self, req: _http_server.Exchange, sequence: engine_model.Sequence, *, chat: bool
    ) -> None:
        await _responses.wait_for_tokens(sequence, sequence.end + 1)
        if sequence.state is engine_model.State.CANCELLED:
            await req.respond(499, engine_wire.encode_error("cancelled", "cancelled"))
            return
        if sequence.state is engine_model.State.BROKEN:
            raise _http_server.AbortConnectionError
        body = _responses.encode_response(sequence, chat=chat)
        if sequence.state is engine_model.State.TRUNCATED:
            await req.send_truncated(200, body[: len(body) // 2])
            return
        headers = _JSON_HEADERS + self._headers()
        if not self.engine.cfg.unframed:
            await req.respond(200, body, headers)
            return
        req.omit_framing()
        middle = len(body) // 2
        await req.start_response(200, headers, body[:middle])
        await req.end_response(body[middle:])

    async def _send_stream(
        self, req: _http_server.Exchange, sequence: engine_model.Sequence, *, chat: bool
    ) -> None:
        await _responses.wait_for_tokens(sequence, 1)
        sent = len(sequence.words)
        first = _responses.encode_events(sequence, 0, sent, chat=chat)
        if self.engine.cfg.unframed:
            req.omit_framing()
        await req.start_response(200, _EVENT_STREAM_HEADERS + self._headers(), first)
        while True:
            await _responses.wait_for_tokens(sequence, sent + 1)
            count = len(sequence.words)
            if count == sent:
                break
            await req.send_chunk(_responses.encode_events(sequence, sent, count, chat=chat))
            sent = count
        if sequence.state is engine_model.State.BROKEN:
            raise _http_server.AbortConnectionError
        done = sequence.state is engine_model.State.DONE
        await req.end_response(engine.END_MARKER if done else b"")

    def _headers(self) -> _http_server.Headers:
        leaving = ((LEAVING_HEADER, "1"),) if self.engine.switches.leaving else ()
        return self.engine.headers() + leaving

    async def _cancel_stream(self, req: _http_server.Exchange) -> None:
        cancelled = self.engine.cancel(req.path.removeprefix(STREAMS_PREFIX))
        await req.respond(200, msgspec.json.encode(cancelled))

    async def _get_load(self, req: _http_server.Exchange) -> None:
        body = msgspec.json.encode(self.engine.load())
        await req.respond(200, body, _JSON_HEADERS + self.engine.headers())

    async def _get_models(self, req: _http_server.Exchange) -> None:
        await req.respond(200, msgspec.json.encode(self.engine.state()))

    async def _get_cache_events(self, req: _http_server.Exchange) -> None:
        events = self.engine.cache_events(int(req.query.get("after", "0")))
        await req.respond(200, msgspec.json.encode(events))

    async def _apply_order(self, req: _http_server.Exchange) -> None:
        state = await self.engine.order(msgspec.json.decode(req.body, type=engine.Order))
        await req.respond(200, msgspec.json.encode(state))

    async def _set_switches(self, req: _http_server.Exchange) -> None:
        switches = msgspec.json.decode(req.body, type=engine_standin.Switches)
        await req.respond(200, msgspec.json.encode(switches))
        self.engine.switch(switches)

    async def _get_counters(self, req: _http_server.Exchange) -> None:
        await req.respond(200, msgspec.json.encode(self.engine.counters()))
