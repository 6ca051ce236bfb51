"""Validates a manifest and writes it to the platform by a conditional write.

If the response to a write is lost, the writer reads the object back and decides again.
"""

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
_MAX_ATTEMPTS = 4
_MAX_READ_BACKS = 5
_READ_BACK_PAUSE_S = 0.3
_RETRY_AFTER_S = 2.0


def decode_stored(stored: platform.StoredObject) -> acceptance.StoredManifest:
    """Decode the platform's manifest object.

    :raises BadInputError: if this version of the program can't decode it.
    """
    try:
        return msgspec.json.decode(stored.value, type=acceptance.StoredManifest)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.BadInputError((str(exc),), step="read manifest", peer="platform") from exc


def decode_accepted(stored: platform.StoredObject) -> ports.AcceptedManifest:
    """Return the manifest in the platform's object, with the object's version."""
    decoded = manifest_rules.decode(bytes(decode_stored(stored).manifest))
    return ports.AcceptedManifest(decoded, stored.version)


ReadOpenUses = Callable[[manifest.Manifest], Awaitable[manifest_rules.NamesInUse]]


class Writer:
    """Accepts manifests on behalf of one VM.

    :param open_uses: reads the names that open jobs use under the manifest in force.
    """

    def __init__(
        self,
        vm: str,
        store: platform.Platform,
        open_uses: ReadOpenUses | None,
    ) -> None:
        self._vm = vm
        self._store = store
        self._open_uses = open_uses

    async def put(self, raw: bytes, if_match: int | None) -> ports.AcceptedManifest:
        """Validate and accept a manifest; see :meth:`ports.Configuration.put`."""
        try:
            submitted = validation.load_manifest(raw)
        except errors.BadInputError as exc:
            raise _bad_request(exc.problems) from exc
        try:
            return await self._accept(submitted, if_match)
        except errors.BadInputError as exc:
            message = "this VM can't read the manifest in force"
            raise errors.Refusal(errors.Code.INTERNAL, message, step=_STEP) from exc
        except platform.TooLargeError as exc:
            raise errors.Refusal(errors.Code.TOO_LARGE, exc.message, step=_STEP) from exc
        except platform.UnavailableError as exc:
            raise _unavailable_refusal(exc) from exc

    async def _accept(
        self, submitted: manifest.Manifest, if_match: int | None
    ) -> ports.AcceptedManifest:
        encoded = manifest_rules.encode(submitted)
        digest = acceptance.digest(encoded)
        for _ in range(_MAX_ATTEMPTS):
            existing = await self._store.get(KIND, NAME)
            previous = decode_stored(existing) if existing is not None else None
            version = existing.version if existing is not None else 0
            decision = acceptance.decide(previous, version, digest, if_match)
            if decision.outcome is acceptance.Outcome.SAME:
                return ports.AcceptedManifest(submitted, decision.version)
            if decision.outcome is acceptance.Outcome.STALE:
                raise _stale_refusal(existing, submitted, version)
            await self._check_manifest(submitted, existing)
            entry = acceptance.Acceptance(digest, version, time.time(), self._vm)
            value = msgspec.json.encode(acceptance.append_acceptance(previous, encoded, entry))
            try:
                stored = await self._write(value, version)
            except platform.ConflictError:
                continue
            if stored is not None:
                return ports.AcceptedManifest(submitted, stored.version)
        raise errors.Refusal(
            errors.Code.CONFLICT, "the manifest keeps changing; try again", step=_STEP
        )

    async def _check_manifest(
        self, submitted: manifest.Manifest, existing: platform.StoredObject | None
    ) -> None:
        current = decode_accepted(existing).manifest if existing is not None else None
        uses = None
        if (
            self._open_uses is not None
            and current
            and manifest_rules.removes_names(submitted, current)
        ):
            uses = await self._open_uses(current)
        problems = manifest_rules.find_problems(submitted, uses)
        if problems:
            raise _bad_request(problems)

    async def _write(self, value: bytes, version: int) -> platform.StoredObject | None:
        """Write the object; return ``None`` if the answer was lost and a read must settle it."""
        nonce = secrets.token_hex(8)
        try:
            if version:
                return await self._store.update(KIND, NAME, value, version, nonce)
            return await self._store.create(KIND, NAME, value, nonce)
        except platform.UnavailableError as exc:
            if not exc.outcome_unknown:
                raise
            await self._wait_readable(exc)
            return None

    async def _wait_readable(self, failure: platform.UnavailableError) -> None:
        for _ in range(_MAX_READ_BACKS):
            try:
                await self._store.get(KIND, NAME)
            except platform.UnavailableError:
                await trio.sleep(_READ_BACK_PAUSE_S)
            else:
                return
        raise failure


def _bad_request(problems: tuple[str, ...]) -> errors.Refusal:
    return errors.Refusal(errors.Code.BAD_REQUEST, "; ".join(problems), step="check manifest")


def _stale_refusal(
    existing: platform.StoredObject | None, submitted: manifest.Manifest, version: int
) -> errors.Refusal:
    if existing is None:
        message = "there is no manifest yet; send it without If-Match"
    else:
        in_force = decode_accepted(existing).manifest
        difference = manifest_rules.describe_differences(in_force, submitted)
        message = f"the version in force is {version}; difference to yours: {difference}"
    return errors.Refusal(errors.Code.STALE, message, step=_STEP)


def _unavailable_refusal(exc: platform.UnavailableError) -> errors.Refusal:
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
