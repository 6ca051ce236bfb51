"""One call of a batch item to an upstream: how it is sent and how its end is read."""

import secrets

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.policy import batch, quarantine
from cornelgrade.services import _chunk_run, job_records

ANSWER_TIMEOUT_S = 120.0
CANCEL_TIMEOUT_S = 1.0
_CANCELLED_STATUS = 499
_JSON = (("content-type", "application/json"),)


_PROGRESS_EVENTS = {
    engine.Progress.NOT_SENT: batch.Event.NOT_SENT,
    engine.Progress.SENT: batch.Event.BROKEN,
    engine.Progress.PART_ANSWERED: batch.Event.BROKEN,
    engine.Progress.ANSWERED: batch.Event.FAILED,
}


def fingerprint(item: job_records.Item) -> str:
    """Give the fingerprint under which the quarantine knows an item's call."""
    return quarantine.fingerprint(item.path, item.body)


def joined(body: bytes, earlier: str) -> bytes:
    """Put the text of earlier, cancelled runs before that of the last one."""
    if not earlier:
        return body
    answer = msgspec.json.decode(body)
    for choice in answer.get("choices", ()):
        holder, field = (choice, "text") if "text" in choice else (choice["message"], "content")
        holder[field] = earlier + holder[field]
    return msgspec.json.encode(answer)


class ItemCall:
    """A running call of one item.

    ``shared`` is set once anything else has run beside it, ``wasted`` if a cancelled call's tokens
    were lost, ``crash_reported`` once the crash that broke it is known to the quarantine.

    :param alone: nothing may be started beside it.
    """

    def __init__(
        self, upstream: engine.Upstream, work: _chunk_run.Work, *, alone: bool = False
    ) -> None:
        self.work = work
        self.alone = alone
        self.crash_reported = False
        self.shared = False
        self.resume = work.resume
        self.cancelling = False
        self.wasted = False
        self._upstream = upstream
        self._scope = trio.CancelScope()
        self._stream_id = f"{work.name}.{secrets.token_hex(4)}"

    async def run(self) -> _chunk_run.Report:
        """Send the call and give its report."""
        with self._scope:
            try:
                return await self._send()
            except engine.CallError as exc:
                return self._failed(exc)
        return self._report(batch.Event.YIELDED)

    async def _send(self) -> _chunk_run.Report:
        item = self.work.item
        call = engine.Call(
            stream_id=self._stream_id,
            method="POST",
            path=item.path,
            body=item.body,
            headers=_JSON,
            resume_from=self.resume.tokens,
            first_byte_timeout_s=ANSWER_TIMEOUT_S,
            gap_timeout_s=ANSWER_TIMEOUT_S,
        )
        parts = []
        async with self._upstream.call(call) as answer:
            async for part in answer.chunks():
                parts.append(part)
        return self._answered(answer.status, b"".join(parts))

    def _answered(self, status: int, body: bytes) -> _chunk_run.Report:
        if status == _CANCELLED_STATUS and self.cancelling:
            return self._report(batch.Event.YIELDED)
        event = batch.event_of_status(status)
        if event is batch.Event.ANSWERED:
            body = joined(body, self.work.resume.text)
        return self._report(event, status, body)

    def _failed(self, exc: engine.CallError) -> _chunk_run.Report:
        if self.cancelling and exc.progress is not engine.Progress.NOT_SENT:
            return self._report(batch.Event.YIELDED)
        event = batch.Event.FAILED if exc.silent else _PROGRESS_EVENTS[exc.progress]
        return self._report(event, 0, exc.format_message().encode())

    def _report(self, event: batch.Event, status: int = 0, body: bytes = b"") -> _chunk_run.Report:
        return _chunk_run.Report(
            event, self._upstream.name, status, body, self.resume, alone=not self.shared
        )

    async def cancel(self) -> None:
        """Stop the call at the engine and keep what it had; the connection closes in any case."""
        if self.cancelling:
            return
        self.cancelling = True
        kept = engine.Cancelled(found=False)
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                kept = await self._upstream.cancel(self._stream_id)
            except engine.CallError:
                self.wasted = True
        if kept.found:
            text = self.work.resume.text + kept.text
            self.resume = _chunk_run.Resume(kept.tokens, text)
        self._scope.cancel()
