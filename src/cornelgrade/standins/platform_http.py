"""HTTP server of the platform stand-in."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import quart
import quart_trio
import trio

from cornelgrade.adapters import platform, platform_http
from cornelgrade.standins import _quart_server, platform_store

_LOST_HEADER = "x-stand-in-lost"
_NO_RESPONSE_STATUS = 502


def _json_response(value: object, status: int = 200) -> quart.Response:
    return quart.Response(msgspec.json.encode(value), status, content_type="application/json")


async def _read_body() -> bytes:
    data = await quart.request.get_data(as_text=False)
    return data if isinstance(data, bytes) else data.encode()


def _to_wire(stored: platform.StoredObject) -> platform_http.WireObject:
    return platform_http.WireObject(
        stored.name, stored.version, stored.value, stored.nonce, stored.created
    )


def _make_object_headers(stored: platform.StoredObject) -> dict[str, str]:
    return {
        "etag": platform_http.format_etag(stored.version),
        platform_http.NONCE_HEADER: stored.nonce,
        platform_http.CREATED_HEADER: str(stored.created),
    }


class _ResponseDropper:
    """ASGI middleware that breaks the connection instead of sending a response marked as lost."""

    def __init__(self, app: Callable[..., Awaitable[None]]) -> None:
        self._app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        lost = False

        async def send_unless_lost(message: dict[str, Any]) -> None:
            nonlocal lost
            if message["type"] == "http.response.start":
                names = {name for name, _ in message["headers"]}
                lost = _LOST_HEADER.encode() in names
                if lost:
                    message = {**message, "headers": [(b"content-length", b"1")]}
            elif lost:
                return
            await send(message)

        await self._app(scope, receive, send_unless_lost)


class PlatformServer:
    """Serves a :class:`platform_store.MemoryPlatform` over HTTP.

    :param store: the object store; the caller may read it and set its switches.
    """

    def __init__(self, store: platform_store.MemoryPlatform | None = None) -> None:
        self.store = store or platform_store.MemoryPlatform(deadline_s=math.inf)
        self.app = quart_trio.QuartTrio(__name__)
        self.app.url_map.merge_slashes = False
        self._add_routes()
        self._add_error_handlers()
        self.app.asgi_app = _ResponseDropper(self.app.asgi_app)  # type: ignore[method-assign]

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the bound ``IP:port``."""
        await _quart_server.serve(self.app, address, task_status)

    def _add_routes(self) -> None:
        rules: tuple[tuple[str, str, Callable[..., Any]], ...] = (
            ("GET", "/v1/objects/<kind>/<path:name>", self._get_object),
            ("PUT", "/v1/objects/<kind>/<path:name>", self._put_object),
            ("DELETE", "/v1/objects/<kind>/<path:name>", self._delete_object),
            ("GET", "/v1/objects/<kind>", self._list_objects),
            ("GET", "/v1/watch/<kind>", self._watch_objects),
            ("GET", "/v1/vms", self._get_vms),
            ("PUT", "/v1/vms", self._set_vms),
            ("PUT", "/v1/switches", self._set_switches),
            ("GET", "/v1/counters", self._get_counters),
        )
        for method, rule, view in rules:
            self.app.add_url_rule(rule, f"{method} {rule}", view, methods=[method])

    def _add_error_handlers(self) -> None:
        self.app.register_error_handler(platform.ConflictError, self._handle_conflict)
        self.app.register_error_handler(platform.UnavailableError, self._handle_unavailable)
        self.app.register_error_handler(platform.TooLargeError, self._handle_too_large)
        self.app.register_error_handler(ValueError, self._handle_bad_request)
        self.app.register_error_handler(msgspec.ValidationError, self._handle_bad_request)

    async def _get_object(self, kind: str, name: str) -> quart.Response:
        stored = await self.store.get(kind, name)
        if stored is None:
            return quart.Response(b"", 404)
        return quart.Response(
            stored.value,
            headers=_make_object_headers(stored),
            content_type="application/octet-stream",
        )

    async def _put_object(self, kind: str, name: str) -> quart.Response:
        headers = quart.request.headers
        value = await _read_body()
        nonce = headers.get(platform_http.NONCE_HEADER, "")
        if headers.get("if-none-match") == "*":
            stored = await self.store.create(kind, name, value, nonce)
            return quart.Response(b"", 201, headers=_make_object_headers(stored))
        version = platform_http.parse_etag(headers.get("if-match", ""))
        stored = await self.store.update(kind, name, value, version, nonce)
        return quart.Response(b"", 200, headers=_make_object_headers(stored))

    async def _delete_object(self, kind: str, name: str) -> quart.Response:
        version = platform_http.parse_etag(quart.request.headers.get("if-match", ""))
        await self.store.delete(kind, name, version)
        return quart.Response(b"", 204)

    async def _list_objects(self, kind: str) -> quart.Response:
        args = quart.request.args
        stored_objects = await self.store.list(
            kind, args.get("prefix", ""), args.get("after", ""), int(args.get("limit", "100"))
        )
        return _json_response([_to_wire(stored) for stored in stored_objects])

    async def _watch_objects(self, kind: str) -> quart.Response:
        args = quart.request.args
        changes = await self.store.watch(
            kind,
            args.get("prefix", ""),
            int(args.get("after", "0")),
            float(args.get("wait_s", "30")),
        )
        items = tuple(_to_wire(stored) for stored in changes.items)
        return _json_response(
            platform_http.WireChanges(changes.version, items, changes.deleted, changes.reset)
        )

    async def _get_vms(self) -> quart.Response:
        return _json_response(await self.store.vms())

    async def _set_vms(self) -> quart.Response:
        body = await _read_body()
        self.store.set_vms(msgspec.json.decode(body, type=tuple[platform.Vm, ...]))
        return _json_response({})

    async def _set_switches(self) -> quart.Response:
        body = await _read_body()
        self.store.switch(msgspec.json.decode(body, type=platform_store.Switches))
        return _json_response(self.store.switches)

    async def _get_counters(self) -> quart.Response:
        return _json_response(dict(self.store.calls))

    async def _handle_conflict(self, exc: platform.ConflictError) -> quart.Response:
        return quart.Response(
            b"", 412, headers=_make_object_headers(exc.current) if exc.current else {}
        )

    async def _handle_unavailable(self, exc: platform.UnavailableError) -> quart.Response:
        if exc.outcome_unknown:
            return quart.Response(b"", _NO_RESPONSE_STATUS, headers={_LOST_HEADER: "1"})
        if exc.retry_after_s is not None:
            return quart.Response(b"", 429, headers={"retry-after": f"{exc.retry_after_s:.3f}"})
        return quart.Response(b"", 503)

    async def _handle_too_large(self, exc: platform.TooLargeError) -> quart.Response:
        return _json_response({"error": exc.message}, 413)

    async def _handle_bad_request(self, exc: Exception) -> quart.Response:
        return _json_response({"error": str(exc)}, 400)
