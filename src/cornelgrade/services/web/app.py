"""The HTTP application: blueprints, and refusals as JSON."""

from collections.abc import Iterable

import quart
import quart_trio
from werkzeug import exceptions

from cornelgrade import errors, logs

MAX_JOB_BYTES = 2_000_000_000

_log = logs.Logger("web")

_HTTP_CODES: dict[int, errors.Code] = {
    400: errors.Code.BAD_REQUEST,
    404: errors.Code.NOT_FOUND,
    405: errors.Code.BAD_REQUEST,
    413: errors.Code.TOO_LARGE,
}


def create_app(blueprints: Iterable[quart.Blueprint]) -> quart_trio.QuartTrio:
    """Make the application of one gateway."""
    app = quart_trio.QuartTrio("cornelgrade")
    app.config["MAX_CONTENT_LENGTH"] = MAX_JOB_BYTES
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = None
    for blueprint in blueprints:
        app.register_blueprint(blueprint)
    app.register_error_handler(errors.Refusal, _on_refusal)
    app.register_error_handler(exceptions.HTTPException, _on_http_error)
    app.register_error_handler(Exception, _on_error)
    return app


def _respond(refusal: errors.Refusal) -> quart.Response:
    response = quart.Response(
        refusal.body(), status=refusal.status, content_type="application/json"
    )
    if refusal.retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return response


async def _on_refusal(exc: errors.Refusal) -> quart.Response:
    _log.info(
        "refused",
        code=exc.code.value,
        step=exc.step,
        peer=exc.peer,
        ran=exc.ran.value,
        path=quart.request.path,
    )
    return _respond(exc)


async def _on_http_error(exc: exceptions.HTTPException) -> quart.Response:
    code = _HTTP_CODES.get(exc.code or 500, errors.Code.BAD_REQUEST)
    response = _respond(errors.Refusal(code, exc.description or exc.name, step="http"))
    response.status_code = exc.code or 500
    return response


async def _on_error(exc: Exception) -> quart.Response:
    _log.error("unexpected", error=repr(exc), path=quart.request.path)
    return _respond(
        errors.Refusal(
            errors.Code.INTERNAL, "unexpected error", step="http", ran=errors.Ran.UNKNOWN
        )
    )
