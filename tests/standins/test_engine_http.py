import contextlib

import httpx
import msgspec
import pytest
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_http, engine_model, engine_wire

PATH = "/v1/completions"
HELLO = {"prompt": "hello", "max_tokens": 4, "stream": True}
FAST = engine_model.Config(step_s=0.002, sequence_step_s=0.0)


@contextlib.asynccontextmanager
async def running(cfg=FAST):
    standin = engine_standin.Engine("engine-1", cfg)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(engine_http.EngineServer(standin).serve, "127.0.0.1:0")
        async with httpx.AsyncClient(base_url=f"http://{address}", trust_env=False) as client:
            yield standin, client
        nursery.cancel_scope.cancel()


async def test_streamed_complete_and_resumed_responses_agree():
    async with running() as (_, client):
        res = await client.post(PATH, json=HELLO)
        assert res.content.endswith(engine.END_MARKER)
        assert res.content.count(b"data: ") == 5
        whole = (await client.post(PATH, json={**HELLO, "stream": False})).json()
        assert whole["choices"][0]["text"] == engine_wire.output("hello", 4)
        assert whole["usage"]["completion_tokens"] == 4
        resumed = await client.post(PATH, json=HELLO, headers={engine.RESUME_HEADER: "2"})
        assert resumed.content == b"".join(res.content.partition(b"\n\n")[2].partition(b"\n\n")[2:])
        chat = {"messages": [{"role": "user", "content": "hi"}], "max_tokens": 3}
        answer = (await client.post("/v1/chat/completions", json=chat)).json()
        text = engine_wire.output("user: hi", 3)
        assert answer["choices"][0]["message"]["content"] == text


async def test_control_calls_respond():
    async with running() as (_, client):
        assert (await client.get("/v1/load")).json()["slots"] == 8
        assert (await client.get("/v1/models")).json()["models"] == []
        assert (await client.get("/v1/cache/events?after=0")).json() == []
        order = {"kind": "role", "fencing": 1, "role": "decode"}
        assert (await client.post("/v1/orders", json=order)).json()["role"] == "decode"
        assert (await client.delete("/v1/streams/none")).json()["found"] is False
        assert (await client.post(PATH, content=b"{")).status_code == 400
        assert (await client.get("/nothing")).status_code == 404


async def test_cancel_from_another_connection_ends_a_stream_without_its_marker():
    async with running() as (_, client):
        headers = {engine.STREAM_ID_HEADER: "s1"}
        body = {**HELLO, "max_tokens": 10_000}
        async with client.stream("POST", PATH, json=body, headers=headers) as res:
            cancelled = (await client.delete("/v1/streams/s1")).json()
            received = await res.aread()
        assert cancelled["found"]
        assert received.count(b"data: ") == cancelled["tokens"]


async def test_disconnected_caller_frees_its_slot():
    async with running() as (standin, client):
        body = {**HELLO, "max_tokens": 10_000}
        async with client.stream("POST", PATH, json=body):
            assert standin._model.busy
        with trio.fail_after(2):
            while standin._model.busy:
                await trio.sleep(0.01)


async def test_crash_breaks_streams_refuses_connections_and_restarts():
    async with running() as (standin, client):
        standin.switch(engine_standin.Switches(restart_s=0.3))
        with pytest.raises(httpx.TransportError):
            await client.post(PATH, json={**HELLO, "prompt": engine_model.CRASH_MARKER})
        with pytest.raises(httpx.ConnectError):
            await client.get("/v1/load")
        with trio.fail_after(3):
            while not standin.up:
                await trio.sleep(0.05)
            await trio.sleep(0.1)
        assert (await client.post(PATH, json=HELLO)).status_code == 200


async def test_silent_connections_stay_silent_and_new_ones_work():
    async with running() as (_, client):
        await client.get("/v1/load")
        switches = {"silence": True}
        async with httpx.AsyncClient(base_url=client.base_url, trust_env=False) as other:
            await other.put("/v1/switches", json=switches)
        with pytest.raises(httpx.ReadTimeout):
            await client.get("/v1/load", timeout=0.3)
        assert (await client.get("/v1/load")).status_code == 200


async def test_truncated_responses_never_look_complete():
    async with running() as (standin, client):
        standin.switch(engine_standin.Switches(truncate_after=2))
        res = await client.post(PATH, json=HELLO)
        assert not res.content.endswith(engine.END_MARKER)
        with pytest.raises(httpx.RemoteProtocolError):
            await client.post(PATH, json={**HELLO, "stream": False})


async def test_frozen_engine_serves_only_switches_and_counters():
    async with running() as (_, client):
        await client.put("/v1/switches", json={"freeze": True})
        with pytest.raises(httpx.ReadTimeout):
            await client.get("/v1/load", timeout=0.2)
        await client.put("/v1/switches", json={"leaving": True})
        res = await client.post(PATH, json=HELLO)
        assert res.headers[engine_http.LEAVING_HEADER] == "1"
        counters = (await client.get("/v1/counters")).json()
        assert counters["calls_while_leaving"] == 1


# Guards against trials that replace an engine while its responses go on naming the start before.
async def test_responses_name_the_start_and_version_that_sends_them():
    cfg = msgspec.structs.replace(FAST, software_version="v1")
    names = []
    async with running(cfg) as (standin, client):
        for _ in range(2):
            found = [(await client.post(PATH, json=HELLO)).headers]
            found += [(await client.get("/v1/load")).headers]
            names.append(
                {(h[engine.START_HEADER], h[engine.SOFTWARE_VERSION_HEADER]) for h in found}
            )
            switches = {"crash": True, "restart_s": 0.1, "next_version": "v2"}
            await client.put("/v1/switches", json=switches)
            await trio.sleep(0.4)
    (first,), (second,) = names
    assert first[0] != second[0]
    assert (first[1], second[1]) == ("v1", "v2")


# Guards against trials of unframed responses in which every response is framed.
@pytest.mark.parametrize("stream", [False, True])
async def test_unframed_response_has_neither_a_length_nor_chunks(stream):
    async with running(msgspec.structs.replace(FAST, unframed=True)) as (_, client):
        res = await client.post(PATH, json={**HELLO, "stream": stream})
    assert not {"content-length", "transfer-encoding"} & set(res.headers)
    assert res.content.endswith(engine.END_MARKER) if stream else res.json()["choices"]
