import functools
import random

import fleet_helpers
import httpx
import msgspec
import pytest
import quart_trio
import trio
from test_manifest_rules import sample

from cornelgrade import errors, kernel, manifest
from cornelgrade.adapters import peer_manifest, platform
from cornelgrade.policy import claims, manifest_rules
from cornelgrade.services import (
    _manifest_writer,
    configuration,
    job_records,
    job_store,
    open_job_uses,
    ports,
)
from cornelgrade.services.web import access
from cornelgrade.services.web import manifest as manifest_routes
from cornelgrade.standins import platform_store

FIRST = manifest_rules.encode(sample())
SECOND = manifest_rules.encode(sample(batch=manifest.BatchPolicy(lean=0.1)))
THIRD = manifest_rules.encode(sample(batch=manifest.BatchPolicy(lean=0.9)))
DOWN = platform_store.Switches(down=True)


class DirectPeers:
    """Fetches the manifest from another VM's service without HTTP."""

    def __init__(self, services):
        self.services = services

    async def fetch(self, member):
        await trio.lowlevel.checkpoint()
        accepted = self.services[member.vm].current()
        if accepted is None:
            raise errors.NotReachableError("no manifest", step="fetch", peer=member.vm)
        return ports.AcceptedManifest(accepted.manifest, accepted.version, confirmed=False)


class PartitionedPeers(DirectPeers):
    """Fetches as above, but not across a partition between failure domains."""

    def __init__(self, services, cut, cfg):
        super().__init__(services)
        self.cut = cut
        self.domain = cfg.failure_domain

    async def fetch(self, member):
        if self.cut.on and member.failure_domain != self.domain:
            raise errors.NotReachableError("cut off", step="fetch", peer=member.vm)
        return await super().fetch(member)


class Vms(fleet_helpers.Fleet):
    """Membership and configuration services of several VMs, each with its own platform client."""

    def __init__(self, nursery, count):
        super().__init__(nursery, fleet_helpers.make_settings(count))
        self.store = platform_store.MemoryPlatform()
        self.configs = {}

    async def start(self, i, store=None):
        member = await super().start(i)
        service = configuration.Configuration(
            self.cfgs[i],
            store or self.store,
            member,
            PartitionedPeers(self.configs, self.cut, self.cfgs[i]),
            rng=random.Random(i),
        )
        self.configs[self.cfgs[i].vm] = service
        await self.nursery.start(lambda task_status: service.run(task_status.started))
        return service

    def versions(self):
        return [c.current().version if c.current() else 0 for c in self.configs.values()]


@pytest.fixture
async def vms(autojump_clock, nursery):
    fleet = Vms(nursery, 5)
    await fleet.start_all()
    await fleet_helpers.until(lambda: all(len(fleet.states(vm)) == 5 for vm in fleet.members))
    return fleet


async def test_accepted_manifest_is_in_force_everywhere_within_three_seconds(autojump_clock, vms):
    accepted = await vms.configs["vm0"].put(FIRST, None)
    await fleet_helpers.until(lambda: vms.versions() == [accepted.version] * 5, 3.0)
    second = await vms.configs["vm3"].put(SECOND, accepted.version)
    await fleet_helpers.until(lambda: vms.versions() == [second.version] * 5, 3.0)
    assert all(c.current().manifest.batch.lean == 0.1 for c in vms.configs.values())


async def test_one_of_two_concurrent_puts_wins_and_the_other_gets_the_difference(
    autojump_clock, vms
):
    base = (await vms.configs["vm0"].put(FIRST, None)).version
    results = []

    async def put(vm, raw):
        try:
            results.append(await vms.configs[vm].put(raw, base))
        except errors.Refusal as exc:
            results.append(exc)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(put, "vm1", SECOND)
        nursery.start_soon(put, "vm2", THIRD)
    refused = [r for r in results if isinstance(r, errors.Refusal)]
    assert [r.code for r in refused] == [errors.Code.STALE]
    assert "batch.lean" in refused[0].message


@pytest.mark.parametrize("resend_from", ["vm0", "vm4"])
async def test_resend_after_a_lost_response_returns_the_same_version(
    autojump_clock, vms, resend_from
):
    vms.store.switch(platform_store.Switches(lose_answers=1))
    first = await vms.configs["vm0"].put(FIRST, None)
    again = await vms.configs[resend_from].put(FIRST, None)
    assert again.version == first.version == vms.store.version
    later = await vms.configs["vm1"].put(SECOND, first.version)
    assert (await vms.configs["vm0"].put(FIRST, None)).version == first.version
    assert vms.store.version == later.version


async def test_invalid_manifest_is_refused_with_its_problems_and_not_stored(autojump_clock, vms):
    with pytest.raises(errors.Refusal, match="unknown model m") as caught:
        await vms.configs["vm0"].put(manifest_rules.encode(sample(models=())), None)
    assert caught.value.code is errors.Code.BAD_REQUEST
    assert vms.store.version == 0


async def test_open_jobs_are_read_only_when_a_manifest_removes_something(autojump_clock):
    reads = []

    async def open_uses(current):
        await trio.lowlevel.checkpoint()
        reads.append(current)
        return manifest_rules.NamesInUse(priorities=frozenset({"low"}))

    writer = _manifest_writer.Writer("vm0", platform_store.MemoryPlatform(), open_uses)
    first = await writer.put(FIRST, None)
    second = await writer.put(SECOND, first.version)
    assert reads == []
    fewer = sample(priorities=sample().priorities[:1])
    with pytest.raises(errors.Refusal, match="priorities: low is missing, but an open job"):
        await writer.put(manifest_rules.encode(fewer), second.version)


async def test_services_models_teams_and_priorities_of_open_jobs_count_as_used(autojump_clock):
    store = job_store.JobStore(platform_store.MemoryPlatform())
    header = functools.partial(
        job_records.Header, key="k", digest="d", service="chat", priority="low", price=1.0,
        due_at_s=9.0, created_at_s=1.0, upload="u", piece_items=(1,), chunk_items=1,
    )  # fmt: skip
    for i in range(3):
        state = job_records.JobState.DONE if i == 2 else job_records.JobState.OPEN
        job_header = header(team=f"team{i}", job=f"j{i}", state=state)
        ledger = job_records.encode(claims.Ledger(0.0))
        await store.plat.create(job_records.OPEN, f"000{i}:team{i}:j{i}:u", ledger)
        if i != 1:
            await store.plat.create(
                job_records.JOB, job_header.name, job_records.encode(job_header)
            )
    uses = await open_job_uses.OpenJobUses(store).read(sample())
    assert uses == manifest_rules.NamesInUse(
        services=frozenset({"chat"}),
        models=frozenset({"m"}),
        teams=frozenset({"team0"}),
        priorities=frozenset({"low"}),
    )


async def test_put_in_an_outage_is_refused_as_not_accepted(autojump_clock, vms):
    vms.store.switch(DOWN)
    with pytest.raises(errors.Refusal, match="not accepted") as caught:
        await vms.configs["vm0"].put(FIRST, None)
    assert (caught.value.code, caught.value.ran) == (errors.Code.UNAVAILABLE, errors.Ran.NO)


async def test_vm_started_in_an_outage_takes_the_highest_of_its_peers(autojump_clock, nursery):
    vms = Vms(nursery, 5)
    for i in range(4):
        await vms.start(i)
    first = await vms.configs["vm0"].put(FIRST, None)
    second = await vms.configs["vm0"].put(SECOND, first.version)
    await fleet_helpers.until(lambda: vms.versions() == [second.version] * 4, 3.0)
    vms.store.switch(DOWN)
    late = await vms.start(4)
    await fleet_helpers.until(lambda: late.current() is not None, 3.0)
    assert late.current().version == second.version
    assert not late.current().confirmed
    vms.store.switch(platform_store.Switches())
    await fleet_helpers.until(lambda: late.current().confirmed, 90.0)


async def test_vm_cut_from_the_platform_gets_a_new_version_from_a_peer(autojump_clock, nursery):
    vms = Vms(nursery, 5)
    cut_off = await vms.start(0, platform_store.MemoryPlatform(DOWN))
    for i in range(1, 5):
        await vms.start(i)
    await fleet_helpers.until(lambda: len(vms.states("vm0")) == 5)
    accepted = await vms.configs["vm2"].put(FIRST, None)
    await fleet_helpers.until(lambda: cut_off.current() is not None, 3.0)
    assert cut_off.current().version == accepted.version
    assert not cut_off.current().confirmed


class PlatformLink:
    """A VM's platform client that fails every call while ``closed``."""

    def __init__(self, store):
        self.store = store
        self.closed = False

    def __getattr__(self, call):
        async def passed(*args, **options):
            if self.closed:
                raise platform.UnavailableError("cut off", step=call)
            return await getattr(self.store, call)(*args, **options)

        return passed


async def test_partitioned_failure_domain_keeps_its_version_and_catches_up(autojump_clock, nursery):
    vms = Vms(nursery, 6)
    link = PlatformLink(vms.store)
    for i in range(6):
        await vms.start(i, link if i in (0, 3) else None)
    first = (await vms.configs["vm0"].put(FIRST, None)).version
    await fleet_helpers.until(lambda: vms.versions() == [first] * 6, 3.0)

    vms.cut.on = link.closed = True
    await fleet_helpers.until(lambda: vms.states("vm0")["vm1"] == "dead")
    second = (await vms.configs["vm1"].put(SECOND, first)).version
    connected = [vms.configs[vm] for vm in ("vm1", "vm2", "vm4", "vm5")]
    await fleet_helpers.until(lambda: {c.current().version for c in connected} == {second}, 3.0)
    vms.scopes["vm3"].cancel()
    await fleet_helpers.until(lambda: vms.states("vm0")["vm3"] == "dead")
    restarted = await vms.start(3, link)
    await fleet_helpers.until(lambda: restarted.current() is not None)
    assert restarted.current().version == vms.configs["vm0"].current().version == first
    assert not restarted.current().confirmed

    vms.cut.on = False
    await fleet_helpers.until(lambda: vms.versions() == [second] * 6)
    assert not restarted.current().confirmed
    link.closed = False
    await fleet_helpers.until(lambda: restarted.current().confirmed, 60.0)


class GatewayPeers:
    """Returns a fixed manifest, like the gateway of the worker's own VM."""

    def __init__(self, accepted):
        self.accepted = accepted

    async def fetch(self, member):
        await trio.lowlevel.checkpoint()
        return self.accepted


@pytest.mark.parametrize(("confirmed", "reads"), [(True, 0), (False, 1)])
async def test_worker_fetches_from_its_gateway_before_the_platform(
    autojump_clock, nursery, confirmed, reads
):
    fleet = fleet_helpers.Fleet(nursery, fleet_helpers.make_settings(1))
    member = await fleet.start(0)
    store = platform_store.MemoryPlatform()
    peers = GatewayPeers(ports.AcceptedManifest(sample(), 5, confirmed=confirmed))
    service = configuration.Configuration(fleet.cfgs[0], store, member, peers, is_worker=True)
    await nursery.start(lambda task_status: service.run(task_status.started))
    await fleet_helpers.until(lambda: service.current() == peers.accepted, 1.0)
    await trio.sleep(20)
    assert (store.calls["watch"], min(store.calls["get"], 1)) == (0, reads)


async def test_lower_version_is_never_adopted(autojump_clock, vms):
    base = (await vms.configs["vm0"].put(FIRST, None)).version
    newer = (await vms.configs["vm0"].put(SECOND, base)).version
    await fleet_helpers.until(lambda: vms.versions() == [newer] * 5, 3.0)
    for config in vms.configs.values():
        config._adopt(ports.AcceptedManifest(sample(), base), "an old answer")
    await trio.sleep(120)
    assert vms.versions() == [newer] * 5


async def test_only_some_vms_of_a_failure_domain_watch_the_platform(autojump_clock, nursery):
    vms = Vms(nursery, 5)
    vms.cfgs = [msgspec.structs.replace(cfg, failure_domain="d1") for cfg in vms.cfgs]
    await vms.start_all()
    await trio.sleep(40)
    before = vms.store.calls["watch"]
    await trio.sleep(90)
    assert vms.store.calls["watch"] - before <= 8


class FakeConfiguration(configuration.Configuration):
    def __init__(self):
        self.accepted = ports.AcceptedManifest(sample(), 41, confirmed=False)

    def current(self):
        return self.accepted

    async def put(self, raw, if_match):
        return ports.AcceptedManifest(manifest_rules.decode(raw), (if_match or 0) + 1)


@pytest.fixture
def app(tmp_path):
    (tmp_path / "key").write_bytes(b"test key")
    cfg = msgspec.structs.replace(
        fleet_helpers.make_settings(1)[0],
        peer_key_file=str(tmp_path / "key"),
        operator_key_hashes=(access.hash_key("op"),),
    )
    kern = kernel.Kernel()
    service = FakeConfiguration()
    kern.add(service)
    web_app = quart_trio.QuartTrio(__name__)
    web_app.register_blueprint(manifest_routes.create_blueprint(kern, cfg))

    @web_app.errorhandler(errors.Refusal)
    async def refused(exc):
        return exc.body(), exc.status

    web_app.service = service
    web_app.address = cfg.gateway_address
    return web_app


@pytest.mark.parametrize(
    ("method", "headers", "status"),
    [
        ("GET", {}, 401),
        ("GET", {"Authorization": "Bearer x"}, 403),
        ("GET", {"Authorization": "Bearer op"}, 200),
        ("PUT", {"Authorization": "Bearer op", "If-Match": '"41"'}, 200),
        ("PUT", {"Authorization": "Bearer op", "If-Match": "zzz"}, 400),
    ],
)
async def test_operators_read_and_write_the_manifest(app, method, headers, status):
    client = app.test_client()
    response = await client.open("/v1/manifest", method=method, headers=headers, data=FIRST)
    assert response.status_code == status
    if status == 200:
        assert response.headers["ETag"] == ('"41"' if method == "GET" else '"42"')


@pytest.mark.parametrize("vm", ["vm9", "vm1"])
@pytest.mark.parametrize(("key", "fine"), [(b"test key", True), (b"wrong", False)])
async def test_peer_fetches_the_manifest_with_the_shared_key(app, key, fine, vm):
    app.service.accepted = ports.AcceptedManifest(sample(), 41, confirmed=True)
    key = fleet_helpers.peer_key.derive(key)
    member = ports.Member(vm, "d", "r", 1, ports.MemberState.ALIVE, "", "", app.address)
    async with peer_manifest.HttpPeers(key, "vm1") as peers:
        await peers._client.aclose()
        peers._client = httpx.AsyncClient(transport=AppTransport(app))
        fetch = functools.partial(peers.fetch, member)
        if fine:
            assert await fetch() == ports.AcceptedManifest(sample(), 41, confirmed=vm == "vm1")
        else:
            with pytest.raises(errors.CornelgradeError, match="status 401"):
                await fetch()


class AppTransport(httpx.AsyncBaseTransport):
    def __init__(self, app):
        self.client = app.test_client()

    async def handle_async_request(self, req):
        response = await self.client.get(req.url.path, headers=dict(req.headers))
        body = await response.get_data(as_text=False)
        return httpx.Response(response.status_code, headers=dict(response.headers), content=body)
