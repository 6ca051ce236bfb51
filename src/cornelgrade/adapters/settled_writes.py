"""Conditional writes whose answers may be lost: sent until their outcome is known."""

import dataclasses
import secrets
from typing import Protocol

import trio

from cornelgrade.adapters import platform
from cornelgrade.policy import settle

RETRY_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Writing:
    """A conditional write on its way; ``version`` is 0 for a create."""

    write: settle.Write
    kind: str
    name: str
    value: bytes
    version: int
    nonce: str

    @property
    def step(self) -> str:
        """The step that errors name."""
        return self.write.value

    def stored(self, version: int) -> platform.Stored:
        """Give the object as the write leaves it."""
        return platform.Stored(self.kind, self.name, version, self.value, self.nonce)


class LostAnswerError(Exception):
    """A write went out and its answer did not come back."""


class FailedConditionError(Exception):
    """The object was at another version.

    :param found: the object as the answer showed it, ``None`` if it did not.
    """

    def __init__(self, found: platform.Stored | None) -> None:
        super().__init__()
        self.found = found


class Sender(Protocol):
    """Sends calls once."""

    async def get(self, kind: str, name: str) -> platform.Stored | None:
        """Read one object, ``None`` if there is none."""

    async def send(self, writing: Writing) -> platform.Stored:
        """Send a write once.

        :raises LostAnswerError: if it may have taken effect.
        :raises FailedConditionError: if its condition did not hold.
        :raises UnavailableError: if it did not take effect.
        """


class Writer:
    """Settles writes through a :class:`Sender`.

    :param deadline_s: longest time of a write with all its repeats.
    """

    def __init__(self, sender: Sender, deadline_s: float) -> None:
        self._sender = sender
        self._deadline_s = deadline_s

    async def write(
        self, write: settle.Write, kind: str, name: str, value: bytes, version: int, nonce: str
    ) -> platform.Stored:
        """Send a write until its outcome is known.

        :param version: the version that the object must have, 0 for a create.
        :param nonce: names the writer; an empty one is replaced by a random one.
        """
        writing = Writing(write, kind, name, value, version, nonce or secrets.token_hex(8))
        sent = _Sent()
        with trio.move_on_after(self._deadline_s):
            return await self._settled(writing, sent)
        raise platform.UnavailableError(
            "no answer in time", step=writing.step, outcome_unknown=sent.maybe
        )

    async def _settled(self, writing: Writing, sent: "_Sent") -> platform.Stored:
        while True:
            try:
                return await self._send(writing, sent)
            except LostAnswerError:
                found = await self._read_back(writing)
            verdict = settle.settle(writing.write, _compare(writing, found))
            if verdict is settle.Verdict.DONE:
                return found or writing.stored(writing.version)
            if verdict is settle.Verdict.CONFLICT:
                raise _conflict(writing, found, outcome_unknown=True)
            await trio.sleep(RETRY_PAUSE_S)

    async def _send(self, writing: Writing, sent: "_Sent") -> platform.Stored:
        maybe_before = sent.maybe
        sent.maybe = True
        try:
            return await self._sender.send(writing)
        except platform.UnavailableError as exc:
            sent.maybe = maybe_before
            raise platform.UnavailableError(
                exc.message,
                step=exc.step,
                outcome_unknown=maybe_before,
                retry_after_s=exc.retry_after_s,
            ) from exc
        except FailedConditionError as exc:
            if exc.found and _compare(writing, exc.found) is settle.Seen.OWN:
                return exc.found
            current = exc.found or await self._read_back(writing)
            raise _conflict(writing, current, outcome_unknown=maybe_before) from exc

    async def _read_back(self, writing: Writing) -> platform.Stored | None:
        while True:
            try:
                return await self._sender.get(writing.kind, writing.name)
            except platform.UnavailableError as exc:
                await trio.sleep(exc.retry_after_s or RETRY_PAUSE_S)


class SettledClient(Sender):
    """The conditional writes of a store's client, which sends each call itself.

    :param deadline_s: longest time of a write with all its repeats.
    """

    def __init__(self, deadline_s: float) -> None:
        self._writer = Writer(self, deadline_s)

    async def create(self, kind: str, name: str, value: bytes, nonce: str = "") -> platform.Stored:
        """Write an object that must not be there yet; an empty nonce gets a random one."""
        return await self._writer.write(settle.Write.CREATE, kind, name, value, 0, nonce)

    async def update(
        self, kind: str, name: str, value: bytes, version: int, nonce: str = ""
    ) -> platform.Stored:
        """Write an object that must still be at ``version``."""
        return await self._writer.write(settle.Write.UPDATE, kind, name, value, version, nonce)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Remove an object that must still be at ``version``; one already gone is no error."""
        await self._writer.write(settle.Write.DELETE, kind, name, b"", version, "")


@dataclasses.dataclass(slots=True)
class _Sent:
    """Whether any sending of a write may have taken effect."""

    maybe: bool = False


def _compare(writing: Writing, found: platform.Stored | None) -> settle.Seen:
    version = found.version if found else 0
    nonce = found.nonce if found else ""
    return settle.seen(writing.write, writing.version, writing.nonce, version, nonce)


def _conflict(
    writing: Writing, current: platform.Stored | None, *, outcome_unknown: bool
) -> platform.ConflictError:
    return platform.ConflictError(
        f"{writing.kind}/{writing.name} is at another version",
        step=writing.step,
        current=current,
        outcome_unknown=outcome_unknown,
    )
