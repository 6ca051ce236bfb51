"""Relays a request to one upstream and the upstream's response to the caller."""

import contextlib
import functools

import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.adapters import engine, http1
from cornelgrade.policy import listed_runs
from cornelgrade.services.edge import (
    _own_response,
    _relay_state,
    _response_relay,
    _upstream_attempts,
    crash_detector,
    outage_checks,
    path_watch,
    ports,
    stream_questions,
    upstream_notices,
    upstream_outliers,
    upstream_reach,
)

# How long a response may take while the caller may have all events of a stream, and how long the
# replies with its last events may take together. The caller gives up after 2 s without another
# event or the end.
QUESTION_TIMEOUT_S = 1.0
# A connection within a region takes a few milliseconds; an upstream that takes this long is down or
# overloaded.
CONNECT_TIMEOUT_S = 0.25
_log = logs.Logger("relay")


class UpstreamRelay:
    """Calls upstreams; each request's task owns its connections."""

    def __init__(
        self,
        kern: kernel.Kernel,
        call_format: ports.CallFormat,
        responses: _response_relay.ResponseRelay,
    ) -> None:
        self._reach = kern.find("upstream_reach", upstream_reach.UpstreamReach)
        self._outliers = kern.find("upstream_outliers", upstream_outliers.UpstreamOutliers)
        self._crash_detector = kern.find("crash_detector", crash_detector.CrashDetector)
        self._outage_checks = kern.find("outage_checks", outage_checks.OutageChecks)
        self._path_watch = kern.find("path_watch", path_watch.PathWatch)
        self._stream_questions = stream_questions.StreamQuestions(kern)
        self._notices = upstream_notices.UpstreamNotices(kern, call_format)
        self._call_format = call_format
        self._responses = responses

    async def call(
        self, req: _relay_state.Request, progress: _relay_state.Progress, up: routes.Upstream
    ) -> http1.ResponseHead:
        """Relay the response of one upstream; return its head."""
        attempt = self._outliers.start_attempt(up, req.fingerprint)
        asked_after = progress.last_event
        if progress.origin is not None:
            await self._outage_checks.check_version(up)
        try:
            channel = await http1.connect(up.address, CONNECT_TIMEOUT_S)
        except engine.CallError as exc:
            self._reach.mark_suspect(up, exc.message)
            raise
        with self._crash_detector.track_call(up, req.fingerprint):
            try:
                with channel:
                    head, ended = await self._call_upstream(channel, req, progress, up, attempt)
                if not ended:
                    # What becomes of the question is no evidence against the upstream.
                    attempt.record_completion(head.status)
                    await self._responses.settle_origin(req, progress)
                while True:
                    if progress.end.is_doubtful(asked_after, progress.last_event):
                        ended = await self._has_ended(req, progress, up)
                    if ended:
                        break
                    asked_after = progress.last_event
                    ended = await self._go_on(req, progress, up, attempt)
                    if progress.last_event != asked_after:
                        self._stream_questions.record_early_end(up)
                await req.exchange.end_response()
                attempt.record_completion(head.status)
                return head
            except engine.CallError as exc:
                if await self._crash_detector.check_after(up, exc):
                    self._reach.mark_suspect(up, exc.message)
                else:
                    attempt.record_error(exc)
                await self._responses.settle_origin(req, progress)
                raise
            except trio.Cancelled:
                self._crash_detector.check_abandoned(up, channel.last_received_s)
                raise

    async def _call_upstream(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        up: routes.Upstream,
        attempt: _upstream_attempts.Attempt,
    ) -> tuple[http1.ResponseHead, bool]:
        """Send a request and relay the response.

        :returns: its head, and whether it is whole.
        """
        if progress.end.may_be_whole(progress.last_event):
            channel.allow_no_event()
        channel.confirm_end_with(functools.partial(self._outage_checks.is_running, up))
        with contextlib.ExitStack() as watches:
            idle = None
            if not req.route.resumable and self._path_watch.expects_unframed(up.service):
                idle = watches.enter_context(self._path_watch.open_beside(up, channel))
                await idle.wait_open()
            await self._send_request(channel, req, up, progress.last_event)
            head = await self._read_head(channel, req, progress, up)
            attempt.record_status(head.status)
            progress.framing = head.framing
            if head.status < 300:
                self._path_watch.record_head(up.service, head)
            may_be_asked = req.route.resumable and _response_relay.is_event_stream(head)
            if head.framing is not http1.Framing.CONNECTION or may_be_asked:
                return head, await self._responses.relay(channel, req, progress, head)
            idle = idle or watches.enter_context(self._path_watch.open_beside(up, channel))
            if not may_be_asked and not progress.runs:
                progress.received = listed_runs.Received(req.caller.request_id, req.deadline_s)
            confirm = functools.partial(
                self._outage_checks.has_ended_alone, up, idle, progress.received
            )
            channel.confirm_end_with(confirm)
            return head, await self._responses.relay(channel, req, progress, head)

    async def _has_ended(
        self, req: _relay_state.Request, progress: _relay_state.Progress, up: routes.Upstream
    ) -> bool:
        """Return whether a stream after which nothing came has ended there.

        :raises CallError: if no reply of its upstream tells.
        """

        async def send(channel: http1.Channel, after: int) -> http1.ResponseHead:
            await self._send_request(channel, req, up, after)
            return await self._read_head(channel, req, progress, up)

        return await self._stream_questions.has_ended(
            up, req.caller.request_id, progress.end, send, QUESTION_TIMEOUT_S
        )

    async def _go_on(
        self,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        up: routes.Upstream,
        attempt: _upstream_attempts.Attempt,
    ) -> bool:
        """Ask an upstream for what follows the last event of its stream, and relay it.

        :returns: whether the response is whole.
        """
        _log.info(
            "stream_end_unconfirmed",
            request=req.caller.request_id,
            upstream=up.name,
            last_event=progress.last_event,
        )
        self._stream_questions.take_permit(up)
        try:
            with await http1.connect(up.address, CONNECT_TIMEOUT_S) as channel:
                _, ended = await self._call_upstream(channel, req, progress, up, attempt)
        except engine.CallError as exc:
            if exc.progress is engine.Progress.NOT_SENT:
                # The upstream has run the request, whatever became of what follows.
                exc.progress = engine.Progress.PART_ANSWERED
            raise
        return ended

    async def _send_request(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        up: routes.Upstream,
        last_event: int | None,
    ) -> None:
        """Send a request for what follows an event, ``None`` for what the caller asks for."""
        exchange = req.exchange
        timeout_s = req.caller.timeout_s or req.route.timeout_s
        remaining_s = exchange.arrived_s + timeout_s - trio.current_time()
        headers = self._call_format.upstream_headers(
            exchange.raw_headers, up.name, remaining_s, last_event, req.team
        )
        await channel.send(exchange.method, exchange.target, headers, exchange.body)

    async def _read_head(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        up: routes.Upstream,
    ) -> http1.ResponseHead:
        """Wait for the head of this request's response."""
        limit_s = self._responses.idle_timeout_s(req, progress, req.route.aim_s)
        if progress.end.may_be_whole(progress.last_event):
            limit_s = min(limit_s, QUESTION_TIMEOUT_S)
        with trio.move_on_after(limit_s):
            head, verdict = await _own_response.read_head(
                channel, self._call_format, self._notices, up, req.caller.request_id
            )
            self._crash_detector.record_response(up)
            self._reach.record_contact()
            return self._check_verdict(channel, head, verdict)
        self._reach.mark_suspect(up, "silent")
        raise channel.call_error(
            "no response within the timeout", _relay_state.STEP, timed_out=True
        )

    @staticmethod
    def _check_verdict(
        channel: http1.Channel, head: http1.ResponseHead, verdict: ports.Verdict
    ) -> http1.ResponseHead:
        """Raise for heads that must not be passed on to the caller."""
        if verdict is ports.Verdict.NOT_RUN:
            channel.progress = engine.Progress.NOT_SENT
            raise channel.call_error(
                f"upstream declined with status {head.status}", _relay_state.STEP
            )
        if verdict is ports.Verdict.UNSIGNED and (
            head.status < 400 or head.status in _relay_state.NOT_RUN_STATUSES
        ):
            raise channel.call_error(
                f"unsigned response with status {head.status}", _relay_state.STEP
            )
        return head
