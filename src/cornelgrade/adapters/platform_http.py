"""The platform's object API over HTTP: the client and the message bodies.

``GET|PUT|DELETE /v1/objects/KIND/NAME`` with ``ETag``, ``If-None-Match: *``, ``If-Match`` and
``Writer-Nonce``, and ``Created-Version`` in responses; ``GET /v1/objects/KIND``;
``GET /v1/watch/KIND``; ``GET /v1/vms``.
"""

import urllib.parse
from types import TracebackType

import httpx
import msgspec
import trio

from cornelgrade.adapters import conditional_writes, platform
from cornelgrade.policy import settle

NONCE_HEADER = "writer-nonce"
CREATED_HEADER = "created-version"
_PEER = "platform"
_CONNECTION_LIMITS = httpx.Limits(max_connections=200, max_keepalive_connections=20)
_Query = dict[str, str | int | float]
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class WireObject(msgspec.Struct, frozen=True):
    """An object in a list or watch response; the value is base64 in JSON."""

    name: str
    version: int
    value: bytes
    nonce: str = ""
    created: int = 0


class WireChanges(msgspec.Struct, frozen=True):
    """Response body of a watch."""

    version: int
    items: tuple[WireObject, ...] = ()
    deleted: tuple[str, ...] = ()
    reset: bool = False


class WireVm(msgspec.Struct, frozen=True):
    """An entry of the VM list."""

    name: str
    state: platform.VmState
    failure_domain: str = ""


def format_etag(version: int) -> str:
    """Format a version as an entity tag."""
    return f'"{version}"'


def parse_etag(tag: str) -> int:
    """Parse the version from an entity tag.

    :raises ValueError: if the tag is not in the platform's format.
    """
    return int(tag.strip().strip('"'))


class HttpPlatform(conditional_writes.ConditionalWriteClient):
    """Implements :class:`cornelgrade.adapters.platform.Platform` over HTTP.

    Use it as an async context manager; it owns its connections.

    :param base_url: such as ``http://127.0.0.1:7000``.
    :param deadline_s: timeout of a call; a watch adds its ``wait_s``.
    """

    def __init__(self, base_url: str, *, deadline_s: float = 2.0) -> None:
        self._deadline_s = deadline_s
        super().__init__(deadline_s)
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=None, limits=_CONNECTION_LIMITS, trust_env=False
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

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> platform.StoredObject | None:
        """Return one object, ``None`` if there is none."""
        response = await self._read("get", _object_path(kind, name))
        if response.status_code == 404:
            return None
        return _decode_object(kind, name, response)

    async def list(
        self, kind: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[platform.StoredObject, ...]:
        """Return objects whose names start with ``prefix`` and sort after ``after``."""
        query: _Query = {"prefix": prefix, "after": after, "limit": limit}
        response = await self._read("list", f"/v1/objects/{_quote_segment(kind)}", query)
        items = msgspec.json.decode(response.content, type=tuple[WireObject, ...])
        return tuple(_decode_item(kind, item) for item in items)

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Wait up to ``wait_s`` for a change under ``prefix`` that is newer than ``after``."""
        query: _Query = {"prefix": prefix, "after": after, "wait_s": wait_s}
        response = await self._read(
            "watch", f"/v1/watch/{_quote_segment(kind)}", query, extra_timeout_s=wait_s
        )
        wire = msgspec.json.decode(response.content, type=WireChanges)
        items = tuple(_decode_item(kind, item) for item in wire.items)
        return platform.Changes(wire.version, items, wire.deleted, wire.reset)

    async def vms(self) -> tuple[platform.Vm, ...]:
        """Return the list of live and leaving VMs, which lags behind."""
        response = await self._read("vms", "/v1/vms")
        wire = msgspec.json.decode(response.content, type=tuple[WireVm, ...])
        return tuple(platform.Vm(vm.name, vm.state, vm.failure_domain) for vm in wire)

    async def _read(
        self,
        step: str,
        path: str,
        query: _Query | None = None,
        extra_timeout_s: float = 0.0,
    ) -> httpx.Response:
        with trio.move_on_after(self._deadline_s + extra_timeout_s):
            try:
                response = await self._client.get(path, params=query)
            except httpx.TransportError as exc:
                raise platform.UnavailableError(repr(exc), step=step) from exc
            if response.status_code not in (200, 404):
                raise _unavailable_error(step, response, outcome_unknown=False)
            return response
        raise platform.UnavailableError("no answer in time", step=step)

    async def send(self, pending: conditional_writes.ConditionalWrite) -> platform.StoredObject:
        """Send a write once; see :class:`conditional_writes.WriteSender`."""
        method = "DELETE" if pending.write is settle.Write.DELETE else "PUT"
        path = _object_path(pending.kind, pending.name)
        try:
            response = await self._client.request(
                method, path, content=pending.value, headers=_condition_headers(pending)
            )
        except _NOT_SENT_ERRORS as exc:
            raise platform.UnavailableError(repr(exc), step=pending.step) from exc
        except httpx.TransportError as exc:
            raise conditional_writes.LostResponseError from exc
        if response.status_code in (200, 201, 204):
            version = parse_etag(response.headers.get("etag", "0"))
            return msgspec.structs.replace(
                pending.to_object(version), created=_created_version(response)
            )
        if response.status_code == 412:
            raise conditional_writes.FailedConditionError(_own_write(pending, response))
        if response.status_code == 413:
            raise platform.TooLargeError(
                f"{pending.kind}/{pending.name}: {len(pending.value)} bytes",
                step=pending.step,
                peer=_PEER,
            )
        if response.status_code >= 500 and response.status_code != 503:
            raise conditional_writes.LostResponseError
        raise _unavailable_error(pending.step, response, outcome_unknown=False)


def _condition_headers(pending: conditional_writes.ConditionalWrite) -> dict[str, str]:
    precondition = (
        {"if-match": format_etag(pending.version)} if pending.version else {"if-none-match": "*"}
    )
    return {NONCE_HEADER: pending.nonce, **precondition}


def _own_write(
    pending: conditional_writes.ConditionalWrite, response: httpx.Response
) -> platform.StoredObject | None:
    """Return the object if its version was written by this very write, else ``None``.

    A write that is sent again after a lost response fails its condition in this way.
    """
    tag = response.headers.get("etag")
    nonce = response.headers.get(NONCE_HEADER, "")
    if not tag or nonce != pending.nonce:
        return None
    version = parse_etag(tag)
    return platform.StoredObject(
        pending.kind,
        pending.name,
        version,
        pending.value,
        nonce,
        _created_version(response),
    )


def _quote_segment(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{_quote_segment(kind)}/{urllib.parse.quote(name, safe='/')}"


def _decode_item(kind: str, item: WireObject) -> platform.StoredObject:
    return platform.StoredObject(
        kind, item.name, item.version, item.value, item.nonce, item.created
    )


def _decode_object(kind: str, name: str, response: httpx.Response) -> platform.StoredObject:
    nonce = response.headers.get(NONCE_HEADER, "")
    version = parse_etag(response.headers["etag"])
    return platform.StoredObject(
        kind, name, version, response.content, nonce, _created_version(response)
    )


def _created_version(response: httpx.Response) -> int:
    return int(response.headers.get(CREATED_HEADER, "0"))


def _unavailable_error(
    step: str, response: httpx.Response, *, outcome_unknown: bool
) -> platform.UnavailableError:
    after = response.headers.get("retry-after")
    return platform.UnavailableError(
        f"status {response.status_code}",
        step=step,
        outcome_unknown=outcome_unknown,
        retry_after_s=float(after) if after else None,
    )
