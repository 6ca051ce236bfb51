"""``/v1/manifest`` for operators, and the manifest route for peers."""

import time

import quart

from cornelgrade import errors, kernel, settings
from cornelgrade.adapters import peer_auth, peer_key, peer_manifest, platform_http
from cornelgrade.policy import manifest_rules
from cornelgrade.services import ports
from cornelgrade.services.web import access

PATH = "/v1/manifest"
_JSON = "application/json"


def parse_if_match(header: str | None) -> int | None:
    """Return the version in an ``If-Match`` header, ``None`` without one.

    :raises Refusal: ``BAD_REQUEST`` if the header is not a manifest's entity tag.
    """
    if header is None:
        return None
    try:
        return platform_http.parse_etag(header)
    except ValueError:
        message = "If-Match: send the ETag of the manifest that this one replaces"
        raise errors.Refusal(errors.Code.BAD_REQUEST, message, step="read If-Match") from None


def _get_current_manifest(kern: kernel.Kernel) -> ports.AcceptedManifest:
    accepted = kern.find("configuration", ports.Configuration).current()
    if accepted is None:
        raise errors.Refusal(errors.Code.NOT_FOUND, "no manifest yet", step="read manifest")
    return accepted


def _manifest_response(accepted: ports.AcceptedManifest, body: bytes) -> quart.Response:
    response = quart.Response(body, content_type=_JSON)
    response.headers["ETag"] = platform_http.format_etag(accepted.version)
    confirmed = peer_manifest.CONFIRMED if accepted.confirmed else "no"
    response.headers[peer_manifest.CONFIRMED_HEADER] = confirmed
    return response


def create_blueprint(kern: kernel.Kernel, cfg: settings.Settings) -> quart.Blueprint:
    """Create the routes; they raise refusals, which the application turns into responses."""
    routes = quart.Blueprint("manifest", __name__)
    key = peer_key.read(cfg.peer_key_file)

    @routes.get(PATH)
    async def get_manifest() -> quart.Response:
        access.require_operator(quart.request, cfg.operator_key_hashes)
        accepted = _get_current_manifest(kern)
        return _manifest_response(accepted, manifest_rules.encode(accepted.manifest))

    @routes.put(PATH)
    async def put_manifest() -> quart.Response:
        access.require_operator(quart.request, cfg.operator_key_hashes)
        based_on = parse_if_match(quart.request.headers.get("If-Match"))
        raw = bytes(await quart.request.get_data(as_text=False))  # type: ignore[arg-type]
        configuration = kern.find("configuration", ports.Configuration)
        accepted = await configuration.put(raw, based_on)
        return _manifest_response(accepted, manifest_rules.encode(accepted.manifest))

    @routes.get(peer_manifest.PATH)
    async def get_manifest_as_peer() -> quart.Response:
        header = quart.request.headers.get(peer_auth.AUTH_HEADER)
        nonce = peer_auth.verify_auth_header(
            key, header, cfg.gateway_address, peer_manifest.PATH, time.time()
        )
        accepted = _get_current_manifest(kern)
        body = manifest_rules.encode(accepted.manifest)
        response = _manifest_response(accepted, body)
        confirmed = response.headers[peer_manifest.CONFIRMED_HEADER]
        signed_parts = peer_manifest.signed_parts(accepted.version, confirmed, body)
        response.headers[peer_auth.TAG_HEADER] = peer_auth.make_response_tag(
            key, nonce, *signed_parts
        )
        return response

    return routes
