"""Interface to the platform's object API: Protocol, typed values and errors.

Every call has a deadline. A write carries its writer's nonce, so that the outcome of a write whose
response was lost can be determined by reading the object back.
"""

import enum
from typing import Protocol

import msgspec

from cornelgrade import errors

MAX_VALUE_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True):
    """An object as stored by the platform.

    :param version: the platform's revision at the object's last write; it grows with every
        write to any object.
    :param nonce: the nonce of the last writer.
    :param created: the revision of its creation, 0 if the platform does not report it.
    """

    kind: str
    name: str
    version: int
    value: bytes
    nonce: str = ""
    created: int = 0


class Changes(msgspec.Struct, frozen=True):
    """Result of a watch.

    :param version: pass this as ``after`` to the next watch.
    :param items: objects written since ``after``, oldest first.
    :param deleted: names of objects deleted since ``after``.
    :param reset: the platform no longer has changes from ``after`` on; list again.
    """

    version: int
    items: tuple[StoredObject, ...] = ()
    deleted: tuple[str, ...] = ()
    reset: bool = False


class VmState(enum.StrEnum):
    """State of a VM in the platform's list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """An entry of the platform's VM list.

    ``name`` is an entry VM's name or, for an upstream's VM, the upstream's name.
    """

    name: str
    state: VmState
    failure_domain: str = ""


class ConflictError(errors.CornelgradeError):
    """A conditional write found another version.

    :param current: the object as it is now, ``None`` if there is none.
    :param outcome_unknown: a response was lost, so the write may have taken effect and been
        overwritten since; ``False`` guarantees that it did not take effect.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        current: StoredObject | None,
        outcome_unknown: bool = False,
    ) -> None:
        super().__init__(message, step=step, peer="platform")
        self.current = current
        self.outcome_unknown = outcome_unknown


class UnavailableError(errors.CornelgradeError):
    """The platform did not respond in time or rejected the call because of load.

    :param outcome_unknown: a write may have taken effect; ``False`` guarantees that it did not.
    :param retry_after_s: the delay that the platform asked for, if any.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        outcome_unknown: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, step=step, peer="platform")
        self.outcome_unknown = outcome_unknown
        self.retry_after_s = retry_after_s


class TooLargeError(errors.CornelgradeError):
    """The value exceeds the platform's limit; nothing was written."""


class Platform(Protocol):
    """Calls of the object API.

    Reads raise :class:`UnavailableError`; writes also raise :class:`ConflictError` and
    :class:`TooLargeError`. A write that returns has taken effect.
    """

    async def get(self, kind: str, name: str, *, allow_stale: bool = False) -> StoredObject | None:
        """Return one object, ``None`` if there is none.

        :param allow_stale: accept a state that is seconds old, which costs the platform less.
        """

    async def list(
        self, kind: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[StoredObject, ...]:
        """Return objects whose names start with ``prefix`` and sort after ``after``."""

    async def create(self, kind: str, name: str, value: bytes, nonce: str = "") -> StoredObject:
        """Create an object that must not exist yet; an empty ``nonce`` gets a random one."""

    async def update(
        self, kind: str, name: str, value: bytes, version: int, nonce: str = ""
    ) -> StoredObject:
        """Update an object that must still be at ``version``."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must still be at ``version``; no error if it no longer exists."""

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> Changes:
        """Wait up to ``wait_s`` for a change under ``prefix`` that is newer than ``after``."""

    async def vms(self) -> tuple[Vm, ...]:
        """Return the list of live and leaving VMs, which lags behind."""
