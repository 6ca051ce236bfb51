import contextlib

import pytest
import trio

from cornelgrade.adapters import platform
from cornelgrade.adapters import platform_http as client_http
from cornelgrade.policy import settle
from cornelgrade.standins import platform_http, platform_store


@contextlib.asynccontextmanager
async def running(**options):
    server = platform_http.PlatformServer()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, "127.0.0.1:0")
        async with client_http.HttpPlatform(f"http://{address}", **options) as client:
            yield server.store, client
        nursery.cancel_scope.cancel()


async def test_objects_round_trip_with_names_that_have_slashes():
    async with running() as (_, client):
        value = bytes(range(256))
        first = await client.create("job", "a//b c/%é", value, nonce="n1")
        assert await client.get("job", "a//b c/%é") == first
        assert await client.list("job", prefix="a/") == (first,)
        second = await client.update("job", "a//b c/%é", b"2", first.version, nonce="n2")
        with pytest.raises(platform.ConflictError) as caught:
            await client.update("job", "a//b c/%é", b"3", first.version)
        assert caught.value.current == second
        assert not caught.value.outcome_unknown
        await client.delete("job", "a//b c/%é", second.version)
        assert await client.get("job", "a//b c/%é") is None
        changes = await client.watch("job", "a/", after=0)
        assert changes.deleted == ("a//b c/%é",)
        with pytest.raises(platform.TooLargeError):
            await client.create("job", "big", b"x" * (platform.MAX_VALUE_BYTES + 1))


@pytest.mark.parametrize("lost", [1, 2])
async def test_writes_with_lost_responses_are_resolved_by_reading_back(lost):
    async with running() as (store, client):
        store.switch(platform_store.Switches(lose_answers=lost))
        made = await client.create("job", "a", b"1")
        assert await store.get("job", "a") == made
        newer = await client.update("job", "a", b"2", made.version)
        assert await store.get("job", "a") == newer
        store.switch(platform_store.Switches(lose_answers=lost))
        await client.delete("job", "a", newer.version)
        assert store.calls["create"] + store.calls["update"] + store.calls["delete"] == 3


async def test_refusals_are_typed_and_guarantee_no_effect():
    async with running() as (store, client):
        store.switch(platform_store.Switches(down=True))
        for call in (client.create("job", "a", b""), client.get("job", "a"), client.vms()):
            with pytest.raises(platform.UnavailableError) as caught:
                await call
            assert not caught.value.outcome_unknown
        store.switch(platform_store.Switches(writes_per_s=0.5))
        with pytest.raises(platform.UnavailableError) as caught:
            await client.create("job", "a", b"")
        assert caught.value.retry_after_s == pytest.approx(1.0, abs=0.1)


async def test_deadline_leaves_a_slow_write_unknown():
    async with running(deadline_s=0.2) as (store, client):
        store.switch(platform_store.Switches(slow_s=30.0))
        with pytest.raises(platform.UnavailableError) as caught:
            await client.create("job", "a", b"")
        assert caught.value.outcome_unknown


async def test_unreachable_platform_guarantees_that_nothing_was_written():
    async with client_http.HttpPlatform("http://127.0.0.1:1") as client:
        with pytest.raises(platform.UnavailableError) as caught:
            await client.create("job", "a", b"")
        assert not caught.value.outcome_unknown


@pytest.mark.parametrize(
    ("write", "expected", "found", "nonce", "verdict"),
    [
        (settle.Write.CREATE, 0, 0, "", settle.Resolution.SEND_AGAIN),
        (settle.Write.CREATE, 0, 5, "own", settle.Resolution.DONE),
        (settle.Write.CREATE, 0, 5, "other", settle.Resolution.CONFLICT),
        (settle.Write.UPDATE, 4, 4, "own", settle.Resolution.SEND_AGAIN),
        (settle.Write.UPDATE, 4, 5, "own", settle.Resolution.DONE),
        (settle.Write.UPDATE, 4, 5, "other", settle.Resolution.CONFLICT),
        (settle.Write.UPDATE, 4, 0, "", settle.Resolution.CONFLICT),
        (settle.Write.DELETE, 4, 0, "", settle.Resolution.DONE),
        (settle.Write.DELETE, 4, 4, "own", settle.Resolution.SEND_AGAIN),
        (settle.Write.DELETE, 4, 5, "own", settle.Resolution.CONFLICT),
    ],
)
def test_settle_returns_the_verdict_for_each_case(write, expected, found, nonce, verdict):
    assert (
        settle.resolve_write(write, settle.classify_read(write, expected, "own", found, nonce))
        is verdict
    )
