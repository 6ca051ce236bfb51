"""Call of one batch item to an upstream, and the classification of its result."""

import secrets

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.policy import batch, request_traits
from cornelgrade.services import _chunk_run, _relay, job_records

RESPONSE_TIMEOUT_S = 120.0
CANCEL_TIMEOUT_S = 1.0
_CANCELLED_STATUS = 499
_JSON_TYPE = "application/json"
_EVENT_STREAM_TYPE = "text/event-stream"
_JSON = (("content-type", _JSON_TYPE),)


_PROGRESS_EVENTS = {
    engine.Progress.NOT_SENT: batch.Event.NOT_SENT,
    engine.Progress.SENT: batch.Event.BROKEN,
    engine.Progress.PART_ANSWERED: batch.Event.BROKEN,
    engine.Progress.ANSWERED: batch.Event.FAILED,
}


def fingerprint(item: job_records.Item) -> request_traits.Fingerprint:
    """Return the fingerprint that the quarantine uses for an item's call."""
    return request_traits.fingerprint(item.path, item.body, engine.list_shared_messages(item.body))


class _NoCompletionError(ValueError):
    """A successful response holds no whole document, or no text that earlier text goes before."""


class _Options(msgspec.Struct, frozen=True):
    stream: bool = False


def _asks_for_stream(body: bytes) -> bool:
    try:
        return msgspec.json.decode(body, type=_Options).stream
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        # No request for a completion; the engine judges the body.
        return False


def prepend_text(body: bytes, earlier: str) -> bytes:
    """Insert the text of earlier, cancelled runs before the text of the last run.

    :raises ValueError: if the body is no completion.
    """
    if not earlier:
        return body
    try:
        completion = msgspec.json.decode(body)
        choices = completion["choices"]
        for choice in choices:
            holder, field = (choice, "text") if "text" in choice else (choice["message"], "content")
            holder[field] = earlier + holder[field]
    except (msgspec.DecodeError, RecursionError, LookupError, TypeError) as exc:
        raise _NoCompletionError(f"no completion: {exc!r}") from exc
    if not choices:
        raise _NoCompletionError("a completion without choices")
    return msgspec.json.encode(completion)


def _check_document(content_type: str, body: bytes) -> None:
    """Check that a body of JSON, or one without a type, is a whole document.

    :raises ValueError: if it is not.
    """
    if content_type and not content_type.startswith(_JSON_TYPE):
        return
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise _NoCompletionError("no whole JSON document") from exc


def _ignore_count(events: int) -> None:
    """Take the number of events of an item's stream, which isn't resumed."""


class ItemCall:
    """A running call of one item.

    ``shared`` is set once any other request has run on the engine during the call, ``wasted``
    if the tokens of a cancelled call were lost, and ``crash_reported`` once the quarantine has
    received the crash that ended the call.

    An item whose text another software version generated starts anew, and so does one that asks
    for a stream: text can't be put before events.

    :param alone: no other item may be started on the engine while the call runs.
    :param software_version: the engine's own version as the manifest names it.
    :param named_version: the version that the engine named last, empty if it named none.

    :ivar named_version: what the engine has named in this call; ``None`` if it has not answered.
    """

    def __init__(
        self,
        upstream: engine.Upstream,
        work: _chunk_run.Work,
        *,
        alone: bool = False,
        software_version: str = "",
        named_version: str = "",
    ) -> None:
        self.work = work
        self.alone = alone
        self.crash_reported = False
        self.shared = False
        self.named_version: str | None = None
        expected_version = named_version or software_version
        goes_on = work.resume.software_version == expected_version and not _asks_for_stream(
            work.item.body
        )
        self._earlier = work.resume if goes_on else _chunk_run.Resume()
        self.resume = self._earlier
        self.cancelling = False
        self.wasted = False
        self._upstream = upstream
        self._software_version = software_version
        self._scope = trio.CancelScope()
        self._stream_id = f"{work.name}.{secrets.token_hex(4)}"

    async def run(self) -> _chunk_run.Report:
        """Send the call and return its report."""
        with self._scope:
            try:
                return await self._send()
            except engine.CallError as exc:
                return self._report_failure(exc)
        return self._report(batch.Event.PREEMPTED)

    async def _send(self) -> _chunk_run.Report:
        item = self.work.item
        call = engine.Call(
            stream_id=self._stream_id,
            method="POST",
            path=item.path,
            body=item.body,
            headers=_JSON,
            resume_from=self._earlier.tokens,
            first_byte_timeout_s=RESPONSE_TIMEOUT_S,
            gap_timeout_s=RESPONSE_TIMEOUT_S,
        )
        async with self._upstream.call(call) as response:
            self.named_version = engine.read_software_version(response)
            content_type = dict(response.headers).get("content-type", "")
            if batch.classify_status(response.status) is batch.Event.ANSWERED and (
                content_type.startswith(_EVENT_STREAM_TYPE)
            ):
                parts = _relay.relay_stream(response, self._upstream.name, _ignore_count)
            else:
                parts = _relay.relay_whole(response)
            _, body = await _relay.collect_response(parts)
        return self._report_response(response.status, content_type, body)

    def _report_response(self, status: int, content_type: str, body: bytes) -> _chunk_run.Report:
        if status == _CANCELLED_STATUS and self.cancelling:
            return self._report(batch.Event.PREEMPTED)
        event = batch.classify_status(status)
        if event is batch.Event.ANSWERED and not self._continues_earlier():
            self.resume = _chunk_run.Resume()
            return self._report(batch.Event.PREEMPTED)
        if event is batch.Event.ANSWERED:
            try:
                _check_document(content_type, body)
                body = prepend_text(body, self._earlier.text)
            except _NoCompletionError as exc:
                self.resume = _chunk_run.Resume()
                return self._report(batch.Event.FAILED, status, str(exc).encode())
        return self._report(event, status, body)

    def _version(self) -> str:
        """Return the version that has run the call."""
        return self.named_version or self._software_version

    def _continues_earlier(self) -> bool:
        """Return whether the version that ran the call also generated the earlier text, if any."""
        earlier = self._earlier
        return not earlier.tokens or earlier.software_version == self._version()

    def _report_failure(self, exc: engine.CallError) -> _chunk_run.Report:
        if self.cancelling and exc.progress is not engine.Progress.NOT_SENT:
            return self._report(batch.Event.PREEMPTED)
        event = batch.Event.FAILED if exc.timed_out else _PROGRESS_EVENTS[exc.progress]
        return self._report(event, 0, exc.format_message().encode())

    def _report(self, event: batch.Event, status: int = 0, body: bytes = b"") -> _chunk_run.Report:
        return _chunk_run.Report(
            event, self._upstream.name, status, body, self.resume, alone=not self.shared
        )

    async def cancel(self) -> None:
        """Cancel the call at the engine and keep its text; close the connection in any case."""
        if self.cancelling:
            return
        self.cancelling = True
        cancelled = engine.Cancelled(found=False)
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                cancelled = await self._upstream.cancel(self._stream_id)
            except engine.CallError:
                self.wasted = True
        if cancelled.found:
            self.named_version = cancelled.software_version
            self.resume = _chunk_run.Resume()
            if self._continues_earlier():
                text = self._earlier.text + cancelled.text
                self.resume = _chunk_run.Resume(cancelled.tokens, text, self._version())
        self._scope.cancel()
