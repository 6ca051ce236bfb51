"""Relays one response, of an upstream or a peer, to the caller as it arrives."""

import trio

from cornelgrade import kernel, logs
from cornelgrade.adapters import engine, http1
from cornelgrade.policy import event_stream, software_versions
from cornelgrade.services.edge import (
    _relay_state,
    fleet,
    outage_checks,
    ports,
    serving_start,
    slot_permits,
    stream_origins,
)

# A repeatable request is retried at another upstream after a silence of this many times the target.
# The retry comes within the 2 s after which callers give up a silent stream.
IDLE_TIMEOUT_RATIO = 2.0
MIN_IDLE_TIMEOUT_S = 0.6
_EVENT_STREAM = b"text/event-stream"
_log = logs.Logger("relay")


def is_event_stream(head: http1.ResponseHead) -> bool:
    """Return whether the body is a stream of events."""
    return (head.get(b"content-type") or b"").startswith(_EVENT_STREAM)


class ResponseRelay:
    """Relays responses whose head was received; raises ``CallError`` if another may be tried."""

    def __init__(
        self, kern: kernel.Kernel, max_response_bytes: int, call_format: ports.CallFormat
    ) -> None:
        self._max_response_bytes = max_response_bytes
        self._call_format = call_format
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._outage_checks = kern.find("outage_checks", outage_checks.OutageChecks)
        self._permits = kern.find("seats", slot_permits.SlotPermits)
        self._origins = kern.find("stream_origins", stream_origins.StreamOrigins)

    def idle_timeout_s(
        self, req: _relay_state.Request, progress: _relay_state.Progress, target_s: float
    ) -> float:
        """Return how long an upstream may be silent: unlimited if no other may be tried."""
        if not _relay_state.may_repeat(req, progress):
            return float("inf")
        tried = progress.failed_upstreams | {progress.upstream}
        if progress.origin and not self._permits.can_go_on_elsewhere(progress.origin, tried):
            return float("inf")
        return max(MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_RATIO * target_s)

    async def relay(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: http1.ResponseHead,
    ) -> bool:
        """Relay a response whose head was received, or go on with a stream that has begun.

        :returns: whether it is whole. If not, the stream may go on after its last event.
        """
        if progress.started:
            return await self._resume_stream(channel, req, progress, head)
        if head.status >= 500 and _relay_state.may_repeat(req, progress):
            raise channel.call_error(
                f"upstream failed with status {head.status}", _relay_state.STEP
            )
        if progress.runs and head.status in _relay_state.NOT_RUN_STATUSES:
            # It says so of this upstream only; an earlier one may have run the request.
            raise channel.call_error(
                f"status {head.status} after an earlier run", _relay_state.STEP
            )
        return await self._relay_head_and_body(channel, req, progress, head)

    async def _relay_head_and_body(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: http1.ResponseHead,
    ) -> bool:
        headers = self._call_format.caller_headers(head)
        if is_event_stream(head) and req.route.resumable and head.status < 300:
            return await self._relay_events(channel, req, progress, (head.status, headers))
        if is_event_stream(head) and head.status < 300:
            await self._relay_unchanged_events(channel, req, progress, (head.status, headers))
        else:
            await self._relay_body(channel, req, progress, (head.status, headers))
        return True

    async def _relay_body(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: tuple[int, http1.Headers],
    ) -> None:
        """Relay the body as it arrives."""
        while part := await channel.read_chunk():
            self._check_size(channel, progress, part)
            await self._write_part(req, progress, head, part)
        if not progress.started:
            await self._write_part(req, progress, head, b"")

    async def _relay_unchanged_events(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: tuple[int, http1.Headers],
    ) -> None:
        """Relay each byte of a stream that can't go on elsewhere, up to what is no part of it."""
        splitter = event_stream.EventSplitter()
        last_event = progress.last_event
        while part := await channel.read_chunk():
            self._check_size(channel, progress, part)
            if not progress.started:
                await self._write_part(req, progress, head, b"")
            for event in _split_events(channel, splitter, part):
                _check_event(channel, event, last_event)
                if not event_stream.is_new(event, last_event):
                    raise channel.call_error(
                        f"event {event.event_id} follows {last_event}", _relay_state.STEP
                    )
                last_event = event.event_id if event.event_id is not None else last_event
                if progress.received is not None and not event.empty:
                    progress.received.add_event(event.event_id)
                await self._write_part(req, progress, head, event.raw)
        # A blank line may follow the last event.
        await self._write_part(req, progress, head, splitter.remainder)

    def _check_size(
        self, channel: http1.Channel, progress: _relay_state.Progress, part: bytes
    ) -> None:
        progress.response_bytes += len(part)
        if progress.response_bytes > self._max_response_bytes:
            raise channel.call_error("response exceeds the size limit", _relay_state.STEP)

    async def _resume_stream(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: http1.ResponseHead,
    ) -> bool:
        """Continue a stream that the caller has received in part."""
        if head.status >= 300:
            raise channel.call_error(f"resume request got status {head.status}", _relay_state.STEP)
        if not is_event_stream(head):
            raise channel.call_error("resume request got no event stream", _relay_state.STEP)
        return await self._relay_events(channel, req, progress, None)

    async def _relay_events(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: tuple[int, http1.Headers] | None,
    ) -> bool:
        """Relay complete events only, so that another upstream can resume after the last one.

        :returns: whether the stream has ended.
        """
        splitter = event_stream.EventSplitter()
        progress.last_event_s = trio.current_time()
        progress.serving = self._find_start(channel, progress)
        progress.repeats.begin_response()
        while part := await self._read_part(channel, req, progress):
            self._check_size(channel, progress, part)
            for event in _split_events(channel, splitter, part):
                _check_event(channel, event, progress.last_event)
                if event.empty:
                    # A comment neither begins a response nor extends the time until an event.
                    if progress.started:
                        await req.exchange.send_chunk(event.raw)
                elif progress.repeats.is_new(event, progress.last_event):
                    await self._follow_origin(req, progress)
                    await self._write_part(req, progress, head, event.raw)
                    progress.repeats.add_new(event)
                    progress.last_event_s = trio.current_time()
                    progress.last_event = (
                        event.event_id if event.event_id is not None else progress.last_event
                    )
        if progress.end.goes_on(progress.last_event):
            channel.progress = engine.Progress.PART_ANSWERED
            raise channel.call_error(
                f"ended after event {progress.last_event}, which others follow", _relay_state.STEP
            )
        unframed = progress.framing is http1.Framing.CONNECTION
        if unframed and progress.end.is_asked_about(progress.last_event):
            return False
        if not progress.started and head is not None:
            await self._write_part(req, progress, head, b"")
        return True

    def _find_start(
        self, channel: http1.Channel, progress: _relay_state.Progress
    ) -> serving_start.ServingStart | None:
        """Return the start that serves a response, ``None`` if a peer does."""
        if progress.peer or progress.permit is None:
            return None
        up = progress.permit.upstream
        return serving_start.ServingStart(
            self._fleet, self._outage_checks, up, channel, progress.origin
        )

    async def _follow_origin(
        self, req: _relay_state.Request, progress: _relay_state.Progress
    ) -> None:
        """Record what began a stream, before its next event is sent.

        :raises CallError: if another start goes on with it.
        """
        if progress.serving is None:
            return
        progress.origin = await progress.serving.follow_origin()
        if progress.serving.begins and progress.permit is not None:
            confirmed = progress.serving.is_confirmed
            up = progress.permit.upstream
            origin = progress.origin if confirmed else software_versions.unconfirmed_origin(up)
            self._record_origin(req, progress, origin)

    async def settle_origin(
        self, req: _relay_state.Request, progress: _relay_state.Progress
    ) -> None:
        """Record what began a stream whose response was broken off."""
        serving, progress.serving = progress.serving, None
        origin = await serving.settle_origin() if serving is not None else None
        if origin is not None and origin != progress.origin:
            progress.origin = origin
            _log.info("origin_unconfirmed", request=req.caller.request_id, origin=origin.version)
        if origin is not None and serving is not None and serving.begins:
            self._record_origin(req, progress, origin)

    def _record_origin(
        self,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        origin: software_versions.StreamOrigin,
    ) -> None:
        if origin != progress.recorded:
            progress.recorded = origin
            sender = req.hop.sender if req.hop is not None else ""
            self._origins.record(req.caller.request_id, origin, sender)

    async def _read_part(
        self, channel: http1.Channel, req: _relay_state.Request, progress: _relay_state.Progress
    ) -> bytes:
        """Read on; bytes that complete no event don't extend the time until the next one."""
        idle_s = self.idle_timeout_s(req, progress, req.route.gap_aim_s)
        return await channel.read_chunk_by(progress.last_event_s + idle_s, _relay_state.STEP)

    @staticmethod
    async def _write_part(
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: tuple[int, http1.Headers] | None,
        part: bytes,
    ) -> None:
        if progress.started or head is None:
            if part:
                await req.exchange.send_chunk(part)
            return
        progress.started = True
        progress.first_byte_s = trio.current_time() - req.exchange.arrived_s
        await req.exchange.start_response(*head, part)


def _split_events(
    channel: http1.Channel, splitter: event_stream.EventSplitter, part: bytes
) -> tuple[event_stream.Event, ...]:
    """Return the events that a part of a stream completes.

    :raises CallError: if one is too long.
    """
    try:
        return splitter.feed(part)
    except event_stream.EventTooLongError as exc:
        raise channel.call_error(str(exc), _relay_state.STEP) from exc


def _check_event(channel: http1.Channel, event: event_stream.Event, last_event: int | None) -> None:
    """Check that an event may follow the last one of its stream.

    :raises CallError: if it is none, or if events are missing before it.
    """
    if not event.well_formed:
        raise channel.call_error(event_stream.MALFORMED_MESSAGE, _relay_state.STEP)
    if event_stream.has_gap(event, last_event):
        raise channel.call_error(
            f"events missing between {last_event} and {event.event_id}", _relay_state.STEP
        )
