"""Manifest distribution between three VMs with both daemons, over real HTTP and datagrams."""

import functools
import hashlib

import httpx
import msgspec
import pytest
import trio
from test_manifest_rules import sample

from cornelgrade import daemons, manifest, settings
from cornelgrade.policy import manifest_rules
from cornelgrade.standins import local_ports, platform_http

OPERATOR = {"Authorization": "Bearer op"}
IN_FORCE_S = 3.0


def vm_settings(folder, url, platforms):
    (folder / "key").write_bytes(b"test key")
    addresses = [local_ports.free_address() for _ in range(9)]
    peers, tcp = addresses[:3], addresses[3:]
    return [
        settings.Settings(
            vm=f"vm{i}",
            failure_domain=f"d{i}",
            gateway_address=tcp[i],
            peer_address=peers[i],
            worker_address=tcp[3 + i],
            seeds=(peers[0],),
            platform_url=platforms.get(i, url),
            platform_deadline_s=0.5,
            peer_key_file=str(folder / "key"),
            operator_key_hashes=(hashlib.sha256(b"op").hexdigest(),),
            drain_grace_s=0.0,
        )
        for i in range(3)
    ]


class Vms:
    def __init__(self, cfgs):
        self.cfgs = cfgs
        self.addresses = [a for c in cfgs for a in (c.gateway_address, c.worker_address)]

    async def status(self, client, address):
        response = await client.get(f"http://{address}/v1/status", headers=OPERATOR)
        return msgspec.json.decode(response.content)

    async def wait_version(self, client, version):
        started_at_s = trio.current_time()
        for address in self.addresses:
            while (await self.status(client, address))["manifest_version"] != version:
                await trio.sleep(0.02)
        return trio.current_time() - started_at_s


async def put(client, address, submitted, version=None):
    headers = OPERATOR | ({"If-Match": f'"{version}"'} if version else {})
    body = manifest_rules.encode(submitted)
    response = await client.put(f"http://{address}/v1/manifest", content=body, headers=headers)
    return response.status_code, int(response.headers.get("ETag", '"0"').strip('"'))


@pytest.mark.parametrize("cut_off", [False, True], ids=["platform for all", "one VM cut off"])
async def test_accepted_manifest_is_in_force_in_every_process(tmp_path, nursery, cut_off):
    server = platform_http.PlatformServer()
    url = f"http://{await nursery.start(server.serve, '127.0.0.1:0')}"
    platforms = {2: "http://127.0.0.1:1"} if cut_off else {}
    vms = Vms(vm_settings(tmp_path, url, platforms))
    stopping = trio.Event()
    for cfg in vms.cfgs:
        for program in (daemons.serve_gateway, daemons.serve_worker):
            await nursery.start(functools.partial(program, cfg, stopping))
    async with httpx.AsyncClient(trust_env=False) as client:
        with trio.fail_after(30):
            first = vms.cfgs[0].gateway_address
            status, version = await put(client, first, sample())
            assert status == 200
            await vms.wait_version(client, version)
            changed = sample(batch=manifest.BatchPolicy(lean=0.9))
            second = vms.cfgs[1].gateway_address
            status, newer = await put(client, second, changed, version)
            assert status == 200 and newer > version
            assert await vms.wait_version(client, newer) < IN_FORCE_S
            last_status = await vms.status(client, vms.cfgs[2].gateway_address)
            assert last_status["manifest_confirmed"] is not cut_off
            assert await put(client, first, sample()) == (200, version)
            other = sample(batch=manifest.BatchPolicy(lean=0.1))
            status, _ = await put(client, first, other, version)
            assert status == 412
    nursery.cancel_scope.cancel()
