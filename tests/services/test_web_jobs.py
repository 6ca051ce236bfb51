import json

import pytest
import trio
from tests import batch_kit, fakes

from cornelgrade import kernel, settings
from cornelgrade.services import job_ending, job_store
from cornelgrade.services.web import app, jobs
from cornelgrade.standins import platform_store

HEADERS = {"Authorization": f"Bearer {fakes.KEY}", "Idempotency-Key": "night-1"}


def make_settings() -> settings.Settings:
    return settings.Settings(
        vm="vm1",
        failure_domain="fd1",
        gateway_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        worker_address="127.0.0.1:3",
        platform_url="http://127.0.0.1:4",
        peer_key_file="key",
    )


class JobApi:
    def __init__(self) -> None:
        self.platform = platform_store.MemoryPlatform(
            platform_store.Switches(writes_per_s=0, reads_per_s=0)
        )
        self.store = job_store.JobStore(self.platform, batch_kit.unix_s)
        kern = kernel.Kernel()
        config = fakes.FixedConfiguration(fakes.make_manifest())
        config.name = "configuration"
        kern.add(config)
        self.app = app.create_app([jobs.create_blueprint(kern, make_settings(), self.store)])
        self.client = self.app.test_client()

    async def submit(self, count: int = 3, **headers):
        body = b"".join(batch_kit.item_line(number) for number in range(count))
        return await self.client.post("/v1/jobs", headers=HEADERS | headers, data=body)


@pytest.fixture
def job_api():
    return JobApi()


async def test_same_key_and_body_is_the_same_job(autojump_clock, job_api):
    first, second = await job_api.submit(), await job_api.submit()
    assert (first.status_code, second.status_code) == (201, 200)
    assert (await first.get_json())["id"] == (await second.get_json())["id"]


async def test_other_body_under_the_same_key_is_a_conflict(autojump_clock, job_api):
    await job_api.submit()
    response = await job_api.submit(count=4)
    assert response.status_code == 409
    assert (await response.get_json())["error"]["code"] == "conflict"


async def test_job_without_a_key_is_refused(autojump_clock, job_api):
    response = await job_api.submit(**{"Idempotency-Key": ""})
    assert response.status_code == 400


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"", "at least one item"),
        (b"{", "line 1"),
        (b'{"custom_id": "a"}', "line 1"),
        (batch_kit.item_line(1) + batch_kit.item_line(1), "comes twice"),
    ],
)
async def test_bad_body_is_refused_and_leaves_nothing(autojump_clock, job_api, body, message):
    response = await job_api.client.post("/v1/jobs", headers=HEADERS, data=body)
    assert response.status_code == 400
    assert message in (await response.get_json())["error"]["message"]
    assert await job_api.platform.list("piece") == ()
    assert await job_api.platform.list("open") == ()


async def test_line_over_the_limit_of_an_item_is_too_large(autojump_clock, job_api):
    body = batch_kit.item_line(1, prompt="x" * 950_000)
    response = await job_api.client.post("/v1/jobs", headers=HEADERS, data=body)
    assert response.status_code == 413


async def test_submission_with_the_platform_out_is_refused_as_not_run(autojump_clock, job_api):
    job_api.platform.switch(platform_store.Switches(down=True))
    response = await job_api.submit()
    assert response.status_code == 503
    assert (await response.get_json())["error"]["ran"] == "no"


async def test_due_time_in_the_past_or_without_a_number_is_refused(autojump_clock, job_api):
    for due in ("-1", "soon", "1e12"):
        assert (await job_api.submit(**{"Cornelgrade-Due-S": due})).status_code == 400


async def test_priority_that_the_team_lacks_is_forbidden(autojump_clock, job_api):
    assert (await job_api.submit(**{"Cornelgrade-Priority": "royal"})).status_code == 403


async def test_list_gives_pages_of_the_teams_own_jobs(autojump_clock, job_api):
    for number in range(5):
        await job_api.submit(**{"Idempotency-Key": f"night-{number}"})
    seen, after = [], ""
    while after is not None:
        page = await (
            await job_api.client.get(f"/v1/jobs?limit=2&after={after}", headers=HEADERS)
        ).get_json()
        seen += [job["id"] for job in page["jobs"]]
        after = page["next"]
    assert len(seen) == len(set(seen)) == 5


async def test_results_of_a_job_that_waits_are_pending_in_item_order(autojump_clock, job_api):
    job = (await (await job_api.submit(count=120)).get_json())["id"]
    response = await job_api.client.get(f"/v1/jobs/{job}/results", headers=HEADERS)
    lines = [json.loads(line) for line in (await response.get_data()).splitlines()]
    assert [line["custom_id"] for line in lines] == [f"i{number}" for number in range(120)]
    assert {line["outcome"] for line in lines} == {"pending"}
    rest = await job_api.client.get(f"/v1/jobs/{job}/results?after=100", headers=HEADERS)
    assert len((await rest.get_data()).splitlines()) == 19


async def test_cancel_before_any_claim_ends_the_job_at_once(autojump_clock, job_api):
    job = (await (await job_api.submit()).get_json())["id"]
    response = await (await job_api.client.delete(f"/v1/jobs/{job}", headers=HEADERS)).get_json()
    assert (response["state"], response["cancelled"]) == ("cancelled", 3)
    again = await (await job_api.client.delete(f"/v1/jobs/{job}", headers=HEADERS)).get_json()
    assert again == response
    assert await job_api.platform.list("open") == ()


async def test_two_cancels_at_once_end_in_one_state(autojump_clock, job_api):
    job = (await (await job_api.submit()).get_json())["id"]
    async with trio.open_nursery() as nursery:
        for _ in range(2):
            nursery.start_soon(job_ending.cancel, job_api.store, "clinics", job)
    found = await job_api.store.header("clinics", job)
    assert found.header.state == "cancelled"


async def test_job_of_another_team_is_not_found(autojump_clock, job_api):
    response = await job_api.client.get("/v1/jobs/" + "0" * 32, headers=HEADERS)
    assert response.status_code == 404


@pytest.mark.parametrize("losing", [1, 2, 3, 4])
async def test_lost_answers_during_a_submission_make_one_job(autojump_clock, job_api, losing):
    job_api.platform.switch(
        platform_store.Switches(lose_answers=losing, writes_per_s=0, reads_per_s=0)
    )
    first = await job_api.submit()
    assert first.status_code == 201
    assert (await job_api.submit()).status_code == 200
    assert len(await job_api.platform.list("job")) == 1
    assert len(await job_api.platform.list("open")) == 1
