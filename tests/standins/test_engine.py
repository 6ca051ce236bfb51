import contextlib

import msgspec
import pytest
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, engine_wire, memory_engine


@contextlib.asynccontextmanager
async def running(**cfg):
    standin = engine_standin.Engine("engine-1", engine_model.Config(**cfg))
    async with trio.open_nursery() as nursery:
        await nursery.start(standin.run)
        yield memory_engine.MemoryEngine(standin)
        nursery.cancel_scope.cancel()


def make_call(
    prompt="hello", *, stream_id="s1", resume_from=0, max_tokens=5, stream=True, **fields
):
    body = {"prompt": prompt, "max_tokens": max_tokens, "stream": stream, **fields}
    return engine.Call(
        stream_id, "POST", "/v1/completions", msgspec.json.encode(body), resume_from=resume_from
    )


async def read_body(upstream, wanted) -> bytes:
    async with upstream.call(wanted) as answer:
        return b"".join([chunk async for chunk in answer.chunks()])


def decode_text(body: bytes) -> str:
    events = [part for part in body.split(b"\n\n") if part and part != b"data: [DONE]"]
    return "".join(
        msgspec.json.decode(part.removeprefix(b"data: "))["choices"][0]["text"] for part in events
    )


async def test_same_prompt_gives_the_same_tokens_on_any_engine_from_any_token(autojump_clock):
    async with running() as first, running() as second:
        body = await read_body(first, make_call(max_tokens=8))
        assert body.endswith(engine.END_MARKER)
        rest = await read_body(second, make_call(max_tokens=8, resume_from=3))
        assert decode_text(body) == engine_wire.output("hello", 8)
        assert decode_text(rest) == engine_wire.output("hello", 8, start=3)


async def test_batch_is_limited_by_slots_and_admits_in_order_of_arrival(autojump_clock):
    order = []

    async def run_call(upstream, name):
        await read_body(upstream, make_call(name, stream_id=name))
        order.append((name, round(trio.current_time(), 2)))

    settings = dict(slots=2, step_s=0.1, sequence_step_s=0.0, prefill_token_s=0.0)
    async with running(**settings) as upstream, trio.open_nursery() as nursery:
        for name in "abc":
            nursery.start_soon(run_call, upstream, name)
            await trio.sleep(0.001)
        await trio.sleep(0.3)
        assert upstream.engine._model.running[0].prompt == "a"
        assert len(upstream.engine._model.waiting) == 1
    assert [name for name, _ in order] == ["a", "b", "c"]
    assert order[2][1] >= 1.0


async def test_cached_prefix_shortens_prefill(autojump_clock):
    long = " ".join(str(number) for number in range(320))
    async with running(prefill_token_s=0.01, step_s=0.0) as upstream:
        spent = []
        for stream_id in ("s1", "s2"):
            start = trio.current_time()
            await read_body(upstream, make_call(long, stream_id=stream_id, max_tokens=1))
            spent.append(trio.current_time() - start)
        assert spent[0] == pytest.approx(3.2, abs=0.01)
        assert spent[1] == pytest.approx(0.0, abs=0.01)
        assert upstream.engine.counters().cached_tokens == 320


async def test_cache_events_are_delayed_and_have_gaps(autojump_clock):
    long = " ".join(str(number) for number in range(160))
    async with running(cache_event_gap=5, load_lag_s=1.0) as upstream:
        await read_body(upstream, make_call(long, max_tokens=1))
        assert await upstream.cache_events(0) == ()
        await trio.sleep(1)
        assert [event.sequence for event in await upstream.cache_events(3)] == [4, 6, 7, 8, 9]


async def test_cancel_returns_the_token_to_resume_from(autojump_clock):
    async with running(step_s=0.1) as upstream:
        with trio.move_on_after(5) as scope:
            async with upstream.call(make_call(max_tokens=100)) as answer:
                parts = []
                async for chunk in answer.chunks():
                    parts.append(chunk)
                    if len(parts) == 3:
                        cancelled = await upstream.cancel("s1")
        assert not scope.cancelled_caught
        assert cancelled == engine.Cancelled(True, 3, engine_wire.output("hello", 3))
        assert engine.END_MARKER not in b"".join(parts)
        assert not (await upstream.cancel("s1")).found


async def test_load_report_lags(autojump_clock):
    async with running(load_lag_s=1.0, step_s=0.1) as upstream, trio.open_nursery() as nursery:
        nursery.start_soon(read_body, upstream, make_call(max_tokens=15))
        await trio.sleep(0.9)
        assert (await upstream.load()).running == 0
        await trio.sleep(0.3)
        assert (await upstream.load()).running == 1


async def test_crash_marker_breaks_every_stream_and_the_engine_restarts(autojump_clock):
    outcomes = {}

    async def run_call(upstream, prompt):
        try:
            await read_body(upstream, make_call(prompt, stream_id=prompt, max_tokens=50))
        except engine.CallError as exc:
            outcomes[prompt] = exc.progress

    async with running() as upstream:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_call, upstream, "innocent")
            await trio.sleep(0.1)
            nursery.start_soon(run_call, upstream, engine_model.CRASH_MARKER)
            await trio.sleep(0.5)
            nursery.start_soon(run_call, upstream, "later")
        assert outcomes == {
            "innocent": engine.Progress.PART_ANSWERED,
            engine_model.CRASH_MARKER: engine.Progress.SENT,
            "later": engine.Progress.NOT_SENT,
        }
        await trio.sleep(2)
        assert await read_body(upstream, make_call())
        assert upstream.engine.counters().crashes == 1


@pytest.mark.parametrize(
    ("switches", "progress"),
    [
        (engine_standin.Switches(freeze=True), engine.Progress.PART_ANSWERED),
        (engine_standin.Switches(silence=True), engine.Progress.PART_ANSWERED),
    ],
)
async def test_unresponsive_engine_fails_the_call_at_the_gap_timeout(
    autojump_clock, switches, progress
):
    async with running() as upstream:
        with pytest.raises(engine.CallError) as caught:
            async with upstream.call(make_call(max_tokens=50)) as answer:
                async for _ in answer.chunks():
                    upstream.engine.switch(switches)
        assert caught.value.timed_out
        assert caught.value.progress is progress
        assert trio.current_time() == pytest.approx(3, abs=0.2)
        upstream.engine.switch(engine_standin.Switches())
        assert await read_body(upstream, make_call(stream_id="s2"))


async def test_truncated_stream_has_no_end_marker(autojump_clock):
    async with running() as upstream:
        upstream.engine.switch(engine_standin.Switches(truncate_after=2))
        body = await read_body(upstream, make_call())
        assert decode_text(body) == engine_wire.output("hello", 2)
        assert not body.endswith(engine.END_MARKER)
        with pytest.raises(engine.CallError):
            await read_body(upstream, make_call(stream=False))


@pytest.mark.parametrize("checks", [True, False])
async def test_old_fencing_number_is_refused_where_the_engine_checks(autojump_clock, checks):
    async with running(checks_fencing=checks, order_s=2.0) as upstream:
        state = await upstream.order(
            engine.Order(engine.OrderKind.LOAD, fencing=5, model="lishe", version=3)
        )
        assert trio.current_time() == pytest.approx(2)
        assert state.models == (engine.Loaded("lishe", 3),)
        old = engine.Order(engine.OrderKind.ROLE, fencing=4, role="decode")
        if checks:
            with pytest.raises(engine.CallError) as caught:
                await upstream.order(old)
            assert caught.value.progress is engine.Progress.ANSWERED
        else:
            assert (await upstream.order(old)).role == "decode"


async def test_unloaded_model_is_not_found(autojump_clock):
    loaded = (engine.Loaded("lishe", 1, ("swahili",)),)
    async with running(models=loaded) as upstream:
        for model, status in (("lishe", 200), ("lishe:swahili", 200), ("other", 404)):
            async with upstream.call(make_call(model=model, stream=False)) as answer:
                assert answer.status == status


async def test_counters_count_each_run(autojump_clock):
    async with running() as upstream:
        await read_body(upstream, make_call(user="item-1"))
        with contextlib.suppress(AssertionError):
            async with upstream.call(make_call(user="item-1", max_tokens=90, stream_id="s2")):
                raise AssertionError
        counters = upstream.engine.counters()
        assert counters.by_key["item-1"] == engine_standin.RunCounts(2, 1, 5)
        assert counters.by_stream["s2"].completions == 0
        assert counters.wasted_tokens == 1
