import pytest
import trio

from cornelgrade.adapters import engine, upstream_http
from cornelgrade.standins import plain_service


async def test_undecodable_response_raises_call_error():
    server = plain_service.PlainServer(plain_service.PlainService("refills-0"))
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, "127.0.0.1:0")
        async with upstream_http.HttpUpstream("refills-0", address) as upstream:
            with pytest.raises(engine.CallError) as caught:
                await upstream.load()
        nursery.cancel_scope.cancel()
    assert caught.value.progress is engine.Progress.ANSWERED
    assert caught.value.peer == "refills-0"
