"""Idle connections that show whether the path of a response has ended."""

import pytest
import trio
from tests.edge import stranded, test_ends_between_events

from cornelgrade.adapters import http1
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.services.edge import outage_checks, path_watch
from cornelgrade.standins import fault_proxy

ONCE = edge_system.ONCE_PREFIX
EVENTS = test_ends_between_events.EVENTS
EVENT_S = test_ends_between_events.EVENT_S
RESPONSES = 6
run_behind_proxies = test_ends_between_events.run_behind_proxies
# Longer than a response takes, and shorter than the wait for a load report.
LATE_S = 0.3


async def serve_whole(system, request):
    """Send a request that runs once; its response has to be whole."""
    got = await system.send_online("gateway-0", ONCE, request)
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body(request, EVENTS)


@pytest.fixture
def accept_with(monkeypatch):
    """Return a function that lets all proxies await another function before they relay.

    It gets each connection, and returns whether that is relayed.
    """
    relay = fault_proxy.FaultProxy._relay_connection
    awaited = []

    async def relay_after(self, stream):
        if not awaited or await awaited[-1](stream):
            await relay(self, stream)

    # Proxies keep the method that they have when they start.
    monkeypatch.setattr(fault_proxy.FaultProxy, "_relay_connection", relay_after)
    return awaited.append


# Guards against passing on as complete a response whose path ended before the connection beside it
# was accepted.
async def test_path_ends_before_a_new_idle_connection_is_accepted(accept_with):
    async def accept_late(stream):
        await trio.sleep(LATE_S)
        return True

    async with run_behind_proxies(engines=1) as (system, proxies):
        await serve_whole(system, "before")
        accept_with(accept_late)
        got = await test_ends_between_events.send_through_ending_path(
            system, proxies, ONCE, events=1
        )
    assert got.body == stream_engine.response_body("r1", EVENTS)[: len(got.body)]
    assert not got.complete


# Guards against a connection to the upstream for each response without framing.
async def test_responses_of_one_upstream_share_an_idle_connection():
    async with run_behind_proxies(engines=1) as (system, proxies):
        (proxy,) = proxies.values()
        (eng,) = system.engines.values()
        before, calls_before = proxy.counters["connections"], len(eng.arrivals_s)
        for number in range(RESPONSES):
            await serve_whole(system, f"r{number}")
        opened = proxy.counters["connections"] - before
        calls = len(eng.arrivals_s) - calls_before
    assert opened - calls <= 1


# Guards against refusing whole responses of an upstream that keeps no idle connection.
async def test_whole_responses_pass_where_idle_connections_are_closed(accept_with):
    async def is_used(stream):
        with trio.move_on_after(0.02):
            return bool(await stream.socket.recv(1, trio.socket.MSG_PEEK))
        return False

    async with run_behind_proxies(engines=1) as (system, _):
        accept_with(is_used)
        for number in range(RESPONSES):
            await serve_whole(system, f"r{number}")


# Guards against a path that is no longer watched after it has ended once.
async def test_path_that_ends_twice_is_noticed_twice():
    async with run_behind_proxies(engines=1) as (system, proxies):
        for request in ("r1", "r2"):
            await serve_whole(system, f"before-{request}")
            got = await test_ends_between_events.send_through_ending_path(
                system, proxies, ONCE, events=3
            )
            assert not got.complete
            for eng in system.engines.values():
                eng.seen.clear()


# Guards against whole responses that end by chance as an upstream closes its idle connection, again
# and again under load.
async def test_idle_connection_is_renewed_before_its_upstream_closes_it_again(accept_with):
    closed = []

    async def close_idle(stream):
        with trio.move_on_after(path_watch.MIN_IDLE_S + 0.2):
            return bool(await stream.socket.recv(1, trio.socket.MSG_PEEK))
        closed.append(trio.current_time())
        return False

    async with run_behind_proxies(engines=1) as (system, _):
        accept_with(close_idle)
        with trio.move_on_after(5):
            while True:
                await system.send_online("gateway-0", ONCE, "r")
    assert len(closed) == 2


# Guards against an idle connection that is never closed.
async def test_idle_connection_ends_soon_after_the_last_response():
    async with run_behind_proxies(engines=1) as (system, proxies):
        await serve_whole(system, "r1")
        (proxy,) = proxies.values()
        with trio.fail_after(6):
            while proxy._connections:
                await trio.sleep(0.2)


async def hold_unused(stream):
    """Relay a connection once its caller has sent something."""
    return bool(await stream.socket.recv(1, trio.socket.MSG_PEEK))


# Guards against passing on as complete a response whose path ended, although other calls of the
# process lost their connections to that upstream at the same moment.
async def test_response_ends_with_the_connections_of_other_calls(accept_with):
    async with run_behind_proxies(engines=1) as (system, proxies):
        # The idle connection is never accepted, so it outlives the path.
        accept_with(hold_unused)
        (eng,) = system.engines.values()
        eng._slot_limiter.total_tokens = 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_second, system)
            got = await test_ends_between_events.send_through_ending_path(
                system, proxies, ONCE, events=4
            )
    assert got.body == stream_engine.response_body("r1", EVENTS)[: len(got.body)]
    assert not got.complete


async def send_second(system):
    """Send a request that waits for a slot behind the first one."""
    while not test_ends_between_events.list_runs(system, "r1"):
        await trio.sleep(0.002)
    await system.send_online("gateway-0", ONCE, "r2")


# Guards against passing on as complete a response whose path ended as it had a moment before, when
# no connection had been open long enough to tell.
@pytest.mark.parametrize("cut", [True, False])
async def test_path_that_ends_again_at_once_is_noticed(accept_with, cut):
    async with run_behind_proxies(engines=1) as (system, proxies):
        await serve_whole(system, "before")
        (proxy,) = proxies.values()
        # Older than what upstreams close because it is idle.
        await trio.sleep(path_watch.MIN_IDLE_S)
        accept_with(hold_unused)
        proxy.switch(fault_proxy.Switches(cut=cut, end=not cut))
        await trio.sleep(0.02)
        got = await test_ends_between_events.send_through_ending_path(
            system, proxies, ONCE, events=1
        )
    assert got.body == stream_engine.response_body("r1", EVENTS)[: len(got.body)]
    assert not got.complete


# Guards against taking a response for whole because peers reach its upstream, while this VM has
# lost its way there.
async def test_peers_tell_nothing_of_the_path_of_a_response(monkeypatch):
    async with edge_system.run_system(gateways=2, engines=1) as system:
        test_ends_between_events.set_faults(system, unframed=True, close_after=2)
        (eng,) = system.engines.values()
        serve = eng._serve
        with stranded.cut_vms(system, monkeypatch, refuses=True) as cuts:

            async def serve_after_cut(req, seen):
                cuts.vms.add("gateway-0")
                await serve(req, seen)

            monkeypatch.setattr(eng, "_serve", serve_after_cut)
            got = await system.send_online("gateway-0", ONCE, "r1")
    assert got.body == stream_engine.response_body("r1", 2)
    assert not got.complete


# Guards against passing on as complete a response that is read after its path has ended, as by a
# process that was paused, also if it is the first one that the process gets of the service.
@pytest.mark.parametrize("first", [False, True])
async def test_response_that_is_read_after_its_path_ended_is_incomplete(monkeypatch, first):
    read_head = http1.Channel.read_head

    async def read_late(self):
        if self._request.method == b"POST":
            await trio.sleep(4 * EVENT_S)
        return await read_head(self)

    monkeypatch.setattr(path_watch, "KEEP_S", 0.0)
    async with run_behind_proxies(engines=1) as (system, proxies):
        if not first:
            await serve_whole(system, "before")
            await trio.sleep(path_watch.POLL_S)
        with monkeypatch.context() as patch:
            patch.setattr(http1.Channel, "read_head", read_late)
            got = await test_ends_between_events.send_through_ending_path(
                system, proxies, ONCE, events=2
            )
    assert got.body == stream_engine.response_body("r1", 2)
    assert not got.complete


# Guards against failing a resumable stream that goes on at its upstream because the path has ended
# a moment before, which other calls have told.
async def test_stream_ends_whole_soon_after_a_known_end_of_its_path(monkeypatch):
    send_events = stream_engine.StreamEngine._send_events

    async def send_at_once_if_resumed(self, req, seen, faults):
        self.event_s = EVENT_S if seen.resumed_after is None else 0.0
        await send_events(self, req, seen, faults)

    monkeypatch.setattr(stream_engine.StreamEngine, "_send_events", send_at_once_if_resumed)
    async with run_behind_proxies(engines=1) as (system, proxies):
        test_ends_between_events.set_faults(system, unframed=False)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(system.send_online, "gateway-0", ONCE, "other")
            while not test_ends_between_events.list_runs(system, "other"):
                await trio.sleep(0.002)
            await trio.sleep(EVENT_S)
            test_ends_between_events.set_faults(system, unframed=True)
            got = await test_ends_between_events.send_through_ending_path(
                system, proxies, edge_system.RESUMABLE_PREFIX, events=1
            )
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)


# Guards against a request that is sent while the connection which shows the end of its path is not
# open yet: a process that is paused between the two never learns of that end.
async def test_request_is_sent_once_its_idle_connection_is_open(monkeypatch):
    connect, send = path_watch._StandingConnection._stay_connected, http1.Channel.send
    standing, were_open = [], []

    async def connect_late(self):
        standing.append(self)
        await trio.sleep(path_watch.OPEN_WAIT_S / 2)
        return await connect(self)

    async def send_recorded(self, method, target, headers, content):
        if b"x-expect-instance" in dict(headers):
            were_open.append([idle.opened_s is not None for idle in standing])
        await send(self, method, target, headers, content)

    monkeypatch.setattr(path_watch._StandingConnection, "_stay_connected", connect_late)
    monkeypatch.setattr(http1.Channel, "send", send_recorded)
    async with run_behind_proxies(engines=1) as (system, _):
        await serve_whole(system, "r1")
    assert were_open == [[True]]


async def send_one_by_one(system, duration_s):
    """Send requests that run once, one after the other; return which were whole."""
    whole = []
    until_s = trio.current_time() + duration_s
    while trio.current_time() < until_s:
        got = await system.send_online("gateway-0", ONCE, f"r{len(whole)}")
        whole.append(got.complete)
    return whole


# Guards against failing all whole responses of an upstream that keeps no idle connection, for as
# long as they follow each other, once a single connection to it has ended.
async def test_unwatched_responses_pass_again_after_a_path_has_ended(accept_with):
    async def is_used(stream):
        with trio.move_on_after(0.02):
            return bool(await stream.socket.recv(1, trio.socket.MSG_PEEK))
        return False

    async with run_behind_proxies(engines=1) as (system, _):
        accept_with(is_used)
        await serve_whole(system, "before")
        test_ends_between_events.set_faults(system, unframed=False, cut_after=2)
        got = await system.send_online("gateway-0", ONCE, "cut")
        assert not got.complete
        test_ends_between_events.set_faults(system, unframed=True)
        await send_one_by_one(system, outage_checks.UNTRUSTED_S + 0.5)
        assert all(await send_one_by_one(system, 1.0))


# Guards against failing all whole responses of an upstream that end in short succession, once one
# of them has been broken off.
async def test_whole_responses_do_not_fail_one_another(monkeypatch):
    got = {}
    answer = stream_engine.StreamEngine._answer

    async def cut_one(self, req, seen):
        end_after = EVENTS - 1 if seen.request == "r10" else None
        self.faults = stream_engine.Faults(unframed=True, end_after=end_after)
        await answer(self, req, seen)

    async def send(system, number):
        got[number] = (await system.send_online("gateway-0", ONCE, f"r{number}")).complete

    monkeypatch.setattr(stream_engine.StreamEngine, "_answer", cut_one)
    async with run_behind_proxies(engines=1, slots=40) as (system, _):
        await serve_whole(system, "before")
        async with trio.open_nursery() as nursery:
            for number in range(80):
                nursery.start_soon(send, system, number)
                await trio.sleep(0.02)
    assert not got[10]
    assert [number for number in range(40, 80) if not got[number]] == []
