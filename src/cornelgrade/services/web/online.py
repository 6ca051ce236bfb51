"""Online requests: ``/v1/chat/completions``, ``/v1/completions`` and ``/v1/services``."""

import contextlib
import dataclasses
import uuid

import msgspec
import quart
import trio

from cornelgrade import errors, kernel, manifest, tracing
from cornelgrade.adapters import engine
from cornelgrade.policy import request_traits, routing
from cornelgrade.services import drain, exchange, online
from cornelgrade.services.web import access

SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
_TRACE_HEADERS = ("traceparent", "tracestate")
_FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")


class Prompt(msgspec.Struct, frozen=True):
    """The fields of a completion's body that the gateway reads; others are forwarded unread."""

    model: str
    stream: bool = False
    max_tokens: int = 16
    prompt: msgspec.Raw = msgspec.Raw(b"")
    messages: msgspec.Raw = msgspec.Raw(b"")


def create_blueprint(kern: kernel.Kernel) -> quart.Blueprint:
    """Create the routes of online requests."""
    routes = quart.Blueprint("online", __name__)

    @routes.post("/v1/chat/completions")
    @routes.post("/v1/completions")
    async def complete() -> quart.Response:
        caller = access.authenticate_caller(kern, quart.request)
        body = await _read_body(caller)
        prompt = _decode_prompt(body)
        service = _find_model_service(caller.accepted.manifest, prompt.model)
        req = _build_request(caller, service, quart.request.path, body, prompt)
        return await _serve_request(kern, caller, req)

    @routes.route("/v1/services/<name>/<path:path>", methods=SERVICE_METHODS)
    async def call_service(name: str, path: str) -> quart.Response:
        caller = access.authenticate_caller(kern, quart.request)
        body = await _read_body(caller)
        service = _find_plain_service(caller.accepted.manifest, name)
        query = quart.request.query_string.decode()
        target = f"/{path}?{query}" if query else f"/{path}"
        req = _build_request(caller, service, target, body, None)
        return await _serve_request(kern, caller, req)

    return routes


async def _serve_request(
    kern: kernel.Kernel, caller: access.Caller, req: exchange.Request
) -> quart.Response:
    stack = contextlib.AsyncExitStack()
    try:
        parent = tracing.extract(_select_headers(quart.request.headers, _TRACE_HEADERS))
        span = stack.enter_context(
            tracing.start_span(tracing.Hop.REQUEST, parent, request=req.request_id, team=req.team)
        )
        stack.enter_context(kern.find("drain", drain.Drain).request(req.request_id))
        service = kern.find("online", online.Online)
        with tracing.start_span(tracing.Hop.ADMIT, span):
            service.admit(caller.team)
        trace_headers = tuple(tracing.inject(span).items())
        req = dataclasses.replace(req, span=span, headers=(*req.headers, *trace_headers))
        parts = await stack.enter_async_context(contextlib.aclosing(service.serve(req)))
        head = await anext(parts)
        assert isinstance(head, exchange.ResponseHead)
        if not req.stream:
            body = b"".join([part async for part in parts if isinstance(part, bytes)])
            await stack.aclose()
            return _build_response(req, head, body)
        return _build_response(req, head, _Events(stack, parts))
    except BaseException:
        await stack.aclose()
        raise


class _Events:
    """Relays a response stream; if it fails, ends it with an error event.

    This is a class because closing a generator that was never started would not run its cleanup,
    and so would leave the upstream call, the drain entry and the span open.
    """

    def __init__(self, stack: contextlib.AsyncExitStack, parts: exchange.ResponseParts) -> None:
        self._stack = stack
        self._parts = parts
        self._failed = False

    def __aiter__(self) -> "_Events":
        return self

    async def __anext__(self) -> bytes:
        if self._failed:
            raise StopAsyncIteration
        try:
            part = await anext(self._parts)
        except errors.Refusal as exc:
            self._failed = True
            return b"event: error\ndata: " + exc.body() + engine.EVENT_END
        assert isinstance(part, bytes)
        return part

    async def aclose(self) -> None:
        """Close the upstream call, the drain entry and the span."""
        await self._stack.aclose()


def _build_response(req: exchange.Request, head: exchange.ResponseHead, body) -> quart.Response:
    response = quart.Response(body, status=head.status)
    for name, value in head.headers:
        response.headers[name] = value
    response.headers["X-Request-Id"] = req.request_id
    return response


async def _read_body(caller: access.Caller) -> bytes:
    limit = caller.accepted.manifest.online.max_body_bytes
    chunks: list[bytes] = []
    async for chunk in quart.request.body:
        chunks.append(chunk)
        if sum(map(len, chunks)) > limit:
            raise errors.Refusal(
                errors.Code.TOO_LARGE, f"the body is over {limit} bytes", step="read_body"
            )
    return b"".join(chunks)


def _decode_prompt(body: bytes) -> Prompt:
    try:
        return msgspec.json.decode(body, type=Prompt)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.Refusal(errors.Code.BAD_REQUEST, str(exc), step="read_body") from exc


def _find_model_service(current_manifest: manifest.Manifest, model: str) -> manifest.Service:
    for service in current_manifest.services:
        if service.kind == "model" and model in service.models:
            return service
    raise errors.Refusal(errors.Code.NOT_FOUND, f"no model {model}", step="route")


def _find_plain_service(current_manifest: manifest.Manifest, name: str) -> manifest.Service:
    for service in current_manifest.services:
        if service.kind == "plain" and service.name == name:
            return service
    raise errors.Refusal(errors.Code.NOT_FOUND, f"no service {name}", step="route")


def _build_request(
    caller: access.Caller,
    service: manifest.Service,
    path: str,
    body: bytes,
    prompt: Prompt | None,
) -> exchange.Request:
    headers = quart.request.headers
    policy = caller.accepted.manifest.online
    idempotent = headers.get("Cornelgrade-Idempotent", "true").lower() != "false"
    if any(path.startswith(route) for route in service.non_idempotent_routes):
        idempotent = False
    key = headers.get("Idempotency-Key", "")
    if not idempotent and not key:
        key = f"unnamed-{uuid.uuid4().hex}"
    return exchange.Request(
        request_id=headers.get("X-Request-Id") or uuid.uuid4().hex,
        team=caller.team.name,
        service=service.name,
        method=quart.request.method,
        path=path,
        body=body,
        headers=tuple(_select_headers(headers, _FORWARDED_HEADERS).items()),
        rank=_find_rank(caller, headers.get("Cornelgrade-Priority", "")),
        deadline_s=trio.current_time() + _parse_deadline_s(headers, policy.default_deadline_s),
        stream=prompt.stream if prompt else False,
        idempotent=idempotent,
        fingerprint=request_traits.fingerprint(
            path, body, engine.list_shared_messages(body) if prompt else ()
        ),
        prefix=routing.prefix_hash(bytes(prompt.messages or prompt.prompt)) if prompt else 0,
        max_tokens=prompt.max_tokens if prompt else 0,
        key=key,
    )


def _select_headers(headers, names: tuple[str, ...]) -> dict[str, str]:
    return {name: headers[name] for name in names if name in headers}


def _parse_deadline_s(headers, default_s: float) -> float:
    text = headers.get("Cornelgrade-Deadline-Ms")
    if text is None:
        return default_s
    if not text.isdigit() or int(text) == 0:
        raise errors.Refusal(
            errors.Code.BAD_REQUEST,
            "Cornelgrade-Deadline-Ms takes a whole number above 0",
            step="read_head",
        )
    return int(text) / 1000


def _find_rank(caller: access.Caller, name: str) -> int:
    priority = name or caller.team.priorities[0]
    if priority not in caller.team.priorities:
        raise errors.Refusal(
            errors.Code.FORBIDDEN,
            f"team {caller.team.name} has no priority {priority}",
            step="read_head",
        )
    return next(p.rank for p in caller.accepted.manifest.priorities if p.name == priority)
