import contextlib

import pytest
import trio

from cornelgrade import errors, kernel
from cornelgrade.adapters import platform
from cornelgrade.services import _backlog, drain, ports, records
from cornelgrade.standins import platform_store

EPOCH_S = 1_700_000_000.0


def claim(key="k", body="b", *, idempotent=False, wait_s=5.0):
    return ports.Claim("afya", key, f"req-{key}", f"digest-{body}", idempotent, wait_s)


def answer(text="done"):
    return ports.StoredAnswer(200, "text/plain", text.encode())


class Fleet:
    """Record services of several VMs over one platform."""

    def __init__(self, nursery):
        self.store = platform_store.MemoryPlatform(
            platform_store.Switches(writes_per_s=0, reads_per_s=0)
        )
        self.dead = set()
        self._nursery = nursery

    async def vm(self, name, **kw):
        made = records.Records(
            self.store,
            name,
            dead=lambda vm: vm in self.dead,
            clock=lambda: EPOCH_S + trio.current_time(),
            **kw,
        )

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            with trio.CancelScope() as made.scope:
                await made.run(task_status.started)

        await self._nursery.start(run)
        return made

    def switch(self, **kw):
        kw = {"writes_per_s": 0, "reads_per_s": 0, **kw}
        self.store.switch(platform_store.Switches(**kw))


@pytest.fixture
async def fleet(nursery):
    return Fleet(nursery)


async def outcome(awaitable_fn, *args):
    """Give a result or the refusal in its place."""
    try:
        return await awaitable_fn(*args)
    except errors.Refusal as exc:
        return exc


async def test_first_attempt_runs_and_resend_elsewhere_gets_its_bytes(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    run = await one.begin(claim())
    assert isinstance(run, ports.ClaimedRun)
    assert await one.finish(run, answer("sent"))
    assert await two.begin(claim()) == answer("sent")
    assert await two.lookup("afya", "k") == answer("sent")
    assert await two.lookup("other", "k") is None


async def test_other_body_under_the_same_key_is_a_conflict(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    await one.begin(claim())
    for vm in (one, two):
        refusal = await outcome(vm.begin, claim(body="other"))
        assert refusal.code is errors.Code.CONFLICT
        assert refusal.ran is errors.Ran.NO


@pytest.mark.parametrize("lost", [0, 1, 2, 3])
async def test_same_key_at_two_vms_at_once_runs_once(autojump_clock, fleet, lost):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    fleet.switch(lose_answers=lost)
    runs, got = [], []

    async def attempt(vm):
        result = await vm.begin(claim())
        if isinstance(result, ports.ClaimedRun):
            runs.append(result)
            await trio.sleep(0.3)
            await vm.finish(result, answer())
            result = answer()
        got.append(result)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(attempt, one)
        nursery.start_soon(attempt, two)
    assert len(runs) == 1
    assert got == [answer(), answer()]


async def test_twin_at_the_same_vm_joins_the_running_attempt(autojump_clock, fleet):
    one = await fleet.vm("one")
    run = await one.begin(claim())
    got = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: collect(got, one.begin(claim())))
        await trio.sleep(1)
        await one.finish(run, answer())
    assert [item.body for item in got] == [b"done"]


async def collect(into, coroutine):
    into.append(await coroutine)


async def test_twin_of_a_run_that_does_not_end_is_told_so(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    await one.begin(claim())
    for vm in (one, two):
        refusal = await outcome(vm.begin, claim(wait_s=1.0))
        assert (refusal.code, refusal.ran) == (errors.Code.DEADLINE, errors.Ran.UNKNOWN)


async def test_run_of_a_dead_vm_is_unknown_and_never_runs_again(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    await one.begin(claim())
    one.scope.cancel()
    fleet.dead.add("one")
    for _ in range(2):
        refusal = await outcome(two.begin, claim())
        assert (refusal.code, refusal.ran) == (errors.Code.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN)
    assert await two.inspect("afya", "k") is ports.RequestState.UNKNOWN


async def test_run_of_an_earlier_process_of_the_same_vm_is_unknown(autojump_clock, fleet):
    await (await fleet.vm("one")).begin(claim())
    refusal = await outcome((await fleet.vm("one")).begin, claim())
    assert refusal.code is errors.Code.OUTCOME_UNKNOWN


async def test_run_without_end_becomes_unknown_by_its_age(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two", max_run_s=30)
    await one.begin(claim())
    await trio.sleep(31)
    refusal = await outcome(two.begin, claim())
    assert refusal.code is errors.Code.OUTCOME_UNKNOWN


async def test_idempotent_run_of_a_dead_vm_runs_again(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    await one.begin(claim(idempotent=True))
    await trio.sleep(1)
    fleet.dead.add("one")
    assert isinstance(await two.begin(claim(idempotent=True)), ports.ClaimedRun)


async def test_answer_once_stored_is_never_replaced(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    first = await one.begin(claim(idempotent=True))
    await trio.sleep(1)
    fleet.dead.add("one")
    second = await two.begin(claim(idempotent=True))
    assert await two.finish(second, answer("second"))
    assert not await one.finish(first, answer("first"))
    assert await one.store(first, answer("first")) == answer("second")
    assert await one.lookup("afya", "k") == answer("second")


async def test_platform_down_refuses_what_may_not_be_repeated_as_not_run(autojump_clock, fleet):
    one = await fleet.vm("one")
    fleet.switch(down=True)
    for _ in range(5):
        refusal = await outcome(one.begin, claim())
        assert (refusal.code, refusal.ran) == (errors.Code.UNAVAILABLE, errors.Ran.NO)
        assert refusal.retry_after_s
    fleet.switch()
    await trio.sleep(5)
    assert isinstance(await one.begin(claim()), ports.ClaimedRun)


async def test_platform_down_serves_idempotent_and_records_it_later(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    fleet.switch(down=True)
    run = await one.begin(claim(idempotent=True))
    assert not await one.finish(run, answer())
    kept = await one.begin(claim(idempotent=True))
    assert (kept.body, kept.recorded) == (b"done", False)
    fleet.switch()
    await trio.sleep(5)
    assert await two.begin(claim(idempotent=True)) == answer()


async def test_two_answers_of_an_outage_leave_the_first_one_stored(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    fleet.switch(down=True)
    for vm in (one, two):
        await vm.finish(await vm.begin(claim(idempotent=True)), answer(vm._vm))
    fleet.switch()
    await trio.sleep(5)
    first = await one.lookup("afya", "k")
    await trio.sleep(100)
    assert first == await two.lookup("afya", "k")
    assert first.recorded


async def test_slow_platform_delays_an_idempotent_request_by_a_bounded_time(autojump_clock, fleet):
    one = await fleet.vm("one")
    fleet.switch(slow_s=3.0)
    began = trio.current_time()
    run = await one.begin(claim(idempotent=True))
    assert isinstance(run, ports.ClaimedRun)
    assert trio.current_time() - began <= records.EAGER_CLAIM_WAIT_S + 0.01


async def test_backlog_is_bounded(autojump_clock, fleet, monkeypatch):
    monkeypatch.setattr(_backlog, "MAX_ANSWERS", 3)
    one = await fleet.vm("one")
    fleet.switch(down=True)
    for number in range(5):
        run = await one.begin(claim(f"k{number}", idempotent=True))
        assert not await one.finish(run, answer())
    fleet.switch()
    await trio.sleep(5)
    found = [await one.lookup("afya", f"k{number}") for number in range(5)]
    assert [item is not None for item in found] == [True, True, True, False, False]


async def test_claim_that_cannot_be_settled_is_refused_and_does_not_stand(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    fleet.switch(slow_s=3.0)
    refusal = await outcome(one.begin, claim())
    assert (refusal.code, refusal.ran) == (errors.Code.UNAVAILABLE, errors.Ran.NO)
    fleet.switch()
    await trio.sleep(10)
    assert isinstance(await two.begin(claim()), ports.ClaimedRun)


async def test_cancelled_claim_does_not_stand(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    for cut_s in (0.01, 0.06, 0.11, 0.16, 0.21):
        fleet.switch(slow_s=0.1)
        with trio.move_on_after(cut_s) as scope:
            await one.begin(claim(f"k{cut_s}"))
        fleet.switch()
        if scope.cancelled_caught:
            await trio.sleep(1)
            assert isinstance(await two.begin(claim(f"k{cut_s}")), ports.ClaimedRun)


@pytest.mark.parametrize(
    ("ran", "idempotent", "expected"),
    [
        (errors.Ran.NO, False, "run"),
        (errors.Ran.NO, True, "run"),
        (errors.Ran.UNKNOWN, True, "run"),
        (errors.Ran.UNKNOWN, False, "unknown"),
        (errors.Ran.YES, False, "unknown"),
    ],
)
async def test_abandoned_claim(autojump_clock, fleet, ran, idempotent, expected):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    await one.abandon(await one.begin(claim(idempotent=idempotent)), ran)
    for vm in (two, one):
        got = await outcome(vm.begin, claim(idempotent=idempotent))
        if expected == "run":
            assert isinstance(got, ports.ClaimedRun)
            await vm.abandon(got, errors.Ran.NO)
        else:
            assert got.code is errors.Code.OUTCOME_UNKNOWN


async def test_abandoned_as_unknown_stays_unknown_while_the_platform_is_down(autojump_clock, fleet):
    one = await fleet.vm("one")
    run = await one.begin(claim())
    fleet.switch(down=True)
    await one.abandon(run, errors.Ran.UNKNOWN)
    refusal = await outcome(one.begin, claim())
    assert refusal.code is errors.Code.OUTCOME_UNKNOWN


async def test_waiting_twin_takes_over_a_claim_that_was_given_back(autojump_clock, fleet):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    run = await one.begin(claim())
    got = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: collect(got, two.begin(claim())))
        await trio.sleep(0.5)
        await one.abandon(run, errors.Ran.NO)
    assert isinstance(got[0], ports.ClaimedRun)


@pytest.mark.parametrize("size", [8_001, 900_001, 2_000_000])
@pytest.mark.parametrize("lost", [0, 1, 2])
async def test_large_answer_is_stored_whole(autojump_clock, fleet, size, lost):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    run = await one.begin(claim())
    fleet.switch(lose_answers=lost)
    assert await one.finish(run, answer("x" * size))
    assert await two.begin(claim()) == answer("x" * size)


async def test_buckets_split_and_every_record_stays_readable(autojump_clock, fleet, monkeypatch):
    monkeypatch.setattr("cornelgrade.services._buckets.SPLIT_BYTES", 2_000)
    vms = [await fleet.vm("one"), await fleet.vm("two")]

    async def one_request(number):
        vm = vms[number % 2]
        run = await vm.begin(claim(f"k{number}"))
        await vm.finish(run, answer(f"answer {number}"))

    fleet.switch(lose_answers=20)
    for start in range(0, 400, 40):
        async with trio.open_nursery() as nursery:
            for number in range(start, start + 40):
                nursery.start_soon(one_request, number)
    fresh = await fleet.vm("three")
    for number in range(400):
        assert (await fresh.begin(claim(f"k{number}"))).body == f"answer {number}".encode()
    names = [stored.name for stored in await fleet.store.list("request", limit=1000)]
    assert max(map(len, names)) > 5


async def test_requests_in_flight_share_their_writes(autojump_clock, fleet):
    one = await fleet.vm("one")
    fleet.switch(slow_s=0.01)

    async def one_request(number):
        await one.finish(await one.begin(claim(f"k{number}")), answer())

    async with trio.open_nursery() as nursery:
        for number in range(400):
            nursery.start_soon(one_request, number)
    writes = fleet.store.calls["create"] + fleet.store.calls["update"]
    assert writes < 400 * 2 * 0.25


async def test_records_go_after_their_retention(autojump_clock, fleet):
    one = await fleet.vm("one", retention_s=lambda: 7_200.0)
    for number in range(20):
        run = await one.begin(claim(f"k{number}"))
        await one.finish(run, answer("x" * 10_000))
    await trio.sleep(7_000)
    assert (await one.lookup("afya", "k3")).body == b"x" * 10_000
    await trio.sleep(8_000)
    assert await one.lookup("afya", "k3") is None
    kept = await fleet.store.list("request")
    assert sum(len(stored.value) for stored in kept) < 16 * 20
    assert not await fleet.store.list("answer")


async def test_rate_limited_platform_is_waited_for(autojump_clock, fleet):
    one = await fleet.vm("one")
    fleet.switch(writes_per_s=20)
    with contextlib.suppress(errors.Refusal):
        runs = [await one.begin(claim(f"k{number}")) for number in range(40)]
    assert len(runs) == 40


@pytest.mark.parametrize("dies", [False, True])
async def test_claim_written_just_before_the_platform_went_away(autojump_clock, fleet, dies):
    one, two = await fleet.vm("one"), await fleet.vm("two")
    real = fleet.store.create

    async def create(*args, **kw):
        await real(*args, **kw)
        fleet.switch(down=True)
        raise platform.UnavailableError("away", step="create", outcome_unknown=True)

    fleet.store.create = create
    refusal = await outcome(one.begin, claim())
    assert (refusal.code, refusal.ran) == (errors.Code.UNAVAILABLE, errors.Ran.NO)
    fleet.store.create = real
    if dies:
        one.scope.cancel()
        fleet.dead.add("one")
    fleet.switch()
    await trio.sleep(5)
    got = await outcome(two.begin, claim())
    if dies:
        assert got.code is errors.Code.OUTCOME_UNKNOWN
    else:
        assert isinstance(got, ports.ClaimedRun)


@pytest.mark.parametrize(
    ("back_after_s", "drained_after_s"), [(5.0, 7.0), (1_000.0, _backlog.DRAIN_LIMIT_S)]
)
async def test_shutdown_waits_a_bounded_time_for_the_backlog(
    autojump_clock, nursery, fleet, back_after_s, drained_after_s
):
    kern = kernel.Kernel()
    draining = drain.Drain(grace_s=0.0)
    kern.add(draining)
    await nursery.start(kern.run)
    one = await fleet.vm("one", kern=kern)
    fleet.switch(down=True)
    await one.finish(await one.begin(claim(idempotent=True)), answer())
    draining.begin()
    begun_s = trio.current_time()
    with trio.move_on_after(back_after_s):
        await draining.wait_drained()
    fleet.switch()
    await draining.wait_drained()
    assert trio.current_time() - begun_s <= drained_after_s + 0.1
    await trio.sleep(3)
    assert await one.lookup("afya", "k") == answer()
