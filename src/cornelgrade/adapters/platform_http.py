"""The platform's object API over HTTP: the client and the bodies on the wire.

``GET|PUT|DELETE /v1/objects/KIND/NAME`` with ``ETag``, ``If-None-Match: *``, ``If-Match`` and
``Writer-Nonce``; ``GET /v1/objects/KIND``; ``GET /v1/watch/KIND``; ``GET /v1/vms``.
"""

import dataclasses
import secrets
import urllib.parse
from types import TracebackType

import httpx
import msgspec
import trio

from cornelgrade.adapters import platform
from cornelgrade.policy import settle

NONCE_HEADER = "writer-nonce"
RETRY_PAUSE_S = 0.05
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Writing:
    """A conditional write on its way; ``version`` is 0 for a create."""

    write: settle.Write
    kind: str
    name: str
    value: bytes
    version: int
    nonce: str

    @property
    def step(self) -> str:
        return self.write.value

    @property
    def headers(self) -> dict[str, str]:
        condition = {"if-match": etag(self.version)} if self.version else {"if-none-match": "*"}
        return {NONCE_HEADER: self.nonce, **condition}

    def stored(self, version: int) -> platform.Stored:
        return platform.Stored(self.kind, self.name, version, self.value, self.nonce)


class _LostAnswerError(Exception):
    """A request went out and its answer did not come back."""


class HttpPlatform:
    """Implements :class:`cornelgrade.adapters.platform.Platform` over HTTP.

    Use it as an async context manager; it owns its connections.

    :param base_url: such as ``http://127.0.0.1:7000``.
    :param deadline_s: longest time of a call; a watch gets its ``wait_s`` on top.
    """

    def __init__(self, base_url: str, *, deadline_s: float = 2.0) -> None:
        self._deadline_s = deadline_s
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

    async def create(self, kind: str, name: str, value: bytes, nonce: str = "") -> platform.Stored:
        """Write an object that must not be there yet; an empty nonce gets a random one."""
        return await self._write(settle.Write.CREATE, kind, name, value, 0, nonce)

    async def update(
        self, kind: str, name: str, value: bytes, version: int, nonce: str = ""
    ) -> platform.Stored:
        """Write an object that must still be at ``version``."""
        return await self._write(settle.Write.UPDATE, kind, name, value, version, nonce)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Remove an object that must still be at ``version``; one already gone is no error."""
        await self._write(settle.Write.DELETE, kind, name, b"", version, "")

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

    async def _write(
        self, write: settle.Write, kind: str, name: str, value: bytes, version: int, nonce: str
    ) -> platform.Stored:
        writing = _Writing(write, kind, name, value, version, nonce or secrets.token_hex(8))
        sent = _Sent()
        with trio.move_on_after(self._deadline_s):
            return await self._settled(writing, sent)
        raise platform.UnavailableError(
            "no answer in time", step=writing.step, outcome_unknown=sent.maybe
        )

    async def _settled(self, writing: _Writing, sent: "_Sent") -> platform.Stored:
        """Send until the outcome is known; runs under the call's deadline."""
        while True:
            try:
                return await self._send(writing, sent)
            except _LostAnswerError:
                found = await self._read_back(writing)
            verdict = settle.settle(writing.write, _compare(writing, found))
            if verdict is settle.Verdict.DONE:
                return found or writing.stored(writing.version)
            if verdict is settle.Verdict.CONFLICT:
                raise _conflict(writing, found, outcome_unknown=True)
            await trio.sleep(RETRY_PAUSE_S)

    async def _read_back(self, writing: _Writing) -> platform.Stored | None:
        while True:
            try:
                return await self.get(writing.kind, writing.name)
            except platform.UnavailableError as exc:
                await trio.sleep(exc.retry_after_s or RETRY_PAUSE_S)

    async def _send(self, writing: _Writing, sent: "_Sent") -> platform.Stored:
        """Send once.

        :raises _LostAnswerError: if the write may have taken effect.
        """
        method = "DELETE" if writing.write is settle.Write.DELETE else "PUT"
        path = _object_path(writing.kind, writing.name)
        maybe_before = sent.maybe
        sent.maybe = True
        try:
            res = await self._client.request(
                method, path, content=writing.value, headers=writing.headers
            )
        except _NOT_SENT as exc:
            sent.maybe = maybe_before
            raise platform.UnavailableError(
                repr(exc), step=writing.step, outcome_unknown=maybe_before
            ) from exc
        except httpx.TransportError as exc:
            raise _LostAnswerError from exc
        if res.status_code in (200, 201, 204):
            return writing.stored(version_of(res.headers.get("etag", "0")))
        if res.status_code == 412:
            return await self._precondition_failed(writing, res, maybe_before)
        if res.status_code == 413:
            raise platform.TooLargeError(
                f"{writing.kind}/{writing.name}: {len(writing.value)} bytes",
                step=writing.step,
                peer=_PEER,
            )
        if res.status_code in (429, 503):
            raise _refused(writing.step, res, outcome_unknown=maybe_before)
        if res.status_code >= 500:
            raise _LostAnswerError
        raise _refused(writing.step, res, outcome_unknown=maybe_before)

    async def _precondition_failed(
        self, writing: _Writing, res: httpx.Response, maybe_before: bool
    ) -> platform.Stored:
        """Tell an earlier sending of the same write from somebody else's."""
        tag = res.headers.get("etag")
        if tag and writing.write is not settle.Write.DELETE:
            found_nonce = res.headers.get(NONCE_HEADER, "")
            what = settle.seen(
                writing.write, writing.version, writing.nonce, version_of(tag), found_nonce
            )
            if what is settle.Seen.OWN:
                return writing.stored(version_of(tag))
        current = await self._read_back(writing)
        raise _conflict(writing, current, outcome_unknown=maybe_before)


@dataclasses.dataclass(slots=True)
class _Sent:
    """Whether any sending of a write may have taken effect."""

    maybe: bool = False


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{_quote(kind)}/{urllib.parse.quote(name, safe='/')}"


def _from_wire(kind: str, item: WireStored) -> platform.Stored:
    return platform.Stored(kind, item.name, item.version, item.value, item.nonce)


def _stored(kind: str, name: str, res: httpx.Response) -> platform.Stored:
    nonce = res.headers.get(NONCE_HEADER, "")
    return platform.Stored(kind, name, version_of(res.headers["etag"]), res.content, nonce)


def _compare(writing: _Writing, found: platform.Stored | None) -> settle.Seen:
    version = found.version if found else 0
    nonce = found.nonce if found else ""
    return settle.seen(writing.write, writing.version, writing.nonce, version, nonce)


def _conflict(
    writing: _Writing, current: platform.Stored | None, *, outcome_unknown: bool
) -> platform.ConflictError:
    return platform.ConflictError(
        f"{writing.kind}/{writing.name} is at another version",
        step=writing.step,
        current=current,
        outcome_unknown=outcome_unknown,
    )


def _refused(step: str, res: httpx.Response, *, outcome_unknown: bool) -> platform.UnavailableError:
    after = res.headers.get("retry-after")
    return platform.UnavailableError(
        f"status {res.status_code}",
        step=step,
        outcome_unknown=outcome_unknown,
        retry_after_s=float(after) if after else None,
    )
