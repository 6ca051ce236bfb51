"""Fetching histories from another process of the fleet, authenticated both ways."""

import dataclasses
import time
import urllib.parse

import httpx
import msgspec

from cornelgrade import errors, reports
from cornelgrade.adapters import peer_auth, peer_key
from cornelgrade.services import ports

PREFIX = "/v1/peer/histories"
_STEP = "fetch history"

Steps = tuple[reports.HistoryStep, ...]


def signed_path(scope: ports.HistoryScope, identifier: str) -> str:
    """Give the path as both ends sign it, without quoting."""
    return f"{PREFIX}/{scope}/{identifier}"


@dataclasses.dataclass(frozen=True, slots=True)
class Fetcher:
    """Fetches over a client that its owner closes.

    :param vm: the name of the asking VM.
    :param scheme: ``http`` or ``https``; the answer's tag proves the other side, not its
        certificate, which names it for callers and not by IP number.
    """

    client: httpx.AsyncClient
    key: peer_key.PeerKey
    vm: str
    scheme: str

    async def fetch(self, address: str, scope: ports.HistoryScope, identifier: str) -> Steps:
        """Ask one process.

        :raises CornelgradeError: if it does not answer or is no peer.
        """
        path = signed_path(scope, identifier)
        header, nonce = peer_auth.auth_header(self.key, self.vm, address, path, time.time())
        url = f"{self.scheme}://{address}{urllib.parse.quote(path, safe='/')}"
        try:
            got = await self.client.get(url, headers={peer_auth.AUTH_HEADER: header})
        except httpx.HTTPError as exc:
            raise errors.NotReachableError(repr(exc), step=_STEP, peer=address) from exc
        tag = got.headers.get(peer_auth.TAG_HEADER)
        if got.is_error or not peer_auth.answer_matches(self.key, tag, nonce, got.content):
            raise errors.CornelgradeError(f"status {got.status_code}", step=_STEP, peer=address)
        return msgspec.json.decode(got.content, type=Steps)
