import json

import fleet_helpers
import msgspec
import pytest
import trio

from cornelgrade import errors, kernel, manifest
from cornelgrade.adapters import engine
from cornelgrade.policy import reconcile
from cornelgrade.services import ports, reconciler
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, memory_engine, platform_store

OLD, NEW = engine.Loaded("m", 1), engine.Loaded("m", 2)


class Pool:
    name = "upstreams"

    def __init__(self, engines):
        self.engines = engines

    def get(self, name):
        return self.engines[name]


class FakeMembership:
    name = "membership"

    def __init__(self, cfg, vms):
        self.cfg, self.vms = cfg, vms

    def view(self):
        alive = ports.MemberState.ALIVE
        domain = self.cfg.failure_domain
        members = tuple(ports.Member(vm, domain, "r", 1, alive, "", "", "") for vm in self.vms)
        return ports.View(self.cfg.vm, members)


class FakeConfiguration:
    name = "configuration"

    def __init__(self, accepted):
        self.accepted = accepted

    def current(self):
        return self.accepted


def fleet_manifest(names, version, role="mixed", checks_fencing=False):
    return manifest.Manifest(
        services=(manifest.Service("chat", models=("m",)),),
        priorities=(),
        teams=(),
        upstreams=tuple(
            manifest.Upstream(
                name, "chat", "d1", f"10.0.0.{i + 1}:80", 8, checks_fencing, role=role
            )
            for i, name in enumerate(names)
        ),
        models=(manifest.Model("m", version),),
    )


class Domain:
    """One failure domain: in-memory engines and a reconciler on each of its VMs."""

    def __init__(self, nursery, engines=3, **options):
        self.nursery = nursery
        self.store = platform_store.MemoryPlatform()
        cfg = engine_model.Config(models=(OLD,), order_s=3.0, **options)
        self.standins = {f"e{i}": engine_standin.Engine(f"e{i}", cfg) for i in range(engines)}
        self.pool = Pool({n: memory_engine.MemoryEngine(e) for n, e in self.standins.items()})
        self.configured = FakeConfiguration(
            ports.AcceptedManifest(fleet_manifest(self.standins, 1), 1)
        )
        self.reconcilers, self.scopes = [], []

    async def start(self, vms=1, **options):
        for standin in self.standins.values():
            await self.nursery.start(standin.run)
        names = [f"vm{i}" for i in range(vms)]
        for vm in names:
            cfg = msgspec.structs.replace(
                fleet_helpers.make_settings(1)[0], vm=vm, failure_domain="d1"
            )
            kern = kernel.Kernel()
            for dependency in (FakeMembership(cfg, names), self.configured, self.pool):
                kern.add(dependency)
            service = reconciler.Reconciler(kern, cfg, self.store, **options)
            self.reconcilers.append(service)
            self.scopes.append(self._run(service))
            await trio.sleep(0.1)

    def _run(self, service):
        scope = trio.CancelScope()

        async def run():
            with scope:
                await service.run(lambda: None)

        self.nursery.start_soon(run)
        return scope

    def want(self, version, **changes):
        wanted = fleet_manifest(self.standins, version, **changes)
        self.configured.accepted = ports.AcceptedManifest(
            wanted, self.configured.accepted.version + 1
        )

    def versions(self):
        return [
            state.models[0].version for state in map(lambda e: e.state(), self.standins.values())
        ]


async def test_new_version_rolls_out_and_loses_no_request(autojump_clock, nursery):
    domain = Domain(nursery)
    await domain.start()
    failures = []

    async def ask(i):
        name = f"e{i % 3}"
        body = json.dumps({"model": "m", "prompt": f"question {i}", "max_tokens": 40}).encode()
        call = engine.Call(f"s{i}", "POST", "/v1/completions", body)
        try:
            async with domain.pool.get(name).call(call) as answer:
                chunks = [chunk async for chunk in answer.chunks()]
                if answer.status != 200 or not chunks:
                    failures.append((i, answer.status))
        except errors.CornelgradeError as exc:
            failures.append((i, exc.format_message()))

    async def load():
        async with trio.open_nursery() as calls:
            for i in range(300):
                calls.start_soon(ask, i)
                await trio.sleep(0.1)

    changing_counts = []

    async def watch():
        while domain.versions() != [2, 2, 2]:
            changing_counts.append(sum(seen.ordered != "" for seen in service._observed.values()))
            await trio.sleep(0.1)

    service = domain.reconcilers[0]
    async with trio.open_nursery() as both:
        both.start_soon(load)
        await trio.sleep(2)
        domain.want(2)
        with trio.fail_after(28):
            await watch()
    assert failures == []
    assert max(changing_counts) == 1
    await trio.sleep(2)
    assert [s.why for s in service.standings()] == [reconcile.MATCHES] * 3


async def test_roles_are_changed_and_published(autojump_clock, nursery):
    domain = Domain(nursery)
    await domain.start()
    domain.want(1, role="decode")
    await fleet_helpers.until(
        lambda: all(standin.state().role == "decode" for standin in domain.standins.values()), 20
    )
    await trio.sleep(6)
    stored = await domain.store.get(reconciler.KIND, "d1")
    published = msgspec.json.decode(stored.value, type=reconciler.Published)
    assert (published.holder, published.epoch, published.manifest_version) == ("vm0", 1, 2)
    assert (published.matching, published.differing) == (3, ())


async def test_engine_that_lost_its_models_reloads_them(autojump_clock, nursery):
    domain = Domain(nursery)
    await domain.start()
    await trio.sleep(5)
    await domain.standins["e1"].order(engine.Order(engine.OrderKind.UNLOAD, 1, model="m"))
    await fleet_helpers.until(lambda: domain.standins["e1"].state().models == (OLD,), 60)


async def test_unreachable_engine_delays_the_others_and_is_reported(autojump_clock, nursery):
    domain = Domain(nursery)
    await domain.start()
    await trio.sleep(2)
    domain.standins["e0"].switch(engine_standin.Switches(crash=True, restart_s=30.0))
    await trio.sleep(35)
    domain.standins["e0"].switch(engine_standin.Switches(freeze=True))
    domain.want(2)
    await trio.sleep(60)
    assert domain.standins["e1"].state().models == (OLD,)
    whys = {s.upstream: s.why for s in domain.reconcilers[0].standings()}
    assert whys["e0"] == "it can't be reached"
    assert "at most 1 of 3" in whys["e1"]
    assert len(domain.reconcilers[0].report().degraded) == 3


async def test_loads_stay_within_the_weight_stores_rate(autojump_clock, nursery):
    domain = Domain(nursery, engines=6)
    await domain.start(budget=reconciler.LoadBudget(per_minute=2.0, burst=1))
    domain.want(2)
    await trio.sleep(65)
    assert 2 <= domain.versions().count(2) <= 3


@pytest.mark.parametrize(
    ("graceful", "checks_fencing"), [(True, False), (False, False), (False, True)]
)
async def test_successor_continues_with_the_next_epoch(
    autojump_clock, nursery, graceful, checks_fencing
):
    domain = Domain(nursery, checks_fencing=checks_fencing)
    domain.want(1, checks_fencing=checks_fencing)
    await domain.start(vms=2)
    await trio.sleep(2)
    first, second = domain.reconcilers
    assert first._lease.held().record.epoch == 1
    assert "vm0" in second.standings()[0].why
    if not graceful:
        first._lease._order_outcome_unknown = True
    domain.scopes[0].cancel()
    started_at_s = trio.current_time()
    await second._lease.wait_until_held()
    waited_s = trio.current_time() - started_at_s
    longest_s = 10.0 + (0.0 if checks_fencing else 2 * reconciler.ORDER_TIMEOUT_S)
    assert (waited_s < 5) if graceful else (longest_s - 4 <= waited_s <= longest_s + 5)
    domain.want(2)
    await fleet_helpers.until(lambda: domain.versions() == [2, 2, 2], 60)
    assert {standin.state().fencing for standin in domain.standins.values()} == {2}
