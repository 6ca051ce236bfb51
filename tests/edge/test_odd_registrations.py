"""A system whose store lists the odd entries of another writer beside those of its engines."""

import contextlib

import msgspec
import pytest
import trio
from tests.edge import stranded
from tests.platform import odd_specs

from cornelgrade import kernel, routes
from cornelgrade.platform import entries, objects
from cornelgrade.platform.standins import edge_system, formats, store_server, stream_engine
from cornelgrade.services.edge import (
    fleet,
    job_repository,
    peers,
    quarantine_sync,
    suspect_records,
)

SETTLE_S = 1.0
EVENTS = 5
ODD = odd_specs.by_name(service=edge_system.SERVICE, zone="north")


class Directory(edge_system.Directory):
    """Decodes registrations as the platform writes them."""

    upstream_kind = entries.KIND

    def upstream(self, name: str, value: bytes) -> routes.Upstream | None:
        return entries.decode(name, value)


@pytest.fixture(autouse=True)
def no_service_dies(monkeypatch):
    """Fail the test if a service dies, which its process may restart."""
    died = []
    monkeypatch.setattr(kernel.Kernel, "_log_failure", lambda _, *failure: died.append(failure))
    yield
    assert not died


@contextlib.asynccontextmanager
async def run_system(monkeypatch, **options):
    """Run a system that reads the store over HTTP, with the formats of the platform."""
    store = edge_system.Store(edge_system.UNLIMITED)

    async def register(system, upstream):
        value = msgspec.Raw(formats.encode_entry(upstream))
        await system._put_object(entries.KIND, upstream.name, value)

    async with trio.open_nursery() as nursery:
        address = await nursery.start(store_server.StoreServer(store).serve, "127.0.0.1:0")
        monkeypatch.setattr(edge_system, "Store", lambda _: store)
        monkeypatch.setattr(edge_system, "VmStore", lambda _: objects.ObjectStore(address))
        monkeypatch.setattr(edge_system, "Directory", Directory)
        monkeypatch.setattr(edge_system.System, "register", register)
        async with edge_system.run_system(gateways=2, workers=1, engines=2, **options) as system:
            yield system
        nursery.cancel_scope.cancel()


async def check_all_paths(system, monkeypatch, mark):
    """Check that online, resumed and forwarded requests and batch items are served."""
    for number in range(4):
        for path in (edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX):
            name = f"{mark}{number}{path[1]}"
            got = await system.send_online("gateway-0", path, name)
            assert (got.status, got.complete) == (200, True)
            assert got.body == stream_engine.response_body(name, EVENTS)
    taken_up = await system.send_online(
        "gateway-1",
        edge_system.RESUMABLE_PREFIX,
        f"{mark}-up",
        **{k.replace("-", "_"): v for k, v in formats.take_up_headers(f"{mark}0r", 2).items()},
    )
    assert (taken_up.status, taken_up.complete) == (200, True)
    await system.submit("gateway-0", f"{mark}-job", {f"{mark}-i{n}": b"q" for n in range(4)})
    done = []
    with trio.fail_after(8):
        while len(done) < 4:
            done += await system.results("gateway-1", f"{mark}-job", len(done))
    with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
        with trio.fail_after(8):
            while True:
                got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, f"{mark}-f")
                if got.status == 200:
                    break
                await trio.sleep(0.1)


# Guards against odd entries that end processes, stop them from following the engines, or take the
# other engines from online, resumed and forwarded requests and from batch items.
async def test_system_serves_and_follows_beside_odd_entries(monkeypatch):
    async with run_system(monkeypatch) as system:
        for name, spec in ODD.items():
            await system._put_object(entries.KIND, name, msgspec.Raw(spec))
        await trio.sleep(SETTLE_S)
        await check_all_paths(system, monkeypatch, "a")
        await system.start_engine("later")
        late = await system.start_gateway("gateway-9")
        await system.wait_until_ready("gateway-9")
        await trio.sleep(SETTLE_S)
        for node in system.nodes.values():
            known = {up.name for up in node.kern.find("fleet", fleet.Fleet).upstreams()}
            assert known == {"engine-0", "engine-1", "later"}
        assert late.cfg.vm == "gateway-9"


# Guards against serving from the last sound entry of an engine once its entry is odd.
@pytest.mark.parametrize("name", ["deep", "slots", "port"])
async def test_engine_whose_entry_becomes_odd_is_missing(monkeypatch, name):
    async with run_system(monkeypatch) as system:
        await system._put_object(entries.KIND, "engine-0", msgspec.Raw(ODD[name]))
        with trio.fail_after(8):
            while any(
                "engine-0" in {up.name for up in node.kern.find("fleet", fleet.Fleet).upstreams()}
                for node in system.nodes.values()
            ):
                await trio.sleep(0.1)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r")
    assert (got.status, got.complete) == (200, True)


# Guards against a peer's entry that ends the processes that send datagrams to its address.
@pytest.mark.parametrize("address", ["127.0.0.1:99999999", "127.0.0.1:x", "a\0b:1", "a b:1", ""])
async def test_peer_with_an_odd_address_disturbs_nobody(address):
    async with edge_system.run_system(gateways=2, workers=1, engines=2) as system:
        entry = {"address": address, "role": "gateway", "failure_domain": "north"}
        await system._put_object(peers.PEER_KIND, "odd", entry)
        await trio.sleep(SETTLE_S)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r")
        assert (got.status, got.complete) == (200, True)
        for node in system.nodes.values():
            assert "odd" not in node.kern.find("peers", peers.Peers).other_vms()


# Guards against odd objects of the system's own kinds that end the processes that read them.
@pytest.mark.parametrize(
    "kind",
    [peers.PEER_KIND, quarantine_sync.KIND, suspect_records.KIND, job_repository.HEADER_KIND],
)
@pytest.mark.parametrize(
    "raw",
    [
        b'{"unknown":' + odd_specs.nested(5_000) + b"}",
        b'{"job":"\xff","address":"\xff","crashes":[{"upstream":"\xff"}]}',
        b'{"expires_ms":%s,"stored_ms":%s,"crashes":[]}' % ((b"9" * 400,) * 2),
    ],
    ids=["deep", "utf8", "number"],
)
async def test_odd_object_of_an_own_kind_disturbs_nobody(kind, raw):
    async with edge_system.run_system(gateways=1, workers=1, engines=1) as system:
        await system._put_object(kind, "odd", msgspec.Raw(raw))
        await system.start_gateway("late")
        await system.start_worker("late-worker")
        await system.wait_until_ready("late")
        await trio.sleep(SETTLE_S)
        for gateway in ("gateway-0", "late"):
            got = await system.send_online(gateway, edge_system.ONCE_PREFIX, f"r-{gateway}")
            assert (got.status, got.complete) == (200, True)
        await system.submit("late", "job", {f"i{n}": b"q" for n in range(3)})
        done = []
        with trio.fail_after(8):
            while len(done) < 3:
                done += await system.results("gateway-0", "job", len(done))
