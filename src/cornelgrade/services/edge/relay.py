"""Relays an online request to upstreams and their response to the caller, with retries."""

import trio

from cornelgrade import errors, kernel, logs, metrics, routes, settings
from cornelgrade.adapters import engine, http1_server
from cornelgrade.policy import (
    request_traits,
    retry,
    route_table,
    software_versions,
)
from cornelgrade.services import ports as shared_ports
from cornelgrade.services.edge import (
    _peer_relay,
    _relay_state,
    _response_relay,
    _upstream_relay,
    fleet,
    forwarding,
    peer_reach,
    ports,
    slot_permits,
    stream_origins,
    team_limits,
    upstream_reach,
)

# How long a request waits for a permit, as a ratio of its latency target. After that it would be
# late here, while an early refusal leaves the caller time to retry elsewhere.
PERMIT_WAIT_RATIO = 0.2
# How long a stream that began waits for a permit to go on. Its caller gives up after 2 s without an
# event, and detecting the failure took part of that.
RESUME_PERMIT_WAIT_S = 1.0
# Upstreams that may decline a request before it is refused.
MAX_UPSTREAMS_TRIED = 4
# Gateways that may refuse a forwarded request before it is refused.
MAX_PEERS_TRIED = 3
# Reserved from the caller's timeout for sending the response.
DEADLINE_MARGIN_S = 0.02
# The quarantine judges by circumstances, so a caller must not be told that its request is invalid.
_STATUS_BY_CODE = errors.STATUS | {
    errors.Code.QUARANTINED: errors.STATUS[errors.Code.UPSTREAM_FAILED],
}
_log = logs.Logger("relay")


class Relay:
    """Chooses where requests go, again after failures, until they have their final response."""

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.EdgeSettings, call_format: ports.CallFormat
    ) -> None:
        self._permits = kern.find("seats", slot_permits.SlotPermits)
        self._reach = kern.find("upstream_reach", upstream_reach.UpstreamReach)
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._origins = kern.find("stream_origins", stream_origins.StreamOrigins)
        self._quarantine = kern.find("quarantine", shared_ports.Quarantine)
        self._team_usage = kern.find("team_limits", team_limits.TeamLimits).usage
        self._call_format = call_format
        self._peer_reach = kern.find("peer_reach", peer_reach.PeerReach)
        responses = _response_relay.ResponseRelay(kern, cfg.response_bytes, call_format)
        self._upstream_relay = _upstream_relay.UpstreamRelay(kern, call_format, responses)
        self._peer_relay = _peer_relay.PeerRelay(kern, call_format, responses)
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
        team: routes.Team | None,
        hop: forwarding.Hop | None = None,
    ) -> bool:
        """Respond to a request before its deadline and log its outcome once.

        :param team: the team that it belongs to, if any; its priority goes before the route's.
        :param hop: where it came from, if another gateway forwarded it; it goes no further.
        :returns: whether an upstream may have run it.
        :raises AbortConnectionError: if a response that was started can't be completed.
        """
        timeout_s = caller.timeout_s if caller.timeout_s is not None else route.timeout_s
        limit_s = min(route.timeout_s, timeout_s - DEADLINE_MARGIN_S)
        fingerprint = request_traits.fingerprint(
            exchange.target.decode("latin-1"), exchange.body, caller.prompt_parts
        )
        req = _relay_state.Request(
            exchange,
            caller,
            route,
            exchange.arrived_s + limit_s,
            fingerprint,
            hop,
            team=team.name if team else "",
            rank=route.rank if team is None or team.rank is None else team.rank,
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
        return bool(progress.started or progress.runs or progress.first_byte_s is not None)

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
                goes_on = progress.started or progress.last_event is not None
                try:
                    head = await self._upstream_relay.call(req, progress, permit.upstream)
                    if head.status < 300:
                        if not goes_on:
                            permit.record_success()
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
            answered = False
            try:
                await self._peer_relay.call(req, progress, peer.vm)
                self._forward_counter.inc({"outcome": "answered"})
                return "answered"
            except errors.Refusal as exc:
                refusal = exc
            except engine.CallError as exc:
                # The upstream failed, or the peer did, which then can't be connected to.
                answered = exc.progress is not engine.Progress.NOT_SENT and not exc.timed_out
                failure = self._refusal_after_failure(req, progress, exc)
                if failure is not None:
                    self._forward_counter.inc({"outcome": "failed"})
                    return await self._send_refusal(req, progress, failure)
            if not answered:
                progress.failed_peers |= {peer.vm}
                self._peer_reach.drop(peer.vm)
        if self._reach.reaches(service):
            return None
        self._forward_counter.inc({"outcome": "refused"})
        return await self._send_refusal(
            req, progress, _relay_state.final_refusal(progress, refusal)
        )

    async def _acquire_permit(
        self, req: _relay_state.Request, progress: _relay_state.Progress
    ) -> slot_permits.SlotPermit:
        isolated = await self._is_suspect(req)
        if progress.origin is not None:
            progress.origin = self._origins.resolve(progress.origin)
        origin = progress.origin
        wait_s = RESUME_PERMIT_WAIT_S if origin else PERMIT_WAIT_RATIO * req.route.aim_s
        return await self._permits.acquire(
            self._pick_service(req, progress),
            req.rank,
            progress.failed_upstreams,
            wait_s,
            isolated=isolated,
            origin=origin,
            repeatable=not isolated and _relay_state.may_repeat(req, progress),
            team=req.team,
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
        """Whether the response was started and nothing tells an upstream where to go on."""
        return progress.started and (not req.route.resumable or progress.last_event is None)

    async def _send_refusal(
        self, req: _relay_state.Request, progress: _relay_state.Progress, refusal: errors.Refusal
    ) -> str:
        """Send the refusal, or abort a response that was started."""
        if progress.started:
            raise http1_server.AbortConnectionError
        if req.team:
            self._team_usage.record_refusal(req.team, refusal.code)
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
            team=req.team,
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
