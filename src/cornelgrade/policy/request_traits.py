"""What requests share: the same text, or the same part of their prompts.

Evidence on crashes is kept for each of these traits, since any of them may crash an upstream.
"""

import hashlib
from collections.abc import Iterable

# Prompts have a few parts; more would only crowd out the evidence on others.
MAX_PARTS = 32
# Tells parts from texts in logs, in the store and between processes.
_PART_PREFIX = "part-"
_DIGEST_BYTES = 16


class Fingerprint(str):
    """A hash that identifies a request's text across calls; compares as a string.

    :ivar parts: hashes of the parts of its prompt, without the last one, which is its own.
    """

    __slots__ = ("parts",)
    parts: tuple[str, ...]

    def __new__(cls, text: str, parts: tuple[str, ...] = ()) -> "Fingerprint":
        """Add parts to the hash of a text."""
        made = super().__new__(cls, text)
        made.parts = parts
        return made


def fingerprint(path: str, body: bytes, parts: Iterable[bytes] = ()) -> Fingerprint:
    """Return the fingerprint of a request, online or in batch.

    :param parts: what identifies each part of its prompt that other requests may share.
    """
    hashed = dict.fromkeys(_PART_PREFIX + _hash(part) for part in parts)
    return Fingerprint(_hash(path.encode() + b"\0" + body), tuple(hashed)[:MAX_PARTS])


def list_parts(fingerprint: str) -> tuple[str, ...]:
    """Return the parts of a request; none if only its text is known."""
    return fingerprint.parts if isinstance(fingerprint, Fingerprint) else ()


def list_traits(fingerprint: str) -> tuple[str, ...]:
    """Return a request's text and its parts."""
    return (str(fingerprint), *list_parts(fingerprint))


def is_part(trait: str) -> bool:
    """Return whether a trait is a part of prompts rather than a text."""
    return trait.startswith(_PART_PREFIX)


def _hash(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()
