"""Authentication: maps bearer keys to teams by the current manifest."""

import dataclasses

import quart

from cornelgrade import errors, kernel, manifest
from cornelgrade.policy import teams
from cornelgrade.services import ports

_BEARER_PREFIX = "Bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller and the manifest that was current when its request began."""

    team: manifest.Team
    accepted: ports.AcceptedManifest


def hash_key(key: str) -> str:
    """Return the hash of a key, in the form that the manifest and the settings store."""
    return teams.digest_key(key.encode()).hex()


def hash_bearer_key(header: str | None) -> str:
    """Return the hash of the bearer key in an ``Authorization`` header.

    :raises Refusal: ``UNAUTHORIZED`` if the header carries no bearer key.
    """
    if header is None or not header.startswith(_BEARER_PREFIX):
        raise errors.Refusal(
            errors.Code.UNAUTHORIZED, "send Authorization: Bearer KEY", step="authenticate"
        )
    return hash_key(header.removeprefix(_BEARER_PREFIX).strip())


def authenticate_caller(kern: kernel.Kernel, req: quart.Request) -> Caller:
    """Return the team whose key the request carries.

    :raises Refusal: ``UNAUTHORIZED`` for an unknown key, ``UNAVAILABLE`` before the first
        manifest is accepted.
    """
    accepted = kern.find("configuration", ports.Configuration).current()
    if accepted is None:
        raise errors.Refusal(
            errors.Code.UNAVAILABLE, "no manifest yet", step="authenticate", retry_after_s=2.0
        )
    hashed_key = hash_bearer_key(req.headers.get("Authorization"))
    return Caller(accepted.keys.authenticate((bytes.fromhex(hashed_key),)), accepted)


def require_operator(req: quart.Request, operator_key_hashes: tuple[str, ...]) -> None:
    """Check that the request carries an operator's key.

    :param operator_key_hashes: the hashes from the VM's settings.
    :raises Refusal: ``UNAUTHORIZED`` without a key, ``FORBIDDEN`` for any other key.
    """
    if hash_bearer_key(req.headers.get("Authorization")) not in operator_key_hashes:
        raise errors.Refusal(errors.Code.FORBIDDEN, "not an operator's key", step="authenticate")
