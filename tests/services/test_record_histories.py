import pytest
import trio
from tests import batch_kit

from cornelgrade.services import job_ending, job_submission, ports, record_histories
from cornelgrade.standins import platform_store

ANSWER = ports.StoredAnswer(200, "application/json", b"{}")


class Records:
    def __init__(self) -> None:
        self.known = {"k1": ANSWER, "k2": ports.RequestState.UNKNOWN}

    async def inspect(self, team: str, key: str):
        return self.known.get(key, ports.RequestState.NOT_FOUND)


async def submitted(rig: batch_kit.Rig, items: int) -> str:
    lines = [batch_kit.line(number) for number in range(items)]
    accepted = await job_submission.submit(rig.store, batch_kit.order(), batch_kit.stream(lines))
    return accepted.header.job


def teller(rig: batch_kit.Rig) -> record_histories.RecordHistories:
    return record_histories.RecordHistories(rig.store, Records(), batch_kit.unix_s)


def sentences(steps: tuple[ports.Step, ...]) -> str:
    return "\n".join(step.sentence for step in steps)


async def test_history_of_a_job_runs_from_its_acceptance_to_its_end(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.worker("vm1")
        job = await submitted(rig, 120)
        await batch_kit.ended(rig.store, job)
        told = await teller(rig).get_steps("afya", job)
    assert [step.step for step in told] == ["accept", "record", "end"]
    assert "120 items in 3 chunks for llm, priority bulk" in told[0].sentence
    assert "done: 120 of 120 items have ended, 0 of them without a result" in told[1].sentence
    assert told[0].at_s < told[2].at_s <= told[1].at_s


async def test_history_of_a_running_job_names_who_holds_its_chunks(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.worker("vm1")
        job = await submitted(rig, 2_000)
        await trio.sleep(2.0)
        told = await teller(rig).get_steps("afya", job)
    assert "It is open:" in sentences(told)
    assert "vm1 holds chunks" in sentences(told)


async def test_history_of_an_item_says_how_it_ended(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.worker("vm1")
        job = await submitted(rig, 70)
        await batch_kit.ended(rig.store, job)
        told = await teller(rig).get_steps("afya", f"{job}/i60")
        assert await teller(rig).get_steps("afya", f"{job}/i99") == ()
    assert f"item 61 of 70 in job {job}" in told[0].sentence
    assert "has its result, status 200, from e" in told[1].sentence


async def test_history_of_a_cancelled_job_counts_what_did_not_run(autojump_clock):
    async with batch_kit.rig() as rig:
        worker = await rig.worker("vm1", plat=platform_store.MemoryPlatform())
        rig.workers["vm1"] = worker
        job = await submitted(rig, 30)
        await job_ending.cancel(rig.store, "afya", job)
        told = await teller(rig).get_steps("afya", job)
    assert "It is cancel" in sentences(told)


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("k1", "Its answer is stored: status 200, 2 bytes."),
        ("k2", "It was sent at most once and its end is not known."),
        ("k3", ""),
    ],
)
async def test_history_of_a_request_tells_what_is_recorded(autojump_clock, key, expected):
    async with batch_kit.rig() as rig:
        await rig.worker("vm1")
        assert sentences(await teller(rig).get_steps("afya", key)) == expected


async def test_platform_that_is_out_is_said(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.worker("vm1")
        rig.platform.switch(platform_store.Switches(down=True))
        told = await teller(rig).get_steps("afya", "k1")
    assert "cannot be read" in sentences(told)
