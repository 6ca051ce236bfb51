"""Runs a batch item at one upstream, resuming after its last received event."""

import functools

import msgspec
import trio

from cornelgrade import kernel, routes, settings
from cornelgrade.adapters import engine, http1
from cornelgrade.policy import event_stream, software_versions, stream_end
from cornelgrade.services.edge import (
    _own_response,
    _upstream_attempts,
    fleet,
    job_repository,
    outage_checks,
    ports,
    serving_start,
    stream_questions,
    upstream_notices,
)

CONNECT_TIMEOUT_S = 0.3
# An upstream with a free slot responds within a fraction of a second.
RESPONSE_TIMEOUT_S = 2.0
# Limit for all replies to the question whether an item's stream has ended. No caller waits.
QUESTIONS_TIMEOUT_S = 2 * RESPONSE_TIMEOUT_S
# Events of a running item arrive every few tens of milliseconds.
EVENT_GAP_TIMEOUT_S = 1.2
# Share of an object in the store that the text of a result may take; the encoding adds to it.
MAX_TEXT_RATIO = 0.5
_STEP = "run item"
_EVENT_STREAM = b"text/event-stream"
_UNPROCESSABLE_STATUS = 422
_RUN_FAILED_STATUS = 500
_MIN_FAILURE_STATUS = 300


class PartialResult(msgspec.Struct):
    """Events received in earlier runs of an item.

    :ivar text_bytes: size of the events' data.
    :ivar last_event: number of the last event, ``None`` before the first.
    :ivar origin: what made these events, ``None`` before the first; the item goes on only there.
    :ivar end: what the last run shows of the end of the item's stream.
    :ivar repeats: what of the item's stream came before.
    """

    texts: list[str] = msgspec.field(default_factory=list)
    text_bytes: int = 0
    last_event: int | None = None
    origin: software_versions.StreamOrigin | None = None
    end: stream_end.StreamEnd = msgspec.field(default_factory=stream_end.StreamEnd)
    repeats: event_stream.Repeats = msgspec.field(default_factory=event_stream.Repeats)

    @property
    def events(self) -> int:
        """Number of events received so far."""
        return len(self.texts)

    def clear(self) -> None:
        """Drop the events, so that the next run starts anew."""
        self.texts.clear()
        self.text_bytes = 0
        self.last_event = None
        self.origin = None
        self.end = stream_end.StreamEnd()
        self.repeats = event_stream.Repeats()


class ItemCaller:
    """Sends batch items to upstreams."""

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.EdgeSettings, call_format: ports.CallFormat
    ) -> None:
        self._max_text_bytes = int(cfg.value_bytes * MAX_TEXT_RATIO)
        self._call_format = call_format
        self._notices = upstream_notices.UpstreamNotices(kern, call_format)
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._outage_checks = kern.find("outage_checks", outage_checks.OutageChecks)
        self._stream_questions = stream_questions.StreamQuestions(kern)

    async def run_item(
        self,
        header: job_repository.JobHeader,
        item: ports.Item,
        up: routes.Upstream,
        partial: PartialResult,
        attempt: _upstream_attempts.Attempt,
    ) -> ports.ItemResult | None:
        """Run an item, adding events to ``partial`` as they arrive.

        :param attempt: records its status and completion, but no errors.
        :returns: the final result, or ``None`` if the upstream reports that this run failed.
        :raises CallError: if the run did not finish.
        """
        if partial.last_event is None:
            # Events without numbers would come again.
            partial.clear()
        if partial.origin is not None:
            await self._outage_checks.check_version(up)
        asked_after = partial.last_event
        status, ended = await self._call_upstream(header, item, up, partial, attempt)
        while status < _MIN_FAILURE_STATUS:
            if partial.end.is_doubtful(asked_after, partial.last_event):
                ended = await self._has_ended(header, item, up, partial)
            if ended:
                break
            asked_after = partial.last_event
            self._stream_questions.take_permit(up)
            status, ended = await self._call_upstream(header, item, up, partial, attempt)
            if partial.last_event != asked_after:
                self._stream_questions.record_early_end(up)
        if status == _UNPROCESSABLE_STATUS:
            return ports.ItemResult(item.name, ports.ItemEnd.GIVEN_UP, "")
        if status == _RUN_FAILED_STATUS:
            return None
        attempt.record_completion(status)
        return ports.ItemResult(item.name, ports.ItemEnd.COMPLETED, "\n".join(partial.texts))

    async def _call_upstream(
        self,
        header: job_repository.JobHeader,
        item: ports.Item,
        up: routes.Upstream,
        partial: PartialResult,
        attempt: _upstream_attempts.Attempt,
    ) -> tuple[int, bool]:
        """Send an item and read the events of the response.

        :returns: the status, and whether nothing more is to be asked for.
        """
        with await http1.connect(up.address, CONNECT_TIMEOUT_S) as channel:
            if partial.end.may_be_whole(partial.last_event):
                channel.allow_no_event()
            channel.confirm_end_with(functools.partial(self._outage_checks.is_running, up))
            await self._send_item(channel, header, item, up, partial.last_event)
            head = await self._read_head(channel, item, up)
            attempt.record_status(head.status)
            if head.status in (_UNPROCESSABLE_STATUS, _RUN_FAILED_STATUS):
                return head.status, True
            if head.status >= _MIN_FAILURE_STATUS:
                raise channel.call_error(f"upstream responded with status {head.status}", _STEP)
            if not (head.get(b"content-type") or _EVENT_STREAM).startswith(_EVENT_STREAM):
                raise channel.call_error("response is no event stream", _STEP)
            events_before = partial.events
            start = serving_start.ServingStart(
                self._fleet, self._outage_checks, up, channel, partial.origin
            )
            unframed = head.framing is http1.Framing.CONNECTION
            try:
                await self._read_events(channel, partial, start)
            except engine.CallError as exc:
                await _settle_origin(partial, start)
                is_empty = unframed and partial.events == events_before and not exc.timed_out
                if is_empty and not partial.end.goes_on(partial.last_event):
                    # The earlier runs may have brought all events: whether more are due can't be
                    # told from an unframed stream without any, so the next run starts anew.
                    partial.clear()
                raise
            if partial.end.goes_on(partial.last_event):
                channel.progress = engine.Progress.PART_ANSWERED
                raise channel.call_error(
                    f"ended after event {partial.last_event}, which others follow", _STEP
                )
            ended = not (unframed and partial.end.is_asked_about(partial.last_event))
            if not ended:
                await _settle_origin(partial, start)
            return head.status, ended

    async def _has_ended(
        self,
        header: job_repository.JobHeader,
        item: ports.Item,
        up: routes.Upstream,
        partial: PartialResult,
    ) -> bool:
        """Return whether an item's stream after which nothing came has ended there.

        :raises CallError: if no reply of the upstream tells.
        """

        async def send(channel: http1.Channel, after: int) -> http1.ResponseHead:
            await self._send_item(channel, header, item, up, after)
            return await self._read_head(channel, item, up)

        return await self._stream_questions.has_ended(
            up, item.name, partial.end, send, QUESTIONS_TIMEOUT_S
        )

    async def _send_item(
        self,
        channel: http1.Channel,
        header: job_repository.JobHeader,
        item: ports.Item,
        up: routes.Upstream,
        after: int | None,
    ) -> None:
        """Send an item, asking for what follows an event."""
        headers = tuple((k.encode(), v.encode("latin-1")) for k, v in item.headers)
        request_headers = self._call_format.item_headers(
            header.host, item.name, headers, up.name, after, header.team
        )
        await channel.send("POST", item.target.encode("latin-1"), request_headers, item.body)

    async def _read_head(
        self, channel: http1.Channel, item: ports.Item, up: routes.Upstream
    ) -> http1.ResponseHead:
        with trio.move_on_after(RESPONSE_TIMEOUT_S):
            head, verdict = await _own_response.read_head(
                channel, self._call_format, self._notices, up, item.name
            )
            if verdict is ports.Verdict.NOT_RUN:
                channel.progress = engine.Progress.NOT_SENT
            if verdict is not ports.Verdict.RESPONSE:
                raise channel.call_error(
                    f"response is {verdict.value}, status {head.status}", _STEP
                )
            return head
        raise channel.call_error("no response within the timeout", _STEP, timed_out=True)

    async def _read_events(
        self, channel: http1.Channel, partial: PartialResult, start: serving_start.ServingStart
    ) -> None:
        splitter = event_stream.EventSplitter()
        partial.repeats.begin_response()
        last_event_s = trio.current_time()
        # Bytes that complete no event don't extend the time until the next one.
        while part := await channel.read_chunk_by(last_event_s + EVENT_GAP_TIMEOUT_S, _STEP):
            try:
                events = splitter.feed(part)
            except event_stream.EventTooLongError as exc:
                raise channel.call_error(str(exc), _STEP) from exc
            events_before = partial.events
            for event in events:
                if not event.well_formed:
                    raise channel.call_error(event_stream.MALFORMED_MESSAGE, _STEP)
                if event.empty:
                    continue
                partial.origin = await start.follow_origin()
                _append_event(channel, partial, event)
            if partial.events > events_before:
                last_event_s = trio.current_time()
            if partial.text_bytes > self._max_text_bytes:
                partial.clear()
                raise channel.call_error("result exceeds the size limit", _STEP)


async def _settle_origin(partial: PartialResult, start: serving_start.ServingStart) -> None:
    """Let the next run start anew if what began the item is not known for sure."""
    if await start.settle_origin() != partial.origin:
        partial.clear()


def _append_event(
    channel: http1.Channel, partial: PartialResult, event: event_stream.Event
) -> None:
    """Append an event if it is the next one; ignore one that was already received.

    :raises CallError: if events are missing before it.
    """
    if event_stream.has_gap(event, partial.last_event):
        raise channel.call_error(
            f"events missing between {partial.last_event} and {event.event_id}", _STEP
        )
    if not partial.repeats.is_new(event, partial.last_event):
        return
    partial.repeats.add_new(event)
    data = event.data()
    partial.texts.append(data.decode("utf-8", "replace"))
    partial.text_bytes += len(data)
    partial.last_event = event.event_id if event.event_id is not None else partial.last_event
