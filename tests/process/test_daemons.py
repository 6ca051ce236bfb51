"""A killed gateway recovers after a restart, and SIGTERM lets open streams and jobs finish."""

import concurrent.futures
import json
import signal
import time

import httpx
import pytest
from tests.process import harness

BODY = {"model": "lishe", "prompt": "iron for a child of two", "max_tokens": 5}
LONG = {"model": "lishe", "prompt": "a long answer", "max_tokens": 60, "stream": True}
ITEMS = 60
STREAMS = 12
WAIT_S = 30.0


def wait_ready(fleet: harness.Fleet) -> None:
    end_s = time.monotonic() + WAIT_S
    while time.monotonic() < end_s:
        try:
            if httpx.get(f"{fleet.vms[0].url}/readyz", trust_env=False).status_code == 200:
                return
        except httpx.TransportError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"not ready:\n{fleet.vms[0].gateway.text()}")


def submit(fleet: harness.Fleet, key: str) -> str:
    lines = "\n".join(json.dumps({"custom_id": f"note-{i}", "body": BODY}) for i in range(ITEMS))
    with fleet.call() as client:
        response = client.post("/v1/jobs", content=lines, headers={"Idempotency-Key": key})
    assert response.status_code in (200, 201), response.text
    return response.json()["id"]


def wait_until_done(fleet: harness.Fleet, job: str) -> dict:
    end_s = time.monotonic() + WAIT_S
    with fleet.call() as client:
        while time.monotonic() < end_s:
            job_view = client.get(f"/v1/jobs/{job}").json()
            if job_view["state"] == "done":
                return job_view
            time.sleep(0.1)
    raise AssertionError(f"job did not end: {job_view}")


def get_stream_outcome(url: str) -> str:
    """Return how a long stream ended: whole, refused, unreachable or cut off."""
    headers = {"Authorization": f"Bearer {harness.KEY}"}
    text = ""
    try:
        with (
            httpx.Client(base_url=url, headers=headers, timeout=WAIT_S, trust_env=False) as client,
            client.stream("POST", "/v1/completions", json=LONG) as response,
        ):
            for part in response.iter_text():
                text += part
    except httpx.ConnectError:
        return "unreachable"
    except httpx.TransportError as exc:
        return f"cut off: {exc!r} after {text[-80:]!r}"
    if response.status_code == 503 and json.loads(text)["error"]["code"] == "draining":
        return "refused"
    whole = response.status_code == 200 and text.endswith("data: [DONE]\n\n")
    return "whole" if whole else f"cut off: {response.status_code} {text[-200:]!r}"


@pytest.fixture
def fleet():
    with harness.Fleet(vms=1, engines=2) as running_fleet:
        wait_ready(running_fleet)
        yield running_fleet


def test_killed_gateway_comes_back_and_the_job_in_between_completes_once(fleet):
    job = submit(fleet, "night-1")
    gateway = fleet.vms[0].gateway
    gateway.kill()
    gateway.restart()
    wait_ready(fleet)
    with fleet.call() as client:
        response = client.post("/v1/completions", json=BODY)
        assert response.json()["usage"]["completion_tokens"] == BODY["max_tokens"]
    assert submit(fleet, "night-1") == job
    job_view = wait_until_done(fleet, job)
    assert (job_view["finished"], job_view["failed"]) == (ITEMS, 0)
    with fleet.call() as client:
        results = client.get(f"/v1/jobs/{job}/results").text.splitlines()
    ids = [json.loads(line)["custom_id"] for line in results]
    assert ids == [f"note-{i}" for i in range(ITEMS)]


def test_gateway_told_to_stop_under_load_cuts_nothing_off(fleet):
    url, gateway = fleet.vms[0].url, fleet.vms[0].gateway
    with concurrent.futures.ThreadPoolExecutor(2 * STREAMS) as pool:
        early = [pool.submit(get_stream_outcome, url) for _ in range(STREAMS)]
        time.sleep(0.3)
        gateway.send(signal.SIGTERM)
        late = []
        for _ in range(STREAMS):
            late.append(pool.submit(get_stream_outcome, url))
            time.sleep(0.05)
        outcomes = [call.result() for call in early]
        late_outcomes = [call.result() for call in late]
    assert outcomes == ["whole"] * STREAMS
    assert set(late_outcomes) <= {"whole", "refused", "unreachable"}
    assert gateway.wait(WAIT_S) == 0


def test_worker_told_to_stop_ends_and_another_start_finishes_its_job(fleet):
    worker = fleet.vms[0].worker
    job = submit(fleet, "night-2")
    time.sleep(0.3)
    worker.send(signal.SIGTERM)
    assert worker.wait(WAIT_S) == 0
    worker.restart()
    job_view = wait_until_done(fleet, job)
    assert (job_view["finished"], job_view["failed"]) == (ITEMS, 0)


def test_second_signal_says_what_it_drops(fleet):
    url, gateway = fleet.vms[0].url, fleet.vms[0].gateway
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        futures = [pool.submit(get_stream_outcome, url) for _ in range(2)]
        time.sleep(0.3)
        gateway.send(signal.SIGTERM)
        time.sleep(0.3)
        gateway.send(signal.SIGTERM)
        gateway.wait(WAIT_S)
        outcomes = [call.result() for call in futures]
    assert "count=2" in gateway.wait_for("event=dropped")
    assert all(outcome.startswith("cut off") for outcome in outcomes)
