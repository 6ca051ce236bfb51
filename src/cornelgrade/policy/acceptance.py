"""Decides whether a submitted manifest is a new version, already accepted or out of date."""

import dataclasses
import enum
import hashlib

import msgspec

_MAX_ACCEPTANCES = 16


class Acceptance(msgspec.Struct, frozen=True):
    """A record of one accepted manifest.

    :param digest: hash of the manifest.
    :param based_on: version that it replaced, 0 for the first manifest.
    :param at_s: Unix time of the acceptance in seconds.
    :param vm: VM that accepted it.
    """

    digest: str
    based_on: int
    at_s: float
    vm: str


class StoredManifest(msgspec.Struct, frozen=True):
    """The object stored in the platform: the manifest and its latest acceptances, oldest first."""

    manifest: msgspec.Raw
    accepted: tuple[Acceptance, ...]


class Outcome(enum.Enum):
    """What to do with a submitted manifest."""

    WRITE = "write"
    SAME = "same"
    STALE = "stale"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An outcome and the version that was accepted earlier or is to be replaced."""

    outcome: Outcome
    version: int


def digest(encoded: bytes) -> str:
    """Return the SHA-256 digest of an encoded manifest in hexadecimal."""
    return hashlib.sha256(encoded).hexdigest()


def list_acceptances(stored: StoredManifest, version: int) -> tuple[tuple[Acceptance, int], ...]:
    """Return the stored acceptances with the versions that they created, oldest first.

    :param version: current version of the stored object.
    """
    accepted_versions = [*(entry.based_on for entry in stored.accepted[1:]), version]
    return tuple(zip(stored.accepted, accepted_versions, strict=True))


def decide(
    stored: StoredManifest | None, version: int, submitted_digest: str, if_match: int | None
) -> Decision:
    """Compare a submitted manifest with the stored one.

    :param version: version of the stored object, 0 if there is none.
    :param submitted_digest: digest of the submitted manifest.
    :param if_match: version that the operator expects to replace.
    """
    if stored is None:
        outcome = Outcome.STALE if if_match else Outcome.WRITE
        return Decision(outcome, 0)
    if stored.accepted[-1].digest == submitted_digest:
        return Decision(Outcome.SAME, version)
    for entry, accepted_version in list_acceptances(stored, version):
        if entry.digest == submitted_digest and entry.based_on == (if_match or 0):
            return Decision(Outcome.SAME, accepted_version)
    return Decision(Outcome.WRITE if if_match == version else Outcome.STALE, version)


def append_acceptance(
    stored: StoredManifest | None, encoded: bytes, entry: Acceptance
) -> StoredManifest:
    """Return the object to store for an accepted manifest, with the oldest acceptances dropped."""
    earlier = stored.accepted if stored is not None else ()
    return StoredManifest(msgspec.Raw(encoded), (*earlier, entry)[-_MAX_ACCEPTANCES:])
