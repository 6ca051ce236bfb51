import itertools
import json
import socket

import httpx
import msgspec
import trio

from cornelgrade import daemons, devserver, manifest
from cornelgrade.adapters import engine
from cornelgrade.standins import _http_server, local_ports


async def test_dev_starts_stand_ins_submits_its_manifest_and_drains(capsys):
    submitted = []
    events = []

    async def record_submission(req):
        submitted.append((req.method, req.path, req.headers["authorization"], req.body))
        await req.respond(200)

    async def gateway(cfg, stopping, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            server = _http_server.Server(record_submission)
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
            submitted_manifest = msgspec.json.decode(body, type=manifest.Manifest)
            engines = [up for up in submitted_manifest.upstreams if up.service == devserver.MODEL]
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


async def test_dev_leaves_out_a_port_that_is_free_for_udp_only(monkeypatch):
    with socket.socket() as listener:
        listener.bind((devserver.HOST, 0))
        listener.listen()
        taken = listener.getsockname()[1]
        local_ports.free_port()
        ports = itertools.count(taken)
        monkeypatch.setattr(local_ports._block, "_ports", ports)
        stand_ins = devserver.StandIns(None, "http://127.0.0.1:1", devserver._build_manifest(()))
        with devserver._make_settings(stand_ins, 0) as cfg:
            addresses = (cfg.peer_address, cfg.gateway_address, cfg.worker_address)
            assert f"{devserver.HOST}:{taken}" not in addresses


async def test_dev_serves_online_requests_jobs_and_keyed_requests():
    completion = {
        "model": devserver.MODEL,
        "prompt": "How much iron a day?",
        "max_tokens": 5,
        "stream": True,
    }
    item = {
        "custom_id": "note-1",
        "url": "/v1/completions",
        "body": {**completion, "stream": False},
    }
    keys = {"Authorization": f"Bearer {devserver.TEAM_KEY}"}
    stopping = trio.Event()
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            programs = (daemons.serve_gateway, daemons.serve_worker)
            cfg = await nursery.start(devserver.serve, programs, stopping, 0)
            url = f"http://{cfg.gateway_address}"
            async with httpx.AsyncClient(base_url=url, headers=keys, trust_env=False) as client:
                res = await client.post("/v1/completions", json=completion)
                assert res.content.endswith(engine.END_MARKER)
                res = await client.post(
                    "/v1/jobs", content=json.dumps(item), headers={"Idempotency-Key": "notes-1"}
                )
                job = res.json()["id"]
                while (await client.get(f"/v1/jobs/{job}")).json()["state"] != "done":
                    await trio.sleep(0.1)
                (line,) = (await client.get(f"/v1/jobs/{job}/results")).text.splitlines()
                assert json.loads(line)["custom_id"] == "note-1"
                operator = {"Authorization": f"Bearer {devserver.OPERATOR_KEY}"}
                in_force = (await client.get("/v1/manifest", headers=operator)).json()
                plain = next(up for up in in_force["upstreams"] if up["service"] == "refills")
                counted = (await client.get(f"http://{plain['address']}/v1/counters")).json()
                assert counted["calls"] == 0
                confirm_path = "/v1/services/refills/confirmations"
                for _ in range(2):
                    res = await client.post(confirm_path, headers={"Idempotency-Key": "refill-1"})
                    assert res.json().get("effect") == 1, res.text
                counted = (await client.get(f"http://{plain['address']}/v1/counters")).json()
                assert counted == {"calls": 1, "effects": {"refill-1": 1}}
            stopping.set()
