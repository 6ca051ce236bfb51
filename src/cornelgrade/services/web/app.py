"""The HTTP application: registers blueprints and returns errors as JSON."""

from collections.abc import Iterable

import quart
import quart_trio
from werkzeug import exceptions

from cornelgrade import errors, logs

MAX_JOB_BYTES = 2_000_000_000

_log = logs.Logger("web")

_CODES_BY_STATUS: dict[int, errors.Code] = {
    400: errors.Code.BAD_REQUEST,
    404: errors.Code.NOT_FOUND,
    405: errors.Code.BAD_REQUEST,
    413: errors.Code.TOO_LARGE,
}


def create_app(blueprints: Iterable[quart.Blueprint]) -> quart_trio.QuartTrio:
    """Create an application that serves ``blueprints``."""
    app = quart_trio.QuartTrio("cornelgrade")
    app.config["MAX_CONTENT_LENGTH"] = MAX_JOB_BYTES
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = None
    for blueprint in blueprints:
        app.register_blueprint(blueprint)
    app.register_error_handler(errors.Refusal, _handle_refusal)
    app.register_error_handler(exceptions.HTTPException, _handle_http_error)
    app.register_error_handler(Exception, _handle_unexpected_error)
    return app


def _refusal_response(refusal: errors.Refusal) -> quart.Response:
    response = quart.Response(
        refusal.body(), status=refusal.status, content_type="application/json"
    )
    if refusal.retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return response


async def _handle_refusal(exc: errors.Refusal) -> quart.Response:
    _log.info(
        "refused",
        code=exc.code.value,
        step=exc.step,
        peer=exc.peer,
        ran=exc.ran.value,
        path=quart.request.path,
    )
    return _refusal_response(exc)


async def _handle_http_error(exc: exceptions.HTTPException) -> quart.Response:
    code = _CODES_BY_STATUS.get(exc.code or 500, errors.Code.BAD_REQUEST)
    response = _refusal_response(errors.Refusal(code, exc.description or exc.name, step="http"))
    response.status_code = exc.code or 500
    return response


async def _handle_unexpected_error(exc: Exception) -> quart.Response:
    _log.error("unhandled_error", error=repr(exc), path=quart.request.path)
    return _refusal_response(
        errors.Refusal(
            errors.Code.INTERNAL, "unexpected error", step="http", ran=errors.Ran.UNKNOWN
        )
    )
