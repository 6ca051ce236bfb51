"""Plans that the store does not deliver to a VM and that it gets from its peers."""

import dataclasses
import zlib

import msgspec
import pytest
import trio

from cornelgrade import routes
from cornelgrade.adapters import platform
from cornelgrade.platform.standins import edge_system
from cornelgrade.policy import teams
from cornelgrade.services.edge import fleet, peer_calls, plan_exchange

CURRENT_WITHIN_S = 2.0


def make_plan(version, *keys):
    team = routes.Team("a", tuple(teams.digest_key(key) for key in keys))
    return dataclasses.replace(edge_system.make_plan(version), teams=(team,))


def find_fleet(system, node):
    return system.nodes[node].kern.find("fleet", fleet.Fleet)


async def wait_for_version(system, node, version):
    with trio.fail_after(CURRENT_WITHIN_S):
        while find_fleet(system, node).plan_version() < version:
            await trio.sleep(0.02)


async def send(system, gateway, key, request):
    path = edge_system.ONCE_PREFIX
    return (await system.send_online(gateway, path, request, x_key=key)).status


# Guards against a revoked key that stays valid at a VM whose view of the store is cut.
async def test_revoked_key_is_refused_at_a_gateway_that_the_store_does_not_reach():
    async with edge_system.run_system(gateways=2, workers=1) as system:
        await system.plan(make_plan(2, b"old", b"new"))
        await wait_for_version(system, "gateway-0", 2)
        system.nodes["gateway-0"].store.loses_watches = True
        assert await send(system, "gateway-0", "old", "r0") == 200
        await system.plan(make_plan(3, b"new"))
        await wait_for_version(system, "gateway-0", 3)
        assert await send(system, "gateway-0", "old", "r1") == 401
        assert await send(system, "gateway-0", "new", "r2") == 200


# Guards against workers, which nobody forwards requests to, that miss a plan.
async def test_worker_gets_a_plan_from_a_gateway():
    async with edge_system.run_system(gateways=2, workers=1) as system:
        system.nodes["worker-0"].store.loses_watches = True
        await system.plan(make_plan(2, b"key"))
        await wait_for_version(system, "worker-0", 2)


# Guards against a gateway that starts while the store rejects it and serves nobody, although its
# peers know the plan. No worker sends it datagrams, so it has to ask.
async def test_gateway_that_starts_without_the_store_gets_the_plan(monkeypatch):
    watch = edge_system.VmStore.watch

    async def reject(self, kind, *args, **kwargs):
        if kind == "plans" and edge_system.CURRENT_NODE.get() == "gateway-new":
            raise platform.UnavailableError("rejected", step="watch")
        return await watch(self, kind, *args, **kwargs)

    monkeypatch.setattr(edge_system.VmStore, "watch", reject)
    async with edge_system.run_system(gateways=2) as system:
        await system.start_gateway("gateway-new")
        with trio.fail_after(CURRENT_WITHIN_S):
            await system.wait_until_ready("gateway-new")


# Guards against a peer, perhaps of another build, whose plan stops a process or takes effect.
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"no plan",
        zlib.compress(b"\xc1"),
        zlib.compress(msgspec.msgpack.encode({"version": "seven"})),
        zlib.compress(b"\0" * 20_000_000),
        plan_exchange.encode(make_plan(1)),
    ],
    ids=["empty", "not compressed", "not msgpack", "wrong type", "huge", "older"],
)
async def test_unusable_plan_of_a_peer_is_ignored(monkeypatch, body):
    async with edge_system.run_system(gateways=2, workers=1) as system:
        await system.plan(make_plan(2, b"key"))
        await wait_for_version(system, "gateway-0", 2)
        system.nodes["gateway-0"].store.loses_watches = True
        with monkeypatch.context() as patch:
            patch.setattr(plan_exchange, "encode", lambda plan: body)
            await system.plan(make_plan(3))
            await trio.sleep(1.0)
            assert find_fleet(system, "gateway-0").plan_version() == 2
        await system.plan(make_plan(4, b"key"))
        await wait_for_version(system, "gateway-0", 4)
        assert await send(system, "gateway-0", "key", "r0") == 200


# Guards against a fetch by each VM for each change while the store delivers it to all.
async def test_nobody_fetches_a_plan_that_the_store_delivers(monkeypatch):
    fetched = []
    call = peer_calls.PeerCalls.call

    async def record(self, vm, target, *args):
        fetched.append(target)
        return await call(self, vm, target, *args)

    monkeypatch.setattr(peer_calls.PeerCalls, "call", record)
    async with edge_system.run_system(gateways=4, workers=2) as system:
        for version in range(2, 7):
            await system.plan(make_plan(version, b"key"))
            await trio.sleep(0.3)
        assert find_fleet(system, "gateway-0").plan_version() == 6
    assert plan_exchange.PATH not in fetched


def test_plan_of_a_newer_build_is_decoded():
    plan = make_plan(7, b"key")
    newer = {**msgspec.to_builtins(plan, builtin_types=(bytes,)), "added_later": [1, 2]}
    raw = zlib.compress(msgspec.msgpack.encode(newer))
    assert plan_exchange.decode(raw) == plan == plan_exchange.decode(plan_exchange.encode(plan))
