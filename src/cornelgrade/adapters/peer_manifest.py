"""Fetching the manifest in force from another VM's gateway, authenticated both ways.

The request carries ``Peer-Auth: VM UNIX_MS NONCE TAG``, the answer ``Peer-Tag``; both tags are
keyed BLAKE2b.
"""

import secrets
import time
from collections.abc import Mapping
from typing import Protocol

import httpx

from cornelgrade import errors
from cornelgrade.adapters import peer_key, platform_http
from cornelgrade.policy import manifest_rules
from cornelgrade.services import ports

PATH = "/v1/peer/manifest"
AUTH_HEADER = "peer-auth"
TAG_HEADER = "peer-tag"
MAX_AGE_S = 60.0
TIMEOUT_S = 1.0
_STEP = "fetch manifest"
_MS_PER_S = 1000


class Peers(Protocol):
    """Other VMs as sources of the manifest."""

    async def fetch(self, member: ports.Member) -> ports.Accepted:
        """Get a member's manifest, never confirmed; raises :class:`CornelgradeError`."""


def auth_header(key: peer_key.PeerKey, vm: str, address: str, now_s: float) -> tuple[str, str]:
    """Make the header value for a request to ``address`` and its nonce."""
    nonce = secrets.token_hex(8)
    sent_ms = str(int(now_s * _MS_PER_S))
    tag = key.tag(PATH.encode(), vm.encode(), sent_ms.encode(), nonce.encode(), address.encode())
    return f"{vm} {sent_ms} {nonce} {tag.hex()}", nonce


def check_auth(key: peer_key.PeerKey, header: str | None, address: str, now_s: float) -> str:
    """Check a request's header and give its nonce.

    :param address: this gateway's own address.
    :raises Refusal: ``UNAUTHORIZED`` if it is missing, wrong or old.
    """
    refusal = errors.Refusal(errors.Code.UNAUTHORIZED, "not a peer", step="authenticate peer")
    try:
        vm, sent_ms, nonce, tag = (header or "").split(" ")
        given = bytes.fromhex(tag)
        age_s = abs(now_s - int(sent_ms) / _MS_PER_S)
    except ValueError:
        raise refusal from None
    signed = (PATH, vm, sent_ms, nonce, address)
    if age_s > MAX_AGE_S or not key.matches(given, *(part.encode() for part in signed)):
        raise refusal
    return nonce


def answer_tag(key: peer_key.PeerKey, nonce: str, version: int, body: bytes) -> str:
    """Make the tag of an answer."""
    return key.tag(nonce.encode(), str(version).encode(), body).hex()


class HttpPeers:
    """Fetches over HTTP; a context manager that closes its connections.

    :param secure: the fleet's gateways speak TLS. Their certificates name them for callers and
        not by IP number, so the tag over the answer is what proves it.
    """

    def __init__(self, key: peer_key.PeerKey, vm: str, *, secure: bool = False) -> None:
        self._key = key
        self._vm = vm
        self._scheme = "https" if secure else "http"
        self._client = httpx.AsyncClient(timeout=TIMEOUT_S, verify=False, trust_env=False)

    async def __aenter__(self) -> "HttpPeers":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._client.aclose()

    async def fetch(self, member: ports.Member) -> ports.Accepted:
        """Get a member's manifest."""
        header, nonce = auth_header(self._key, self._vm, member.gateway_address, time.time())
        url = f"{self._scheme}://{member.gateway_address}{PATH}"
        try:
            got = await self._client.get(url, headers={AUTH_HEADER: header})
        except httpx.HTTPError as exc:
            raise errors.NotReachableError(repr(exc), step=_STEP, peer=member.vm) from exc
        if got.status_code != httpx.codes.OK:
            raise errors.CornelgradeError(f"status {got.status_code}", step=_STEP, peer=member.vm)
        return self._read(got.headers, got.content, nonce, member.vm)

    def _read(self, headers: Mapping[str, str], body: bytes, nonce: str, vm: str) -> ports.Accepted:
        try:
            version = platform_http.version_of(headers.get("etag", ""))
            tag = bytes.fromhex(headers.get(TAG_HEADER, ""))
        except ValueError as exc:
            raise errors.CornelgradeError("bad headers", step=_STEP, peer=vm) from exc
        if not self._key.matches(tag, nonce.encode(), str(version).encode(), body):
            raise errors.CornelgradeError("wrong tag", step=_STEP, peer=vm)
        return ports.Accepted(manifest_rules.decode(body), version, confirmed=False)
