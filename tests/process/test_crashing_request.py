"""The request that crashes engines is found and refused at once; its neighbours all complete."""

import concurrent.futures
import time

import httpx
import pytest
from tests.process import harness

CULPRIT = "crash-this-engine please"
ENGINES = 4
NEIGHBOURS = 18
VMS = 3
SPEED = {"step_s": 0.02, "slots": 8}
AT_ONCE_S = 1.0


@pytest.fixture
def fleet():
    with harness.Fleet(vms=VMS, engines=ENGINES, workers=False, engine=SPEED) as made:
        for index in range(ENGINES):
            made.switch(f"engine-{index}", restart_s=2.0)
        yield made


def ask(fleet, vm: int, prompt: str) -> httpx.Response:
    body = {"model": "lishe", "prompt": prompt, "max_tokens": 30}
    with fleet.call(vm) as client:
        return client.post("/v1/completions", json=body)


def crashes(fleet) -> int:
    """Count all engines' crashes once they are up again."""
    end_s = time.monotonic() + 10
    while True:
        try:
            counters = [fleet.counters(f"engine-{index}") for index in range(ENGINES)]
            return sum(one["crashes"] for one in counters)
        except httpx.TransportError:
            assert time.monotonic() < end_s
            time.sleep(0.1)


def ask_until_final(fleet, vm: int) -> httpx.Response:
    """Send the culprit again, as its caller does, until it gets its final error."""
    for _ in range(6):
        answer = ask(fleet, vm, CULPRIT)
        if answer.status_code == 422:
            return answer
        time.sleep(0.3)
    raise AssertionError(answer.text)


def test_culprit_is_found_and_every_neighbour_completes(fleet):
    with concurrent.futures.ThreadPoolExecutor(NEIGHBOURS + 1) as pool:
        neighbours = [
            pool.submit(ask, fleet, number % VMS, f"question {number}")
            for number in range(NEIGHBOURS)
        ]
        time.sleep(0.2)
        culprit = pool.submit(ask_until_final, fleet, 0)
        assert culprit.result().json()["error"]["code"] == "quarantined"
        told = [neighbour.result() for neighbour in neighbours]
    assert [answer.status_code for answer in told] == [200] * NEIGHBOURS, [a.text for a in told]
    assert crashes(fleet) <= 3, "one with neighbours in flight, two that it alone caused"


def test_culprit_is_refused_at_once_at_every_other_vm(fleet):
    ask_until_final(fleet, 0)
    before = crashes(fleet)
    for vm in range(VMS):
        begun_s = time.monotonic()
        answer = ask(fleet, vm, CULPRIT)
        assert answer.json()["error"]["code"] == "quarantined"
        assert answer.json()["error"]["ran"] == "no"
        assert time.monotonic() - begun_s < AT_ONCE_S
    assert crashes(fleet) == before <= 2


def test_culprit_sent_at_other_vms_in_turn_crashes_two_engines_alone(fleet):
    """Its caller goes to another VM after each failure; attempts at one VM end at the first."""
    for number in range(6):
        answer = ask(fleet, number % VMS, CULPRIT)
        if answer.status_code == 422:
            break
        time.sleep(0.5)
    assert answer.status_code == 422, answer.text
    assert crashes(fleet) <= 2


def test_engine_that_restarts_by_itself_condemns_nobody(fleet):
    with concurrent.futures.ThreadPoolExecutor(NEIGHBOURS) as pool:
        told = [
            pool.submit(ask, fleet, number % VMS, f"question {number}")
            for number in range(NEIGHBOURS)
        ]
        for _ in range(3):
            time.sleep(0.3)
            fleet.switch("engine-0", crash=True, restart_s=0.2)
        answers = [one.result() for one in told]
    assert [answer.status_code for answer in answers] == [200] * NEIGHBOURS
