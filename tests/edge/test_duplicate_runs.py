"""Items of a job that several workers start at the same time, without any fault."""

import collections
import itertools

import pytest
import trio

from cornelgrade.platform.standins import edge_system
from cornelgrade.schema import messages
from cornelgrade.services.edge import (
    claim_exchange,
    item_call,
    job_repository,
    open_job,
    peers,
    runner,
)

WORKERS = ("w1", "w2", "w3")
ITEMS = 30
EVENTS, EVENT_S = 5, 0.3
JOB_S = 20.0
# Share of the items that may run twice to the end, which none should; it allows for claims that
# arrive late on a busy machine.
MAX_REPEATED_SHARE = 0.05


def make_job() -> open_job.OpenJob:
    return open_job.OpenJob(job_repository.JobHeader("j", "r", "h", 0, 0, 0, ITEMS, 0, 1), 1)


def start_runs(job, started_s):
    for index in range(ITEMS):
        job.runs[index] = open_job.ItemRun("engine", started_s, trio.CancelScope())
        job.partial[index] = item_call.PartialResult()


def receive(job, own_vm, vm, claim, now_s):
    """Apply a claim; return the items whose runs were cancelled for it."""
    job.apply_claim(vm, claim, now_s)
    job.cancel_duplicates(own_vm, vm, claim, now_s)
    return {index for index, run in job.runs.items() if run.scope.cancel_called}


async def read_all(system, items):
    seen = []
    with trio.fail_after(JOB_S):
        while len(seen) < len(items):
            seen += await system.results("gateway-0", "job", len(seen))
    return sorted(item for item, _ in seen)


# Guards against capacity lost to second runs: slots of all workers that become free together, as
# when a job's items take equally long, were filled with the same items.
@pytest.mark.parametrize("workers", [2, 3])
async def test_items_that_workers_start_together_run_once_to_their_end(workers):
    items = {f"item-{number}": b"note" for number in range(60)}
    async with edge_system.run_system(
        workers=workers, engines=workers, events=EVENTS, event_s=EVENT_S
    ) as system:
        await system.submit("gateway-0", "job", items)
        assert await read_all(system, items) == sorted(items)
        await trio.sleep(2 * EVENTS * EVENT_S)
        seen = [at for engine in system.engines.values() for at in engine.seen]
    ended = collections.Counter(at.request for at in seen if at.ended)
    assert set(ended) == set(items)
    assert ended.total() - len(items) <= MAX_REPEATED_SHARE * len(items)


# Guards against an item that both of two workers run, and against one that both give up.
async def test_one_of_two_workers_that_start_an_item_together_goes_on():
    claim = messages.JobClaim("j", (1 << ITEMS) - 1, 0)
    cancelled = []
    for own_vm, vm in (("w1", "w2"), ("w2", "w1")):
        job = make_job()
        start_runs(job, 200.0)
        cancelled.append(receive(job, own_vm, vm, claim, 200.1))
    assert cancelled[0] and cancelled[1]
    assert cancelled[0] | cancelled[1] == set(range(ITEMS))
    assert not cancelled[0] & cancelled[1]


# Guards against progress that is lost because a worker hears of a second run late.
@pytest.mark.parametrize(("age_s", "events"), [(0.6, 0), (0.1, 1)])
async def test_run_with_progress_goes_on_beside_that_of_another_worker(age_s, events):
    job = make_job()
    start_runs(job, 200.0)
    for partial in job.partial.values():
        partial.texts += ["text"] * events
    claim = messages.JobClaim("j", (1 << ITEMS) - 1, 0)
    assert not receive(job, "w1", "w2", claim, 200.0 + age_s)


# Guards against runs that go on although their result is stored already, as after a freeze.
async def test_run_of_an_item_that_is_done_is_cancelled():
    job = make_job()
    start_runs(job, 200.0)
    job.partial[3].texts.append("text")
    assert receive(job, "w1", "w2", messages.JobClaim("j", 0, 1 << 3), 209.0) == {3}


# Guards against workers that take the items which the worker that ranks highest starts next.
def test_worker_takes_the_items_of_another_in_the_reverse_of_its_order():
    orders = {
        vm: sorted(range(ITEMS), key=lambda i, vm=vm: open_job.start_order("j", i, WORKERS, vm))
        for vm in WORKERS
    }
    job = make_job()
    ranks = {
        vm: {index for index in range(ITEMS) if job.may_start(index, WORKERS, vm, 0.0)}
        for vm in WORKERS
    }
    assert set.union(*ranks.values()) == set(range(ITEMS))
    for vm in WORKERS:
        assert set(orders[vm][: len(ranks[vm])]) == ranks[vm]
        for other in set(WORKERS) - {vm}:
            first_taken = next(index for index in orders[other] if index in ranks[vm])
            left = [i for i in orders[vm] if i in ranks[vm]]
            assert left.index(first_taken) >= len(left) // 3


# Guards against claims on started items that wait for the next full state: the passes that follow
# no event, such as the end of an item, start items too.
async def test_start_is_claimed_within_a_broadcast_pause(monkeypatch):
    started_s, claimed_s = {}, {}
    start_item = runner.Runner._start_item
    send_claims = claim_exchange.ClaimExchange.send_claims

    def record_start(self, job, index, up):
        started_s.setdefault(job.header.job, trio.current_time())
        start_item(self, job, index, up)

    def record_claim(self):
        for name, job in self._jobs.items():
            if job.runs:
                claimed_s.setdefault(name, trio.current_time())
        send_claims(self)

    monkeypatch.setattr(runner.Runner, "_start_item", record_start)
    monkeypatch.setattr(claim_exchange.ClaimExchange, "send_claims", record_claim)
    async with edge_system.run_system(workers=2, engines=1, event_s=0.1) as system:
        known = system.nodes["worker-0"].kern.find("peers", peers.Peers)
        vms, owner = known.live_vms(peers.Role.WORKER), known.batch_owner("engine-0", "north")
        names = (f"job-{number}" for number in itertools.count())
        # The owner waits before it starts these, as the other worker ranks higher.
        second = (name for name in names if open_job.start_order(name, 0, vms, owner)[0] == 1)
        jobs = list(itertools.islice(second, 8))
        for job in jobs:
            await system.submit("gateway-0", job, {f"{job}-item": b"note"})
            await trio.sleep(0.7)
        await trio.sleep(0.7)
    delays_s = sorted(claimed_s[job] - started_s[job] for job in jobs)
    # Of most starts, as single ones may be late on a busy machine.
    assert delays_s[-3] <= 2 * runner.MIN_BROADCAST_PAUSE_S
