import pytest
import trio
from tests import batch_kit

from cornelgrade.services import job_cleanup, job_ending, job_records, job_store, job_submission
from cornelgrade.standins import platform_store

RETENTION_S = 100.0


@pytest.fixture
def store():
    plat = platform_store.MemoryPlatform(platform_store.Switches(writes_per_s=0, reads_per_s=0))
    return job_store.JobStore(plat, batch_kit.unix_s)


def make_cleanup(store) -> job_cleanup.Cleanup:
    return job_cleanup.Cleanup(store, lambda: RETENTION_S)


async def submit_job(store, key: str) -> job_records.Header:
    lines = [batch_kit.item_line(number) for number in range(5)]
    accepted = await job_submission.submit(
        store, batch_kit.job_request(key=key), batch_kit.iterate_lines(lines)
    )
    return accepted.header


async def list_objects(store) -> list[tuple[str, str]]:
    kinds = ("job", "open", "piece", "chunk", "result")
    return [(kind, stored.name) for kind in kinds for stored in await store.plat.list(kind)]


async def test_ended_job_is_removed_after_its_retention_and_not_before(store, autojump_clock):
    header = await submit_job(store, "a")
    await job_ending.cancel(store, "afya", header.job)
    await trio.sleep(RETENTION_S - 1)
    assert await make_cleanup(store).remove_ended_jobs() == 0
    await trio.sleep(2)
    assert await make_cleanup(store).remove_ended_jobs() == 1
    assert await list_objects(store) == []


async def test_unfinished_job_is_never_removed(store, autojump_clock):
    header = await submit_job(store, "a")
    before = await list_objects(store)
    await trio.sleep(1_000_000)
    assert await make_cleanup(store).remove_ended_jobs() == 0
    assert await make_cleanup(store).remove_abandoned_uploads() == 0
    assert await list_objects(store) == before
    assert (await store.header("afya", header.job)).header.state == "open"


async def abort_upload(store) -> None:
    async def body():
        yield batch_kit.item_line(1, prompt="x" * 800_000)
        yield batch_kit.item_line(2, prompt="x" * 800_000)
        await trio.sleep_forever()

    with trio.move_on_after(10):
        await job_submission.submit(store, batch_kit.job_request(key="b"), body())


async def test_upload_of_a_lost_vm_is_removed_and_its_key_is_reusable(store, autojump_clock):
    await abort_upload(store)
    assert [kind for kind, _ in await list_objects(store)] == ["open", "piece"]
    assert await make_cleanup(store).remove_abandoned_uploads() == 0
    await trio.sleep(job_cleanup.UPLOAD_ABANDON_AFTER_S)
    assert await make_cleanup(store).remove_abandoned_uploads() == 1
    assert [kind for kind, _ in await list_objects(store)] == ["job"]
    header = await submit_job(store, "b")
    assert header.state == "open"


async def test_abandoned_upload_cannot_become_a_job(store, autojump_clock):
    async def body():
        yield batch_kit.item_line(1)
        await trio.sleep(1)
        entry = (await store.open_jobs())[0]
        await make_cleanup(store)._abandon_upload(entry)
        yield batch_kit.item_line(2)

    with pytest.raises(Exception, match="given up"):
        await job_submission.submit(store, batch_kit.job_request(key="c"), body())
    assert [kind for kind, _ in await list_objects(store)] == ["job"]
