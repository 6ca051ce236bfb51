import ssl

import httpx
import quart
import trio
import trustme
from tests.process import harness

from cornelgrade import kernel, settings
from cornelgrade.services import drain
from cornelgrade.services.web import app, server
from cornelgrade.standins import local_ports


async def test_server_uses_tls_certificate_from_settings(tmp_path):
    authority = trustme.CA()
    server_cert = authority.issue_cert(harness.HOST)
    server_cert.private_key_pem.write_to_path(tmp_path / "key.pem")
    server_cert.cert_chain_pems[0].write_to_path(tmp_path / "cert.pem")
    address = local_ports.free_address()
    cfg = settings.Settings(
        vm="vm-0",
        failure_domain="dar-kariakoo",
        gateway_address=address,
        peer_address="127.0.0.1:1",
        worker_address="127.0.0.1:2",
        platform_url="http://127.0.0.1:3",
        peer_key_file="",
        tls=settings.Tls(str(tmp_path / "cert.pem"), str(tmp_path / "key.pem")),
    )
    routes = quart.Blueprint("routes", __name__)
    routes.get("/healthz")(_healthz)
    kern = kernel.Kernel()
    kern.add(drain.Drain(0.0))
    kern.add(server.WebServer(kern, cfg, app.create_app([routes])))
    context = ssl.create_default_context()
    authority.configure_trust(context)
    async with trio.open_nursery() as nursery:
        await nursery.start(kern.run)
        async with httpx.AsyncClient(verify=context, trust_env=False) as client:
            assert (await client.get(f"https://{address}/healthz")).text == "ok"
        kern.find("drain", drain.Drain).begin()
        await kern.wait_stopped()


async def _healthz() -> str:
    return "ok"
