"""``GET /v1/requests/KEY``: the stored answer of a team's keyed request, or its state."""

import msgspec
import quart

from cornelgrade import errors, kernel, settings
from cornelgrade.services import ports
from cornelgrade.services.web import access

RETRY_AFTER_S = 1


class RequestBody(msgspec.Struct, frozen=True):
    """What a caller gets of a request that has no stored answer."""

    key: str
    state: str


_STATUS = {ports.RequestState.RUNNING: 202, ports.RequestState.UNKNOWN: 200}


def create_blueprint(kern: kernel.Kernel, cfg: settings.Settings) -> quart.Blueprint:
    """Make the routes of keyed requests."""
    made = quart.Blueprint("requests", __name__)

    @made.get("/v1/requests/<path:key>")
    async def show(key: str) -> quart.Response:
        team = access.caller(kern, quart.request).team
        found = await kern.find("records", ports.Records).inspect(team.name, key)
        if isinstance(found, ports.StoredAnswer):
            return _answer(found)
        return _state(key, found)

    return made


def _answer(found: ports.StoredAnswer) -> quart.Response:
    response = quart.Response(found.body, status=found.status, content_type=found.content_type)
    response.headers["Cornelgrade-Replayed"] = "true"
    response.headers["Cornelgrade-Recorded"] = str(found.recorded).lower()
    return response


def _state(key: str, state: ports.RequestState) -> quart.Response:
    if state is ports.RequestState.NOT_FOUND:
        raise errors.Refusal(errors.Code.NOT_FOUND, f"no request with key {key}", step="record")
    body = msgspec.json.encode(RequestBody(key, state.value))
    response = quart.Response(body, status=_STATUS[state], content_type="application/json")
    if state is ports.RequestState.RUNNING:
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response
