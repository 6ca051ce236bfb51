"""Who is calling: bearer keys to teams, checked against the manifest in force."""

import dataclasses
import hashlib

import quart

from cornelgrade import errors, kernel, manifest
from cornelgrade.services import ports

_SCHEME = "Bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller and the manifest under which its request began."""

    team: manifest.Team
    accepted: ports.AcceptedManifest


def hash_key(key: str) -> str:
    """Hash a caller's key as the manifest holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_hash(header: str | None) -> str:
    """Hash the key of an ``Authorization`` header.

    :raises Refusal: ``UNAUTHORIZED`` if there is none.
    """
    if header is None or not header.startswith(_SCHEME):
        raise errors.Refusal(
            errors.Code.UNAUTHORIZED, "send Authorization: Bearer KEY", step="authenticate"
        )
    return hash_key(header.removeprefix(_SCHEME).strip())


def caller(kern: kernel.Kernel, req: quart.Request) -> Caller:
    """Find the team whose key the request carries.

    :raises Refusal: ``UNAUTHORIZED`` for a wrong key, ``UNAVAILABLE`` before the first manifest.
    """
    accepted = kern.find("configuration", ports.Configuration).current()
    if accepted is None:
        raise errors.Refusal(
            errors.Code.UNAVAILABLE, "no manifest yet", step="authenticate", retry_after_s=2.0
        )
    hashed = bearer_hash(req.headers.get("Authorization"))
    for team in accepted.manifest.teams:
        if hashed in team.key_hashes:
            return Caller(team=team, accepted=accepted)
    raise errors.Refusal(errors.Code.UNAUTHORIZED, "unknown key", step="authenticate")


def require_operator(req: quart.Request, operator_key_hashes: tuple[str, ...]) -> None:
    """Let only operators pass; their keys' hashes stand in the VM's settings.

    :raises Refusal: ``UNAUTHORIZED`` or ``FORBIDDEN``.
    """
    if bearer_hash(req.headers.get("Authorization")) not in operator_key_hashes:
        raise errors.Refusal(errors.Code.FORBIDDEN, "not an operator's key", step="authenticate")
