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
        self.results = {}

    async def inspect(self, team, key):
        result = self.results.get((team, key), ports.RequestState.NOT_FOUND)
        if isinstance(result, Exception):
            raise result
        return result


@pytest.fixture
def records():
    return Records()


@pytest.fixture
def get_request(records):
    kern = kernel.Kernel()
    kern.add(Configuration())
    kern.add(records)
    client = app.create_app([requests.create_blueprint(kern, samples.settings())]).test_client()

    def send_request(key):
        headers = {"Authorization": f"Bearer {samples.TEAM_KEY}"}
        return client.get(f"/v1/requests/{key}", headers=headers)

    return send_request


async def test_stored_response_is_returned_unchanged(records, get_request):
    records.results["clinic", "refill/7"] = ports.StoredResponse(201, "text/plain", b"\x00shipped")
    response = await get_request("refill/7")
    assert (response.status_code, await response.get_data()) == (201, b"\x00shipped")
    assert response.headers["content-type"] == "text/plain"
    assert response.headers["cornelgrade-recorded"] == "true"


@pytest.mark.parametrize(
    ("state", "status"), [(ports.RequestState.RUNNING, 202), (ports.RequestState.UNKNOWN, 200)]
)
async def test_request_without_stored_response_returns_its_state(
    records, get_request, state, status
):
    records.results["clinic", "k"] = state
    response = await get_request("k")
    assert response.status_code == status
    assert await response.get_json() == {"key": "k", "state": state.value}


async def test_request_of_another_team_is_not_found(records, get_request):
    records.results["other", "k"] = ports.StoredResponse(200, "text/plain", b"theirs")
    response = await get_request("k")
    assert response.status_code == 404
    assert (await response.get_json())["error"]["code"] == "not_found"


# Guards against a promise that a request did not run, made because it has no record: one that may
# be repeated can run without a record, and records expire.
async def test_absent_record_is_no_promise_that_the_request_did_not_run(get_request):
    response = await get_request("k")
    assert (await response.get_json())["error"]["ran"] == "unknown"


async def test_platform_outage_is_refused_with_retry_after(records, get_request):
    records.results["clinic", "k"] = errors.Refusal(
        errors.Code.UNAVAILABLE, "away", step="record", retry_after_s=2.0
    )
    response = await get_request("k")
    assert (response.status_code, response.headers["retry-after"]) == (503, "2")
