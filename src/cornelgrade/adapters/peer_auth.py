"""Mutual authentication of HTTP calls between the VMs of the fleet.

The request carries ``Peer-Auth: VM UNIX_MS NONCE TAG``, the response ``Peer-Tag``; both tags are
keyed BLAKE2b. The request's tag covers the path and the receiver's address, the response's tag the
request's nonce.
"""

import secrets

from cornelgrade import errors
from cornelgrade.adapters import peer_key

AUTH_HEADER = "peer-auth"
TAG_HEADER = "peer-tag"
MAX_AGE_S = 60.0
_MS_PER_S = 1000


def make_auth_header(
    key: peer_key.PeerKey, vm: str, address: str, path: str, now_s: float
) -> tuple[str, str]:
    """Return the header value for a request to ``address``, and the request's nonce."""
    nonce = secrets.token_hex(8)
    sent_ms = str(int(now_s * _MS_PER_S))
    signed_parts = (path, vm, sent_ms, nonce, address)
    tag = key.tag(*(part.encode() for part in signed_parts))
    return f"{vm} {sent_ms} {nonce} {tag.hex()}", nonce


def verify_auth_header(
    key: peer_key.PeerKey, header: str | None, address: str, path: str, now_s: float
) -> str:
    """Verify a request's header and return its nonce.

    :param address: this process's own address.
    :raises Refusal: ``UNAUTHORIZED`` if the header is missing, invalid or too old.
    """
    refusal = errors.Refusal(errors.Code.UNAUTHORIZED, "not a peer", step="authenticate peer")
    try:
        vm, sent_ms, nonce, tag = (header or "").split(" ")
        received_tag = bytes.fromhex(tag)
        age_s = abs(now_s - int(sent_ms) / _MS_PER_S)
    except ValueError:
        raise refusal from None
    signed_parts = (path, vm, sent_ms, nonce, address)
    if age_s > MAX_AGE_S or not key.matches(
        received_tag, *(part.encode() for part in signed_parts)
    ):
        raise refusal
    return nonce


def make_response_tag(key: peer_key.PeerKey, nonce: str, *parts: bytes) -> str:
    """Return the tag of a response."""
    return key.tag(nonce.encode(), *parts).hex()


def verify_response_tag(key: peer_key.PeerKey, tag: str | None, nonce: str, *parts: bytes) -> bool:
    """Verify the tag of a response."""
    try:
        received_tag = bytes.fromhex(tag or "")
    except ValueError:
        return False
    return key.matches(received_tag, nonce.encode(), *parts)
