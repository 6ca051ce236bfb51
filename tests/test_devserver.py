import httpx
import msgspec
import trio

from cornelgrade import devserver, manifest
from cornelgrade.standins import _http_server


async def test_dev_starts_stand_ins_submits_its_manifest_and_drains(capsys):
    submitted = []
    events = []

    async def take(req):
        submitted.append((req.method, req.path, req.headers["authorization"], req.body))
        await req.answer(200)

    async def gateway(cfg, stopping, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            server = _http_server.Server(take)
            await nursery.start(server.serve, cfg.gateway_address)
            task_status.started()
            await stopping.wait()
            events.append("drained")
            nursery.cancel_scope.cancel()

    stopping = trio.Event()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            cfg = await nursery.start(devserver.serve, (gateway,), stopping, 0)
            assert capsys.readouterr().out.count("curl ") == 3
            (method, path, auth, body), *_ = submitted
            assert (method, path) == ("PUT", "/v1/manifest")
            assert auth == f"Bearer {devserver.OPERATOR_KEY}"
            wanted = msgspec.json.decode(body, type=manifest.Manifest)
            engines = [up for up in wanted.upstreams if up.service == devserver.MODEL]
            assert len(engines) == 6
            assert len({up.failure_domain for up in engines}) == 3
            async with httpx.AsyncClient(trust_env=False) as client:
                for upstream in engines:
                    res = await client.get(f"http://{upstream.address}/v1/load")
                    assert res.status_code == 200
                res = await client.get(f"{cfg.platform_url}/v1/vms")
                assert res.status_code == 200
            stopping.set()
    assert events == ["drained"]
