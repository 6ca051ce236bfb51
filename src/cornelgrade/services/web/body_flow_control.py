"""Flow control for uploads: limits the received bytes that the application has not read yet.

Quart itself buffers a request body as fast as the network delivers it.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import quart
import trio

MAX_UNREAD_BYTES = 256_000
_SCOPE_KEY = "cornelgrade.body_gate"

Receive = Callable[[], Awaitable[Any]]
AsgiApp = Callable[[Any, Receive, Callable[[Any], Awaitable[None]]], Awaitable[None]]


class _BodyReceiver:
    """Receives the events of one request and counts the body bytes not yet read."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._unread_bytes = 0
        self._space_freed = trio.Event()

    async def receive(self) -> Any:
        """Receive the next event once at most ``MAX_UNREAD_BYTES`` are unread."""
        while self._unread_bytes > MAX_UNREAD_BYTES:
            self._space_freed = trio.Event()
            await self._space_freed.wait()
        event = await self._receive()
        self._unread_bytes += len(event.get("body", b""))
        return event

    def mark_read(self, count: int) -> None:
        """Subtract ``count`` bytes that the application has read."""
        self._unread_bytes -= count
        self._space_freed.set()


class BodyFlowControl:
    """ASGI middleware that applies flow control to request bodies on one path.

    :param app: the wrapped application.
    :param path: the path of the uploads.
    """

    def __init__(self, app: AsgiApp, path: str) -> None:
        self._app = app
        self._path = path

    async def __call__(
        self, scope: Any, receive: Receive, send: Callable[[Any], Awaitable[None]]
    ) -> None:
        """Handle one ASGI connection."""
        if scope["type"] == "http" and scope["path"] == self._path:
            receiver = _BodyReceiver(receive)
            scope = {**scope, _SCOPE_KEY: receiver}
            receive = receiver.receive
        await self._app(scope, receive, send)


async def iter_body(req: quart.Request):
    """Iterate over a request's body as it arrives; reading lets more of it be received."""
    scope: dict[str, Any] = dict(req.scope)
    receiver = scope.get(_SCOPE_KEY)
    async for data in req.body:
        if receiver is not None:
            receiver.mark_read(len(data))
        yield data
