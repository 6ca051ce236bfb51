"""Responses without framing that end between two events although their upstream goes on running."""

import contextlib
import dataclasses
import functools

import pytest
import trio
from tests.edge import stranded, test_unframed_responses

from cornelgrade.adapters import http1_server
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.standins import fault_proxy

EVENTS = 5
EVENT_S = 0.05
start_system = test_unframed_responses.start_system
set_faults = test_unframed_responses.set_faults
RESUMABLE = edge_system.RESUMABLE_PREFIX
RUN_ONCE_PREFIXES = test_unframed_responses.RUN_ONCE_PREFIXES


@contextlib.asynccontextmanager
async def run_behind_proxies(**options):
    """Run a system whose engines are reached through proxies; yield it and the proxies."""
    async with (
        edge_system.run_system(event_s=EVENT_S, **options) as system,
        trio.open_nursery() as nursery,
    ):
        proxies = {}
        for name, eng in system.engines.items():
            proxies[name] = fault_proxy.FaultProxy(eng.address)
            address = await nursery.start(proxies[name].serve, "127.0.0.1:0")
            up = eng.upstream(edge_system.SERVICE, "north")
            await system.register(dataclasses.replace(up, address=address))
        await trio.sleep(0.6)
        set_faults(system, unframed=True)
        yield system, proxies
        nursery.cancel_scope.cancel()


def list_runs(system, request):
    return [seen for eng in system.engines.values() for seen in eng.seen if seen.request == request]


async def end_connections(system, proxies, request, events):
    """Close all connections to the upstream that runs a request, once it has sent some events."""
    with trio.fail_after(5):
        while not any(seen.ran for seen in list_runs(system, request)):
            await trio.sleep(0.002)
    await trio.sleep((events + 0.5) * EVENT_S)
    for name, eng in system.engines.items():
        if any(seen.request == request for seen in eng.seen):
            proxies[name].switch(fault_proxy.Switches(end=True))


async def send_through_ending_path(system, proxies, path, events=2, **options):
    """Send a request whose connection ends with all others to its upstream; return the response."""
    received = []

    async def receive():
        received.append(await system.send_online("gateway-0", path, "r1", b"question", **options))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(receive)
        await end_connections(system, proxies, "r1", events)
    return received[0]


# Guards against passing on as complete a stream of which the upstream has sent a part.
@pytest.mark.parametrize("close_after", [1, 2, EVENTS - 1])
async def test_resumable_stream_goes_on_after_its_upstream_ended_it_early(close_after):
    async with edge_system.run_system(engines=2) as system:
        set_faults(system, unframed=True, close_after=close_after)
        got = await system.send_online("gateway-0", RESUMABLE, "r1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)


# Guards against the same where its caller takes the stream up, at its gateway or at another one.
@pytest.mark.parametrize("gateway", ["gateway-0", "gateway-1"])
async def test_stream_that_is_taken_up_goes_on_after_an_early_end(gateway):
    async with edge_system.run_system(gateways=2, engines=2) as system:
        await system.send_online("gateway-0", RESUMABLE, "r1")
        set_faults(system, unframed=True, close_after=2)
        got = await system.send_online(gateway, RESUMABLE, "r2", resumes="r1", last_event_id="1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r2", EVENTS, 1)


# Guards against the same at a peer that serves the requests of a gateway without upstreams.
async def test_stream_through_a_peer_goes_on_after_an_early_end(monkeypatch):
    async with edge_system.run_system(gateways=2, engines=3) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            with trio.fail_after(10):
                while (await system.send_online("gateway-0", RESUMABLE, "before")).status != 200:
                    await trio.sleep(0.05)
            set_faults(system, unframed=True, close_after=2)
            got = await system.send_online("gateway-0", RESUMABLE, "r1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)


# Guards against results that lack what came after an early end of an item's stream.
async def test_item_completes_whole_after_early_ends():
    async with edge_system.run_system(workers=2, engines=3) as system:
        set_faults(system, unframed=True, close_after=2)
        names = [f"item-{number}" for number in range(6)]
        await system.submit("gateway-0", "job", {name: b"note" for name in names})
        results = []
        with trio.fail_after(20):
            while len(results) < len(names):
                results += await system.results("gateway-0", "job", len(results))
    assert dict(results) == {name: stream_engine.result_text(name, EVENTS) for name in names}


# Guards against the same where something on the path ends all connections to an upstream at once.
@pytest.mark.parametrize("engines", [1, 2])
async def test_resumable_stream_goes_on_after_its_path_ended(engines):
    async with run_behind_proxies(engines=engines) as (system, proxies):
        got = await send_through_ending_path(system, proxies, RESUMABLE)
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)


# Guards against passing on as complete a response that runs once whose path ended.
@pytest.mark.parametrize("content_type", ["text/event-stream", "application/octet-stream"])
@pytest.mark.parametrize("path", RUN_ONCE_PREFIXES)
async def test_response_that_runs_once_is_visibly_incomplete_after_its_path_ended(
    start_system, path, content_type
):
    async with run_behind_proxies(engines=2) as (system, proxies):
        await start_system(system)
        set_faults(system, unframed=True, content_type=content_type)
        got = await send_through_ending_path(system, proxies, path)
        runs = len(list_runs(system, "r1"))
    assert not got.complete
    assert got.body == stream_engine.response_body("r1", EVENTS)[: len(got.body)]
    assert runs == 1


# Guards against the same for items.
async def test_items_complete_whole_after_their_path_ended():
    async with run_behind_proxies(workers=1, engines=2) as (system, proxies):
        names = [f"item-{number}" for number in range(6)]
        await system.submit("gateway-0", "job", {name: b"note" for name in names})
        await end_connections(system, proxies, "item-0", 2)
        results = []
        with trio.fail_after(20):
            while len(results) < len(names):
                results += await system.results("gateway-0", "job", len(results))
    assert dict(results) == {name: stream_engine.result_text(name, EVENTS) for name in names}


# Guards against a question that a request which may run once must not pay with a second run.
@pytest.mark.parametrize("path", RUN_ONCE_PREFIXES)
async def test_whole_response_that_runs_once_runs_once(start_system, path):
    async with run_behind_proxies(engines=2) as (system, _):
        await start_system(system)
        got = await system.send_online("gateway-0", path, "r1")
        runs = list_runs(system, "r1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)
    assert len(runs) == 1


# Guards against streams whose caller can't tell which event was the last one, and against asking a
# whole stream more often than for what follows its last event and for its last two events.
async def test_whole_resumable_stream_is_asked_about_twice():
    async with edge_system.run_system(engines=2) as system:
        set_faults(system, unframed=True)
        got = await system.send_online("gateway-0", RESUMABLE, "r1")
        runs = list_runs(system, "r1")
        upstreams = [eng for eng in system.engines.values() if eng.seen]
    assert (got.status, got.complete) == (200, True)
    assert [seen.resumed_after for seen in runs] == [None, EVENTS, EVENTS - 2]
    assert len([eng for eng in upstreams if any(s.request == "r1" for s in eng.seen)]) == 1


# Guards against missing that the path of a response has ended because its caller reads slowly.
async def test_response_behind_a_slow_caller_is_visibly_incomplete_after_its_path_ended(
    monkeypatch,
):
    send_chunk = http1_server.Exchange.send_chunk

    async def send_slowly(self, chunk):
        await send_chunk(self, chunk)
        # Gateways name the instance in what they send to engines, which send as before.
        if "x-expect-instance" not in self.headers:
            await trio.sleep(6 * EVENT_S)

    async with run_behind_proxies(engines=2) as (system, proxies):
        monkeypatch.setattr(http1_server.Exchange, "send_chunk", send_slowly)
        got = await send_through_ending_path(system, proxies, edge_system.ONCE_PREFIX, events=1)
    assert not got.complete
    assert got.body == stream_engine.response_body("r1", EVENTS)[: len(got.body)]


# Guards against passing an event without a number on twice as a whole stream is asked for more.
@pytest.mark.parametrize("workers", [0, 1])
async def test_event_without_a_number_is_not_repeated(monkeypatch, workers):
    send_events = stream_engine.StreamEngine._send_events

    async def send_with_marker(self, req, seen, faults):
        await send_events(self, req, seen, faults)
        await req.send_chunk(b"data: done\n\n")

    monkeypatch.setattr(stream_engine.StreamEngine, "_send_events", send_with_marker)
    async with edge_system.run_system(engines=2, workers=workers) as system:
        set_faults(system, unframed=True)
        got = await system.send_online("gateway-0", RESUMABLE, "r1")
        results = []
        if workers:
            await system.submit("gateway-0", "job", {"item": b"note"})
            with trio.fail_after(10):
                while not results:
                    results = await system.results("gateway-0", "job", 0)
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS) + b"data: done\n\n"
    text = stream_engine.result_text("item", EVENTS) + "\ndone"
    assert results == ([("item", text)] if workers else [])


# Guards against holding a caller who has all events until the deadline of its request.
async def test_stream_ends_soon_if_nobody_answers_the_question(monkeypatch):
    async with edge_system.run_system(engines=1) as system:
        (eng,) = system.engines.values()
        set_faults(system, unframed=True)
        handle_run = eng._serve

        async def serve_first_run_only(req, seen):
            if seen.resumed_after is not None:
                await trio.sleep_forever()
            await handle_run(req, seen)

        monkeypatch.setattr(eng, "_serve", serve_first_run_only)
        begun_s = trio.current_time()
        got = await system.send_online("gateway-0", RESUMABLE, "r1")
        took_s = trio.current_time() - begun_s
    assert not got.complete
    assert got.body == stream_engine.response_body("r1", EVENTS)
    assert took_s < 2.5


# Guards against a short stream that looks whole because the path ends again under the question.
@pytest.mark.parametrize("workers", [0, 1])
async def test_path_that_ends_under_the_question_is_no_answer(monkeypatch, workers):
    send_events = stream_engine.StreamEngine._send_events

    async def send_late_if_resumed(self, req, seen, faults):
        if seen.resumed_after is not None:
            await trio.sleep(4 * EVENT_S)
        await send_events(self, req, seen, faults)

    monkeypatch.setattr(stream_engine.StreamEngine, "_send_events", send_late_if_resumed)

    async def end_twice(system, proxies, request):
        await end_connections(system, proxies, request, 2)
        with trio.fail_after(5):
            while not any(seen.resumed_after for seen in list_runs(system, request)):
                await trio.sleep(0.002)
        await trio.sleep(EVENT_S)
        for proxy in proxies.values():
            proxy.switch(fault_proxy.Switches(end=True))

    async with run_behind_proxies(engines=2, workers=workers) as (system, proxies):
        received = []
        if workers:
            await system.submit("gateway-0", "job", {"r1": b"note"})
            await end_twice(system, proxies, "r1")
            with trio.fail_after(20):
                while not received:
                    received = await system.results("gateway-0", "job", 0)
            assert received == [("r1", stream_engine.result_text("r1", EVENTS))]
            return

        async def receive():
            received.append(await system.send_online("gateway-0", RESUMABLE, "r1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            await end_twice(system, proxies, "r1")
        (got,) = received
        whole = stream_engine.response_body("r1", EVENTS)
        assert got.body == (whole if got.complete else whole[: len(got.body)])


def end_early_then_empty(system, *, empty_resumes, framed_resumes=False):
    """Let first runs end after two events and replies to the first questions bring nothing."""
    for eng in system.engines.values():
        answer = functools.partial(type(eng)._answer, eng)

        async def answer_with_faults(req, seen, eng=eng, answer=answer):
            first = seen.resumed_after is None and not list_earlier(eng, seen)
            eng.faults = stream_engine.Faults(
                unframed=first or not framed_resumes,
                close_after=2 if first else None,
                end_before_events_if_resumed=True,
                empty_resumes=empty_resumes,
            )
            await answer(req, seen)

        eng._answer = answer_with_faults


def list_earlier(eng, seen):
    return [s for s in eng.seen if s.request == seen.request and s is not seen]


def assert_goes_on_as_asked(system, request, last_event=2):
    """Check that what follows an early end came from a run that was asked for what follows it."""
    runs = sorted(list_runs(system, request), key=lambda seen: seen.at_s)
    asked = [seen.resumed_after for seen in runs]
    # The first question, the last events again, of which more follows, and the run that goes on.
    assert asked[1:4] == [last_event, None, last_event]


# Guards against a stream that looks whole because the reply to a question brings nothing, as one
# over a broken path does.
@pytest.mark.parametrize("framed_resumes", [False, True])
async def test_empty_reply_does_not_end_a_stream(framed_resumes):
    async with edge_system.run_system(engines=2) as system:
        end_early_then_empty(system, empty_resumes=1, framed_resumes=framed_resumes)
        got = await system.send_online("gateway-0", RESUMABLE, "r1")
        assert_goes_on_as_asked(system, "r1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)


# Guards against the same where no reply that resumes the stream brings anything.
async def test_stream_is_visibly_incomplete_if_all_resumes_are_empty():
    async with edge_system.run_system(engines=2) as system:
        end_early_then_empty(system, empty_resumes=None)
        got = await system.send_online("gateway-0", RESUMABLE, "r1")
    assert not got.complete
    assert got.body == stream_engine.response_body("r1", 2)


# Guards against the same for a stream that its caller takes up, at its gateway or at another one.
@pytest.mark.parametrize("gateway", ["gateway-0", "gateway-1"])
async def test_empty_reply_does_not_end_a_stream_that_is_taken_up(gateway):
    async with edge_system.run_system(gateways=2, engines=2) as system:
        await system.send_online("gateway-0", RESUMABLE, "r1")
        for eng in system.engines.values():
            answer = functools.partial(type(eng)._answer, eng)

            async def answer_with_faults(req, seen, eng=eng, answer=answer):
                earlier = list_earlier(eng, seen)
                eng.faults = stream_engine.Faults(
                    unframed=True,
                    close_after=None if earlier else 2,
                    end_before_events_if_resumed=len(earlier) == 1,
                )
                await answer(req, seen)

            eng._answer = answer_with_faults
        got = await system.send_online(gateway, RESUMABLE, "r2", resumes="r1", last_event_id="1")
        asked = [seen.resumed_after for seen in list_runs(system, "r2")]
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r2", EVENTS, 1)
    assert asked[:4] == [1, 2, None, 2]


# Guards against results with a part of their text for the same reason.
@pytest.mark.parametrize("empty_resumes", [1, None])
async def test_empty_reply_does_not_complete_an_item(empty_resumes):
    async with edge_system.run_system(workers=1, engines=2) as system:
        end_early_then_empty(system, empty_resumes=empty_resumes)
        await system.submit("gateway-0", "job", {"item": b"note"})
        results = []
        if empty_resumes is None:
            await trio.sleep(2)
            assert await system.results("gateway-0", "job", 0) == []
            end_early_then_empty(system, empty_resumes=0)
        with trio.fail_after(20):
            while not results:
                results = await system.results("gateway-0", "job", 0)
        if empty_resumes is not None:
            assert_goes_on_as_asked(system, "item")
    assert results == [("item", stream_engine.result_text("item", EVENTS))]
