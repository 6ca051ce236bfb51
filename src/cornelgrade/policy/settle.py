"""How to resolve a conditional write whose response was lost, once the object is read back."""

import enum


class Write(enum.Enum):
    """Kinds of conditional write."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


class ReadResult(enum.Enum):
    """What the read returned, compared with the write."""

    ABSENT = "absent"
    UNCHANGED = "unchanged"
    OWN = "own"
    OTHER = "other"


class Resolution(enum.Enum):
    """How the write is resolved."""

    DONE = "done"
    SEND_AGAIN = "send_again"
    CONFLICT = "conflict"


_TABLE = {
    (Write.CREATE, ReadResult.ABSENT): Resolution.SEND_AGAIN,
    (Write.CREATE, ReadResult.OWN): Resolution.DONE,
    (Write.CREATE, ReadResult.OTHER): Resolution.CONFLICT,
    (Write.UPDATE, ReadResult.ABSENT): Resolution.CONFLICT,
    (Write.UPDATE, ReadResult.UNCHANGED): Resolution.SEND_AGAIN,
    (Write.UPDATE, ReadResult.OWN): Resolution.DONE,
    (Write.UPDATE, ReadResult.OTHER): Resolution.CONFLICT,
    (Write.DELETE, ReadResult.ABSENT): Resolution.DONE,
    (Write.DELETE, ReadResult.UNCHANGED): Resolution.SEND_AGAIN,
    (Write.DELETE, ReadResult.OTHER): Resolution.CONFLICT,
}


def classify_read(
    write: Write, expected_version: int, nonce: str, found_version: int, found_nonce: str
) -> ReadResult:
    """Compare the object that was read with the write that was sent.

    :param expected_version: version that the write required, 0 for a create.
    :param found_version: version that was read, 0 if there is no object.
    """
    if not found_version:
        return ReadResult.ABSENT
    if found_version == expected_version:
        return ReadResult.UNCHANGED
    if write is not Write.DELETE and found_nonce == nonce:
        return ReadResult.OWN
    return ReadResult.OTHER


def resolve_write(write: Write, what: ReadResult) -> Resolution:
    """Return how to resolve a write; sending it again is safe because it is conditional."""
    return _TABLE[write, what]
