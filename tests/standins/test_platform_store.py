import pytest
import trio

from cornelgrade.adapters import platform
from cornelgrade.standins import platform_store


def make_store(**switches) -> platform_store.MemoryPlatform:
    return platform_store.MemoryPlatform(platform_store.Switches(**switches))


async def test_versions_grow_over_all_objects_and_guard_each_write():
    store = make_store()
    first = await store.create("job", "a", b"1", nonce="n1")
    second = await store.create("job", "b", b"2")
    assert second.version > first.version
    with pytest.raises(platform.ConflictError) as caught:
        await store.create("job", "a", b"3")
    assert caught.value.current == first
    newer = await store.update("job", "a", b"3", first.version)
    with pytest.raises(platform.ConflictError):
        await store.update("job", "a", b"4", first.version)
    with pytest.raises(platform.ConflictError):
        await store.delete("job", "a", first.version)
    await store.delete("job", "a", newer.version)
    await store.delete("job", "a", newer.version)
    assert await store.get("job", "a") is None


async def test_list_pages_by_prefix():
    store = make_store()
    for name in ("x/1", "x/3", "x/2", "y/1"):
        await store.create("job", name, b"")
    assert [s.name for s in await store.list("job", prefix="x/", limit=2)] == ["x/1", "x/2"]
    assert [s.name for s in await store.list("job", prefix="x/", after="x/2")] == ["x/3"]


async def test_watch_wakes_on_a_change_under_its_prefix(autojump_clock):
    store = make_store()
    seen = []

    async def watch():
        seen.append(await store.watch("job", "x/", after=0))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.sleep(1)
        await store.create("job", "y/1", b"")
        await trio.sleep(1)
        assert not seen
        await store.create("job", "x/1", b"")
    assert [s.name for s in seen[0].items] == ["x/1"]
    assert trio.current_time() == pytest.approx(2)
    stored = seen[0].items[0]
    await store.delete("job", "x/1", stored.version)
    assert (await store.watch("job", "x/", after=stored.version)).deleted == ("x/1",)
    assert not (await store.watch("job", "x/", after=store.version, wait_s=5)).items


async def test_watch_before_the_history_returns_a_reset():
    store = platform_store.MemoryPlatform(history_limit=2)
    for name in "abc":
        await store.create("job", name, b"")
    assert (await store.watch("job", after=0)).reset


async def test_large_value_is_refused():
    with pytest.raises(platform.TooLargeError):
        await make_store().create("job", "a", b"x" * (platform.MAX_VALUE_BYTES + 1))


async def test_rate_limit_reports_the_retry_delay(autojump_clock):
    store = make_store(writes_per_s=2.0)
    await store.create("job", "a", b"")
    await store.create("job", "b", b"")
    with pytest.raises(platform.UnavailableError) as caught:
        await store.create("job", "c", b"")
    assert not caught.value.outcome_unknown
    await trio.sleep(caught.value.retry_after_s)
    await store.create("job", "c", b"")
    assert store.calls["create"] == 4


async def test_write_with_a_lost_response_takes_effect():
    store = make_store(lose_answers=1)
    with pytest.raises(platform.UnavailableError) as caught:
        await store.create("job", "a", b"1", nonce="mine")
    assert caught.value.outcome_unknown
    assert (await store.get("job", "a")).nonce == "mine"
    await store.create("job", "b", b"1")


@pytest.mark.parametrize(("slow_s", "effect"), [(3.0, True), (5.0, False)])
async def test_slow_write_is_unknown_at_its_deadline(autojump_clock, slow_s, effect):
    store = make_store(slow_s=slow_s)
    with pytest.raises(platform.UnavailableError) as caught:
        await store.create("job", "a", b"1")
    assert caught.value.outcome_unknown
    store.switch(platform_store.Switches())
    assert (await store.get("job", "a") is not None) == effect


async def test_waiting_watch_fails_when_the_platform_goes_down(autojump_clock):
    store = make_store()

    async def watch():
        with pytest.raises(platform.UnavailableError):
            await store.watch("job")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.sleep(1)
        store.switch(platform_store.Switches(down=True))


async def test_vm_list_lags(autojump_clock):
    store = make_store(vm_lag_s=3.0)
    store.set_vms((platform.Vm("vm-1", platform.VmState.LIVE),))
    assert await store.vms() == ()
    await trio.sleep(3)
    assert [vm.name for vm in await store.vms()] == ["vm-1"]
