import contextlib

import httpx
import pytest
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import fault_proxy, plain_service

KEYED = {"Idempotency-Key": "k1"}


@contextlib.asynccontextmanager
async def running():
    service = plain_service.PlainService("refills")
    async with trio.open_nursery() as nursery:
        target = await nursery.start(plain_service.PlainServer(service).serve, "127.0.0.1:0")
        proxy = fault_proxy.FaultProxy(target)
        address = await nursery.start(proxy.serve, "127.0.0.1:0")
        async with httpx.AsyncClient(
            base_url=f"http://{address}", timeout=0.3, trust_env=False
        ) as client:
            yield service, proxy, client
        nursery.cancel_scope.cancel()


async def test_plain_service_counts_every_effect_by_key():
    async with running() as (service, _, client):
        for expected in (1, 2):
            res = await client.post("/confirm", headers=KEYED)
            assert res.json()["effect"] == expected
        await client.post("/other")
        assert (await client.get("/v1/counters")).json()["effects"] == {"k1": 2, "/other": 1}


@pytest.mark.parametrize(("switch", "effects"), [("break_before", 0), ("break_after", 1)])
async def test_plain_service_breaks_around_its_effect(switch, effects):
    async with running() as (service, _, client):
        await client.put("/v1/switches", json={switch: 1})
        with pytest.raises(httpx.TransportError):
            await client.post("/confirm", headers=KEYED)
        assert service.effects["k1"] == effects
        upstream = plain_service.MemoryPlain(service)
        service.switch(plain_service.Switches(**{switch: 1}))
        call = engine.Call("s", "POST", "/confirm", b"", headers=(("Idempotency-Key", "k2"),))
        with pytest.raises(engine.CallError):
            async with upstream.call(call):
                pass
        assert service.effects["k2"] == effects


async def test_proxy_cut_resets_open_connections():
    async with running() as (service, proxy, client):
        service.switch(plain_service.Switches(slow_s=5.0))

        async def post():
            with pytest.raises(httpx.TransportError) as caught:
                await client.post("/confirm", timeout=2.0)
            assert not isinstance(caught.value, httpx.TimeoutException)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(post)
            await trio.sleep(0.1)
            proxy.switch(fault_proxy.Switches(cut=True))
        service.switch(plain_service.Switches())
        assert (await client.post("/confirm")).status_code == 200


async def test_proxy_freeze_does_not_affect_new_connections():
    async with running() as (_, proxy, client):
        await client.post("/confirm")
        proxy.switch(fault_proxy.Switches(freeze=True))
        with pytest.raises(httpx.ReadTimeout):
            await client.post("/confirm")
        assert (await client.post("/confirm")).status_code == 200


@pytest.mark.parametrize(("direction", "effects"), [("up", 0), ("down", 1)])
async def test_proxy_loses_one_direction(direction, effects):
    async with running() as (service, proxy, client):
        proxy.switch(fault_proxy.Switches(lose=direction))
        with pytest.raises(httpx.ReadTimeout):
            await client.post("/confirm")
        assert service.effects["/confirm"] == effects


async def test_proxy_delays_and_refuses():
    async with running() as (_, proxy, client):
        proxy.switch(fault_proxy.Switches(delay_s=0.05))
        start = trio.current_time()
        await client.post("/confirm")
        assert trio.current_time() - start >= 0.1
        proxy.switch(fault_proxy.Switches(refuse=True, cut=True))
        with pytest.raises(httpx.TransportError):
            await client.post("/confirm")
