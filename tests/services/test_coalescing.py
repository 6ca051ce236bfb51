import contextlib

import pytest
import trio

from cornelgrade.adapters import engine
from cornelgrade.services import _coalescing

INTERVAL_S = 0.05


async def produce_parts(times_s, error=None, closed=None):
    try:
        for number, at_s in enumerate(times_s):
            await trio.sleep_until(at_s)
            yield b"%d " % number
        if error is not None:
            raise error
    finally:
        if closed is not None:
            closed.append(trio.current_time())


async def collect_writes(source, interval_s=INTERVAL_S):
    """Return each write with its time, and the time of the end, in milliseconds."""
    collected = []
    async with trio.open_nursery() as nursery:
        relayed = _coalescing.coalesce(nursery, source, interval_s, "engine-0")
        async with contextlib.aclosing(relayed):
            async for part in relayed:
                collected.append((round(trio.current_time() * 1000), part))
    return collected, round(trio.current_time() * 1000)


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
async def test_parts_are_coalesced_without_delaying_the_first_or_the_last(
    autojump_clock, times_s, writes, end_ms
):
    start_s = trio.current_time()
    collected, ended_ms = await collect_writes(produce_parts([start_s + at_s for at_s in times_s]))
    start_ms = round(start_s * 1000)
    assert [(at_ms - start_ms, part) for at_ms, part in collected] == writes
    assert ended_ms - start_ms == end_ms


async def test_parts_received_before_a_failure_are_yielded_first(autojump_clock):
    failure = engine.CallError(
        "cut", step="relay", peer="engine-0", progress=engine.Progress.PART_ANSWERED
    )
    received = b""
    async with trio.open_nursery() as nursery:
        relayed = _coalescing.coalesce(
            nursery, produce_parts([0.0, 0.01, 0.02], failure), INTERVAL_S, "engine-0"
        )
        with pytest.raises(engine.CallError) as caught:
            async for part in relayed:
                received += part
    assert caught.value is failure
    assert received == b"0 1 2 "


async def test_caller_that_disconnects_stops_the_reader(autojump_clock):
    closed = []
    async with trio.open_nursery() as nursery:
        relayed = _coalescing.coalesce(
            nursery, produce_parts([0.0, 100.0], closed=closed), INTERVAL_S, "e"
        )
        await anext(relayed)
        await relayed.aclose()
    assert closed
    assert trio.current_time() < 1.0


async def hold_nursery(task_status):
    async with trio.open_nursery() as nursery:
        task_status.started(nursery)
        await trio.sleep_forever()


async def test_reader_that_is_cancelled_is_not_taken_for_a_complete_stream(autojump_clock):
    async with trio.open_nursery() as nursery:
        inner = await nursery.start(hold_nursery)
        relayed = _coalescing.coalesce(inner, produce_parts([0.0, 100.0]), INTERVAL_S, "engine-0")
        assert await anext(relayed) == b"0 "
        inner.cancel_scope.cancel()
        with pytest.raises(engine.CallError) as caught:
            await anext(relayed)
    assert caught.value.progress is engine.Progress.PART_ANSWERED


async def test_slow_caller_applies_backpressure_to_the_upstream(autojump_clock):
    count = _coalescing.MAX_PARTS * 3
    produced = 0

    async def produce_fast():
        nonlocal produced
        for _ in range(count):
            produced += 1
            yield b"x"

    async with trio.open_nursery() as nursery:
        relayed = _coalescing.coalesce(nursery, produce_fast(), INTERVAL_S, "engine-0")
        received = await anext(relayed)
        await trio.sleep(10)
        assert 0 < produced <= 2 * (_coalescing.MAX_PARTS + 1)
        async for part in relayed:
            received += part
    assert len(received) == count
