"""End-to-end completions, streams and batch jobs with real processes."""

import json
import time

import pytest
from tests.process import harness

BODY = {"model": "lishe", "prompt": "iron for a child of two", "max_tokens": 5}


@pytest.fixture(scope="module")
def fleet():
    with harness.Fleet(vms=1, engines=2) as running_fleet:
        yield running_fleet


def test_question_is_answered_whole(fleet):
    with fleet.call() as client:
        response = client.post("/v1/completions", json=BODY)
    assert response.status_code == 200
    assert response.json()["usage"]["completion_tokens"] == 5


def test_question_is_streamed_with_its_end_marker(fleet):
    with (
        fleet.call() as client,
        client.stream("POST", "/v1/completions", json={**BODY, "stream": True}) as response,
    ):
        events = [line for line in response.iter_lines() if line]
    assert len(events) == 6
    assert events[-1] == "data: [DONE]"


def test_job_runs_to_readable_results(fleet):
    items = [{"custom_id": f"note-{i}", "body": BODY} for i in range(20)]
    lines = "\n".join(json.dumps(item) for item in items)
    with fleet.call() as client:
        accepted = client.post("/v1/jobs", content=lines, headers={"Idempotency-Key": "night-1"})
        assert accepted.status_code in (200, 201, 202), accepted.text
        job = accepted.json()["id"]
        end_s = time.monotonic() + 20
        while time.monotonic() < end_s:
            if client.get(f"/v1/jobs/{job}").json()["state"] == "done":
                break
            time.sleep(0.1)
        else:
            pytest.fail("the job did not end")
        results = client.get(f"/v1/jobs/{job}/results").text.splitlines()
    assert [json.loads(line)["custom_id"] for line in results] == [i["custom_id"] for i in items]
