"""``/v1/chat/completions``, ``/v1/completions`` and ``/v1/services``: requests answered now."""

import contextlib
import dataclasses
import uuid

import msgspec
import quart
import trio

from cornelgrade import errors, kernel, manifest, tracing
from cornelgrade.adapters import engine
from cornelgrade.policy import quarantine, routing
from cornelgrade.services import drain, exchange, online
from cornelgrade.services.web import access

SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
_TRACE_CONTEXT = ("traceparent", "tracestate")
_PASSED_ON = ("content-type", "accept", "idempotency-key")


class Prompt(msgspec.Struct, frozen=True):
    """The parts of a completion's body that the gateway reads; the rest passes unread."""

    model: str
    stream: bool = False
    max_tokens: int = 16
    prompt: msgspec.Raw = msgspec.Raw(b"")
    messages: msgspec.Raw = msgspec.Raw(b"")


def create_blueprint(kern: kernel.Kernel) -> quart.Blueprint:
    """Make the routes of the online path."""
    made = quart.Blueprint("online", __name__)

    @made.post("/v1/chat/completions")
    @made.post("/v1/completions")
    async def complete() -> quart.Response:
        caller = access.caller(kern, quart.request)
        body = await _body(caller)
        prompt = _decode(body)
        service = _service_of_model(caller.accepted.manifest, prompt.model)
        req = _request(caller, service, quart.request.path, body, prompt)
        return await _answer(kern, caller, req)

    @made.route("/v1/services/<name>/<path:path>", methods=SERVICE_METHODS)
    async def call_service(name: str, path: str) -> quart.Response:
        caller = access.caller(kern, quart.request)
        body = await _body(caller)
        service = _service(caller.accepted.manifest, name)
        query = quart.request.query_string.decode()
        target = f"/{path}?{query}" if query else f"/{path}"
        req = _request(caller, service, target, body, None)
        return await _answer(kern, caller, req)

    return made


async def _answer(
    kern: kernel.Kernel, caller: access.Caller, req: exchange.Request
) -> quart.Response:
    stack = contextlib.AsyncExitStack()
    try:
        parent = tracing.extract(_picked(quart.request.headers, _TRACE_CONTEXT))
        span = stack.enter_context(
            tracing.start_span(tracing.Hop.REQUEST, parent, request=req.request_id, team=req.team)
        )
        stack.enter_context(kern.find("drain", drain.Drain).request(req.request_id))
        service = kern.find("online", online.Online)
        with tracing.start_span(tracing.Hop.ADMIT, span):
            service.admit(caller.team)
        traced = tuple(tracing.inject(span).items())
        req = dataclasses.replace(req, span=span, headers=(*req.headers, *traced))
        parts = await stack.enter_async_context(contextlib.aclosing(service.serve(req)))
        head = await anext(parts)
        assert isinstance(head, exchange.Head)
        if not req.stream:
            body = b"".join([part async for part in parts if isinstance(part, bytes)])
            await stack.aclose()
            return _response(req, head, body)
        return _response(req, head, _Events(stack, parts))
    except BaseException:
        await stack.aclose()
        raise


class _Events:
    """Relays a stream; one that cannot go on ends with an explicit error event.

    A class rather than a generator, so that closing it gives everything back even when its first
    part was never asked for.
    """

    def __init__(self, stack: contextlib.AsyncExitStack, parts: exchange.Parts) -> None:
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
        """Give the upstream and the drain count back."""
        await self._stack.aclose()


def _response(req: exchange.Request, head: exchange.Head, body) -> quart.Response:
    response = quart.Response(body, status=head.status)
    for name, value in head.headers:
        response.headers[name] = value
    response.headers["X-Request-Id"] = req.request_id
    return response


async def _body(caller: access.Caller) -> bytes:
    limit = caller.accepted.manifest.online.max_body_bytes
    chunks: list[bytes] = []
    async for chunk in quart.request.body:
        chunks.append(chunk)
        if sum(map(len, chunks)) > limit:
            raise errors.Refusal(
                errors.Code.TOO_LARGE, f"the body is over {limit} bytes", step="read_body"
            )
    return b"".join(chunks)


def _decode(body: bytes) -> Prompt:
    try:
        return msgspec.json.decode(body, type=Prompt)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.Refusal(errors.Code.BAD_REQUEST, str(exc), step="read_body") from exc


def _service_of_model(wanted: manifest.Manifest, model: str) -> manifest.Service:
    for service in wanted.services:
        if service.kind == "model" and model in service.models:
            return service
    raise errors.Refusal(errors.Code.NOT_FOUND, f"no model {model}", step="route")


def _service(wanted: manifest.Manifest, name: str) -> manifest.Service:
    for service in wanted.services:
        if service.kind == "plain" and service.name == name:
            return service
    raise errors.Refusal(errors.Code.NOT_FOUND, f"no service {name}", step="route")


def _request(
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
        headers=tuple(_picked(headers, _PASSED_ON).items()),
        rank=_rank(caller, headers.get("Cornelgrade-Priority", "")),
        deadline_s=trio.current_time() + _deadline_s(headers, policy.default_deadline_s),
        stream=prompt.stream if prompt else False,
        idempotent=idempotent,
        fingerprint=quarantine.fingerprint(path, body),
        prefix=routing.prefix_hash(bytes(prompt.messages or prompt.prompt)) if prompt else 0,
        max_tokens=prompt.max_tokens if prompt else 0,
        key=key,
    )


def _picked(headers, names: tuple[str, ...]) -> dict[str, str]:
    return {name: headers[name] for name in names if name in headers}


def _deadline_s(headers, default_s: float) -> float:
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


def _rank(caller: access.Caller, name: str) -> int:
    wanted = name or caller.team.priorities[0]
    if wanted not in caller.team.priorities:
        raise errors.Refusal(
            errors.Code.FORBIDDEN,
            f"team {caller.team.name} has no priority {wanted}",
            step="read_head",
        )
    return next(p.rank for p in caller.accepted.manifest.priorities if p.name == wanted)
