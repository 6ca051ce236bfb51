"""Retries of platform calls: reads for a short time, writes until their outcome is known.

A write whose response was lost is recognized by its nonce when the retry conflicts with it.
"""

import dataclasses
import math
import secrets

import trio

from cornelgrade.adapters import platform

READ_RETRY_LIMIT_S = 3.0
WRITE_RETRY_LIMIT_S = 5.0
FOREVER_S = math.inf
_INITIAL_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.0


class _Backoff:
    """Pauses between retries that double up to a maximum, until a time limit."""

    def __init__(self, retry_limit_s: float) -> None:
        self._end_s = trio.current_time() + retry_limit_s
        self._pause_s = _INITIAL_PAUSE_S

    async def wait(self, exc: platform.UnavailableError) -> None:
        """Pause, or raise ``exc`` if the pause would exceed the time limit."""
        pause_s = max(self._pause_s, exc.retry_after_s or 0.0)
        if trio.current_time() + pause_s > self._end_s:
            raise exc
        await trio.sleep(pause_s)
        self._pause_s = min(self._pause_s * 2, _MAX_PAUSE_S)


async def read(
    plat: platform.Platform, kind: str, name: str, retry_limit_s: float = READ_RETRY_LIMIT_S
) -> platform.StoredObject | None:
    """Read one object, with retries while the platform is unavailable."""
    backoff = _Backoff(retry_limit_s)
    while True:
        try:
            return await plat.get(kind, name)
        except platform.UnavailableError as exc:
            await backoff.wait(exc)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryingWriter:
    """Conditional writes whose outcome is known when they return.

    :param retry_limit_s: seconds for which a write is retried during an outage.
    """

    plat: platform.Platform
    retry_limit_s: float

    async def create(self, kind: str, name: str, value: bytes) -> platform.StoredObject:
        """Write an object that must not exist yet."""
        return await self.write(kind, name, value, 0)

    async def update(
        self, kind: str, name: str, value: bytes, version: int
    ) -> platform.StoredObject:
        """Write an object that must still be at ``version``."""
        return await self.write(kind, name, value, version)

    async def write(
        self, kind: str, name: str, value: bytes, version: int
    ) -> platform.StoredObject:
        """Create (version 0) or update an object.

        :raises ConflictError: another write is stored; this one had no effect, or a process that
            read its value has replaced it since.
        :raises UnavailableError: with ``outcome_unknown`` if any attempt may have had an effect.
        """
        nonce = secrets.token_hex(8)
        unknown = False
        backoff = _Backoff(self.retry_limit_s)
        while True:
            try:
                if version == 0:
                    return await self.plat.create(kind, name, value, nonce)
                return await self.plat.update(kind, name, value, version, nonce)
            except platform.ConflictError as exc:
                if exc.current is not None and exc.current.nonce == nonce:
                    return exc.current
                raise
            except platform.UnavailableError as exc:
                unknown = unknown or exc.outcome_unknown
                try:
                    await backoff.wait(exc)
                except platform.UnavailableError as last:
                    raise platform.UnavailableError(
                        last.message, step=last.step, outcome_unknown=unknown
                    ) from exc
