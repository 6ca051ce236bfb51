"""HTTP routes of the manifest: for operators, and for the other VMs of the fleet."""

import time

import quart

from cornelgrade import errors, kernel, settings
from cornelgrade.adapters import peer_auth, peer_key, peer_manifest, platform_http
from cornelgrade.policy import manifest_rules
from cornelgrade.services import ports
from cornelgrade.services.web import access

PATH = "/v1/manifest"
_JSON = "application/json"


def if_match_version(header: str | None) -> int | None:
    """Read the version out of an ``If-Match`` header.

    :raises Refusal: ``BAD_REQUEST`` if it is no entity tag of a manifest.
    """
    if header is None:
        return None
    try:
        return platform_http.version_of(header)
    except ValueError:
        message = "If-Match: send the ETag of the manifest that this one replaces"
        raise errors.Refusal(errors.Code.BAD_REQUEST, message, step="read If-Match") from None


def _in_force(kern: kernel.Kernel) -> ports.AcceptedManifest:
    found = kern.find("configuration", ports.Configuration).current()
    if found is None:
        raise errors.Refusal(errors.Code.NOT_FOUND, "no manifest yet", step="read manifest")
    return found


def _answer(found: ports.AcceptedManifest, body: bytes) -> quart.Response:
    made = quart.Response(body, content_type=_JSON)
    made.headers["ETag"] = platform_http.etag(found.version)
    confirmed = peer_manifest.CONFIRMED if found.confirmed else "no"
    made.headers[peer_manifest.CONFIRMED_HEADER] = confirmed
    return made


def create_blueprint(kern: kernel.Kernel, cfg: settings.Settings) -> quart.Blueprint:
    """Make the routes; refusals are raised for the app to turn into answers."""
    routes = quart.Blueprint("manifest", __name__)
    key = peer_key.read(cfg.peer_key_file)

    @routes.get(PATH)
    async def read() -> quart.Response:
        access.require_operator(quart.request, cfg.operator_key_hashes)
        found = _in_force(kern)
        return _answer(found, manifest_rules.encode(found.manifest))

    @routes.put(PATH)
    async def write() -> quart.Response:
        access.require_operator(quart.request, cfg.operator_key_hashes)
        based_on = if_match_version(quart.request.headers.get("If-Match"))
        raw = bytes(await quart.request.get_data(as_text=False))  # type: ignore[arg-type]
        service = kern.find("configuration", ports.Configuration)
        found = await service.put(raw, based_on)
        return _answer(found, manifest_rules.encode(found.manifest))

    @routes.get(peer_manifest.PATH)
    async def read_as_peer() -> quart.Response:
        header = quart.request.headers.get(peer_auth.AUTH_HEADER)
        nonce = peer_auth.check_auth(
            key, header, cfg.gateway_address, peer_manifest.PATH, time.time()
        )
        found = _in_force(kern)
        body = manifest_rules.encode(found.manifest)
        made = _answer(found, body)
        confirmed = made.headers[peer_manifest.CONFIRMED_HEADER]
        parts = peer_manifest.signed(found.version, confirmed, body)
        made.headers[peer_auth.TAG_HEADER] = peer_auth.answer_tag(key, nonce, *parts)
        return made

    return routes
