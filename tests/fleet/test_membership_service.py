import socket

import fleet_helpers
import trio

from cornelgrade import addresses
from cornelgrade.adapters import datagrams
from cornelgrade.services import ports, worker_membership


async def test_five_members_discover_each_other_through_seeds(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = fleet_helpers.Fleet(nursery, fleet_helpers.make_settings(5))
        await fleet.start_all()
        all_alive = {f"vm{i}": "alive" for i in range(5)}
        await fleet_helpers.until(
            lambda: all(fleet.states(vm) == all_alive for vm in fleet.members), 5.0
        )
        nursery.cancel_scope.cancel()


async def test_cut_between_failure_domains_splits_and_heals_without_restarts(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = fleet_helpers.Fleet(nursery, fleet_helpers.make_settings(5))
        await fleet.start_all()
        await fleet_helpers.until(lambda: all(len(fleet.states(vm)) == 5 for vm in fleet.members))
        fleet.cut.on = True
        partitioned = {"vm0": "alive", "vm1": "dead", "vm2": "dead", "vm3": "alive", "vm4": "dead"}
        await fleet_helpers.until(lambda: fleet.states("vm0") == partitioned)
        await trio.sleep(60)
        assert fleet.states("vm0") == partitioned
        fleet.cut.on = False
        all_alive = dict.fromkeys(partitioned, "alive")
        await fleet_helpers.until(
            lambda: all(fleet.states(vm) == all_alive for vm in fleet.members)
        )
        nursery.cancel_scope.cancel()


async def test_stopped_member_is_leaving_immediately_and_dead_later(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = fleet_helpers.Fleet(nursery, fleet_helpers.make_settings(5))
        await fleet.start_all()
        await fleet_helpers.until(lambda: all(len(fleet.states(vm)) == 5 for vm in fleet.members))
        fleet.scopes["vm4"].cancel()
        others = ["vm0", "vm1", "vm2", "vm3"]
        await fleet_helpers.until(
            lambda: all(fleet.states(vm)["vm4"] == "leaving" for vm in others), 1.0
        )
        await fleet_helpers.until(
            lambda: all(fleet.states(vm)["vm4"] == "dead" for vm in others), 10.0
        )
        nursery.cancel_scope.cancel()


async def test_restarted_member_rejoins_with_a_later_incarnation(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = fleet_helpers.Fleet(nursery, fleet_helpers.make_settings(3))
        await fleet.start_all()
        await fleet_helpers.until(lambda: all(len(fleet.states(vm)) == 3 for vm in fleet.members))
        fleet.scopes["vm2"].cancel()
        await fleet_helpers.until(lambda: fleet.states("vm0")["vm2"] == "dead")
        await fleet.start(2)
        await fleet_helpers.until(lambda: fleet.states("vm0")["vm2"] == "alive")
        nursery.cancel_scope.cancel()


async def test_messages_reach_one_gateway_or_all_of_them(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = fleet_helpers.Fleet(nursery, fleet_helpers.make_settings(5))
        await fleet.start_all()
        await fleet_helpers.until(lambda: all(len(fleet.states(vm)) == 5 for vm in fleet.members))
        received = {vm: member.subscribe(ports.Leaving) for vm, member in fleet.members.items()}
        fleet.members["vm0"].send("vm1", ports.Leaving("engine-1"))
        fleet.members["vm0"].broadcast(ports.Leaving("engine-2"))
        with trio.fail_after(5.0):
            assert await received["vm1"].receive() == ports.Leaving("engine-1")
            for vm in ("vm1", "vm2", "vm3", "vm4"):
                assert await received[vm].receive() == ports.Leaving("engine-2")
        await trio.sleep(5.0)
        for vm in received:
            assert received[vm].statistics().current_buffer_used == 0
        nursery.cancel_scope.cancel()


async def test_version_in_force_is_announced_to_the_others(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = fleet_helpers.Fleet(nursery, fleet_helpers.make_settings(5))
        await fleet.start_all()
        await fleet_helpers.until(lambda: all(len(fleet.states(vm)) == 5 for vm in fleet.members))
        received = fleet.members["vm4"].subscribe(ports.VersionAnnounced)
        fleet.members["vm0"].set_version(17)
        with trio.fail_after(1.0):
            assert await received.receive() == ports.VersionAnnounced("vm0", 17)
        nursery.cancel_scope.cancel()


async def test_worker_gets_the_view_from_its_gateway_and_loads_from_other_gateways(autojump_clock):
    async with trio.open_nursery() as nursery:
        cfgs = fleet_helpers.make_settings(4)
        fleet = fleet_helpers.Fleet(nursery, cfgs)
        await fleet.start_all()
        worker = worker_membership.WorkerMembership(cfgs[0], fleet_helpers.KEY)
        await nursery.start(lambda task_status: worker.run(task_status.started))
        await fleet_helpers.until(lambda: len(worker.view().usable()) == 4, 5.0)
        loads = worker.subscribe(ports.Load)
        leaving = worker.subscribe(ports.Leaving)
        fleet.members["vm3"].send("vm0", ports.Load("engine-1", 3, 1))
        fleet.members["vm3"].broadcast(ports.Leaving("engine-1"))
        at_vm2 = fleet.members["vm2"].subscribe(ports.Quarantined)
        worker.broadcast(ports.Quarantined("f" * 64, 2, 60.0))
        with trio.fail_after(5.0):
            assert await loads.receive() == ports.Load("engine-1", 3, 1, vm="vm3")
            assert await leaving.receive() == ports.Leaving("engine-1")
            assert await at_vm2.receive() == ports.Quarantined("f" * 64, 2, 60.0)
        nursery.cancel_scope.cancel()


async def test_worker_that_starts_before_its_gateway_gets_the_view_at_once(autojump_clock):
    async with trio.open_nursery() as nursery:
        cfgs = fleet_helpers.make_settings(2)
        fleet = fleet_helpers.Fleet(nursery, cfgs)
        worker = worker_membership.WorkerMembership(cfgs[0], fleet_helpers.KEY)
        await nursery.start(lambda task_status: worker.run(task_status.started))
        await trio.sleep(0.3)
        await fleet.start_all()
        await fleet_helpers.until(lambda: len(fleet.states("vm0")) == 2, 1.0)
        await fleet_helpers.until(lambda: len(worker.view().usable()) == 2, 0.5)
        nursery.cancel_scope.cancel()


async def test_wrong_key_replay_and_garbage_are_dropped_and_counted(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = fleet_helpers.Fleet(nursery, fleet_helpers.make_settings(2))
        await fleet.start_all()
        await fleet_helpers.until(lambda: len(fleet.states("vm0")) == 2)
        target = addresses.split_host_port(fleet.cfgs[0].peer_address)
        payload = b"not capnp"
        tag = fleet_helpers.KEY.tag(fleet.cfgs[0].peer_address.encode(), payload)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b"x" * 100, target)
            sock.sendto(b"x" * 1300, target)
            sock.sendto(tag + payload, target)
        dropped = fleet.members["vm0"].dropped
        await fleet_helpers.until(lambda: len(dropped()) == 3, 2.0)
        assert dropped() == {
            datagrams.DropReason.WRONG_KEY: 1,
            datagrams.DropReason.OVERSIZE: 1,
            datagrams.DropReason.MALFORMED: 1,
        }
        nursery.cancel_scope.cancel()
