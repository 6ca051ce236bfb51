"""``GET /v1/requests/KEY``: the stored response of a team's keyed request, or its state."""

import msgspec
import quart

from cornelgrade import errors, kernel, settings
from cornelgrade.services import ports
from cornelgrade.services.web import access

RETRY_AFTER_S = 1


class RequestStateBody(msgspec.Struct, frozen=True):
    """The state of a request that has no stored response."""

    key: str
    state: str


_STATUS_CODES = {ports.RequestState.RUNNING: 202, ports.RequestState.UNKNOWN: 200}


def create_blueprint(kern: kernel.Kernel, cfg: settings.Settings) -> quart.Blueprint:
    """Create the routes of keyed requests."""
    routes = quart.Blueprint("requests", __name__)

    @routes.get("/v1/requests/<path:key>")
    async def get_request(key: str) -> quart.Response:
        team = access.authenticate_caller(kern, quart.request).team
        result = await kern.find("records", ports.Records).inspect(team.name, key)
        if isinstance(result, ports.StoredResponse):
            return _stored_response(result)
        return _state_response(key, result)

    return routes


def _stored_response(stored: ports.StoredResponse) -> quart.Response:
    response = quart.Response(stored.body, status=stored.status, content_type=stored.content_type)
    response.headers["Cornelgrade-Replayed"] = "true"
    response.headers["Cornelgrade-Recorded"] = str(stored.recorded).lower()
    return response


def _state_response(key: str, state: ports.RequestState) -> quart.Response:
    if state is ports.RequestState.NOT_FOUND:
        # Requests that may be repeated can run without a record, and records expire.
        raise errors.Refusal(
            errors.Code.NOT_FOUND,
            f"no request with key {key} is recorded",
            step="record",
            ran=errors.Ran.UNKNOWN,
        )
    body = msgspec.json.encode(RequestStateBody(key, state.value))
    response = quart.Response(body, status=_STATUS_CODES[state], content_type="application/json")
    if state is ports.RequestState.RUNNING:
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response
