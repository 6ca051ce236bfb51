"""Asks upstreams whether a stream goes on after an end that only its connection marked."""

import functools
from collections.abc import Awaitable, Callable

import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.adapters import engine, http1
from cornelgrade.policy import event_stream, stream_end
from cornelgrade.services.edge import fleet, outage_checks, path_watch, upstream_limits

# Replies may be cut short too. An upstream that sends a single event in each needs three: one that
# ends before the last event, and two that end after it. One more may be empty.
MAX_QUESTIONS = 4
# The end of a stream is to be confirmed twice by an upstream that breaks off responses. One that
# sends a single event in each needs five more questions for the last three events.
MAX_QUESTIONS_IN_DOUBT = 9
# The second question brings three events beside the two of the first one, as slowly as the stream.
TIMEOUT_RATIO_IN_DOUBT = 1.5
# A connection within a region takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
_STEP = "ask for more events"
_EVENT_STREAM = b"text/event-stream"
_log = logs.Logger("stream_questions")

# Sends the request again, asking for what follows an event (0 for all), and returns the head.
Send = Callable[[http1.Channel, int], Awaitable[http1.ResponseHead]]


class StreamQuestions:
    """Asks an upstream, and accounts for what is sent to it."""

    def __init__(self, kern: kernel.Kernel) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._limits = kern.find("upstream_limits", upstream_limits.UpstreamLimits)
        self._outage_checks = kern.find("outage_checks", outage_checks.OutageChecks)
        self._path_watch = kern.find("path_watch", path_watch.PathWatch)
        self._early_ends = stream_end.EarlyEnds()

    async def has_ended(
        self,
        up: routes.Upstream,
        request: str,
        end: stream_end.StreamEnd,
        send: Send,
        timeout_s: float,
    ) -> bool:
        """Return whether a stream has ended after the event where its response did.

        Nothing that the replies bring is part of the stream: more comes from a run that is asked
        for what follows that event.

        :param timeout_s: limit for all replies together, unless the upstream is in doubt.
        :raises CallError: if no reply tells.
        """
        assert end.ended_after is not None
        twice = self._early_ends.includes(_start_of(up), trio.current_time())
        evidence = stream_end.Evidence(end.ended_after, twice=twice)
        answer = stream_end.Answer.UNKNOWN
        limit_s = timeout_s * (TIMEOUT_RATIO_IN_DOUBT if twice else 1.0)
        with trio.move_on_after(limit_s) as scope:
            for _ in range(MAX_QUESTIONS_IN_DOUBT if twice else MAX_QUESTIONS):
                answer = await self._ask(up, request, evidence, send)
                if answer is not stream_end.Answer.UNKNOWN:
                    break
        if answer is stream_end.Answer.UNKNOWN:
            raise _error(up, "end of the stream is not confirmed", timed_out=scope.cancelled_caught)
        if answer is stream_end.Answer.MORE:
            self.record_early_end(up)
            end.goes_on_after = end.ended_after
        return answer is stream_end.Answer.ENDED

    async def _ask(
        self, up: routes.Upstream, request: str, evidence: stream_end.Evidence, send: Send
    ) -> stream_end.Answer:
        """Ask once, and log what the reply tells and why.

        :raises CallError: if no reply to the request began, or not of the start that served it.
        """
        self.take_permit(up)
        evidence.begin_reply()
        asked_after = evidence.ask_after
        answer, reason = stream_end.Answer.UNKNOWN, "timeout"
        try:
            with (
                await http1.connect(up.address, CONNECT_TIMEOUT_S) as channel,
                self._path_watch.open_beside(up, channel) as idle,
            ):
                channel.confirm_end_with(functools.partial(self._confirm_end, up, idle, evidence))
                head = await send(channel, asked_after)
                _check_head(up, head)
                reason = await _read_reply(channel, evidence)
            if not reason and asked_after < evidence.last_brought <= evidence.last_event:
                await self._check_start(up, channel.opened_s)
            if not reason and evidence.ends_early:
                self.record_early_end(up)
            answer = stream_end.Answer.UNKNOWN if reason else evidence.end_reply()
        except engine.CallError as exc:
            reason = str(exc)
            if exc.progress is engine.Progress.NOT_SENT:
                # The upstream has run the request, whatever became of the question.
                exc.progress = engine.Progress.PART_ANSWERED
            raise
        finally:
            _log.info(
                "stream_end_asked",
                request=request,
                upstream=up.name,
                last_event=evidence.last_event,
                asked_after=asked_after,
                last_brought=evidence.last_brought,
                answer=answer.value,
                reason=reason or f"ended or read up to event {evidence.last_brought}",
            )
        if reason:
            # The connection beside the next reply is then old enough to show an ended path.
            await trio.sleep(path_watch.MIN_PROOF_S)
        return answer

    async def _confirm_end(
        self, up: routes.Upstream, idle: path_watch.IdleConnection, evidence: stream_end.Evidence
    ) -> bool:
        """Return whether the end of a reply counts; one before the last event is no evidence."""
        return evidence.ends_early or await self._outage_checks.has_ended_alone(up, idle)

    async def _check_start(self, up: routes.Upstream, since_s: float) -> None:
        """Check that a reply is of the start that served the stream.

        :param since_s: when the connection of the reply was opened, on trio's clock.
        :raises CallError: if that is not known.
        """
        if not self._fleet.has_reported(up, since_s):
            doubt = await self._outage_checks.find_doubt(up, since_s)
            if doubt is not None:
                raise _error(up, doubt)

    def record_early_end(self, up: routes.Upstream) -> None:
        """Record that an upstream, which goes on running, has broken off a response."""
        self._early_ends.record(_start_of(up), trio.current_time())

    def take_permit(self, up: routes.Upstream) -> None:
        """Account for a question to an upstream, or for a run that goes on there.

        :raises CallError: if it gets no new requests.
        """
        usable = {_start_of(reg.upstream) for reg in self._fleet.usable_registrations()}
        if _start_of(up) not in usable:
            raise _error(up, "connection ended, and the upstream takes no new requests")
        self._limits.take(up)


async def _read_reply(channel: http1.Channel, evidence: stream_end.Evidence) -> str:
    """Read a reply until it brings more, or ends; return why it tells nothing, empty if it may."""
    splitter = event_stream.EventSplitter()
    try:
        while part := await channel.read_chunk():
            for event in splitter.feed(part):
                if not event.well_formed:
                    return event_stream.MALFORMED_MESSAGE
                if not event.empty:
                    evidence.add_event(event.event_id)
            if evidence.goes_on:
                break
    except event_stream.EventTooLongError as exc:
        return str(exc)
    except engine.CallError as exc:
        return exc.message
    return ""


def _start_of(up: routes.Upstream) -> tuple[str, int]:
    return up.name, up.started_ms


def _check_head(up: routes.Upstream, head: http1.ResponseHead) -> None:
    """Raise :class:`CallError` unless a reply is a stream of events."""
    if head.status >= 300:
        raise _error(up, f"question got status {head.status}")
    if not (head.get(b"content-type") or _EVENT_STREAM).startswith(_EVENT_STREAM):
        raise _error(up, "question got no event stream")


def _error(up: routes.Upstream, message: str, *, timed_out: bool = False) -> engine.CallError:
    return engine.CallError(
        message,
        step=_STEP,
        peer=up.address,
        progress=engine.Progress.PART_ANSWERED,
        timed_out=timed_out,
    )
