"""The platform's object API: the Protocol that services use and its typed values and errors.

Every call has a deadline. A write carries its writer's nonce, so that a write whose answer was
lost is settled by reading back.
"""

import dataclasses
import enum
from typing import Protocol

from cornelgrade import errors

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """An object as the platform holds it.

    :param version: the platform's revision at the object's last write; it grows with every
        write to any object.
    :param nonce: the nonce of the last writer.
    :param created: the revision of its creation, 0 where the platform does not tell.
    """

    kind: str
    name: str
    version: int
    value: bytes
    nonce: str = ""
    created: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a watch answers.

    :param version: pass this as ``after`` to the next watch.
    :param items: objects written since, oldest first.
    :param deleted: names removed since.
    :param reset: the platform no longer knows that far back; list again.
    """

    version: int
    items: tuple[Stored, ...] = ()
    deleted: tuple[str, ...] = ()
    reset: bool = False


class VmState(enum.StrEnum):
    """State of a VM in the platform's (lagging) list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """An entry of the platform's list; ``address`` is the IP number without a port.

    ``name`` is an entry VM's name or, for an upstream's VM, the upstream's name.
    """

    name: str
    state: VmState
    failure_domain: str = ""


class ConflictError(errors.CornelgradeError):
    """A conditional write found another version; ``current`` is what is there, if anything.

    :param outcome_unknown: an answer was lost on the way, so the write may have taken effect
        and been overwritten since; ``False`` promises that it did not take effect.
    """

    def __init__(
        self, message: str, *, step: str, current: Stored | None, outcome_unknown: bool = False
    ) -> None:
        super().__init__(message, step=step, peer="platform")
        self.current = current
        self.outcome_unknown = outcome_unknown


class UnavailableError(errors.CornelgradeError):
    """The platform did not answer in time or refused for load.

    :param outcome_unknown: a write may have taken effect; ``False`` promises that it did not.
    :param retry_after_s: seconds that the platform asked to wait, if it did.
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
    """The value is over the platform's limit; nothing was written."""


class Platform(Protocol):
    """Calls of the object API.

    Reads raise :class:`UnavailableError`; writes also raise :class:`ConflictError` and
    :class:`TooLargeError`. A write that returns has taken effect.
    """

    async def get(self, kind: str, name: str) -> Stored | None:
        """Read one object, ``None`` if there is none."""

    async def list(
        self, kind: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[Stored, ...]:
        """Read objects whose names start with ``prefix`` and sort behind ``after``."""

    async def create(self, kind: str, name: str, value: bytes, nonce: str = "") -> Stored:
        """Write an object that must not be there yet; an empty nonce lets the adapter make one."""

    async def update(
        self, kind: str, name: str, value: bytes, version: int, nonce: str = ""
    ) -> Stored:
        """Write an object that must still be at ``version``."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Remove an object that must still be at ``version``; one already gone is no error."""

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> Changes:
        """Wait until something under ``prefix`` is newer than ``after`` or ``wait_s`` is over."""

    async def vms(self) -> tuple[Vm, ...]:
        """Read the lagging list of live and leaving VMs."""
