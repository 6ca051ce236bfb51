"""One request's way: a place, an upstream, its answer to the caller, and what follows a failure."""

import dataclasses

import trio

from cornelgrade import errors, kernel, logs, metrics, routes
from cornelgrade.adapters import engine, http1, http1_server
from cornelgrade.policy import event_stream, retry, route_table
from cornelgrade.services.edge import fleet, ports, slot_permits

# A connection within a region is made in a few milliseconds; an upstream that takes this long is
# gone or drowning.
CONNECT_TIMEOUT_S = 0.25
# How long a request waits for a place, as a share of its aim: later it would not be on time, and
# one that is refused this early may still be on time elsewhere.
PERMIT_WAIT_RATIO = 0.2
# How long a stream that has begun waits for a place to go on: its caller gives up after 2 s without
# an event, part of which it took to notice the failure.
RESUME_PERMIT_WAIT_S = 1.0
# Upstreams that may decline one request before it is refused.
MAX_UPSTREAMS_TRIED = 4
# A silent upstream is given up for another one after this many times the aim, if the request may
# be repeated: within the 2 s after which callers give up a silent stream.
SILENCE_TIMEOUT_RATIO = 2.0
MIN_SILENCE_TIMEOUT_S = 0.6
# Time kept back from the caller's for the answer's way.
DEADLINE_MARGIN_S = 0.02
_STEP = "answer"
_EVENT_STREAM = b"text/event-stream"
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_log = logs.Logger("relay")


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a request came over all its attempts.

    :ivar offers: upstreams that it was sent to or tried at.
    :ivar runs: those that may have run it.
    :ivar last_event: number of the last event that the caller has.
    """

    upstreams_tried: int = 0
    runs: int = 0
    started: bool = False
    last_event: int | None = None
    first_byte_s: float | None = None
    upstream: str = ""
    permit: slot_permits.SlotPermit | None = None
    failed_upstreams: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """A request with everything that is known of it."""

    exchange: http1_server.Exchange
    caller: ports.Caller
    route: routes.Route
    deadline_s: float


class Relay:
    """Forwards requests; a request's task owns its connection to the upstream."""

    def __init__(self, kern: kernel.Kernel, call_format: ports.CallFormat) -> None:
        self._permits = kern.find("seats", slot_permits.SlotPermits)
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._call_format = call_format
        self._request_counter = metrics.counter(
            "cornelgrade_edge_requests_total", "Requests by route and outcome."
        )
        self._first_byte_histogram = metrics.histogram(
            "cornelgrade_edge_first_byte_seconds", "Time to the first byte of an answer, by route."
        )

    async def relay_request(
        self, exchange: http1_server.Exchange, caller: ports.Caller, route: routes.Route
    ) -> None:
        """Answer a request within its time; every way out is logged once.

        :raises BrokenOffError: if an answer that has begun can't be completed.
        """
        timeout_s = caller.timeout_s if caller.timeout_s is not None else route.timeout_s
        limit_s = min(route.timeout_s, timeout_s - DEADLINE_MARGIN_S)
        req = _Request(exchange, caller, route, exchange.arrived_s + limit_s)
        progress = _Progress(last_event=caller.resume_after)
        outcome = "caller_left"
        try:
            with trio.CancelScope(deadline=req.deadline_s) as scope:
                outcome = await self._forward(req, progress)
            if scope.cancelled_caught:
                outcome = "out_of_time"
                await self._answer_refusal(req, progress, _timeout_refusal(progress))
        except http1_server.BrokenOffError:
            outcome = "broken_off"
            raise
        finally:
            self._record_request(req, progress, outcome)

    async def _forward(self, req: _Request, progress: _Progress) -> str:
        while True:
            try:
                permit = await self._acquire_permit(req, progress)
            except errors.Refusal as exc:
                return await self._answer_refusal(req, progress, _final_refusal(progress, exc))
            with permit:
                progress.upstreams_tried += 1
                progress.upstream = permit.upstream.name
                progress.permit = permit
                try:
                    await self._try_upstream(req, progress, permit.upstream)
                    return "answered"
                except engine.CallError as exc:
                    refusal = self._refusal_after_failure(req, progress, exc)
            if refusal is not None:
                return await self._answer_refusal(req, progress, refusal)

    async def _acquire_permit(self, req: _Request, progress: _Progress) -> slot_permits.SlotPermit:
        service = route_table.pick_service(req.route, req.caller.request_id)
        wait_s = RESUME_PERMIT_WAIT_S if progress.started else PERMIT_WAIT_RATIO * req.route.aim_s
        return await self._permits.acquire(
            service, req.route.rank, progress.failed_upstreams, wait_s
        )

    def _refusal_after_failure(
        self, req: _Request, progress: _Progress, exc: engine.CallError
    ) -> errors.Refusal | None:
        """Decide what follows a failed attempt; ``None`` for another one."""
        decision = retry.after_failure(exc.progress, req.route.repeatable)
        progress.failed_upstreams |= {progress.upstream}
        progress.runs += exc.progress is not engine.Progress.NOT_SENT
        _log.info(
            "attempt_failed",
            request=req.caller.request_id,
            upstream=progress.upstream,
            progress=exc.progress.value,
            then=decision.then.value,
            runs=progress.runs,
            offers=progress.upstreams_tried,
            error=exc.show(),
        )
        attempts_exhausted = (
            progress.runs >= req.route.max_attempts
            or progress.upstreams_tried >= MAX_UPSTREAMS_TRIED
        )
        if (
            decision.then is not retry.Next.FAIL
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
        return _final_refusal(progress, refusal)

    @staticmethod
    def _cannot_resume(req: _Request, progress: _Progress) -> bool:
        """Whether an answer has begun that can't go on elsewhere."""
        return progress.started and not req.route.resumable

    async def _try_upstream(self, req: _Request, progress: _Progress, up: routes.Upstream) -> None:
        try:
            channel = await http1.connect(up.address, CONNECT_TIMEOUT_S)
        except engine.CallError as exc:
            self._permits.mark_suspect(up, exc.message)
            raise
        with channel:
            await self._send_request(channel, req, progress, up)
            head = await self._read_head(channel, req, progress, up)
            if progress.started:
                await self._resume_stream(channel, req, progress, head)
            else:
                await self._relay_answer(channel, req, progress, head)

    async def _send_request(
        self, channel: http1.Channel, req: _Request, progress: _Progress, up: routes.Upstream
    ) -> None:
        exchange = req.exchange
        timeout_s = req.caller.timeout_s or req.route.timeout_s
        left_s = exchange.arrived_s + timeout_s - trio.current_time()
        headers = self._call_format.upstream_headers(
            exchange.raw_headers, up.name, left_s, progress.last_event
        )
        await channel.send(exchange.method, exchange.target, headers, exchange.body)

    async def _read_head(
        self, channel: http1.Channel, req: _Request, progress: _Progress, up: routes.Upstream
    ) -> http1.Head:
        """Wait for the head of this request's answer."""
        with trio.move_on_after(self._silence_timeout_s(req, progress, req.route.aim_s)):
            while True:
                head = await channel.head()
                verdict = self._call_format.verdict(head, req.caller.request_id)
                if verdict is not ports.Verdict.FOREIGN:
                    break
                _log.warning("foreign_answer", request=req.caller.request_id, upstream=up.name)
                await channel.next_answer()
            return self._check_verdict(channel, head, verdict)
        self._permits.mark_suspect(up, "silent")
        raise channel.failure("no answer in time", _STEP, silent=True)

    @staticmethod
    def _check_verdict(
        channel: http1.Channel, head: http1.Head, verdict: ports.Verdict
    ) -> http1.Head:
        """Refuse heads that are no answer to pass on."""
        if verdict is ports.Verdict.NOT_RUN:
            channel.progress = engine.Progress.NOT_SENT
            raise channel.failure(f"declined with {head.status}", _STEP)
        if verdict is ports.Verdict.UNSIGNED and (
            head.status < 400 or head.status in _NOT_RUN_STATUSES
        ):
            raise channel.failure(f"unsigned {head.status}", _STEP)
        return head

    def _silence_timeout_s(self, req: _Request, progress: _Progress, aim_s: float) -> float:
        """Give how long an upstream may be silent: to the end where nothing else can be tried."""
        if self._is_last_attempt(req, progress) or not req.route.repeatable:
            return float("inf")
        return max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_RATIO * aim_s)

    async def _relay_answer(
        self, channel: http1.Channel, req: _Request, progress: _Progress, head: http1.Head
    ) -> None:
        """Pass an answer on from its head."""
        headers = self._call_format.caller_headers(head)
        streamed = (head.get(b"content-type") or b"").startswith(_EVENT_STREAM)
        if head.status >= 500 and req.route.repeatable and not self._is_last_attempt(req, progress):
            raise channel.failure(f"failed with {head.status}", _STEP)
        if streamed and req.route.resumable and head.status < 300:
            await self._relay_events(channel, req, progress, (head.status, headers))
            return
        await self._relay_body(channel, req, progress, (head.status, headers))

    @staticmethod
    def _is_last_attempt(req: _Request, progress: _Progress) -> bool:
        return progress.runs + 1 >= req.route.max_attempts

    async def _relay_body(
        self,
        channel: http1.Channel,
        req: _Request,
        progress: _Progress,
        head: tuple[int, http1.Headers],
    ) -> None:
        """Pass the body on as it comes."""
        while part := await channel.body():
            await self._write_part(req, progress, head, part)
        if not progress.started:
            await self._write_part(req, progress, head, b"")
        await req.exchange.end()

    async def _resume_stream(
        self, channel: http1.Channel, req: _Request, progress: _Progress, head: http1.Head
    ) -> None:
        """Continue a stream of which the caller has a part."""
        if head.status >= 300:
            raise channel.failure(f"resume answered with {head.status}", _STEP)
        await self._relay_events(channel, req, progress, None)

    async def _relay_events(
        self,
        channel: http1.Channel,
        req: _Request,
        progress: _Progress,
        head: tuple[int, http1.Headers] | None,
    ) -> None:
        """Pass whole events on, so that another upstream can go on behind the last one."""
        splitter = event_stream.EventSplitter()
        while part := await self._read_part(channel, req, progress):
            for event in splitter.feed(part):
                if _has_gap(event, progress.last_event):
                    raise channel.failure(
                        f"event {event.number} after {progress.last_event}", _STEP
                    )
                if _is_new_event(event, progress.last_event):
                    await self._write_part(req, progress, head, event.raw)
                    progress.last_event = (
                        event.number if event.number is not None else progress.last_event
                    )
        if splitter.rest:
            raise channel.failure("the stream ended within an event", _STEP)
        if not progress.started and head is not None:
            await self._write_part(req, progress, head, b"")
        await req.exchange.end()

    async def _read_part(self, channel: http1.Channel, req: _Request, progress: _Progress) -> bytes:
        with trio.move_on_after(self._silence_timeout_s(req, progress, req.route.gap_aim_s)):
            return await channel.body()
        raise channel.failure("silent within the stream", _STEP, silent=True)

    @staticmethod
    async def _write_part(
        req: _Request, progress: _Progress, head: tuple[int, http1.Headers] | None, part: bytes
    ) -> None:
        if progress.started or head is None:
            await req.exchange.chunk(part)
            return
        progress.started = True
        progress.first_byte_s = trio.current_time() - req.exchange.arrived_s
        await req.exchange.start(*head, part)

    async def _answer_refusal(
        self, req: _Request, progress: _Progress, refusal: errors.Refusal
    ) -> str:
        """Give the caller the system's own final answer, or break off the one that has begun."""
        if progress.started:
            raise http1_server.BrokenOffError
        headers = self._call_format.refusal_headers(req.caller.request_id, refusal.retry_after_s)
        await req.exchange.answer(refusal.status, b"", headers)
        return refusal.code.value

    def _record_request(self, req: _Request, progress: _Progress, outcome: str) -> None:
        self._request_counter.inc({"route": req.route.name, "outcome": outcome})
        if progress.first_byte_s is not None:
            self._first_byte_histogram.observe({"route": req.route.name}, progress.first_byte_s)
        table = self._fleet.table()
        _log.info(
            "request",
            request=req.caller.request_id,
            route=req.route.name,
            outcome=outcome,
            upstream=progress.upstream,
            offers=progress.upstreams_tried,
            runs=progress.runs,
            first_s=progress.first_byte_s,
            total_s=trio.current_time() - req.exchange.arrived_s,
            plan=table.plan.version if table else 0,
            **_placement_fields(progress.permit),
        )


def _placement_fields(permit: slot_permits.SlotPermit | None) -> dict[str, logs.Value]:
    """Give what the choice of the last upstream went by."""
    if permit is None:
        return {}
    candidate = permit.candidate
    return {
        "own": candidate.own,
        "others": candidate.others,
        "batch": candidate.batch,
        "load_age_s": permit.load_age_s,
        "waited_s": permit.waited_s,
    }


def _is_new_event(event: event_stream.Event, last: int | None) -> bool:
    """Whether an event comes behind the last one that the caller has."""
    return event.number is None or last is None or event.number > last


def _has_gap(event: event_stream.Event, last: int | None) -> bool:
    """Whether events are missing between the last one that the caller has and this one."""
    return event.number is not None and last is not None and event.number > last + 1


def _final_refusal(progress: _Progress, refusal: errors.Refusal) -> errors.Refusal:
    """Refuse as not run only what no upstream can have run."""
    if not progress.runs:
        return refusal
    return errors.Refusal(
        errors.Code.UPSTREAM_FAILED, refusal.message, step=refusal.step, ran=errors.Ran.UNKNOWN
    )


def _timeout_refusal(progress: _Progress) -> errors.Refusal:
    """Say what is true when the time is over: an offer may have run."""
    if progress.upstreams_tried == 0:
        return errors.Refusal(
            errors.Code.OVERLOADED,
            "no place in time",
            step="choose",
            retry_after_s=slot_permits.RETRY_AFTER_S,
        )
    return errors.Refusal(
        errors.Code.DEADLINE, "no whole answer in time", step="answer", ran=errors.Ran.UNKNOWN
    )
