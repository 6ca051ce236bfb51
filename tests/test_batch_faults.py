import pytest
import trio
from tests import batch_kit

from cornelgrade import manifest
from cornelgrade.policy import claims
from cornelgrade.services import job_ending, job_records, job_store, job_submission, ports
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, platform_store

KINDS = job_records.OutcomeKind
NO_RATE_LIMITS = platform_store.Switches(writes_per_s=0, reads_per_s=0)
SLOW_ENGINE = engine_model.Config(slots=8, step_s=0.2)


async def submit_job(rig, lines, **changes) -> job_records.Header:
    request = batch_kit.job_request(**changes)
    accepted = await job_submission.submit(rig.store, request, batch_kit.iterate_lines(lines))
    return accepted.header


def switch(rig, **changes) -> None:
    rig.platform.switch(platform_store.Switches(**{"writes_per_s": 0, "reads_per_s": 0} | changes))


def count_kinds(outcomes) -> dict[KINDS, int]:
    counts: dict[KINDS, int] = {}
    for outcome in outcomes:
        counts[outcome.kind] = counts.get(outcome.kind, 0) + 1
    return counts


async def test_commit_of_a_holder_that_was_paused_fails(autojump_clock):
    async with batch_kit.rig() as rig:
        store = job_store.JobStore(rig.platform, batch_kit.unix_s)
        request = batch_kit.job_request()
        lines = [batch_kit.item_line(number) for number in range(10)]
        header = (
            await job_submission.submit(store, request, batch_kit.iterate_lines(lines))
        ).header
        paused = claims.Claim(0, "vm1/a", 1, 5.0)
        successor = claims.Claim(0, "vm2/b", 2, 5.0)
        await store.fence(header, successor)
        late = job_records.Chunk(1, paused.holder, outcomes=(job_records.Outcome(0, KINDS.OK),))
        with pytest.raises(job_store.LostChunkError):
            await store.commit(header, 0, late, 0)
        stored = await store.chunk(header, 0)
        assert (stored.chunk.holder, stored.chunk.outcomes) == ("vm2/b", ())


async def test_platform_outage_while_running_loses_nothing(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        header = await submit_job(rig, [batch_kit.item_line(number) for number in range(200)])
        await trio.sleep(0.6)
        switch(rig, down=True)
        await trio.sleep(40)
        switch(rig)
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        assert ended_header.tally.ok == 200
        assert set(rig.completions().values()) == {1}


@pytest.mark.parametrize("seed", range(3))
async def test_lost_answers_while_running_count_every_item_once(autojump_clock, seed):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1", ("vm1", "vm2"))
        await rig.start_worker("vm2", ("vm1", "vm2"))
        header = await submit_job(rig, [batch_kit.item_line(number) for number in range(300)])
        for _ in range(12):
            await trio.sleep(0.4 + 0.1 * seed)
            switch(rig, lose_answers=2 + seed)
        switch(rig)
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        assert ended_header.tally == claims.Tally(ok=300)
        outcomes = await batch_kit.read_outcomes(rig.store, header.job)
        assert count_kinds(outcomes) == {KINDS.OK: 300}


async def test_cancel_is_in_force_within_three_seconds_at_the_engines_too(autojump_clock):
    async with batch_kit.rig(cfg=SLOW_ENGINE) as rig:
        await rig.start_worker("vm1")
        lines = [batch_kit.item_line(number, tokens=100) for number in range(100)]
        header = await submit_job(rig, lines)
        await trio.sleep(5)
        assert any(upstream.engine._model.running for upstream in rig.engines.values())
        await job_ending.cancel(rig.store, "afya", header.job)
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job, within_s=3)
        assert not any(upstream.engine._model.running for upstream in rig.engines.values())
        assert ended_header.state is job_records.JobState.CANCELLED
        assert ended_header.tally.ended == 100


async def test_finished_items_stay_readable_after_a_cancel(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        lines = [batch_kit.item_line(number, tokens=40) for number in range(500)]
        header = await submit_job(rig, lines)
        await trio.sleep(5)
        await job_ending.cancel(rig.store, "afya", header.job)
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job, within_s=3)
        outcomes = await batch_kit.read_outcomes(rig.store, header.job)
        found = count_kinds(outcomes)
        assert found[KINDS.OK] == ended_header.tally.ok > 0
        assert found[KINDS.CANCELLED] == ended_header.tally.cancelled > 0
        assert all(outcome.body for outcome in outcomes if outcome.kind is KINDS.OK)


@pytest.mark.parametrize("after_s", [0.2, 0.3, 0.35, 0.4, 0.45, 0.5, 0.6, 0.8])
async def test_cancel_racing_with_the_last_commit_ends_in_one_state(autojump_clock, after_s):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        header = await submit_job(rig, [batch_kit.item_line(number) for number in range(16)])
        await trio.sleep(after_s)
        await job_ending.cancel(rig.store, "afya", header.job)
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job, within_s=5)
        await trio.sleep(10)
        found = await rig.store.header("afya", header.job)
        outcomes = count_kinds(await batch_kit.read_outcomes(rig.store, header.job))
        assert found.header == ended_header
        assert outcomes.get(KINDS.OK, 0) == ended_header.tally.ok
        assert ended_header.tally.ended == 16
        assert await rig.store.open_jobs() == ()


async def test_cancelled_job_of_a_dead_worker_ends(autojump_clock):
    async with batch_kit.rig(cfg=SLOW_ENGINE) as rig:
        await rig.start_worker("vm1", ("vm1", "vm2"))
        header = await submit_job(
            rig, [batch_kit.item_line(number, tokens=100) for number in range(100)]
        )
        await trio.sleep(2)
        rig.kill("vm1")
        await job_ending.cancel(rig.store, "afya", header.job)
        await rig.start_worker("vm2", ("vm2",))
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job, within_s=90)
        assert ended_header.state is job_records.JobState.CANCELLED


async def test_items_that_always_fail_end_with_an_error_and_the_job_ends(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        lines = [batch_kit.item_line(number) for number in range(30)]
        lines[7] = batch_kit.item_line(7, prompt=engine_model.CRASH_MARKER)
        lines[9] = b'{"custom_id": "i9", "body": {"max_tokens": "many"}}\n'
        header = await submit_job(rig, lines)
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        outcomes = await batch_kit.read_outcomes(rig.store, header.job)
        assert [n for n, outcome in enumerate(outcomes) if outcome.kind is KINDS.ERROR] == [7, 9]
        assert ended_header.tally == claims.Tally(ok=28, error=2)
        crashes = sum(upstream.engine.counters().crashes for upstream in rig.engines.values())
        assert crashes <= 4


async def test_non_idempotent_items_never_run_again_after_a_crash(autojump_clock):
    async with batch_kit.rig(cfg=SLOW_ENGINE) as rig:
        await rig.start_worker("vm1", ("vm1", "vm2"))
        lines = [batch_kit.item_line(number, at_most_once=True) for number in range(200)]
        header = await submit_job(rig, lines)
        await trio.sleep(4)
        rig.kill("vm1")
        await rig.start_worker("vm2", ("vm2",))
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        outcomes = count_kinds(await batch_kit.read_outcomes(rig.store, header.job))
        assert ended_header.tally.ok + ended_header.tally.unknown == 200
        assert outcomes[KINDS.UNKNOWN] == ended_header.tally.unknown > 0
        calls = [
            runs.calls
            for upstream in rig.engines.values()
            for runs in upstream.engine.counters().by_key.values()
        ]
        assert set(calls) == {1}


async def test_engine_crash_makes_non_idempotent_items_unknown_and_others_run_again(
    autojump_clock,
):
    async with batch_kit.rig(batch_kit.make_manifest(engines=1), SLOW_ENGINE) as rig:
        await rig.start_worker("vm1")
        lines = [batch_kit.item_line(number, at_most_once=number % 2 == 0) for number in range(40)]
        header = await submit_job(rig, lines)
        await trio.sleep(6)
        rig.engines["e0"].engine.switch(engine_standin.Switches(crash=True))
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        assert 0 < ended_header.tally.unknown <= 8
        assert ended_header.tally.ok == 40 - ended_header.tally.unknown
        outcomes = await batch_kit.read_outcomes(rig.store, header.job)
        assert all(outcome.index % 2 == 0 for outcome in outcomes if outcome.kind is KINDS.UNKNOWN)


async def test_two_vms_share_a_job_and_each_item_runs_once(autojump_clock):
    async with batch_kit.rig(batch_kit.make_manifest(engines=6)) as rig:
        for vm in ("vm1", "vm2"):
            await rig.start_worker(vm, ("vm1", "vm2"))
        header = await submit_job(rig, [batch_kit.item_line(number) for number in range(1500)])
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        assert ended_header.tally == claims.Tally(ok=1500)
        assert set(rig.completions().values()) == {1}
        assert all(upstream.engine.counters().calls for upstream in rig.engines.values())


async def test_dead_vms_chunks_are_taken_over(autojump_clock):
    async with batch_kit.rig(batch_kit.make_manifest(engines=4)) as rig:
        for vm in ("vm1", "vm2"):
            await rig.start_worker(vm, ("vm1", "vm2"))
        header = await submit_job(
            rig, [batch_kit.item_line(number, tokens=60) for number in range(1000)]
        )
        await trio.sleep(4)
        rig.kill("vm2")
        rig.members["vm1"].members = (batch_kit.member("vm1"),)
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        assert ended_header.tally == claims.Tally(ok=1000)


async def test_yield_frees_slots_at_once_and_keeps_generated_text(autojump_clock):
    fleet_manifest = batch_kit.make_manifest(
        engines=1, policy=manifest.BatchPolicy(chunk_items=50, lean=0.0)
    )
    async with batch_kit.rig(fleet_manifest) as rig:
        worker = await rig.start_worker("vm1")
        header = await submit_job(rig, [batch_kit.item_line(n, tokens=200) for n in range(20)])
        await trio.sleep(3)
        engine = rig.engines["e0"].engine
        assert len(engine._model.running) == 8
        rig.members["vm1"].deliver(ports.Yield("e0", 3, "vm1"))
        await trio.sleep(0.02)
        assert len(engine._model.running) == 0
        assert worker._owned["e0"].run.window.limit == 0
        await trio.sleep(0.4)
        assert len(engine._model.running) == 8
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        counters = engine.counters()
        assert ended_header.tally.ok == 20
        assert counters.wasted_tokens == 0
        assert counters.generated_tokens == 20 * 200
        assert counters.cancelled_tokens > 0


async def test_window_fills_idle_slots_in_under_300_ms(autojump_clock):
    fleet_manifest = batch_kit.make_manifest(
        engines=1, policy=manifest.BatchPolicy(chunk_items=50, lean=1.0)
    )
    async with batch_kit.rig(fleet_manifest) as rig:
        await rig.start_worker("vm1")
        await submit_job(rig, [batch_kit.item_line(n, tokens=500) for n in range(20)])
        await trio.sleep(5)
        engine = rig.engines["e0"].engine
        rig.members["vm1"].deliver(ports.Load("e0", 8, 0, "vm1"))
        await trio.sleep(0.02)
        assert len(engine._model.running) == 0
        rig.members["vm1"].deliver(ports.Load("e0", 0, 0, "vm1"))
        await trio.sleep(0.29)
        assert len(engine._model.running) == 8


async def test_drain_returns_chunks_and_another_vm_continues_at_once(autojump_clock):
    async with batch_kit.rig(batch_kit.make_manifest(engines=2)) as rig:
        first = await rig.start_worker("vm1")
        header = await submit_job(rig, [batch_kit.item_line(number) for number in range(400)])
        await trio.sleep(2)
        await first.drain()
        assert all(not upstream.engine._model.busy for upstream in rig.engines.values())
        rig.kill("vm1")
        drained_at_s = trio.current_time()
        await rig.start_worker("vm2")
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        assert ended_header.tally == claims.Tally(ok=400)
        assert set(rig.completions().values()) == {1}
        assert ended_header.ended_at_s - batch_kit.UNIX_EPOCH_S - drained_at_s < 15


async def test_results_larger_than_one_object_are_split(autojump_clock):
    async with batch_kit.rig() as rig:
        store = job_store.JobStore(rig.platform, batch_kit.unix_s)
        lines = [batch_kit.item_line(number) for number in range(10)]
        header = (
            await job_submission.submit(
                store, batch_kit.job_request(), batch_kit.iterate_lines(lines)
            )
        ).header
        bodies = [bytes([index]) * 400_000 for index in range(9)] + [b"z" * 2_500_000]
        outcomes = tuple(
            job_records.Outcome(index, KINDS.OK, 200, body) for index, body in enumerate(bodies)
        )
        chunk = job_records.Chunk(1, "vm1/a", outcomes=outcomes, final=True)
        stored = await store.commit(header, 0, chunk, 0)
        assert stored.chunk.tally().ok == 10
        read = [outcome async for outcome in store.outcomes(header, 0)]
        assert [outcome.body for outcome in read] == bodies


async def test_same_job_submitted_at_two_vms_at_once_is_one_job(autojump_clock):
    async with batch_kit.rig() as rig:
        found = []

        async def submit() -> None:
            store = job_store.JobStore(rig.platform, batch_kit.unix_s)
            lines = [batch_kit.item_line(number) for number in range(100)]
            request = batch_kit.job_request()
            found.append(
                await job_submission.submit(store, request, batch_kit.iterate_lines(lines))
            )

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(submit)
        assert len({accepted.header.upload for accepted in found}) == 1
        assert [accepted.resubmitted for accepted in found].count(False) == 1
        assert len(await rig.platform.list("open")) == 1
        assert len(await rig.platform.list("piece")) == 1


async def test_writes_stay_under_ten_for_a_thousand_items(autojump_clock):
    policy = manifest.BatchPolicy(chunk_items=250, lean=1.0)
    async with batch_kit.rig(batch_kit.make_manifest(engines=6, policy=policy)) as rig:
        for vm in ("vm1", "vm2", "vm3"):
            await rig.start_worker(vm, ("vm1", "vm2", "vm3"))
        before = rig.platform.calls.copy()
        lines = (batch_kit.item_line(number, prompt="word " * 60) for number in range(10_000))
        header = await submit_job(rig, lines, chunk_items=250)
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        calls = rig.platform.calls - before
        writes = calls["create"] + calls["update"] + calls["delete"]
        assert ended_header.tally.ok == 10_000
        assert writes <= 100


async def test_job_with_the_higher_price_runs_first_when_due_times_are_equal(autojump_clock):
    async with batch_kit.rig(batch_kit.make_manifest(engines=1), SLOW_ENGINE) as rig:
        await rig.start_worker("vm1")
        cheap = await submit_job(rig, [batch_kit.item_line(n) for n in range(100)], key="cheap")
        expensive = await submit_job(
            rig,
            [batch_kit.item_line(n) for n in range(100)],
            key="dear",
            priority=manifest.Priority("urgent", 1, price=5.0),
        )
        ends = [await batch_kit.wait_until_ended(rig.store, job.job) for job in (expensive, cheap)]
        assert ends[0].ended_at_s < ends[1].ended_at_s


async def test_worker_that_hears_no_gateway_keeps_a_small_window(autojump_clock):
    async with batch_kit.rig(batch_kit.make_manifest(engines=1, slots=16)) as rig:
        await rig.start_worker("vm1")
        await submit_job(rig, [batch_kit.item_line(n, tokens=900) for n in range(64)])
        await trio.sleep(8)
        assert len(rig.engines["e0"].engine._model.running) == 16
        rig.members["vm1"].idle_upstreams = ()
        await trio.sleep(4)
        assert 1 <= len(rig.engines["e0"].engine._model.running) <= 4


async def test_leaving_engine_gets_no_new_items_and_its_items_run_elsewhere(autojump_clock):
    async with batch_kit.rig(batch_kit.make_manifest(engines=2)) as rig:
        await rig.start_worker("vm1")
        header = await submit_job(rig, [batch_kit.item_line(n, tokens=40) for n in range(120)])
        await trio.sleep(3)
        rig.members["vm1"].deliver(ports.Leaving("e0"))
        await trio.sleep(0.1)
        calls = rig.engines["e0"].engine.counters().calls
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job, within_s=14)
        assert ended_header.tally.ok == 120
        assert rig.engines["e0"].engine.counters().calls == calls


async def test_engine_with_more_slots_in_a_new_manifest_is_filled(autojump_clock):
    async with batch_kit.rig(batch_kit.make_manifest(engines=1, slots=4), SLOW_ENGINE) as rig:
        await rig.start_worker("vm1")
        await submit_job(rig, [batch_kit.item_line(n, tokens=100) for n in range(50)])
        await trio.sleep(3)
        assert len(rig.engines["e0"].engine._model.running) == 4
        rig.configurations["vm1"].accepted = ports.AcceptedManifest(
            batch_kit.make_manifest(engines=1, slots=8), 2
        )
        await trio.sleep(3)
        assert len(rig.engines["e0"].engine._model.running) == 8


async def test_crash_is_reported_to_the_quarantine_once_with_all_items_in_flight(autojump_clock):
    class RecordingQuarantine:
        name = "quarantine"
        crashes = []

        def verdict(self, fingerprint):
            return ports.Verdict.CLEAR

        def report_crash(self, upstream, in_flight):
            self.crashes.append((upstream, len(in_flight)))

        def report_completion(self, fingerprint):
            pass

        async def run(self, started):
            started()
            await trio.sleep_forever()

    quarantine = RecordingQuarantine()
    async with batch_kit.rig(batch_kit.make_manifest(engines=1), SLOW_ENGINE) as rig:
        await rig.start_worker("vm1", extra_services=(quarantine,))
        header = await submit_job(rig, [batch_kit.item_line(number) for number in range(40)])
        await trio.sleep(3)
        rig.engines["e0"].engine.switch(engine_standin.Switches(crash=True))
        ended_header = await batch_kit.wait_until_ended(rig.store, header.job)
        assert ended_header.tally.ok == 40
        assert quarantine.crashes == [("e0", 8)]
