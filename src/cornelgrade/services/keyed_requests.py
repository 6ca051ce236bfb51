"""Keyed requests: each runs once under a durable record, stored before its last byte is sent.

The run has its own task, so that it ends and is recorded even if the caller disconnects. The
caller's task receives the parts from a channel.
"""

import contextlib
from collections.abc import Callable

import trio

from cornelgrade import errors, kernel, logs, tracing
from cornelgrade.adapters import engine
from cornelgrade.services import drain, exchange, ports

MAX_BUFFERED_PARTS = 65_536
ABANDON_TIMEOUT_S = 5.0
NOT_RECORDED_COMMENT = b": cornelgrade-recorded false\n\n"

Attempts = Callable[[exchange.Request], exchange.ResponseParts]
Sender = trio.MemorySendChannel[exchange.ResponsePart | errors.Refusal]

_log = logs.Logger("keyed")


async def serve(
    kern: kernel.Kernel, nursery: trio.Nursery, req: exchange.Request, attempts: Attempts
) -> exchange.ResponseParts:
    """Yield the stored response of a keyed request, or run the request.

    :param nursery: runs the request's task, which may outlive the caller's connection.
    :param attempts: runs the request and yields the parts of its response.
    :raises Refusal: as :meth:`ports.Records.begin` and as the attempts do.
    """
    begun = await kern.find("records", ports.Records).begin(_claim(req))
    if isinstance(begun, ports.StoredResponse):
        headers = (("content-type", begun.content_type), ("cornelgrade-replayed", "true"))
        yield exchange.ResponseHead(begun.status, headers)
        yield begun.body
        return
    send, receive = trio.open_memory_channel[exchange.ResponsePart | errors.Refusal](
        MAX_BUFFERED_PARTS
    )
    nursery.start_soon(_run_detached, kern, req, begun, attempts, send)
    async with receive:
        async for part in receive:
            if isinstance(part, errors.Refusal):
                raise part
            yield part


def _claim(req: exchange.Request) -> ports.Claim:
    return ports.Claim(
        team=req.team,
        key=req.key,
        request_id=req.request_id,
        # The record stores a plain string.
        digest=str(req.fingerprint),
        idempotent=req.idempotent,
        wait_s=max(0.0, req.deadline_s - trio.current_time()),
    )


async def _run_detached(
    kern: kernel.Kernel,
    req: exchange.Request,
    run: ports.ClaimedRun,
    attempts: Attempts,
    send: Sender,
) -> None:
    records = kern.find("records", ports.Records)
    tracked: contextlib.AbstractContextManager[None] = contextlib.nullcontext()
    if kern.has("drain"):
        tracked = kern.find("drain", drain.Drain).track_work(f"{req.request_id}.run")
    with tracked, send:
        try:
            await _run_and_record(records, req, run, attempts, send)
        except errors.Refusal as exc:
            await _abandon(records, run, exc.ran)
            _send_part(send, exc)
        except BaseException:
            await _abandon(records, run, errors.Ran.UNKNOWN)
            raise


async def _run_and_record(
    records: ports.Records,
    req: exchange.Request,
    run: ports.ClaimedRun,
    attempts: Attempts,
    send: Sender,
) -> None:
    head = exchange.ResponseHead(0, ())
    body: list[bytes] = []
    async with contextlib.aclosing(attempts(req)) as parts:
        async for part in parts:
            if isinstance(part, exchange.ResponseHead):
                head = part
                if req.stream:
                    _send_part(send, head)
                continue
            body.append(part)
            if req.stream and not part.endswith(engine.END_MARKER):
                _send_part(send, part)
    response = ports.StoredResponse(head.status, head.content_type, b"".join(body))
    with tracing.start_span(tracing.Hop.COMMIT, req.span):
        stored = await records.store(run, response)
    if not req.stream:
        _send_response(head, stored, send)
    elif body:
        _send_stream_end(body[-1], stored.recorded and stored.body == response.body, send)


def _send_stream_end(last: bytes, recorded: bool, send: Sender) -> None:
    """Send the end of a stream that was completed, marked if it was not recorded."""
    if not last.endswith(engine.END_MARKER):
        return
    note = b"" if recorded else NOT_RECORDED_COMMENT
    _send_part(send, last.removesuffix(engine.END_MARKER) + note + engine.END_MARKER)


def _send_response(head: exchange.ResponseHead, stored: ports.StoredResponse, send: Sender) -> None:
    """Send the stored response, so that the same request at two VMs gets the same bytes."""
    headers = tuple(pair for pair in head.headers if pair[0] != "content-type")
    recorded_header = ("cornelgrade-recorded", "true" if stored.recorded else "false")
    _send_part(
        send,
        exchange.ResponseHead(
            stored.status, (("content-type", stored.content_type), *headers, recorded_header)
        ),
    )
    _send_part(send, stored.body)


def _send_part(send: Sender, part: exchange.ResponsePart | errors.Refusal) -> None:
    """Send a part to the caller's task; a run continues after its caller has disconnected."""
    with contextlib.suppress(trio.BrokenResourceError):
        send.send_nowait(part)


async def _abandon(records: ports.Records, run: ports.ClaimedRun, ran: errors.Ran) -> None:
    with trio.CancelScope(shield=True), trio.move_on_after(ABANDON_TIMEOUT_S):
        await records.abandon(run, ran)
    _log.info("abandoned", request=run.claim.request_id, ran=ran.value)
