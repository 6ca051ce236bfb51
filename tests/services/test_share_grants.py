import contextlib
import random

import trio
from tests import fakes
from tests.services import test_online

from cornelgrade import kernel, settings
from cornelgrade.services import load_reports, online, router, share_grants

SLOTS = 12


def make_vm(bus, vm, upstream):
    """Assemble a gateway, and the share grants of its worker in the same process."""
    cfg = settings.Settings(
        vm=vm,
        failure_domain="dar-kariakoo",
        gateway_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        worker_address="127.0.0.1:3",
        platform_url="http://127.0.0.1:4",
        peer_key_file="",
    )
    kern = kernel.Kernel()
    kern.add(fakes.FixedConfiguration(fakes.make_manifest(upstreams=1, slots=SLOTS)))
    kern.add(fakes.FakeUpstreams(upstream))
    kern.add(bus.join(vm))
    kern.add(router.Router(kern, cfg.failure_domain, random.Random(vm)))
    kern.add(online.Online(kern))
    kern.add(load_reports.LoadReports(kern, cfg))
    kern.add(share_grants.ShareGrants(kern, cfg))
    return kern


@contextlib.asynccontextmanager
async def three_vms():
    bus = fakes.Bus()
    upstream = fakes.ScriptedUpstream("engine-0", fakes.Script(tokens=10**6, token_s=1.0))
    kernels = {vm: make_vm(bus, vm, upstream) for vm in ("vm-a", "vm-b", "vm-c")}
    async with trio.open_nursery() as nursery:
        for kern in kernels.values():
            await nursery.start(kern.run)
        yield bus, kernels, nursery
        nursery.cancel_scope.cancel()


def start_requests(nursery, kern, count):
    service = kern.find("online", online.Online)
    for number in range(count):
        req = test_online.request(number, deadline_s=trio.current_time() + 10**6)
        nursery.start_soon(test_online.collect_response, service, req)


def outstanding(kern):
    return kern.find("router", router.Router).outstanding("engine-0")


async def test_busy_gateway_gets_the_slots_that_idle_gateways_do_not_use(autojump_clock):
    async with three_vms() as (_, kernels, nursery):
        start_requests(nursery, kernels["vm-a"], 40)
        await trio.sleep(2)
        assert SLOTS - 2 <= outstanding(kernels["vm-a"]) <= SLOTS


async def test_busy_gateways_get_equal_shares_that_add_up_to_the_slots(autojump_clock):
    async with three_vms() as (_, kernels, nursery):
        for kern in kernels.values():
            start_requests(nursery, kern, 40)
        await trio.sleep(2)
        assert [outstanding(kern) for kern in kernels.values()] == [SLOTS // 3] * 3


async def test_slots_of_a_gateway_that_died_go_to_the_others(autojump_clock):
    async with three_vms() as (bus, kernels, nursery):
        for vm in ("vm-a", "vm-b"):
            start_requests(nursery, kernels[vm], 40)
        await trio.sleep(2)
        bus.unreachable.add("vm-c")
        await trio.sleep(12)
        assert outstanding(kernels["vm-a"]) + outstanding(kernels["vm-b"]) == SLOTS


async def test_upstream_elsewhere_is_used_when_its_owner_grants_no_share(autojump_clock):
    async with three_vms() as (bus, kernels, nursery):
        for vm in ("vm-b", "vm-c"):
            bus.not_receiving.add(vm)
        bus.members["vm-a"].failure_domain = "dar-msasani"
        kernels["vm-a"].find("router", router.Router)._table._failure_domain = "dar-msasani"
        await trio.sleep(5)
        start_requests(nursery, kernels["vm-a"], 40)
        await trio.sleep(2)
        assert outstanding(kernels["vm-a"]) == SLOTS // 4
