import random

import pytest
import trio

from cornelgrade import kernel
from cornelgrade.policy import quarantine as rules
from cornelgrade.services import _subscriptions, ports, quarantine


class Hub:
    """Carries peer messages between services of several VMs at once."""

    def __init__(self):
        self.members = {}
        self.cut = set()

    def view(self, vm):
        return ports.View(
            vm,
            tuple(
                ports.Member(name, "dar", "tz", 1, ports.MemberState.ALIVE, "", "", "")
                for name in self.members
            ),
        )


class Membership:
    name = "membership"

    def __init__(self, vm, hub):
        self.vm = vm
        self.hub = hub
        self.subscriptions = _subscriptions.Subscriptions()
        hub.members[vm] = self

    def view(self):
        return self.hub.view(self.vm)

    def send(self, vm, message):
        if not {vm, self.vm} & self.hub.cut:
            self.hub.members[vm].subscriptions.deliver(message)

    def broadcast(self, message):
        for vm in self.hub.members:
            if vm != self.vm:
                self.send(vm, message)

    def subscribe(self, kind):
        return self.subscriptions.subscribe(kind)

    async def run(self, started):
        started()
        await trio.sleep_forever()


@pytest.fixture
async def fleet(nursery):
    hub = Hub()
    made = {}
    for vm in ("one", "two", "three"):
        kern = kernel.Kernel()
        kern.add(Membership(vm, hub))
        made[vm] = quarantine.Quarantine(kern)
        kern.add(made[vm])
        await nursery.start(kern.run)
    made["hub"] = hub
    return made


@pytest.fixture
async def alone(nursery):
    made = quarantine.Quarantine(kernel.Kernel())
    await nursery.start(lambda task_status: made.run(task_status.started))
    return made


async def test_unknown_request_runs_with_others(autojump_clock, alone):
    assert alone.verdict("x") is ports.Verdict.CLEAR
    assert await alone.settle("x") is ports.Verdict.CLEAR


async def test_everything_in_flight_at_a_crash_runs_alone_until_it_completes(autojump_clock, alone):
    alone.report_crash("engine-1", ("x", "y", "z"))
    assert [alone.verdict(f) for f in "xyz"] == [ports.Verdict.ALONE] * 3
    alone.report_completion("y")
    assert [alone.verdict(f) for f in "xyz"] == [
        ports.Verdict.ALONE,
        ports.Verdict.CLEAR,
        ports.Verdict.ALONE,
    ]


async def test_second_crash_that_it_alone_caused_condemns(autojump_clock, alone):
    alone.report_crash("engine-1", ("x", "y"))
    for engine in ("engine-2", "engine-3"):
        assert await alone.settle("x") is ports.Verdict.ALONE
        alone.report_crash(engine, ("x",))
    assert await alone.settle("x") is ports.Verdict.CONDEMNED
    assert await alone.settle("y") is ports.Verdict.ALONE


async def test_one_crash_reported_by_each_neighbour_counts_once(autojump_clock, alone):
    alone.report_crash("engine-1", ("x", "y"))
    alone.report_crash("engine-1", ("x",))
    alone.report_crash("engine-1", ("x",))
    assert await alone.settle("x") is ports.Verdict.ALONE


async def test_restarting_engine_condemns_no_innocent(autojump_clock, alone):
    for number in range(20):
        assert await alone.settle(f"x{number}") is ports.Verdict.CLEAR
        alone.report_crash("engine-1", (f"x{number}",))
        assert await alone.settle(f"x{number}") is ports.Verdict.ALONE
        alone.report_completion(f"x{number}")
        await trio.sleep(5)


async def test_two_crashes_of_an_engine_that_fails_by_itself_do_not_condemn(autojump_clock, alone):
    alone.report_crash("engine-1", ("other",))
    await trio.sleep(10)
    for _ in range(2):
        assert await alone.settle("x") is not ports.Verdict.CONDEMNED
        alone.report_crash("engine-1", ("x",))
        await trio.sleep(10)
    assert await alone.settle("x") is ports.Verdict.ALONE


async def test_only_engine_of_a_service_is_saved_too(autojump_clock, alone):
    for _ in range(2):
        await alone.settle("x")
        alone.report_crash("engine-1", ("x",))
        await trio.sleep(5)
    assert await alone.settle("x") is ports.Verdict.CONDEMNED


async def test_neighbour_at_another_vm_is_not_condemned(autojump_clock, fleet):
    """Each VM sees one request in flight; only together do they know of the other's."""
    one, two = fleet["one"], fleet["two"]
    for engine in ("engine-1", "engine-2", "engine-3"):
        await one.settle("innocent")
        await two.settle("culprit")
        one.report_crash(engine, ("innocent",))
        two.report_crash(engine, ("culprit",))
        await trio.sleep(0.01)
    assert await one.settle("innocent") is ports.Verdict.ALONE


async def test_culprit_among_new_neighbours_of_other_vms_is_condemned(autojump_clock, fleet):
    one, two = fleet["one"], fleet["two"]
    runs = 0
    while await two.settle("culprit") is not ports.Verdict.CONDEMNED:
        one.report_crash(f"engine-{runs}", (f"new-{runs}", f"newer-{runs}"))
        two.report_crash(f"engine-{runs}", ("culprit",))
        runs += 1
        await trio.sleep(0.01)
        for name in (f"new-{runs - 1}", f"newer-{runs - 1}"):
            assert await one.settle(name) is ports.Verdict.ALONE
            one.report_completion(name)
    assert runs == 3


async def test_resend_at_another_vm_is_condemned_after_two_crashes_in_all(autojump_clock, fleet):
    fleet["one"].report_crash("engine-1", ("x",))
    await trio.sleep(1)
    assert await fleet["two"].settle("x") is ports.Verdict.ALONE
    fleet["two"].report_crash("engine-2", ("x",))
    await trio.sleep(1)
    for vm in ("one", "two", "three"):
        assert await fleet[vm].settle("x") is ports.Verdict.CONDEMNED


async def test_cut_off_vm_still_condemns_by_itself(autojump_clock, fleet):
    fleet["hub"].cut.add("one")
    for engine in ("engine-1", "engine-2"):
        assert await fleet["one"].settle("x") is not ports.Verdict.CONDEMNED
        fleet["one"].report_crash(engine, ("x",))
    assert await fleet["one"].settle("x") is ports.Verdict.CONDEMNED
    assert await fleet["two"].settle("x") is ports.Verdict.CLEAR


async def test_entries_expire(autojump_clock, fleet):
    for engine in ("engine-1", "engine-2"):
        fleet["one"].report_crash(engine, ("x",))
    fleet["one"].report_crash("engine-1", ("y", "z"))
    await trio.sleep(rules.SUSPECT_S + 1)
    assert await fleet["one"].settle("y") is ports.Verdict.CLEAR
    assert await fleet["three"].settle("x") is ports.Verdict.CONDEMNED
    await trio.sleep(rules.CONDEMNED_S)
    for vm in ("one", "two", "three"):
        assert await fleet[vm].settle("x") is ports.Verdict.CLEAR


async def test_memory_is_bounded(autojump_clock, alone):
    for number in range(quarantine.MAX_ENTRIES * 2):
        alone.report_crash("engine-1", (f"x{number}",))
    assert len(alone._entries) <= quarantine.MAX_ENTRIES
    assert len(alone._crashes) <= quarantine.MAX_CRASHES_KEPT


@pytest.mark.parametrize("seed", range(30))
async def test_culprit_is_found_and_every_neighbour_completes(autojump_clock, fleet, seed):
    """Requests of three VMs on six engines; one of them crashes whatever runs it."""
    rng = random.Random(seed)
    vms = ("one", "two", "three")
    waiting = {f"r{number}": rng.choice(vms) for number in range(40)}
    waiting["culprit"] = rng.choice(vms)
    alone_crashes, condemned = 0, set()
    for _ in range(60):
        placed = {f"engine-{number}": {vm: [] for vm in vms} for number in range(6)}
        for name, vm in rng.sample(sorted(waiting.items()), len(waiting)):
            verdict = await fleet[vm].settle(name)
            if verdict is ports.Verdict.CONDEMNED:
                condemned.add(name)
                del waiting[name]
                continue
            engines = list(placed)
            rng.shuffle(engines)
            for engine in engines:
                mine = placed[engine][vm]
                free = not mine if verdict is ports.Verdict.ALONE else len(mine) < 4
                if free and ("alone", vm) not in mine:
                    mine.append(name)
                    if verdict is ports.Verdict.ALONE:
                        mine.append(("alone", vm))
                    break
        for engine, by_vm in placed.items():
            running = {vm: [n for n in names if isinstance(n, str)] for vm, names in by_vm.items()}
            if not any("culprit" in names for names in running.values()):
                for vm, names in running.items():
                    for name in names:
                        fleet[vm].report_completion(name)
                        del waiting[name]
                continue
            alone_crashes += sum(map(len, running.values())) == 1
            for vm, names in running.items():
                if names:
                    fleet[vm].report_crash(engine, tuple(names))
        await trio.sleep(0.1)
        if not waiting:
            break
    assert condemned == {"culprit"}
    assert not waiting
    assert alone_crashes <= 2
