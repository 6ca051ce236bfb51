"""The service ``online``: serves a request from admission to the end of its response.

Each request runs in its caller's task. It acquires a slot permit from the router, calls the
upstream, and after a failure follows the retry table.
"""

import contextlib
from collections.abc import AsyncIterator, Callable

import result
import trio

from cornelgrade import errors, kernel, logs, manifest, metrics, reports, tracing
from cornelgrade.adapters import engine
from cornelgrade.policy import admission, retry, token_bucket
from cornelgrade.services import (
    _coalescing,
    _relay,
    _request_progress,
    exchange,
    keyed_requests,
    ports,
    request_history,
    router,
    router_messages,
    team_counts,
    upstreams,
)

MAX_ATTEMPTS = 4
UNSTREAMED_TOKEN_TIMEOUT_S = 0.2
RETRY_AFTER_S = 1.0
CANCEL_TIMEOUT_S = 1.0
CRASH_REPORT_TIMEOUT_S = 1.0
LEAVING_REPEAT_INTERVAL_S = 5.0
_SUCCESS = range(200, 300)

_REQUESTS = metrics.counter("cornelgrade_requests_total", "Online requests by outcome.")
_RETRIES = metrics.counter("cornelgrade_retries_total", "Attempts after the first.")
_FIRST_TOKEN = metrics.histogram("cornelgrade_first_token_seconds", "Time to the first byte.")


class Online:
    """The service ``online``; the HTTP front end calls :meth:`serve`."""

    name = "online"

    def __init__(self, kern: kernel.Kernel) -> None:
        self._kern = kern
        self._log = logs.Logger("online")
        self._buckets: dict[str, token_bucket.Bucket] = {}
        self._usage = team_counts.TeamCounts(
            metrics.counter(
                "cornelgrade_team_requests_total", "Requests of teams by team and outcome."
            )
        )
        self._retry_budget = retry.Budget()
        self._leaving_announced_at_s: dict[str, float] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Run the tasks of keyed requests, which continue after their callers have disconnected."""
        async with trio.open_nursery() as self._nursery:
            started()
            await trio.sleep_forever()

    def report(self) -> reports.Report:
        """Return what each team asked of this process."""
        return reports.Report(teams=self._usage.report())

    def admit(self, team: manifest.Team) -> None:
        """Take a token from the team's bucket.

        :raises Refusal: ``RATE_LIMITED`` with the time after which a token is available.
        """
        now_s = trio.current_time()
        limit = token_bucket.RateLimit(team.rate_per_s, team.burst)
        bucket = self._buckets.get(team.name) or token_bucket.Bucket.full(limit, now_s)
        bucket = bucket.refill(now_s, limit)
        self._buckets[team.name] = bucket.drain(1) if bucket.whole_tokens else bucket
        if bucket.whole_tokens:
            self._usage.record_admission(team.name)
        else:
            self._usage.record_refusal(team.name, errors.Code.RATE_LIMITED)
            raise errors.Refusal(
                errors.Code.RATE_LIMITED,
                f"team {team.name} is over {team.rate_per_s:g} requests/s",
                step="admit",
                retry_after_s=round(bucket.wait_s, 3),
            )

    async def serve(self, req: exchange.Request) -> exchange.ResponseParts:
        """Yield the response: one :class:`exchange.ResponseHead`, then bytes.

        A streamed response is complete only if it ends with the end marker.

        :raises Refusal: before the head, or after it if a stream can't be resumed.
        """
        if req.key:
            parts = keyed_requests.serve(self._kern, self._nursery, req, self._run_attempts)
        else:
            parts = self._run_attempts(req)
        with request_history.track(self._kern, req):
            async with contextlib.aclosing(parts):
                async for part in parts:
                    yield part

    async def _run_attempts(self, req: exchange.Request) -> exchange.ResponseParts:
        progress = _request_progress.Progress()
        while True:
            try:
                async with contextlib.aclosing(self._run_attempt(req, progress)) as parts:
                    async for part in parts:
                        yield part
            except engine.CallError as exc:
                await self._handle_failure(req, progress, exc)
                continue
            self._retry_budget = retry.earn(self._retry_budget, self._online_policy().retry_budget)
            self._report_completion(req)
            _REQUESTS.inc({"outcome": "answered", "service": req.service})
            return

    async def _run_attempt(
        self, req: exchange.Request, progress: _request_progress.Progress
    ) -> exchange.ResponseParts:
        async with self._hold_permit(req, progress) as upstream:
            call_started_at_s = trio.current_time()
            request_history.record_step(
                self._kern, req, "route", f"Sent to {upstream.name}.", upstream.name
            )
            call = self._make_call(req, progress)
            try:
                async with contextlib.AsyncExitStack() as stack:
                    with tracing.start_span(tracing.Hop.CONNECT, req.span, peer=upstream.name):
                        response = await stack.enter_async_context(upstream.call(call))
                    self._announce_leaving(upstream.name, response)
                    checked_parts = self._check_response(
                        req, progress, call, upstream.name, response
                    )
                    parts = await stack.enter_async_context(contextlib.aclosing(checked_parts))
                    with tracing.start_span(tracing.Hop.FIRST_TOKEN, req.span, peer=upstream.name):
                        head = await anext(parts)
                        first = await anext(parts, b"")
                    _FIRST_TOKEN.observe({}, trio.current_time() - call_started_at_s)
                    if not progress.head_sent:
                        progress.head_sent = True
                        yield head
                    yield first
                    with tracing.start_span(tracing.Hop.RELAY, req.span, peer=upstream.name):
                        joined_parts = self._join_parts(req, parts, upstream.name)
                        async with contextlib.aclosing(joined_parts):
                            async for part in joined_parts:
                                yield part
            except (GeneratorExit, trio.Cancelled):
                with trio.CancelScope(shield=True), trio.move_on_after(CANCEL_TIMEOUT_S):
                    await upstream.cancel(call.stream_id)
                raise

    def _join_parts(
        self, req: exchange.Request, parts: exchange.ResponseParts, peer: str
    ) -> exchange.ResponseParts:
        """Join the parts of a stream that arrive within one relay interval."""
        interval_s = self._online_policy().relay_interval_s
        if not req.stream or not interval_s:
            return parts
        return _coalescing.coalesce(self._nursery, parts, interval_s, peer)

    def _announce_leaving(self, name: str, response: engine.Response) -> None:
        """Announce an upstream as soon as one of its responses says that it is leaving."""
        if not any(header == engine.LEAVING_HEADER for header, _ in response.headers):
            return
        now_s = trio.current_time()
        if (
            now_s - self._leaving_announced_at_s.get(name, -LEAVING_REPEAT_INTERVAL_S)
            < LEAVING_REPEAT_INTERVAL_S
        ):
            return
        self._leaving_announced_at_s[name] = now_s
        leaving = ports.Leaving(name)
        self._kern.find("router", router.Router).post(leaving)
        if self._kern.has("membership"):
            self._kern.find("membership", ports.Membership).broadcast(leaving)

    def _check_response(
        self,
        req: exchange.Request,
        progress: _request_progress.Progress,
        call: engine.Call,
        peer: str,
        response: engine.Response,
    ) -> exchange.ResponseParts:
        if response.status >= _relay.MIN_SERVER_ERROR_STATUS and req.idempotent:
            raise _relay.server_error(response, peer)
        if progress.head_sent and response.status not in _SUCCESS:
            # The caller has the head of a stream, which only events may follow.
            raise _relay.server_error(response, peer)
        if req.stream and response.status < 400:
            self._check_version(progress, peer, response)
            timeouts = _relay.EventTimeouts(call.first_byte_timeout_s, call.gap_timeout_s)
            return _relay.relay_stream(response, peer, progress.add_tokens, timeouts)
        return _relay.relay_whole(response)

    def _check_version(
        self, progress: _request_progress.Progress, peer: str, response: engine.Response
    ) -> None:
        """Raise a :class:`CallError` if another version generated the tokens that were relayed."""
        named = engine.read_software_version(response)
        version = self._kern.find("router", router.Router).learn_version(peer, named)
        if not progress.continues(version, named=bool(named)):
            raise engine.CallError(
                f"answered as version {version or 'unknown'}",
                step="resume",
                peer=peer,
                progress=engine.Progress.SENT,
            )

    @contextlib.asynccontextmanager
    async def _hold_permit(
        self, req: exchange.Request, progress: _request_progress.Progress
    ) -> AsyncIterator[engine.Upstream]:
        """Hold a slot permit at an upstream; a failed call counts against the upstream's health."""
        router_service = self._kern.find("router", router.Router)
        place = admission.Place(req.rank, req.deadline_s, router_service.next_arrival_number())
        with tracing.start_span(tracing.Hop.ROUTE, req.span, service=req.service):
            name = await self._acquire_permit(router_service, req, place, progress)
        started_at_s = trio.current_time()
        outcome = router_messages.Outcome.OTHER
        try:
            yield self._kern.find("upstreams", upstreams.Pool).get(name)
            outcome = router_messages.Outcome.SUCCEEDED
        except engine.CallError as exc:
            outcome = await self._classify_failure(name, exc)
            progress.excluded |= {name}
            raise
        finally:
            duration_s = trio.current_time() - started_at_s
            router_service.post(router_messages.Release(name, place, outcome, duration_s))

    async def _acquire_permit(
        self,
        router_service: router.Router,
        req: exchange.Request,
        place: admission.Place,
        progress: _request_progress.Progress,
    ) -> str:
        verdict = await self._wait_verdict(req)
        if verdict is ports.Verdict.CONDEMNED:
            raise errors.Refusal(
                errors.Code.QUARANTINED,
                "this request crashes every upstream that runs it",
                step="route",
                ran=retry.combine_ran(progress.ran, errors.Ran.NO),
            )
        requirements = progress.make_requirements(req.prefix, alone=verdict is ports.Verdict.ALONE)
        send, receive = trio.open_memory_channel[router_messages.Reply](1)
        router_service.post(
            router_messages.Acquire(place, req.service, requirements, req.fingerprint, send)
        )
        try:
            with tracing.start_span(tracing.Hop.QUEUE, req.span, service=req.service):
                reply = await receive.receive()
        except trio.Cancelled:
            router_service.post(router_messages.CancelAcquire(place, req.service))
            raise
        if isinstance(reply, result.Err):
            raise _merge_ran(reply.err_value, progress.ran)
        return reply.ok_value

    async def _classify_failure(self, name: str, exc: engine.CallError) -> router_messages.Outcome:
        """Distinguish a crashed upstream, which refuses connections, from a broken connection."""
        if exc.progress is engine.Progress.NOT_SENT:
            return router_messages.Outcome.UNREACHABLE
        if exc.timed_out or exc.progress is engine.Progress.ANSWERED:
            return router_messages.Outcome.OTHER
        try:
            await self._kern.find("upstreams", upstreams.Pool).get(name).load()
        except engine.CallError as probe:
            if probe.progress is engine.Progress.NOT_SENT:
                await self._report_crash(name)
                return router_messages.Outcome.UNREACHABLE
        return router_messages.Outcome.OTHER

    async def _report_crash(self, name: str) -> None:
        """Report a crash and wait until the router has recorded it, so that no retry runs first."""
        crashed = router_messages.Crashed(name, trio.Event())
        self._kern.find("router", router.Router).post(crashed)
        with trio.move_on_after(CRASH_REPORT_TIMEOUT_S):
            await crashed.recorded.wait()

    async def _handle_failure(
        self, req: exchange.Request, progress: _request_progress.Progress, exc: engine.CallError
    ) -> None:
        """Return if the request may be retried, else raise the final error."""
        rule = retry.after_failure(exc.progress, req.idempotent)
        progress.attempts += 1
        progress.ran = retry.combine_ran(progress.ran, rule.ran)
        request_history.record_step(self._kern, req, exc.step, f"Failed: {exc.message}.", exc.peer)
        self._log.warning(
            "attempt_failed",
            request=req.request_id,
            step=exc.step,
            peer=exc.peer,
            error=exc.message,
            progress=exc.progress.value,
        )
        if rule.then is retry.FailureAction.FAIL or progress.attempts >= MAX_ATTEMPTS:
            raise self._final_refusal(req, progress, exc)
        if trio.current_time() >= req.deadline_s:
            raise self._deadline_refusal(req, progress, exc)
        if exc.progress is not engine.Progress.NOT_SENT and not self._spend_retry():
            raise self._final_refusal(req, progress, exc)
        _RETRIES.inc({"service": req.service})

    def _spend_retry(self) -> bool:
        left = retry.spend(self._retry_budget)
        if left is None:
            return False
        self._retry_budget = left
        return True

    def _final_refusal(
        self, req: exchange.Request, progress: _request_progress.Progress, exc: engine.CallError
    ) -> errors.Refusal:
        code = errors.Code.UPSTREAM_FAILED
        if not req.idempotent and progress.ran is errors.Ran.UNKNOWN:
            code = errors.Code.OUTCOME_UNKNOWN
        if progress.ran is errors.Ran.NO:
            code = errors.Code.UNAVAILABLE
        retryable = req.idempotent or progress.ran is errors.Ran.NO
        _REQUESTS.inc({"outcome": code.value, "service": req.service})
        return errors.Refusal(
            code,
            exc.message,
            step=exc.step,
            ran=progress.ran,
            retry_after_s=RETRY_AFTER_S if retryable else None,
            peer=exc.peer,
        )

    def _deadline_refusal(
        self, req: exchange.Request, progress: _request_progress.Progress, exc: engine.CallError
    ) -> errors.Refusal:
        _REQUESTS.inc({"outcome": errors.Code.DEADLINE.value, "service": req.service})
        return errors.Refusal(
            errors.Code.DEADLINE,
            f"no answer before the deadline: {exc.message}",
            step=exc.step,
            ran=progress.ran,
            peer=exc.peer,
        )

    def _make_call(
        self, req: exchange.Request, progress: _request_progress.Progress
    ) -> engine.Call:
        online = self._online_policy()
        first_s = online.first_token_timeout_s
        if not req.stream:
            first_s += req.max_tokens * UNSTREAMED_TOKEN_TIMEOUT_S
        left_s = max(0.001, req.deadline_s - trio.current_time())
        return engine.Call(
            stream_id=f"{req.request_id}.{progress.attempts}",
            method=req.method,
            path=req.path,
            body=req.body,
            headers=req.headers,
            resume_from=progress.tokens,
            first_byte_timeout_s=min(first_s, left_s),
            gap_timeout_s=online.token_gap_timeout_s,
            new_connection=not req.idempotent,
            marks_end=req.stream,
        )

    def _online_policy(self) -> manifest.OnlinePolicy:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        assert accepted is not None
        return accepted.manifest.online

    async def _wait_verdict(self, req: exchange.Request) -> ports.Verdict:
        if not self._kern.has("quarantine"):
            return ports.Verdict.CLEAR
        return await self._kern.find("quarantine", ports.Quarantine).wait_verdict(req.fingerprint)

    def _report_completion(self, req: exchange.Request) -> None:
        """Report to the quarantine that the request completed."""
        if self._kern.has("quarantine"):
            self._kern.find("quarantine", ports.Quarantine).report_completion(req.fingerprint)


def _merge_ran(refusal: errors.Refusal, ran: errors.Ran) -> errors.Refusal:
    if ran is errors.Ran.NO:
        return refusal
    return errors.Refusal(
        refusal.code,
        refusal.message,
        step=refusal.step,
        ran=retry.combine_ran(ran, refusal.ran),
        retry_after_s=refusal.retry_after_s,
        peer=refusal.peer,
    )
