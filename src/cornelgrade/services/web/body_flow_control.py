"""Bounds the memory of an upload: the next part is received once earlier ones were read.

Quart itself takes in a body as fast as the network brings it.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import quart
import trio

MAX_UNREAD_BYTES = 256_000
_SCOPE_KEY = "cornelgrade.body_gate"

Receive = Callable[[], Awaitable[Any]]
AsgiApp = Callable[[Any, Receive, Callable[[Any], Awaitable[None]]], Awaitable[None]]


class _Gate:
    """Counts the bytes that were received and not yet read."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._unread = 0
        self._room = trio.Event()

    async def receive(self) -> Any:
        """Receive the next event once there is room."""
        while self._unread > MAX_UNREAD_BYTES:
            self._room = trio.Event()
            await self._room.wait()
        event = await self._receive()
        self._unread += len(event.get("body", b""))
        return event

    def read(self, count: int) -> None:
        """Make room for ``count`` bytes."""
        self._unread -= count
        self._room.set()


class BodyFlowControl:
    """ASGI middleware that gates the bodies of requests to one path.

    :param app: the application behind it.
    :param path: the path of the gated uploads.
    """

    def __init__(self, app: AsgiApp, path: str) -> None:
        self._app = app
        self._path = path

    async def __call__(
        self, scope: Any, receive: Receive, send: Callable[[Any], Awaitable[None]]
    ) -> None:
        """Pass a request on."""
        if scope["type"] == "http" and scope["path"] == self._path:
            gate = _Gate(receive)
            scope = {**scope, _SCOPE_KEY: gate}
            receive = gate.receive
        await self._app(scope, receive, send)


async def parts(req: quart.Request):
    """Give a gated request's body as it arrives."""
    scope: dict[str, Any] = dict(req.scope)
    gate = scope.get(_SCOPE_KEY)
    async for data in req.body:
        if gate is not None:
            gate.read(len(data))
        yield data
