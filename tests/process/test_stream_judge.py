"""The judge of stream trials, and the single connections that trials end."""

import contextlib

import pytest
import trio
from bench.streams import engine, engines, faults, judge, paths

from cornelgrade.adapters import engine as engine_port
from cornelgrade.platform.standins import edge_system, formats, stream_engine
from cornelgrade.standins import fault_proxy

TOTAL = 5
RESUMABLE, ONCE = edge_system.RESUMABLE_PREFIX, edge_system.ONCE_PREFIX
WHOLE = range(1, TOTAL + 1)


def encode(numbers, request="s1-0", version="v1"):
    return b"".join(stream_engine.encode_event(f"{request}@{version}", n) for n in numbers)


def attempt(body, request="s1-0", after=0, complete=True):
    return judge.Attempt(request, "gateway-0", after, 200, body, complete)


def find(*attempts, path=RESUMABLE, ends=()):
    return judge.find_problems([judge.Stream(path, list(attempts))], {}, list(ends), TOTAL)


@pytest.mark.parametrize(
    ("body", "problem"),
    [
        (encode([1, 2, 3]), "short: 3 of 5"),
        (encode([1, 2, 2, 3, 4, 5]), "out of order"),
        (encode([1, 3, 2, 4, 5]), "out of order"),
        (encode([1, 2, 4, 5]), "out of order"),
        (encode([1, 2]) + encode([3, 4, 5], version="v2"), "of two versions, from event 3"),
        (encode([1, 2, 3, 4, 5], "s2-0"), "bytes of another"),
        (encode(WHOLE) + b"HTTP/1.1 200 OK\r\n\r\n", "bytes of another"),
        (encode([1, 2, 3]) + b"id: 4\nda", "bytes of another"),
        (encode([1, 2, 3, 4, 5]).replace(b"-4\n", b"-3\n"), "bytes of another"),
    ],
)
@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
def test_stream_that_looks_whole_and_is_not_is_found(path, body, problem):
    (found,) = find(attempt(body), path=path).problems
    assert problem in found


def test_whole_streams_and_those_that_end_visibly_are_in_order():
    assert find(attempt(encode(WHOLE))).problems == []
    assert find(attempt(encode([1, 2]) + b"id: 3\nda", complete=False)).problems == []
    first = attempt(encode([1, 2]) + b"id: 3", complete=False)
    second = attempt(encode([3, 4, 5], "s1-1"), "s1-1", 2)
    assert find(first, second).problems == []
    cut = attempt(b"id: 3\ndata: s1-1@v1", "s1-1", 2, complete=False)
    assert find(first, cut).problems == []


@pytest.mark.parametrize(
    ("second", "problem"),
    [
        (encode([3, 4, 5], "s1-1", "v2"), "of two versions"),
        (encode([2, 3, 4, 5], "s1-1"), "out of order"),
        (encode([4, 5], "s1-1"), "out of order"),
        (encode([3, 4], "s1-1"), "short"),
        (encode([3, 4, 5], "s1-0"), "bytes of another"),
    ],
)
def test_attempts_of_a_caller_are_judged_together(second, problem):
    first = attempt(encode([1, 2]), complete=False)
    (found,) = find(first, attempt(second, "s1-1", 2)).problems
    assert problem in found


@pytest.mark.parametrize("body", [b"id: 7\nda", b"HTTP/1.1", b"id: 4\ndata: s2-0@v1-4"])
def test_cut_off_begin_must_be_that_of_the_next_event(body):
    assert find(attempt(encode([1, 2, 3]) + body, complete=False)).problems


@pytest.mark.parametrize(
    ("path", "end", "undetected", "ended_framed"),
    [
        (ONCE, judge.End("s1-0", 3, framed=False), 1, 0),
        (ONCE, judge.End("s1-0", 3, framed=True), 0, 1),
        (RESUMABLE, judge.End("s1-0", 3, framed=True), 0, 1),
    ],
)
def test_short_streams_whose_end_shows_nothing_are_counted(path, end, undetected, ended_framed):
    found = find(attempt(encode([1, 2, 3])), path=path, ends=[end])
    assert found == judge.Findings([], undetected, ended_framed)


@pytest.mark.parametrize(
    ("path", "body", "end"),
    [
        # A resumable stream could have been asked for more.
        (RESUMABLE, encode([1, 2, 3]), judge.End("s1-0", 3, framed=False)),
        # The end that the caller saw is another one.
        (ONCE, encode([1, 2, 3]), judge.End("s1-0", 2, framed=False)),
        (RESUMABLE, encode([1, 2, 3]), judge.End("s1-0", 4, framed=True)),
        (ONCE, encode([1, 2, 3]), judge.End("s2-0", 3, framed=False)),
        # Only short streams are excused.
        (ONCE, encode([1, 3]), judge.End("s1-0", 2, framed=False)),
    ],
)
def test_other_early_ends_excuse_nothing(path, body, end):
    assert len(find(attempt(body), path=path, ends=[end]).problems) == 1


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        (stream_engine.result_text("i1@v1", 3), "short"),
        ("i1@v1-1\ni1@v2-2\ni1@v2-3\ni1@v2-4\ni1@v2-5", "of two versions"),
        ("i1@v1-1\ni1@v1-1\ni1@v1-2\ni1@v1-3\ni1@v1-4\ni1@v1-5", "out of order"),
        (stream_engine.result_text("i2@v1", TOTAL), "bytes of another"),
        ("", "short"),
    ],
)
def test_completed_items_are_judged_like_streams(text, problem):
    (found,) = judge.find_problems([], {"i1": ("completed", text)}, [], TOTAL).problems
    assert problem in found


def test_items_are_excused_only_if_their_engine_ended_its_framing():
    results = {"i1": ("completed", stream_engine.result_text("i1@v1", 3))}
    for framed in (True, False):
        found = judge.find_problems([], results, [judge.End("i1", 3, framed=framed)], TOTAL)
        assert (len(found.problems), found.ended_framed) == (int(not framed), int(framed))


def test_seed_keeps_its_kinds_when_later_ones_are_listed():
    for seed in range(20):
        first = faults.draw_kinds(seed, 1)
        second = faults.draw_kinds(seed, 2)
        assert first == [kind for kind in second if kind.since == 1]
        assert second == [kind for kind in faults.draw_kinds(seed, 3) if kind.since <= 2]
    assert [kind.name for kind in faults.draw_kinds(1204, 2)] == [
        "engine restarted",
        "paths ended",
        "paths reset",
        "store cut",
        "gateway stranded",
        "engine leaves",
        "gateways cut off",
        "release",
    ]


# Guards against problems of an older build that are taken for those of the present one.
def test_problems_name_the_build_that_served():
    old, new = (attempt(encode(n)) for n in ([1, 2, 3], WHOLE))
    old.build, new.build = "old", "new"
    (found,) = find(old).problems
    assert "s1-0 at gateway-0 of old 200" in found
    assert find(new).problems == []


@contextlib.asynccontextmanager
async def stream_through_proxy(unframed):
    """A proxy before an engine, and the body so far and end of a stream that runs through it."""
    engine = stream_engine.StreamEngine("engine-0", events=20, event_s=0.02)
    engine.faults = stream_engine.Faults(unframed=unframed)
    seen = judge.Attempt("s1-0", "")

    async def read(address):
        raw = tuple((k.encode(), v.encode()) for k, v in formats.request_headers("s1-0").items())
        channel = await edge_system.http1.connect(address, 1.0)
        with channel, contextlib.suppress(engine_port.CallError):
            await channel.send("POST", b"/", ((b"host", b"e"), *raw), b"question")
            seen.status = (await channel.read_head()).status
            while part := await channel.read_chunk():
                seen.body += part
            seen.complete = True

    async with trio.open_nursery() as nursery:
        proxy = fault_proxy.FaultProxy(await nursery.start(engine.run))
        address = await nursery.start(proxy.serve, "127.0.0.1:0")
        async with trio.open_nursery() as callers:
            callers.start_soon(read, address)
            yield proxy, seen
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("unframed", [True, False])
async def test_single_connection_ends_after_the_event_that_is_told(unframed):
    async with stream_through_proxy(unframed) as (proxy, seen):
        await trio.sleep(0.15)
        (connection,) = proxy.connections
        stream = paths.read_stream(connection)
        connection.end()
    assert seen.body == stream_engine.response_body("s1-0", stream.last_event)
    assert (stream.request, stream.framed) == ("s1-0", not unframed)
    assert (seen.complete, 0 < stream.last_event < 20) == (unframed, True)


@pytest.mark.parametrize("unframed", [True, False])
async def test_connection_ends_inside_an_event(unframed):
    async with stream_through_proxy(unframed) as (proxy, seen):
        await trio.sleep(0.15)
        proxy.connections[0].end_within_next()
    assert stream_engine.response_body("s1-0", 20).startswith(seen.body)
    assert not seen.complete
    assert not seen.body.endswith(b"\n\n")


@pytest.mark.parametrize("unframed", [True, False])
async def test_connections_end_right_after_the_head(unframed):
    async with stream_through_proxy(unframed) as (proxy, seen):
        proxy.switch(fault_proxy.Switches(end_after_head=True))
    assert (seen.status, seen.body, seen.complete) == (200, b"", False)


# Guards against commands to engines that are lost or have no effect, so that trials play nothing.
async def test_engines_obey_commands():
    cfg = engines.settings_of("engine-0", "1", "v1")
    played = engines.Engine(cfg, "", lambda port: False)
    took_s = {}

    async def ask(request):
        begin_s = trio.current_time()
        headers = formats.request_headers(request)
        raw = tuple((k.encode(), v.encode()) for k, v in headers.items())
        with await edge_system.http1.connect(cfg.address, 1.0) as channel:
            await channel.send("POST", b"/", ((b"host", b"e"), *raw), b"question")
            head = await channel.read_head()
            while await channel.read_chunk():
                pass
        took_s[request] = trio.current_time() - begin_s
        return head.status, dict(head.headers).get(b"x-request-id")

    async with trio.open_nursery() as nursery:
        await played.open(nursery)
        async with trio.open_nursery() as callers:
            callers.start_soon(ask, "r1")
            await trio.sleep(0.2)
            callers.start_soon(ask, "r2")
            await trio.sleep(0.2)
            played.send(engine.Command(2.0, preempted=1))
        assert took_s["r1"] < 2.0 < took_s["r2"]
        played.send(engine.Command(0.5, full=True))
        await trio.sleep(0.1)
        assert await ask("r3") == (503, None)
        await trio.sleep(0.5)
        played.send(engine.Command(0.5, extra=True))
        await trio.sleep(0.1)
        assert (await ask("r4"))[1] in (b"r1", b"r2", b"r3")
        await trio.sleep(0.5)
        assert await ask("r5") == (200, b"r5")
        await played.kill()
        nursery.cancel_scope.cancel()
