"""Client for histories of other processes of the fleet, with mutual authentication."""

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
    """Return the path that both ends sign, without percent-encoding."""
    return f"{PREFIX}/{scope}/{identifier}"


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryFetcher:
    """Fetches histories.

    :param client: closed by its owner.
    :param vm: the name of the VM that asks.
    :param scheme: ``http`` or ``https``. The response tag authenticates the peer, because its
        certificate is issued for the host name that callers use, not for its IP address.
    """

    client: httpx.AsyncClient
    key: peer_key.PeerKey
    vm: str
    scheme: str

    async def fetch(self, address: str, scope: ports.HistoryScope, identifier: str) -> Steps:
        """Fetch the history from one process.

        :raises CornelgradeError: if it does not respond or is not authentic.
        """
        path = signed_path(scope, identifier)
        header, nonce = peer_auth.make_auth_header(self.key, self.vm, address, path, time.time())
        url = f"{self.scheme}://{address}{urllib.parse.quote(path, safe='/')}"
        try:
            response = await self.client.get(url, headers={peer_auth.AUTH_HEADER: header})
        except httpx.HTTPError as exc:
            raise errors.NotReachableError(repr(exc), step=_STEP, peer=address) from exc
        tag = response.headers.get(peer_auth.TAG_HEADER)
        if response.is_error or not peer_auth.verify_response_tag(
            self.key, tag, nonce, response.content
        ):
            raise errors.CornelgradeError(
                f"status {response.status_code}", step=_STEP, peer=address
            )
        return msgspec.json.decode(response.content, type=Steps)
