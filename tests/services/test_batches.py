import contextlib

import pytest
import trio

from cornelgrade.adapters import engine
from cornelgrade.services import _batches

INTERVAL_S = 0.05


async def parts(times_s, error=None, closed=None):
    try:
        for number, at_s in enumerate(times_s):
            await trio.sleep_until(at_s)
            yield b"%d " % number
        if error is not None:
            raise error
    finally:
        if closed is not None:
            closed.append(trio.current_time())


async def written(source, interval_s=INTERVAL_S):
    """Give each write and its time in milliseconds."""
    found = []
    async with trio.open_nursery() as nursery:
        relayed = _batches.joined(nursery, source, interval_s, "engine-0")
        async with contextlib.aclosing(relayed):
            async for part in relayed:
                found.append((round(trio.current_time() * 1000), part))
    return found, round(trio.current_time() * 1000)


@pytest.mark.parametrize(
    ("times_s", "writes", "end_ms"),
    [
        ([0.0, 0.02, 0.045], [(0, b"0 "), (45, b"1 2 ")], 45),
        (
            [0.0, 0.02, 0.04, 0.06, 0.2],
            [(0, b"0 "), (50, b"1 2 "), (100, b"3 "), (200, b"4 ")],
            200,
        ),
        ([0.0, 0.1, 0.2], [(0, b"0 "), (100, b"1 "), (200, b"2 ")], 200),
    ],
)
async def test_parts_are_joined_and_neither_first_nor_last_is_held_back(
    autojump_clock, times_s, writes, end_ms
):
    start_s = trio.current_time()
    found, ended_ms = await written(parts([start_s + at_s for at_s in times_s]))
    start_ms = round(start_s * 1000)
    assert [(at_ms - start_ms, part) for at_ms, part in found] == writes
    assert ended_ms - start_ms == end_ms


async def test_what_came_before_a_failure_is_given_first(autojump_clock):
    broken = engine.CallError(
        "cut", step="relay", peer="engine-0", progress=engine.Progress.PART_ANSWERED
    )
    got = b""
    async with trio.open_nursery() as nursery:
        relayed = _batches.joined(nursery, parts([0.0, 0.01, 0.02], broken), INTERVAL_S, "engine-0")
        with pytest.raises(engine.CallError) as caught:
            async for part in relayed:
                got += part
    assert caught.value is broken
    assert got == b"0 1 2 "


async def test_caller_that_goes_away_stops_the_reading(autojump_clock):
    closed = []
    async with trio.open_nursery() as nursery:
        relayed = _batches.joined(nursery, parts([0.0, 100.0], closed=closed), INTERVAL_S, "e")
        await anext(relayed)
        await relayed.aclose()
    assert closed
    assert trio.current_time() < 1.0


async def hold_nursery(task_status):
    async with trio.open_nursery() as nursery:
        task_status.started(nursery)
        await trio.sleep_forever()


async def test_reading_that_is_stopped_does_not_look_whole(autojump_clock):
    async with trio.open_nursery() as nursery:
        inner = await nursery.start(hold_nursery)
        relayed = _batches.joined(inner, parts([0.0, 100.0]), INTERVAL_S, "engine-0")
        assert await anext(relayed) == b"0 "
        inner.cancel_scope.cancel()
        with pytest.raises(engine.CallError) as caught:
            await anext(relayed)
    assert caught.value.progress is engine.Progress.PART_ANSWERED


async def test_slow_caller_holds_the_upstream_back(autojump_clock):
    count = _batches.MAX_PARTS * 3
    taken = 0

    async def fast():
        nonlocal taken
        for _ in range(count):
            taken += 1
            yield b"x"

    async with trio.open_nursery() as nursery:
        relayed = _batches.joined(nursery, fast(), INTERVAL_S, "engine-0")
        got = await anext(relayed)
        await trio.sleep(10)
        assert 0 < taken <= 2 * (_batches.MAX_PARTS + 1)
        async for part in relayed:
            got += part
    assert len(got) == count
