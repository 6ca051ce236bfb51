"""Conditional writes that are retried until their outcome is known, also after a lost response."""

import secrets
from typing import Protocol

import msgspec
import trio

from cornelgrade.adapters import platform
from cornelgrade.policy import settle

RETRY_DELAY_S = 0.05


class ConditionalWrite(msgspec.Struct, frozen=True):
    """A conditional write to send; ``version`` is 0 for a create."""

    write: settle.Write
    kind: str
    name: str
    value: bytes
    version: int
    nonce: str

    @property
    def step(self) -> str:
        """The ``step`` of errors that the write raises."""
        return self.write.value

    def to_object(self, version: int) -> platform.StoredObject:
        """Return the object as this write leaves it."""
        return platform.StoredObject(self.kind, self.name, version, self.value, self.nonce)


class LostResponseError(Exception):
    """A write was sent, but its response was lost."""


class FailedConditionError(Exception):
    """The object was at another version.

    :param found: the object as the response showed it, ``None`` if it did not.
    """

    def __init__(self, found: platform.StoredObject | None) -> None:
        super().__init__()
        self.found = found


class WriteSender(Protocol):
    """Sends single calls without retrying."""

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> platform.StoredObject | None:
        """Return one object, ``None`` if there is none."""

    async def send(self, pending: ConditionalWrite) -> platform.StoredObject:
        """Send a write once.

        :raises LostResponseError: if it may have taken effect.
        :raises FailedConditionError: if its condition did not hold.
        :raises UnavailableError: if it did not take effect.
        """


class ConditionalWriter:
    """Retries writes through a :class:`WriteSender` until their outcome is known.

    :param deadline_s: timeout of a write including its retries.
    """

    def __init__(self, sender: WriteSender, deadline_s: float) -> None:
        self._sender = sender
        self._deadline_s = deadline_s

    async def write(
        self, write: settle.Write, kind: str, name: str, value: bytes, version: int, nonce: str
    ) -> platform.StoredObject:
        """Send a write until its outcome is known.

        :param version: the version that the object must have, 0 for a create.
        :param nonce: identifies the writer; an empty one is replaced by a random one.
        """
        pending = ConditionalWrite(write, kind, name, value, version, nonce or secrets.token_hex(8))
        sent = _Sent()
        with trio.move_on_after(self._deadline_s):
            return await self._send_until_resolved(pending, sent)
        raise platform.UnavailableError(
            "no answer in time", step=pending.step, outcome_unknown=sent.may_have_applied
        )

    async def _send_until_resolved(
        self, pending: ConditionalWrite, sent: "_Sent"
    ) -> platform.StoredObject:
        while True:
            try:
                return await self._send(pending, sent)
            except LostResponseError:
                found = await self._read_back(pending)
            verdict = settle.resolve_write(pending.write, _classify_read(pending, found))
            if verdict is settle.Resolution.DONE:
                return found or pending.to_object(pending.version)
            if verdict is settle.Resolution.CONFLICT:
                raise _conflict_error(pending, found, outcome_unknown=True)
            await trio.sleep(RETRY_DELAY_S)

    async def _send(self, pending: ConditionalWrite, sent: "_Sent") -> platform.StoredObject:
        may_have_applied_earlier = sent.may_have_applied
        sent.may_have_applied = True
        try:
            return await self._sender.send(pending)
        except platform.UnavailableError as exc:
            sent.may_have_applied = may_have_applied_earlier
            raise platform.UnavailableError(
                exc.message,
                step=exc.step,
                outcome_unknown=may_have_applied_earlier,
                retry_after_s=exc.retry_after_s,
            ) from exc
        except FailedConditionError as exc:
            if exc.found and _classify_read(pending, exc.found) is settle.ReadResult.OWN:
                return exc.found
            current = exc.found or await self._read_back(pending)
            raise _conflict_error(
                pending, current, outcome_unknown=may_have_applied_earlier
            ) from exc

    async def _read_back(self, pending: ConditionalWrite) -> platform.StoredObject | None:
        while True:
            try:
                return await self._sender.get(pending.kind, pending.name)
            except platform.UnavailableError as exc:
                await trio.sleep(exc.retry_after_s or RETRY_DELAY_S)


class ConditionalWriteClient(WriteSender):
    """Base of store clients: implements the conditional writes on the client's own ``send``.

    :param deadline_s: timeout of a write including its retries.
    """

    def __init__(self, deadline_s: float) -> None:
        self._writer = ConditionalWriter(self, deadline_s)

    async def create(
        self, kind: str, name: str, value: bytes, nonce: str = ""
    ) -> platform.StoredObject:
        """Create an object that must not exist yet; an empty ``nonce`` gets a random one."""
        return await self._writer.write(settle.Write.CREATE, kind, name, value, 0, nonce)

    async def update(
        self, kind: str, name: str, value: bytes, version: int, nonce: str = ""
    ) -> platform.StoredObject:
        """Update an object that must still be at ``version``."""
        return await self._writer.write(settle.Write.UPDATE, kind, name, value, version, nonce)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must still be at ``version``; no error if it no longer exists."""
        await self._writer.write(settle.Write.DELETE, kind, name, b"", version, "")


class _Sent(msgspec.Struct):
    """Tracks whether any attempt at a write may have taken effect."""

    may_have_applied: bool = False


def _classify_read(
    pending: ConditionalWrite, found: platform.StoredObject | None
) -> settle.ReadResult:
    version = found.version if found else 0
    nonce = found.nonce if found else ""
    return settle.classify_read(pending.write, pending.version, pending.nonce, version, nonce)


def _conflict_error(
    pending: ConditionalWrite, current: platform.StoredObject | None, *, outcome_unknown: bool
) -> platform.ConflictError:
    return platform.ConflictError(
        f"{pending.kind}/{pending.name} is at another version",
        step=pending.step,
        current=current,
        outcome_unknown=outcome_unknown,
    )
