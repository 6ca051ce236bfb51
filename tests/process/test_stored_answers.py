"""A keyed response is stored before its last byte is sent, or kept until an outage ends."""

import concurrent.futures
import time

import pytest
from tests.process import harness

WAIT_S = 15.0
BODY = {"model": "lishe", "prompt": "iron for a child of two", "max_tokens": 8}


@pytest.fixture(scope="module")
def fleet():
    with harness.Fleet(vms=2, engines=2, workers=False) as running_fleet:
        yield running_fleet


def post_completion(fleet, vm, key, **change):
    with fleet.call(vm, headers={"Idempotency-Key": key}) as client:
        return client.post("/v1/completions", json={**BODY, **change})


def count_completions(fleet) -> int:
    return sum(fleet.counters(f"engine-{index}")["completions"] for index in (0, 1))


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("lost", [0, 2])
def test_resend_at_another_vm_gets_the_same_bytes(fleet, stream, lost):
    key = f"bytes-{stream}-{lost}"
    before = count_completions(fleet)
    fleet.switch("platform", lose_answers=lost)
    first = post_completion(fleet, 0, key, stream=stream)
    replay = post_completion(fleet, 1, key, stream=stream)
    assert first.status_code == replay.status_code == 200
    assert first.content == replay.content
    assert replay.headers["cornelgrade-replayed"] == "true"
    assert count_completions(fleet) == before + 1


def test_stream_cut_off_by_its_caller_is_stored_whole(fleet):
    request = {"json": {**BODY, "stream": True, "max_tokens": 40}}
    with (
        fleet.call(0, headers={"Idempotency-Key": "left"}) as client,
        client.stream("POST", "/v1/completions", **request) as response,
    ):
        next(response.iter_lines())
    replay = post_completion(fleet, 1, "left", stream=True, max_tokens=40)
    assert replay.text.endswith("data: [DONE]\n\n")
    assert replay.text.count("data: ") == 41


def test_outage_is_served_marked_and_recorded_later(fleet):
    fleet.switch("platform", down=True)
    responses = {}
    for number in range(10):
        responses[number] = post_completion(fleet, 0, f"outage-{number}")
        assert responses[number].status_code == 200
        assert responses[number].headers["cornelgrade-recorded"] == "false"
    fleet.switch("platform")
    before = count_completions(fleet)
    for number, response in responses.items():
        wait_until_recorded(fleet, f"outage-{number}")
        replay = post_completion(fleet, 1, f"outage-{number}")
        assert replay.content == response.content
    assert count_completions(fleet) == before


def wait_until_recorded(fleet, key) -> None:
    end_s = time.monotonic() + WAIT_S
    with fleet.call(1) as client:
        while client.get(f"/v1/requests/{key}").status_code != 200:
            assert time.monotonic() < end_s
            time.sleep(0.1)


def test_twins_that_both_ran_in_an_outage_of_claims_get_the_same_bytes(fleet):
    """Duplicates get the same bytes, although each run's response contains the effect count."""
    fleet.switch("refills-0", slow_s=1.0)
    fleet.switch("platform", down=True)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        futures = [pool.submit(post_look_up, fleet, vm, "twins") for vm in (0, 1)]
        time.sleep(0.5)
        fleet.switch("platform")
        responses = [future.result() for future in futures]
    fleet.switch("refills-0")
    assert fleet.counters("refills-0")["effects"]["twins"] == 2
    assert responses[0].content == responses[1].content == post_look_up(fleet, 0, "twins").content


def post_look_up(fleet, vm, key):
    with fleet.call(vm, headers={"Idempotency-Key": key}) as client:
        return client.post("/v1/services/refills/look-up", content=b"{}")
