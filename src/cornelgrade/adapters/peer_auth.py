"""Authentication of HTTP calls between the system's own VMs, both ways.

The request carries ``Peer-Auth: VM UNIX_MS NONCE TAG``, the answer ``Peer-Tag``; both tags are
keyed BLAKE2b. The request's tag covers the path and the receiver's address, the answer's tag the
request's nonce.
"""

import secrets

from cornelgrade import errors
from cornelgrade.adapters import peer_key

AUTH_HEADER = "peer-auth"
TAG_HEADER = "peer-tag"
MAX_AGE_S = 60.0
_MS_PER_S = 1000


def auth_header(
    key: peer_key.PeerKey, vm: str, address: str, path: str, now_s: float
) -> tuple[str, str]:
    """Make the header value for a request to ``address`` and its nonce."""
    nonce = secrets.token_hex(8)
    sent_ms = str(int(now_s * _MS_PER_S))
    signed = (path, vm, sent_ms, nonce, address)
    tag = key.tag(*(part.encode() for part in signed))
    return f"{vm} {sent_ms} {nonce} {tag.hex()}", nonce


def check_auth(
    key: peer_key.PeerKey, header: str | None, address: str, path: str, now_s: float
) -> str:
    """Check a request's header and give its nonce.

    :param address: this process's own address.
    :raises Refusal: ``UNAUTHORIZED`` if it is missing, wrong or old.
    """
    refusal = errors.Refusal(errors.Code.UNAUTHORIZED, "not a peer", step="authenticate peer")
    try:
        vm, sent_ms, nonce, tag = (header or "").split(" ")
        given = bytes.fromhex(tag)
        age_s = abs(now_s - int(sent_ms) / _MS_PER_S)
    except ValueError:
        raise refusal from None
    signed = (path, vm, sent_ms, nonce, address)
    if age_s > MAX_AGE_S or not key.matches(given, *(part.encode() for part in signed)):
        raise refusal
    return nonce


def answer_tag(key: peer_key.PeerKey, nonce: str, *parts: bytes) -> str:
    """Make the tag of an answer."""
    return key.tag(nonce.encode(), *parts).hex()


def answer_matches(key: peer_key.PeerKey, tag: str | None, nonce: str, *parts: bytes) -> bool:
    """Check the tag of an answer."""
    try:
        given = bytes.fromhex(tag or "")
    except ValueError:
        return False
    return key.matches(given, nonce.encode(), *parts)
