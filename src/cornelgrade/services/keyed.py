"""Keyed requests: run once under a durable record, and recorded before the last byte leaves.

The run belongs to a task of its own, so that it ends and is recorded even when the caller has
gone; the caller's task reads the parts from a channel.
"""

import contextlib
from collections.abc import Callable

import trio

from cornelgrade import errors, kernel, logs, tracing
from cornelgrade.adapters import engine
from cornelgrade.services import drain, exchange, ports

PARTS_HELD = 65_536
SETTLE_TIMEOUT_S = 5.0
NOT_RECORDED = b": cornelgrade-recorded false\n\n"

Attempts = Callable[[exchange.Request], exchange.Parts]
Sender = trio.MemorySendChannel[exchange.Part | errors.Refusal]

_log = logs.Logger("keyed")


async def serve(
    kern: kernel.Kernel, nursery: trio.Nursery, req: exchange.Request, attempts: Attempts
) -> exchange.Parts:
    """Give the stored answer of a keyed request, or run it.

    :param nursery: holds the run, which outlives the caller.
    :param attempts: runs the request and gives the parts of its answer.
    :raises Refusal: as :meth:`ports.Records.begin` and as the attempts do.
    """
    begun = await kern.find("records", ports.Records).begin(_claim(req))
    if isinstance(begun, ports.StoredAnswer):
        headers = (("content-type", begun.content_type), ("cornelgrade-replayed", "true"))
        yield exchange.Head(begun.status, headers)
        yield begun.body
        return
    send, receive = trio.open_memory_channel[exchange.Part | errors.Refusal](PARTS_HELD)
    nursery.start_soon(_run, kern, req, begun, attempts, send)
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
        digest=req.fingerprint,
        idempotent=req.idempotent,
        wait_s=max(0.0, req.deadline_s - trio.current_time()),
    )


async def _run(
    kern: kernel.Kernel,
    req: exchange.Request,
    run: ports.ClaimedRun,
    attempts: Attempts,
    send: Sender,
) -> None:
    records = kern.find("records", ports.Records)
    held: contextlib.AbstractContextManager[None] = contextlib.nullcontext()
    if kern.has("drain"):
        held = kern.find("drain", drain.Drain).track_work(f"{req.request_id}.run")
    with held, send:
        try:
            await _run_and_record(records, req, run, attempts, send)
        except errors.Refusal as exc:
            await _abandon(records, run, exc.ran)
            _give(send, exc)
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
    head = exchange.Head(0, ())
    body: list[bytes] = []
    async with contextlib.aclosing(attempts(req)) as parts:
        async for part in parts:
            if isinstance(part, exchange.Head):
                head = part
                if req.stream:
                    _give(send, head)
                continue
            body.append(part)
            if req.stream and not part.endswith(engine.END_MARKER):
                _give(send, part)
    answer = ports.StoredAnswer(head.status, head.content_type, b"".join(body))
    with tracing.start_span(tracing.Hop.COMMIT, req.span):
        stands = await records.store(run, answer)
    if not req.stream:
        _give_whole(head, stands, send)
    elif body:
        _give_end(body[-1], stands.recorded and stands.body == answer.body, send)


def _give_end(last: bytes, recorded: bool, send: Sender) -> None:
    """Pass on the end of a stream, if it came to its end."""
    if not last.endswith(engine.END_MARKER):
        return
    note = b"" if recorded else NOT_RECORDED
    _give(send, last.removesuffix(engine.END_MARKER) + note + engine.END_MARKER)


def _give_whole(head: exchange.Head, stands: ports.StoredAnswer, send: Sender) -> None:
    """Pass on the answer that stands, so that twins at two VMs get the same bytes."""
    kept = tuple(pair for pair in head.headers if pair[0] != "content-type")
    mark = ("cornelgrade-recorded", "true" if stands.recorded else "false")
    _give(send, exchange.Head(stands.status, (("content-type", stands.content_type), *kept, mark)))
    _give(send, stands.body)


def _give(send: Sender, part: exchange.Part | errors.Refusal) -> None:
    """Pass a part on; a caller that has gone is no reason to stop."""
    with contextlib.suppress(trio.BrokenResourceError):
        send.send_nowait(part)


async def _abandon(records: ports.Records, run: ports.ClaimedRun, ran: errors.Ran) -> None:
    with trio.CancelScope(shield=True), trio.move_on_after(SETTLE_TIMEOUT_S):
        await records.abandon(run, ran)
    _log.info("abandoned", request=run.claim.request_id, ran=ran.value)
