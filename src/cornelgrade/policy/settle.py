"""How to resolve a conditional write whose response was lost, once the object is read back."""

import enum


class Write(enum.Enum):
    """Kinds of conditional write."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


class Seen(enum.Enum):
    """What the read returned, compared with the write."""

    ABSENT = "absent"
    UNCHANGED = "unchanged"
    OWN = "own"
    OTHER = "other"


class Verdict(enum.Enum):
    """How the write is resolved."""

    DONE = "done"
    SEND_AGAIN = "send_again"
    CONFLICT = "conflict"


_TABLE = {
    (Write.CREATE, Seen.ABSENT): Verdict.SEND_AGAIN,
    (Write.CREATE, Seen.OWN): Verdict.DONE,
    (Write.CREATE, Seen.OTHER): Verdict.CONFLICT,
    (Write.UPDATE, Seen.ABSENT): Verdict.CONFLICT,
    (Write.UPDATE, Seen.UNCHANGED): Verdict.SEND_AGAIN,
    (Write.UPDATE, Seen.OWN): Verdict.DONE,
    (Write.UPDATE, Seen.OTHER): Verdict.CONFLICT,
    (Write.DELETE, Seen.ABSENT): Verdict.DONE,
    (Write.DELETE, Seen.UNCHANGED): Verdict.SEND_AGAIN,
    (Write.DELETE, Seen.OTHER): Verdict.CONFLICT,
}


def seen(
    write: Write, expected_version: int, nonce: str, found_version: int, found_nonce: str
) -> Seen:
    """Compare the object that was read with the write that was sent.

    :param expected_version: version that the write required, 0 for a create.
    :param found_version: version that was read, 0 if there is no object.
    """
    if not found_version:
        return Seen.ABSENT
    if found_version == expected_version:
        return Seen.UNCHANGED
    if write is not Write.DELETE and found_nonce == nonce:
        return Seen.OWN
    return Seen.OTHER


def settle(write: Write, what: Seen) -> Verdict:
    """Return how to resolve a write; sending it again is safe because it is conditional."""
    return _TABLE[write, what]
