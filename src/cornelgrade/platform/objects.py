"""The client of the platform's object store: :class:`adapters.platform.Platform` over HTTP.

Objects of the project's own kinds hold ``{"nonce": ..., "value": ...}``, so that a writer can tell
its own write from another's; those of the platform's kinds are handed out as they are.
"""

import urllib.parse
from typing import TypeVar

import msgspec
import trio

from cornelgrade import logs, metrics
from cornelgrade.adapters import engine, http1, platform, settled_writes
from cornelgrade.policy import settle

CONNECT_TIMEOUT_S = 0.5
# Two pages of the store's largest size.
ANSWER_LIMIT_BYTES = 8_000_000
_MS_PER_S = 1000
_PEER = "store"
_OK = frozenset((200, 201, 202, 204))
_log = logs.Logger("store")
_Query = dict[str, str]
T = TypeVar("T")


class _Metadata(msgspec.Struct):
    name: str
    # The revision of the last change; conditional calls name it.
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
    # Whether another page follows behind the last name.
    more: bool = False
    # The store's revision; a watch continues from it.
    at: int = 0


class _Event(msgspec.Struct):
    object: msgspec.Raw
    gone: bool = False


class _Events(msgspec.Struct):
    events: list[_Event] = []
    at: int = 0


class _Own(msgspec.Struct, forbid_unknown_fields=True):
    nonce: str
    value: msgspec.Raw


class _NewMetadata(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int = 0


class _NewObject(msgspec.Struct):
    metadata: _NewMetadata
    spec: _Own


class _NewStatus(msgspec.Struct):
    status: msgspec.Raw


class Objects(settled_writes.SettledClient):
    """Implements :class:`cornelgrade.adapters.platform.Platform` on the platform's store.

    Every call uses a connection of its own: calls are few, and a connection that has silently died
    then costs one call at the most.

    :param address: ``IP:port``.
    :param deadline_s: longest time of a call; a watch gets its ``wait_s`` on top.
    """

    def __init__(self, address: str, *, deadline_s: float = 2.0) -> None:
        self._address = address
        self._deadline_s = deadline_s
        super().__init__(deadline_s)
        self._calls = metrics.counter(
            "cornelgrade_store_calls_total", "Calls to the platform's object store by step."
        )

    async def get(self, kind: str, name: str) -> platform.Stored | None:
        """Read one object, ``None`` if there is none."""
        status, raw = await self._read("get", _path(kind, name), {}, 0.0)
        return _stored(kind, raw) if status != 404 else None

    async def list(
        self, kind: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[platform.Stored, ...]:
        """Read objects whose names start with ``prefix`` and sort behind ``after``."""
        found, _ = await self._pages(kind, after, limit)
        return tuple(s for s in found if s.name.startswith(prefix))[:limit]

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Wait for changes behind ``after``; with 0, give all objects that there are now."""
        if not after:
            found, at = await self._pages(kind, "", None)
            return platform.Changes(at, tuple(s for s in found if s.name.startswith(prefix)))
        query = {"watch": str(after), "waitMs": str(int(wait_s * _MS_PER_S))}
        status, raw = await self._read("watch", _path(kind), query, wait_s)
        if status == 410:
            return platform.Changes(after, reset=True)
        events = _decoded(raw, _Events)
        latest: dict[str, tuple[bool, platform.Stored]] = {}
        for event in events.events:
            stored = _stored(kind, event.object)
            if stored is not None and stored.name.startswith(prefix):
                latest[stored.name] = (event.gone, stored)
        return platform.Changes(
            version=events.at,
            items=tuple(stored for gone, stored in latest.values() if not gone),
            deleted=tuple(name for name, (gone, _) in latest.items() if gone),
        )

    async def vms(self) -> tuple[platform.Vm, ...]:
        """Give no VMs: this platform keeps no list of them."""
        return ()

    async def put_status(self, kind: str, name: str, value: bytes) -> None:
        """Replace the status of an object of the platform's own.

        :raises UnavailableError: if it may not have been written.
        """
        body = msgspec.json.encode(_NewStatus(msgspec.Raw(value)))
        path = f"{_path(kind, name)}/status"
        with trio.move_on_after(self._deadline_s):
            status, _ = await self._call("status", "PUT", path, body)
            if status in _OK:
                return
            raise platform.UnavailableError(f"status {status}", step="status")
        raise platform.UnavailableError("no answer in time", step="status", outcome_unknown=True)

    async def send(self, writing: settled_writes.Writing) -> platform.Stored:
        """Send a write once; see :class:`settled_writes.Sender`."""
        method, target, body = _written(writing)
        try:
            status, raw = await self._call(writing.step, method, target, body)
        except platform.UnavailableError as exc:
            if exc.outcome_unknown:
                raise settled_writes.LostAnswerError from exc
            raise
        if status in _OK:
            return _stored(writing.kind, raw) or writing.stored(0)
        if status == 409:
            raise settled_writes.FailedConditionError(_stored(writing.kind, raw))
        if status == 404 and writing.write is settle.Write.DELETE:
            return writing.stored(0)
        if status == 404:
            raise settled_writes.FailedConditionError(None)
        if status == 413:
            raise platform.TooLargeError(writing.name, step=writing.step, peer=_PEER)
        raise platform.UnavailableError(f"status {status}", step=writing.step)

    async def _pages(
        self, kind: str, after: str, limit: int | None
    ) -> tuple[tuple[platform.Stored, ...], int]:
        """Read pages until the last one or ``limit``; changes since the first are watched for."""
        found: tuple[platform.Stored, ...] = ()
        first_at: int | None = None
        while True:
            query = {"after": after} if after else {}
            _, raw = await self._read("list", _path(kind), query, 0.0)
            page = _decoded(raw, _Page)
            first_at = page.at if first_at is None else first_at
            items = tuple(s for item in page.items if (s := _stored(kind, item)))
            found += items
            if not page.more or not items or (limit is not None and len(found) >= limit):
                return found, first_at
            after = items[-1].name

    async def _read(self, step: str, path: str, query: _Query, extra_s: float) -> tuple[int, bytes]:
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        with trio.move_on_after(self._deadline_s + extra_s):
            try:
                status, raw = await self._call(step, "GET", target, b"")
            except platform.UnavailableError as exc:
                # A read changes nothing, so its outcome is never unknown.
                raise platform.UnavailableError(exc.message, step=step) from exc
            if status in (200, 404, 410):
                return status, raw
            raise platform.UnavailableError(f"status {status}", step=step)
        raise platform.UnavailableError("no answer in time", step=step)

    async def _call(self, step: str, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        """Make one call.

        :raises UnavailableError: if no answer came.
        """
        headers = ((b"host", self._address.encode()), (b"content-type", b"application/json"))
        self._calls.inc({"step": step})
        try:
            with await http1.connect(self._address, CONNECT_TIMEOUT_S) as channel:
                await channel.send(method, target.encode(), headers, body)
                head = await channel.head()
                return head.status, await channel.whole(ANSWER_LIMIT_BYTES)
        except engine.CallError as exc:
            sent = exc.progress is not engine.Progress.NOT_SENT
            raise platform.UnavailableError(
                exc.format_message(), step=step, outcome_unknown=sent
            ) from exc


def _path(kind: str, name: str = "") -> str:
    parts = ["objects", kind, name] if name else ["objects", kind]
    return "/" + "/".join(urllib.parse.quote(part, safe="") for part in parts)


def _written(writing: settled_writes.Writing) -> tuple[str, str, bytes]:
    """Give method, target and body of a write."""
    if writing.write is settle.Write.DELETE:
        return "DELETE", f"{_path(writing.kind, writing.name)}?revision={writing.version}", b""
    own = _Own(writing.nonce, msgspec.Raw(writing.value))
    body = msgspec.json.encode(_NewObject(_NewMetadata(writing.name, writing.version), own))
    if writing.write is settle.Write.CREATE:
        return "POST", _path(writing.kind), body
    return "PUT", _path(writing.kind, writing.name), body


def _decoded(raw: bytes, kind: type[T]) -> T:
    """Decode an answer; bytes of a foreign writer that are no text may stand in it.

    :raises UnavailableError: if it can't be read even so.
    """
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        _log.warning("answer_repaired", error=repr(exc))
    try:
        return msgspec.json.decode(raw.decode(errors="replace"), type=kind)
    except msgspec.DecodeError as exc:
        raise platform.UnavailableError(f"unreadable answer: {exc}", step="decode") from exc


def _stored(kind: str, raw: bytes | msgspec.Raw) -> platform.Stored | None:
    """Read one object, ``None`` if another writer left something that isn't one."""
    try:
        obj = msgspec.json.decode(raw, type=_Object)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        _log.warning("object_unreadable", kind=kind, error=repr(exc))
        return None
    meta = obj.metadata
    nonce, value = _unwrapped(obj.spec)
    return platform.Stored(kind, meta.name, meta.revision, value, nonce, meta.made)


def _unwrapped(spec: msgspec.Raw) -> tuple[str, bytes]:
    """Give nonce and value of an object of the project's own, or what is there."""
    try:
        own = msgspec.json.decode(spec, type=_Own)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return "", bytes(spec)
    return own.nonce, bytes(own.value)
