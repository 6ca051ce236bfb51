"""HTTP client of the platform's object store.

Objects of the project's own kinds hold ``{"nonce": ..., "value": ...}``, so that a writer can
distinguish its own write from another's; objects of the platform's kinds are returned unchanged.
"""

import urllib.parse
from typing import TypeVar

import msgspec
import trio

from cornelgrade import logs, metrics
from cornelgrade.adapters import conditional_writes, engine, http1, platform
from cornelgrade.platform import foreign_json
from cornelgrade.policy import settle

CONNECT_TIMEOUT_S = 0.5
# Twice the store's largest page.
MAX_RESPONSE_BYTES = 8_000_000
_MS_PER_S = 1000
_PEER = "store"
# Depths of the fields of an object: alone, in a page and in the events of a watch.
_OBJECT_PART_DEPTH = 2
_PAGE_PART_DEPTH = 4
_EVENTS_PART_DEPTH = 5
_SUCCESS_STATUSES = frozenset((200, 201, 202, 204))
_log = logs.Logger("store")
_Query = dict[str, str]
T = TypeVar("T")


class _Metadata(msgspec.Struct):
    name: str
    # The revision of the last change, which conditional calls compare.
    revision: int = 0
    # The revision of the creation.
    made: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    # Whether there are objects after the last name of this page.
    more: bool = False
    # The store's revision when the page was read, from which a watch can continue.
    at: int = 0


class _Event(msgspec.Struct):
    object: msgspec.Raw
    gone: bool = False


class _Events(msgspec.Struct):
    events: list[_Event] = []
    at: int = 0


class _OwnSpec(msgspec.Struct, forbid_unknown_fields=True):
    nonce: str
    value: msgspec.Raw


class _NewMetadata(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int = 0


class _NewObject(msgspec.Struct):
    metadata: _NewMetadata
    spec: _OwnSpec


class _NewStatus(msgspec.Struct):
    status: msgspec.Raw


class ObjectStore(conditional_writes.ConditionalWriteClient):
    """Implements :class:`cornelgrade.adapters.platform.Platform` on the platform's store.

    Every call opens a new connection: calls are rare, and a half-open connection then fails one
    call at most.

    :param address: ``IP:port``.
    :param deadline_s: timeout of a call; a watch adds its ``wait_s``.
    """

    def __init__(self, address: str, *, deadline_s: float = 2.0) -> None:
        self._address = address
        self._deadline_s = deadline_s
        super().__init__(deadline_s)
        self._calls_metric = metrics.counter(
            "cornelgrade_store_calls_total", "Calls to the platform's object store by step."
        )

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> platform.StoredObject | None:
        """Return one object, ``None`` if there is none."""
        query = {"stale": "1"} if allow_stale else {}
        status, raw = await self._read("get", _object_path(kind, name), query, 0.0)
        return _decode_object(kind, raw) if status != 404 else None

    async def list(
        self, kind: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[platform.StoredObject, ...]:
        """Return objects whose names start with ``prefix`` and sort after ``after``."""
        objects, _ = await self._read_pages(kind, after, limit)
        return tuple(s for s in objects if s.name.startswith(prefix))[:limit]

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Wait for changes since ``after``; with 0, return all current objects at once."""
        if not after:
            objects, at = await self._read_pages(kind, "", None)
            return platform.Changes(at, tuple(s for s in objects if s.name.startswith(prefix)))
        query = {"watch": str(after), "waitMs": str(int(wait_s * _MS_PER_S))}
        status, raw = await self._read("watch", _object_path(kind), query, wait_s)
        if status == 410:
            return platform.Changes(after, reset=True)
        events = _decode_response(raw, _Events, _EVENTS_PART_DEPTH)
        latest: dict[str, tuple[bool, platform.StoredObject]] = {}
        for event in events.events:
            stored = _decode_object(kind, event.object)
            if stored is not None and stored.name.startswith(prefix):
                latest[stored.name] = (event.gone, stored)
        return platform.Changes(
            version=events.at,
            items=tuple(stored for gone, stored in latest.values() if not gone),
            deleted=tuple(name for name, (gone, _) in latest.items() if gone),
        )

    async def vms(self) -> tuple[platform.Vm, ...]:
        """Return an empty tuple: this platform has no list of VMs."""
        return ()

    async def put_status(self, kind: str, name: str, value: bytes) -> None:
        """Replace the status of an object of one of the platform's kinds.

        :raises UnavailableError: if the status may not have been written.
        """
        body = msgspec.json.encode(_NewStatus(msgspec.Raw(value)))
        path = f"{_object_path(kind, name)}/status"
        with trio.move_on_after(self._deadline_s):
            status, _ = await self._call("status", "PUT", path, body)
            if status in _SUCCESS_STATUSES:
                return
            raise platform.UnavailableError(f"status {status}", step="status")
        raise platform.UnavailableError("no answer in time", step="status", outcome_unknown=True)

    async def send(self, pending: conditional_writes.ConditionalWrite) -> platform.StoredObject:
        """Send a write once; see :class:`conditional_writes.WriteSender`."""
        method, target, body = _encode_write(pending)
        try:
            status, raw = await self._call(pending.step, method, target, body)
        except platform.UnavailableError as exc:
            if exc.outcome_unknown:
                raise conditional_writes.LostResponseError from exc
            raise
        if status in _SUCCESS_STATUSES:
            return _decode_object(pending.kind, raw) or pending.to_object(0)
        if status == 409:
            raise conditional_writes.FailedConditionError(_decode_object(pending.kind, raw))
        if status == 404 and pending.write is settle.Write.DELETE:
            return pending.to_object(0)
        if status == 404:
            raise conditional_writes.FailedConditionError(None)
        if status == 413:
            raise platform.TooLargeError(pending.name, step=pending.step, peer=_PEER)
        raise platform.UnavailableError(f"status {status}", step=pending.step)

    async def _read_pages(
        self, kind: str, after: str, limit: int | None
    ) -> tuple[tuple[platform.StoredObject, ...], int]:
        """Read pages up to ``limit`` objects; return them with the revision of the first page.

        A watch from that revision includes all changes made while the later pages were read.
        """
        objects: tuple[platform.StoredObject, ...] = ()
        first_revision: int | None = None
        while True:
            query = {"after": after} if after else {}
            _, raw = await self._read("list", _object_path(kind), query, 0.0)
            page = _decode_response(raw, _Page, _PAGE_PART_DEPTH)
            first_revision = page.at if first_revision is None else first_revision
            items = tuple(s for item in page.items if (s := _decode_object(kind, item)))
            objects += items
            if not page.more or not items or (limit is not None and len(objects) >= limit):
                return objects, first_revision
            after = items[-1].name

    async def _read(
        self, step: str, path: str, query: _Query, extra_timeout_s: float
    ) -> tuple[int, bytes]:
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        with trio.move_on_after(self._deadline_s + extra_timeout_s):
            try:
                status, raw = await self._call(step, "GET", target, b"")
            except platform.UnavailableError as exc:
                # A read has no effect, so its outcome is never unknown.
                raise platform.UnavailableError(exc.message, step=step) from exc
            if status in (200, 404, 410):
                return status, raw
            raise platform.UnavailableError(f"status {status}", step=step)
        raise platform.UnavailableError("no answer in time", step=step)

    async def _call(self, step: str, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        """Make one call.

        :raises UnavailableError: if there was no response.
        """
        headers = ((b"host", self._address.encode()), (b"content-type", b"application/json"))
        self._calls_metric.inc({"step": step})
        try:
            with await http1.connect(self._address, CONNECT_TIMEOUT_S) as channel:
                await channel.send(method, target.encode(), headers, body)
                head = await channel.read_head()
                return head.status, await channel.read_body(MAX_RESPONSE_BYTES)
        except engine.CallError as exc:
            sent = exc.progress is not engine.Progress.NOT_SENT
            raise platform.UnavailableError(
                exc.format_message(), step=step, outcome_unknown=sent
            ) from exc


def _object_path(kind: str, name: str = "") -> str:
    parts = ["objects", kind, name] if name else ["objects", kind]
    return "/" + "/".join(urllib.parse.quote(part, safe="") for part in parts)


def _encode_write(pending: conditional_writes.ConditionalWrite) -> tuple[str, str, bytes]:
    """Return method, target and body of a write."""
    if pending.write is settle.Write.DELETE:
        return (
            "DELETE",
            f"{_object_path(pending.kind, pending.name)}?revision={pending.version}",
            b"",
        )
    own = _OwnSpec(pending.nonce, msgspec.Raw(pending.value))
    body = msgspec.json.encode(_NewObject(_NewMetadata(pending.name, pending.version), own))
    if pending.write is settle.Write.CREATE:
        return "POST", _object_path(pending.kind), body
    return "PUT", _object_path(pending.kind, pending.name), body


def _decode_response(raw: bytes, kind: type[T], part_depth: int = _PAGE_PART_DEPTH) -> T:
    """Decode a response, to which other clients may have contributed what can't be decoded.

    :raises UnavailableError: if it is invalid even without such parts.
    """
    try:
        return foreign_json.decode(raw, kind, part_depth=part_depth)
    except msgspec.DecodeError as exc:
        raise platform.UnavailableError(f"invalid response: {exc}", step="decode") from exc


def _decode_object(kind: str, raw: bytes | msgspec.Raw) -> platform.StoredObject | None:
    """Decode one object, ``None`` if another client wrote one without a readable name."""
    try:
        obj = foreign_json.decode(raw, _Object, part_depth=_OBJECT_PART_DEPTH)
    except msgspec.DecodeError as exc:
        _log.warning("object_invalid", kind=kind, error=repr(exc))
        return None
    meta = obj.metadata
    nonce, value = _unwrap_spec(obj.spec)
    return platform.StoredObject(kind, meta.name, meta.revision, value, nonce, meta.made)


def _unwrap_spec(spec: msgspec.Raw) -> tuple[str, bytes]:
    """Return nonce and value of a project object; for other specs no nonce and the spec itself."""
    try:
        own = msgspec.json.decode(spec, type=_OwnSpec)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return "", bytes(spec)
    return own.nonce, bytes(own.value)
