"""Client for the active manifest of another VM's gateway, with mutual authentication."""

import time
from collections.abc import Mapping
from typing import Protocol

import httpx

from cornelgrade import errors
from cornelgrade.adapters import peer_auth, peer_key, platform_http
from cornelgrade.policy import manifest_rules
from cornelgrade.services import ports

PATH = "/v1/peer/manifest"
CONFIRMED_HEADER = "Manifest-Confirmed"
CONFIRMED = "yes"
TIMEOUT_S = 1.0
_STEP = "fetch manifest"


def signed_parts(version: int, confirmed: str, body: bytes) -> tuple[bytes, ...]:
    """Return the parts of a response that its tag covers."""
    return (str(version).encode(), confirmed.encode(), body)


class ManifestPeers(Protocol):
    """Fetches the manifest from other VMs."""

    async def fetch(self, member: ports.Member) -> ports.AcceptedManifest:
        """Fetch a member's manifest; raises :class:`CornelgradeError`.

        The result is confirmed only if this VM's own gateway sent it as confirmed.
        """


class HttpPeers:
    """Fetches over HTTP; a context manager that closes its connections.

    :param secure: whether the fleet's gateways use TLS. The response tag authenticates them,
        because their certificates are issued for the host name that callers use, not for IP
        addresses.
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

    async def fetch(self, member: ports.Member) -> ports.AcceptedManifest:
        """Fetch a member's manifest."""
        header, nonce = peer_auth.make_auth_header(
            self._key, self._vm, member.gateway_address, PATH, time.time()
        )
        url = f"{self._scheme}://{member.gateway_address}{PATH}"
        try:
            response = await self._client.get(url, headers={peer_auth.AUTH_HEADER: header})
        except httpx.HTTPError as exc:
            raise errors.NotReachableError(repr(exc), step=_STEP, peer=member.vm) from exc
        if response.status_code != httpx.codes.OK:
            raise errors.CornelgradeError(
                f"status {response.status_code}", step=_STEP, peer=member.vm
            )
        return self._decode_response(response.headers, response.content, nonce, member.vm)

    def _decode_response(
        self, headers: Mapping[str, str], body: bytes, nonce: str, vm: str
    ) -> ports.AcceptedManifest:
        try:
            version = platform_http.parse_etag(headers.get("etag", ""))
        except ValueError as exc:
            raise errors.CornelgradeError("missing or invalid ETag", step=_STEP, peer=vm) from exc
        confirmed = headers.get(CONFIRMED_HEADER, "")
        tag = headers.get(peer_auth.TAG_HEADER)
        parts = signed_parts(version, confirmed, body)
        if not peer_auth.verify_response_tag(self._key, tag, nonce, *parts):
            raise errors.CornelgradeError("response tag does not match", step=_STEP, peer=vm)
        own_gateway = vm == self._vm
        decoded = manifest_rules.decode(body)
        return ports.AcceptedManifest(decoded, version, own_gateway and confirmed == CONFIRMED)
