"""The platform's object API over HTTP: the client and the bodies on the wire.

``GET|PUT|DELETE /v1/objects/KIND/NAME`` with ``ETag``, ``If-None-Match: *``, ``If-Match`` and
``Writer-Nonce``, and ``Created-Version`` in answers; ``GET /v1/objects/KIND``;
``GET /v1/watch/KIND``; ``GET /v1/vms``.
"""

import dataclasses
import urllib.parse
from types import TracebackType

import httpx
import msgspec
import trio

from cornelgrade.adapters import platform, settled_writes
from cornelgrade.policy import settle

NONCE_HEADER = "writer-nonce"
CREATED_HEADER = "created-version"
_PEER = "platform"
_CONNECTIONS = httpx.Limits(max_connections=200, max_keepalive_connections=20)
_Query = dict[str, str | int | float]
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class WireStored(msgspec.Struct, frozen=True):
    """An object in a list or a watch; the value is base64 in JSON."""

    name: str
    version: int
    value: bytes
    nonce: str = ""
    created: int = 0


class WireChanges(msgspec.Struct, frozen=True):
    """The answer of a watch."""

    version: int
    items: tuple[WireStored, ...] = ()
    deleted: tuple[str, ...] = ()
    reset: bool = False


class WireVm(msgspec.Struct, frozen=True):
    """One entry of the VM list."""

    name: str
    state: platform.VmState
    failure_domain: str = ""


def etag(version: int) -> str:
    """Write a version as an entity tag."""
    return f'"{version}"'


def version_of(tag: str) -> int:
    """Read the version out of an entity tag.

    :raises ValueError: if it is not one of the platform's.
    """
    return int(tag.strip().strip('"'))


class HttpPlatform(settled_writes.SettledClient):
    """Implements :class:`cornelgrade.adapters.platform.Platform` over HTTP.

    Use it as an async context manager; it owns its connections.

    :param base_url: such as ``http://127.0.0.1:7000``.
    :param deadline_s: longest time of a call; a watch gets its ``wait_s`` on top.
    """

    def __init__(self, base_url: str, *, deadline_s: float = 2.0) -> None:
        self._deadline_s = deadline_s
        super().__init__(deadline_s)
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=None, limits=_CONNECTIONS, trust_env=False
        )

    async def __aenter__(self) -> "HttpPlatform":
        await self._client.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._client.__aexit__(exc_type, exc, traceback)

    async def get(self, kind: str, name: str) -> platform.Stored | None:
        """Read one object, ``None`` if there is none."""
        res = await self._read("get", _object_path(kind, name))
        if res.status_code == 404:
            return None
        return _stored(kind, name, res)

    async def list(
        self, kind: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[platform.Stored, ...]:
        """Read objects whose names start with ``prefix`` and sort behind ``after``."""
        query: _Query = {"prefix": prefix, "after": after, "limit": limit}
        res = await self._read("list", f"/v1/objects/{_quote(kind)}", query)
        items = msgspec.json.decode(res.content, type=tuple[WireStored, ...])
        return tuple(_from_wire(kind, item) for item in items)

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Wait until something under ``prefix`` is newer than ``after`` or ``wait_s`` is over."""
        query: _Query = {"prefix": prefix, "after": after, "wait_s": wait_s}
        res = await self._read("watch", f"/v1/watch/{_quote(kind)}", query, extra_s=wait_s)
        wire = msgspec.json.decode(res.content, type=WireChanges)
        items = tuple(_from_wire(kind, item) for item in wire.items)
        return platform.Changes(wire.version, items, wire.deleted, wire.reset)

    async def vms(self) -> tuple[platform.Vm, ...]:
        """Read the lagging list of live and leaving VMs."""
        res = await self._read("vms", "/v1/vms")
        wire = msgspec.json.decode(res.content, type=tuple[WireVm, ...])
        return tuple(platform.Vm(vm.name, vm.state, vm.failure_domain) for vm in wire)

    async def _read(
        self,
        step: str,
        path: str,
        query: _Query | None = None,
        extra_s: float = 0.0,
    ) -> httpx.Response:
        with trio.move_on_after(self._deadline_s + extra_s):
            try:
                res = await self._client.get(path, params=query)
            except httpx.TransportError as exc:
                raise platform.UnavailableError(repr(exc), step=step) from exc
            if res.status_code not in (200, 404):
                raise _refused(step, res, outcome_unknown=False)
            return res
        raise platform.UnavailableError("no answer in time", step=step)

    async def send(self, writing: settled_writes.Writing) -> platform.Stored:
        """Send a write once; see :class:`settled_writes.Sender`."""
        method = "DELETE" if writing.write is settle.Write.DELETE else "PUT"
        path = _object_path(writing.kind, writing.name)
        try:
            res = await self._client.request(
                method, path, content=writing.value, headers=_condition(writing)
            )
        except _NOT_SENT as exc:
            raise platform.UnavailableError(repr(exc), step=writing.step) from exc
        except httpx.TransportError as exc:
            raise settled_writes.LostAnswerError from exc
        if res.status_code in (200, 201, 204):
            version = version_of(res.headers.get("etag", "0"))
            return dataclasses.replace(writing.stored(version), created=_created(res))
        if res.status_code == 412:
            raise settled_writes.FailedConditionError(_found(writing, res))
        if res.status_code == 413:
            raise platform.TooLargeError(
                f"{writing.kind}/{writing.name}: {len(writing.value)} bytes",
                step=writing.step,
                peer=_PEER,
            )
        if res.status_code >= 500 and res.status_code != 503:
            raise settled_writes.LostAnswerError
        raise _refused(writing.step, res, outcome_unknown=False)


def _condition(writing: settled_writes.Writing) -> dict[str, str]:
    condition = {"if-match": etag(writing.version)} if writing.version else {"if-none-match": "*"}
    return {NONCE_HEADER: writing.nonce, **condition}


def _found(writing: settled_writes.Writing, res: httpx.Response) -> platform.Stored | None:
    """Read who wrote the version that was there, if the answer tells and it was this write."""
    tag = res.headers.get("etag")
    nonce = res.headers.get(NONCE_HEADER, "")
    if not tag or nonce != writing.nonce:
        return None
    version = version_of(tag)
    return platform.Stored(writing.kind, writing.name, version, writing.value, nonce, _created(res))


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{_quote(kind)}/{urllib.parse.quote(name, safe='/')}"


def _from_wire(kind: str, item: WireStored) -> platform.Stored:
    return platform.Stored(kind, item.name, item.version, item.value, item.nonce, item.created)


def _stored(kind: str, name: str, res: httpx.Response) -> platform.Stored:
    nonce = res.headers.get(NONCE_HEADER, "")
    version = version_of(res.headers["etag"])
    return platform.Stored(kind, name, version, res.content, nonce, _created(res))


def _created(res: httpx.Response) -> int:
    return int(res.headers.get(CREATED_HEADER, "0"))


def _refused(step: str, res: httpx.Response, *, outcome_unknown: bool) -> platform.UnavailableError:
    after = res.headers.get("retry-after")
    return platform.UnavailableError(
        f"status {res.status_code}",
        step=step,
        outcome_unknown=outcome_unknown,
        retry_after_s=float(after) if after else None,
    )
