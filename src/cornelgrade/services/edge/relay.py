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
WAIT_SHARE_OF_AIM = 0.2
# How long a stream that has begun waits for a place to go on: its caller gives up after 2 s without
# an event, part of which it took to notice the failure.
RESUME_WAIT_S = 1.0
# Upstreams that may decline one request before it is refused.
MAX_OFFERS = 4
# A silent upstream is given up for another one after this many times the aim, if the request may
# be repeated: within the 2 s after which callers give up a silent stream.
SILENCE_IN_AIMS = 2.0
LEAST_SILENCE_S = 0.6
# Time kept back from the caller's for the answer's way.
MARGIN_S = 0.02
_STEP = "answer"
_EVENT_STREAM = b"text/event-stream"
_PROMISES = frozenset((408, 421, 429, 503))
_log = logs.Logger("relay")


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a request came over all its attempts.

    :ivar offers: upstreams that it was sent to or tried at.
    :ivar runs: those that may have run it.
    :ivar last_event: number of the last event that the caller has.
    """

    offers: int = 0
    runs: int = 0
    started: bool = False
    last_event: int | None = None
    first_s: float | None = None
    upstream: str = ""
    seat: slot_permits.Seat | None = None
    failed: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Work:
    """A request with everything that is known of it."""

    exchange: http1_server.Exchange
    caller: ports.Caller
    route: routes.Route
    until_s: float


class Relay:
    """Forwards requests; a request's task owns its connection to the upstream."""

    def __init__(self, kern: kernel.Kernel, calls: ports.CallFormat) -> None:
        self._seats = kern.find("seats", slot_permits.SlotPermits)
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._calls = calls
        self._requests = metrics.counter(
            "cornelgrade_edge_requests_total", "Requests by route and outcome."
        )
        self._first = metrics.histogram(
            "cornelgrade_edge_first_byte_seconds", "Time to the first byte of an answer, by route."
        )

    async def serve(
        self, exchange: http1_server.Exchange, caller: ports.Caller, route: routes.Route
    ) -> None:
        """Answer a request within its time; every way out is logged once.

        :raises BrokenOffError: if an answer that has begun can't be completed.
        """
        timeout_s = caller.timeout_s if caller.timeout_s is not None else route.timeout_s
        limit_s = min(route.timeout_s, timeout_s - MARGIN_S)
        work = _Work(exchange, caller, route, exchange.arrived_s + limit_s)
        done = _Progress(last_event=caller.resume_after)
        outcome = "caller_left"
        try:
            with trio.CancelScope(deadline=work.until_s) as scope:
                outcome = await self._forward(work, done)
            if scope.cancelled_caught:
                outcome = "out_of_time"
                await self._end(work, done, _late(done))
        except http1_server.BrokenOffError:
            outcome = "broken_off"
            raise
        finally:
            self._tell(work, done, outcome)

    async def _forward(self, work: _Work, done: _Progress) -> str:
        while True:
            try:
                seat = await self._seat(work, done)
            except errors.Refusal as exc:
                return await self._end(work, done, _final(done, exc))
            with seat:
                done.offers += 1
                done.upstream = seat.upstream.name
                done.seat = seat
                try:
                    await self._attempt(work, done, seat.upstream)
                    return "answered"
                except engine.CallError as exc:
                    refusal = self._after(work, done, exc)
            if refusal is not None:
                return await self._end(work, done, refusal)

    async def _seat(self, work: _Work, done: _Progress) -> slot_permits.Seat:
        service = route_table.pick_service(work.route, work.caller.request_id)
        wait_s = RESUME_WAIT_S if done.started else WAIT_SHARE_OF_AIM * work.route.aim_s
        return await self._seats.take(service, work.route.rank, done.failed, wait_s)

    def _after(self, work: _Work, done: _Progress, exc: engine.CallError) -> errors.Refusal | None:
        """Decide what follows a failed attempt; ``None`` for another one."""
        rule = retry.after_failure(exc.progress, work.route.repeatable)
        done.failed |= {done.upstream}
        done.runs += exc.progress is not engine.Progress.NOT_SENT
        _log.info(
            "attempt_failed",
            request=work.caller.request_id,
            upstream=done.upstream,
            progress=exc.progress.value,
            then=rule.then.value,
            runs=done.runs,
            offers=done.offers,
            error=exc.format_message(),
        )
        spent = done.runs >= work.route.max_attempts or done.offers >= MAX_OFFERS
        if rule.then is not retry.Next.FAIL and not spent and not self._lost_place(work, done):
            return None
        refusal = errors.Refusal(
            errors.Code.OVERLOADED,
            exc.message,
            step=exc.step,
            retry_after_s=slot_permits.RETRY_AFTER_S,
        )
        return _final(done, refusal)

    @staticmethod
    def _lost_place(work: _Work, done: _Progress) -> bool:
        """Whether an answer has begun that can't go on elsewhere."""
        return done.started and not work.route.resumable

    async def _attempt(self, work: _Work, done: _Progress, up: routes.Upstream) -> None:
        try:
            channel = await http1.connect(up.address, CONNECT_TIMEOUT_S)
        except engine.CallError as exc:
            self._seats.failed(up, exc.message)
            raise
        with channel:
            await self._send(channel, work, done, up)
            head = await self._head(channel, work, done, up)
            if done.started:
                await self._go_on(channel, work, done, head)
            else:
                await self._answer(channel, work, done, head)

    async def _send(
        self, channel: http1.Channel, work: _Work, done: _Progress, up: routes.Upstream
    ) -> None:
        exchange = work.exchange
        timeout_s = work.caller.timeout_s or work.route.timeout_s
        left_s = exchange.arrived_s + timeout_s - trio.current_time()
        headers = self._calls.upstream_headers(
            exchange.raw_headers, up.name, left_s, done.last_event
        )
        await channel.send(exchange.method, exchange.target, headers, exchange.body)

    async def _head(
        self, channel: http1.Channel, work: _Work, done: _Progress, up: routes.Upstream
    ) -> http1.Head:
        """Wait for the head of this request's answer."""
        with trio.move_on_after(self._patience(work, done, work.route.aim_s)):
            while True:
                head = await channel.head()
                verdict = self._calls.verdict(head, work.caller.request_id)
                if verdict is not ports.Verdict.FOREIGN:
                    break
                _log.warning("foreign_answer", request=work.caller.request_id, upstream=up.name)
                await channel.next_answer()
            return self._judged(channel, head, verdict)
        self._seats.failed(up, "silent")
        raise channel.failure("no answer in time", _STEP, silent=True)

    @staticmethod
    def _judged(channel: http1.Channel, head: http1.Head, verdict: ports.Verdict) -> http1.Head:
        """Refuse heads that are no answer to pass on."""
        if verdict is ports.Verdict.NOT_RUN:
            channel.progress = engine.Progress.NOT_SENT
            raise channel.failure(f"declined with {head.status}", _STEP)
        if verdict is ports.Verdict.UNSIGNED and (head.status < 400 or head.status in _PROMISES):
            raise channel.failure(f"unsigned {head.status}", _STEP)
        return head

    def _patience(self, work: _Work, done: _Progress, aim_s: float) -> float:
        """Give how long an upstream may be silent: to the end where nothing else can be tried."""
        if self._last(work, done) or not work.route.repeatable:
            return float("inf")
        return max(LEAST_SILENCE_S, SILENCE_IN_AIMS * aim_s)

    async def _answer(
        self, channel: http1.Channel, work: _Work, done: _Progress, head: http1.Head
    ) -> None:
        """Pass an answer on from its head."""
        headers = self._calls.caller_headers(head)
        streamed = (head.get(b"content-type") or b"").startswith(_EVENT_STREAM)
        if head.status >= 500 and work.route.repeatable and not self._last(work, done):
            raise channel.failure(f"failed with {head.status}", _STEP)
        if streamed and work.route.resumable and head.status < 300:
            await self._events(channel, work, done, (head.status, headers))
            return
        await self._bytes(channel, work, done, (head.status, headers))

    @staticmethod
    def _last(work: _Work, done: _Progress) -> bool:
        return done.runs + 1 >= work.route.max_attempts

    async def _bytes(
        self,
        channel: http1.Channel,
        work: _Work,
        done: _Progress,
        head: tuple[int, http1.Headers],
    ) -> None:
        """Pass the body on as it comes."""
        while part := await channel.body():
            await self._pass(work, done, head, part)
        if not done.started:
            await self._pass(work, done, head, b"")
        await work.exchange.end()

    async def _go_on(
        self, channel: http1.Channel, work: _Work, done: _Progress, head: http1.Head
    ) -> None:
        """Continue a stream of which the caller has a part."""
        if head.status >= 300:
            raise channel.failure(f"resume answered with {head.status}", _STEP)
        await self._events(channel, work, done, None)

    async def _events(
        self,
        channel: http1.Channel,
        work: _Work,
        done: _Progress,
        head: tuple[int, http1.Headers] | None,
    ) -> None:
        """Pass whole events on, so that another upstream can go on behind the last one."""
        splitter = event_stream.EventSplitter()
        while part := await self._part(channel, work, done):
            for event in splitter.feed(part):
                if _skips(event, done.last_event):
                    raise channel.failure(f"event {event.number} after {done.last_event}", _STEP)
                if _follows(event, done.last_event):
                    await self._pass(work, done, head, event.raw)
                    done.last_event = event.number if event.number is not None else done.last_event
        if splitter.rest:
            raise channel.failure("the stream ended within an event", _STEP)
        if not done.started and head is not None:
            await self._pass(work, done, head, b"")
        await work.exchange.end()

    async def _part(self, channel: http1.Channel, work: _Work, done: _Progress) -> bytes:
        with trio.move_on_after(self._patience(work, done, work.route.gap_aim_s)):
            return await channel.body()
        raise channel.failure("silent within the stream", _STEP, silent=True)

    @staticmethod
    async def _pass(
        work: _Work, done: _Progress, head: tuple[int, http1.Headers] | None, part: bytes
    ) -> None:
        if done.started or head is None:
            await work.exchange.chunk(part)
            return
        done.started = True
        done.first_s = trio.current_time() - work.exchange.arrived_s
        await work.exchange.start(*head, part)

    async def _end(self, work: _Work, done: _Progress, refusal: errors.Refusal) -> str:
        """Give the caller the system's own final answer, or break off the one that has begun."""
        if done.started:
            raise http1_server.BrokenOffError
        headers = self._calls.refusal_headers(work.caller.request_id, refusal.retry_after_s)
        await work.exchange.answer(refusal.status, b"", headers)
        return refusal.code.value

    def _tell(self, work: _Work, done: _Progress, outcome: str) -> None:
        self._requests.inc({"route": work.route.name, "outcome": outcome})
        if done.first_s is not None:
            self._first.observe({"route": work.route.name}, done.first_s)
        table = self._fleet.table()
        _log.info(
            "request",
            request=work.caller.request_id,
            route=work.route.name,
            outcome=outcome,
            upstream=done.upstream,
            offers=done.offers,
            runs=done.runs,
            first_s=done.first_s,
            total_s=trio.current_time() - work.exchange.arrived_s,
            plan=table.plan.version if table else 0,
            **_choice(done.seat),
        )


def _choice(seat: slot_permits.Seat | None) -> dict[str, logs.Value]:
    """Give what the choice of the last upstream went by."""
    if seat is None:
        return {}
    seen = seat.seen
    return {
        "own": seen.own,
        "others": seen.others,
        "batch": seen.batch,
        "load_age_s": seat.load_age_s,
        "waited_s": seat.waited_s,
    }


def _follows(event: event_stream.Event, last: int | None) -> bool:
    """Whether an event comes behind the last one that the caller has."""
    return event.number is None or last is None or event.number > last


def _skips(event: event_stream.Event, last: int | None) -> bool:
    """Whether events are missing between the last one that the caller has and this one."""
    return event.number is not None and last is not None and event.number > last + 1


def _final(done: _Progress, refusal: errors.Refusal) -> errors.Refusal:
    """Refuse as not run only what no upstream can have run."""
    if not done.runs:
        return refusal
    return errors.Refusal(
        errors.Code.UPSTREAM_FAILED, refusal.message, step=refusal.step, ran=errors.Ran.UNKNOWN
    )


def _late(done: _Progress) -> errors.Refusal:
    """Say what is true when the time is over: an offer may have run."""
    if done.offers == 0:
        return errors.Refusal(
            errors.Code.OVERLOADED,
            "no place in time",
            step="choose",
            retry_after_s=slot_permits.RETRY_AFTER_S,
        )
    return errors.Refusal(
        errors.Code.DEADLINE, "no whole answer in time", step="answer", ran=errors.Ran.UNKNOWN
    )
