"""Storage of responses: small ones inside their record, large ones in separate objects."""

import contextlib
from collections.abc import Awaitable, Callable

from cornelgrade.adapters import platform
from cornelgrade.policy import idempotency
from cornelgrade.services import ports

KIND = "answer"
INLINE_BYTES = 8_000
PART_BYTES = 900_000
MAX_CONTENT_TYPE_CHARS = 200
EXPIRY_UNIT_S = 3_600
CLEANUP_PAGE_SIZE = 4

Prepare = Callable[[], Awaitable[None]]


class ResponseStore:
    """Encodes responses for their records and reads them back.

    Object names begin with the hour of expiry, so that a list returns expired objects first and
    cleanup needs no full scan.

    :param store: the platform's object API.
    """

    def __init__(self, store: platform.Platform) -> None:
        self._store = store

    def pack(
        self, response: ports.StoredResponse, nonce: str, expires_at_s: float
    ) -> tuple[idempotency.Answer, Prepare | None]:
        """Return the response for the record, and the write that must precede it, if any."""
        content_type = response.content_type[:MAX_CONTENT_TYPE_CHARS]
        if len(response.body) <= INLINE_BYTES:
            return idempotency.Answer(response.status, content_type, response.body), None
        starts = range(0, len(response.body), PART_BYTES)
        hour = int(expires_at_s // EXPIRY_UNIT_S) + 1
        parts = {
            f"{hour:08d}-{nonce}-{number:03d}": response.body[start : start + PART_BYTES]
            for number, start in enumerate(starts)
        }
        packed = idempotency.Answer(response.status, content_type, b"", tuple(parts))
        return packed, lambda: self._write_parts(parts, nonce)

    async def read(self, response: idempotency.Answer) -> ports.StoredResponse:
        """Read the whole response.

        :raises UnavailableError: if a part of it cannot be read.
        """
        bodies = [response.body]
        for name in response.parts:
            stored = await self._store.get(KIND, name)
            if stored is None:
                raise platform.UnavailableError(f"no part {name}", step="read answer")
            bodies.append(stored.value)
        return ports.StoredResponse(response.status, response.content_type, b"".join(bodies))

    async def delete_expired(self, now_s: float) -> None:
        """Delete expired objects, oldest first.

        :raises UnavailableError: if the platform does not respond.
        """
        hour = f"{int(now_s // EXPIRY_UNIT_S):08d}"
        while True:
            page = await self._store.list(KIND, limit=CLEANUP_PAGE_SIZE)
            old = [stored for stored in page if stored.name < hour]
            for stored in old:
                with contextlib.suppress(platform.ConflictError):
                    await self._store.delete(KIND, stored.name, stored.version)
            if len(old) < CLEANUP_PAGE_SIZE:
                return

    async def _write_parts(self, parts: dict[str, bytes], nonce: str) -> None:
        """Create the parts; a conflict means that an earlier attempt has created the part."""
        for name, body in parts.items():
            with contextlib.suppress(platform.ConflictError):
                await self._store.create(KIND, name, body, nonce)
