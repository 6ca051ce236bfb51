import random

import pytest
import trio

from cornelgrade import kernel
from cornelgrade.policy import quarantine as rules
from cornelgrade.services import _subscriptions, ports, quarantine


class Hub:
    """Delivers peer messages between services of several VMs without delay."""

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
    services = {}
    for vm in ("one", "two", "three"):
        kern = kernel.Kernel()
        kern.add(Membership(vm, hub))
        services[vm] = quarantine.Quarantine(kern)
        kern.add(services[vm])
        await nursery.start(kern.run)
    services["hub"] = hub
    return services


@pytest.fixture
async def alone(nursery):
    service = quarantine.Quarantine(kernel.Kernel())
    await nursery.start(lambda task_status: service.run(task_status.started))
    return service


async def test_unknown_request_runs_with_others(autojump_clock, alone):
    assert alone.verdict("x") is ports.Verdict.CLEAR
    assert await alone.wait_verdict("x") is ports.Verdict.CLEAR


async def test_requests_in_flight_at_a_crash_run_alone_until_they_complete(autojump_clock, alone):
    alone.report_crash("engine-1", ("x", "y", "z"))
    assert [alone.verdict(f) for f in "xyz"] == [ports.Verdict.ALONE] * 3
    alone.report_completion("y")
    assert [alone.verdict(f) for f in "xyz"] == [
        ports.Verdict.ALONE,
        ports.Verdict.CLEAR,
        ports.Verdict.ALONE,
    ]


async def test_second_crash_caused_by_one_request_alone_quarantines_it(autojump_clock, alone):
    alone.report_crash("engine-1", ("x", "y"))
    for engine in ("engine-2", "engine-3"):
        assert await alone.wait_verdict("x") is ports.Verdict.ALONE
        alone.report_crash(engine, ("x",))
    assert await alone.wait_verdict("x") is ports.Verdict.CONDEMNED
    assert await alone.wait_verdict("y") is ports.Verdict.ALONE


async def test_crash_reported_by_each_neighbour_counts_once(autojump_clock, alone):
    alone.report_crash("engine-1", ("x", "y"))
    alone.report_crash("engine-1", ("x",))
    alone.report_crash("engine-1", ("x",))
    assert await alone.wait_verdict("x") is ports.Verdict.ALONE


async def test_restarting_engine_quarantines_no_innocent_request(autojump_clock, alone):
    for number in range(20):
        assert await alone.wait_verdict(f"x{number}") is ports.Verdict.CLEAR
        alone.report_crash("engine-1", (f"x{number}",))
        assert await alone.wait_verdict(f"x{number}") is ports.Verdict.ALONE
        alone.report_completion(f"x{number}")
        await trio.sleep(5)


async def test_two_crashes_of_an_unstable_engine_do_not_quarantine(autojump_clock, alone):
    alone.report_crash("engine-1", ("other",))
    await trio.sleep(10)
    for _ in range(2):
        assert await alone.wait_verdict("x") is not ports.Verdict.CONDEMNED
        alone.report_crash("engine-1", ("x",))
        await trio.sleep(10)
    assert await alone.wait_verdict("x") is ports.Verdict.ALONE


async def test_culprit_is_quarantined_on_a_service_with_one_engine(autojump_clock, alone):
    for _ in range(2):
        await alone.wait_verdict("x")
        alone.report_crash("engine-1", ("x",))
        await trio.sleep(5)
    assert await alone.wait_verdict("x") is ports.Verdict.CONDEMNED


async def test_neighbour_at_another_vm_is_not_quarantined(autojump_clock, fleet):
    """Each VM sees only its own request in flight; its peers' reports add the others."""
    one, two = fleet["one"], fleet["two"]
    for engine in ("engine-1", "engine-2", "engine-3"):
        await one.wait_verdict("innocent")
        await two.wait_verdict("culprit")
        one.report_crash(engine, ("innocent",))
        two.report_crash(engine, ("culprit",))
        await trio.sleep(0.01)
    assert await one.wait_verdict("innocent") is ports.Verdict.ALONE


async def test_culprit_among_changing_neighbours_of_other_vms_is_quarantined(autojump_clock, fleet):
    one, two = fleet["one"], fleet["two"]
    runs = 0
    while await two.wait_verdict("culprit") is not ports.Verdict.CONDEMNED:
        one.report_crash(f"engine-{runs}", (f"new-{runs}", f"newer-{runs}"))
        two.report_crash(f"engine-{runs}", ("culprit",))
        runs += 1
        await trio.sleep(0.01)
        for name in (f"new-{runs - 1}", f"newer-{runs - 1}"):
            assert await one.wait_verdict(name) is ports.Verdict.ALONE
            one.report_completion(name)
    assert runs == 3


async def test_resend_at_another_vm_is_quarantined_after_two_crashes_in_total(
    autojump_clock, fleet
):
    fleet["one"].report_crash("engine-1", ("x",))
    await trio.sleep(1)
    assert await fleet["two"].wait_verdict("x") is ports.Verdict.ALONE
    fleet["two"].report_crash("engine-2", ("x",))
    await trio.sleep(1)
    for vm in ("one", "two", "three"):
        assert await fleet[vm].wait_verdict("x") is ports.Verdict.CONDEMNED


async def test_cut_off_vm_still_condemns_by_itself(autojump_clock, fleet):
    fleet["hub"].cut.add("one")
    for engine in ("engine-1", "engine-2"):
        assert await fleet["one"].wait_verdict("x") is not ports.Verdict.CONDEMNED
        fleet["one"].report_crash(engine, ("x",))
    assert await fleet["one"].wait_verdict("x") is ports.Verdict.CONDEMNED
    assert await fleet["two"].wait_verdict("x") is ports.Verdict.CLEAR


async def test_entries_expire(autojump_clock, fleet):
    for engine in ("engine-1", "engine-2"):
        fleet["one"].report_crash(engine, ("x",))
    fleet["one"].report_crash("engine-1", ("y", "z"))
    await trio.sleep(rules.SUSPECT_S + 1)
    assert await fleet["one"].wait_verdict("y") is ports.Verdict.CLEAR
    assert await fleet["three"].wait_verdict("x") is ports.Verdict.CONDEMNED
    await trio.sleep(rules.QUARANTINE_S)
    for vm in ("one", "two", "three"):
        assert await fleet[vm].wait_verdict("x") is ports.Verdict.CLEAR


async def test_memory_is_bounded(autojump_clock, alone):
    for number in range(quarantine.MAX_ENTRIES * 2):
        alone.report_crash("engine-1", (f"x{number}",))
    assert len(alone._entries) <= quarantine.MAX_ENTRIES
    assert len(alone._crashes) <= quarantine.MAX_CRASHES_KEPT


# Guards against a request that stays quarantined although it completed.
async def test_quarantined_request_that_completes_is_released_for_good(autojump_clock, alone):
    decisions = alone.subscribe_decisions()
    for engine in ("engine-1", "engine-2"):
        await alone.wait_verdict("x")
        alone.report_crash(engine, ("x",))
        await trio.sleep(1.0)
    assert not alone.item_may_run("x")
    alone.report_completion("x")
    assert alone.verdict("x") is ports.Verdict.CLEAR
    assert [decisions.receive_nowait().expires_s > 0 for _ in range(2)] == [True, False]


# Guards against quarantining a text that many callers send because upstreams crash beside it.
async def test_request_that_completed_recently_is_not_blamed_for_crashes(autojump_clock, alone):
    alone.report_completion("x")
    for engine in ("engine-1", "engine-2", "engine-3"):
        alone.report_crash(engine, ("x", "y"))
        assert await alone.wait_verdict("x") is ports.Verdict.CLEAR
    assert await alone.wait_verdict("y") is ports.Verdict.CONDEMNED
    await trio.sleep(quarantine.COMPLETED_TTL_S)
    alone.report_crash("engine-1", ("x",))
    assert await alone.wait_verdict("x") is ports.Verdict.ALONE


# Guards against quarantining a text that many callers send, each of whose runs met a crash that
# another request caused. Such requests share a fingerprint, so their crashes add up.
async def test_text_of_many_callers_is_not_quarantined_for_crashes_of_another_request(
    autojump_clock, fleet
):
    for number in range(rules.MAX_CRASHES_SEEN):
        for vm in ("one", "two"):
            await fleet[vm].wait_verdict("text")
        await fleet["three"].wait_verdict(f"culprit-{number}")
        for vm in ("one", "two"):
            fleet[vm].report_crash(f"engine-{number}", ("text",))
        fleet["three"].report_crash(f"engine-{number}", (f"culprit-{number}",))
        await trio.sleep(1.0)
    assert fleet["one"].verdict("text") is not ports.Verdict.CONDEMNED


# Guards against counting one crash once for each VM from which the same request was in flight.
async def test_crash_counts_once_for_a_request_in_flight_from_several_vms(autojump_clock, fleet):
    vms = ("one", "two", "three")
    for engine, verdict in (
        ("engine-1", ports.Verdict.ALONE),
        ("engine-2", ports.Verdict.CONDEMNED),
    ):
        for vm in vms:
            assert await fleet[vm].wait_verdict("x") is not ports.Verdict.CONDEMNED
        for vm in vms:
            fleet[vm].report_crash(engine, ("x",))
        await trio.sleep(1.0)
        assert [fleet[vm].verdict("x") for vm in vms] == [verdict] * 3


# Guards against VMs that go on suspecting a request which completed at another VM.
async def test_completion_at_one_vm_clears_the_request_at_all(autojump_clock, fleet):
    fleet["one"].report_crash("engine-1", ("x", "y"))
    await trio.sleep(1.0)
    assert fleet["two"].verdict("x") is ports.Verdict.ALONE
    fleet["three"].report_completion("x")
    await trio.sleep(0.1)
    assert [fleet[vm].verdict("x") for vm in ("one", "two", "three")] == [ports.Verdict.CLEAR] * 3
    assert fleet["two"].verdict("y") is ports.Verdict.ALONE


@pytest.mark.parametrize("seed", range(30))
async def test_culprit_is_found_and_every_neighbour_completes(autojump_clock, fleet, seed):
    """Requests of three VMs run on six engines; one request crashes every engine that runs it."""
    rng = random.Random(seed)
    vms = ("one", "two", "three")
    waiting = {f"r{number}": rng.choice(vms) for number in range(40)}
    waiting["culprit"] = rng.choice(vms)
    alone_crashes, quarantined = 0, set()
    for _ in range(60):
        placed = {f"engine-{number}": {vm: [] for vm in vms} for number in range(6)}
        for name, vm in rng.sample(sorted(waiting.items()), len(waiting)):
            verdict = await fleet[vm].wait_verdict(name)
            if verdict is ports.Verdict.CONDEMNED:
                quarantined.add(name)
                del waiting[name]
                continue
            engines = list(placed)
            rng.shuffle(engines)
            for engine in engines:
                own_requests = placed[engine][vm]
                free = not own_requests if verdict is ports.Verdict.ALONE else len(own_requests) < 4
                if free and ("alone", vm) not in own_requests:
                    own_requests.append(name)
                    if verdict is ports.Verdict.ALONE:
                        own_requests.append(("alone", vm))
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
    assert quarantined == {"culprit"}
    assert not waiting
    assert alone_crashes <= 2


# Guards against blaming a text at one VM that has just completed at another, for the next crash.
async def test_completion_at_one_vm_protects_the_request_from_blame_at_all(autojump_clock, fleet):
    fleet["one"].report_crash("engine-1", ("x", "y"))
    await trio.sleep(1.0)
    fleet["three"].report_completion("x")
    await trio.sleep(0.1)
    fleet["two"].report_crash("engine-2", ("x", "y"))
    assert fleet["two"].verdict("x") is ports.Verdict.CLEAR
    assert fleet["two"].verdict("y") is ports.Verdict.ALONE
