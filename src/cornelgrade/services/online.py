"""The service ``online``: carries one request from admission to its whole answer.

Each request runs in its caller's own task. It asks the router for a seat, calls the upstream,
and after a failure does what the retry table says.
"""

import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

import result
import trio

from cornelgrade import errors, kernel, logs, manifest, metrics, tracing
from cornelgrade.adapters import engine
from cornelgrade.policy import admission, retry, routing
from cornelgrade.services import (
    _batches,
    _relay,
    exchange,
    keyed,
    ports,
    request_history,
    router,
    router_messages,
    upstreams,
)

MAX_ATTEMPTS = 4
WHOLE_TOKEN_TIMEOUT_S = 0.2
RETRY_AFTER_S = 1.0
CANCEL_TIMEOUT_S = 1.0
CRASH_NOTE_TIMEOUT_S = 1.0
LEAVING_REPEAT_S = 5.0

_REQUESTS = metrics.counter("cornelgrade_requests_total", "Online requests by outcome.")
_RETRIES = metrics.counter("cornelgrade_retries_total", "Attempts after the first.")
_FIRST = metrics.histogram("cornelgrade_first_token_seconds", "Time to the first byte.")


@dataclasses.dataclass(slots=True)
class _Progress:
    """What the attempts of one request have come to."""

    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    ran: errors.Ran = errors.Ran.NO
    tokens: int = 0
    head_given: bool = False

    def count(self, tokens: int) -> None:
        """Add tokens that the caller now has."""
        self.tokens += tokens


class Online:
    """The service ``online``; :meth:`serve` is called by the HTTP surface."""

    name = "online"

    def __init__(self, kern: kernel.Kernel) -> None:
        self._kern = kern
        self._log = logs.Logger("online")
        self._buckets: dict[str, admission.Bucket] = {}
        self._budget = retry.Budget()
        self._leaving_told_s: dict[str, float] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Hold the tasks of keyed requests, which go on when their callers are gone."""
        async with trio.open_nursery() as self._nursery:
            started()
            await trio.sleep_forever()

    def admit(self, team: manifest.Team) -> None:
        """Take a token from the team's bucket.

        :raises Refusal: ``RATE_LIMITED`` with the time after which a token will be there.
        """
        now_s = trio.current_time()
        limit = admission.Limit(team.rate_per_s, team.burst)
        bucket = self._buckets.get(team.name, admission.Bucket(team.burst, now_s))
        taken = admission.take(bucket, limit, now_s)
        self._buckets[team.name] = taken.bucket
        if taken.wait_s > 0:
            raise errors.Refusal(
                errors.Code.RATE_LIMITED,
                f"team {team.name} is over {team.rate_per_s:g} requests/s",
                step="admit",
                retry_after_s=round(taken.wait_s, 3),
            )

    async def serve(self, req: exchange.Request) -> exchange.Parts:
        """Give the answer: one :class:`exchange.Head`, then bytes.

        A streamed answer is whole only if it ends with the end marker.

        :raises Refusal: before the head; or after it, when a stream cannot be continued.
        """
        if req.key:
            parts = keyed.serve(self._kern, self._nursery, req, self._attempts)
        else:
            parts = self._attempts(req)
        with request_history.told(self._kern, req):
            async with contextlib.aclosing(parts):
                async for part in parts:
                    yield part

    async def _attempts(self, req: exchange.Request) -> exchange.Parts:
        progress = _Progress()
        while True:
            try:
                async with contextlib.aclosing(self._attempt(req, progress)) as parts:
                    async for part in parts:
                        yield part
            except engine.CallError as exc:
                await self._after_failure(req, progress, exc)
                continue
            self._budget = retry.earn(self._budget, self._policy().retry_budget)
            self._clear(req)
            _REQUESTS.inc({"outcome": "answered", "service": req.service})
            return

    async def _attempt(self, req: exchange.Request, progress: _Progress) -> exchange.Parts:
        async with self._seat(req, progress) as upstream:
            started_s = trio.current_time()
            request_history.note(
                self._kern, req, "route", f"Sent to {upstream.name}.", upstream.name
            )
            call = self._call(req, progress)
            try:
                async with contextlib.AsyncExitStack() as stack:
                    with tracing.start_span(tracing.Hop.CONNECT, req.span, peer=upstream.name):
                        answer = await stack.enter_async_context(upstream.call(call))
                    self._heed_leaving(upstream.name, answer)
                    checked = self._checked(req, progress, upstream.name, answer)
                    parts = await stack.enter_async_context(contextlib.aclosing(checked))
                    with tracing.start_span(tracing.Hop.FIRST_TOKEN, req.span, peer=upstream.name):
                        head = await anext(parts)
                        first = await anext(parts, b"")
                    _FIRST.observe({}, trio.current_time() - started_s)
                    if not progress.head_given:
                        progress.head_given = True
                        yield head
                    yield first
                    with tracing.start_span(tracing.Hop.RELAY, req.span, peer=upstream.name):
                        relayed = self._relayed(req, parts, upstream.name)
                        async with contextlib.aclosing(relayed):
                            async for part in relayed:
                                yield part
            except (GeneratorExit, trio.Cancelled):
                with trio.CancelScope(shield=True), trio.move_on_after(CANCEL_TIMEOUT_S):
                    await upstream.cancel(call.stream_id)
                raise

    def _relayed(self, req: exchange.Request, parts: exchange.Parts, peer: str) -> exchange.Parts:
        """Join what arrives within the relay interval, for streams only."""
        interval_s = self._policy().relay_interval_s
        if not req.stream or not interval_s:
            return parts
        return _batches.joined(self._nursery, parts, interval_s, peer)

    def _heed_leaving(self, name: str, answer: engine.Answer) -> None:
        """Take an upstream out as soon as one of its answers says that it is leaving."""
        if not any(header == engine.LEAVING_HEADER for header, _ in answer.headers):
            return
        now_s = trio.current_time()
        if now_s - self._leaving_told_s.get(name, -LEAVING_REPEAT_S) < LEAVING_REPEAT_S:
            return
        self._leaving_told_s[name] = now_s
        leaving = ports.Leaving(name)
        self._kern.find("router", router.Router).post(leaving)
        if self._kern.has("membership"):
            self._kern.find("membership", ports.Membership).broadcast(leaving)

    def _checked(
        self, req: exchange.Request, progress: _Progress, peer: str, answer: engine.Answer
    ) -> exchange.Parts:
        if answer.status >= _relay.SERVER_ERROR and req.idempotent:
            raise _relay.refused(answer, peer)
        if req.stream and answer.status < 400:
            return _relay.stream(answer, peer, progress.count)
        return _relay.whole(answer)

    @contextlib.asynccontextmanager
    async def _seat(
        self, req: exchange.Request, progress: _Progress
    ) -> AsyncIterator[engine.Upstream]:
        """Hold a seat at an upstream; a failed call counts against the upstream's health."""
        router_service = self._kern.find("router", router.Router)
        place = admission.Place(req.rank, req.deadline_s, router_service.next_number())
        with tracing.start_span(tracing.Hop.ROUTE, req.span, service=req.service):
            name = await self._ask(router_service, req, place, progress)
        began_s = trio.current_time()
        outcome = router_messages.Outcome.OTHER
        try:
            yield self._kern.find("upstreams", upstreams.Pool).get(name)
            outcome = router_messages.Outcome.WELL
        except engine.CallError as exc:
            outcome = await self._judge(name, exc)
            progress.excluded |= {name}
            raise
        finally:
            duration_s = trio.current_time() - began_s
            router_service.post(router_messages.Release(name, place, outcome, duration_s))

    async def _ask(
        self,
        router_service: router.Router,
        req: exchange.Request,
        place: admission.Place,
        progress: _Progress,
    ) -> str:
        verdict = await self._verdict(req)
        if verdict is ports.Verdict.CONDEMNED:
            raise errors.Refusal(
                errors.Code.QUARANTINED,
                "this request crashes every upstream that runs it",
                step="route",
                ran=retry.ran_after(progress.ran, errors.Ran.NO),
            )
        wish = routing.Wish(
            prefix=req.prefix,
            exclude=progress.excluded,
            alone=verdict is ports.Verdict.ALONE,
        )
        send, receive = trio.open_memory_channel[router_messages.Reply](1)
        router_service.post(router_messages.Ask(place, req.service, wish, req.fingerprint, send))
        try:
            with tracing.start_span(tracing.Hop.QUEUE, req.span, service=req.service):
                reply = await receive.receive()
        except trio.Cancelled:
            router_service.post(router_messages.Withdraw(place, req.service))
            raise
        if isinstance(reply, result.Err):
            raise _with_ran(reply.err_value, progress.ran)
        return reply.ok_value

    async def _judge(self, name: str, exc: engine.CallError) -> router_messages.Outcome:
        """Tell a crashed upstream from a broken connection: a crashed one refuses new ones."""
        if exc.progress is engine.Progress.NOT_SENT:
            return router_messages.Outcome.UNREACHABLE
        if exc.silent or exc.progress is engine.Progress.ANSWERED:
            return router_messages.Outcome.OTHER
        try:
            await self._kern.find("upstreams", upstreams.Pool).get(name).load()
        except engine.CallError as probe:
            if probe.progress is engine.Progress.NOT_SENT:
                await self._report_crash(name)
                return router_messages.Outcome.UNREACHABLE
        return router_messages.Outcome.OTHER

    async def _report_crash(self, name: str) -> None:
        """Let the router note a crash before anything that was in flight there goes on."""
        crashed = router_messages.Crashed(name, trio.Event())
        self._kern.find("router", router.Router).post(crashed)
        with trio.move_on_after(CRASH_NOTE_TIMEOUT_S):
            await crashed.noted.wait()

    async def _after_failure(
        self, req: exchange.Request, progress: _Progress, exc: engine.CallError
    ) -> None:
        """Go on to the next attempt, or raise the final error."""
        rule = retry.after_failure(exc.progress, req.idempotent)
        progress.attempts += 1
        progress.ran = retry.ran_after(progress.ran, rule.ran)
        request_history.note(self._kern, req, exc.step, f"Failed: {exc.message}.", exc.peer)
        self._log.warning(
            "attempt_failed",
            request=req.request_id,
            step=exc.step,
            peer=exc.peer,
            error=exc.message,
            progress=exc.progress.value,
        )
        if rule.then is retry.Next.FAIL or progress.attempts >= MAX_ATTEMPTS:
            raise self._final(req, progress, exc)
        if trio.current_time() >= req.deadline_s:
            raise self._late(req, progress, exc)
        if exc.progress is not engine.Progress.NOT_SENT and not self._pay():
            raise self._final(req, progress, exc)
        _RETRIES.inc({"service": req.service})

    def _pay(self) -> bool:
        left = retry.spend(self._budget)
        if left is None:
            return False
        self._budget = left
        return True

    def _final(
        self, req: exchange.Request, progress: _Progress, exc: engine.CallError
    ) -> errors.Refusal:
        code = errors.Code.UPSTREAM_FAILED
        if not req.idempotent and progress.ran is errors.Ran.UNKNOWN:
            code = errors.Code.OUTCOME_UNKNOWN
        if progress.ran is errors.Ran.NO:
            code = errors.Code.UNAVAILABLE
        may_come_back = req.idempotent or progress.ran is errors.Ran.NO
        _REQUESTS.inc({"outcome": code.value, "service": req.service})
        return errors.Refusal(
            code,
            exc.message,
            step=exc.step,
            ran=progress.ran,
            retry_after_s=RETRY_AFTER_S if may_come_back else None,
            peer=exc.peer,
        )

    def _late(
        self, req: exchange.Request, progress: _Progress, exc: engine.CallError
    ) -> errors.Refusal:
        _REQUESTS.inc({"outcome": errors.Code.DEADLINE.value, "service": req.service})
        return errors.Refusal(
            errors.Code.DEADLINE,
            f"no answer before the deadline: {exc.message}",
            step=exc.step,
            ran=progress.ran,
            peer=exc.peer,
        )

    def _call(self, req: exchange.Request, progress: _Progress) -> engine.Call:
        online = self._policy()
        first_s = online.first_token_timeout_s
        if not req.stream:
            first_s += req.max_tokens * WHOLE_TOKEN_TIMEOUT_S
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
            fresh=not req.idempotent,
        )

    def _policy(self) -> manifest.OnlinePolicy:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        assert accepted is not None
        return accepted.manifest.online

    async def _verdict(self, req: exchange.Request) -> ports.Verdict:
        if not self._kern.has("quarantine"):
            return ports.Verdict.CLEAR
        return await self._kern.find("quarantine", ports.Quarantine).settle(req.fingerprint)

    def _clear(self, req: exchange.Request) -> None:
        """Tell the quarantine that the request ended well."""
        if self._kern.has("quarantine"):
            self._kern.find("quarantine", ports.Quarantine).report_completion(req.fingerprint)


def _with_ran(refusal: errors.Refusal, ran: errors.Ran) -> errors.Refusal:
    if ran is errors.Ran.NO:
        return refusal
    return errors.Refusal(
        refusal.code,
        refusal.message,
        step=refusal.step,
        ran=retry.ran_after(ran, refusal.ran),
        retry_after_s=refusal.retry_after_s,
        peer=refusal.peer,
    )


async def _cancel(upstream: engine.Upstream, stream_id: str) -> None:
    with trio.CancelScope(shield=True), trio.move_on_after(1.0):
        await upstream.cancel(stream_id)
