"""HTTP server for the platform's object store, for tests with separate processes.

Stores an object's spec as its value in a :class:`platform_store.MemoryPlatform`, whose switches
inject faults.
"""

import msgspec
import trio

from cornelgrade.adapters import platform
from cornelgrade.standins import _http_server, platform_store

PAGE_OBJECTS = 50
_STATUS_KIND = "status-of-{}"
_MS_PER_S = 1000.0


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0
    made: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw


class _Page(msgspec.Struct):
    items: list[_Object]
    more: bool
    at: int


class _Event(msgspec.Struct):
    object: _Object
    gone: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at: int


class StoreServer:
    """Serves one :class:`platform_store.MemoryPlatform`.

    :ivar statuses: the last written status of each object, by kind and name.
    """

    def __init__(self, store: platform_store.MemoryPlatform) -> None:
        self.store = store
        self.statuses: dict[tuple[str, str], bytes] = {}
        self._server = _http_server.Server(self._handle)

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the bound ``IP:port``."""
        await self._server.serve(address, task_status)

    async def _handle(self, req: _http_server.Exchange) -> None:
        handlers = {
            "GET": self._get,
            "POST": self._create,
            "PUT": self._update,
            "DELETE": self._delete,
        }
        kind, name, part = ([*req.path.split("/")[2:], "", ""])[:3]
        try:
            if part == "status":
                self.statuses[kind, name] = req.body
                status, body = 200, b"{}"
            else:
                status, body = await handlers[req.method](req, kind, name)
        except platform.ConflictError as exc:
            status, body = 409, _encode(exc.current)
        except platform.UnavailableError as exc:
            if exc.outcome_unknown:
                raise _http_server.AbortConnectionError from exc
            status, body = 503, b"{}"
        await req.respond(status, body)

    async def _get(self, req: _http_server.Exchange, kind: str, name: str) -> tuple[int, bytes]:
        if name:
            found = await self.store.get(kind, name)
            return (200, _encode(found)) if found else (404, b"{}")
        if "watch" in req.query:
            return await self._watch(req, kind)
        after = req.query.get("after", "")
        # Read before listing: a watch from here may repeat a change, but never misses one.
        at = self.store.version
        items = await self.store.list(kind, after=after, limit=PAGE_OBJECTS + 1)
        items_on_page = [_to_wire(stored) for stored in items[:PAGE_OBJECTS]]
        page = _Page(items_on_page, len(items) > PAGE_OBJECTS, at)
        return 200, msgspec.json.encode(page)

    async def _watch(self, req: _http_server.Exchange, kind: str) -> tuple[int, bytes]:
        wait_s = float(req.query.get("waitMs", "0")) / _MS_PER_S
        changes = await self.store.watch(kind, after=int(req.query["watch"]), wait_s=wait_s)
        if changes.reset:
            return 410, b"{}"
        gone = [_Event(_Object(_Metadata(n), msgspec.Raw(b"null")), True) for n in changes.deleted]
        events = [_Event(_to_wire(stored)) for stored in changes.items]
        return 200, msgspec.json.encode(_Events(events + gone, changes.version))

    async def _create(self, req: _http_server.Exchange, kind: str, _: str) -> tuple[int, bytes]:
        obj = msgspec.json.decode(req.body, type=_Object)
        return 200, _encode(await self.store.create(kind, obj.metadata.name, bytes(obj.spec)))

    async def _update(self, req: _http_server.Exchange, kind: str, name: str) -> tuple[int, bytes]:
        obj = msgspec.json.decode(req.body, type=_Object)
        version = obj.metadata.revision
        return 200, _encode(await self.store.update(kind, name, bytes(obj.spec), version))

    async def _delete(self, req: _http_server.Exchange, kind: str, name: str) -> tuple[int, bytes]:
        await self.store.delete(kind, name, int(req.query["revision"]))
        return 200, b"{}"


def _to_wire(stored: platform.StoredObject) -> _Object:
    meta = _Metadata(stored.name, stored.version, stored.created)
    return _Object(meta, msgspec.Raw(stored.value))


def _encode(stored: platform.StoredObject | None) -> bytes:
    return msgspec.json.encode(_to_wire(stored)) if stored else b"{}"
