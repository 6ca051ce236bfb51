import pytest
from tests import samples

from cornelgrade import errors, kernel
from cornelgrade.services import ports
from cornelgrade.services.web import app, requests


class Configuration:
    name = "configuration"

    def current(self):
        return ports.AcceptedManifest(samples.manifest(), 1)


class Records:
    name = "records"

    def __init__(self):
        self.found = {}

    async def inspect(self, team, key):
        found = self.found.get((team, key), ports.RequestState.NOT_FOUND)
        if isinstance(found, Exception):
            raise found
        return found


@pytest.fixture
def records():
    return Records()


@pytest.fixture
def get(records):
    kern = kernel.Kernel()
    kern.add(Configuration())
    kern.add(records)
    client = app.create_app([requests.create_blueprint(kern, samples.settings())]).test_client()

    def call(key):
        headers = {"Authorization": f"Bearer {samples.TEAM_KEY}"}
        return client.get(f"/v1/requests/{key}", headers=headers)

    return call


async def test_stored_answer_comes_back_with_its_bytes(records, get):
    records.found["clinic", "refill/7"] = ports.StoredAnswer(201, "text/plain", b"\x00shipped")
    answer = await get("refill/7")
    assert (answer.status_code, await answer.get_data()) == (201, b"\x00shipped")
    assert answer.headers["content-type"] == "text/plain"
    assert answer.headers["cornelgrade-recorded"] == "true"


@pytest.mark.parametrize(
    ("state", "status"), [(ports.RequestState.RUNNING, 202), (ports.RequestState.UNKNOWN, 200)]
)
async def test_request_without_an_answer_shows_its_state(records, get, state, status):
    records.found["clinic", "k"] = state
    answer = await get("k")
    assert answer.status_code == status
    assert await answer.get_json() == {"key": "k", "state": state.value}


async def test_request_of_another_team_is_not_found(records, get):
    records.found["other", "k"] = ports.StoredAnswer(200, "text/plain", b"theirs")
    answer = await get("k")
    assert answer.status_code == 404
    assert (await answer.get_json())["error"]["code"] == "not_found"


async def test_platform_out_of_reach_is_said(records, get):
    records.found["clinic", "k"] = errors.Refusal(
        errors.Code.UNAVAILABLE, "away", step="record", retry_after_s=2.0
    )
    answer = await get("k")
    assert (answer.status_code, answer.headers["retry-after"]) == (503, "2")
