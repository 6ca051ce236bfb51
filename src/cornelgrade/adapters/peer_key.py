"""Shared key of the fleet's processes, and keyed BLAKE2b tags computed with it."""

import dataclasses
import hashlib
import hmac
import pathlib

from cornelgrade import errors

TAG_BYTES = 16
_LENGTH_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True, repr=False)
class PeerKey:
    """Key derived from the bytes of the peer key file."""

    secret: bytes

    def tag(self, *parts: bytes) -> bytes:
        """Return the tag over ``parts``, each prefixed with its length."""
        digest = hashlib.blake2b(key=self.secret, digest_size=TAG_BYTES)
        for part in parts:
            digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
            digest.update(part)
        return digest.digest()

    def matches(self, tag: bytes, *parts: bytes) -> bool:
        """Check a tag in constant time."""
        return hmac.compare_digest(tag, self.tag(*parts))


def derive(raw: bytes) -> PeerKey:
    """Derive the key from the file's content, ignoring surrounding whitespace.

    :raises CornelgradeError: if the content is empty.
    """
    stripped = raw.strip()
    if not stripped:
        raise errors.CornelgradeError("the peer key file is empty", step="read peer key")
    return PeerKey(hashlib.blake2b(stripped).digest())


def read(path: str) -> PeerKey:
    """Read the key file at ``path``.

    :raises CornelgradeError: if it can't be read or is empty.
    """
    try:
        return derive(pathlib.Path(path).read_bytes())
    except OSError as exc:
        raise errors.CornelgradeError(str(exc), step="read peer key") from exc
