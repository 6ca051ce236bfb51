"""Writes the manifest object: check, decide, conditional write, settle a lost answer."""

import secrets
import time
from collections.abc import Awaitable, Callable

import msgspec
import trio

from cornelgrade import errors, manifest, validation
from cornelgrade.adapters import platform
from cornelgrade.policy import acceptance, manifest_rules
from cornelgrade.services import ports

KIND = "manifest"
NAME = "current"
_STEP = "accept manifest"
_ATTEMPTS = 4
_READ_BACKS = 5
_READ_BACK_PAUSE_S = 0.3
_RETRY_AFTER_S = 2.0


def kept(stored: platform.Stored) -> acceptance.Kept:
    """Decode the platform's object.

    :raises BadInputError: if this program can't read it.
    """
    try:
        return msgspec.json.decode(stored.value, type=acceptance.Kept)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.BadInputError((str(exc),), step="read manifest", peer="platform") from exc


def accepted(stored: platform.Stored) -> ports.AcceptedManifest:
    """Give the manifest of the platform's object."""
    decoded = manifest_rules.decode(bytes(kept(stored).manifest))
    return ports.AcceptedManifest(decoded, stored.version)


OpenUses = Callable[[manifest.Manifest], Awaitable[manifest_rules.Uses]]


class Writer:
    """Accepts manifests on behalf of one VM.

    :param open_uses: reads what open jobs use under the manifest in force.
    """

    def __init__(
        self,
        vm: str,
        store: platform.Platform,
        open_uses: OpenUses | None,
    ) -> None:
        self._vm = vm
        self._store = store
        self._open_uses = open_uses

    async def put(self, raw: bytes, if_match: int | None) -> ports.AcceptedManifest:
        """Check and accept a manifest; see :meth:`ports.Configuration.put`."""
        try:
            wanted = validation.load_manifest(raw)
        except errors.BadInputError as exc:
            raise _bad(exc.problems) from exc
        try:
            return await self._settle(wanted, if_match)
        except errors.BadInputError as exc:
            message = "this VM can't read the manifest in force"
            raise errors.Refusal(errors.Code.INTERNAL, message, step=_STEP) from exc
        except platform.TooLargeError as exc:
            raise errors.Refusal(errors.Code.TOO_LARGE, exc.message, step=_STEP) from exc
        except platform.UnavailableError as exc:
            raise _unavailable(exc) from exc

    async def _settle(
        self, wanted: manifest.Manifest, if_match: int | None
    ) -> ports.AcceptedManifest:
        encoded = manifest_rules.encode(wanted)
        digest = acceptance.digest(encoded)
        for _ in range(_ATTEMPTS):
            there = await self._store.get(KIND, NAME)
            before = kept(there) if there is not None else None
            version = there.version if there is not None else 0
            decision = acceptance.decide(before, version, digest, if_match)
            if decision.outcome is acceptance.Outcome.SAME:
                return ports.AcceptedManifest(wanted, decision.version)
            if decision.outcome is acceptance.Outcome.STALE:
                raise _stale(there, wanted, version)
            await self._check(wanted, there)
            entry = acceptance.Acceptance(digest, version, time.time(), self._vm)
            value = msgspec.json.encode(acceptance.extended(before, encoded, entry))
            try:
                stored = await self._write(value, version)
            except platform.ConflictError:
                continue
            if stored is not None:
                return ports.AcceptedManifest(wanted, stored.version)
        raise errors.Refusal(
            errors.Code.CONFLICT, "the manifest keeps changing; try again", step=_STEP
        )

    async def _check(self, wanted: manifest.Manifest, there: platform.Stored | None) -> None:
        current = accepted(there).manifest if there is not None else None
        uses = None
        if self._open_uses is not None and current and manifest_rules.removes(wanted, current):
            uses = await self._open_uses(current)
        found = manifest_rules.problems(wanted, uses)
        if found:
            raise _bad(found)

    async def _write(self, value: bytes, version: int) -> platform.Stored | None:
        """Write; ``None`` after a lost answer that reading back has to settle."""
        nonce = secrets.token_hex(8)
        try:
            if version:
                return await self._store.update(KIND, NAME, value, version, nonce)
            return await self._store.create(KIND, NAME, value, nonce)
        except platform.UnavailableError as exc:
            if not exc.outcome_unknown:
                raise
            await self._read_back(exc)
            return None

    async def _read_back(self, lost: platform.UnavailableError) -> None:
        for _ in range(_READ_BACKS):
            try:
                await self._store.get(KIND, NAME)
            except platform.UnavailableError:
                await trio.sleep(_READ_BACK_PAUSE_S)
            else:
                return
        raise lost


def _bad(problems: tuple[str, ...]) -> errors.Refusal:
    return errors.Refusal(errors.Code.BAD_REQUEST, "; ".join(problems), step="check manifest")


def _stale(
    there: platform.Stored | None, wanted: manifest.Manifest, version: int
) -> errors.Refusal:
    if there is None:
        message = "there is no manifest yet; send it without If-Match"
    else:
        theirs = accepted(there).manifest
        shown = manifest_rules.difference(theirs, wanted)
        message = f"the version in force is {version}; difference to yours: {shown}"
    return errors.Refusal(errors.Code.STALE, message, step=_STEP)


def _unavailable(exc: platform.UnavailableError) -> errors.Refusal:
    unknown = exc.outcome_unknown
    message = (
        "the platform's answer was lost: it may be accepted; send the same bytes again, "
        "they are the same acceptance"
        if unknown
        else "not accepted: the platform can't be reached"
    )
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        message,
        step=_STEP,
        ran=errors.Ran.UNKNOWN if unknown else errors.Ran.NO,
        retry_after_s=exc.retry_after_s or _RETRY_AFTER_S,
        peer="platform",
    )
