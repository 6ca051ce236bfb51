"""Calls to upstreams over HTTP/1.1 with httpx, with timeouts on inactivity and typed failures."""

import contextlib
import itertools
import types
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

import httpx
import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.policy import response_end, response_head

T = TypeVar("T")

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
# Reports and cache events are far shorter; a longer response may never end.
MAX_CONTROL_BYTES = 4 * 1024 * 1024
# The body of any response. Whole ones are kept until their end, and a faulty upstream may send
# bytes without end.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Chunks that are read between two steps of other tasks, as many of them may arrive at once.
MAX_CHUNKS_AT_ONCE = 32
_NO_TIMEOUT = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S)
_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "date",
        "server",
    )
)
_MIN_NOT_SUCCESS_STATUS = 300
_ENDED_MESSAGE = "upstream ended with a body that only its connection ends"
_CUT_MESSAGE = "connection ended before the whole request was sent"
_FAILED_WRITES = frozenset(
    ("http11.send_request_headers.failed", "http11.send_request_body.failed")
)
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


def _drop_hop_by_hop_headers(headers: httpx.Headers) -> tuple[tuple[str, str], ...]:
    return tuple((k, v) for k, v in headers.items() if k not in _HOP_BY_HOP)


def _is_framed(response: httpx.Response) -> bool:
    """Return whether more than the end of the connection marks the end of the body."""
    if response.request.method == "HEAD" or response.status_code == httpx.codes.NO_CONTENT:
        return True
    return "content-length" in response.headers or "transfer-encoding" in response.headers


def _may_end_anywhere(response: httpx.Response) -> bool:
    """Return whether the end of the body is not checked: it is framed, or tells of a failure."""
    return _is_framed(response) or response.status_code >= _MIN_NOT_SUCCESS_STATUS


class _ConnectionPool:
    """A connection pool that can be closed once its last call has ended."""

    def __init__(self, base_url: str) -> None:
        # Each connection carries one call: on one that is used again, a late second copy of a
        # response would be taken for the response to the next call.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self.client = httpx.AsyncClient(
            base_url=base_url, timeout=_NO_TIMEOUT, limits=limits, trust_env=False
        )
        self._active_calls = 0
        self._closing = False

    @contextlib.asynccontextmanager
    async def acquire(self) -> AsyncIterator[httpx.AsyncClient]:
        self._active_calls += 1
        try:
            yield self.client
        finally:
            self._active_calls -= 1
            if self._closing and not self._active_calls:
                await self._close()

    async def close_when_idle(self) -> None:
        self._closing = True
        if not self._active_calls:
            await self._close()

    async def _close(self) -> None:
        with trio.CancelScope(shield=True), trio.move_on_after(CONTROL_TIMEOUT_S):
            await self.client.aclose()


class _Upload:
    """Whether a request was written whole.

    httpx reads the response also after a failed write, which takes a reset from the socket, so that
    the response seems to end with a close.
    """

    def __init__(self) -> None:
        self.failed = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Take an event of httpcore's trace extension."""
        self.failed = self.failed or event in _FAILED_WRITES


class HttpResponse:
    """A response whose status and headers have arrived.

    :param first_byte_deadline_s: deadline of the first chunk, on trio's clock.
    :param upload: the request that it responds to.
    :param call: the call that it responds to.
    :param is_running: asks whether the upstream still runs as the start that it is given, if any.
    """

    def __init__(
        self,
        response: httpx.Response,
        upload: _Upload,
        peer: str,
        first_byte_deadline_s: float,
        call: engine.Call,
        is_running: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.status = response.status_code
        self.headers = _drop_hop_by_hop_headers(response.headers)
        self.timed_out = False
        framed = _may_end_anywhere(response)
        content_type = response.headers.get("content-type", "")
        self._body_end = response_end.follow_json_body(content_type, framed=framed)
        self._end_marked = call.marks_end or response_end.is_end_marked(content_type, framed=framed)
        self._start = response.headers.get(engine.START_HEADER, "")
        self._is_running = is_running
        self._response = response
        self._is_cut = upload.failed and not _is_framed(response)
        self._peer = peer
        self._first_byte_deadline_s = first_byte_deadline_s
        self._gap_timeout_s = call.gap_timeout_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, undecoded.

        A body whose end only its connection marks is complete if the upstream still runs as the
        start that sent it.

        :raises CallError: with ``PART_ANSWERED`` if the body ends early, a chunk times out, or it
            is longer than :data:`MAX_RESPONSE_BYTES`.
        """
        received_bytes = 0
        raw = self._response.aiter_raw().__aiter__()
        chunk_deadline_s = self._first_byte_deadline_s
        for number in itertools.count(1):
            try:
                with trio.fail_at(chunk_deadline_s):
                    if number % MAX_CHUNKS_AT_ONCE == 0:
                        await trio.lowlevel.checkpoint()
                    chunk = await raw.__anext__()
            except StopAsyncIteration:
                if self._is_cut:
                    raise self._body_error(_CUT_MESSAGE, timed_out=False) from None
                if reason := self._body_end.find_break():
                    raise self._body_error(reason, timed_out=False) from None
                if not self._end_marked and not await self._is_running(self._start):
                    raise self._body_error(_ENDED_MESSAGE, timed_out=False) from None
                return
            except trio.TooSlowError as exc:
                self.timed_out = True
                raise self._body_error("silent between chunks", timed_out=True) from exc
            except httpx.HTTPError as exc:
                raise self._body_error(repr(exc), timed_out=False) from exc
            received_bytes += len(chunk)
            if received_bytes > MAX_RESPONSE_BYTES:
                raise self._body_error("response exceeds the size limit", timed_out=False)
            self._body_end.feed(chunk)
            yield chunk
            chunk_deadline_s = trio.current_time() + self._gap_timeout_s

    def _body_error(self, message: str, *, timed_out: bool) -> engine.CallError:
        return engine.CallError(
            message,
            step="relay",
            peer=self._peer,
            progress=engine.Progress.PART_ANSWERED,
            timed_out=timed_out,
        )


class HttpUpstream:
    """One upstream at one address, with its own connection pool.

    The pool is replaced when a connection times out, so that later calls use new connections.
    """

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self._base_url = f"http://{address}"
        self._pool = _ConnectionPool(self._base_url)

    async def __aenter__(self) -> "HttpUpstream":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._pool.close_when_idle()

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call) -> AsyncIterator[HttpResponse]:
        """Send a call and yield its response once the headers have arrived.

        :raises CallError: with the call's progress.
        """
        pool = _ConnectionPool(self._base_url) if call.new_connection else self._pool
        first_byte_deadline_s = trio.current_time() + call.first_byte_timeout_s
        async with pool.acquire() as client:
            upload = _Upload()
            raw = await self._send(client, call, upload, first_byte_deadline_s)
            response = HttpResponse(
                raw, upload, self.name, first_byte_deadline_s, call, self._is_running
            )
            try:
                yield response
            finally:
                with trio.CancelScope(shield=True), trio.move_on_after(CONTROL_TIMEOUT_S):
                    await raw.aclose()
                if response.timed_out:
                    await self._replace_pool(pool)
                if call.new_connection:
                    await pool.close_when_idle()

    async def cancel(self, stream_id: str) -> engine.Cancelled:
        """Stop a running call; an unreachable engine counts as one that has no such call."""
        try:
            return await self._call_control_api(
                engine.Cancelled, "DELETE", f"/v1/streams/{stream_id}"
            )
        except engine.CallError:
            return engine.Cancelled(found=False)

    async def load(self) -> engine.Load:
        """Read the load report."""
        return await self._call_control_api(engine.Load, "GET", "/v1/load")

    async def state(self) -> engine.EngineState:
        """Read the models and role that the engine runs."""
        return await self._call_control_api(engine.EngineState, "GET", "/v1/models")

    async def order(self, order: engine.Order) -> engine.EngineState:
        """Send an order.

        :raises CallError: with ``ANSWERED`` if the engine rejects it.
        """
        body = msgspec.json.encode(order)
        return await self._call_control_api(engine.EngineState, "POST", "/v1/orders", body)

    async def cache_events(self, after: int) -> tuple[engine.CacheEvent, ...]:
        """Read cache events later than sequence number ``after``."""
        path = f"/v1/cache/events?after={after}"
        return await self._call_control_api(tuple[engine.CacheEvent, ...], "GET", path)

    async def _is_running(self, start: str) -> bool:
        """Return whether the upstream accepts a connection and does not close it unanswered.

        A plain service has no load report; any response shows that it runs, unless it names another
        start. So does an accepted connection without one: a service that handles one call at a time
        may be busy.
        """
        try:
            response, _ = await self._request_control("GET", "/v1/load")
        except engine.CallError as exc:
            return exc.timed_out or exc.progress is engine.Progress.ANSWERED
        return not start or response.headers.get(engine.START_HEADER, start) == start

    async def _replace_pool(self, stale: _ConnectionPool) -> None:
        """Use a new pool from now on; calls on the old one continue."""
        if self._pool is stale:
            self._pool = _ConnectionPool(self._base_url)
            await stale.close_when_idle()

    async def _send(
        self,
        client: httpx.AsyncClient,
        call: engine.Call,
        upload: _Upload,
        first_byte_deadline_s: float,
    ) -> httpx.Response:
        headers = [*call.headers, (engine.STREAM_ID_HEADER, call.stream_id)]
        if call.resume_from:
            headers.append((engine.RESUME_HEADER, str(call.resume_from)))
        req = client.build_request(
            call.method,
            call.path,
            content=call.body,
            headers=headers,
            extensions={"trace": upload.trace},
        )
        try:
            with trio.fail_at(first_byte_deadline_s):
                response = await client.send(req, stream=True)
        except _NOT_SENT_ERRORS as exc:
            raise self._call_error("connect", repr(exc), engine.Progress.NOT_SENT) from exc
        except trio.TooSlowError as exc:
            await self._replace_pool(self._pool)
            raise self._call_error("first_token", "silent", engine.Progress.SENT, True) from exc
        except httpx.HTTPError as exc:
            raise self._call_error("send", repr(exc), engine.Progress.SENT) from exc
        version = response.http_version.removeprefix("HTTP/")
        parsed = [(name.lower(), value) for name, value in response.headers.raw]
        if fault := response_head.find_fault(version, response.status_code, parsed):
            await response.aclose()
            raise self._call_error("send", f"invalid response: {fault}", engine.Progress.SENT)
        return response

    async def _call_control_api(
        self, kind: type[T], method: str, path: str, body: bytes = b""
    ) -> T:
        """Make a control call and decode its response; an undecodable one is a failure too."""
        response, content = await self._request_control(method, path, body)
        if response.status_code >= 400:
            message = content[:200].decode("utf-8", "replace")
            raise self._call_error("control", message, engine.Progress.ANSWERED)
        try:
            return msgspec.json.decode(content, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            raise self._call_error("control", str(exc), engine.Progress.ANSWERED) from exc

    async def _request_control(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[httpx.Response, bytes]:
        """Return the response to a control call, whatever its status, and its body."""
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                return await self._request_bounded(method, path, body)
        except _NOT_SENT_ERRORS as exc:
            raise self._call_error("connect", repr(exc), engine.Progress.NOT_SENT) from exc
        except (trio.TooSlowError, httpx.HTTPError) as exc:
            timed_out = isinstance(exc, trio.TooSlowError)
            raise self._call_error("control", repr(exc), engine.Progress.SENT, timed_out) from exc

    async def _request_bounded(
        self, method: str, path: str, body: bytes
    ) -> tuple[httpx.Response, bytes]:
        """Return a response and its body.

        :raises CallError: if the body is longer than :data:`MAX_CONTROL_BYTES`.
        """
        received = bytearray()
        async with self._pool.client.stream(method, path, content=body) as response:
            parts = response.aiter_bytes()
            for number in itertools.count(1):
                if number % MAX_CHUNKS_AT_ONCE == 0:
                    await trio.lowlevel.checkpoint()
                part = await anext(parts, None)
                if part is None:
                    break
                received += part
                if len(received) > MAX_CONTROL_BYTES:
                    raise self._call_error(
                        "control", "response exceeds the size limit", engine.Progress.ANSWERED
                    )
        return response, bytes(received)

    def _call_error(
        self, step: str, message: str, progress: engine.Progress, timed_out: bool = False
    ) -> engine.CallError:
        return engine.CallError(
            message, step=step, peer=self.name, progress=progress, timed_out=timed_out
        )
