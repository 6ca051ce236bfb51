"""A request that crashes engines is quarantined, and concurrent requests all complete."""

import concurrent.futures
import time

import httpx
import pytest
from tests.process import harness

CULPRIT = "crash-this-engine please"
ENGINES = 4
NEIGHBOURS = 18
VMS = 3
ENGINE_CONFIG = {"step_s": 0.02, "slots": 8}
REFUSAL_BOUND_S = 1.0


@pytest.fixture
def fleet():
    with harness.Fleet(
        vms=VMS, engines=ENGINES, workers=False, engine=ENGINE_CONFIG
    ) as running_fleet:
        for index in range(ENGINES):
            running_fleet.switch(f"engine-{index}", restart_s=2.0)
        yield running_fleet


def send_prompt(fleet, vm: int, prompt: str) -> httpx.Response:
    body = {"model": "lishe", "prompt": prompt, "max_tokens": 30}
    with fleet.call(vm) as client:
        return client.post("/v1/completions", json=body)


def count_crashes(fleet) -> int:
    """Return the crashes of all engines, once every engine has restarted."""
    end_s = time.monotonic() + 10
    while True:
        try:
            counters = [fleet.counters(f"engine-{index}") for index in range(ENGINES)]
            return sum(one["crashes"] for one in counters)
        except httpx.TransportError:
            assert time.monotonic() < end_s
            time.sleep(0.1)


def send_until_quarantined(fleet, vm: int) -> httpx.Response:
    """Resend the crashing request until it is refused with its final error."""
    for _ in range(6):
        response = send_prompt(fleet, vm, CULPRIT)
        if response.status_code == 422:
            return response
        time.sleep(0.3)
    raise AssertionError(response.text)


def test_culprit_is_found_and_every_neighbour_completes(fleet):
    with concurrent.futures.ThreadPoolExecutor(NEIGHBOURS + 1) as pool:
        neighbours = [
            pool.submit(send_prompt, fleet, number % VMS, f"question {number}")
            for number in range(NEIGHBOURS)
        ]
        time.sleep(0.2)
        culprit = pool.submit(send_until_quarantined, fleet, 0)
        assert culprit.result().json()["error"]["code"] == "quarantined"
        responses = [neighbour.result() for neighbour in neighbours]
    assert [response.status_code for response in responses] == [200] * NEIGHBOURS, [
        a.text for a in responses
    ]
    assert (
        count_crashes(fleet) <= 3
    ), "one crash with other requests in flight, two with the crashing request alone"


def test_culprit_is_refused_at_once_at_every_other_vm(fleet):
    send_until_quarantined(fleet, 0)
    before = count_crashes(fleet)
    for vm in range(VMS):
        started_s = time.monotonic()
        response = send_prompt(fleet, vm, CULPRIT)
        assert response.json()["error"]["code"] == "quarantined"
        assert response.json()["error"]["ran"] == "no"
        assert time.monotonic() - started_s < REFUSAL_BOUND_S
    assert count_crashes(fleet) == before <= 2


def test_culprit_sent_at_other_vms_in_turn_crashes_two_engines_alone(fleet):
    """A VM ends the attempts at the first crash, and the caller resends to another VM."""
    for number in range(6):
        response = send_prompt(fleet, number % VMS, CULPRIT)
        if response.status_code == 422:
            break
        time.sleep(0.5)
    assert response.status_code == 422, response.text
    assert count_crashes(fleet) <= 2


def test_engine_that_restarts_by_itself_condemns_nobody(fleet):
    with concurrent.futures.ThreadPoolExecutor(NEIGHBOURS) as pool:
        futures = [
            pool.submit(send_prompt, fleet, number % VMS, f"question {number}")
            for number in range(NEIGHBOURS)
        ]
        for _ in range(3):
            time.sleep(0.3)
            fleet.switch("engine-0", crash=True, restart_s=0.2)
        responses = [future.result() for future in futures]
    assert [response.status_code for response in responses] == [200] * NEIGHBOURS
