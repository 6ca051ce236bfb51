"""Calls to upstreams over HTTP/1.1 by httpx, with bounds on silence and typed failures."""

import contextlib
import types
from collections.abc import AsyncIterator
from typing import TypeVar

import httpx
import msgspec
import trio

from cornelgrade.adapters import engine

T = TypeVar("T")

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
IDLE_EXPIRY_S = 15.0
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
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


def _pass_on(headers: httpx.Headers) -> tuple[tuple[str, str], ...]:
    return tuple((k, v) for k, v in headers.items() if k not in _HOP_BY_HOP)


class _Connections:
    """A connection pool that closes once it is retired and its last call is over."""

    def __init__(self, base_url: str) -> None:
        limits = httpx.Limits(
            max_connections=None, max_keepalive_connections=64, keepalive_expiry=IDLE_EXPIRY_S
        )
        self.client = httpx.AsyncClient(
            base_url=base_url, timeout=_NO_TIMEOUT, limits=limits, trust_env=False
        )
        self._in_use = 0
        self._retired = False

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[httpx.AsyncClient]:
        self._in_use += 1
        try:
            yield self.client
        finally:
            self._in_use -= 1
            if self._retired and not self._in_use:
                await self._close()

    async def retire(self) -> None:
        self._retired = True
        if not self._in_use:
            await self._close()

    async def _close(self) -> None:
        with trio.CancelScope(shield=True), trio.move_on_after(CONTROL_TIMEOUT_S):
            await self.client.aclose()


class HttpAnswer:
    """An answer whose head has arrived.

    :param first_by_s: when the first chunk must be here, on the process's clock.
    :param gap_timeout_s: longest silence between two chunks.
    """

    def __init__(
        self, response: httpx.Response, peer: str, first_by_s: float, gap_timeout_s: float
    ) -> None:
        self.status = response.status_code
        self.headers = _pass_on(response.headers)
        self.silent = False
        self._response = response
        self._peer = peer
        self._first_by_s = first_by_s
        self._gap_timeout_s = gap_timeout_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Give the body as it arrives, undecoded.

        :raises CallError: ``PART_ANSWERED`` when the body breaks off or falls silent.
        """
        raw = self._response.aiter_raw().__aiter__()
        wait_by_s = self._first_by_s
        while True:
            try:
                with trio.fail_at(wait_by_s):
                    chunk = await raw.__anext__()
            except StopAsyncIteration:
                return
            except trio.TooSlowError as exc:
                self.silent = True
                raise self._broken("silent between chunks", silent=True) from exc
            except httpx.HTTPError as exc:
                raise self._broken(repr(exc), silent=False) from exc
            yield chunk
            wait_by_s = trio.current_time() + self._gap_timeout_s

    def _broken(self, message: str, *, silent: bool) -> engine.CallError:
        return engine.CallError(
            message,
            step="relay",
            peer=self._peer,
            progress=engine.Progress.PART_ANSWERED,
            silent=silent,
        )


class HttpUpstream:
    """One upstream at one address, with its own connection pool.

    The pool is replaced when a connection falls silent, so that later calls use new connections.
    """

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self._base_url = f"http://{address}"
        self._connections = _Connections(self._base_url)

    async def __aenter__(self) -> "HttpUpstream":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._connections.retire()

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call) -> AsyncIterator[HttpAnswer]:
        """Send a call and give its answer once the head has arrived.

        :raises CallError: with how far the call came.
        """
        connections = _Connections(self._base_url) if call.fresh else self._connections
        first_by_s = trio.current_time() + call.first_byte_timeout_s
        async with connections.use() as client:
            response = await self._send(client, call, first_by_s)
            answer = HttpAnswer(response, self.name, first_by_s, call.gap_timeout_s)
            try:
                yield answer
            finally:
                with trio.CancelScope(shield=True), trio.move_on_after(CONTROL_TIMEOUT_S):
                    await response.aclose()
                if answer.silent:
                    await self._replace(connections)
                if call.fresh:
                    await connections.retire()

    async def cancel(self, stream_id: str) -> engine.Cancelled:
        """Stop a running call; an engine that cannot be asked counts as knowing no such call."""
        try:
            return await self._control(engine.Cancelled, "DELETE", f"/v1/streams/{stream_id}")
        except engine.CallError:
            return engine.Cancelled(found=False)

    async def load(self) -> engine.Load:
        """Read the load report."""
        return await self._control(engine.Load, "GET", "/v1/load")

    async def state(self) -> engine.EngineState:
        """Read what the engine runs."""
        return await self._control(engine.EngineState, "GET", "/v1/models")

    async def order(self, order: engine.Order) -> engine.EngineState:
        """Give an order.

        :raises CallError: ``ANSWERED`` when the engine refuses it.
        """
        body = msgspec.json.encode(order)
        return await self._control(engine.EngineState, "POST", "/v1/orders", body)

    async def cache_events(self, after: int) -> tuple[engine.CacheEvent, ...]:
        """Read cache events later than sequence number ``after``."""
        path = f"/v1/cache/events?after={after}"
        return await self._control(tuple[engine.CacheEvent, ...], "GET", path)

    async def _replace(self, silent: _Connections) -> None:
        """Use new connections from now on; calls on the old ones go on."""
        if self._connections is silent:
            self._connections = _Connections(self._base_url)
            await silent.retire()

    async def _send(
        self, client: httpx.AsyncClient, call: engine.Call, first_by_s: float
    ) -> httpx.Response:
        headers = [*call.headers, (engine.STREAM_ID_HEADER, call.stream_id)]
        if call.resume_from:
            headers.append((engine.RESUME_HEADER, str(call.resume_from)))
        req = client.build_request(call.method, call.path, content=call.body, headers=headers)
        try:
            with trio.fail_at(first_by_s):
                return await client.send(req, stream=True)
        except _NOT_SENT as exc:
            raise self._failed("connect", repr(exc), engine.Progress.NOT_SENT) from exc
        except trio.TooSlowError as exc:
            await self._replace(self._connections)
            raise self._failed("first_token", "silent", engine.Progress.SENT, True) from exc
        except httpx.HTTPError as exc:
            raise self._failed("send", repr(exc), engine.Progress.SENT) from exc

    async def _control(self, kind: type[T], method: str, path: str, body: bytes = b"") -> T:
        """Make a small call and decode its answer; one that is no ``kind`` is a failure too."""
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                answer = await self._connections.client.request(method, path, content=body)
        except _NOT_SENT as exc:
            raise self._failed("connect", repr(exc), engine.Progress.NOT_SENT) from exc
        except (trio.TooSlowError, httpx.HTTPError) as exc:
            raise self._failed("control", repr(exc), engine.Progress.SENT) from exc
        if answer.status_code >= 400:
            raise self._failed("control", answer.text[:200], engine.Progress.ANSWERED)
        try:
            return msgspec.json.decode(answer.content, type=kind)
        except msgspec.DecodeError as exc:
            raise self._failed("control", str(exc), engine.Progress.ANSWERED) from exc

    def _failed(
        self, step: str, message: str, progress: engine.Progress, silent: bool = False
    ) -> engine.CallError:
        return engine.CallError(
            message, step=step, peer=self.name, progress=progress, silent=silent
        )
