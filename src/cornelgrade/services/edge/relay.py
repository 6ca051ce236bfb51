"""Relays an online request to upstreams and their response to the caller, with retries."""

import trio

from cornelgrade import errors, kernel, logs, metrics, routes, settings
from cornelgrade.adapters import engine, http1, http1_server
from cornelgrade.policy import (
    event_stream,
    request_traits,
    retry,
    route_table,
    software_versions,
)
from cornelgrade.services import ports as shared_ports
from cornelgrade.services.edge import (
    _relay_state,
    crash_detector,
    fleet,
    forwarding,
    peer_reach,
    ports,
    slot_permits,
    stream_origins,
    upstream_notices,
    upstream_reach,
)

# A connection within a region takes a few milliseconds; an upstream that takes this long is down or
# overloaded.
CONNECT_TIMEOUT_S = 0.25
# How long a request waits for a permit, as a ratio of its latency target. After that it would be
# late here, while an early refusal leaves the caller time to retry elsewhere.
PERMIT_WAIT_RATIO = 0.2
# How long a stream that began waits for a permit to go on. Its caller gives up after 2 s without an
# event, and detecting the failure took part of that.
RESUME_PERMIT_WAIT_S = 1.0
# Upstreams that may decline a request before it is refused.
MAX_UPSTREAMS_TRIED = 4
# A repeatable request is retried at another upstream after a silence of this many times the target.
# The retry comes within the 2 s after which callers give up a silent stream.
IDLE_TIMEOUT_RATIO = 2.0
MIN_IDLE_TIMEOUT_S = 0.6
# A peer goes on elsewhere by itself after a shorter silence of its upstream.
PEER_IDLE_TIMEOUT_S = 1.5
# Gateways that may refuse a forwarded request before it is refused.
MAX_PEERS_TRIED = 3
# Reserved from the caller's timeout for sending the response.
DEADLINE_MARGIN_S = 0.02
_STEP = "answer"
_EVENT_STREAM = b"text/event-stream"
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# The quarantine judges by circumstances, so a caller must not be told that its request is invalid.
_STATUS_BY_CODE = errors.STATUS | {
    errors.Code.QUARANTINED: errors.STATUS[errors.Code.UPSTREAM_FAILED],
}
_log = logs.Logger("relay")


class Relay:
    """Forwards requests; each request's task owns its connection to the upstream."""

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.EdgeSettings, call_format: ports.CallFormat
    ) -> None:
        self._max_response_bytes = cfg.response_bytes
        self._permits = kern.find("seats", slot_permits.SlotPermits)
        self._reach = kern.find("upstream_reach", upstream_reach.UpstreamReach)
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._origins = kern.find("stream_origins", stream_origins.StreamOrigins)
        self._quarantine = kern.find("quarantine", shared_ports.Quarantine)
        self._crash_detector = kern.find("crash_detector", crash_detector.CrashDetector)
        self._call_format = call_format
        self._notices = upstream_notices.UpstreamNotices(kern, call_format)
        self._peer_reach = kern.find("peer_reach", peer_reach.PeerReach)
        self._forwarding = forwarding.Forwarding(kern, call_format)
        self._forward_counter = metrics.counter(
            "cornelgrade_edge_forwarded_total", "Requests forwarded to other gateways by outcome."
        )
        self._request_counter = metrics.counter(
            "cornelgrade_edge_requests_total", "Requests by route and outcome."
        )
        self._first_byte_histogram = metrics.histogram(
            "cornelgrade_edge_first_byte_seconds", "Time to the first byte of an answer, by route."
        )

    async def relay_request(
        self,
        exchange: http1_server.Exchange,
        caller: ports.Caller,
        route: routes.Route,
        hop: forwarding.Hop | None = None,
    ) -> None:
        """Respond to a request before its deadline and log its outcome once.

        :param hop: where it came from, if another gateway forwarded it; it goes no further.
        :raises AbortConnectionError: if a response that was started can't be completed.
        """
        timeout_s = caller.timeout_s if caller.timeout_s is not None else route.timeout_s
        limit_s = min(route.timeout_s, timeout_s - DEADLINE_MARGIN_S)
        fingerprint = request_traits.fingerprint(
            exchange.target.decode("latin-1"), exchange.body, caller.prompt_parts
        )
        req = _relay_state.Request(
            exchange, caller, route, exchange.arrived_s + limit_s, fingerprint, hop
        )
        progress = _relay_state.Progress(
            last_event=caller.resume_after, earlier_runs=hop.runs if hop else 0
        )
        outcome = "caller_left"
        try:
            with trio.CancelScope(deadline=req.deadline_s) as scope:
                outcome = await self._forward(req, progress)
            if scope.cancelled_caught:
                outcome = "out_of_time"
                await self._send_refusal(req, progress, _relay_state.timeout_refusal(progress))
        except http1_server.AbortConnectionError:
            outcome = "broken_off"
            raise
        finally:
            self._record_request(req, progress, outcome)

    async def _forward(self, req: _relay_state.Request, progress: _relay_state.Progress) -> str:
        while True:
            if self._reach.has_lost(self._pick_service(req, progress)):
                outcome = await self._forward_to_peers(req, progress)
                if outcome is not None:
                    return outcome
            progress.peer = ""
            try:
                if progress.origin is None and progress.last_event is not None:
                    progress.origin = await self._find_origin(req)
                permit = await self._acquire_permit(req, progress)
            except errors.Refusal as exc:
                return await self._send_refusal(
                    req, progress, _relay_state.final_refusal(progress, exc)
                )
            with permit:
                progress.upstreams_tried += 1
                progress.upstream = permit.upstream.name
                progress.permit = permit
                try:
                    head = await self._try_upstream(req, progress, permit.upstream)
                    if head.status < 300:
                        self._quarantine.report_completion(req.fingerprint)
                    return "answered"
                except engine.CallError as exc:
                    refusal = self._refusal_after_failure(req, progress, exc)
            if refusal is not None:
                return await self._send_refusal(req, progress, refusal)

    def _pick_service(self, req: _relay_state.Request, progress: _relay_state.Progress) -> str:
        if progress.origin is not None:
            return progress.origin.service
        return route_table.pick_service(req.route, req.caller.request_id)

    async def _forward_to_peers(
        self, req: _relay_state.Request, progress: _relay_state.Progress
    ) -> str | None:
        """Serve a request through gateways that reach upstreams.

        :returns: its outcome, ``None`` if it should be tried here.
        """
        service = self._pick_service(req, progress)
        refusal = errors.Refusal(
            errors.Code.UNAVAILABLE,
            f"no upstream of {service} can be reached",
            step="forward",
            retry_after_s=slot_permits.RETRY_AFTER_S,
        )
        for _ in range(MAX_PEERS_TRIED if req.hop is None else 0):
            peer = await self._peer_reach.find_peer(service, progress.failed_peers)
            if peer is None:
                break
            progress.peer = peer.vm
            try:
                return await self._call_peer(req, progress, peer.vm)
            except errors.Refusal as exc:
                refusal = exc
            except engine.CallError as exc:
                failure = self._refusal_after_failure(req, progress, exc)
                if failure is not None:
                    self._forward_counter.inc({"outcome": "failed"})
                    return await self._send_refusal(req, progress, failure)
            progress.failed_peers |= {peer.vm}
            self._peer_reach.drop(peer.vm)
        if self._reach.reaches(service):
            return None
        self._forward_counter.inc({"outcome": "refused"})
        return await self._send_refusal(
            req, progress, _relay_state.final_refusal(progress, refusal)
        )

    async def _call_peer(
        self, req: _relay_state.Request, progress: _relay_state.Progress, vm: str
    ) -> str:
        """Relay the response of a peer; return the request's outcome.

        :raises Refusal: if the peer refused it, so that it has not run there.
        """
        exchange, caller = req.exchange, req.caller
        timeout_s = caller.timeout_s or req.route.timeout_s
        with await self._forwarding.connect(vm) as channel:
            headers = self._call_format.forwarded_headers(
                exchange.raw_headers,
                exchange.arrived_s + timeout_s - trio.current_time(),
                progress.last_event,
                caller.resumed_request or (caller.request_id if progress.started else ""),
            )
            await self._forwarding.send(channel, exchange, headers, progress.runs)
            with trio.move_on_after(
                self._idle_timeout_s(req, progress, req.route.aim_s)
            ) as head_scope:
                head = await channel.read_head()
            if head_scope.cancelled_caught:
                raise channel.call_error("no response within the timeout", _STEP, timed_out=True)
            return await self._relay_peer_response(channel, req, progress, head)

    async def _acquire_permit(
        self, req: _relay_state.Request, progress: _relay_state.Progress
    ) -> slot_permits.SlotPermit:
        isolated = await self._is_suspect(req)
        origin = progress.origin
        wait_s = RESUME_PERMIT_WAIT_S if origin else PERMIT_WAIT_RATIO * req.route.aim_s
        return await self._permits.acquire(
            self._pick_service(req, progress),
            req.route.rank,
            progress.failed_upstreams,
            wait_s,
            isolated=isolated,
            origin=origin,
        )

    async def _find_origin(
        self, req: _relay_state.Request
    ) -> software_versions.StreamOrigin | None:
        """Return what began a stream that the caller takes up; ``None`` if it isn't resumable.

        :raises Refusal: ``UNAVAILABLE`` if the stream can't go on here.
        """
        if not req.route.resumable:
            return None
        began = req.caller.resumed_request or req.caller.request_id
        origin = await self._origins.find(began, req.route)
        if origin is not None and any(t.service == origin.service for t in req.route.targets):
            return origin
        message = "its service left the route" if origin else "what began the stream is unknown"
        raise errors.Refusal(
            errors.Code.UNAVAILABLE,
            message,
            step="find origin",
            retry_after_s=slot_permits.RETRY_AFTER_S,
        )

    async def _is_suspect(self, req: _relay_state.Request) -> bool:
        """Return whether a request may have crashed an upstream.

        :raises Refusal: ``QUARANTINED`` if it must not run.
        """
        verdict = await self._quarantine.wait_verdict(req.fingerprint)
        if verdict is shared_ports.Verdict.CONDEMNED:
            _log.info(
                "request_refused",
                request=req.caller.request_id,
                fingerprint=req.fingerprint,
                parts=",".join(request_traits.list_parts(req.fingerprint)),
            )
            raise errors.Refusal(
                errors.Code.QUARANTINED,
                "it, or requests that share a part with it, were in flight at crashes of upstreams",
                step="quarantine",
            )
        return verdict is shared_ports.Verdict.ALONE

    def _refusal_after_failure(
        self, req: _relay_state.Request, progress: _relay_state.Progress, exc: engine.CallError
    ) -> errors.Refusal | None:
        """Return the refusal to send after a failed attempt, or ``None`` to try again."""
        decision = retry.after_failure(exc.progress, req.route.repeatable)
        progress.failed_upstreams |= {progress.upstream}
        progress.runs += exc.progress is not engine.Progress.NOT_SENT
        _log.info(
            "attempt_failed",
            request=req.caller.request_id,
            fingerprint=req.fingerprint,
            upstream=progress.upstream,
            via=progress.peer,
            version=progress.origin.version if progress.origin else "",
            progress=exc.progress.value,
            framing=progress.framing.value if progress.framing else "",
            then=decision.then.value,
            runs=progress.runs,
            offers=progress.upstreams_tried,
            error=exc.format_message(),
        )
        attempts_exhausted = (
            progress.earlier_runs + progress.runs >= req.route.max_attempts
            or progress.upstreams_tried >= MAX_UPSTREAMS_TRIED
        )
        if (
            decision.then is not retry.FailureAction.FAIL
            and not attempts_exhausted
            and not self._cannot_resume(req, progress)
        ):
            return None
        refusal = errors.Refusal(
            errors.Code.OVERLOADED,
            exc.message,
            step=exc.step,
            retry_after_s=slot_permits.RETRY_AFTER_S,
        )
        return _relay_state.final_refusal(progress, refusal)

    @staticmethod
    def _cannot_resume(req: _relay_state.Request, progress: _relay_state.Progress) -> bool:
        """Whether the response was started on a route that is not resumable."""
        return progress.started and not req.route.resumable

    async def _try_upstream(
        self, req: _relay_state.Request, progress: _relay_state.Progress, up: routes.Upstream
    ) -> http1.ResponseHead:
        """Relay the response of one upstream; return its head."""
        try:
            channel = await http1.connect(up.address, CONNECT_TIMEOUT_S)
        except engine.CallError as exc:
            self._reach.mark_suspect(up, exc.message)
            raise
        self._reach.record_contact()
        with self._crash_detector.track_call(up, req.fingerprint):
            try:
                with channel:
                    return await self._call_upstream(channel, req, progress, up)
            except engine.CallError as exc:
                await self._crash_detector.check_after(up, exc)
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
    ) -> http1.ResponseHead:
        """Send a request and relay the response; return its head."""
        await self._send_request(channel, req, progress, up)
        head = await self._read_head(channel, req, progress, up)
        progress.framing = head.framing
        if progress.started:
            await self._resume_stream(channel, req, progress, head)
        else:
            await self._relay_response(channel, req, progress, head)
        return head

    async def _send_request(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        up: routes.Upstream,
    ) -> None:
        exchange = req.exchange
        timeout_s = req.caller.timeout_s or req.route.timeout_s
        remaining_s = exchange.arrived_s + timeout_s - trio.current_time()
        headers = self._call_format.upstream_headers(
            exchange.raw_headers, up.name, remaining_s, progress.last_event
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
        with trio.move_on_after(self._idle_timeout_s(req, progress, req.route.aim_s)):
            while True:
                head = await channel.read_head()
                self._notices.record(up, head)
                verdict = self._call_format.verdict(head, req.caller.request_id)
                if verdict is not ports.Verdict.FOREIGN:
                    break
                _log.warning("foreign_response", request=req.caller.request_id, upstream=up.name)
                await channel.skip_response()
            self._crash_detector.record_response(up)
            return self._check_verdict(channel, head, verdict)
        self._reach.mark_suspect(up, "silent")
        raise channel.call_error("no response within the timeout", _STEP, timed_out=True)

    @staticmethod
    def _check_verdict(
        channel: http1.Channel, head: http1.ResponseHead, verdict: ports.Verdict
    ) -> http1.ResponseHead:
        """Raise for heads that must not be passed on to the caller."""
        if verdict is ports.Verdict.NOT_RUN:
            channel.progress = engine.Progress.NOT_SENT
            raise channel.call_error(f"upstream declined with status {head.status}", _STEP)
        if verdict is ports.Verdict.UNSIGNED and (
            head.status < 400 or head.status in _NOT_RUN_STATUSES
        ):
            raise channel.call_error(f"unsigned response with status {head.status}", _STEP)
        return head

    def _idle_timeout_s(
        self, req: _relay_state.Request, progress: _relay_state.Progress, target_s: float
    ) -> float:
        """Return how long an upstream may be silent: unlimited if no other may be tried."""
        if progress.peer and req.route.repeatable:
            return PEER_IDLE_TIMEOUT_S
        if self._is_last_attempt(req, progress) or not req.route.repeatable:
            return float("inf")
        tried = progress.failed_upstreams | {progress.upstream}
        if progress.origin and not self._permits.can_go_on_elsewhere(progress.origin, tried):
            return float("inf")
        return max(MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_RATIO * target_s)

    async def _relay_response(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: http1.ResponseHead,
    ) -> None:
        """Relay a response whose head was received."""
        if head.status >= 500 and req.route.repeatable and not self._is_last_attempt(req, progress):
            raise channel.call_error(f"upstream failed with status {head.status}", _STEP)
        await self._relay_head_and_body(channel, req, progress, head)

    async def _relay_head_and_body(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: http1.ResponseHead,
    ) -> None:
        headers = self._call_format.caller_headers(head)
        if progress.permit is not None and req.hop is not None:
            headers += forwarding.origin_headers(progress.permit.upstream)
        streamed = (head.get(b"content-type") or b"").startswith(_EVENT_STREAM)
        if streamed and req.route.resumable and head.status < 300:
            await self._relay_events(channel, req, progress, (head.status, headers))
            return
        await self._relay_body(channel, req, progress, (head.status, headers))

    async def _relay_peer_response(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: http1.ResponseHead,
    ) -> str:
        """Relay what a peer responded, which is an upstream's response or a refusal.

        :raises Refusal: if the peer refused the request.
        """
        if self._call_format.verdict(head, req.caller.request_id) is not ports.Verdict.RESPONSE:
            if head.status not in _NOT_RUN_STATUSES:
                raise channel.call_error(f"peer failed with status {head.status}", _STEP)
            retry_after_s = self._call_format.parse_retry_after(head)
            raise errors.Refusal(
                errors.Code.OVERLOADED,
                f"{progress.peer} refused with status {head.status}",
                step="forward",
                retry_after_s=retry_after_s or slot_permits.RETRY_AFTER_S,
            )
        progress.framing = head.framing
        origin, head = forwarding.take_origin(head)
        if req.route.resumable and origin is not None and not progress.started:
            self._origins.record(req.caller.request_id, origin)
        if progress.started:
            await self._resume_stream(channel, req, progress, head)
        else:
            await self._relay_head_and_body(channel, req, progress, head)
        self._forward_counter.inc({"outcome": "answered"})
        return "answered"

    @staticmethod
    def _is_last_attempt(req: _relay_state.Request, progress: _relay_state.Progress) -> bool:
        return progress.earlier_runs + progress.runs + 1 >= req.route.max_attempts

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
        await req.exchange.end_response()

    def _check_size(
        self, channel: http1.Channel, progress: _relay_state.Progress, part: bytes
    ) -> None:
        progress.response_bytes += len(part)
        if progress.response_bytes > self._max_response_bytes:
            raise channel.call_error("response exceeds the size limit", _STEP)

    async def _resume_stream(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: http1.ResponseHead,
    ) -> None:
        """Continue a stream that the caller has received in part."""
        if head.status >= 300:
            raise channel.call_error(f"resume request got status {head.status}", _STEP)
        await self._relay_events(channel, req, progress, None)

    async def _relay_events(
        self,
        channel: http1.Channel,
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: tuple[int, http1.Headers] | None,
    ) -> None:
        """Relay complete events only, so that another upstream can resume after the last one."""
        splitter = event_stream.EventSplitter()
        progress.last_event_s = trio.current_time()
        while part := await self._read_part(channel, req, progress):
            self._check_size(channel, progress, part)
            try:
                events = splitter.feed(part)
            except event_stream.EventTooLongError as exc:
                raise channel.call_error(str(exc), _STEP) from exc
            for event in events:
                if _relay_state.has_gap(event, progress.last_event):
                    raise channel.call_error(
                        f"events missing between {progress.last_event} and {event.event_id}", _STEP
                    )
                if _relay_state.is_new_event(event, progress.last_event):
                    self._record_origin(req, progress)
                    await self._write_part(req, progress, head, event.raw)
                    progress.last_event_s = trio.current_time()
                    progress.last_event = (
                        event.event_id if event.event_id is not None else progress.last_event
                    )
        if not progress.started and head is not None:
            await self._write_part(req, progress, head, b"")
        await req.exchange.end_response()

    def _record_origin(self, req: _relay_state.Request, progress: _relay_state.Progress) -> None:
        """Record what began a stream, before its first event is sent."""
        if progress.origin is None and progress.permit is not None:
            up = progress.permit.upstream
            progress.origin = software_versions.origin_at(up)
            self._origins.record(req.caller.request_id, progress.origin)

    async def _read_part(
        self, channel: http1.Channel, req: _relay_state.Request, progress: _relay_state.Progress
    ) -> bytes:
        """Read on; bytes that complete no event don't extend the time until the next one."""
        idle_s = self._idle_timeout_s(req, progress, req.route.gap_aim_s)
        with trio.move_on_at(progress.last_event_s + idle_s):
            return await channel.read_chunk()
        raise channel.call_error("no event within the timeout", _STEP, timed_out=True)

    @staticmethod
    async def _write_part(
        req: _relay_state.Request,
        progress: _relay_state.Progress,
        head: tuple[int, http1.Headers] | None,
        part: bytes,
    ) -> None:
        if progress.started or head is None:
            await req.exchange.send_chunk(part)
            return
        progress.started = True
        progress.first_byte_s = trio.current_time() - req.exchange.arrived_s
        await req.exchange.start_response(*head, part)

    async def _send_refusal(
        self, req: _relay_state.Request, progress: _relay_state.Progress, refusal: errors.Refusal
    ) -> str:
        """Send the refusal, or abort a response that was started."""
        if progress.started:
            raise http1_server.AbortConnectionError
        headers = self._call_format.refusal_headers(req.caller.request_id, refusal.retry_after_s)
        await req.exchange.respond(_STATUS_BY_CODE[refusal.code], b"", headers)
        return refusal.code.value

    def _record_request(
        self, req: _relay_state.Request, progress: _relay_state.Progress, outcome: str
    ) -> None:
        self._request_counter.inc({"route": req.route.name, "outcome": outcome})
        if progress.first_byte_s is not None:
            self._first_byte_histogram.observe({"route": req.route.name}, progress.first_byte_s)
        table = self._fleet.table()
        _log.info(
            "request",
            request=req.caller.request_id,
            fingerprint=req.fingerprint,
            route=req.route.name,
            outcome=outcome,
            upstream=progress.upstream,
            offers=progress.upstreams_tried,
            runs=progress.runs,
            first_s=progress.first_byte_s,
            total_s=trio.current_time() - req.exchange.arrived_s,
            plan=table.plan.version if table else 0,
            version=progress.origin.version if progress.origin else "",
            resumes=req.caller.resumed_request,
            via=progress.peer,
            forwarded_by=req.hop.sender if req.hop else "",
            framing=progress.framing.value if progress.framing else "",
            **_relay_state.placement_fields(progress.permit),
        )
