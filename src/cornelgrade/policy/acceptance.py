"""Decides what a submitted manifest is: a new version, one accepted before, or out of date."""

import dataclasses
import enum
import hashlib

import msgspec

_MAX_ACCEPTANCES = 16


class Acceptance(msgspec.Struct, frozen=True):
    """One accepted manifest.

    :param based_on: version that it replaced, 0 for the first.
    :param at_s: Unix time in seconds.
    :param vm: the VM that accepted it.
    """

    digest: str
    based_on: int
    at_s: float
    vm: str


class Kept(msgspec.Struct, frozen=True):
    """The platform's object: the manifest and the latest acceptances, newest last."""

    manifest: msgspec.Raw
    accepted: tuple[Acceptance, ...]


class Outcome(enum.Enum):
    """What to do with a submitted manifest."""

    WRITE = "write"
    SAME = "same"
    STALE = "stale"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An outcome; ``version`` is the one accepted before, or the one to replace."""

    outcome: Outcome
    version: int


def digest(encoded: bytes) -> str:
    """Identify a manifest by its content."""
    return hashlib.sha256(encoded).hexdigest()


def history(stored: Kept, version: int) -> tuple[tuple[Acceptance, int], ...]:
    """Give the remembered acceptances with the versions that they became, oldest first.

    :param version: version of the object.
    """
    accepted_versions = [*(entry.based_on for entry in stored.accepted[1:]), version]
    return tuple(zip(stored.accepted, accepted_versions, strict=True))


def decide(
    stored: Kept | None, version: int, submitted_digest: str, if_match: int | None
) -> Decision:
    """Compare a submission with what is there.

    :param version: version of what is there, 0 if nothing is.
    :param wanted: digest of the submitted manifest.
    :param if_match: version that the operator means to replace.
    """
    if stored is None:
        outcome = Outcome.STALE if if_match else Outcome.WRITE
        return Decision(outcome, 0)
    if stored.accepted[-1].digest == submitted_digest:
        return Decision(Outcome.SAME, version)
    for entry, accepted_version in history(stored, version):
        if entry.digest == submitted_digest and entry.based_on == (if_match or 0):
            return Decision(Outcome.SAME, accepted_version)
    return Decision(Outcome.WRITE if if_match == version else Outcome.STALE, version)


def extended(stored: Kept | None, encoded: bytes, entry: Acceptance) -> Kept:
    """Make the object to write for an accepted manifest."""
    earlier = stored.accepted if stored is not None else ()
    return Kept(msgspec.Raw(encoded), (*earlier, entry)[-_MAX_ACCEPTANCES:])
