import pytest
import trio
from tests import batch_kit

from cornelgrade.services import job_ending, job_submission, ports, record_histories
from cornelgrade.standins import platform_store

ANSWER = ports.StoredResponse(200, "application/json", b"{}")


class FakeRecords:
    def __init__(self) -> None:
        self.recorded = {"k1": ANSWER, "k2": ports.RequestState.UNKNOWN}

    async def inspect(self, team: str, key: str):
        return self.recorded.get(key, ports.RequestState.NOT_FOUND)


async def submit_job(rig: batch_kit.BatchHarness, items: int) -> str:
    lines = [batch_kit.item_line(number) for number in range(items)]
    accepted = await job_submission.submit(
        rig.store, batch_kit.job_request(), batch_kit.iterate_lines(lines)
    )
    return accepted.header.job


def make_histories(rig: batch_kit.BatchHarness) -> record_histories.RecordHistories:
    return record_histories.RecordHistories(rig.store, FakeRecords(), batch_kit.unix_s)


def join_sentences(steps: tuple[ports.Step, ...]) -> str:
    return "\n".join(step.sentence for step in steps)


async def test_history_of_a_job_runs_from_its_acceptance_to_its_end(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        job = await submit_job(rig, 120)
        await batch_kit.wait_until_ended(rig.store, job)
        steps = await make_histories(rig).get_steps("afya", job)
    assert [step.step for step in steps] == ["accept", "record", "end"]
    assert "120 items in 3 chunks for llm, priority bulk" in steps[0].sentence
    assert "done: 120 of 120 items have ended, 0 of them without a result" in steps[1].sentence
    assert steps[0].at_s < steps[2].at_s <= steps[1].at_s


async def test_history_of_a_running_job_names_the_holders_of_its_chunks(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        job = await submit_job(rig, 2_000)
        await trio.sleep(2.0)
        steps = await make_histories(rig).get_steps("afya", job)
    assert "It is open:" in join_sentences(steps)
    assert "vm1 holds chunks" in join_sentences(steps)


async def test_history_of_an_item_says_how_it_ended(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        job = await submit_job(rig, 70)
        await batch_kit.wait_until_ended(rig.store, job)
        steps = await make_histories(rig).get_steps("afya", f"{job}/i60")
        assert await make_histories(rig).get_steps("afya", f"{job}/i99") == ()
    assert f"item 61 of 70 in job {job}" in steps[0].sentence
    assert "has its result, status 200, from e" in steps[1].sentence


async def test_history_of_a_cancelled_job_counts_what_did_not_run(autojump_clock):
    async with batch_kit.rig() as rig:
        worker = await rig.start_worker("vm1", plat=platform_store.MemoryPlatform())
        rig.workers["vm1"] = worker
        job = await submit_job(rig, 30)
        await job_ending.cancel(rig.store, "afya", job)
        steps = await make_histories(rig).get_steps("afya", job)
    assert "It is cancel" in join_sentences(steps)


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("k1", "Its answer is stored: status 200, 2 bytes."),
        ("k2", "It was sent at most once and its end is not known."),
        ("k3", ""),
    ],
)
async def test_history_of_a_request_shows_what_is_recorded(autojump_clock, key, expected):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        assert join_sentences(await make_histories(rig).get_steps("afya", key)) == expected


async def test_platform_that_is_out_is_said(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        rig.platform.switch(platform_store.Switches(down=True))
        steps = await make_histories(rig).get_steps("afya", "k1")
    assert "cannot be read" in join_sentences(steps)
