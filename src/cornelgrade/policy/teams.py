"""Teams of callers: which one a request belongs to, by the key that it carries.

Both interfaces use these rules, so that a key means the same on each of them.
"""

import hashlib
from collections.abc import Iterable
from typing import Generic, TypeVar

from cornelgrade import errors

T = TypeVar("T")


def digest_key(key: bytes) -> bytes:
    """Return the SHA-256 digest of a key, the only form in which keys are kept."""
    return hashlib.sha256(key).digest()


class KeyTable(Generic[T]):
    """Finds the team that holds a key.

    :param holders: the teams with the digests of their keys. A key that several teams hold belongs
        to the first of them, so that all VMs agree.
    :ivar shared: digests that several teams hold.
    """

    def __init__(self, holders: Iterable[tuple[T, Iterable[bytes]]]) -> None:
        self._by_digest: dict[bytes, T] = {}
        self.shared: set[bytes] = set()
        for holder, digests in holders:
            for digest in digests:
                if self._by_digest.setdefault(digest, holder) is not holder:
                    self.shared.add(digest)

    def find(self, digests: tuple[bytes, ...]) -> T | None:
        """Return the team whose key a request carries, ``None`` without exactly one known key.

        :param digests: digests of all keys that the request carries.
        """
        return self._by_digest.get(digests[0]) if len(digests) == 1 else None

    def authenticate(self, digests: tuple[bytes, ...]) -> T:
        """Return the team whose key a request carries.

        :raises Refusal: ``UNAUTHORIZED`` unless the request carries exactly one known key.
        """
        team = self.find(digests)
        if team is None:
            raise errors.Refusal(
                errors.Code.UNAUTHORIZED, _describe_problem(len(digests)), step="authenticate"
            )
        return team


def _describe_problem(keys: int) -> str:
    return {0: "no key", 1: "unknown key"}.get(keys, f"{keys} keys")
